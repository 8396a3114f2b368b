//! Timers of a cell.

use std::time::Duration;

use rand::Rng;

use crate::attempt::Attempt;
use crate::request;
use crate::time::Time;

use super::Cell;

/// An action that is due at a later time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The deadline of a request has come.
    Expire(request::Id),
    /// The pause before a request's next attempt is over.
    Retry(request::Id),
    /// A worker has to be claimed again.
    Claim(usize),
    /// The start of an unconfirmed attempt has to be sent again.
    Resend(Attempt),
    /// A worker has to be asked again about an unconfirmed attempt.
    Settle(Attempt),
    /// A waiting urgent request looks for victims again.
    Preempt(request::Id),
    /// The time for a preempted attempt to save its state is over.
    Stop(Attempt),
    /// A quarantined worker has to be probed.
    Probe(usize),
    /// The places held for a gang expire.
    ExpireGang(request::Id),
    /// A request may start again on the workers that it failed on.
    ClearExcluded(request::Id),
    /// The time to handle events that were missed during a pause is over.
    CatchUp,
}

impl Cell {
    pub(super) fn set_timer(&mut self, time: Time, timer: Timer) {
        self.timers.insert((time, timer));
    }

    pub(super) fn run_timers(&mut self) {
        while let Some(&(time, timer)) = self.timers.first() {
            if time > self.now {
                return;
            }
            self.timers.pop_first();
            match timer {
                Timer::Expire(id) => self.expire(id),
                Timer::Retry(id) => self.retry(id),
                Timer::Claim(worker) => self.claim_again(worker),
                Timer::Resend(attempt) => self.resend(attempt),
                Timer::Settle(attempt) => self.settle(attempt),
                Timer::Preempt(id) => self.preempt_for(id),
                Timer::Stop(attempt) => self.stop_late(attempt),
                Timer::Probe(worker) => self.probe_again(worker),
                Timer::ExpireGang(gang) => self.expire_gang(gang),
                Timer::ClearExcluded(id) => self.clear_excluded(id),
                Timer::CatchUp => self.catch_up(),
            }
        }
    }

    /// Returns a random pause between zero and `most` (full jitter).
    pub(super) fn jitter(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.rng.random::<f64>())
    }
}
