//! Asks for allotments where work waits, and offers of what lies idle.

use std::time::Duration;

use crate::action::Action;
use crate::rack::Demand;

use super::Cell;

/// The shortest time between two asks.
const PAUSE: Duration = Duration::from_secs(1);

impl Cell {
    /// Bounds what a rack uses of a lowered limit and offers the rest.
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
        self.out.push(Action::Allot { demands });
    }

    pub(super) fn ask(&mut self) {
        let due = self.asked.is_none_or(|at| self.now.since(at) >= PAUSE);
        if !due || self.ledger.owned().next().is_none() {
            return;
        }
        self.asked = Some(self.now);
        let mut demands = Vec::new();
        for team in 0..self.teams.len() {
            let waiting = self.queue.waiting(team);
            let name = &self.teams.get(team).name;
            let bound = |rack| self.queue.bound(team, rack);
            let free = |rack| self.rack_free(rack);
            let wanted = self
                .ledger
                .demands(team, name, waiting, self.now, bound, free);
            self.keep_within(team, &wanted);
            demands.extend(wanted);
        }
        if !demands.is_empty() {
            self.out.push(Action::Allot { demands });
        }
    }

    /// Uses no more from now on than is demanded, since a demand may be met at any time.
    fn keep_within(&mut self, team: usize, demands: &[Demand]) {
        for demand in demands {
            if let Some(rack) = self.ledger.find(&demand.rack) {
                self.ledger.cap(rack, team, demand.want);
            }
        }
    }
}
