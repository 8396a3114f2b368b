//! The state of a worker: its epoch, its lease, and the running and finished attempts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use azurepath_decide::attempt::{Attempt, Outcome, Refusal};
use azurepath_decide::request;
use azurepath_decide::size::Size;
use azurepath_decide::worker::{Interrupt, Inventory, Report, Usage};
use azurepath_services::worker::{self, Claim, Order, Renewal};
use bytes::Bytes;

use super::record::{Begun, Ended, Record, unix_micros};
use super::task::Task;
use super::{Settings, outcome};
use crate::fault;

/// How long the answer of a finished attempt is kept.
const ANSWER_RETENTION: Duration = Duration::from_secs(600);

/// How long every renewal reports the end of a detached attempt.
const END_REPORT_PERIOD: Duration = Duration::from_secs(60);

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// An attempt that has ended.
#[derive(Clone, Debug)]
pub(super) struct Finished {
    /// How it ended.
    pub(super) outcome: Outcome,
    /// Its answer.
    pub(super) payload: Bytes,
    detached: bool,
    at: Instant,
}

/// The status of an attempt.
#[derive(Debug)]
pub(super) enum Status {
    /// The worker does not know it.
    Unknown,
    /// It runs.
    Running {
        /// When it ends, unless it runs until it is stopped.
        due: Option<Instant>,
    },
    /// It has ended.
    Finished(Finished),
}

/// The state of a worker.
#[derive(Debug)]
pub(super) struct State {
    /// The settings of the worker.
    pub(super) settings: Settings,
    /// The injected faults.
    pub(super) faults: fault::Worker,
    /// What the worker has done.
    pub(super) record: Record,
    epoch: u64,
    lease: Option<Instant>,
    running: BTreeMap<Attempt, Task>,
    finished: BTreeMap<Attempt, Finished>,
}

impl State {
    /// Returns the state of a worker that no owner has claimed.
    pub(super) fn new(settings: Settings) -> State {
        State {
            settings,
            faults: fault::Worker::default(),
            record: Record::default(),
            epoch: 0,
            lease: None,
            running: BTreeMap::new(),
            finished: BTreeMap::new(),
        }
    }

    /// Accepts an epoch unless a higher one has been seen.
    fn accept_epoch(&mut self, epoch: u64) -> Result<(), Refusal> {
        if epoch < self.epoch {
            self.record.stale_epochs += 1;
            return Err(Refusal::StaleEpoch);
        }
        self.epoch = epoch;
        self.record.epoch = epoch;
        Ok(())
    }

    fn renew_lease(&mut self, claim: &Claim, now: Instant) -> Result<(), Refusal> {
        self.advance(now);
        self.accept_epoch(claim.epoch)?;
        self.lease = Some(now + Duration::from_millis(claim.lease_ms));
        Ok(())
    }

    /// Handles a claim.
    pub(super) fn claim(&mut self, claim: &Claim, now: Instant) -> Result<Inventory, Refusal> {
        self.renew_lease(claim, now)?;
        let running = self.running.values().map(|task| task.running.clone());
        Ok(Inventory {
            worker: self.settings.name.clone(),
            epoch: self.epoch,
            running: running.collect(),
            ended: self.finished.keys().copied().collect(),
        })
    }

    /// Handles a renewal.
    pub(super) fn renew(&mut self, claim: &Claim, now: Instant) -> Result<Renewal, Refusal> {
        self.renew_lease(claim, now)?;
        Ok(Renewal {
            report: self.report(now),
            ended: self.recent_ends(now),
            leaving: self.faults.leaving,
        })
    }

    /// Returns the usage of the tasks that have run for at least the usage lag.
    fn report(&self, now: Instant) -> Report {
        let is_reported =
            |task: &&Task| now.duration_since(task.started) >= self.settings.usage_lag;
        let usage = self.running.values().filter(is_reported).map(|task| Usage {
            attempt: task.running.attempt,
            used: task.used,
        });
        Report {
            worker: self.settings.name.clone(),
            usage: usage.collect(),
        }
    }

    /// Returns the detached attempts that have ended recently.
    fn recent_ends(&self, now: Instant) -> Vec<worker::Ended> {
        let is_recent =
            |finished: &Finished| finished.detached && now - finished.at < END_REPORT_PERIOD;
        let ended = self.finished.iter().filter(|(_, end)| is_recent(end));
        ended
            .map(|(attempt, finished)| worker::Ended {
                attempt: *attempt,
                outcome: finished.outcome,
                age_ms: millis(now - finished.at),
            })
            .collect()
    }

    /// Starts an attempt unless it must be refused.
    pub(super) fn start(
        &mut self,
        order: Order,
        payload: &Bytes,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.advance(now);
        self.accept_epoch(order.epoch)?;
        let attempt = order.running.attempt;
        self.admit(attempt, &order.running.size)?;
        let begun = Begun {
            attempt,
            team: order.running.team.clone(),
            kind: order.running.kind.clone(),
            size: order.running.size,
            at_us: unix_micros(),
        };
        self.record.begun.push(begun);
        let slowdown = Duration::from_millis(self.faults.slow_ms);
        let mut task = Task::begin(order.running, order.detached, payload, slowdown, now);
        if self.faults.fail_all {
            task.fail = true;
            task.due = Some(now);
        }
        self.running.insert(attempt, task);
        self.record.peak = Size::max(&self.record.peak, &self.in_use());
        Ok(())
    }

    fn admit(&mut self, attempt: Attempt, size: &Size) -> Result<(), Refusal> {
        if self.is_duplicate(attempt) {
            self.record.duplicates += 1;
            return Err(Refusal::Duplicate);
        }
        if self.faults.leaving {
            self.record.leaving += 1;
            return Err(Refusal::Leaving);
        }
        if self.faults.refuse_all || self.lease.is_none() {
            return Err(Refusal::Broken);
        }
        if !self.in_use().plus(size).fits(&self.settings.capacity) {
            self.record.overcommits += 1;
            return Err(Refusal::NoRoom);
        }
        Ok(())
    }

    /// Tells whether the attempt would run its request a second time.
    fn is_duplicate(&self, attempt: Attempt) -> bool {
        let is_running = self
            .running
            .keys()
            .any(|other| other.request == attempt.request);
        let is_done = self.attempts_of(attempt.request).any(|(other, finished)| {
            other.number >= attempt.number || finished.outcome == Outcome::Done
        });
        is_running || is_done
    }

    fn attempts_of(&self, request: request::Id) -> impl Iterator<Item = (&Attempt, &Finished)> {
        let first = Attempt { request, number: 0 };
        let last = Attempt {
            request,
            number: u32::MAX,
        };
        self.finished.range(first..=last)
    }

    fn in_use(&self) -> Size {
        let sizes = self.running.values().map(|task| task.running.size);
        sizes.fold(Size::ZERO, |sum, size| sum.plus(&size))
    }

    /// Interrupts an attempt; does nothing if it is not running.
    pub(super) fn interrupt(
        &mut self,
        epoch: u64,
        attempt: Attempt,
        how: Interrupt,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.accept_epoch(epoch)?;
        match how {
            Interrupt::Throttle => {
                if let Some(task) = self.running.get_mut(&attempt) {
                    task.throttle(now);
                }
            }
            Interrupt::Checkpoint => self.end(attempt, Outcome::Checkpointed, now),
            Interrupt::Stop => self.end(attempt, Outcome::Stopped, now),
        }
        Ok(())
    }

    /// Runs a probe and tells whether it succeeded.
    pub(super) fn probe(&mut self, epoch: u64) -> Result<bool, Refusal> {
        self.accept_epoch(epoch)?;
        self.record.probes += 1;
        Ok(!self.faults.fail_all && !self.faults.refuse_all)
    }

    /// Stops all tasks if the lease has expired, ends those that are due and drops old answers.
    /// Returns whether any task has ended.
    pub(super) fn advance(&mut self, now: Instant) -> bool {
        let ended_before = self.record.ended.len();
        if self.lease.is_some_and(|lease| lease <= now) {
            self.expire_lease(now);
        }
        let is_due = |task: &&Task| task.due.is_some_and(|due| due <= now);
        let due: Vec<Attempt> = self
            .running
            .values()
            .filter(is_due)
            .map(|task| task.running.attempt)
            .collect();
        for attempt in due {
            let fail = self.running.get(&attempt).is_some_and(|task| task.fail);
            self.end(attempt, outcome(fail), now);
        }
        self.finished
            .retain(|_, finished| now - finished.at < ANSWER_RETENTION);
        self.record.ended.len() > ended_before
    }

    fn expire_lease(&mut self, now: Instant) {
        self.lease = None;
        let attempts: Vec<Attempt> = self.running.keys().copied().collect();
        for attempt in attempts {
            self.record.lapsed += 1;
            self.end(attempt, Outcome::Stopped, now);
        }
    }

    fn end(&mut self, attempt: Attempt, outcome: Outcome, now: Instant) {
        let Some(task) = self.running.remove(&attempt) else {
            return;
        };
        let ended = Ended {
            attempt,
            outcome,
            at_us: unix_micros(),
        };
        self.record.ended.push(ended);
        let is_done = outcome == Outcome::Done;
        let finished = Finished {
            outcome,
            payload: if is_done { task.payload } else { Bytes::new() },
            detached: task.detached,
            at: now,
        };
        self.finished.insert(attempt, finished);
    }

    /// Returns the status of an attempt.
    pub(super) fn status(&self, attempt: Attempt) -> Status {
        if let Some(task) = self.running.get(&attempt) {
            return Status::Running { due: task.due };
        }
        let finished = self.finished.get(&attempt).cloned();
        finished.map_or(Status::Unknown, Status::Finished)
    }
}
