//! Gangs that were ordered to start and may still be incomplete.
//!
//! The members of a gang wait for each other for a limited time and then end. A gang that lacks
//! members is stopped before that, so that its capacity is free again and it starts as a whole.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::time::Time;

use super::super::event::{Decision, Evidence};
use super::super::job::{Phase, Place};
use super::super::report::{End, Outcome, Running};
use super::super::{Attempt, StepId};
use super::Scheduler;

/// How long before its members give up waiting an incomplete gang is stopped: the stop itself, and
/// a repetition of the stop orders.
const STOP_MARGIN: Duration = Duration::from_millis(1_500);

/// How long it may take until a worker's report or the answer to an order shows that a task runs.
const REPORT_DELAY: Duration = Duration::from_millis(1_000);

/// A gang that was ordered to start and may still be incomplete.
#[derive(Debug)]
pub(super) struct Assembly {
    /// No member has begun to run before this time.
    begun_after: Time,
    /// Whether a member is known to have begun.
    has_begun: bool,
    /// Whether an earlier scheduler has ordered it to start.
    inherited: bool,
    /// Whether its members resume from a checkpoint.
    resumed: bool,
    /// The progress of its members when they began to run, by task.
    first_progress: BTreeMap<u32, f64>,
}

impl Assembly {
    /// Updates the earliest time at which a member can have begun, unless one is known to have.
    fn update(&mut self, now: Time) {
        if !self.has_begun {
            let delay = u64::try_from(REPORT_DELAY.as_micros()).unwrap_or(u64::MAX);
            let earliest = Time(now.0.saturating_sub(delay));
            self.begun_after = self.begun_after.max(earliest);
        }
    }

    /// Tells whether a member has progressed since it began to run.
    fn has_progressed(&mut self, index: u32, progress: f64) -> bool {
        let first = if self.resumed { progress } else { 0.0 };
        progress > *self.first_progress.entry(index).or_insert(first)
    }
}

impl Scheduler {
    /// Notes that the members of a gang were ordered to start.
    pub(super) fn begin_assembly(&mut self, id: StepId, members: usize, resumed: bool) {
        if members < 2 {
            return;
        }
        let assembly = Assembly {
            begun_after: self.now,
            has_begun: false,
            inherited: false,
            resumed,
            first_progress: BTreeMap::new(),
        };
        self.assembling.insert(id, assembly);
    }

    /// Notes that a member of a gang runs that an earlier scheduler has ordered to start.
    pub(super) fn inherit_assembly(&mut self, id: StepId) {
        let now = self.now;
        self.assembling.entry(id).or_insert_with(|| Assembly {
            begun_after: now,
            has_begun: true,
            inherited: true,
            resumed: true,
            first_progress: BTreeMap::new(),
        });
    }

    /// Notes that a task runs.
    pub(super) fn note_gang_start(&mut self, id: StepId) {
        if let Some(assembly) = self.assembling.get_mut(&id) {
            assembly.update(self.now);
            assembly.has_begun = true;
        }
    }

    /// Notes the report of a running task. Members of a gang work only once all have started.
    pub(super) fn note_gang_progress(&mut self, running: &Running) {
        let task = running.attempt.task;
        self.note_gang_start(task.step);
        if let Some(assembly) = self.assembling.get_mut(&task.step)
            && assembly.has_progressed(task.index, running.progress)
        {
            self.assembling.remove(&task.step);
        }
    }

    /// Stops a gang of which a member has ended before all are known to have started.
    pub(super) fn note_gang_end(&mut self, end: &End) {
        let id = end.attempt.task.step;
        if end.outcome != Outcome::Done && self.assembling.contains_key(&id) {
            self.stop_gang(id);
        }
    }

    /// Stops the gangs whose members would soon give up waiting for the others, and incomplete
    /// gangs of earlier schedulers once all workers have reported.
    pub(super) fn stop_incomplete_gangs(&mut self) {
        let now = self.now;
        let wait = self.setup.gang_wait;
        let wait = wait.saturating_sub(STOP_MARGIN).max(wait / 2);
        let inherits = self.assembling.values().any(|assembly| assembly.inherited);
        let all_reported = inherits && !self.may_have_unreported_tasks();
        let due = self.assembling.extract_if(.., |_, assembly| {
            assembly.update(now);
            if assembly.inherited {
                all_reported
            } else {
                now >= assembly.begun_after.after(wait)
            }
        });
        let due: Vec<StepId> = due.map(|(id, _)| id).collect();
        for id in due {
            if !self.is_gang_complete(id) {
                self.stop_gang(id);
            }
        }
    }

    /// Tells whether all members of a gang are known to have started.
    fn is_gang_complete(&self, id: StepId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return true;
        };
        let Some(step) = job.steps.get(usize::from(id.step)) else {
            return true;
        };
        let mut tasks = step.tasks.iter();
        tasks.all(|task| {
            matches!(
                task.place,
                Place::Done
                    | Place::On {
                        phase: Phase::Answered | Phase::Running,
                        ..
                    }
            )
        })
    }

    /// Marks attempts on a worker as lost and stops the gangs that they belong to.
    pub(super) fn drop_attempts(&mut self, index: usize, attempts: &[Attempt], evidence: Evidence) {
        for attempt in attempts {
            self.mark_lost(index, *attempt, evidence);
        }
        let steps: BTreeSet<StepId> = attempts.iter().map(|attempt| attempt.task.step).collect();
        for id in steps {
            self.stop_gang(id);
        }
    }

    /// Stops all members of a gang of which one does not run; does nothing for other steps and for
    /// gangs that are done.
    ///
    /// Members whose start is not confirmed are stopped too, so that late orders don't start them.
    pub(super) fn stop_gang(&mut self, id: StepId) {
        self.assembling.remove(&id);
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let number = usize::from(id.step);
        if !job.is_gang(number) || job.steps[number].remaining == 0 {
            return;
        }
        let members: Vec<(Attempt, usize)> = job
            .placed(id.job)
            .into_iter()
            .filter(|(attempt, _)| attempt.task.step == id && !self.stopping.contains_key(attempt))
            .collect();
        if members.is_empty() {
            return;
        }
        self.log(Decision::GangStopped {
            step: id,
            members: members.len(),
        });
        for (attempt, worker) in members {
            self.stop(worker, attempt);
        }
    }
}
