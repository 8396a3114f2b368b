//! Reports of use: sizes are learnt, and overloaded workers relieved.

use std::time::Duration;

use crate::attempt::Attempt;
use crate::size::Size;
use crate::worker::{Interrupt, Report, Usage};

use super::Cell;
use super::job::{Booking, Cause};

/// The part of a worker's capacity above which it is relieved, in percent.
const RELIEF_THRESHOLD_PERCENT: u64 = 95;

/// How long an interrupt has to show before a stronger one follows.
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

    /// Books what an attempt uses beyond its size, so that nothing else is placed there.
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

    /// Interrupts the cheapest attempt that uses more than it declared, ever more strongly, before
    /// its worker is over.
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
    let over = |used: u64, of: u64| used * 100 > of * RELIEF_THRESHOLD_PERCENT;
    over(used.millicores, capacity.millicores) || over(used.memory_mib, capacity.memory_mib)
}
