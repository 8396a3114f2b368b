//! Quarantine and probes of failing workers.

use std::time::Duration;

use crate::action::Action;
use crate::health::{Circuit, Step};
use crate::name::Name;

use super::Cell;
use super::timer::Timer;

/// The shortest time to wait for the result of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

impl Cell {
    /// Records whether an attempt on a worker ended well.
    pub(super) fn record_outcome(&mut self, kind: &Name, worker: usize, well: bool) {
        let step = self.health.record(kind, worker, well);
        self.apply_step(worker, step);
    }

    pub(super) fn probed(&mut self, worker: &Name, healthy: bool) {
        if let Some(worker) = self.workers.find(worker) {
            let step = self.health.probed(worker, healthy);
            self.apply_step(worker, step);
        }
    }

    fn apply_step(&mut self, worker: usize, step: Step) {
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
        self.workers.get_mut(worker).probe_at = at;
        self.set_timer(at, Timer::Probe(worker));
    }

    /// Probes a quarantined worker, and probes it again if no result comes.
    pub(super) fn probe_again(&mut self, worker: usize) {
        let due = self.workers.get(worker).probe_at <= self.now;
        if due && self.health.circuit(worker) == Circuit::Open {
            self.probe(worker);
            self.probe_after(worker, PROBE_TIMEOUT.max(self.health.max_pause(worker)));
        }
    }

    fn probe(&mut self, worker: usize) {
        let known = self.workers.get(worker);
        if known.gone || !self.ledger.rack(known.rack).owned {
            return;
        }
        self.actions.push(Action::Probe {
            worker: known.spec.name.clone(),
        });
    }
}
