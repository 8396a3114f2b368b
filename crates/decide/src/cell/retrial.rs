//! Requests are tried again, or are over.

use std::time::Duration;

use crate::attempt::{Attempt, Outcome};
use crate::class::Class;
use crate::health::Blame;
use crate::name::Name;
use crate::queue::Avoid;
use crate::request;
use crate::retry;
use crate::room::Worker;
use crate::verdict::{Reason, Verdict};
use crate::worker::Interrupt;

use super::Cell;
use super::job::{Booking, Cause, Phase, State};
use super::timer::Timer;

/// How often one request is tried again after failures.
pub(super) const MAX_RETRIES: u32 = 8;

/// How long a request avoids the worker that it failed on.
const AVOIDANCE: Duration = Duration::from_secs(2);

impl Cell {
    /// Takes back an attempt that surely did not begin.
    pub(super) fn never_began(&mut self, attempt: Attempt) {
        let Some(booking) = self.unbook(attempt) else {
            return;
        };
        let id = attempt.request;
        let Some(job) = self.placed(attempt) else {
            return;
        };
        let (caller, cancelled) = (job.caller, job.cancelled);
        let gang = booking.gang.filter(|gang| self.gangs.contains_key(gang));
        if !caller {
            self.drop_job(id);
        } else if let Some(gang) = gang {
            self.undo_gang(gang, id);
        } else if cancelled {
            self.deny(id, Reason::Cancelled);
        } else if !self.may_retry(id) {
            self.deny(id, Reason::Refused);
        } else {
            self.back_off(id, Some(booking.worker));
        }
    }

    /// Takes a retry from the budget of a request's team, if the request may be tried again.
    fn may_retry(&mut self, id: request::Id) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        job.retries < MAX_RETRIES && self.budget.spend(self.now, &job.request.team)
    }

    /// Lets a request wait a little before its next attempt, on another worker if there is one.
    pub(super) fn back_off(&mut self, id: request::Id, avoid: Option<usize>) {
        if self.ledger.owned().next().is_none() {
            return self.deny(id, Reason::Leaving);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = Phase::Backoff;
        job.retries += 1;
        if let Some(worker) = avoid {
            job.avoid.add(worker);
        }
        let other = |worker: &Worker| worker.is_open() && !job.avoid.contains(worker.index);
        if !self.room.iter().any(|(_, worker)| other(worker)) {
            job.avoid = Avoid::default();
        }
        let avoids = !job.avoid.is_empty();
        let pause = retry::backoff(&mut self.rng, job.retries);
        self.at(self.now.after(pause), Timer::Retry(id));
        if avoids {
            self.at(self.now.after(AVOIDANCE), Timer::Calm(id));
        }
    }

    pub(super) fn retry(&mut self, id: request::Id) {
        let job = self.jobs.get(&id);
        if job.is_some_and(|job| job.phase == Phase::Backoff) {
            self.enqueue(id);
        }
    }

    /// Lets a waiting request start on the worker that it has failed on.
    pub(super) fn calm(&mut self, id: request::Id) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let avoided = !std::mem::take(&mut job.avoid).is_empty();
        if avoided && self.queue.remove(id).is_some() {
            self.enqueue(id);
        }
    }

    /// Takes what the end of an attempt shows.
    pub(super) fn learn(&mut self, booking: &Booking, outcome: Outcome) {
        match outcome {
            Outcome::Done => {
                let span = self.now.since(booking.since);
                self.learner.record_run_time(&booking.kind, span);
                self.judge(&booking.kind, booking.worker, true);
            }
            Outcome::Failed => self.judge(&booking.kind, booking.worker, false),
            Outcome::Stopped | Outcome::Checkpointed => {}
        }
    }

    /// Answers a request whose attempt has ended, or tries it again.
    pub(super) fn finish(
        &mut self,
        attempt: Attempt,
        worker: &Name,
        outcome: Outcome,
        booking: Option<&Booking>,
    ) {
        let id = attempt.request;
        let verdict = Verdict::Ran {
            attempt,
            worker: worker.clone(),
            outcome,
        };
        let waits = self
            .placed(attempt)
            .map(|job| job.caller && !job.cancelled && job.request.gang.is_none());
        if let Some(job) = self.jobs.get_mut(&id).filter(|_| waits.is_some()) {
            job.past = Some(verdict);
        }
        let again = booking.filter(|_| waits == Some(true));
        match again.map(|booking| self.next_trial(id, booking, outcome)) {
            Some(Trial::Now) => self.enqueue(id),
            Some(Trial::Later(avoid)) => self.back_off(id, Some(avoid)),
            Some(Trial::None) | None => {
                self.memory.ended(attempt, worker.clone(), self.now);
                if waits.is_some() {
                    self.deny(id, Reason::Refused);
                }
            }
        }
    }

    fn next_trial(&mut self, id: request::Id, booking: &Booking, outcome: Outcome) -> Trial {
        let sent_away = booking
            .interrupt
            .is_some_and(|told| told.cause.runs_again());
        match outcome {
            Outcome::Done => Trial::None,
            Outcome::Stopped | Outcome::Checkpointed if sent_away && booking.idempotent => {
                Trial::Now
            }
            Outcome::Stopped | Outcome::Checkpointed => Trial::None,
            Outcome::Failed => {
                let kind_fails = self.health.blame(&booking.kind, booking.worker) == Blame::Kind;
                if booking.idempotent && !kind_fails && self.may_retry(id) {
                    Trial::Later(booking.worker)
                } else {
                    Trial::None
                }
            }
        }
    }

    /// Lets long-running tasks save their state and leave a worker that is leaving.
    pub(super) fn drain(&mut self, worker: usize) {
        for attempt in self.room.get(worker).attempts.clone() {
            let booking = &self.bookings[&attempt];
            let moves = booking.class == Class::Service && booking.idempotent;
            if moves && booking.state != State::Held {
                self.interrupt(attempt, Interrupt::Checkpoint, Cause::Draining);
            }
        }
    }

    /// Tells a caller that its request did not run, and forgets the request.
    pub(super) fn deny(&mut self, id: request::Id, reason: Reason) {
        self.deny_until(id, reason, None);
    }

    /// Does as [`Cell::deny`], and says when another try may be worth it.
    pub(super) fn deny_until(
        &mut self,
        id: request::Id,
        reason: Reason,
        retry_after: Option<Duration>,
    ) {
        self.queue.remove(id);
        self.sought.remove(&id);
        self.unpress(id);
        let past = self.jobs.get(&id).and_then(|job| job.past.clone());
        let verdict = past.unwrap_or(Verdict::NotRun {
            reason,
            retry_after,
        });
        self.answer(id, verdict);
        self.drop_job(id);
    }

    /// Forgets a request.
    pub(super) fn drop_job(&mut self, id: request::Id) {
        self.unpress(id);
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        if let Some(gang) = job.hold.or(job.request.gang) {
            self.leave_gang(gang, id);
        }
    }
}

/// Whether a request is tried again.
enum Trial {
    /// At once.
    Now,
    /// After a pause, not on this worker.
    Later(usize),
    /// Not at all.
    None,
}
