//! A simulated worker, with epochs, a lease timed by its own clock and the outcomes of attempts.

use std::collections::BTreeMap;
use std::time::Duration;

use azurepath_decide::attempt::{Attempt, Outcome, Refusal, Running};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use azurepath_decide::worker::{Interrupt, Inventory, Report, Spec, Usage};

/// The lease that owners ask workers for.
pub const LEASE: Duration = Duration::from_secs(4);

/// A call to a worker.
#[derive(Clone, Debug)]
pub enum Call {
    Claim {
        epoch: u64,
    },
    Renew {
        epoch: u64,
    },
    Start {
        epoch: u64,
        running: Running,
        run_time: Duration,
    },
    Attach {
        attempt: Attempt,
    },
    Interrupt {
        epoch: u64,
        attempt: Attempt,
        how: Interrupt,
    },
    Probe {
        epoch: u64,
    },
}

/// A worker's immediate answer to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    Claimed(Inventory),
    Renewed {
        report: Report,
        leaving: bool,
    },
    /// The attempt runs. The result follows when it ends.
    Started,
    Ended(Outcome),
    Probed(bool),
    Done,
    Refused(Refusal),
    Unknown,
}

#[derive(Debug)]
pub struct Worker {
    pub spec: Spec,
    pub epoch: u64,
    pub lease_until: Time,
    /// The ratio of the true length of its lease to the nominal one, due to the drift of its clock.
    pub clock_drift: f64,
    pub running: BTreeMap<Attempt, Running>,
    pub ended: BTreeMap<Attempt, Outcome>,
    pub leaving_since: Option<Time>,
    pub dead_since: Option<Time>,
    pub unresponsive_until: Time,
    pub failing_until: Time,
}

impl Worker {
    pub fn new(spec: Spec, clock_drift: f64) -> Worker {
        Worker {
            spec,
            epoch: 0,
            lease_until: Time(0),
            clock_drift,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            leaving_since: None,
            dead_since: None,
            unresponsive_until: Time(0),
            failing_until: Time(0),
        }
    }

    pub fn name(&self) -> &Name {
        &self.spec.name
    }

    pub fn used(&self) -> Size {
        let sizes = self.running.values().map(|running| running.size);
        sizes.fold(Size::ZERO, |sum, size| sum.plus(&size))
    }

    pub fn handle(&mut self, now: Time, call: &Call) -> Reply {
        let epoch = match call {
            Call::Claim { epoch }
            | Call::Renew { epoch }
            | Call::Start { epoch, .. }
            | Call::Interrupt { epoch, .. }
            | Call::Probe { epoch } => Some(*epoch),
            Call::Attach { .. } => None,
        };
        if epoch.is_some_and(|epoch| epoch < self.epoch) {
            return Reply::Refused(Refusal::StaleEpoch);
        }
        self.epoch = epoch.unwrap_or(self.epoch);
        match call {
            Call::Claim { .. } => {
                self.renew(now);
                Reply::Claimed(self.inventory())
            }
            Call::Renew { .. } => {
                self.renew(now);
                Reply::Renewed {
                    report: self.report(),
                    leaving: self.leaving_since.is_some(),
                }
            }
            Call::Start { running, .. } => self.start(now, running),
            Call::Attach { attempt } => self.attach(*attempt),
            Call::Interrupt { .. } => Reply::Done,
            Call::Probe { .. } => Reply::Probed(now >= self.failing_until),
        }
    }

    fn renew(&mut self, now: Time) {
        self.lease_until = now.after(LEASE.mul_f64(self.clock_drift));
    }

    fn inventory(&self) -> Inventory {
        Inventory {
            worker: self.spec.name.clone(),
            epoch: self.epoch,
            running: self.running.values().cloned().collect(),
            ended: self.ended.keys().copied().collect(),
        }
    }

    fn report(&self) -> Report {
        let usage = self.running.values().map(|running| Usage {
            attempt: running.attempt,
            used: running.size,
        });
        Report {
            worker: self.spec.name.clone(),
            usage: usage.collect(),
        }
    }

    fn start(&mut self, now: Time, running: &Running) -> Reply {
        let id = running.attempt.request;
        let mut known = self.running.keys().chain(self.ended.keys());
        if known.any(|attempt| attempt.request == id) {
            return Reply::Refused(Refusal::Duplicate);
        }
        if self.leaving_since.is_some() {
            return Reply::Refused(Refusal::Leaving);
        }
        // Half of the failures happen before the task has begun.
        if now < self.failing_until && id.0.is_multiple_of(2) {
            return Reply::Refused(Refusal::Broken);
        }
        self.running.insert(running.attempt, running.clone());
        Reply::Started
    }

    fn attach(&self, attempt: Attempt) -> Reply {
        if let Some(outcome) = self.ended.get(&attempt) {
            return Reply::Ended(*outcome);
        }
        if self.running.contains_key(&attempt) {
            Reply::Started
        } else {
            Reply::Unknown
        }
    }

    /// Ends an attempt. Returns whether it was running.
    pub fn end(&mut self, attempt: Attempt, outcome: Outcome) -> bool {
        let was_running = self.running.remove(&attempt).is_some();
        if was_running {
            self.ended.insert(attempt, outcome);
        }
        was_running
    }
}
