//! Preemption of batch work by urgent requests.

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

/// Time that a preempted attempt has to save its state before it is stopped.
const CHECKPOINT_TIME: Duration = Duration::from_secs(2);

/// Pause before an urgent request looks for victims again after it found none.
const PREEMPT_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The maximum number of workers that are compared for one urgent request.
const MAX_COMPARED_WORKERS: usize = 32;

/// Attempts on one worker that have to end to free resources for an urgent request.
struct Victims {
    cost: Duration,
    worker: usize,
    attempts: Vec<Attempt>,
}

impl Cell {
    /// Reserves resources for a waiting urgent request and preempts the attempts that use them.
    pub(super) fn preempt_for(&mut self, id: request::Id) {
        let Some(item) = self.queue.get(id).copied() else {
            return;
        };
        if self.is_catching_up() {
            self.set_timer(self.now.after(CHECKPOINT_TIME), Timer::Preempt(id));
            return;
        }
        let joins_gang = self.jobs[&id].held_for.is_some();
        if item.class != Class::Urgent || self.setup.policy != Policy::Fair || joins_gang {
            return;
        }
        self.release_reservation(id);
        let Some(victims) = self.cheapest_victims(&item) else {
            self.set_timer(self.now.after(PREEMPT_RETRY_PAUSE), Timer::Preempt(id));
            return;
        };
        self.set_timer(self.now.after(CHECKPOINT_TIME), Timer::Preempt(id));
        self.workers.get_mut(victims.worker).reserved =
            self.workers.get(victims.worker).reserved.plus(&item.size);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.reservation = Some((victims.worker, item.size));
        }
        for attempt in victims.attempts {
            self.interrupt(attempt, Interrupt::Checkpoint, Cause::Preempted);
            self.set_timer(self.now.after(CHECKPOINT_TIME), Timer::Stop(attempt));
        }
    }

    /// Releases the resources that are reserved for a request.
    pub(super) fn release_reservation(&mut self, id: request::Id) {
        let job = self.jobs.get_mut(&id);
        let Some((worker, size)) = job.and_then(|job| job.reservation.take()) else {
            return;
        };
        let known = self.workers.get_mut(worker);
        known.reserved = known.reserved.minus(&size);
    }

    /// Stops a preempted attempt that has not saved its state in time.
    pub(super) fn stop_late(&mut self, attempt: Attempt) {
        let booking = self.bookings.get(&attempt);
        let preempted = |booking: &Booking| {
            let sent = booking.interrupt;
            sent.is_some_and(|sent| sent.cause == Cause::Preempted)
        };
        if booking.is_some_and(preempted) {
            self.interrupt(attempt, Interrupt::Stop, Cause::Preempted);
        }
    }

    /// Returns the victims on the worker where freeing resources for an item loses the least work.
    fn cheapest_victims(&self, item: &Item) -> Option<Victims> {
        let start = item.key.arrival as usize;
        let candidates = self.workers.iter_from(start).filter(|(_, worker)| {
            let all = worker.free().plus(&worker.preemptible).plus(&worker.ending);
            worker.is_open()
                && item.rack.is_none_or(|rack| rack == worker.rack)
                && worker.reserved.plus(&item.size).fits(&all)
                && item
                    .size
                    .fits(&self.ledger.available(worker.rack, item.team))
        });
        candidates
            .take(MAX_COMPARED_WORKERS)
            .filter_map(|(worker, _)| self.victims(worker, &item.size))
            .min_by_key(|victims| (victims.cost, victims.worker))
    }

    fn victims(&self, worker: usize, size: &Size) -> Option<Victims> {
        let known = self.workers.get(worker);
        let wanted = known.reserved.plus(size);
        let mut freeable = known.free().plus(&known.ending);
        let mut preemptible: Vec<_> = known
            .attempts
            .iter()
            .filter_map(|attempt| Some((*attempt, self.bookings.get(attempt)?)))
            .filter(|(_, booking)| self.may_preempt(booking))
            .map(|(attempt, booking)| (self.cost(booking), attempt, booking.size))
            .collect();
        preemptible.sort_unstable_by_key(|(cost, attempt, _)| (*cost, *attempt));
        let mut cost = Duration::ZERO;
        let mut attempts = Vec::new();
        for (each, attempt, size) in preemptible {
            if wanted.fits(&freeable) {
                break;
            }
            freeable = freeable.plus(&size);
            cost += each;
            attempts.push(attempt);
        }
        wanted.fits(&freeable).then_some(Victims {
            cost,
            worker,
            attempts,
        })
    }

    fn may_preempt(&self, booking: &Booking) -> bool {
        let begun = matches!(booking.state, State::Sent | State::Running);
        booking.is_preemptible()
            && begun
            && !booking.is_ending()
            && booking.protected_until <= self.now
    }

    /// Returns the work that stopping an attempt may lose, as the time that its worker would need
    /// for it with its whole capacity.
    pub(super) fn cost(&self, booking: &Booking) -> Duration {
        let elapsed = self.now.since(booking.since);
        let capacity = &self.workers.get(booking.worker).spec.capacity;
        Work::of(&booking.size, elapsed).min_duration(capacity)
    }
}
