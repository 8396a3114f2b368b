//! Asks for allotments where work waits, and offers of what lies idle.

use std::time::Duration;

use crate::action::Action;

use super::Cell;

/// The shortest time between two asks.
const PAUSE: Duration = Duration::from_secs(1);

impl Cell {
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
            demands.extend(
                self.ledger
                    .demands(team, name, waiting, self.now, |rack| self.rack_free(rack)),
            );
        }
        if !demands.is_empty() {
            self.out.push(Action::Allot { demands });
        }
    }
}
