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
const PATIENCE: Duration = Duration::from_secs(2);

/// How long a slow question counts as open where no answer comes.
const SLOW_PATIENCE: Duration = Duration::from_secs(4);

/// What is taken off a ticket's validity for the way of the ticket and of the order.
const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// How often an urgent step that finds no room looks for workers that it has not asked about.
const LOOK_AGAIN: Duration = Duration::from_millis(250);

/// How often any other step does so.
const LOOK_AGAIN_LATER: Duration = Duration::from_millis(1_000);

/// One in so many instances may be busy with questions for what comes later, though none is idle, and
/// half as many with those of late jobs.
const LATER_PART: usize = 3;

/// How many questions may be open for each instance while few of them are of what comes first: no
/// instance is idle then while its answer is under way.
const QUEUED: usize = 2;

/// What a question about some workers may take longer for more of them whose tickets it renews.
const RENEWED_TOO: f64 = 0.4;

/// How many times the room that a step needs it asks about, beyond the part of the workers that it
/// may run on: others take some of the room while the question is asked.
const SPARE_ROOM: f64 = 1.5;

/// What a worker counts on which there is no room now, as a part of what it could hold.
const ROOM_TO_COME: f64 = 0.2;

/// How many workers are asked about at least; so many add a third to what a question takes anyway.
const ASKED_AT_LEAST: usize = 24;

/// The part of the workers that may run a step, while nothing has been learnt of its queue.
const ELIGIBLE: f64 = 0.3;

/// The largest part of all workers that is left to gangs while they ask.
const LEFT_TO_GANGS: f64 = 0.35;

/// The least that a worker of a question is reckoned to take, in seconds.
const LEAST_EACH: f64 = 0.000_01;

/// The least part that is reckoned with.
const LEAST_ELIGIBLE: f64 = 0.05;

/// What one more answer weighs against all earlier ones.
const ELIGIBLE_WEIGHT: f64 = 0.1;

/// The most workers of one question, as the platform documents it.
const WORKERS: usize = 100;

impl job::Advice {
    /// Tells whether an answer to a question is waited for.
    pub(super) fn is_asking(&self, now: Time) -> bool {
        self.open_until.is_some_and(|until| until > now)
    }

    /// Tells whether a ticket for a worker still holds.
    pub(super) fn holds(&self, worker: usize, now: Time) -> bool {
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
        if candidate.comes_later() && !self.may_ask_later(candidate.is_late()) {
            return false;
        }
        let slow = duration(&advised, ASKED_AT_LEAST) > SLOW;
        !slow || self.slow_questions.len() < self.askers.max(1)
    }

    /// Tells whether one more question may be open of what comes later: those that come first need
    /// the instances that ask.
    fn may_ask_later(&self, late: bool) -> bool {
        let open = self.questions.len();
        let later = self.questions.values().filter(|(_, later)| *later).count();
        let part = if late { 2 * LATER_PART } else { LATER_PART };
        // Questions that wait for an instance are overtaken by those of jobs that come first.
        let idle = open - later <= self.askers / LATER_PART && open < QUEUED * self.askers;
        idle || later < self.askers.div_ceil(part)
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
        self.ask_first(candidate, unknown);
        true
    }

    /// Asks about the workers that are worth it, and has others leave them to a gang meanwhile.
    fn ask_first(&mut self, candidate: &Candidate<'_>, workers: Vec<usize>) {
        let id = candidate.id;
        let chosen = self.worth_asking(candidate, workers);
        self.ask_some(candidate, &chosen);
        if candidate.step.gang
            && let Some(until) = self.advice_of(id).open_until
        {
            let asked = |worker: &&Worker| worker.asked_until > self.now;
            let asked = self.open().filter(asked).count();
            let most = (self.open().count() as f64 * LEFT_TO_GANGS) as usize;
            for worker in chosen.into_iter().take(most.saturating_sub(asked)) {
                self.workers[worker].asked_until = until;
            }
        }
    }

    /// Chooses the workers that a step asks about: those with room first, each step beginning elsewhere in the fleet, and no more than are likely to be needed, since
    /// each one takes time.
    fn worth_asking(&self, candidate: &Candidate<'_>, mut workers: Vec<usize>) -> Vec<usize> {
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
        let eligible = self.eligible.get(&queue.name).copied().unwrap_or(ELIGIBLE);
        let needed = f64::from(step.count) * SPARE_ROOM / eligible;
        let mut room = 0.0;
        let mut count = 0;
        for &worker in &workers {
            if room >= needed && count >= ASKED_AT_LEAST || count >= WORKERS {
                break;
            }
            let capacity = step
                .booked()
                .times_within(&self.workers[worker].entry.capacity);
            room += (fitting(worker) as f64).max(capacity as f64 * ROOM_TO_COME);
            count += 1;
        }
        workers.truncate(count);
        workers
    }

    /// Asks about workers of which nothing is known yet; a gang about those without room as well,
    /// since they may be emptied for it.
    pub(super) fn ask_new(&mut self, candidate: &Candidate<'_>) {
        let id = candidate.id;
        let now = self.now;
        let pause = if candidate.is_urgent() || candidate.step.gang {
            LOOK_AGAIN
        } else {
            LOOK_AGAIN_LATER
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
        self.ask_first(candidate, new);
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
    pub(super) fn ask_again(&mut self, candidate: &Candidate<'_>, workers: &[usize]) {
        let mut asked = workers.to_vec();
        if let Some(advised) = candidate.queue.advice.filter(|_| !candidate.step.gang) {
            let longer = advised.base.mul_f64(RENEWED_TOO).as_secs_f64();
            let more = longer / advised.each.as_secs_f64().max(LEAST_EACH);
            let now = self.now;
            let known = self.advice_of(candidate.id).tickets.keys().copied();
            let others = known.filter(|worker| !workers.contains(worker));
            let open = others.filter(|&worker| self.workers[worker].is_open(now));
            asked.extend(open.take(more as usize));
        }
        self.ask_some(candidate, &asked);
    }

    /// Asks about some workers, unless a question of the step is open.
    pub(super) fn ask_some(&mut self, candidate: &Candidate<'_>, workers: &[usize]) {
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
        let distinct: BTreeSet<usize> = workers.iter().copied().take(WORKERS).collect();
        let takes = duration(&advised, distinct.len());
        if takes > SLOW && !self.may_ask_slowly(id) {
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
        self.out.push(Action::Ask(question));
        let question = (now.after(takes + PATIENCE), candidate.comes_later());
        self.questions.insert(id, question);
        if let Some(job) = self.jobs.get_mut(&id.job) {
            let advice = &mut job.steps[usize::from(id.step)].advice;
            advice.open = distinct;
            advice.open_until = Some(now.after(takes + PATIENCE));
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
    fn may_ask_slowly(&mut self, id: StepId) -> bool {
        let now = self.now;
        if self.slow_questions.len() >= self.askers.max(1) {
            return false;
        }
        let until = now.after(SLOW_PATIENCE);
        self.slow_questions.insert(id, until);
        true
    }

    /// Takes in what the service has answered; `None` where no answer came.
    pub fn handle_advice(&mut self, id: StepId, advice: Option<&Advice>) {
        self.wait(id.job);
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
            let part = advice.tickets.len() as f64 / asked.len() as f64;
            let eligible = self.eligible.entry(job.queue.clone()).or_insert(part);
            *eligible += ELIGIBLE_WEIGHT * (part - *eligible);
            *eligible = eligible.max(LEAST_ELIGIBLE);
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

fn duration(advised: &Advised, workers: usize) -> Duration {
    advised.base + advised.each * u32::try_from(workers).unwrap_or(u32::MAX)
}
