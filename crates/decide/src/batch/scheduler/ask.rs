//! Tickets: which workers the advice service is asked about, and when.
//!
//! What it says of a step and a worker never changes, only the ticket expires. So a step asks about
//! all workers once, and later only about workers that have room for it.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::time::Time;

use super::super::StepId;
use super::super::advice::{Advice, Question, SLOW};
use super::super::config::{Advised, Queue};
use super::super::event::Action;
use super::super::job::{self, Ticket};
use super::Scheduler;

/// How long an answer is waited for beyond what the question takes.
const PATIENCE: Duration = Duration::from_secs(2);

/// How long a slow question counts as open where no answer comes.
const SLOW_PATIENCE: Duration = Duration::from_secs(4);

/// What is taken off a ticket's validity for the way of the ticket and of the order.
const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// How often a step that finds no room looks for workers that it has not asked about.
const LOOK_AGAIN: Duration = Duration::from_millis(250);

/// How many workers are asked about for each task of a step. A third to two thirds of them may run
/// it, and of these most are full.
const ASKED_PER_TASK: usize = 8;

/// How many workers are asked about at least.
const ASKED_AT_LEAST: usize = 12;

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
    fn may_ask(&self, id: StepId, queue: &Queue) -> bool {
        let Some(advised) = queue.advice else {
            return false;
        };
        if self.advice_of(id).is_asking(self.now) {
            return false;
        }
        let slow = duration(&advised, ASKED_AT_LEAST) > SLOW;
        !slow || self.slow_questions.len() < self.askers.max(1)
    }

    /// Asks for the first time; returns whether a question is open.
    pub(super) fn ask_all(&mut self, id: StepId, queue: &Queue) -> bool {
        if self.advice_of(id).is_asking(self.now) {
            return true;
        }
        if !self.may_ask(id, queue) {
            return false;
        }
        let all = self.open_workers(queue);
        let chosen = self.worth_asking(id, all);
        self.ask_some(id, queue, &chosen);
        true
    }

    /// Chooses the workers that a step asks about: those with room first, each step beginning
    /// elsewhere in the fleet, and no more than are likely to be needed, since each one takes time.
    fn worth_asking(&self, id: StepId, mut workers: Vec<usize>) -> Vec<usize> {
        let Some(step) = self.jobs[&id.job].spec.as_ref() else {
            return workers;
        };
        let step = &step.steps[usize::from(id.step)];
        let most = (step.count as usize * ASKED_PER_TASK).clamp(ASKED_AT_LEAST, WORKERS);
        if workers.len() <= most {
            return workers;
        }
        let turn = (id.job.0 % workers.len() as u64) as usize;
        workers.rotate_left(turn);
        // A stable sort keeps the turn among those that have room, and among the others.
        let room = |&worker: &usize| !step.size.fits(&self.workers[worker].free);
        workers.sort_by_key(room);
        if step.gang {
            // Members need rooms beside each other: the emptier, the better.
            let free = |&worker: &usize| std::cmp::Reverse(self.workers[worker].free.millicores);
            workers.sort_by_key(free);
        }
        workers.truncate(most);
        workers
    }

    /// Asks for new tickets of the workers that may run a step.
    pub(super) fn ask_eligible(&mut self, id: StepId, queue: &Queue) {
        let now = self.now;
        let known = self.advice_of(id).tickets.keys().copied();
        let open: Vec<usize> = known
            .filter(|&worker| self.workers[worker].is_open(now))
            .collect();
        self.ask_some(id, queue, &open);
    }

    /// Asks about workers that came after the last question.
    pub(super) fn ask_new(&mut self, id: StepId, queue: &Queue) {
        let now = self.now;
        let due = self.advice_of(id).looked.after(LOOK_AGAIN);
        if now < due || !self.may_ask(id, queue) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.steps[usize::from(id.step)].advice.looked = now;
        }
        let asked = &self.advice_of(id).asked;
        let open = self.open_workers(queue);
        let new: Vec<usize> = open
            .into_iter()
            .filter(|worker| !asked.contains(worker))
            .collect();
        self.ask_some(id, queue, &new);
    }

    fn open_workers(&self, queue: &Queue) -> Vec<usize> {
        let fits = |&index: &usize| {
            let worker = &self.workers[index];
            worker.is_open(self.now) && worker.entry.pool == queue.pool
        };
        (0..self.workers.len()).filter(fits).collect()
    }

    /// Asks about some workers, unless a question of the step is open.
    pub(super) fn ask_some(&mut self, id: StepId, queue: &Queue, workers: &[usize]) {
        let Some(advised) = queue.advice else {
            return;
        };
        let now = self.now;
        if workers.is_empty() || self.advice_of(id).is_asking(now) {
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
            priority: queue.priority,
        };
        self.out.push(Action::Ask(question));
        if let Some(job) = self.jobs.get_mut(&id.job) {
            let advice = &mut job.steps[usize::from(id.step)].advice;
            advice.asked.extend(distinct);
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
    pub fn advised(&mut self, id: StepId, advice: Option<&Advice>) {
        self.dirty = true;
        self.slow_questions.remove(&id);
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let validity = self.queues.get(&job.queue).and_then(|queue| queue.advice);
        let validity = validity.map_or(Duration::ZERO, |advised| advised.validity);
        let until = now.after(validity.saturating_sub(TICKET_MARGIN));
        let Some(step) = job.steps.get_mut(usize::from(id.step)) else {
            return;
        };
        step.advice.open_until = None;
        let Some(advice) = advice else {
            return;
        };
        for (worker, text) in &advice.tickets {
            if let Some(&index) = self.by_id.get(worker) {
                let text = text.clone();
                step.advice.tickets.insert(index, Ticket { text, until });
            }
        }
        if step.advice.tickets.is_empty() {
            // No worker that was asked about may run it: only a new one can help.
            step.advice.open_until = Some(now.after(PATIENCE));
        }
    }
}

fn duration(advised: &Advised, workers: usize) -> Duration {
    advised.base + advised.each * u32::try_from(workers).unwrap_or(u32::MAX)
}
