//! What racks hold of the upper limits of teams, and what of it is in use.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::name::{Map, Name};
use crate::rack::{Allotments, Demand};
use crate::size::Size;
use crate::time::Time;

/// How long an allotment lies idle before it is offered back.
const IDLE: Duration = Duration::from_secs(5);

/// How long a part in which nothing fits is kept while work waits.
const UNUSABLE: Duration = Duration::from_secs(2);

/// What one rack holds for one team.
#[derive(Clone, Copy, Debug, Default)]
pub struct Account {
    /// The part of the team's limit.
    pub allotted: Size,
    /// What it may hold of a limit that is being lowered.
    pub cap: Option<Size>,
    /// What it has offered to keep at most, until the table has taken the rest back.
    offer: Option<Size>,
    /// What it is let keep while nothing of the team waits.
    base: Size,
    /// What is booked there for the team.
    pub used: Size,
    /// When it was last in use or grew.
    idle: Time,
    /// The most that was in use since `since`.
    peak: Size,
    /// The most that was in use in the span before.
    earlier: Size,
    /// When the present span began.
    since: Time,
}

impl Account {
    /// Returns the part of what is held that goes to where nothing is held: half of it, or more
    /// where half would lack a resource.
    fn released_to(&self, starved: &Size) -> Size {
        let half = starved.part_within(&self.allotted.half());
        if half.is_zero() {
            starved.part_within(&self.allotted)
        } else {
            half
        }
    }

    /// Tells whether it holds a part of the limit in which nothing of what waits has fitted.
    fn is_unusable(&self, now: Time) -> bool {
        let unused = self.used.is_zero() && !self.allotted.is_zero();
        unused && now.since(self.idle) >= UNUSABLE
    }

    /// Returns what is to be held where `wanted` is wanted besides what is used, if that differs
    /// from what is held.
    fn want(&mut self, wanted: &Size, need: &Need, now: Time) -> Option<Size> {
        if now.since(self.since) >= IDLE {
            self.earlier = self.peak;
            self.peak = self.used;
            self.since = now;
        }
        let wanted = self.used.plus(wanted);
        let recent = if need.pressed {
            self.used
        } else {
            let base = Size::min(&self.base, &self.allotted);
            Size::max(&base, &Size::max(&self.earlier, &self.peak))
        };
        let released = self.released_to(&need.starved);
        let want = match (self.cap, self.offer) {
            (Some(cap), _) => self.floor(cap),
            (None, Some(offer)) => Size::max(&offer, &self.used),
            (None, None) if need.pressed && self.is_unusable(now) => {
                self.offer = Some(Size::ZERO);
                Size::ZERO
            }
            (None, None) if !released.is_zero() => {
                let kept = self.allotted.minus(&released);
                self.offer = Some(kept);
                Size::max(&kept, &self.used)
            }
            (None, None) if !wanted.fits(&self.allotted) => Size::max(&wanted, &self.allotted),
            (None, None) => {
                let kept = Size::max(&wanted, &recent);
                // What is offered may be given to others before this process hears of it.
                self.offer = Some(kept).filter(|kept| *kept != self.allotted);
                kept
            }
        };
        (want != self.allotted).then_some(want)
    }

    /// Takes what is held.
    fn allot(&mut self, allotted: Size, now: Time) {
        if !allotted.fits(&self.allotted) {
            self.earlier = Size::max(&self.earlier, &allotted);
            self.since = now;
            self.idle = now;
        }
        self.allotted = allotted;
        self.cap = self.cap.filter(|cap| !allotted.fits(cap));
        self.offer = self.offer.filter(|offer| !allotted.fits(offer));
    }

    /// Returns the least that may be held within the present amount: `wanted`, or what is used.
    fn floor(&self, wanted: Size) -> Size {
        Size::max(&self.used, &Size::min(&wanted, &self.allotted))
    }

    /// Returns what may still be started where workers may hide `hidden` of the team's work.
    fn rest(&self, hidden: &Size) -> Size {
        let cap = self.cap.unwrap_or(Size::MAX);
        let offer = self.offer.unwrap_or(Size::MAX);
        let bound = Size::min(&cap, &offer);
        Size::min(&self.allotted, &bound)
            .minus(&self.used)
            .minus(hidden)
    }
}

/// What a team has waiting.
pub struct Need<'a> {
    /// The team, by index.
    pub team: usize,
    /// The team's name.
    pub name: &'a Name,
    /// What may run on any rack.
    pub anywhere: Size,
    /// Whether work of the team waits somewhere, so that what is not in use is given back at once.
    pub pressed: bool,
    /// What waits where nothing of the limit is held, though all of the limit is.
    pub starved: Size,
    /// What may run on one rack only, by the rack's index.
    pub bound: &'a dyn Fn(usize) -> Size,
}

/// The room of a rack.
#[derive(Clone, Copy, Debug, Default)]
pub struct Room {
    /// What is free on its workers.
    pub free: Size,
    /// What its workers hold.
    pub capacity: Size,
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
    /// What may run on workers of which no inventory has been seen under this epoch.
    hidden: Size,
    /// What it holds, by the index of the team.
    accounts: Vec<Account>,
}

/// All racks.
#[derive(Debug, Default)]
pub struct Ledger {
    racks: Vec<Rack>,
    /// What may still be started, by team and rack, side by side for searches over all racks.
    rests: Vec<Vec<Size>>,
    /// The same by rack and team, for searches over all teams.
    rests_by_rack: Vec<Vec<Size>>,
    /// Whether work was passed over for lack of allotment, by team and rack.
    short: Vec<Vec<bool>>,
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
        now: Time,
        mut team: impl FnMut(&Name) -> usize,
    ) {
        let mut held: BTreeMap<usize, Size> = BTreeMap::new();
        held.extend(allotments.iter().map(|(name, size)| (team(name), *size)));
        let known = 0..self.racks[rack].accounts.len();
        let teams: BTreeSet<usize> = known.chain(held.keys().copied()).collect();
        for team in teams {
            let size = held.get(&team).copied().unwrap_or(Size::ZERO);
            self.account_mut(rack, team).allot(size, now);
            self.note(rack, team);
        }
    }

    /// Bounds what a rack may hold for a team, and returns what it needs at least.
    pub fn cap(&mut self, rack: usize, team: usize, cap: Size) -> Size {
        let account = self.account_mut(rack, team);
        account.cap = Some(cap).filter(|cap| !account.allotted.fits(cap));
        let floor = account.floor(cap);
        let allotted = account.allotted;
        self.note(rack, team);
        // What runs on a worker that is not known must stay covered.
        let hidden = Size::min(&floor.plus(&self.racks[rack].hidden), &allotted);
        Size::max(&floor, &hidden)
    }

    /// Withdraws what a rack offered where it keeps all that it holds, and tells whether it had
    /// offered anything.
    pub fn keep(&mut self, rack: usize, team: usize, held: &Size) -> bool {
        let account = self.account_mut(rack, team);
        if account.allotted != *held {
            return false;
        }
        account.base = *held;
        let offered = account.offer.take().is_some();
        self.note(rack, team);
        offered
    }

    /// Sets what may run on workers of a rack that are not known, and tells whether it shrank.
    pub fn set_unseen(&mut self, rack: usize, hidden: Size) -> bool {
        let before = std::mem::replace(&mut self.racks[rack].hidden, hidden);
        if before == hidden {
            return false;
        }
        for team in 0..self.racks[rack].accounts.len() {
            self.note(rack, team);
        }
        hidden.fits(&before)
    }

    /// Returns what may still be started on a rack for a team.
    pub fn available(&self, rack: usize, team: usize) -> Size {
        let teams = self.rests_by_rack.get(rack);
        let rests = teams.and_then(|teams| teams.get(team));
        rests.copied().unwrap_or_default()
    }

    /// Tells whether a team may start an amount on any rack.
    pub fn has_available(&self, team: usize, size: &Size) -> bool {
        let rests = self.rests.get(team).into_iter().flatten();
        rests.into_iter().any(|rest| size.fits(rest))
    }

    /// Works out anew what may still be started.
    fn note(&mut self, rack: usize, team: usize) {
        let hidden = &self.racks[rack].hidden;
        let rest = self.account(rack, team).rest(hidden);
        *slot(&mut self.rests, team, rack) = rest;
        *slot(&mut self.rests_by_rack, rack, team) = rest;
    }

    /// Returns what a rack holds for a team.
    pub fn account(&self, rack: usize, team: usize) -> Account {
        let accounts = &self.racks[rack].accounts;
        accounts.get(team).copied().unwrap_or_default()
    }

    fn account_mut(&mut self, rack: usize, team: usize) -> &mut Account {
        let accounts = &mut self.racks[rack].accounts;
        if accounts.len() <= team {
            accounts.resize_with(team + 1, Account::default);
        }
        &mut accounts[team]
    }

    /// Books an amount, within the allotment or not.
    pub fn book(&mut self, rack: usize, team: usize, size: &Size) {
        let account = self.account_mut(rack, team);
        account.used = account.used.plus(size);
        account.peak = Size::max(&account.peak, &account.used);
        self.note(rack, team);
    }

    /// Gives an amount back and tells whether work of the team had been passed over for it.
    pub fn release(&mut self, rack: usize, team: usize, size: &Size, now: Time) -> bool {
        let account = self.account_mut(rack, team);
        account.used = account.used.minus(size);
        account.idle = now;
        self.note(rack, team);
        std::mem::take(slot(&mut self.short, team, rack))
    }

    /// Notes that work of a team was passed over for lack of allotment.
    pub fn mark_short(&mut self, rack: usize, team: usize) {
        *slot(&mut self.short, team, rack) = true;
    }

    /// Notes that work of a team was passed over everywhere for lack of allotment.
    pub fn mark_short_everywhere(&mut self, team: usize) {
        let last = self.racks.len().saturating_sub(1);
        slot(&mut self.short, team, last);
        self.short[team].fill(true);
    }

    /// Returns what a team holds over all owned racks.
    pub fn allotted(&self, team: usize) -> Size {
        self.owned()
            .map(|rack| self.account(rack, team).allotted)
            .fold(Size::ZERO, |sum, size| sum.plus(&size))
    }

    /// Returns demands that bring allotments to where work waits, and give back what has not been
    /// in use lately.
    ///
    /// Work that may run on any rack is spread over those with free room first.
    pub fn demands(&mut self, need: &Need, now: Time, room: impl Fn(usize) -> Room) -> Vec<Demand> {
        let owned: Vec<usize> = self.owned().collect();
        let mut left = need.anywhere;
        let mut wanted = Vec::with_capacity(owned.len());
        for &rack in &owned {
            let room = room(rack);
            let part = left.part_within(&room.free);
            left = left.minus(&part);
            let bound = (need.bound)(rack);
            wanted.push(bound.plus(&part).part_within(&room.capacity));
        }
        for (rack, wanted) in owned.iter().zip(&mut wanted) {
            let part = left.part_within(&room(*rack).capacity);
            left = left.minus(&part);
            *wanted = wanted.plus(&part);
        }
        let demand = |(rack, wanted): (usize, Size)| {
            let hides = !self.racks[rack].hidden.is_zero();
            let account = self.account_mut(rack, need.team);
            let offered = account.offer;
            let want = account.want(&wanted, need, now);
            let lowers = want.filter(|want| !account.allotted.fits(want)).is_some();
            if hides && lowers {
                // What runs on a worker that is not known must stay covered; what was offered before
                // may be taken at any time.
                account.offer = offered;
            }
            self.note(rack, need.team);
            let want = want.filter(|_| !(hides && lowers))?;
            Some(Demand {
                rack: self.racks[rack].name.clone(),
                team: need.name.clone(),
                want,
            })
        };
        owned.into_iter().zip(wanted).filter_map(demand).collect()
    }
}

fn slot<T: Clone + Default>(table: &mut Vec<Vec<T>>, row: usize, column: usize) -> &mut T {
    if table.len() <= row {
        table.resize(row + 1, Vec::new());
    }
    let row = &mut table[row];
    if row.len() <= column {
        row.resize(column + 1, T::default());
    }
    &mut row[column]
}
