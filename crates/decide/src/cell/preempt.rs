//! Batch work makes room for urgent requests.

use std::time::Duration;

use crate::attempt::Attempt;
use crate::class::Class;
use crate::policy::Policy;
use crate::queue::Item;
use crate::request;
use crate::size::Size;
use crate::work::Work;
use crate::worker::Interrupt;

use super::Cell;
use super::job::{Booking, Cause, State};
use super::timer::Timer;

/// How long a preempted attempt may take to save its state before it is stopped.
const CHECKPOINT: Duration = Duration::from_secs(2);

/// How long an urgent request that nothing can make room for waits before it looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(500);

/// How many workers are compared.
const COMPARED: usize = 32;

/// Attempts that would make room on a worker.
struct Victims {
    cost: Duration,
    worker: usize,
    attempts: Vec<Attempt>,
}

impl Cell {
    /// Makes room for a waiting urgent request.
    pub(super) fn press(&mut self, id: request::Id) {
        let Some(item) = self.queue.get(id).copied() else {
            return;
        };
        if self.is_stale() {
            self.at(self.now.after(CHECKPOINT), Timer::Press(id));
            return;
        }
        let joins_gang = self.jobs[&id].hold.is_some();
        if item.class != Class::Urgent || self.setup.policy != Policy::Fair || joins_gang {
            return;
        }
        self.unpress(id);
        let Some(victims) = self.cheapest(&item) else {
            self.at(self.now.after(LOOK_AGAIN), Timer::Press(id));
            return;
        };
        self.at(self.now.after(CHECKPOINT), Timer::Press(id));
        self.room.get_mut(victims.worker).promised =
            self.room.get(victims.worker).promised.plus(&item.size);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.pressed = Some((victims.worker, item.size));
        }
        for attempt in victims.attempts {
            self.interrupt(attempt, Interrupt::Checkpoint, Cause::Preempted);
            self.at(self.now.after(CHECKPOINT), Timer::Stop(attempt));
        }
    }

    /// Gives up the room that was promised to a request.
    pub(super) fn unpress(&mut self, id: request::Id) {
        let job = self.jobs.get_mut(&id);
        let Some((worker, size)) = job.and_then(|job| job.pressed.take()) else {
            return;
        };
        let known = self.room.get_mut(worker);
        known.promised = known.promised.minus(&size);
    }

    /// Stops a preempted attempt that has not saved its state in time.
    pub(super) fn stop_late(&mut self, attempt: Attempt) {
        let booking = self.bookings.get(&attempt);
        let preempted = |booking: &Booking| {
            let told = booking.interrupt;
            told.is_some_and(|told| told.cause == Cause::Preempted)
        };
        if booking.is_some_and(preempted) {
            self.interrupt(attempt, Interrupt::Stop, Cause::Preempted);
        }
    }

    /// Finds the worker where room for an item costs the least work.
    fn cheapest(&self, item: &Item) -> Option<Victims> {
        let start = item.key.arrival as usize;
        let may_yield = self.room.iter_from(start).filter(|(_, worker)| {
            let all = worker.free().plus(&worker.soft).plus(&worker.ending);
            worker.is_open()
                && item.rack.is_none_or(|rack| rack == worker.rack)
                && worker.promised.plus(&item.size).fits(&all)
                && item
                    .size
                    .fits(&self.ledger.available(worker.rack, item.team))
        });
        may_yield
            .take(COMPARED)
            .filter_map(|(worker, _)| self.victims(worker, &item.size))
            .min_by_key(|victims| (victims.cost, victims.worker))
    }

    fn victims(&self, worker: usize, size: &Size) -> Option<Victims> {
        let known = self.room.get(worker);
        let wanted = known.promised.plus(size);
        let mut room = known.free().plus(&known.ending);
        let mut soft: Vec<_> = known
            .attempts
            .iter()
            .filter_map(|attempt| Some((*attempt, self.bookings.get(attempt)?)))
            .filter(|(_, booking)| self.may_preempt(booking))
            .map(|(attempt, booking)| (self.cost(booking), attempt, booking.size))
            .collect();
        soft.sort_unstable_by_key(|(cost, attempt, _)| (*cost, *attempt));
        let mut cost = Duration::ZERO;
        let mut attempts = Vec::new();
        for (each, attempt, size) in soft {
            if wanted.fits(&room) {
                break;
            }
            room = room.plus(&size);
            cost += each;
            attempts.push(attempt);
        }
        wanted.fits(&room).then_some(Victims {
            cost,
            worker,
            attempts,
        })
    }

    fn may_preempt(&self, booking: &Booking) -> bool {
        let begun = matches!(booking.state, State::Sent | State::Running);
        booking.is_soft() && begun && !booking.is_ending() && booking.guard <= self.now
    }

    /// Returns the work that stopping an attempt may lose.
    pub(super) fn cost(&self, booking: &Booking) -> Duration {
        let span = self.now.since(booking.since);
        let capacity = &self.room.get(booking.worker).spec.capacity;
        Work::of(&booking.size, span).span(capacity)
    }
}
