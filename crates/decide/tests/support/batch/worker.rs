//! A simulated worker that follows the platform's description.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurepath_decide::batch::report::{End, Outcome, Report, Running};
use azurepath_decide::batch::{Attempt, Refusal, StartOutcome, TaskId};
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;

/// How long a worker takes to stop a task.
const STOP_DELAY_MS: u64 = 200;

/// The longest lease that a worker grants.
const MAX_LEASE_MS: u64 = 6_000;

/// What a member of a gang does once all members have started.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub time: Duration,
    pub outcome: Outcome,
}

/// A running task.
#[derive(Clone, Debug)]
pub struct Task {
    pub run: u64,
    pub size: Size,
    pub ends: Time,
    pub outcome: Outcome,
    /// Its work if it waits for other members of its gang.
    pub waits: Option<Work>,
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    pub born: Time,
    pub capacity: Size,
    pub fence: u64,
    pub lease: Time,
    pub running: BTreeMap<TaskId, Task>,
    pub ended: Vec<End>,
    pub next_end: u64,
    /// The numbers of the ends that were not acknowledged when the lease expired. A later
    /// acknowledgement of them does not count.
    pub expired: BTreeSet<u64>,
    /// The highest run of each task that was stopped or has ended.
    pub highest_run: BTreeMap<TaskId, u64>,
}

impl Worker {
    pub fn new(born: Time, capacity: Size) -> Worker {
        Worker {
            born,
            capacity,
            fence: 0,
            lease: born,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            expired: BTreeSet::new(),
            highest_run: BTreeMap::new(),
        }
    }

    pub fn clock_ms(&self, now: Time) -> u64 {
        now.since(self.born).as_millis() as u64
    }

    /// Ends the tasks that are due, and all tasks if the lease has expired.
    pub fn advance(&mut self, now: Time) {
        let due: Vec<TaskId> = self
            .running
            .iter()
            .filter(|(_, task)| task.ends <= now.min(self.lease))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let outcome = self.running[&id].outcome;
            self.end(id, outcome);
        }
        if now > self.lease {
            let remaining: Vec<TaskId> = self.running.keys().copied().collect();
            for id in remaining {
                self.end(id, Outcome::Lapsed);
            }
            self.expired.extend(self.ended.iter().map(|end| end.number));
        }
    }

    pub fn start(
        &mut self,
        now: Time,
        fence: u64,
        attempt: Attempt,
        until_ms: u64,
        task: Task,
    ) -> StartOutcome {
        self.advance(now);
        if fence < self.fence {
            return StartOutcome::Refused(Refusal::Superseded);
        }
        self.fence = fence;
        if self.clock_ms(now) > until_ms {
            return StartOutcome::Refused(Refusal::Late);
        }
        if let Some(known) = self.running.get(&attempt.task) {
            return if known.run == attempt.run {
                StartOutcome::Running
            } else {
                StartOutcome::Refused(Refusal::OldRun)
            };
        }
        if self
            .highest_run
            .get(&attempt.task)
            .is_some_and(|&run| run >= attempt.run)
        {
            return StartOutcome::Refused(Refusal::OldRun);
        }
        self.extend(now, until_ms);
        self.running.insert(attempt.task, task);
        StartOutcome::Running
    }

    pub fn stop(&mut self, now: Time, fence: u64, attempt: Attempt) {
        self.advance(now);
        if fence < self.fence {
            return;
        }
        self.fence = fence;
        let highest_run = self.highest_run.entry(attempt.task).or_default();
        *highest_run = (*highest_run).max(attempt.run);
        if let Some(task) = self.running.get_mut(&attempt.task)
            && task.run == attempt.run
        {
            task.ends = task.ends.min(Time(now.0 + STOP_DELAY_MS * 1_000));
            task.outcome = Outcome::Stopped;
            task.waits = None;
        }
    }

    /// Renews the lease and returns a report, or `None` if the epoch is too low.
    pub fn renew(
        &mut self,
        now: Time,
        fence: u64,
        acknowledged: u64,
        until_ms: Option<u64>,
    ) -> Option<Report> {
        self.advance(now);
        if fence < self.fence {
            return None;
        }
        self.fence = fence;
        self.ended.retain(|end| end.number > acknowledged);
        if let Some(until) = until_ms {
            self.extend(now, until);
        }
        Some(self.report(now))
    }

    /// Returns what a renewal is answered with.
    pub fn report(&self, now: Time) -> Report {
        let running = self.running.iter().map(|(id, task)| Running {
            attempt: Attempt {
                task: *id,
                run: task.run,
            },
            checkpoint: None,
            progress: 0.0,
        });
        Report {
            clock_ms: self.clock_ms(now),
            born_ms: self.born.0 / 1_000 + 1,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }

    /// Extends the lease, at most by the longest lease from now.
    fn extend(&mut self, now: Time, until_ms: u64) {
        let until = Time(self.born.0 + until_ms * 1_000);
        let longest = Time(now.0 + MAX_LEASE_MS * 1_000);
        self.lease = self.lease.max(until.min(longest));
    }

    fn end(&mut self, id: TaskId, outcome: Outcome) {
        let Some(task) = self.running.remove(&id) else {
            return;
        };
        let highest_run = self.highest_run.entry(id).or_default();
        *highest_run = (*highest_run).max(task.run);
        self.ended.push(End {
            number: self.next_end,
            attempt: Attempt {
                task: id,
                run: task.run,
            },
            outcome,
            checkpoint: None,
        });
        self.next_end += 1;
    }
}
