//! Asks for allotments where work waits, and offers of what lies idle.

use std::time::Duration;

use crate::action::Action;
use crate::ledger::{Need, Room};
use crate::rack::Demand;
use crate::room::Room as Workers;
use crate::size::Size;

use super::Cell;

/// The time between two asks.
const PAUSE: Duration = Duration::from_secs(1);

/// The time between two asks where work was passed over for lack of allotment since.
const SHORT_PAUSE: Duration = Duration::from_millis(200);

impl Cell {
    /// Returns what waits for a team where nothing of its limit is held, here or elsewhere.
    fn starved(&self, team: usize) -> Size {
        let bare = |&rack: &usize| self.ledger.account(rack, team).allotted.is_zero();
        let own = self.ledger.owned().filter(bare);
        let own = own.fold(Size::ZERO, |sum, rack| {
            sum.plus(&self.queue.waiting_at(team, Some(rack)))
        });
        self.teams.starved(team, &self.ledger.allotted(team), &own)
    }

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
        let pause = if self.short { SHORT_PAUSE } else { PAUSE };
        let due = self.asked.is_none_or(|at| self.now.since(at) >= pause);
        if !due || self.ledger.owned().next().is_none() {
            return;
        }
        self.asked = Some(self.now);
        self.short = false;
        let mut demands = Vec::new();
        let room = |rack| Room {
            free: rack_free(&self.room, rack),
            capacity: self.room.capacity(rack),
        };
        for team in 0..self.teams.len() {
            let need = Need {
                team,
                name: &self.teams.get(team).name,
                pressed: self.teams.waits_elsewhere(team) || !self.queue.waiting(team).is_zero(),
                starved: self.starved(team),
                anywhere: self.queue.waiting_at(team, None),
                bound: &|rack| self.queue.waiting_at(team, Some(rack)),
            };
            demands.extend(self.ledger.demands(&need, self.now, room));
        }
        if !demands.is_empty() {
            self.out.push(Action::Allot { demands });
        }
    }
}

/// Returns what is free on the open workers of a rack.
fn rack_free(workers: &Workers, rack: usize) -> Size {
    let rack = workers.rack(rack).iter();
    rack.map(|&worker| workers.get(worker))
        .filter(|worker| worker.is_open())
        .fold(Size::ZERO, |sum, worker| sum.plus(&worker.free()))
}
