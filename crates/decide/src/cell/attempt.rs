//! State changes of attempts and the answers to callers.

use std::time::Duration;

use crate::action::Action;
use crate::attempt::{Attempt, Outcome, Refusal};
use crate::name::Name;
use crate::request;
use crate::verdict::{Reason, Verdict};
use crate::worker::{Interrupt, Inventory};
use crate::workers::Claim;

use super::Cell;
use super::job::{Booking, Cause, Interruption, Phase, State};
use super::retry::MAX_RETRIES;
use super::timer::Timer;

/// Pause before the start of an unconfirmed attempt is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(500);

/// Pause before a leaving worker is asked again about an unconfirmed attempt.
const LEAVING_PAUSE: Duration = Duration::from_secs(2);

/// Longest time after which a start that was sent may still arrive at a worker.
const MAX_START_DELAY: Duration = Duration::from_secs(30);

impl Cell {
    pub(super) fn started(&mut self, attempt: Attempt, worker: &Name) {
        if let Some(worker) = self.booked_on(attempt, worker) {
            self.confirm_running(attempt, worker);
        }
    }

    /// Records that an attempt runs, or has ended on a worker that keeps its answer.
    pub(super) fn confirm_running(&mut self, attempt: Attempt, worker: usize) {
        let Some(booking) = self.bookings.get_mut(&attempt) else {
            return;
        };
        if booking.worker != worker {
            return;
        }
        let previous = std::mem::replace(&mut booking.state, State::Running);
        let sent = booking.interrupt;
        if previous == State::Running {
            return;
        }
        if previous == State::Unconfirmed {
            self.attach(attempt);
        }
        if let Some(sent) = sent {
            // The worker may have received the interrupt before the start.
            self.send_interrupt(attempt, sent.how);
        }
    }

    pub(super) fn refused(&mut self, attempt: Attempt, worker: &Name, refusal: Refusal) {
        let Some(worker) = self.booked_on(attempt, worker) else {
            return;
        };
        let booking = &self.bookings[&attempt];
        let (sends, epoch, kind) = (booking.sends, booking.epoch, booking.kind.clone());
        if matches!(booking.state, State::Running | State::Held) {
            return;
        }
        match refusal {
            Refusal::Duplicate => return self.mark_unconfirmed(attempt),
            Refusal::NoRoom => self.claim(worker),
            Refusal::Leaving => self.leave(&self.workers.get(worker).spec.name.clone()),
            Refusal::StaleEpoch => self.fenced(worker, epoch),
            Refusal::Broken => self.record_outcome(&kind, worker, false),
            Refusal::Unreachable => self.unreachable(&self.workers.get(worker).spec.name.clone()),
        }
        let conclusive = matches!(refusal, Refusal::Leaving | Refusal::StaleEpoch);
        if sends > 1 && !conclusive {
            return self.mark_unconfirmed(attempt);
        }
        self.never_began(attempt);
    }

    /// Gives up a rack if one of its workers has been claimed by a later owner.
    fn fenced(&mut self, worker: usize, epoch: u64) {
        let rack = self.ledger.rack(self.workers.get(worker).rack);
        if rack.epoch == epoch {
            self.lose(&rack.name.clone());
        }
    }

    pub(super) fn ended(&mut self, attempt: Attempt, worker: &Name, outcome: Outcome) {
        if self.booked_on(attempt, worker).is_none() {
            self.ended_attached(attempt, worker, outcome);
            return;
        }
        let Some(booking) = self.unbook(attempt) else {
            return;
        };
        self.learn_from(&booking, outcome);
        self.finish(attempt, worker, outcome, Some(&booking));
    }

    /// Handles the answer of an attempt that had ended before this server attached to it.
    fn ended_attached(&mut self, attempt: Attempt, worker: &Name, outcome: Outcome) {
        let known = self.workers.find(worker).is_some();
        if known && !self.bookings.contains_key(&attempt) && self.current_job(attempt).is_some() {
            self.finish(attempt, worker, outcome, None);
        }
    }

    pub(super) fn lost(&mut self, attempt: Attempt, worker: &Name) {
        if self.booked_on(attempt, worker).is_some() {
            self.mark_unconfirmed(attempt);
        } else if !self.bookings.contains_key(&attempt) && self.current_job(attempt).is_some() {
            self.answer_unknown(attempt.request, attempt);
            self.drop_job(attempt.request);
        }
    }

    /// Marks an attempt as unconfirmed: it stays booked, and its worker is asked what runs there.
    fn mark_unconfirmed(&mut self, attempt: Attempt) {
        let Some(booking) = self.bookings.get_mut(&attempt) else {
            return;
        };
        if booking.state != State::Unconfirmed {
            booking.state = State::Unconfirmed;
            booking.unconfirmed_since = self.now;
        }
        let worker = booking.worker;
        let rack = self.workers.get(worker).rack;
        if self.ledger.rack(rack).owned {
            self.claim(worker);
        } else {
            self.answer_unknown(attempt.request, attempt);
        }
    }

    /// Answers the callers of unconfirmed attempts on a lost rack that the result is unknown.
    pub(super) fn answer_unconfirmed(&mut self, rack: usize) {
        for worker in self.workers.rack(rack).to_vec() {
            for attempt in self.workers.get(worker).attempts.clone() {
                if self.bookings[&attempt].state == State::Unconfirmed {
                    self.answer_unknown(attempt.request, attempt);
                }
            }
        }
    }

    /// Handles a booked attempt that is missing from its worker's inventory.
    pub(super) fn settle_missing(&mut self, attempt: Attempt, inventory: &Inventory) {
        let Some(booking) = self.bookings.get(&attempt) else {
            return;
        };
        let worker = booking.worker;
        match booking.state {
            // The start or the end may have been in transit when the worker wrote the inventory.
            State::Held | State::Sent => {}
            State::Running => self.settle_missing_running(attempt),
            State::Unconfirmed => self.settle_missing_unconfirmed(attempt, worker, inventory),
        }
    }

    /// Releases a missing attempt without a caller; with a caller, its end is still awaited.
    fn settle_missing_running(&mut self, attempt: Attempt) {
        let waits = self.current_job(attempt).is_some_and(|job| job.has_caller);
        if !waits {
            self.unbook(attempt);
            self.forget(attempt);
        }
    }

    /// Handles an unconfirmed attempt that is missing from its worker's inventory.
    ///
    /// That it is missing does not prove that it never began: the start may still arrive, and a
    /// restarted worker has lost its records. An idempotent start is sent again to the same
    /// worker, which runs no request twice at the same time. Otherwise the caller is told that the
    /// result is unknown, and the booking is released once the start can't arrive any more.
    fn settle_missing_unconfirmed(
        &mut self,
        attempt: Attempt,
        worker: usize,
        inventory: &Inventory,
    ) {
        if self.bookings[&attempt].epoch < inventory.epoch {
            // The worker refuses starts under the lower epoch from now on and keeps a record of
            // what ran.
            return self.never_began(attempt);
        }
        let other = |found: &Attempt| found.request == attempt.request && *found != attempt;
        let elsewhere = inventory.running.iter().map(|run| run.attempt).find(other);
        let elsewhere = elsewhere.or_else(|| inventory.ended.iter().copied().find(other));
        if let Some(found) = elsewhere {
            return self.yield_to(attempt, found, worker);
        }
        let wanted = self
            .current_job(attempt)
            .is_some_and(|job| job.has_caller && !job.cancelled);
        let booking = &self.bookings[&attempt];
        if wanted && booking.idempotent {
            let leaving = self.workers.get(worker).leaving;
            let (pause, timer) = if leaving {
                (LEAVING_PAUSE, Timer::Settle(attempt))
            } else {
                (RESEND_PAUSE, Timer::Resend(attempt))
            };
            self.set_timer(self.now.after(pause), timer);
            return;
        }
        self.answer_unknown(attempt.request, attempt);
        if self.now.since(self.bookings[&attempt].unconfirmed_since) < MAX_START_DELAY {
            self.set_timer(self.now.after(MAX_START_DELAY), Timer::Settle(attempt));
        } else {
            self.unbook(attempt);
            self.forget(attempt);
        }
    }

    /// Replaces an attempt that the worker refused as a duplicate by the one that it knows.
    fn yield_to(&mut self, attempt: Attempt, found: Attempt, worker: usize) {
        self.unbook(attempt);
        if self.current_job(attempt).is_none() {
            return;
        }
        if self.bookings.contains_key(&found) {
            if let Some(job) = self.jobs.get_mut(&found.request) {
                job.phase = Phase::Placed(found);
            }
            self.attach(found);
        } else {
            self.attach_ended(found.request, found, worker);
        }
    }

    /// Sends the start of an unconfirmed attempt again if its caller still waits.
    pub(super) fn resend(&mut self, attempt: Attempt) {
        let Some(booking) = self.bookings.get(&attempt) else {
            return;
        };
        let unconfirmed = booking.state == State::Unconfirmed;
        let known = self.workers.get(booking.worker);
        let claimed = known.claim == Claim::Claimed && !known.leaving;
        let waits = self.current_job(attempt).is_some_and(|job| job.has_caller);
        if unconfirmed && self.is_catching_up() {
            self.set_timer(self.now.after(RESEND_PAUSE), Timer::Resend(attempt));
        } else if unconfirmed && claimed && waits {
            self.send(attempt);
        }
    }

    /// Asks the worker again about an attempt that is still unconfirmed.
    pub(super) fn settle(&mut self, attempt: Attempt) {
        let booking = self.bookings.get(&attempt);
        if let Some(booking) = booking.filter(|booking| booking.state == State::Unconfirmed) {
            self.claim(booking.worker);
        }
    }

    /// Handles an attempt whose worker is confirmed to be gone.
    pub(super) fn settle_gone(&mut self, attempt: Attempt) {
        let Some(booking) = self.unbook(attempt) else {
            return;
        };
        let id = attempt.request;
        let Some(job) = self.current_job(attempt) else {
            return;
        };
        let retry = booking.idempotent && booking.gang.is_none();
        let retry = retry && job.has_caller && !job.cancelled && job.retries < MAX_RETRIES;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.earlier_verdict = Some(Verdict::Unknown { attempt });
        }
        if retry {
            self.back_off(id, None);
        } else {
            self.deny(id, Reason::Refused);
        }
    }

    /// Attaches to a booked attempt to receive its answer.
    pub(super) fn attach(&mut self, attempt: Attempt) {
        let Some(booking) = self.bookings.get(&attempt) else {
            return;
        };
        let worker = self.workers.get(booking.worker).spec.name.clone();
        self.actions.push(Action::Attach { attempt, worker });
    }

    /// Attaches to an ended attempt whose answer its worker keeps.
    pub(super) fn attach_ended(&mut self, id: request::Id, attempt: Attempt, worker: usize) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.phase = Phase::Placed(attempt);
            job.last_number = job.last_number.max(attempt.number);
        }
        let worker = self.workers.get(worker).spec.name.clone();
        self.actions.push(Action::Attach { attempt, worker });
    }

    /// Interrupts a booked attempt, unless the last interrupt was the same.
    pub(super) fn interrupt(&mut self, attempt: Attempt, how: Interrupt, cause: Cause) {
        let Some(booking) = self.bookings.get(&attempt) else {
            return;
        };
        if booking.interrupt.is_some_and(|sent| sent.how == how) {
            return;
        }
        let at = self.now;
        self.set_interrupt(attempt, Some(Interruption { how, cause, at }));
        self.send_interrupt(attempt, how);
    }

    fn send_interrupt(&mut self, attempt: Attempt, how: Interrupt) {
        let Some(booking) = self.bookings.get(&attempt) else {
            return;
        };
        self.actions.push(Action::Interrupt {
            attempt,
            worker: self.workers.get(booking.worker).spec.name.clone(),
            how,
        });
    }

    /// Answers the caller of a request, at most once.
    pub(super) fn answer(&mut self, request: request::Id, verdict: Verdict) {
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        if !std::mem::take(&mut job.has_caller) {
            return;
        }
        self.history.answered(request, &verdict, self.now);
        self.actions.push(Action::Answer { request, verdict });
    }

    pub(super) fn answer_unknown(&mut self, id: request::Id, attempt: Attempt) {
        self.answer(id, Verdict::Unknown { attempt });
    }

    /// Returns the job of an attempt if this is its current attempt.
    pub(super) fn current_job(&self, attempt: Attempt) -> Option<&super::Job> {
        let job = self.jobs.get(&attempt.request)?;
        (job.phase == Phase::Placed(attempt)).then_some(job)
    }

    fn forget(&mut self, attempt: Attempt) {
        if self.current_job(attempt).is_some() {
            self.drop_job(attempt.request);
        }
    }

    fn booked_on(&self, attempt: Attempt, worker: &Name) -> Option<usize> {
        let worker = self.workers.find(worker)?;
        let booking: &Booking = self.bookings.get(&attempt)?;
        (booking.worker == worker).then_some(worker)
    }
}
