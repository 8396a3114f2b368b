//! Placement: decides which waiting tasks start, and on which workers.
//!
//! Placement has to work on a fleet that is 80% booked with mixed work, and with a demand of twice
//! the capacity. Tasks go to the worker on which the least capacity is left over (best fit), so
//! that enough free capacity in one piece remains for members of gangs. A full pass over all steps
//! runs several times a second. Passes in between only visit steps for which something has changed
//! (`visits.rs`), so that urgent jobs don't wait for a scan of a long queue.

use std::time::Duration;

use crate::name::{Map, Name};
use crate::size::Size;

use super::super::StepId;
use super::super::event::{Cause, Decision};
use super::super::fleet::Worker;
use super::super::job::Place;
use super::super::order::Rank;
use super::Scheduler;
use super::target::Candidate;

/// The shortest time between two passes; changes in between are placed together.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(4);

/// The time from the beginning of a pass to the next one, as a multiple of what the pass took. The rest
/// is left to calls, reports and writes, without which a backlog could not shrink.
const PASS_INTERVAL_FACTOR: u32 = 4;

/// The longest time until the next pass may begin. A pass during which the instance was suspended
/// must not put it off for long.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between full passes, which rank all steps again, since ranks and tickets age, and
/// distribute the worker reservations of gangs anew.
const FULL_PASS_INTERVAL: Duration = Duration::from_millis(100);

/// How many steps of a queue may fail to be placed before a pass skips the rest of the queue. The
/// other steps would repeat the same search, which is slow with many waiting steps. Skipped steps
/// have their turn in a later full pass (`rotation.rs`).
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
    /// The largest amount of each resource that was free on any worker when the pass began.
    largest_free: Size,
    /// Number of steps that could not be placed, by queue.
    failures: Map<Name, u32>,
    /// The steps that were skipped after too many failures of their queue.
    skipped: Vec<Rank>,
}

impl Scheduler {
    pub(super) fn place(&mut self) {
        let since = self.now.since(self.placed_at);
        let built_at = self.ranking.built_at;
        let full = built_at.is_none_or(|at| self.now.since(at) >= FULL_PASS_INTERVAL);
        let interval = self.pass_time * PASS_INTERVAL_FACTOR;
        if since < interval.clamp(MIN_PASS_INTERVAL, MAX_PASS_INTERVAL) || (!self.dirty && !full) {
            return;
        }
        self.dirty = false;
        self.pass_time = Duration::ZERO;
        self.placed_at = self.now;
        let ranks = if full {
            self.begin_full_pass();
            self.ranking.ranks().copied().collect()
        } else {
            self.affected_ranks()
        };
        let mut pass = self.begin_pass();
        self.effort.passes += 1;
        self.effort.ranked = self.ranking.len();
        for rank in ranks {
            self.place_rank(rank, &mut pass);
        }
        if full {
            self.place_skipped(&pass);
            self.measure_backlog();
        }
    }

    fn begin_pass(&self) -> Pass {
        Pass {
            largest_free: self.largest_free(),
            failures: Map::default(),
            skipped: Vec::new(),
        }
    }

    /// Visits a part of the steps that a full pass has skipped.
    fn place_skipped(&mut self, pass: &Pass) {
        if pass.skipped.is_empty() {
            return;
        }
        let turns = self.rotation.take_turns(&pass.skipped);
        let mut pass = self.begin_pass();
        for rank in turns {
            // The rotation bounds the number of visits.
            pass.failures.clear();
            self.place_rank(rank, &mut pass);
        }
    }

    /// Notes how long the last call of [`Scheduler::advance`] took. After a long pass the next one comes
    /// later.
    pub fn note_advance_time(&mut self, took: Duration) {
        if self.placed_at == self.now {
            self.pass_time = self.pass_time.max(took);
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
        self.release_overdue();
        self.update_speeds();
        self.visits.begin_full_pass();
        self.reaches.clear();
        self.clear_held();
        self.rebuild_ranking();
        let schedulable = self.schedulable().count() as f64;
        self.worker_reservations_left = (schedulable * MAX_RESERVED_FRACTION) as usize;
        self.holds_left = (schedulable * MAX_HELD_FRACTION) as usize;
    }

    /// Returns the steps that a pass between full ones visits, in the order of their ranks.
    fn affected_ranks(&mut self) -> Vec<Rank> {
        let changed = self.update_ranking();
        let mut ranks = self.take_affected();
        for job in changed {
            ranks.extend(self.ranking.ranks_of(job));
        }
        ranks.into_iter().collect()
    }

    /// Returns the part of an account's limit that steps behind a rank leave to its first waiting
    /// gang. Otherwise they would use up the limit piece by piece, and a wide gang would never start.
    /// The sum of all gangs may exceed the limit, and then nothing of the account would start.
    fn reserved_limit(&self, account: Option<&Name>, rank: Rank) -> Size {
        let gangs = account.map(|account| self.ranking.gangs_before(account, rank));
        let mut gangs = gangs.into_iter().flatten();
        gangs
            .find_map(|gang| self.waiting_gang(gang.step))
            .unwrap_or_default()
    }

    /// Returns the part of its account's limit that a waiting gang needs.
    fn waiting_gang(&self, id: StepId) -> Option<Size> {
        let job = self.jobs.get(&id.job)?;
        let number = usize::from(id.step);
        let waits = !job.state.is_final()
            && job.is_gang(number)
            && matches!(job.steps[number].tasks.first(), Some(task) if task.place == Place::Waiting);
        waits
            .then(|| self.gang_quota(id))
            .flatten()
            .map(|(_, need)| need)
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
        let reserved = !job.steps[number].reserved.is_empty();
        let Some(queue) = self.queues.get(&job.queue).cloned() else {
            return;
        };
        let failures = pass.failures.get(&queue.name).copied().unwrap_or(0);
        if !reserved && failures >= MAX_FAILURES_PER_QUEUE {
            pass.skipped.push(rank);
            return;
        }
        let account = job.account.clone();
        let Some(step) = job.spec.as_ref().and_then(|spec| spec.step(number)) else {
            return;
        };
        let step = step.clone();
        let out_of_reach = !reserved && self.ranking.is_out_of_reach(rank.step);
        // If no worker has enough free capacity, only gangs go on, so that workers are reserved for
        // the first of them.
        let too_large = !reserved && !step.booked().fits(&pass.largest_free);
        let candidate = Candidate {
            id: rank.step,
            queue: &queue,
            step: &step,
            rank,
            reserved_limit: self.reserved_limit(account.as_ref(), rank),
        };
        if out_of_reach {
            // It doesn't count as a failure, since it would in each pass.
            self.handle_out_of_reach(&candidate);
            return;
        }
        let placed = if too_large && !candidate.step.gang {
            false
        } else {
            self.effort.visits += 1;
            self.place_step(&candidate)
        };
        if !placed {
            *pass.failures.entry(queue.name.clone()).or_default() += 1;
        }
    }

    /// Logs that a step is out of reach. A gang that is too wide for the present workers asks for advice
    /// all the same, so that it starts as soon as there are enough.
    fn handle_out_of_reach(&mut self, candidate: &Candidate<'_>) {
        self.log_cause(candidate.id, Cause::Capacity, 0);
        if candidate.queue.advice.is_none() || !candidate.step.gang {
            return;
        }
        if self.has_advice(candidate.id) {
            self.ask_unknown(candidate);
        } else {
            self.ask_without_advice(candidate);
        }
    }

    /// Records that the free capacity of a worker has grown.
    pub(super) fn mark_capacity_freed(&mut self, worker: usize) {
        self.visits.free_worker(worker);
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
        self.note_visit(candidate);
        if candidate.queue.advice.is_some() && !self.has_advice(id) {
            self.log_cause(id, Cause::Advice, 0);
            return self.ask_without_advice(candidate);
        }
        if self.jobs.get(&id.job).is_none_or(|job| !job.stored) {
            return true;
        }
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
        let allowed = allowed.min(self.tasks_beside_urgent(candidate));
        let allowed_count = usize::try_from(allowed).unwrap_or(usize::MAX);
        if allowed_count < waiting.len() {
            self.note_limited(id);
        }
        waiting.truncate(allowed_count);
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
        let scope = self.scope(candidate, waiting.len());
        let held = waiting.split_off(waiting.len() - scope.held);
        let targets = self.targets_within(candidate, scope.rack.as_ref());
        let starts = targets.assign(&waiting, true);
        let started = starts.len();
        if started > 0 {
            self.start(id, &starts);
        }
        if started == waiting.len() {
            if !held.is_empty() {
                self.prepare_near(candidate, &held);
            }
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

    /// Lets a step be visited again once its account uses less of its limit.
    pub(super) fn note_limited(&mut self, id: StepId) {
        if let Some(account) = self.jobs.get(&id.job).and_then(|job| job.account.as_ref()) {
            self.visits.add_limited(account, id);
        }
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
            at_most: None,
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
