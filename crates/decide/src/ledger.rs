//! What racks hold of the upper limits of teams, and what of it is in use.

use std::time::Duration;

use crate::name::{Map, Name};
use crate::rack::{Allotments, Demand};
use crate::size::Size;
use crate::time::Time;

/// How long an allotment lies idle before it is offered back.
const IDLE: Duration = Duration::from_secs(5);

/// What one rack holds for one team.
#[derive(Clone, Copy, Debug, Default)]
pub struct Account {
    /// The part of the team's limit.
    pub allotted: Size,
    /// What it may hold of a limit that is being lowered.
    pub cap: Option<Size>,
    /// What is booked there for the team.
    pub used: Size,
    /// What may run there unseen, since the rack's workers have not all been claimed.
    pub hidden: Size,
    /// Whether work of the team was passed over there for lack of allotment.
    pub short: bool,
    /// When more was last in use than now, or work was passed over.
    pub busy: Time,
}

impl Account {
    /// Returns the least that may be held within the present amount: `wanted`, or what is used.
    fn floor(&self, wanted: Size) -> Size {
        let needed = Size::min(&self.used.plus(&self.hidden), &self.allotted);
        let needed = Size::max(&self.used, &needed);
        Size::max(&needed, &Size::min(&wanted, &self.allotted))
    }

    /// Returns what may still be started.
    pub fn rest(&self) -> Size {
        let cap = self.cap.unwrap_or(Size::MAX);
        let rest = Size::min(&self.allotted, &cap).minus(&self.used);
        rest.minus(&self.hidden)
    }
}

/// A rack.
#[derive(Debug)]
pub struct Rack {
    /// Its name.
    pub name: Name,
    /// The epoch of the ownership.
    pub epoch: u64,
    /// Whether this process owns it and may place there.
    pub owned: bool,
    /// All that workers hold which have not been claimed under the epoch.
    pub hidden: Size,
    /// What it holds, by the index of the team.
    accounts: Vec<Account>,
}

/// All racks.
#[derive(Debug, Default)]
pub struct Ledger {
    racks: Vec<Rack>,
    names: Map<Name, usize>,
}

impl Ledger {
    /// Returns the index of a rack, making it known.
    pub fn index(&mut self, name: &Name) -> usize {
        if let Some(&rack) = self.names.get(name) {
            return rack;
        }
        let rack = self.racks.len();
        self.names.insert(name.clone(), rack);
        self.racks.push(Rack {
            name: name.clone(),
            epoch: 0,
            owned: false,
            hidden: Size::ZERO,
            accounts: Vec::new(),
        });
        rack
    }

    /// Returns the index of a known rack.
    pub fn find(&self, name: &Name) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Returns a rack.
    pub fn rack(&self, rack: usize) -> &Rack {
        &self.racks[rack]
    }

    /// Returns a rack to change.
    pub fn rack_mut(&mut self, rack: usize) -> &mut Rack {
        &mut self.racks[rack]
    }

    /// Returns the indexes of the owned racks.
    pub fn owned(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.racks.len()).filter(|&rack| self.racks[rack].owned)
    }

    /// Replaces what a rack holds; teams that are left out hold nothing.
    pub fn allot(
        &mut self,
        rack: usize,
        allotments: &Allotments,
        mut team: impl FnMut(&Name) -> usize,
    ) {
        for account in &mut self.racks[rack].accounts {
            account.allotted = Size::ZERO;
        }
        for (name, size) in allotments {
            let team = team(name);
            self.account_mut(rack, team).allotted = *size;
        }
        for account in &mut self.racks[rack].accounts {
            account.cap = account.cap.filter(|cap| !account.allotted.fits(cap));
        }
    }

    /// Bounds what a rack may hold for a team, and returns what it needs at least.
    pub fn cap(&mut self, rack: usize, team: usize, cap: Size) -> Size {
        let account = self.account_mut(rack, team);
        account.cap = Some(cap).filter(|cap| !account.allotted.fits(cap));
        self.account(rack, team).floor(cap)
    }

    /// Returns what a rack holds for a team.
    pub fn account(&self, rack: usize, team: usize) -> Account {
        let known = &self.racks[rack];
        let account = known.accounts.get(team).copied().unwrap_or_default();
        Account {
            hidden: known.hidden,
            ..account
        }
    }

    fn account_mut(&mut self, rack: usize, team: usize) -> &mut Account {
        let accounts = &mut self.racks[rack].accounts;
        if accounts.len() <= team {
            accounts.resize_with(team + 1, Account::default);
        }
        &mut accounts[team]
    }

    /// Books an amount, within the allotment or not.
    pub fn book(&mut self, rack: usize, team: usize, size: &Size, now: Time) {
        let account = self.account_mut(rack, team);
        account.used = account.used.plus(size);
        account.busy = now;
    }

    /// Gives an amount back and tells whether work of the team had been passed over for it.
    pub fn free(&mut self, rack: usize, team: usize, size: &Size, now: Time) -> bool {
        let account = self.account_mut(rack, team);
        account.used = account.used.minus(size);
        account.busy = now;
        std::mem::take(&mut account.short)
    }

    /// Notes that work of a team was passed over for lack of allotment.
    pub fn pass(&mut self, rack: usize, team: usize) {
        self.account_mut(rack, team).short = true;
    }

    /// Returns what a team holds over all owned racks.
    pub fn allotted(&self, team: usize) -> Size {
        self.owned()
            .map(|rack| self.account(rack, team).allotted)
            .fold(Size::ZERO, |sum, size| sum.plus(&size))
    }

    /// Returns demands that spread `waiting` of a team over racks with room, and give back what
    /// has lain idle.
    ///
    /// `bound` gives the part of `waiting` that waits for one rack and no other, and `free` the free
    /// room of a rack, by its index.
    pub fn demands(
        &self,
        team: usize,
        name: &Name,
        waiting: Size,
        now: Time,
        bound: impl Fn(usize) -> Size,
        free: impl Fn(usize) -> Size,
    ) -> Vec<Demand> {
        let mut left = self
            .owned()
            .fold(waiting, |left, rack| left.minus(&bound(rack)));
        let mut demands = Vec::new();
        for rack in self.owned() {
            let account = self.account(rack, team);
            let (room, own) = (free(rack), bound(rack));
            let own = Size::min(&own, &room);
            let part = Size::min(&left, &room.minus(&own));
            let wanted = account.used.plus(&own).plus(&part);
            left = left.minus(&part);
            let raises = !wanted.fits(&account.allotted);
            let idle = now.since(account.busy) >= IDLE;
            let want = match (raises, idle) {
                _ if account.cap.is_some() => account.floor(account.cap.unwrap_or(Size::ZERO)),
                _ if !account.hidden.is_zero() => account.allotted,
                (true, _) => Size::max(&wanted, &account.allotted),
                (false, true) if waiting.is_zero() => account.used,
                _ => account.allotted,
            };
            if want != account.allotted {
                demands.push(Demand {
                    rack: self.racks[rack].name.clone(),
                    team: name.clone(),
                    want,
                });
            }
        }
        demands
    }
}
