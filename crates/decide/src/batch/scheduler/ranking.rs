//! The ranking of the steps with waiting tasks.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::name::Name;
use crate::time::Time;

use super::super::id::OCCURRENCE_STEPS;
use super::super::job::{Job, Place};
use super::super::order::{self, Rank};
use super::super::spec::Step;
use super::super::{JobId, StepId};
use super::Scheduler;

/// The steps that were due and had waiting tasks at the last update, and the jobs that have changed
/// since.
#[derive(Debug, Default)]
pub(super) struct Ranking {
    ranks: Vec<Rank>,
    changed: BTreeSet<JobId>,
    /// When the ranking was last built from scratch; `None` if it must be rebuilt in the next pass.
    pub(super) built_at: Option<Time>,
}

impl Ranking {
    /// Marks a job whose waiting steps have changed or may be placeable now.
    pub(super) fn mark_changed(&mut self, job: JobId) {
        self.changed.insert(job);
    }

    /// Causes the ranking to be rebuilt in the next pass.
    pub(super) fn invalidate(&mut self) {
        self.built_at = None;
    }

    /// Returns the ranks in ascending order, the most urgent step first.
    pub(super) fn ranks(&self) -> impl Iterator<Item = &Rank> {
        self.ranks.iter()
    }
}

impl Scheduler {
    /// Builds the ranking from all jobs.
    pub(super) fn rebuild_ranking(&mut self) {
        let ready: Vec<JobId> = self.ready.iter().copied().collect();
        let mut ranks = Vec::with_capacity(self.ranking.ranks.len());
        for job in ready {
            self.rank_job(job, &mut ranks);
        }
        ranks.sort_unstable();
        self.ranking = Ranking {
            ranks,
            changed: BTreeSet::new(),
            built_at: Some(self.now),
        };
    }

    /// Ranks the steps of changed jobs again; returns these jobs.
    pub(super) fn update_ranking(&mut self) -> BTreeSet<JobId> {
        let changed = std::mem::take(&mut self.ranking.changed);
        if changed.is_empty() {
            return changed;
        }
        let mut ranks = std::mem::take(&mut self.ranking.ranks);
        ranks.retain(|rank| !changed.contains(&rank.step.job));
        for &job in &changed {
            if self.ready.contains(&job) {
                self.rank_job(job, &mut ranks);
            }
        }
        // The stable sort is fast here since the old ranks are already in order.
        ranks.sort();
        self.ranking.ranks = ranks;
        changed
    }

    /// Appends the ranks of a job's due steps with waiting tasks.
    fn rank_job(&mut self, id: JobId, ranks: &mut Vec<Rank>) {
        let Some(job) = self.jobs.get(&id) else {
            self.ready.remove(&id);
            return;
        };
        let held_back = job.inherited && self.may_have_unreported_tasks();
        if !job.has_waiting() {
            self.ready.remove(&id);
            return;
        }
        let waiting: Vec<usize> = waiting_steps(job, self.wall_ms()).collect();
        if held_back {
            return;
        }
        for number in waiting {
            ranks.extend(self.rank(id, number));
        }
    }

    fn rank(&mut self, id: JobId, number: usize) -> Option<Rank> {
        let times = match self.jobs.get(&id)?.steps[number].times {
            Some(times) => times,
            None => {
                let times = self.times(id, number)?;
                self.jobs.get_mut(&id)?.steps[number].times = Some(times);
                times
            }
        };
        let job = self.jobs.get(&id)?;
        let queue = self.queues.get(&job.queue)?;
        let step = StepId {
            job: id,
            step: number as u16,
        };
        if job.purpose(number).runs_until_cancelled() {
            return Some(order::Rank::for_service(step, job.accepted));
        }
        let due = self.due_time(job, number);
        Some(order::rank(step, queue, due, job.excess, times, self.now))
    }

    /// Returns when a step's occurrence was due: at its scheduled time, or when its job was
    /// accepted if that was later.
    fn due_time(&self, job: &Job, number: usize) -> Time {
        let due_ms = job.spec.as_ref().map_or(0, |spec| spec.due_ms(number));
        let late = Duration::from_millis(self.wall_ms().saturating_sub(due_ms));
        let late = u64::try_from(late.as_micros()).unwrap_or(u64::MAX);
        job.accepted.max(Time(self.now.0.saturating_sub(late)))
    }

    /// Returns how long a task of a step is expected to run.
    pub(super) fn task_time(&self, queue: &Name, step: &Step) -> Duration {
        match self.task_durations.get(queue) {
            Some(durations) => durations.mean(step.estimate),
            None => step.estimate,
        }
    }

    /// Estimates the duration of a job's critical path and of the rest from a step on.
    fn times(&self, id: JobId, number: usize) -> Option<order::Times> {
        let job = self.jobs.get(&id)?;
        let spec = job.spec.as_ref()?;
        let task_time = self.task_time(&job.queue, spec.step(number));
        let critical_path = spec.critical_path(|_| task_time);
        let position = number % usize::from(OCCURRENCE_STEPS);
        let steps_after = (spec.steps.len() - position - 1) as u32;
        let durations = self.step_durations.get(&job.queue);
        let step_time = durations.map_or(task_time, |durations| durations.mean(task_time));
        let fraction_left = 1.0 - job.steps[number].saved(job.is_gang(number));
        let remaining = step_time.mul_f64(fraction_left) + step_time * steps_after;
        Some(order::Times {
            critical_path,
            remaining,
        })
    }
}

/// Returns the steps of a job that are due and have waiting tasks.
fn waiting_steps(job: &Job, wall_ms: u64) -> impl Iterator<Item = usize> {
    let waits = move |&step: &usize| {
        let state = &job.steps[step];
        !job.state.is_final()
            && state.remaining > 0
            && state.tasks.iter().any(|task| task.place == Place::Waiting)
            && job.is_due(step, wall_ms)
    };
    (0..job.steps.len()).filter(waits)
}
