//! Decides when a leader is too slow to go on.
//!
//! Answers a machine that has become slow. Its heartbeats still come in time, so no other instance
//! takes over, but a job waits for the leader's task at each of its steps. Another instance does
//! better even though a change of the leader costs a second or two.

use std::time::Duration;

use crate::time::Time;

/// The mean delay of the timers of the leader's task with which it is too slow. A job waits for its turn
/// in the process a dozen times before it starts, so such a delay each time takes half a second, the
/// shortest time in which clients expect a result.
const MAX_MEAN_DELAY: Duration = Duration::from_millis(40);

/// The delay that counts at most. A single long one, such as that of a suspended machine, is over once
/// it is seen.
const MAX_COUNTED_DELAY: Duration = Duration::from_millis(100);

/// How long the mean is taken over.
const WINDOW: Duration = Duration::from_secs(1);

/// The least number of timers in a window.
const MIN_TIMERS: u32 = 5;

/// How long a new leader is not judged, since it works off what has piled up.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// The same for a leader for which a slow one has made way. If it is too slow as well, the load is the
/// cause, and further changes would add to it.
const SUCCESSOR_SETTLING_TIME: Duration = Duration::from_secs(20);

/// How long an instance that was too slow leaves the leadership to others.
pub const REST_TIME: Duration = SUCCESSOR_SETTLING_TIME;

/// The time of a leader, and how late its timers are.
#[derive(Clone, Debug)]
pub struct Tenure {
    judged_from: Time,
    /// When the window began.
    begun: Time,
    timers: u32,
    delay: Duration,
}

impl Tenure {
    /// Begins at `now`; `after_slow` if the predecessor was too slow.
    pub fn new(now: Time, after_slow: bool) -> Tenure {
        let settling = if after_slow {
            SUCCESSOR_SETTLING_TIME
        } else {
            SETTLING_TIME
        };
        let judged_from = now.after(settling);
        Tenure {
            judged_from,
            begun: judged_from,
            timers: 0,
            delay: Duration::ZERO,
        }
    }

    /// Counts a timer that was late by `delay`. Returns whether the leader is too slow to go on.
    pub fn record(&mut self, delay: Duration, now: Time) -> bool {
        if now < self.judged_from {
            return false;
        }
        self.timers += 1;
        self.delay += delay.min(MAX_COUNTED_DELAY);
        if now.since(self.begun) < WINDOW || self.timers < MIN_TIMERS {
            return false;
        }
        let too_slow = self.delay / self.timers >= MAX_MEAN_DELAY;
        self.begun = now;
        self.timers = 0;
        self.delay = Duration::ZERO;
        too_slow
    }
}
