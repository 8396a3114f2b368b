//! Summaries for other servers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::action::Action;
use crate::share::{Summary, Tally};
use crate::size::Size;

use super::Cell;

/// The shortest time between two summaries.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

impl Cell {
    /// Publishes the summary if it has changed and the minimum interval has passed.
    pub(super) fn publish(&mut self) {
        let last = self.published.as_ref();
        if last.is_some_and(|(at, _)| self.now.since(*at) < MIN_INTERVAL) {
            return;
        }
        let sequence = last.map_or(0, |(_, summary)| summary.sequence);
        let mut summary = self.summary(sequence);
        let known = last.map(|(_, summary)| summary);
        if known == Some(&summary) || (known.is_none() && summary.racks.is_empty()) {
            return;
        }
        summary.sequence += 1;
        self.published = Some((self.now, summary.clone()));
        self.actions.push(Action::Publish(summary));
    }

    fn summary(&self, sequence: u64) -> Summary {
        let open = self.workers.iter().filter(|(_, worker)| worker.is_open());
        let (mut free, mut largest) = (Size::ZERO, Size::ZERO);
        for (_, worker) in open {
            free = free.plus(&worker.free());
            largest = Size::max(&largest, &worker.free());
        }
        let racks = self.ledger.owned();
        let ceilings = self.ceilings.own.iter();
        Summary {
            server: self.setup.server.clone(),
            sequence,
            racks: racks
                .map(|rack| self.ledger.rack(rack).name.clone())
                .collect(),
            capacity: self.teams.own_capacity(),
            free,
            largest,
            ceiling: ceilings.fold(Size::ZERO, |max, size| Size::max(&max, size)),
            wait: self
                .queue
                .total_work()
                .min_duration(&self.teams.own_capacity()),
            teams: self.tallies(),
        }
    }

    fn tallies(&self) -> BTreeMap<crate::name::Name, Tally> {
        let tally = |team| Tally {
            running: self.teams.get(team).running,
            waiting: self.queue.waiting_size(team),
            allotted: self.ledger.allotted(team),
        };
        (0..self.teams.len())
            .map(|team| (self.teams.get(team).name.clone(), tally(team)))
            .filter(|(_, tally)| *tally != Tally::default())
            .collect()
    }
}
