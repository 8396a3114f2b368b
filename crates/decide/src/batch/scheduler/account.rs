//! Resource usage and submission rates of client accounts.

use std::time::Duration;

use crate::name::Name;
use crate::size::Size;
use crate::time::Time;

use super::super::job::{Job, Place};
use super::super::quota::Inflow;
use super::super::{JobId, StepId};
use super::Scheduler;
use super::target::Candidate;

/// The number of jobs that an account may submit at once, as seconds of its weight in jobs per
/// second.
const EXCESS_WINDOW_S: f64 = 2.0;

/// How long an account counts as overloaded after it has sent more than its weight: until the work that it
/// sent then has run, mostly.
const OVERLOAD_MEMORY: Duration = Duration::from_secs(5);

/// The resource usage and submission rate of a client account.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    /// Total size of the started tasks.
    used: Size,
    /// Submitted jobs, a count that decays by the account's weight per second.
    recent_jobs: f64,
    /// When `recent_jobs` was last updated.
    updated_at: Time,
    /// When it last sent more than its weight allows.
    exceeded_at: Option<Time>,
    /// The rates of accepted work.
    pub(super) inflow: Inflow,
}

impl Scheduler {
    /// Returns how many tasks of a size a job's account may start within its limit, besides the
    /// started tasks, those that may run on workers that have not reported yet, and
    /// `reserved_limit`, the part that is reserved for its gangs.
    pub(super) fn allowed_tasks(&self, id: JobId, size: &Size, reserved_limit: &Size) -> u64 {
        let Some(name) = self.jobs.get(&id).and_then(|job| job.account.as_ref()) else {
            return u64::MAX;
        };
        let Some(account) = self.config.account(name) else {
            return u64::MAX;
        };
        let used = self
            .accounts
            .get(name)
            .map_or(Size::ZERO, |account| account.used);
        let unreported = self.unreported_tasks.get(name).map_or(Size::ZERO, |tasks| {
            Size::min(tasks, &self.unreported_capacity)
        });
        let left = account.limit.minus(&used).minus(&unreported);
        size.times_within(&left.minus(reserved_limit))
    }

    /// Returns how many tasks of a step may start so that its account's urgent work finds a part of the
    /// limit free. Urgent steps don't wait for that, since their tasks end soon.
    pub(super) fn tasks_beside_urgent(&self, candidate: &Candidate<'_>) -> u64 {
        if candidate.is_urgent() {
            return u64::MAX;
        }
        let job = self.jobs.get(&candidate.id.job);
        let Some(name) = job.and_then(|job| job.account.as_ref()) else {
            return u64::MAX;
        };
        if !self.is_overloaded(name) {
            return u64::MAX;
        }
        let (Some(configured), Some(account), Some(load)) = (
            self.config.account(name),
            self.accounts.get(name),
            self.loads.get(name),
        ) else {
            return u64::MAX;
        };
        let step = candidate.step;
        let share = step.size.dominant_share(&configured.limit);
        let at_once = if step.gang { u64::from(step.count) } else { 1 };
        load.allowed(share, at_once, account.inflow.headroom(self.now))
    }

    /// Tells whether an account's work is measured against its limit: it has sent more than its weight
    /// lately, or has none. The others are admitted and placed by the fleet's backlog alone. Small
    /// accounts, whose limit holds few large jobs, lost jobs on quiet days when theirs were measured too.
    pub(super) fn is_overloaded(&self, name: &Name) -> bool {
        let configured = self.config.account(name);
        if configured.is_none_or(|account| account.weight <= 0.0) {
            return true;
        }
        let exceeded = self
            .accounts
            .get(name)
            .and_then(|account| account.exceeded_at);
        exceeded.is_some_and(|at| self.now.since(at) < OVERLOAD_MEMORY)
    }

    /// Adds started tasks to the part of an account's limit that its work of other than the highest
    /// priority has in use.
    pub(super) fn hold_by_others(&mut self, account: Option<&Name>, queue: &Name, size: &Size) {
        if self.is_urgent(queue) {
            return;
        }
        if let Some(name) = account
            && let Some(configured) = self.config.account(name)
            && let Some(load) = self.loads.get_mut(name)
        {
            load.hold_by_others(size.dominant_share(&configured.limit));
        }
    }

    /// Tells whether a queue has the highest priority.
    pub(super) fn is_urgent(&self, queue: &Name) -> bool {
        self.queues
            .get(queue)
            .is_some_and(|queue| queue.priority == 0)
    }

    /// Notes the tasks of an inherited job that may run on workers that have not reported yet.
    pub(super) fn note_unreported(&mut self, job: &Job) {
        let (Some(name), Some(spec)) = (&job.account, &job.spec) else {
            return;
        };
        // Also of steps that are not due by what is stored: an end may have been read and not stored.
        for number in 0..job.steps.len() {
            let Some(step) = spec.step(number) else {
                continue;
            };
            let tasks = job.steps[number].tasks.iter();
            let waiting = tasks.filter(|task| task.place == Place::Waiting).count();
            let size = step.size.times(waiting as u64);
            let total = self.unreported_tasks.entry(name.clone()).or_default();
            *total = total.plus(&size);
        }
    }

    /// Notes that a task of an inherited job was reported.
    pub(super) fn note_reported(&mut self, account: Option<&Name>, size: &Size) {
        if let Some(total) = account.and_then(|name| self.unreported_tasks.get_mut(name)) {
            *total = total.minus(size);
        }
    }

    pub(super) fn update_unreported_capacity(&mut self) {
        let unreported = self.unreported_workers();
        self.unreported_capacity =
            unreported.fold(Size::ZERO, |sum, worker| sum.plus(&worker.entry.capacity));
    }

    /// Returns a gang's account and the part of the account's limit that it needs, or `None` if the
    /// whole limit is too small for it.
    pub(super) fn gang_quota(&self, id: StepId) -> Option<(Name, Size)> {
        let job = self.jobs.get(&id.job)?;
        let step = job.spec.as_ref()?.step(usize::from(id.step))?;
        let name = job.account.as_ref()?;
        let limit = self.config.account(name)?.limit;
        let need = step.size.times(u64::from(step.count));
        need.fits(&limit).then(|| (name.clone(), need))
    }

    /// Adds a started task to the usage of an account.
    pub(super) fn charge(&mut self, account: Option<&Name>, size: &Size) {
        if let Some(name) = account {
            let account = self.accounts.entry(name.clone()).or_default();
            account.used = account.used.plus(size);
        }
    }

    /// Removes an ended task from the usage of an account.
    pub(super) fn refund(&mut self, account: Option<&Name>, size: &Size) {
        let Some(name) = account else {
            return;
        };
        if let Some(account) = self.accounts.get_mut(name) {
            account.used = account.used.minus(size);
            self.visits.free_account(name);
        }
    }

    /// Tells whether another job exceeds the rate that an account's weight allows; counts the job
    /// if it does not.
    pub(super) fn exceeds_weight(&mut self, account: Option<&Name>) -> bool {
        let Some(name) = account else {
            return false;
        };
        let weight = self
            .config
            .account(name)
            .map_or(0.0, |account| account.weight);
        if weight <= 0.0 {
            return false;
        }
        let now = self.now;
        let account = self.accounts.entry(name.clone()).or_default();
        let passed = now.since(account.updated_at).as_secs_f64();
        account.recent_jobs = (account.recent_jobs - passed * weight).max(0.0);
        account.updated_at = now;
        if account.recent_jobs + 1.0 > weight * EXCESS_WINDOW_S {
            account.exceeded_at = Some(now);
            return true;
        }
        account.recent_jobs += 1.0;
        false
    }
}
