//! What is to be done at a later time.

use std::time::Duration;

use rand::Rng;

use crate::attempt::Attempt;
use crate::request;
use crate::time::Time;

use super::Cell;

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The patience of a request's caller ends.
    Expire(request::Id),
    /// A request may be tried again.
    Retry(request::Id),
    /// A worker is claimed again.
    Claim(usize),
    /// The start of an attempt in doubt is sent again.
    Resend(Attempt),
    /// An attempt in doubt that nobody waits for is looked for again.
    Settle(Attempt),
    /// A waiting urgent request looks for room again.
    Preempt(request::Id),
    /// A preempted attempt has had time to save its state.
    Stop(Attempt),
    /// A worker in quarantine is probed.
    Probe(usize),
    /// The places of a gang are given back.
    ExpireGang(request::Id),
    /// A request need not avoid a worker any more.
    ClearExcluded(request::Id),
    /// What was missed during a pause has been taken in.
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

    /// Draws a pause up to `most`: full jitter.
    pub(super) fn jitter(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.rng.random::<f64>())
    }
}
