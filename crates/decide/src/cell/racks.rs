//! Gain and loss of racks, their allotments, and the configuration of teams.

use crate::name::Name;
use crate::rack::{Allotments, Allotted, Grant};
use crate::request::Id;
use crate::resource::Team;
use crate::size::Size;
use crate::verdict::Reason;
use crate::workers::Claim;

use super::job::Phase;
use super::{Ceilings, Cell};

impl Cell {
    pub(super) fn configure(&mut self, revision: u64, teams: &[Team]) {
        if self.revision.is_some_and(|known| known > revision) {
            return;
        }
        self.revision = Some(revision);
        self.teams.configure(teams);
    }

    pub(super) fn gain(&mut self, grant: &Grant) {
        let rack = self.ledger.index(&grant.rack);
        let known = self.ledger.rack_mut(rack);
        if known.epoch > grant.epoch {
            return;
        }
        let already_owned = known.owned && known.epoch == grant.epoch;
        known.epoch = grant.epoch;
        known.owned = true;
        self.take_allotments(rack, &grant.allotments);
        if already_owned {
            return;
        }
        for worker in self.workers.rack(rack).to_vec() {
            self.claim(worker);
        }
        self.update_capacity();
    }

    pub(super) fn allot(&mut self, allotted: &Allotted) {
        let Some(rack) = self.ledger.find(&allotted.rack) else {
            return;
        };
        let known = self.ledger.rack(rack);
        if known.owned && known.epoch == allotted.epoch {
            self.take_allotments(rack, &allotted.allotments);
        }
    }

    fn take_allotments(&mut self, rack: usize, allotments: &Allotments) {
        let teams = &mut self.teams;
        self.ledger
            .allot(rack, allotments, self.now, |name| teams.index(name));
        self.dirty_workers.extend(self.workers.rack(rack));
    }

    pub(super) fn lose(&mut self, rack: &Name) {
        let Some(rack) = self.ledger.find(rack) else {
            return;
        };
        self.ledger.rack_mut(rack).owned = false;
        for worker in self.workers.rack(rack).to_vec() {
            self.workers.get_mut(worker).claim = Claim::Unclaimed;
            self.refresh(worker);
            self.release_held(worker);
        }
        self.update_capacity();
        self.deny_resuming(rack);
        self.answer_unconfirmed(rack);
        self.deny_unplaceable();
    }

    /// Denies waiting requests that fit on no remaining rack.
    fn deny_unplaceable(&mut self) {
        for id in self.queue.ids() {
            let Some(item) = self.queue.get(id) else {
                continue;
            };
            if !self.could_hold(&item.size, item.rack) {
                self.deny(id, Reason::Leaving);
            }
        }
        if self.ledger.owned().next().is_none() {
            self.deny_backoffs();
        }
    }

    fn deny_backoffs(&mut self) {
        let mut waiting: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.phase == Phase::Backoff)
            .map(|(id, _)| *id)
            .collect();
        waiting.sort_unstable();
        for id in waiting {
            self.deny(id, Reason::Leaving);
        }
    }

    /// Denies resumed requests that may run on a lost rack, so that its next owner is asked.
    fn deny_resuming(&mut self, lost: usize) {
        let affected = |&(_, rack): &(&Id, &Option<usize>)| rack.is_none_or(|rack| rack == lost);
        let ids: Vec<Id> = self
            .resuming
            .iter()
            .filter(affected)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.deny(id, Reason::NoOwner);
        }
    }

    /// Recomputes the capacities of the fleet and of the owned workers.
    pub(super) fn update_capacity(&mut self) {
        let mut own = Size::ZERO;
        self.ceilings = Ceilings::default();
        for (_, worker) in self.workers.iter().filter(|(_, worker)| !worker.gone) {
            let capacity = worker.spec.capacity;
            self.ceilings.fleet.insert(capacity);
            if self.ledger.rack(worker.rack).owned && !worker.leaving {
                self.ceilings.own.insert(capacity);
                own = own.plus(&capacity);
            }
        }
        self.teams.set_own_capacity(own);
    }
}
