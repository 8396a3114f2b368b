//! Bad workers told from bad kinds of work.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::name::{Map, Name};

/// Outcomes that are remembered of each kind.
const KEPT: usize = 32;

/// Failures in a row that speak against a worker.
const STREAK: usize = 3;

/// Other workers on which a kind has to fail before it is called bad.
const WITNESSES: usize = 2;

/// The pause before the first probe after a quarantine.
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// How often the pause between probes doubles at most.
const DOUBLINGS: u32 = 8;

/// Whether attempts may be started on a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Circuit {
    /// Freely.
    #[default]
    Closed,
    /// None; it is probed.
    Open,
    /// One at a time, until one succeeds.
    Trial,
}

/// Who is to blame for a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blame {
    /// The kind, which fails on other workers too.
    Kind,
    /// The worker, since the kind succeeds on others.
    Worker,
    /// The kind has not ended on other workers lately.
    Unclear,
}

/// What is to be done about a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Nothing,
    /// It is to be probed, and takes work meanwhile.
    Probe,
    /// It is to be quarantined.
    Quarantine,
    /// It is trusted again.
    Trust,
}

/// What is known of one worker.
#[derive(Clone, Debug, Default)]
struct Record {
    circuit: Circuit,
    blamed: usize,
    unclear: usize,
    kinds: BTreeSet<Name>,
    probing: bool,
    quarantines: u32,
}

impl Record {
    fn clear(&mut self) {
        self.blamed = 0;
        self.unclear = 0;
        self.kinds.clear();
    }
}

/// What is known of all workers and kinds.
#[derive(Debug, Default)]
pub struct Health {
    workers: Map<usize, Record>,
    kinds: Map<Name, VecDeque<(usize, bool)>>,
}

impl Health {
    /// Returns a worker's circuit.
    pub fn circuit(&self, worker: usize) -> Circuit {
        let record = self.workers.get(&worker);
        record.map(|record| record.circuit).unwrap_or_default()
    }

    /// Tells who is to blame where a kind fails on a worker.
    pub fn blame(&self, kind: &Name, worker: usize) -> Blame {
        let ends = self.kinds.get(kind).into_iter().flatten();
        let others = ends.filter(|(other, _)| *other != worker);
        let mut failed = BTreeSet::new();
        for &(other, well) in others {
            if well {
                return Blame::Worker;
            }
            failed.insert(other);
        }
        if failed.len() >= WITNESSES {
            Blame::Kind
        } else {
            Blame::Unclear
        }
    }

    /// Takes the end of an attempt.
    pub fn record(&mut self, kind: &Name, worker: usize, well: bool) -> Step {
        let blame = self.blame(kind, worker);
        let ends = self.kinds.entry(kind.clone()).or_default();
        ends.push_back((worker, well));
        if ends.len() > KEPT {
            ends.pop_front();
        }
        if well {
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
        let tried = record.circuit == Circuit::Trial;
        let all = record.blamed + record.unclear;
        let proved = record.blamed >= STREAK || (all >= STREAK && record.kinds.len() > 1);
        if tried || proved {
            return self.quarantine(worker);
        }
        let asks = record.unclear >= STREAK && !record.probing;
        if asks {
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

    /// Takes the result of a probe.
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

    /// Returns the bound of the pause before a worker's next probe.
    pub fn max_pause(&self, worker: usize) -> Duration {
        let record = self.workers.get(&worker);
        let count = record.map_or(0, |record| record.quarantines.saturating_sub(1));
        FIRST_PAUSE * (1 << count.min(DOUBLINGS))
    }
}
