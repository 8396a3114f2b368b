//! Start orders and their results.

use std::time::Duration;

use crate::name::Name;

use super::super::event::{Action, Decision, Evidence, Refusal, StartOutcome};
use super::super::fleet::Contact;
use super::super::job::{Phase, Place};
use super::super::{Attempt, JobId, State, StepId, TaskId};
use super::Scheduler;

/// How many times a start order is sent in all if no answer comes.
const MAX_START_ORDERS: u32 = 3;

/// How long nothing is started on a worker that has refused an order as unhealthy.
const UNHEALTHY_BACKOFF: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Orders tasks of one step to start; each entry is the index of a task and its worker.
    pub(super) fn start(&mut self, id: StepId, tasks: &[(u32, usize)]) {
        let number = usize::from(id.step);
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(spec) = &job.spec else {
            return;
        };
        let Some(step) = spec.step(number) else {
            return;
        };
        let (payload, size, booked) = (spec.payload.clone(), step.size, step.booked());
        let (gang, purpose) = (step.gang, step.purpose);
        let spec_step = step.clone();
        let account = job.account.clone();
        let queue = job.queue.clone();
        let age = self.now.since(job.accepted);
        let step = &mut job.steps[number];
        step.started = step.started.or(Some(self.now));
        let shared = step.shared_checkpoint();
        step.run += 1;
        let mut orders = Vec::with_capacity(tasks.len());
        for &(index, worker) in tasks {
            let task = &mut step.tasks[index as usize];
            let run = if gang {
                step.run.max(task.run + 1)
            } else {
                task.run + 1
            };
            step.run = step.run.max(run);
            task.run = run;
            task.place = Place::On {
                worker,
                run,
                phase: Phase::Ordered {
                    sent: 1,
                    expires_ms: 0,
                },
                since: self.now,
            };
            let checkpoint = if gang {
                shared.clone()
            } else {
                task.checkpoint.clone()
            };
            let ticket = step.advice.tickets.get(&worker);
            orders.push((
                index,
                worker,
                run,
                checkpoint,
                ticket.map(|ticket| ticket.text.clone()),
            ));
        }
        let run = step.run;
        let total = size.times(tasks.len() as u64);
        self.hold_by_others(account.as_ref(), &queue, &total);
        let named = tasks.iter().map(|&(index, worker)| {
            let worker = self.workers[worker].entry.id.clone();
            (index, worker)
        });
        let decision = Decision::Started {
            step: id,
            run,
            tasks: named.collect(),
            age,
        };
        self.log(decision);
        let workers: Vec<usize> = tasks.iter().map(|(_, worker)| *worker).collect();
        self.record_placement(id, &spec_step, &workers);
        if gang {
            self.begin_assembly(id, tasks.len(), shared.is_some());
        }
        for (index, worker, run, checkpoint, ticket) in orders {
            let task = TaskId { step: id, index };
            let attempt = Attempt { task, run };
            self.workers[worker].book(attempt, &booked, purpose);
            self.charge(account.as_ref(), &size);
            self.actions.push(Action::Start {
                worker,
                attempt,
                payload: payload.clone(),
                checkpoint,
                ticket,
                repeated: false,
            });
        }
    }

    /// Handles the result of a start order.
    ///
    /// `expires_ms` is the time on the worker's clock, in milliseconds, after which the worker no
    /// longer carries out the order.
    pub fn handle_start(
        &mut self,
        worker: usize,
        attempt: Attempt,
        outcome: StartOutcome,
        expires_ms: u64,
    ) {
        let id = attempt.task.step;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let job_ended = job.state.is_final();
        let Some(task) = job.task_mut(attempt.task) else {
            return;
        };
        let checkpoint = task.checkpoint.clone();
        let Place::On {
            worker: on,
            run,
            phase,
            ..
        } = &mut task.place
        else {
            return;
        };
        let Phase::Ordered {
            sent,
            expires_ms: earlier_ms,
        } = *phase
        else {
            return;
        };
        if *on != worker || *run != attempt.run {
            return;
        }
        match outcome {
            StartOutcome::Running => {
                *phase = Phase::Answered;
                self.note_begun(id.job);
                self.note_gang_start(id);
            }
            StartOutcome::Lost
                // An order that is repeated now would outlast the confirmation of the worker's expiry.
                if sent < MAX_START_ORDERS
                    && !job_ended
                    && !self.unsettled.contains_key(&attempt)
                    && !self.expired.contains_key(&worker)
                    && !self.stopping.contains_key(&attempt)
                    && !self.workers[worker].evacuated =>
            {
                *phase = Phase::Ordered {
                    sent: sent + 1,
                    expires_ms: earlier_ms.max(expires_ms),
                };
                self.resend_order(worker, attempt, checkpoint);
            }
            StartOutcome::Lost => *phase = Phase::Unconfirmed(earlier_ms.max(expires_ms)),
            // The last order never starts the task, but an earlier one that stayed unanswered may.
            StartOutcome::Refused(refusal) if sent > 1 => {
                *phase = Phase::Unconfirmed(earlier_ms);
                if refusal.proves_absence() {
                    self.stop_gang(id);
                }
            }
            StartOutcome::Refused(refusal) => self.handle_refusal(worker, attempt, refusal),
        }
    }

    /// Notes that a task of a job has started. An order alone may be refused.
    pub(super) fn note_begun(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id)
            && job.state == State::Queued
        {
            job.state = State::Running;
        }
    }

    fn resend_order(&mut self, worker: usize, attempt: Attempt, checkpoint: Option<Name>) {
        let id = attempt.task.step;
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let Some(spec) = &job.spec else {
            return;
        };
        let step = &job.steps[usize::from(id.step)];
        let gang = job.is_gang(usize::from(id.step));
        let ticket = step.advice.tickets.get(&worker);
        self.actions.push(Action::Start {
            worker,
            attempt,
            payload: spec.payload.clone(),
            checkpoint: if gang {
                step.shared_checkpoint()
            } else {
                checkpoint
            },
            ticket: ticket.map(|ticket| ticket.text.clone()),
            repeated: true,
        });
    }

    fn handle_refusal(&mut self, worker: usize, attempt: Attempt, refusal: Refusal) {
        let id = attempt.task.step;
        self.mark_lost(worker, attempt, Evidence::OrderRefused);
        match refusal {
            Refusal::Superseded => self.actions.push(Action::Resign),
            Refusal::Ticket => {
                if let Some(job) = self.jobs.get_mut(&id.job) {
                    let advice = &mut job.steps[usize::from(id.step)].advice;
                    if let Some(ticket) = advice.tickets.get_mut(&worker) {
                        ticket.until = self.now;
                    }
                }
            }
            Refusal::Unhealthy => {
                self.workers[worker].quarantined_until = Some(self.now.after(UNHEALTHY_BACKOFF));
            }
            Refusal::Unreachable => {
                if self.workers[worker].contact == Contact::Claimed {
                    self.workers[worker].contact = Contact::Silent;
                }
            }
            Refusal::Replaced => self.remove_worker(worker),
            Refusal::OldRun | Refusal::Late | Refusal::NoRoom | Refusal::Invalid => {}
        }
        self.stop_gang(id);
    }
}
