//! Workers that fail are quarantined and probed.

use std::time::Duration;

use crate::action::Action;
use crate::health::{Circuit, Step};
use crate::name::Name;

use super::Cell;
use super::timer::Timer;

/// How long the result of a probe is waited for at least.
const TIMEOUT: Duration = Duration::from_secs(10);

impl Cell {
    /// Takes the end of an attempt as evidence.
    pub(super) fn judge(&mut self, kind: &Name, worker: usize, well: bool) {
        let step = self.health.record(kind, worker, well);
        self.act(worker, step);
    }

    pub(super) fn probed(&mut self, worker: &Name, healthy: bool) {
        if let Some(worker) = self.room.find(worker) {
            let step = self.health.probed(worker, healthy);
            self.act(worker, step);
        }
    }

    fn act(&mut self, worker: usize, step: Step) {
        match step {
            Step::Nothing => return,
            Step::Probe => self.probe(worker),
            Step::Quarantine => {
                let bound = self.health.max_pause(worker);
                let pause = bound / 2 + self.jitter(bound / 2);
                self.probe_after(worker, pause);
            }
            Step::Trust => {}
        }
        self.refresh(worker);
    }

    fn probe_after(&mut self, worker: usize, pause: Duration) {
        let at = self.now.after(pause);
        self.room.get_mut(worker).probe_at = at;
        self.at(at, Timer::Probe(worker));
    }

    /// Probes a worker that is in quarantine, and again where no result comes.
    pub(super) fn probe_again(&mut self, worker: usize) {
        let due = self.room.get(worker).probe_at <= self.now;
        if due && self.health.circuit(worker) == Circuit::Open {
            self.probe(worker);
            self.probe_after(worker, TIMEOUT.max(self.health.max_pause(worker)));
        }
    }

    fn probe(&mut self, worker: usize) {
        let known = self.room.get(worker);
        if known.gone || !self.ledger.rack(known.rack).owned {
            return;
        }
        self.out.push(Action::Probe {
            worker: known.spec.name.clone(),
        });
    }
}
