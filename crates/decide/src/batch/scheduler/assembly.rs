//! Gangs that were ordered to start and may still be incomplete.
//!
//! The members of a gang wait for each other for a limited time and then end. A gang that lacks
//! members is stopped before that, so that its capacity is free again and it starts as a whole.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::time::Time;

use super::super::event::Decision;
use super::super::job::{Phase, Place};
use super::super::report::{End, Outcome, Running};
use super::super::{Attempt, StepId};
use super::Scheduler;

/// How long before its members give up waiting an incomplete gang is stopped: the stop itself, and
/// a repetition of the stop orders.
const STOP_MARGIN: Duration = Duration::from_millis(1_500);

/// A gang that was ordered to start and may still be incomplete.
#[derive(Debug)]
pub(super) struct Assembly {
    /// When it is stopped unless it is complete.
    stop_at: Time,
    /// Whether its members resume from a checkpoint.
    resumed: bool,
    /// The progress of its members when they began to run, by task.
    first_progress: BTreeMap<u32, f64>,
}

impl Assembly {
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
        let wait = self.setup.gang_wait;
        let wait = wait.saturating_sub(STOP_MARGIN).max(wait / 2);
        let assembly = Assembly {
            stop_at: self.now.after(wait),
            resumed,
            first_progress: BTreeMap::new(),
        };
        self.assembling.insert(id, assembly);
    }

    /// Notes the report of a running task. Members of a gang work only once all have started.
    pub(super) fn note_gang_progress(&mut self, running: &Running) {
        let task = running.attempt.task;
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

    /// Stops the gangs whose members would soon give up waiting for the others.
    pub(super) fn stop_incomplete_gangs(&mut self) {
        let now = self.now;
        let due = self
            .assembling
            .extract_if(.., |_, assembly| assembly.stop_at <= now);
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
                        phase: Phase::Running,
                        ..
                    }
            )
        })
    }

    /// Marks attempts on a worker as lost and stops the gangs that they belong to.
    pub(super) fn drop_attempts(&mut self, index: usize, attempts: &[Attempt]) {
        for attempt in attempts {
            self.mark_lost(index, *attempt);
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
