//! Demands for allotments for waiting work, and offers of idle allotments.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::action::Action;
use crate::ledger::{Need, Resources};
use crate::rack::Demand;
use crate::size::Size;

use super::Cell;

/// Interval between two rounds of demands.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two rounds of demands if work lacked an allotment since the last one.
const SHORTAGE_INTERVAL: Duration = Duration::from_millis(200);

/// Number of demands after which the remaining teams are left to the next round.
const DEMANDS_PER_BATCH: usize = 256;

impl Cell {
    /// Returns the size that waits for a team where none of its limit is allotted, on any server.
    fn starved(&self, team: usize) -> Size {
        let unallotted = |&rack: &usize| self.ledger.account(rack, team).allotted.is_zero();
        let own = self.ledger.owned().filter(unallotted);
        let own = own.fold(Size::ZERO, |sum, rack| {
            sum.plus(&self.queue.waiting_size_at(team, Some(rack)))
        });
        self.teams.starved(team, &self.ledger.allotted(team), &own)
    }

    /// Caps what a rack uses of a lowered limit and offers the rest.
    pub(super) fn reclaim(&mut self, demand: &Demand) {
        let Some(rack) = self.ledger.find(&demand.rack) else {
            return;
        };
        if !self.ledger.rack(rack).owned {
            return;
        }
        let team = self.teams.index(&demand.team);
        let want = self.ledger.cap(rack, team, demand.want);
        let demands = vec![Demand {
            want,
            ..demand.clone()
        }];
        self.actions.push(Action::Allot { demands });
    }

    /// Uses an allotment again that a rack had offered and that stays with it.
    pub(super) fn keep(&mut self, demand: &Demand) {
        let Some(rack) = self.ledger.find(&demand.rack) else {
            return;
        };
        let team = self.teams.index(&demand.team);
        if self.ledger.keep(rack, team, &demand.want) {
            let workers = self.workers.rack(rack).iter();
            self.dirty_workers.extend(workers.copied());
        }
    }

    pub(super) fn demand_allotments(&mut self) {
        let interval = if self.allotment_short {
            SHORTAGE_INTERVAL
        } else {
            DEMAND_INTERVAL
        };
        let due = self
            .last_demand
            .is_none_or(|at| self.now.since(at) >= interval);
        if !due || self.ledger.owned().next().is_none() {
            return;
        }
        self.last_demand = Some(self.now);
        self.allotment_short = false;
        let resources = self.owned_resources();
        let rack_resources = |rack: usize| resources.get(&rack).copied().unwrap_or_default();
        let mut demands = Vec::new();
        for _ in 0..self.teams.len() {
            let team = self.next_demand_team;
            self.next_demand_team = (team + 1) % self.teams.len();
            let need = Need {
                team,
                name: &self.teams.get(team).name,
                pressed: self.teams.waits_elsewhere(team)
                    || !self.queue.waiting_size(team).is_zero(),
                starved: self.starved(team),
                anywhere: self.queue.waiting_size_at(team, None),
                bound: &|rack| self.queue.waiting_size_at(team, Some(rack)),
            };
            demands.extend(self.ledger.demands(&need, self.now, rack_resources));
            if demands.len() >= DEMANDS_PER_BATCH {
                break;
            }
        }
        if !demands.is_empty() {
            self.actions.push(Action::Allot { demands });
        }
    }

    /// Returns the free resources and capacity of each owned rack.
    fn owned_resources(&self) -> BTreeMap<usize, Resources> {
        let owned = self.ledger.owned();
        owned
            .map(|rack| (rack, self.rack_resources(rack)))
            .collect()
    }

    /// Returns the free resources of the open workers of a rack, and the capacity of the rack.
    fn rack_resources(&self, rack: usize) -> Resources {
        let workers = self.workers.rack(rack).iter();
        let open = workers
            .map(|&worker| self.workers.get(worker))
            .filter(|worker| worker.is_open());
        Resources {
            free: open.fold(Size::ZERO, |sum, worker| sum.plus(&worker.free())),
            capacity: self.workers.capacity(rack),
        }
    }
}
