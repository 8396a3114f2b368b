//! Tickets: which workers the advice service is asked about, and when.
//!
//! What it says of a step and a worker never changes, only the ticket expires. So a step asks about
//! some workers first, about others only where these don't do, and later only about workers that may
//! run it and have room.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::time::Time;

use super::super::StepId;
use super::super::advice::{Advice, Question, SLOW};
use super::super::config::Advised;
use super::super::event::Action;
use super::super::fleet::Worker;
use super::super::job::{self, Ticket};
use super::Scheduler;
use super::target::{Candidate, suits};

/// How long an answer is waited for beyond what the question takes.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

/// How long a slow question counts as open where no answer comes.
const SLOW_QUESTION_TIMEOUT: Duration = Duration::from_secs(4);

/// What is taken off a ticket's validity for the way of the ticket and of the order.
const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// How often an urgent step that finds no room looks for workers that it has not asked about.
const URGENT_LOOKUP_INTERVAL: Duration = Duration::from_millis(250);

/// How often any other step does so.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(1_000);

/// One in so many instances may be busy with questions for what comes later, though none is idle, and
/// half as many with those of late jobs.
const INSTANCES_PER_DEFERRED: usize = 3;

/// How many questions may be open for each instance while few of them are of what comes first: no
/// instance is idle then while its answer is under way.
const MAX_OPEN_PER_INSTANCE: usize = 2;

/// What a question about some workers may take longer for more of them whose tickets it renews.
const EXTRA_RENEWAL_FRACTION: f64 = 0.4;

/// How many times the room that a step needs it asks about, beyond the part of the workers that it
/// may run on: others take some of the room while the question is asked.
const SPARE_CAPACITY_FACTOR: f64 = 1.5;

/// What a worker counts on which there is no room now, as a part of what it could hold.
const OCCUPIED_WORKER_WEIGHT: f64 = 0.2;

/// How many workers are asked about at least; so many add a third to what a question takes anyway.
const MIN_WORKERS: usize = 24;

/// The part of the workers that may run a step, while nothing has been learnt of its queue.
const DEFAULT_ELIGIBLE_FRACTION: f64 = 0.3;

/// The largest part of all workers that is left to gangs while they ask.
const MAX_ASKED_FRACTION: f64 = 0.35;

/// The least that a worker of a question is reckoned to take, in seconds.
const MIN_SECONDS_PER_WORKER: f64 = 0.000_01;

/// The least part that is reckoned with.
const MIN_ELIGIBLE_FRACTION: f64 = 0.05;

/// What one more answer weighs against all earlier ones.
const ELIGIBLE_SMOOTHING: f64 = 0.1;

/// The most workers of one question, as the platform documents it.
const MAX_WORKERS: usize = 100;

impl job::Advice {
    /// Tells whether an answer to a question is waited for.
    pub(super) fn is_asking(&self, now: Time) -> bool {
        self.open_until.is_some_and(|until| until > now)
    }

    /// Tells whether a ticket for a worker still holds.
    pub(super) fn has_valid_ticket(&self, worker: usize, now: Time) -> bool {
        self.tickets
            .get(&worker)
            .is_some_and(|ticket| ticket.until > now)
    }
}

impl Scheduler {
    /// Tells whether the service has named a worker for a step.
    pub(super) fn is_advised(&self, id: StepId) -> bool {
        !self.advice_of(id).tickets.is_empty()
    }

    pub(super) fn advice_of(&self, id: StepId) -> &job::Advice {
        &self.jobs[&id.job].steps[usize::from(id.step)].advice
    }

    /// Tells whether a question of a step can be asked now.
    fn may_ask(&self, candidate: &Candidate<'_>) -> bool {
        let Candidate { id, queue, .. } = *candidate;
        let Some(advised) = queue.advice else {
            return false;
        };
        if self.advice_of(id).is_asking(self.now) {
            return false;
        }
        if candidate.is_deferrable() && !self.may_ask_deferrable(candidate.is_late()) {
            return false;
        }
        let slow = question_duration(&advised, MIN_WORKERS) > SLOW;
        !slow || self.slow_questions.len() < self.askers.max(1)
    }

    /// Tells whether one more question may be open of what comes later: those that come first need
    /// the instances that ask.
    fn may_ask_deferrable(&self, late: bool) -> bool {
        let open = self.questions.len();
        let later = self.questions.values().filter(|(_, later)| *later).count();
        let instances = if late {
            2 * INSTANCES_PER_DEFERRED
        } else {
            INSTANCES_PER_DEFERRED
        };
        // Questions that wait for an instance are overtaken by those of jobs that come first.
        let idle = open - later <= self.askers / INSTANCES_PER_DEFERRED
            && open < MAX_OPEN_PER_INSTANCE * self.askers;
        idle || later < self.askers.div_ceil(instances)
    }

    /// Asks while no worker is known that may run a step; returns whether others of its queue may get
    /// on as well.
    pub(super) fn ask_unadvised(&mut self, candidate: &Candidate<'_>) -> bool {
        let id = candidate.id;
        if self.advice_of(id).is_asking(self.now) {
            return true;
        }
        if !self.may_ask(candidate) {
            return false;
        }
        let mut unknown = self.open_workers(candidate);
        let answered = &self.advice_of(id).answered;
        unknown.retain(|worker| !answered.contains(worker));
        self.ask_selected(candidate, unknown);
        true
    }

    /// Asks about the workers that are worth it, and has others leave them to a gang meanwhile.
    fn ask_selected(&mut self, candidate: &Candidate<'_>, workers: Vec<usize>) {
        let id = candidate.id;
        let chosen = self.select_workers(candidate, workers);
        self.ask(candidate, &chosen);
        if candidate.step.gang
            && let Some(until) = self.advice_of(id).open_until
        {
            let asked = |worker: &&Worker| worker.asked_until > self.now;
            let asked = self.open().filter(asked).count();
            let most = (self.open().count() as f64 * MAX_ASKED_FRACTION) as usize;
            for worker in chosen.into_iter().take(most.saturating_sub(asked)) {
                self.workers[worker].asked_until = until;
            }
        }
    }

    /// Chooses the workers that a step asks about: those with room first, each step beginning elsewhere in the fleet, and no more than are likely to be needed, since
    /// each one takes time.
    fn select_workers(&self, candidate: &Candidate<'_>, mut workers: Vec<usize>) -> Vec<usize> {
        let Candidate {
            id, queue, step, ..
        } = *candidate;
        if workers.len() > 1 {
            let turn = (id.job.0 % workers.len() as u64) as usize;
            workers.rotate_left(turn);
        }
        // Half of the room where another gang asks will be gone.
        let fitting = |worker: usize| {
            let fitting = step.booked().times_within(&self.workers[worker].free);
            let asked = self.workers[worker].asked_until > self.now;
            if asked { fitting / 2 } else { fitting }
        };
        // A stable sort keeps the turn among those that have the same room. Members of a gang need
        // rooms beside each other: the emptier, the better.
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
        let mut room = 0.0;
        let mut count = 0;
        for &worker in &workers {
            if room >= needed && count >= MIN_WORKERS || count >= MAX_WORKERS {
                break;
            }
            let capacity = step
                .booked()
                .times_within(&self.workers[worker].entry.capacity);
            room += (fitting(worker) as f64).max(capacity as f64 * OCCUPIED_WORKER_WEIGHT);
            count += 1;
        }
        workers.truncate(count);
        workers
    }

    /// Asks about workers of which nothing is known yet; a gang about those without room as well,
    /// since they may be emptied for it.
    pub(super) fn ask_unknown(&mut self, candidate: &Candidate<'_>) {
        let id = candidate.id;
        let now = self.now;
        let pause = if candidate.is_urgent() || candidate.step.gang {
            URGENT_LOOKUP_INTERVAL
        } else {
            LOOKUP_INTERVAL
        };
        let due = self.advice_of(id).looked.after(pause);
        if now < due || !self.may_ask(candidate) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.steps[usize::from(id.step)].advice.looked = now;
        }
        let answered = &self.advice_of(id).answered;
        let size = candidate.step.booked();
        let useful = |worker: &usize| {
            !answered.contains(worker)
                && (candidate.step.gang || size.fits(&self.workers[*worker].free))
        };
        let mut new = self.open_workers(candidate);
        new.retain(useful);
        self.ask_selected(candidate, new);
    }

    /// Returns the workers that a step may run on, but for room and advice.
    fn open_workers(&self, candidate: &Candidate<'_>) -> Vec<usize> {
        let fits = |&index: &usize| {
            let worker = &self.workers[index];
            worker.is_open(self.now) && suits(worker, candidate.queue, candidate.step)
        };
        (0..self.workers.len()).filter(fits).collect()
    }

    /// Asks for new tickets of some workers, and of others that may have room soon.
    pub(super) fn renew_tickets(&mut self, candidate: &Candidate<'_>, workers: &[usize]) {
        let mut asked = workers.to_vec();
        if let Some(advised) = candidate.queue.advice.filter(|_| !candidate.step.gang) {
            let longer = advised.base.mul_f64(EXTRA_RENEWAL_FRACTION).as_secs_f64();
            let more = longer / advised.each.as_secs_f64().max(MIN_SECONDS_PER_WORKER);
            let now = self.now;
            let known = self.advice_of(candidate.id).tickets.keys().copied();
            let others = known.filter(|worker| !workers.contains(worker));
            let open = others.filter(|&worker| self.workers[worker].is_open(now));
            asked.extend(open.take(more as usize));
        }
        self.ask(candidate, &asked);
    }

    /// Asks about some workers, unless a question of the step is open.
    pub(super) fn ask(&mut self, candidate: &Candidate<'_>, workers: &[usize]) {
        let Candidate {
            id,
            queue,
            lateness,
            ..
        } = *candidate;
        let Some(advised) = queue.advice else {
            return;
        };
        let now = self.now;
        if workers.is_empty() || !self.may_ask(candidate) {
            return;
        }
        let distinct: BTreeSet<usize> = workers.iter().copied().take(MAX_WORKERS).collect();
        let takes = question_duration(&advised, distinct.len());
        if takes > SLOW && !self.open_slow_question(id) {
            return;
        }
        let names = distinct
            .iter()
            .map(|&worker| self.workers[worker].entry.id.clone());
        let question = Question {
            step: id,
            workers: names.collect(),
            takes,
            lateness,
            priority: queue.priority,
        };
        self.actions.push(Action::Ask(question));
        let question = (now.after(takes + ANSWER_MARGIN), candidate.is_deferrable());
        self.questions.insert(id, question);
        if let Some(job) = self.jobs.get_mut(&id.job) {
            let advice = &mut job.steps[usize::from(id.step)].advice;
            advice.open = distinct;
            advice.open_until = Some(now.after(takes + ANSWER_MARGIN));
        }
    }

    /// Takes in how many instances ask questions.
    pub fn set_askers(&mut self, askers: usize) {
        self.askers = askers;
    }

    /// Tells whether one more slow question may be open, and counts it.
    ///
    /// More questions than instances would wait in line and be answered too late, while the room
    /// that is kept for their gangs stands empty.
    fn open_slow_question(&mut self, id: StepId) -> bool {
        let now = self.now;
        if self.slow_questions.len() >= self.askers.max(1) {
            return false;
        }
        let until = now.after(SLOW_QUESTION_TIMEOUT);
        self.slow_questions.insert(id, until);
        true
    }

    /// Takes in what the service has answered; `None` where no answer came.
    pub fn handle_advice(&mut self, id: StepId, advice: Option<&Advice>) {
        self.mark_ready(id.job);
        self.questions.remove(&id);
        self.slow_questions.remove(&id);
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let queue = self.queues.get(&job.queue);
        let spec = job.spec.as_ref();
        let spec = spec.and_then(|spec| spec.get(usize::from(id.step)));
        let validity = queue.and_then(|queue| queue.advice);
        let validity = validity.map_or(Duration::ZERO, |advised| advised.validity);
        let until = now.after(validity.saturating_sub(TICKET_MARGIN));
        let Some(step) = job.steps.get_mut(usize::from(id.step)) else {
            return;
        };
        let asked = std::mem::take(&mut step.advice.open);
        if let Some(until) = step.advice.open_until.take() {
            for &worker in &asked {
                if self.workers[worker].asked_until == until {
                    self.workers[worker].asked_until = now;
                }
            }
        }
        let Some(advice) = advice else {
            return;
        };
        if !asked.is_empty() && step.advice.answered.is_empty() {
            // Later questions are about workers that were named before.
            let fraction = advice.tickets.len() as f64 / asked.len() as f64;
            let eligible = self
                .eligible_fraction
                .entry(job.queue.clone())
                .or_insert(fraction);
            *eligible += ELIGIBLE_SMOOTHING * (fraction - *eligible);
            *eligible = eligible.max(MIN_ELIGIBLE_FRACTION);
        }
        // Workers of a question that was lost are asked about again.
        step.advice.answered.extend(asked);
        for (worker, text) in &advice.tickets {
            // The queue may have got another pool since the question was asked.
            let suits = |index: usize| match (queue, spec) {
                (Some(queue), Some(spec)) => suits(&self.workers[index], queue, spec),
                (_, _) => false,
            };
            if let Some(&index) = self.by_id.get(worker)
                && suits(index)
            {
                let text = text.clone();
                step.advice.tickets.insert(index, Ticket { text, until });
            }
        }
    }
}

fn question_duration(advised: &Advised, workers: usize) -> Duration {
    advised.base + advised.each * u32::try_from(workers).unwrap_or(u32::MAX)
}
