//! Usage reports, from which sizes are learnt and overloaded workers are relieved.

use std::time::Duration;

use crate::attempt::Attempt;
use crate::size::Size;
use crate::worker::{Interrupt, Report, Usage};

use super::Cell;
use super::job::{Booking, Cause};

/// Usage above which a worker is relieved, in percent of its capacity.
const RELIEF_THRESHOLD_PERCENT: u64 = 95;

/// Time that an interrupt has to take effect before a stronger one is sent.
const ESCALATION_PAUSE: Duration = Duration::from_secs(1);

impl Cell {
    pub(super) fn report(&mut self, report: &Report) {
        let Some(worker) = self.workers.find(&report.worker) else {
            return;
        };
        for usage in &report.usage {
            self.record_usage(worker, usage);
        }
        self.relieve(worker);
    }

    fn record_usage(&mut self, worker: usize, usage: &Usage) {
        let Some(booking) = self.bookings.get_mut(&usage.attempt) else {
            return;
        };
        if booking.worker != worker {
            return;
        }
        booking.used = Some(usage.used);
        let peak = Size::max(&booking.peak, &usage.used);
        if peak != booking.peak {
            booking.peak = peak;
            let kind = booking.kind.clone();
            self.learner.record_usage(&kind, &peak);
        }
        self.grow_booking(usage.attempt, &usage.used);
    }

    /// Raises an attempt's booking to its usage, so that nothing else is placed there.
    fn grow_booking(&mut self, attempt: Attempt, used: &Size) {
        let booking = &self.bookings[&attempt];
        let size = Size {
            millicores: booking.size.millicores.max(used.millicores),
            memory_mib: booking.size.memory_mib.max(used.memory_mib),
            ..booking.size
        };
        if size == booking.size {
            return;
        }
        if let Some(mut booking) = self.unbook(attempt) {
            booking.size = size;
            self.book(attempt, booking);
        }
    }

    /// Relieves a worker that is close to its capacity.
    ///
    /// Interrupts the cheapest attempt that uses more than it declared, with a stronger interrupt
    /// each time.
    fn relieve(&mut self, worker: usize) {
        let known = self.workers.get(worker);
        let bookings = known.attempts.iter().map(|at| (*at, &self.bookings[at]));
        let used = bookings.clone().fold(Size::ZERO, |sum, (_, booking)| {
            sum.plus(&booking.used.unwrap_or(booking.size))
        });
        if !is_overloaded(&used, &known.spec.capacity) {
            return;
        }
        let cheapest = bookings
            .filter(|(_, booking)| booking.exceeds_declared())
            .min_by_key(|(at, booking)| {
                (std::cmp::Reverse(booking.class), self.cost(booking), *at)
            });
        let Some((attempt, booking)) = cheapest else {
            return;
        };
        if let Some(how) = self.next_interrupt(booking) {
            self.interrupt(attempt, how, Cause::Overloaded);
        }
    }

    fn next_interrupt(&self, booking: &Booking) -> Option<Interrupt> {
        let Some(sent) = booking.interrupt else {
            return Some(Interrupt::Throttle);
        };
        if self.now.since(sent.at) < ESCALATION_PAUSE {
            return None;
        }
        match sent.how {
            _ if !booking.idempotent => None,
            Interrupt::Throttle => Some(Interrupt::Checkpoint),
            Interrupt::Checkpoint => Some(Interrupt::Stop),
            Interrupt::Stop => None,
        }
    }
}

fn is_overloaded(used: &Size, capacity: &Size) -> bool {
    let exceeds_threshold = |used: u64, of: u64| used * 100 > of * RELIEF_THRESHOLD_PERCENT;
    exceeds_threshold(used.millicores, capacity.millicores)
        || exceeds_threshold(used.memory_mib, capacity.memory_mib)
}
