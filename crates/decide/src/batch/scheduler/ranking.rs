//! The ranking of the steps with waiting tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::name::{Map, Name};
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
    ranks: BTreeSet<Rank>,
    by_step: BTreeMap<StepId, Rank>,
    /// The gangs of each account that reserve a part of its limit.
    gangs: Map<Name, BTreeSet<Rank>>,
    /// The steps that no workers could run even if they were empty.
    out_of_reach: BTreeSet<StepId>,
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

    /// Returns how many steps there are.
    pub(super) fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Returns the rank of a step.
    pub(super) fn rank_of(&self, step: StepId) -> Option<Rank> {
        self.by_step.get(&step).copied()
    }

    /// Returns the ranks of a job's steps.
    pub(super) fn ranks_of(&self, job: JobId) -> impl Iterator<Item = Rank> {
        let last = StepId {
            job,
            step: u16::MAX,
        };
        let steps = self.by_step.range(StepId { job, step: 0 }..=last);
        steps.map(|(_, rank)| *rank)
    }

    /// Returns the gangs of an account that precede a rank, the first one first.
    pub(super) fn gangs_before(&self, account: &Name, rank: Rank) -> impl Iterator<Item = Rank> {
        let gangs = self.gangs.get(account).into_iter();
        gangs.flat_map(move |gangs| gangs.range(..rank).copied())
    }

    /// Tells whether no workers could run a step even if they were empty.
    pub(super) fn is_out_of_reach(&self, step: StepId) -> bool {
        self.out_of_reach.contains(&step)
    }

    /// Adds a step; `gang_account` is the account whose limit it reserves if it is a gang.
    fn insert(&mut self, rank: Rank, gang_account: Option<&Name>) {
        self.ranks.insert(rank);
        self.by_step.insert(rank.step, rank);
        if let Some(account) = gang_account {
            self.gangs.entry(account.clone()).or_default().insert(rank);
        }
    }

    /// Removes the steps of a job; `account` is its account.
    fn remove_job(&mut self, job: JobId, account: Option<&Name>) {
        let ranks: Vec<Rank> = self.ranks_of(job).collect();
        for rank in ranks {
            self.ranks.remove(&rank);
            self.by_step.remove(&rank.step);
            self.out_of_reach.remove(&rank.step);
            if let Some(gangs) = account.and_then(|account| self.gangs.get_mut(account)) {
                gangs.remove(&rank);
            }
        }
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
        self.ranking = Ranking {
            built_at: Some(self.now),
            ..Ranking::default()
        };
        for job in ready {
            self.rank_job(job);
        }
    }

    /// Ranks the steps of changed jobs again; returns these jobs.
    pub(super) fn update_ranking(&mut self) -> BTreeSet<JobId> {
        let changed = std::mem::take(&mut self.ranking.changed);
        for &job in &changed {
            let account = self.jobs.get(&job).and_then(|job| job.account.clone());
            self.ranking.remove_job(job, account.as_ref());
            if self.ready.contains(&job) {
                self.rank_job(job);
            }
        }
        changed
    }

    /// Adds a job's due steps with waiting tasks to the ranking.
    fn rank_job(&mut self, id: JobId) {
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
            let Some(rank) = self.rank(id, number) else {
                continue;
            };
            let out_of_reach = self.exceeds_reach(id, number);
            let job = self.jobs.get(&id).filter(|job| job.is_gang(number));
            let gang_account = job.and_then(|job| job.account.as_ref());
            self.ranking
                .insert(rank, gang_account.filter(|_| !out_of_reach));
            if out_of_reach {
                self.ranking.out_of_reach.insert(rank.step);
            }
        }
    }

    /// Tells whether no workers could run a step even if they were empty.
    fn exceeds_reach(&mut self, id: JobId, number: usize) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let step = job.spec.as_ref().and_then(|spec| spec.step(number));
        let (Some(step), Some(queue)) = (step, self.queues.get(&job.queue)) else {
            return false;
        };
        self.reaches
            .is_out_of_reach(&self.workers, self.now, queue, step)
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
    pub(super) fn due_time(&self, job: &Job, number: usize) -> Time {
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
        let task_time = self.task_time(&job.queue, spec.step(number)?);
        let critical_path = spec.critical_path(|_| task_time);
        let position = number % usize::from(OCCURRENCE_STEPS);
        let steps_after = (spec.steps.len() - position - 1) as u32;
        let durations = self.step_durations.get(&job.queue);
        let step_time = durations.map_or(task_time, |durations| durations.mean(task_time));
        let fraction_left = 1.0 - job.steps[number].saved(job.is_gang(number));
        let later = step_time.saturating_mul(steps_after);
        let remaining = order::scaled(step_time, fraction_left).saturating_add(later);
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
