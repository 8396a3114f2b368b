//! Circuit breakers of workers, which tell faulty workers from faulty kinds of work.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::name::{Map, Name};

/// The number of recent outcomes that are kept of each kind.
const MAX_OUTCOMES: usize = 32;

/// The number of consecutive failures after which a worker is quarantined or probed.
const FAILURE_STREAK: usize = 3;

/// The number of other workers on which a kind has to fail before the kind is blamed.
const MIN_FAILED_WORKERS: usize = 2;

/// The pause before the first probe after a quarantine.
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// The highest number of times that the pause between probes doubles.
const MAX_DOUBLINGS: u32 = 8;

/// The state of a worker's circuit breaker: whether attempts may be started there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Circuit {
    /// Attempts may be started.
    #[default]
    Closed,
    /// No attempts may be started, and the worker is probed.
    Open,
    /// Half open: one attempt may run at a time, until one succeeds.
    Trial,
}

/// The likely cause of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blame {
    /// The kind of work, since it fails on other workers too.
    Kind,
    /// The worker, since the kind of work succeeds on others.
    Worker,
    /// Unknown, since the kind has no recent success and too few recent failures on other workers.
    Unclear,
}

/// The action to take on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// None.
    Nothing,
    /// Probe the worker, which takes work meanwhile.
    Probe,
    /// Quarantine the worker, or keep it in quarantine.
    Quarantine,
    /// Let the worker take work again.
    Trust,
}

/// The health record of one worker.
#[derive(Clone, Debug, Default)]
struct Record {
    circuit: Circuit,
    /// Failures since the last success for which the worker is blamed.
    blamed: usize,
    /// Failures since the last success with an unclear cause.
    unclear: usize,
    /// The kinds that have failed since the last success.
    kinds: BTreeSet<Name>,
    probing: bool,
    /// Consecutive quarantines, which lengthen the pause between probes.
    quarantines: u32,
}

impl Record {
    fn clear(&mut self) {
        self.blamed = 0;
        self.unclear = 0;
        self.kinds.clear();
    }
}

/// The health records of all workers, and the recent outcomes of kinds of work.
#[derive(Debug, Default)]
pub struct Health {
    workers: Map<usize, Record>,
    /// The recent outcomes by kind: the worker and whether the attempt succeeded.
    kinds: Map<Name, VecDeque<(usize, bool)>>,
}

impl Health {
    /// Returns a worker's circuit.
    pub fn circuit(&self, worker: usize) -> Circuit {
        let record = self.workers.get(&worker);
        record.map(|record| record.circuit).unwrap_or_default()
    }

    /// Returns the likely cause if a kind fails on a worker.
    pub fn blame(&self, kind: &Name, worker: usize) -> Blame {
        let outcomes = self.kinds.get(kind).into_iter().flatten();
        let others = outcomes.filter(|(other, _)| *other != worker);
        let mut failed = BTreeSet::new();
        for &(other, success) in others {
            if success {
                return Blame::Worker;
            }
            failed.insert(other);
        }
        if failed.len() >= MIN_FAILED_WORKERS {
            Blame::Kind
        } else {
            Blame::Unclear
        }
    }

    /// Records the outcome of an attempt and returns the action to take on its worker.
    pub fn record(&mut self, kind: &Name, worker: usize, success: bool) -> Step {
        let blame = self.blame(kind, worker);
        let outcomes = self.kinds.entry(kind.clone()).or_default();
        outcomes.push_back((worker, success));
        if outcomes.len() > MAX_OUTCOMES {
            outcomes.pop_front();
        }
        if success {
            self.succeeded(worker)
        } else {
            self.failed(kind, worker, blame)
        }
    }

    fn succeeded(&mut self, worker: usize) -> Step {
        let record = self.workers.entry(worker).or_default();
        record.clear();
        if record.circuit != Circuit::Trial {
            return Step::Nothing;
        }
        record.circuit = Circuit::Closed;
        record.quarantines = 0;
        Step::Trust
    }

    fn failed(&mut self, kind: &Name, worker: usize, blame: Blame) -> Step {
        let record = self.workers.entry(worker).or_default();
        match blame {
            Blame::Kind => return Step::Nothing,
            Blame::Worker => record.blamed += 1,
            Blame::Unclear => record.unclear += 1,
        }
        record.kinds.insert(kind.clone());
        let on_trial = record.circuit == Circuit::Trial;
        let failures = record.blamed + record.unclear;
        let is_faulty = record.blamed >= FAILURE_STREAK
            || (failures >= FAILURE_STREAK && record.kinds.len() > 1);
        if on_trial || is_faulty {
            return self.quarantine(worker);
        }
        let needs_probe = record.unclear >= FAILURE_STREAK && !record.probing;
        if needs_probe {
            record.probing = true;
            Step::Probe
        } else {
            Step::Nothing
        }
    }

    fn quarantine(&mut self, worker: usize) -> Step {
        let record = self.workers.entry(worker).or_default();
        if record.circuit == Circuit::Open {
            return Step::Nothing;
        }
        record.clear();
        record.circuit = Circuit::Open;
        record.quarantines += 1;
        Step::Quarantine
    }

    /// Records the result of a probe and returns the action to take on the worker.
    pub fn probed(&mut self, worker: usize, healthy: bool) -> Step {
        let record = self.workers.entry(worker).or_default();
        record.probing = false;
        match (record.circuit, healthy) {
            (Circuit::Open, true) => {
                record.circuit = Circuit::Trial;
                Step::Trust
            }
            (Circuit::Open, false) => {
                record.quarantines += 1;
                Step::Quarantine
            }
            (_, true) => {
                record.clear();
                Step::Nothing
            }
            (_, false) => self.quarantine(worker),
        }
    }

    /// Returns the upper bound of the pause before a worker's next probe.
    pub fn max_pause(&self, worker: usize) -> Duration {
        let record = self.workers.get(&worker);
        let count = record.map_or(0, |record| record.quarantines.saturating_sub(1));
        FIRST_PAUSE * (1 << count.min(MAX_DOUBLINGS))
    }
}
