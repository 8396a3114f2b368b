//! Placement: decides which waiting tasks start, and on which workers.
//!
//! Placement has to work on a fleet that is 80% booked with mixed work, and with a demand of twice
//! the capacity. Tasks go to the worker on which the least capacity is left over (best fit), so
//! that enough free capacity in one piece remains for members of gangs. A full pass over all steps
//! runs several times a second. Passes in between only visit steps of jobs that have changed and
//! steps with a worker whose free capacity has grown, so that urgent jobs don't wait for a scan of
//! a long queue.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::name::{Map, Name};
use crate::size::Size;

use super::super::event::{Cause, Decision};
use super::super::fleet::Worker;
use super::super::job::Place;
use super::super::order::Rank;
use super::super::{JobId, StepId};
use super::Scheduler;
use super::target::Candidate;

/// The shortest time between two passes; changes in between are placed together.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(4);

/// Interval between full passes, which rank all steps again, since ranks and tickets age, and
/// distribute the worker reservations of gangs anew.
const FULL_PASS_INTERVAL: Duration = Duration::from_millis(100);

/// How many steps of a queue may fail to be placed before a pass skips the rest of the queue. The
/// other steps would repeat the same search, which is slow with many waiting steps.
const MAX_FAILURES_PER_QUEUE: u32 = 16;

/// The shortest time since a job was accepted at which the cause of its waiting is logged.
const MIN_LOGGED_AGE: Duration = Duration::from_secs(1);

/// The largest fraction of the schedulable workers that may be reserved for gangs.
const MAX_RESERVED_FRACTION: f64 = 0.4;

/// The largest fraction of the schedulable workers that is held for gangs that don't fit. With
/// more, other steps would wait for capacity that the gangs, which need several workers at once,
/// can't use either.
const MAX_HELD_FRACTION: f64 = 0.3;

/// The state of one placement pass.
struct Pass {
    /// Jobs that have changed; `None` in a full pass, which visits all steps.
    changed: Option<BTreeSet<JobId>>,
    /// The largest amount of each resource that was free on any worker when the pass began.
    largest_free: Size,
    /// Number of steps that could not be placed, by queue.
    failures: Map<Name, u32>,
    /// The part of each account's limit that is reserved for its first waiting gang. Otherwise steps of
    /// lower rank would use up the limit piece by piece, and a wide gang would never start.
    reserved_limits: Map<Name, Size>,
}

impl Pass {
    /// Tells whether the steps of a job are visited even if none of its workers has got more free
    /// capacity.
    fn must_visit(&self, job: JobId) -> bool {
        self.changed.as_ref().is_none_or(|jobs| jobs.contains(&job))
    }
}

impl Scheduler {
    pub(super) fn place(&mut self) {
        let since = self.now.since(self.placed_at);
        let built_at = self.ranking.built_at;
        let full = built_at.is_none_or(|at| self.now.since(at) >= FULL_PASS_INTERVAL);
        if since < MIN_PASS_INTERVAL || (!self.dirty && !full) {
            return;
        }
        self.dirty = false;
        self.placed_at = self.now;
        let changed = if full {
            self.begin_full_pass();
            None
        } else {
            Some(self.update_ranking())
        };
        let mut pass = Pass {
            changed,
            largest_free: self.largest_free(),
            failures: Map::default(),
            reserved_limits: Map::default(),
        };
        let ranks: Vec<Rank> = self.ranking.ranks().copied().collect();
        self.effort.passes += 1;
        self.effort.ranked = ranks.len();
        for rank in ranks {
            self.place_rank(rank, &mut pass);
            // Only the first gang of an account: the sum of all may exceed the limit, and then nothing
            // of the account would start.
            if let Some((account, need)) = self.waiting_gang(rank.step) {
                pass.reserved_limits.entry(account).or_insert(need);
            }
        }
        if full {
            self.measure_backlog();
        }
    }

    fn begin_full_pass(&mut self) {
        for worker in &mut self.workers {
            worker.reserved_for = None;
            worker.held_for_gang = false;
        }
        let now = self.now;
        self.questions.retain(|_, (until, _)| *until > now);
        self.slow_questions.retain(|_, until| *until > now);
        self.rebuild_ranking();
        let schedulable = self.schedulable().count() as f64;
        self.worker_reservations_left = (schedulable * MAX_RESERVED_FRACTION) as usize;
        self.holds_left = (schedulable * MAX_HELD_FRACTION) as usize;
    }

    /// Returns the account of a waiting gang and the part of the account's limit that it needs.
    fn waiting_gang(&self, id: StepId) -> Option<(Name, Size)> {
        let job = self.jobs.get(&id.job)?;
        let number = usize::from(id.step);
        let waits = !job.state.is_final()
            && job.is_gang(number)
            && matches!(job.steps[number].tasks.first(), Some(task) if task.place == Place::Waiting);
        waits.then(|| self.gang_quota(id)).flatten()
    }

    fn place_rank(&mut self, rank: Rank, pass: &mut Pass) {
        let number = usize::from(rank.step.step);
        let Some(job) = self.jobs.get(&rank.step.job) else {
            return;
        };
        // The job may have ended since the ranking was built.
        if job.state.is_final() {
            return;
        }
        let state = &job.steps[number];
        let reserved = !state.reserved.is_empty();
        if !reserved && !pass.must_visit(rank.step.job) && self.is_blocked(rank.step) {
            return;
        }
        let Some(queue) = self.queues.get(&job.queue).cloned() else {
            return;
        };
        let Some(step) = job.spec.as_ref().map(|spec| spec.step(number)) else {
            return;
        };
        let failures = pass.failures.get(&queue.name).copied().unwrap_or(0);
        if !reserved && failures >= MAX_FAILURES_PER_QUEUE {
            return;
        }
        // If no worker has enough free capacity, only gangs go on, so that workers are reserved for
        // the first of them.
        let too_large = !reserved && !step.booked().fits(&pass.largest_free);
        let candidate = Candidate {
            id: rank.step,
            queue: &queue,
            step: &step.clone(),
            lateness: rank.lateness,
            reserved_limit: match &job.account {
                Some(account) => pass
                    .reserved_limits
                    .get(account)
                    .copied()
                    .unwrap_or_default(),
                None => Size::ZERO,
            },
        };
        let placed = if too_large && !candidate.step.gang {
            false
        } else {
            self.effort.visits += 1;
            self.place_step(&candidate)
        };
        if !placed {
            *pass.failures.entry(queue.name.clone()).or_default() += 1;
            let version = self.capacity_version;
            if let Some(job) = self.jobs.get_mut(&rank.step.job) {
                job.steps[number].blocked_version = Some(version);
            }
        }
    }

    /// Tells whether a step could not be placed and the free capacity of none of its workers has
    /// grown since.
    fn is_blocked(&self, id: StepId) -> bool {
        let step = &self.jobs[&id.job].steps[usize::from(id.step)];
        let Some(version) = step.blocked_version else {
            return false;
        };
        let mut workers = step.advice.tickets.keys();
        !workers.any(|&worker| self.workers[worker].grown_version > version)
    }

    /// Records that the free capacity of a worker has grown.
    pub(super) fn mark_capacity_freed(&mut self, worker: usize) {
        self.capacity_version += 1;
        self.workers[worker].grown_version = self.capacity_version;
        self.dirty = true;
    }

    /// Returns the workers on which tasks may be started.
    pub(super) fn schedulable(&self) -> impl Iterator<Item = &Worker> {
        let now = self.now;
        self.workers
            .iter()
            .filter(move |worker| worker.is_schedulable(now))
    }

    /// Returns the largest amount of each resource that is free on any worker.
    fn largest_free(&self) -> Size {
        self.schedulable()
            .fold(Size::ZERO, |max, worker| Size::max(&max, &worker.free))
    }

    /// Places a step or asks the advice service about workers for it. Returns `false` if the step
    /// counts as a failed placement of its queue.
    fn place_step(&mut self, candidate: &Candidate<'_>) -> bool {
        let id = candidate.id;
        if candidate.queue.advice.is_some() && !self.has_advice(id) {
            self.log_cause(id, Cause::Advice, 0);
            return self.ask_without_advice(candidate);
        }
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return true;
        };
        if !job.stored {
            return true;
        }
        job.steps[usize::from(id.step)].blocked_version = None;
        if candidate.step.gang {
            self.place_gang(candidate)
        } else {
            self.place_tasks(candidate)
        }
    }

    fn place_tasks(&mut self, candidate: &Candidate<'_>) -> bool {
        let id = candidate.id;
        let mut waiting = self.waiting_tasks(id);
        let allowed = self.allowed_tasks(id.job, &candidate.step.size, &candidate.reserved_limit);
        waiting.truncate(usize::try_from(allowed).unwrap_or(usize::MAX));
        if waiting.is_empty() {
            self.log_cause(id, Cause::Limit, allowed);
            return true;
        }
        let number = usize::from(id.step);
        if !self.jobs[&id.job].steps[number].reserved.is_empty() {
            if self.advice_of(id).has_open_question(self.now) {
                return true;
            }
            self.unreserve(id.job, number);
        }
        let starts = self.targets(candidate).assign(&waiting, true);
        let started = starts.len();
        if started > 0 {
            self.start(id, &starts);
        }
        if started == waiting.len() {
            return true;
        }
        let places = self.targets(candidate).assign(&waiting[started..], false);
        let tickets_expired = !places.is_empty();
        let cause = if tickets_expired {
            Cause::Tickets
        } else {
            Cause::Capacity
        };
        self.log_cause(id, cause, places.len() as u64);
        if tickets_expired {
            let workers = places.into_iter().map(|(_, worker)| worker);
            self.reserve(candidate, workers.collect());
        } else {
            self.ask_unknown(candidate);
        }
        tickets_expired || started > 0
    }

    /// Logs what a step waits for, unless the cause is unchanged or the job was accepted less than
    /// [`MIN_LOGGED_AGE`] ago.
    pub(super) fn log_cause(&mut self, id: StepId, cause: Cause, fitting: u64) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let age = self.now.since(job.accepted);
        let step = &mut job.steps[usize::from(id.step)];
        if age < MIN_LOGGED_AGE || step.cause == Some(cause) {
            return;
        }
        step.cause = Some(cause);
        let eligible = step.advice.tickets.len();
        let tasks = self.waiting_tasks(id).len();
        self.log(Decision::Waits {
            step: id,
            cause,
            tasks,
            fitting,
            eligible,
            age,
        });
    }

    /// Returns the indices of a step's waiting tasks.
    pub(super) fn waiting_tasks(&self, id: StepId) -> Vec<u32> {
        let step = &self.jobs[&id.job].steps[usize::from(id.step)];
        let tasks = (0..).zip(&step.tasks);
        let waiting = tasks.filter(|(_, task)| task.place == Place::Waiting);
        waiting.map(|(index, _)| index).collect()
    }
}
