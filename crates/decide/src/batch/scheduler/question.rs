//! Questions to the advice service: which workers it is asked about, and when.
//!
//! The service's decision about a step and a worker never changes; only the ticket expires. So a
//! step asks about some workers first, about others only if these are not enough, and later only
//! renews tickets for eligible workers with free capacity.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::time::Time;

use super::super::StepId;
use super::super::advice::{Advice, Question, SLOW_QUESTION_THRESHOLD};
use super::super::config::AdviceTiming;
use super::super::event::Action;
use super::super::fleet::Worker;
use super::super::job::{self, Ticket};
use super::Scheduler;
use super::target::{Candidate, suits};

/// How long to wait for an answer beyond the expected duration of the question.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

/// How long a slow question counts as open if no answer comes.
const SLOW_QUESTION_TIMEOUT: Duration = Duration::from_secs(4);

/// Subtracted from the validity of a ticket for the transfer of the ticket and of the start order.
const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// Interval at which an urgent step or a gang that does not fit looks for workers that it has not
/// asked about.
const URGENT_LOOKUP_INTERVAL: Duration = Duration::from_millis(250);

/// The same interval for all other steps.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(1_000);

/// One in this many instances may be busy with deferrable questions although none is idle; for
/// questions of late jobs, one in twice as many.
const INSTANCES_PER_DEFERRABLE: usize = 3;

/// How many questions may be open per instance for a deferrable one to be added, if few of them are
/// not deferrable. With two, an instance has the next question at hand while its answer is being
/// returned.
const MAX_OPEN_PER_INSTANCE: usize = 2;

/// How much longer a question may take to renew the tickets of more workers, as a fraction of the
/// base duration of a question.
const EXTRA_RENEWAL_FRACTION: f64 = 0.4;

/// A question covers the capacity that its step needs, times this factor and divided by the
/// fraction of eligible workers: other steps take some of the capacity while the question is open.
const SPARE_CAPACITY_FACTOR: f64 = 1.5;

/// A worker without free capacity counts as this fraction of its total capacity, since some of it
/// may become free.
const OCCUPIED_WORKER_WEIGHT: f64 = 0.2;

/// The number of workers that a question covers at least. This many add a third to the base
/// duration of a question.
const MIN_WORKERS_PER_QUESTION: usize = 24;

/// The assumed fraction of eligible workers before the service has answered for a queue.
const DEFAULT_ELIGIBLE_FRACTION: f64 = 0.3;

/// The largest fraction of the schedulable workers that less urgent steps leave to gangs with open
/// questions.
const MAX_ADVICE_PENDING_FRACTION: f64 = 0.35;

/// The smallest duration per worker of a question used in estimates, in seconds.
const MIN_SECONDS_PER_WORKER: f64 = 0.000_01;

/// The smallest fraction of eligible workers used in estimates.
const MIN_ELIGIBLE_FRACTION: f64 = 0.05;

/// The weight of a new answer in the moving average of the fraction of eligible workers.
const ELIGIBLE_SMOOTHING: f64 = 0.1;

/// The largest number of workers in one question, as documented by the platform.
const MAX_WORKERS_PER_QUESTION: usize = 100;

impl job::Advice {
    /// Tells whether a question is open.
    pub(super) fn has_open_question(&self, now: Time) -> bool {
        self.pending_until.is_some_and(|until| until > now)
    }

    /// Tells whether there is a valid ticket for a worker.
    pub(super) fn has_valid_ticket(&self, worker: usize, now: Time) -> bool {
        self.tickets
            .get(&worker)
            .is_some_and(|ticket| ticket.until > now)
    }
}

impl Scheduler {
    /// Tells whether the service has named any worker for a step.
    pub(super) fn has_advice(&self, id: StepId) -> bool {
        !self.advice_of(id).tickets.is_empty()
    }

    pub(super) fn advice_of(&self, id: StepId) -> &job::Advice {
        &self.jobs[&id.job].steps[usize::from(id.step)].advice
    }

    /// Tells whether a step may ask a question now. If too many are open, it is visited again once
    /// one has ended.
    fn may_ask(&mut self, candidate: &Candidate<'_>) -> bool {
        let Candidate { id, queue, .. } = *candidate;
        let Some(timing) = queue.advice else {
            return false;
        };
        if self.advice_of(id).has_open_question(self.now) {
            return false;
        }
        let allowed = self.may_open_question(candidate, &timing);
        if !allowed {
            self.visits.add_unasked(candidate.rank);
        }
        allowed
    }

    /// Tells whether few enough questions are open for one of a step.
    fn may_open_question(&self, candidate: &Candidate<'_>, timing: &AdviceTiming) -> bool {
        if candidate.is_deferrable() && !self.may_ask_deferrable(candidate.is_late()) {
            return false;
        }
        let slow = question_duration(timing, MIN_WORKERS_PER_QUESTION) > SLOW_QUESTION_THRESHOLD;
        !slow || self.slow_questions.len() < self.advice_instances.max(1)
    }

    /// Tells whether one more deferrable question may be open. Their number is limited to keep
    /// instances available for other questions.
    fn may_ask_deferrable(&self, late: bool) -> bool {
        let open = self.questions.len();
        let deferrable = self
            .questions
            .values()
            .filter(|(_, deferrable)| *deferrable)
            .count();
        let instances = if late {
            2 * INSTANCES_PER_DEFERRABLE
        } else {
            INSTANCES_PER_DEFERRABLE
        };
        // While they wait for an instance, deferrable questions are overtaken by others.
        let idle = open - deferrable <= self.advice_instances / INSTANCES_PER_DEFERRABLE
            && open < MAX_OPEN_PER_INSTANCE * self.advice_instances;
        idle || deferrable < self.advice_instances.div_ceil(instances)
    }

    /// Asks about workers for a step without a known eligible worker. Returns `false` if the step
    /// counts as a failed placement of its queue.
    pub(super) fn ask_without_advice(&mut self, candidate: &Candidate<'_>) -> bool {
        let id = candidate.id;
        if self.advice_of(id).has_open_question(self.now) {
            return true;
        }
        if !self.may_ask(candidate) {
            return false;
        }
        let mut unknown = self.schedulable_workers(candidate);
        let answered = &self.advice_of(id).answered;
        unknown.retain(|worker| !answered.contains(worker));
        self.ask_selected(candidate, unknown);
        true
    }

    /// Asks about a selection of workers. If the step is a gang, less urgent steps don't start on
    /// the selected workers while the question is open.
    fn ask_selected(&mut self, candidate: &Candidate<'_>, workers: Vec<usize>) {
        let id = candidate.id;
        let chosen = self.select_workers(candidate, workers);
        self.ask(candidate, &chosen);
        if candidate.step.gang
            && let Some(until) = self.advice_of(id).pending_until
        {
            let is_pending = |worker: &&Worker| worker.advice_pending_until > self.now;
            let pending = self.schedulable().filter(is_pending).count();
            let limit = (self.schedulable().count() as f64 * MAX_ADVICE_PENDING_FRACTION) as usize;
            for worker in chosen.into_iter().take(limit.saturating_sub(pending)) {
                self.workers[worker].advice_pending_until = until;
            }
        }
    }

    /// Selects the workers that a step asks about: those with free capacity first, and no more than
    /// are likely to be needed, since each one makes the question slower. The order is rotated by
    /// job, so that jobs ask about different parts of the fleet.
    fn select_workers(&self, candidate: &Candidate<'_>, mut workers: Vec<usize>) -> Vec<usize> {
        let Candidate {
            id, queue, step, ..
        } = *candidate;
        if workers.len() > 1 {
            let offset = (id.job.0 % workers.len() as u64) as usize;
            workers.rotate_left(offset);
        }
        // Only half of the capacity counts on workers that another gang is asking about, since that
        // gang may take the rest.
        let fitting = |worker: usize| {
            let fitting = step.booked().times_within(&self.workers[worker].free);
            let advice_pending = self.workers[worker].advice_pending_until > self.now;
            if advice_pending { fitting / 2 } else { fitting }
        };
        // The stable sort keeps the rotated order among equal workers. Gangs prefer emptier
        // workers, on which several members fit.
        workers.sort_by_cached_key(|&worker| {
            let fitting = fitting(worker);
            Reverse(if step.gang { fitting } else { fitting.min(1) })
        });
        let eligible = self
            .eligible_fraction
            .get(&queue.name)
            .copied()
            .unwrap_or(DEFAULT_ELIGIBLE_FRACTION);
        let needed = f64::from(step.count) * SPARE_CAPACITY_FACTOR / eligible;
        self.sort_by_rack(step, &mut workers, fitting, needed);
        let mut expected = 0.0;
        let mut count = 0;
        for &worker in &workers {
            if expected >= needed && count >= MIN_WORKERS_PER_QUESTION
                || count >= MAX_WORKERS_PER_QUESTION
            {
                break;
            }
            let capacity = step
                .booked()
                .times_within(&self.workers[worker].entry.capacity);
            expected += (fitting(worker) as f64).max(capacity as f64 * OCCUPIED_WORKER_WEIGHT);
            count += 1;
        }
        workers.truncate(count);
        workers
    }

    /// Asks about workers that the service has not answered about yet. A gang also asks about
    /// workers without free capacity, since they may be reserved for it.
    pub(super) fn ask_unknown(&mut self, candidate: &Candidate<'_>) {
        let id = candidate.id;
        let now = self.now;
        let pause = if candidate.is_urgent() || candidate.step.gang {
            URGENT_LOOKUP_INTERVAL
        } else {
            LOOKUP_INTERVAL
        };
        let due = self.advice_of(id).searched_at.after(pause);
        if now < due || !self.may_ask(candidate) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.steps[usize::from(id.step)].advice.searched_at = now;
        }
        let answered = &self.advice_of(id).answered;
        let size = candidate.step.booked();
        let useful = |worker: &usize| {
            !answered.contains(worker)
                && (candidate.step.gang || size.fits(&self.workers[*worker].free))
        };
        let mut new = self.schedulable_workers(candidate);
        new.retain(useful);
        self.ask_selected(candidate, new);
    }

    /// Returns the schedulable workers that suit a step, without regard to free capacity and
    /// advice.
    fn schedulable_workers(&self, candidate: &Candidate<'_>) -> Vec<usize> {
        let fits = |&index: &usize| {
            let worker = &self.workers[index];
            worker.is_schedulable(self.now) && suits(worker, candidate.queue, candidate.step)
        };
        (0..self.workers.len()).filter(fits).collect()
    }

    /// Asks for new tickets for some workers, and for a few other eligible workers that may have
    /// free capacity soon.
    pub(super) fn renew_tickets(&mut self, candidate: &Candidate<'_>, workers: &[usize]) {
        let mut workers_to_ask = workers.to_vec();
        if let Some(timing) = candidate.queue.advice.filter(|_| !candidate.step.gang) {
            let extra_seconds = timing.base.mul_f64(EXTRA_RENEWAL_FRACTION).as_secs_f64();
            let extra_workers =
                extra_seconds / timing.per_worker.as_secs_f64().max(MIN_SECONDS_PER_WORKER);
            let now = self.now;
            let known = self.advice_of(candidate.id).tickets.keys().copied();
            let others = known.filter(|worker| !workers.contains(worker));
            let schedulable = others.filter(|&worker| self.workers[worker].is_schedulable(now));
            workers_to_ask.extend(schedulable.take(extra_workers as usize));
        }
        self.ask(candidate, &workers_to_ask);
    }

    /// Asks about some workers, unless the step may not ask now.
    pub(super) fn ask(&mut self, candidate: &Candidate<'_>, workers: &[usize]) {
        let Candidate {
            id, queue, rank, ..
        } = *candidate;
        let Some(timing) = queue.advice else {
            return;
        };
        let now = self.now;
        if workers.is_empty() || !self.may_ask(candidate) {
            return;
        }
        let distinct = self.workers_in_question(id, workers);
        let takes = question_duration(&timing, distinct.len());
        if takes > SLOW_QUESTION_THRESHOLD && !self.open_slow_question(id) {
            self.visits.add_unasked(rank);
            return;
        }
        let names = distinct
            .iter()
            .map(|&worker| self.workers[worker].entry.id.clone());
        let question = Question {
            step: id,
            workers: names.collect(),
            takes,
            lateness: rank.lateness,
            priority: queue.priority,
        };
        self.actions.push(Action::Ask(question));
        let entry = (now.after(takes + ANSWER_MARGIN), candidate.is_deferrable());
        self.questions.insert(id, entry);
        if let Some(job) = self.jobs.get_mut(&id.job) {
            let advice = &mut job.steps[usize::from(id.step)].advice;
            advice.pending = distinct;
            advice.pending_until = Some(now.after(takes + ANSWER_MARGIN));
        }
    }

    /// Returns the workers that one question covers: each one once, and those first whose tickets
    /// expire first. Several members of a gang may be meant for the same worker.
    fn workers_in_question(&self, id: StepId, workers: &[usize]) -> BTreeSet<usize> {
        let distinct: BTreeSet<usize> = workers.iter().copied().collect();
        let mut ordered: Vec<usize> = distinct.into_iter().collect();
        let tickets = &self.advice_of(id).tickets;
        ordered.sort_by_key(|worker| tickets.get(worker).map(|ticket| ticket.until));
        ordered.truncate(MAX_WORKERS_PER_QUESTION);
        ordered.into_iter().collect()
    }

    /// Sets the number of instances that query the advice service.
    pub fn set_advice_instances(&mut self, instances: usize) {
        self.advice_instances = instances;
    }

    /// Registers a slow question; returns `false` if too many are open.
    ///
    /// With more slow questions than instances, some would be answered too late, while the capacity
    /// that is reserved for their gangs stays unused.
    fn open_slow_question(&mut self, id: StepId) -> bool {
        let now = self.now;
        if self.slow_questions.len() >= self.advice_instances.max(1) {
            return false;
        }
        let until = now.after(SLOW_QUESTION_TIMEOUT);
        self.slow_questions.insert(id, until);
        true
    }

    /// Handles an answer of the advice service; `None` means that no answer came.
    pub fn handle_advice(&mut self, id: StepId, advice: Option<&Advice>) {
        self.mark_ready(id.job);
        self.visits.end_question();
        self.questions.remove(&id);
        self.slow_questions.remove(&id);
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let queue = self.queues.get(&job.queue);
        let spec = job.spec.as_ref();
        let spec = spec.and_then(|spec| spec.step(usize::from(id.step)));
        let timing = queue.and_then(|queue| queue.advice);
        let validity = timing.map_or(Duration::ZERO, |timing| timing.validity);
        let until = now.after(validity.saturating_sub(TICKET_MARGIN));
        let Some(step) = job.steps.get_mut(usize::from(id.step)) else {
            return;
        };
        let asked_workers = std::mem::take(&mut step.advice.pending);
        if let Some(until) = step.advice.pending_until.take() {
            for &worker in &asked_workers {
                if self.workers[worker].advice_pending_until == until {
                    self.workers[worker].advice_pending_until = now;
                }
            }
        }
        let Some(advice) = advice else {
            return;
        };
        if !asked_workers.is_empty() && step.advice.answered.is_empty() {
            // Only the first answer is representative: later questions are also about workers that
            // are known to be eligible.
            let fraction = advice.tickets.len() as f64 / asked_workers.len() as f64;
            let eligible = self
                .eligible_fraction
                .entry(job.queue.clone())
                .or_insert(fraction);
            *eligible += ELIGIBLE_SMOOTHING * (fraction - *eligible);
            *eligible = eligible.max(MIN_ELIGIBLE_FRACTION);
        }
        // Only answered workers are recorded, so those of a lost question are asked about again.
        step.advice.answered.extend(asked_workers);
        for (worker, text) in &advice.tickets {
            // The queue may have been moved to another pool since the question was asked.
            let suits = |index: usize| match (queue, spec) {
                (Some(queue), Some(spec)) => suits(&self.workers[index], queue, spec),
                (_, _) => false,
            };
            if let Some(&index) = self.by_id.get(worker)
                && suits(index)
            {
                let text = text.clone();
                step.advice.tickets.insert(index, Ticket { text, until });
                self.visits.add_holder(index, id);
            }
        }
    }
}

pub(super) fn question_duration(timing: &AdviceTiming, workers: usize) -> Duration {
    timing.base + timing.per_worker * u32::try_from(workers).unwrap_or(u32::MAX)
}
