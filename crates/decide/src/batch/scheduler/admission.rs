//! Admission control: refuses jobs that would wait too long behind the backlog of the fleet or of their
//! account.

use std::time::Duration;

use crate::name::{Map, Name};
use crate::size::Size;

use super::super::admission::{self, Backlog};
use super::super::event::Bound;
use super::super::id::OCCURRENCE_STEPS;
use super::super::job::{Job, Place};
use super::super::order::{self, Lateness, Rank};
use super::super::quota::{self, Class, Demand, Load};
use super::super::spec;
use super::Scheduler;

/// The time after which clients may retry if their queue is not known here yet.
const UNKNOWN_QUEUE_PAUSE: Duration = Duration::from_secs(1);

/// A refusal of a job.
pub(super) struct Refused {
    /// The reason.
    pub(super) bound: Bound,
    /// How long the work ahead of the job takes, by this bound.
    pub(super) wait: Duration,
    /// The pause after which the job may be submitted again.
    pub(super) pause: Duration,
}

impl Scheduler {
    /// Returns the refusal of a job, or `None` if it is accepted now.
    pub(super) fn refuse(
        &mut self,
        queue: &Name,
        account: Option<&Name>,
        spec: &spec::Spec,
        excess: bool,
    ) -> Option<Refused> {
        let Some(queue) = self.queues.get(queue).cloned() else {
            return Some(Refused {
                bound: Bound::Queue,
                wait: Duration::ZERO,
                pause: UNKNOWN_QUEUE_PAUSE,
            });
        };
        if spec.schedule.is_some() || spec.runs_until_cancelled() {
            // These run later or indefinitely, so the present backlog says little about them.
            return None;
        }
        let priority = queue.priority;
        let critical_path = spec.critical_path(|step| self.task_time(&queue.name, step));
        let slack = order::scaled(critical_path, (queue.stretch - 1.0).max(0.0))
            .saturating_add(queue.objective);
        if let Some(pause) = self.backlog.retry_after(priority, slack, excess) {
            return Some(Refused {
                bound: Bound::Fleet,
                wait: self.backlog.wait(priority),
                pause,
            });
        }
        let class = Class { excess, priority };
        let demand = account.and_then(|name| {
            let demand = self.first_demand(name, spec, critical_path)?;
            Some((name.clone(), demand))
        });
        if let Some((name, demand)) = &demand
            && self.is_overloaded(name)
        {
            let wait = self.wait_for_limit(name, class, *demand);
            if let Some(pause) = admission::retry_after(wait, slack) {
                return Some(Refused {
                    bound: Bound::Account,
                    wait,
                    pause,
                });
            }
        }
        // Accepted jobs count at once, since many may come in a burst before the backlog is measured
        // again.
        for step in &spec.steps {
            let time = self.task_time(&queue.name, step);
            let fraction = self.fleet_fraction(&step.size.times(u64::from(step.count)));
            self.backlog.add(priority, fraction, time);
        }
        if let Some((name, demand)) = demand {
            let account = self.accounts.entry(name.clone()).or_default();
            account.inflow.add(class, demand, self.now);
            self.loads.entry(name).or_default().add(class, demand);
        }
        None
    }

    /// Returns what a number of tasks of a step need of their account's limit until their job is done, or `None`
    /// if there is no limit or it is too small for the step.
    fn demand(
        &self,
        account: &Name,
        step: &spec::Step,
        tasks: u64,
        time: Duration,
    ) -> Option<Demand> {
        let limit = &self.config.account(account)?.limit;
        if *limit == Size::MAX {
            return None;
        }
        let needed_at_once = if step.gang { tasks } else { 1 };
        let fits = step.size.times(needed_at_once).fits(limit);
        fits.then(|| Demand {
            share: step.size.times(tasks).dominant_share(limit),
            time,
            whole: step.gang,
        })
    }

    /// Returns what a new job needs of its account's limit: the steps that are due at once, until the job
    /// is done. Later steps need it for the rest of that time.
    fn first_demand(&self, account: &Name, spec: &spec::Spec, time: Duration) -> Option<Demand> {
        let mut sum = Demand {
            share: 0.0,
            time,
            whole: false,
        };
        for step in spec.steps.iter().filter(|step| step.after.is_empty()) {
            let demand = self.demand(account, step, u64::from(step.count), time)?;
            sum.share += demand.share;
            sum.whole |= demand.whole;
        }
        Some(sum)
    }

    /// Returns how long a new job waits for its account's limit.
    fn wait_for_limit(&self, account: &Name, class: Class, demand: Demand) -> Duration {
        let Some(load) = self.loads.get(account) else {
            return Duration::ZERO;
        };
        let measured_at = self.ranking.built_at.unwrap_or(self.now);
        let account = self.accounts.get(account);
        let headroom = account.map_or(0.0, |account| account.inflow.headroom(self.now));
        let wait = load
            .wait(class, demand, headroom)
            .saturating_sub(self.now.since(measured_at));
        account.map_or(wait, |account| {
            account.inflow.extended(class, wait, self.now)
        })
    }

    /// Measures the backlog. Late work is left out, since it is ranked last, and so is work that no
    /// worker can run, which keeps none busy.
    pub(super) fn measure_backlog(&mut self) {
        self.capacity = self.expected_capacity();
        let mut backlog = Backlog::default();
        let mut loads = self.held_limits();
        let counts = |rank: &&Rank| {
            rank.lateness <= Lateness::Excess && !self.ranking.is_out_of_reach(rank.step)
        };
        for rank in self.ranking.ranks().filter(counts) {
            let Some(job) = self.jobs.get(&rank.step.job) else {
                continue;
            };
            let number = usize::from(rank.step.step);
            let Some(step) = job.spec.as_ref().and_then(|spec| spec.step(number)) else {
                continue;
            };
            let tasks = job.steps[number].tasks.iter();
            let waiting = tasks.filter(|task| task.place == Place::Waiting).count() as u64;
            let time = self.task_time(&job.queue, step);
            let fraction = self.fleet_fraction(&step.size.times(waiting));
            backlog.add(rank.priority, fraction, time);
            if let Some(name) = &job.account
                && let Some(demand) =
                    self.demand(name, step, waiting, Scheduler::rest(job, number, time))
            {
                let class = Class {
                    excess: rank.lateness == Lateness::Excess,
                    priority: rank.priority,
                };
                loads.entry(name.clone()).or_default().add(class, demand);
            }
        }
        self.backlog = backlog;
        self.loads = loads;
    }

    /// Returns how long a task of a step and the steps after it take, where `time` is how long a task
    /// takes.
    fn rest(job: &Job, number: usize, time: Duration) -> Duration {
        let steps = job.spec.as_ref().map_or(1, |spec| spec.steps.len());
        let position = number % usize::from(OCCURRENCE_STEPS);
        time.saturating_mul(steps.saturating_sub(position) as u32)
    }

    /// Returns what the tasks on workers hold of their accounts' limits, and for how long. Tasks of
    /// inherited jobs that no worker has reported are left out: a new scheduler must not refuse what
    /// it can run.
    fn held_limits(&self) -> Map<Name, Load> {
        let mut loads: Map<Name, Load> = Map::default();
        let accounts = self.config.accounts.iter();
        let limits: Map<&Name, &Size> = accounts
            .filter(|account| account.limit != Size::MAX)
            .map(|account| (&account.name, &account.limit))
            .collect();
        if limits.is_empty() {
            return loads;
        }
        let attempts = self
            .workers
            .iter()
            .flat_map(|worker| worker.attempts.keys());
        for attempt in attempts {
            let Some(job) = self.jobs.get(&attempt.task.step.job) else {
                continue;
            };
            let number = usize::from(attempt.task.step.step);
            let step = job.spec.as_ref().and_then(|spec| spec.step(number));
            let (Some(name), Some(step)) = (&job.account, step) else {
                continue;
            };
            let Some(limit) = limits.get(name) else {
                continue;
            };
            let task = job
                .steps
                .get(number)
                .and_then(|step| step.tasks.get(attempt.task.index as usize));
            let age = match task.map(|task| task.place) {
                Some(Place::On { since, .. }) => self.now.since(since),
                Some(Place::Waiting | Place::Done) | None => Duration::ZERO,
            };
            let time = quota::remaining(self.task_time(&job.queue, step), age);
            let share = step.size.dominant_share(limit);
            if !loads.contains_key(name) {
                loads.insert(name.clone(), Load::default());
            }
            let Some(load) = loads.get_mut(name) else {
                continue;
            };
            load.hold(share, time);
            if !self.is_urgent(&job.queue) {
                load.hold_by_others(share);
            }
        }
        loads
    }

    fn fleet_fraction(&self, size: &Size) -> f64 {
        if self.capacity.is_zero() {
            return 0.0;
        }
        size.dominant_share(&self.capacity)
    }

    /// Returns the capacity for the work that waits. A new scheduler expects the workers of its
    /// predecessors to answer; with only those that have, it would refuse what they can run.
    fn expected_capacity(&self) -> Size {
        let taking_over = self.now < self.takeover_ends_at;
        let expected = self.workers.iter().filter(|worker| {
            worker.is_schedulable(self.now) || (taking_over && worker.may_answer())
        });
        expected.fold(Size::ZERO, |sum, worker| sum.plus(&worker.entry.capacity))
    }
}
