//! What becomes of attempts, and what callers are told.

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

/// How long an attempt in doubt waits before it is looked for again.
const IN_DOUBT_PAUSE: Duration = Duration::from_millis(500);

/// How long an attempt in doubt on a leaving worker waits before it is looked for again.
const LEAVING_PAUSE: Duration = Duration::from_secs(2);

/// How long after it was sent a start may still arrive at a worker.
const MAX_START_DELAY: Duration = Duration::from_secs(30);

impl Cell {
    pub(super) fn started(&mut self, attempt: Attempt, worker: &Name) {
        if let Some(worker) = self.booked_on(attempt, worker) {
            self.confirm_running(attempt, worker);
        }
    }

    /// Notes that an attempt runs, or has ended on a worker that holds its answer.
    pub(super) fn confirm_running(&mut self, attempt: Attempt, worker: usize) {
        let Some(booking) = self.bookings.get_mut(&attempt) else {
            return;
        };
        if booking.worker != worker {
            return;
        }
        let was = std::mem::replace(&mut booking.state, State::Running);
        let sent = booking.interrupt;
        if was == State::Running {
            return;
        }
        if was == State::InDoubt {
            self.attach(attempt);
        }
        if let Some(sent) = sent {
            // The interrupt may have come before the start.
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
            Refusal::Duplicate => return self.mark_in_doubt(attempt),
            Refusal::NoRoom => self.claim(worker),
            Refusal::Leaving => self.leave(&self.workers.get(worker).spec.name.clone()),
            Refusal::StaleEpoch => self.fenced(worker, epoch),
            Refusal::Broken => self.record_outcome(&kind, worker, false),
            Refusal::Unreachable => self.unreachable(&self.workers.get(worker).spec.name.clone()),
        }
        let conclusive = matches!(refusal, Refusal::Leaving | Refusal::StaleEpoch);
        if sends > 1 && !conclusive {
            return self.mark_in_doubt(attempt);
        }
        self.never_began(attempt);
    }

    /// Stops placing on a rack whose worker has seen a later owner.
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

    /// Takes the answer of an attempt that had ended before it was attached to.
    fn ended_attached(&mut self, attempt: Attempt, worker: &Name, outcome: Outcome) {
        let known = self.workers.find(worker).is_some();
        if known && !self.bookings.contains_key(&attempt) && self.current_job(attempt).is_some() {
            self.finish(attempt, worker, outcome, None);
        }
    }

    pub(super) fn lost(&mut self, attempt: Attempt, worker: &Name) {
        if self.booked_on(attempt, worker).is_some() {
            self.mark_in_doubt(attempt);
        } else if !self.bookings.contains_key(&attempt) && self.current_job(attempt).is_some() {
            self.answer_unknown(attempt.request, attempt);
            self.drop_job(attempt.request);
        }
    }

    /// Keeps the room of an attempt booked and asks its worker what runs there.
    fn mark_in_doubt(&mut self, attempt: Attempt) {
        let Some(booking) = self.bookings.get_mut(&attempt) else {
            return;
        };
        if booking.state != State::InDoubt {
            booking.state = State::InDoubt;
            booking.in_doubt_since = self.now;
        }
        let worker = booking.worker;
        let rack = self.workers.get(worker).rack;
        if self.ledger.rack(rack).owned {
            self.claim(worker);
        } else {
            self.answer_unknown(attempt.request, attempt);
        }
    }

    /// Tells the callers of attempts in doubt on a lost rack that their fate is unknown.
    pub(super) fn answer_in_doubt(&mut self, rack: usize) {
        for worker in self.workers.rack(rack).to_vec() {
            for attempt in self.workers.get(worker).attempts.clone() {
                if self.bookings[&attempt].state == State::InDoubt {
                    self.answer_unknown(attempt.request, attempt);
                }
            }
        }
    }

    /// Settles an attempt that its worker's inventory does not show.
    pub(super) fn settle_missing(&mut self, attempt: Attempt, inventory: &Inventory) {
        let Some(booking) = self.bookings.get(&attempt) else {
            return;
        };
        let worker = booking.worker;
        match booking.state {
            // The start, or the end, may have crossed the inventory.
            State::Held | State::Sent => {}
            State::Running => self.settle_missing_running(attempt),
            State::InDoubt => self.settle_missing_in_doubt(attempt, worker, inventory),
        }
    }

    /// Gives back what no caller waits for; else the attempt's own end is awaited.
    fn settle_missing_running(&mut self, attempt: Attempt) {
        let waits = self.current_job(attempt).is_some_and(|job| job.has_caller);
        if !waits {
            self.unbook(attempt);
            self.forget(attempt);
        }
    }

    /// Sends an idempotent start to the same worker again, which runs a request once at a time.
    ///
    /// The absence proves nothing by itself: a start that was sent may still arrive, and a worker
    /// that has been restarted remembers nothing.
    fn settle_missing_in_doubt(&mut self, attempt: Attempt, worker: usize, inventory: &Inventory) {
        if self.bookings[&attempt].epoch < inventory.epoch {
            // A start under the lower epoch is refused from now on, and what ran is remembered.
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
                (IN_DOUBT_PAUSE, Timer::Resend(attempt))
            };
            self.set_timer(self.now.after(pause), timer);
            return;
        }
        self.answer_unknown(attempt.request, attempt);
        if self.now.since(self.bookings[&attempt].in_doubt_since) < MAX_START_DELAY {
            self.set_timer(self.now.after(MAX_START_DELAY), Timer::Settle(attempt));
        } else {
            self.unbook(attempt);
            self.forget(attempt);
        }
    }

    /// Lets an attempt that the worker refused as a duplicate give way to the one that it knows.
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

    /// Sends the start of an attempt in doubt again.
    pub(super) fn resend(&mut self, attempt: Attempt) {
        let Some(booking) = self.bookings.get(&attempt) else {
            return;
        };
        let in_doubt = booking.state == State::InDoubt;
        let known = self.workers.get(booking.worker);
        let claimed = known.claim == Claim::Claimed && !known.leaving;
        let waits = self.current_job(attempt).is_some_and(|job| job.has_caller);
        if in_doubt && self.is_catching_up() {
            self.set_timer(self.now.after(IN_DOUBT_PAUSE), Timer::Resend(attempt));
        } else if in_doubt && claimed && waits {
            self.send(attempt);
        }
    }

    /// Looks again for an attempt that nobody waits for.
    pub(super) fn settle(&mut self, attempt: Attempt) {
        let booking = self.bookings.get(&attempt);
        if let Some(booking) = booking.filter(|booking| booking.state == State::InDoubt) {
            self.claim(booking.worker);
        }
    }

    /// Settles an attempt on a worker that is surely gone.
    pub(super) fn settle_gone(&mut self, attempt: Attempt) {
        let Some(booking) = self.unbook(attempt) else {
            return;
        };
        let id = attempt.request;
        let Some(job) = self.current_job(attempt) else {
            return;
        };
        let again = booking.idempotent && booking.gang.is_none();
        let again = again && job.has_caller && !job.cancelled && job.retries < MAX_RETRIES;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.earlier_verdict = Some(Verdict::Unknown { attempt });
        }
        if again {
            self.back_off(id, None);
        } else {
            self.deny(id, Reason::Refused);
        }
    }

    /// Waits for the answer of an attempt.
    pub(super) fn attach(&mut self, attempt: Attempt) {
        let Some(booking) = self.bookings.get(&attempt) else {
            return;
        };
        let worker = self.workers.get(booking.worker).spec.name.clone();
        self.actions.push(Action::Attach { attempt, worker });
    }

    /// Waits for the held answer of an attempt that has ended.
    pub(super) fn attach_ended(&mut self, id: request::Id, attempt: Attempt, worker: usize) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.phase = Phase::Placed(attempt);
            job.last_number = job.last_number.max(attempt.number);
        }
        let worker = self.workers.get(worker).spec.name.clone();
        self.actions.push(Action::Attach { attempt, worker });
    }

    /// Interrupts a booked attempt, unless it was told the same before.
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

    /// Tells a request's caller what became of it, once.
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

    /// Returns the request of which an attempt is the one in hand.
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
