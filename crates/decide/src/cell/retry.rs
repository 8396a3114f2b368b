//! Retries of requests, and their final answers.

use std::time::Duration;

use crate::attempt::{Attempt, Outcome};
use crate::class::Class;
use crate::health::Blame;
use crate::name::Name;
use crate::queue::Excluded;
use crate::request;
use crate::retry;
use crate::verdict::{Reason, Verdict};
use crate::worker::Interrupt;
use crate::workers::Worker;

use super::Cell;
use super::job::{Booking, Cause, Phase, State};
use super::timer::Timer;

/// The maximum number of retries of one request after failures.
pub(super) const MAX_RETRIES: u32 = 8;

/// Time in which a request is not started on the workers that it failed on.
const EXCLUSION_TIME: Duration = Duration::from_secs(2);

impl Cell {
    /// Releases an attempt that certainly did not begin, and retries its request if allowed.
    pub(super) fn never_began(&mut self, attempt: Attempt) {
        let Some(booking) = self.unbook(attempt) else {
            return;
        };
        let id = attempt.request;
        let Some(job) = self.current_job(attempt) else {
            return;
        };
        let (caller, cancelled) = (job.has_caller, job.cancelled);
        let gang = booking.gang.filter(|gang| self.gangs.contains_key(gang));
        if !caller {
            self.drop_job(id);
        } else if let Some(gang) = gang {
            self.stop_gang(gang, id);
        } else if cancelled {
            self.deny(id, Reason::Cancelled);
        } else if !self.may_retry(id) {
            self.deny(id, Reason::Refused);
        } else {
            self.back_off(id, Some(booking.worker));
        }
    }

    /// Takes a retry from the budget of the request's team and tells whether it may be tried again.
    fn may_retry(&mut self, id: request::Id) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        job.retries < MAX_RETRIES && self.budget.spend(self.now, &job.request.team)
    }

    /// Delays the next attempt of a request, which runs on another worker if one is open.
    pub(super) fn back_off(&mut self, id: request::Id, exclude: Option<usize>) {
        if self.ledger.owned().next().is_none() {
            return self.deny(id, Reason::Leaving);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = Phase::Backoff;
        job.retries += 1;
        if let Some(worker) = exclude {
            job.excluded.add(worker);
        }
        let other = |worker: &Worker| worker.is_open() && !job.excluded.contains(worker.index);
        if !self.workers.iter().any(|(_, worker)| other(worker)) {
            job.excluded = Excluded::default();
        }
        let excludes = !job.excluded.is_empty();
        let pause = retry::backoff(&mut self.rng, job.retries);
        self.set_timer(self.now.after(pause), Timer::Retry(id));
        if excludes {
            self.set_timer(self.now.after(EXCLUSION_TIME), Timer::ClearExcluded(id));
        }
    }

    pub(super) fn retry(&mut self, id: request::Id) {
        let job = self.jobs.get(&id);
        if job.is_some_and(|job| job.phase == Phase::Backoff) {
            self.enqueue(id);
        }
    }

    /// Lets a request start again on the workers that it has failed on.
    pub(super) fn clear_excluded(&mut self, id: request::Id) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let excluded = !std::mem::take(&mut job.excluded).is_empty();
        if excluded && self.queue.remove(id).is_some() {
            self.enqueue(id);
        }
    }

    /// Updates run times and worker health from the end of an attempt.
    pub(super) fn learn_from(&mut self, booking: &Booking, outcome: Outcome) {
        match outcome {
            Outcome::Done => {
                let run_time = self.now.since(booking.since);
                self.learner.record_run_time(&booking.kind, run_time);
                self.record_outcome(&booking.kind, booking.worker, true);
            }
            Outcome::Failed => self.record_outcome(&booking.kind, booking.worker, false),
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
            .current_job(attempt)
            .map(|job| job.has_caller && !job.cancelled && job.request.gang.is_none());
        if let Some(job) = self.jobs.get_mut(&id).filter(|_| waits.is_some()) {
            job.earlier_verdict = Some(verdict);
        }
        let retriable = booking.filter(|_| waits == Some(true));
        match retriable.map(|booking| self.next_retry(id, booking, outcome)) {
            Some(Retry::Now) => self.enqueue(id),
            Some(Retry::Later(exclude)) => self.back_off(id, Some(exclude)),
            Some(Retry::None) | None => {
                self.history.ended(attempt, worker.clone(), self.now);
                if waits.is_some() {
                    self.deny(id, Reason::Refused);
                }
            }
        }
    }

    fn next_retry(&mut self, id: request::Id, booking: &Booking, outcome: Outcome) -> Retry {
        let was_evicted = booking
            .interrupt
            .is_some_and(|sent| sent.cause.runs_again());
        match outcome {
            Outcome::Done => Retry::None,
            Outcome::Stopped | Outcome::Checkpointed if was_evicted && booking.idempotent => {
                Retry::Now
            }
            Outcome::Stopped | Outcome::Checkpointed => Retry::None,
            Outcome::Failed => {
                let kind_fails = self.health.blame(&booking.kind, booking.worker) == Blame::Kind;
                if booking.idempotent && !kind_fails && self.may_retry(id) {
                    Retry::Later(booking.worker)
                } else {
                    Retry::None
                }
            }
        }
    }

    /// Checkpoints the idempotent service tasks of a leaving worker, so that they move elsewhere.
    pub(super) fn drain(&mut self, worker: usize) {
        for attempt in self.workers.get(worker).attempts.clone() {
            let booking = &self.bookings[&attempt];
            let moves = booking.class == Class::Service && booking.idempotent;
            if moves && booking.state != State::Held {
                self.interrupt(attempt, Interrupt::Checkpoint, Cause::Draining);
            }
        }
    }

    /// Answers that a request did not run, or with the verdict on its earlier attempt, and removes
    /// it.
    pub(super) fn deny(&mut self, id: request::Id, reason: Reason) {
        self.deny_with_retry_after(id, reason, None);
    }

    /// Does the same as [`Cell::deny`] and also tells the caller when to try again.
    pub(super) fn deny_with_retry_after(
        &mut self,
        id: request::Id,
        reason: Reason,
        retry_after: Option<Duration>,
    ) {
        self.queue.remove(id);
        self.resuming.remove(&id);
        self.release_reservation(id);
        let earlier = self
            .jobs
            .get(&id)
            .and_then(|job| job.earlier_verdict.clone());
        let verdict = earlier.unwrap_or(Verdict::NotRun {
            reason,
            retry_after,
        });
        self.answer(id, verdict);
        self.drop_job(id);
    }

    /// Removes a request.
    pub(super) fn drop_job(&mut self, id: request::Id) {
        self.release_reservation(id);
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        if let Some(gang) = job.held_for.or(job.request.gang) {
            self.leave_gang(gang, id);
        }
    }
}

/// When a request is tried again.
enum Retry {
    /// Immediately.
    Now,
    /// After a pause, on a worker other than this one.
    Later(usize),
    /// Never.
    None,
}
