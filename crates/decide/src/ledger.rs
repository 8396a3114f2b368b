//! Allotments: the parts of team limits that racks hold, and how much of them is in use.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::name::{Map, Name};
use crate::rack::{Allotments, Demand};
use crate::size::Size;
use crate::time::Time;

/// The length of the spans over which peak use is kept; an amount is offered back after it has not
/// been in use for one to two spans.
const IDLE_SPAN: Duration = Duration::from_secs(5);

/// How long an unused allotment that fits no waiting work is kept while work of the team waits.
const UNUSABLE_HOLD: Duration = Duration::from_secs(2);

/// The allotment of one team on one rack, and its use.
#[derive(Clone, Copy, Debug, Default)]
pub struct Account {
    /// The part of the team's limit that the rack holds.
    pub allotted: Size,
    /// The highest amount that the rack may use of a limit that is being lowered.
    pub cap: Option<Size>,
    /// The amount that the rack has offered to go down to, until the table has taken the rest.
    offer: Option<Size>,
    /// The amount that is not offered back while no work of the team waits.
    base: Size,
    /// The amount that is booked on the rack for the team.
    pub used: Size,
    /// When an amount was last released or the allotment last grew.
    last_active: Time,
    /// The peak use in the current span.
    peak: Size,
    /// The peak use in the span before.
    previous_peak: Size,
    /// When the current span began.
    span_start: Time,
}

impl Account {
    /// Returns the part of the allotment that is given up for starved work elsewhere: at most half
    /// of it, or more if half is too little of some resource.
    fn given_up_for(&self, starved: &Size) -> Size {
        let half = starved.part_within(&self.allotted.half());
        if half.is_zero() {
            starved.part_within(&self.allotted)
        } else {
            half
        }
    }

    /// Tells whether the rack holds an allotment that no waiting work has fitted into for a while.
    fn is_unusable(&self, now: Time) -> bool {
        let unused = self.used.is_zero() && !self.allotted.is_zero();
        unused && now.since(self.last_active) >= UNUSABLE_HOLD
    }

    /// Returns the amount that the rack should hold if `wanted` is wanted in addition to what is
    /// used, or `None` if it holds that already.
    fn want(&mut self, wanted: &Size, need: &Need, now: Time) -> Option<Size> {
        if now.since(self.span_start) >= IDLE_SPAN {
            self.previous_peak = self.peak;
            self.peak = self.used;
            self.span_start = now;
        }
        let wanted = self.used.plus(wanted);
        let recent = if need.pressed {
            self.used
        } else {
            let base = Size::min(&self.base, &self.allotted);
            Size::max(&base, &Size::max(&self.previous_peak, &self.peak))
        };
        let given_up = self.given_up_for(&need.starved);
        let want = match (self.cap, self.offer) {
            (Some(cap), _) => self.floor(cap),
            (None, Some(offer)) => Size::max(&offer, &self.used),
            (None, None) if need.pressed && self.is_unusable(now) => {
                self.offer = Some(Size::ZERO);
                Size::ZERO
            }
            (None, None) if !given_up.is_zero() => {
                let kept = self.allotted.minus(&given_up);
                self.offer = Some(kept);
                Size::max(&kept, &self.used)
            }
            (None, None) if !wanted.fits(&self.allotted) => Size::max(&wanted, &self.allotted),
            (None, None) => {
                let kept = Size::max(&wanted, &recent);
                // The offered part may go to other racks before this process learns of it.
                self.offer = Some(kept).filter(|kept| *kept != self.allotted);
                kept
            }
        };
        (want != self.allotted).then_some(want)
    }

    /// Sets the allotment as the table has it.
    fn allot(&mut self, allotted: Size, now: Time) {
        if !allotted.fits(&self.allotted) {
            self.previous_peak = Size::max(&self.previous_peak, &allotted);
            self.span_start = now;
            self.last_active = now;
        }
        self.allotted = allotted;
        self.cap = self.cap.filter(|cap| !allotted.fits(cap));
        self.offer = self.offer.filter(|offer| !allotted.fits(offer));
    }

    /// Returns `wanted`, bounded by what is used from below and by the allotment from above.
    fn floor(&self, wanted: Size) -> Size {
        Size::max(&self.used, &Size::min(&wanted, &self.allotted))
    }

    /// Returns the amount that may still be started if workers may run `unseen` work of the team.
    fn available(&self, unseen: &Size) -> Size {
        let cap = self.cap.unwrap_or(Size::MAX);
        let offer = self.offer.unwrap_or(Size::MAX);
        let bound = Size::min(&cap, &offer);
        Size::min(&self.allotted, &bound)
            .minus(&self.used)
            .minus(unseen)
    }
}

/// The work of a team that waits.
pub struct Need<'a> {
    /// The team, by index.
    pub team: usize,
    /// The team's name.
    pub name: &'a Name,
    /// The work that may run on any rack.
    pub anywhere: Size,
    /// Whether work of the team waits on some server, so that what is not in use is given back at
    /// once.
    pub pressed: bool,
    /// The work that waits on racks that hold nothing of the limit while other racks hold all of
    /// it.
    pub starved: Size,
    /// Returns the work that may run only on the rack with the given index.
    pub bound: &'a dyn Fn(usize) -> Size,
}

/// The resources of a rack's workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Resources {
    /// The free resources.
    pub free: Size,
    /// All resources.
    pub capacity: Size,
}

/// A rack with the allotments that it holds.
#[derive(Debug)]
pub struct Rack {
    /// The name of the rack.
    pub name: Name,
    /// The epoch of the ownership.
    pub epoch: u64,
    /// Whether this process owns it and may place there.
    pub owned: bool,
    /// The work that may run on workers that have not sent an inventory under this epoch.
    unseen: Size,
    /// The allotments, by the index of the team.
    accounts: Vec<Account>,
}

/// The allotments of all racks.
#[derive(Debug, Default)]
pub struct Ledger {
    racks: Vec<Rack>,
    /// The amounts that may still be started, by team and rack; contiguous per team for searches
    /// over all racks.
    available: Vec<Vec<Size>>,
    /// The same amounts by rack and team, for searches over all teams.
    available_by_rack: Vec<Vec<Size>>,
    /// Whether work was skipped for lack of allotment, by team and rack.
    short: Vec<Vec<bool>>,
    names: Map<Name, usize>,
}

impl Ledger {
    /// Returns the index of a rack, adding the rack if it is new.
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
            unseen: Size::ZERO,
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

    /// Returns a rack for modification.
    pub fn rack_mut(&mut self, rack: usize) -> &mut Rack {
        &mut self.racks[rack]
    }

    /// Returns the indexes of the owned racks.
    pub fn owned(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.racks.len()).filter(|&rack| self.racks[rack].owned)
    }

    /// Replaces the allotments of a rack; teams that are not listed hold nothing.
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
            self.refresh(rack, team);
        }
    }

    /// Caps the allotment of a team on a rack, and returns the least amount that the rack needs.
    pub fn cap(&mut self, rack: usize, team: usize, cap: Size) -> Size {
        let account = self.account_mut(rack, team);
        account.cap = Some(cap).filter(|cap| !account.allotted.fits(cap));
        let floor = account.floor(cap);
        let allotted = account.allotted;
        self.refresh(rack, team);
        // Work that may run on workers without an inventory has to stay covered.
        let unseen = Size::min(&floor.plus(&self.racks[rack].unseen), &allotted);
        Size::max(&floor, &unseen)
    }

    /// Withdraws a rack's offer after it was told to keep all that it holds, and returns whether
    /// there was an offer.
    pub fn keep(&mut self, rack: usize, team: usize, held: &Size) -> bool {
        let account = self.account_mut(rack, team);
        if account.allotted != *held {
            return false;
        }
        account.base = *held;
        let offered = account.offer.take().is_some();
        self.refresh(rack, team);
        offered
    }

    /// Sets the work that may run on workers of a rack that have not sent an inventory, and returns
    /// whether it decreased.
    pub fn set_unseen(&mut self, rack: usize, unseen: Size) -> bool {
        let before = std::mem::replace(&mut self.racks[rack].unseen, unseen);
        if before == unseen {
            return false;
        }
        for team in 0..self.racks[rack].accounts.len() {
            self.refresh(rack, team);
        }
        unseen.fits(&before)
    }

    /// Returns the amount that may still be started on a rack for a team.
    pub fn available(&self, rack: usize, team: usize) -> Size {
        let teams = self.available_by_rack.get(rack);
        let available = teams.and_then(|teams| teams.get(team));
        available.copied().unwrap_or_default()
    }

    /// Tells whether there is a rack on which a team may start an amount.
    pub fn has_available(&self, team: usize, size: &Size) -> bool {
        let available = self.available.get(team).into_iter().flatten();
        available.into_iter().any(|available| size.fits(available))
    }

    /// Recomputes the amount that may still be started.
    fn refresh(&mut self, rack: usize, team: usize) {
        let unseen = &self.racks[rack].unseen;
        let available = self.account(rack, team).available(unseen);
        *cell_mut(&mut self.available, team, rack) = available;
        *cell_mut(&mut self.available_by_rack, rack, team) = available;
    }

    /// Returns the account of a team on a rack.
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

    /// Books an amount, even if it exceeds the allotment.
    pub fn book(&mut self, rack: usize, team: usize, size: &Size) {
        let account = self.account_mut(rack, team);
        account.used = account.used.plus(size);
        account.peak = Size::max(&account.peak, &account.used);
        self.refresh(rack, team);
    }

    /// Releases an amount and returns whether work of the team had been skipped for lack of
    /// allotment.
    pub fn release(&mut self, rack: usize, team: usize, size: &Size, now: Time) -> bool {
        let account = self.account_mut(rack, team);
        account.used = account.used.minus(size);
        account.last_active = now;
        self.refresh(rack, team);
        std::mem::take(cell_mut(&mut self.short, team, rack))
    }

    /// Notes that work of a team was skipped on a rack for lack of allotment.
    pub fn mark_short(&mut self, rack: usize, team: usize) {
        *cell_mut(&mut self.short, team, rack) = true;
    }

    /// Notes that work of a team was skipped on all racks for lack of allotment.
    pub fn mark_short_everywhere(&mut self, team: usize) {
        let last = self.racks.len().saturating_sub(1);
        cell_mut(&mut self.short, team, last);
        self.short[team].fill(true);
    }

    /// Returns the sum of a team's allotments on all owned racks.
    pub fn allotted(&self, team: usize) -> Size {
        self.owned()
            .map(|rack| self.account(rack, team).allotted)
            .fold(Size::ZERO, |sum, size| sum.plus(&size))
    }

    /// Returns demands that move allotments to racks where work waits and give back those that were
    /// not in use recently.
    ///
    /// Work that may run on any rack is assigned to racks with free capacity first.
    pub fn demands(
        &mut self,
        need: &Need,
        now: Time,
        resources: impl Fn(usize) -> Resources,
    ) -> Vec<Demand> {
        let owned: Vec<usize> = self.owned().collect();
        let mut left = need.anywhere;
        let mut wanted = Vec::with_capacity(owned.len());
        for &rack in &owned {
            let resources = resources(rack);
            let part = left.part_within(&resources.free);
            left = left.minus(&part);
            let bound = (need.bound)(rack);
            wanted.push(bound.plus(&part).part_within(&resources.capacity));
        }
        for (rack, wanted) in owned.iter().zip(&mut wanted) {
            let part = left.part_within(&resources(*rack).capacity);
            left = left.minus(&part);
            *wanted = wanted.plus(&part);
        }
        let demand = |(rack, wanted): (usize, Size)| {
            let has_unseen = !self.racks[rack].unseen.is_zero();
            let account = self.account_mut(rack, need.team);
            let offered = account.offer;
            let want = account.want(&wanted, need, now);
            let lowers = want.filter(|want| !account.allotted.fits(want)).is_some();
            if has_unseen && lowers {
                // Work that may run on workers without an inventory has to stay covered. An earlier
                // offer still counts, since it may be taken at any time.
                account.offer = offered;
            }
            self.refresh(rack, need.team);
            let want = want.filter(|_| !(has_unseen && lowers))?;
            Some(Demand {
                rack: self.racks[rack].name.clone(),
                team: need.name.clone(),
                want,
            })
        };
        owned.into_iter().zip(wanted).filter_map(demand).collect()
    }
}

/// Returns the cell of a table, growing the table if needed.
fn cell_mut<T: Clone + Default>(table: &mut Vec<Vec<T>>, row: usize, column: usize) -> &mut T {
    if table.len() <= row {
        table.resize(row + 1, Vec::new());
    }
    let row = &mut table[row];
    if row.len() <= column {
        row.resize(column + 1, T::default());
    }
    &mut row[column]
}
