//! Bounds the submissions that an instance has under way to the leader.
//!
//! Answers the load of clients that come back all at once, after a leader's death or in a burst, when
//! the leader's link is narrow. Hundreds of submissions wait on the instances then. Sent together
//! they fill the link for seconds; each is late when it arrives, and comes again. So each instance
//! sends as many as the leader answers soon: one more while answers are fast, half as many when
//! they are slow or lost. The others wait in the instance, where waiting costs nothing, and those
//! whose turn would come too late are refused at once.

use std::time::Duration;

use crate::time::Time;

/// How many submissions a new leader gets at first.
const INITIAL_SIZE: f64 = 4.0;

/// The least size: a single submission, whose answer tells when the link is free again.
const MIN_SIZE: f64 = 1.0;

/// The largest size.
const MAX_SIZE: f64 = 256.0;

/// An answer that takes longer is slow: several times a write to the store from another region.
const SLOW: Duration = Duration::from_millis(400);

/// The weight of the last answer in the mean time of answers.
const LATENCY_WEIGHT: f64 = 0.1;

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transit {
    /// The leader answered after this time.
    Answered(Duration),
    /// No answer came.
    Lost,
    /// The caller has gone, or nothing was sent.
    Abandoned,
}

/// The submissions under way, and how many may be.
#[derive(Clone, Debug)]
pub struct Window {
    size: f64,
    under_way: usize,
    latency: Duration,
    /// When the size was last halved. All answers that were under way then are slow.
    halved: Option<Time>,
}

impl Default for Window {
    fn default() -> Window {
        Window {
            size: INITIAL_SIZE,
            under_way: 0,
            latency: Duration::ZERO,
            halved: None,
        }
    }
}

impl Window {
    /// Takes a place, if one is free.
    pub fn enter(&mut self) -> bool {
        let free = self.under_way < self.size as usize;
        self.under_way += usize::from(free);
        free
    }

    /// Gives a place back.
    pub fn leave(&mut self, transit: Transit, now: Time) {
        self.under_way = self.under_way.saturating_sub(1);
        match transit {
            Transit::Answered(took) => {
                let mean = self.latency.mul_f64(1.0 - LATENCY_WEIGHT);
                self.latency = mean + took.mul_f64(LATENCY_WEIGHT);
                if took < SLOW {
                    self.size = (self.size + 1.0 / self.size).min(MAX_SIZE);
                } else {
                    self.halve(now);
                }
            }
            Transit::Lost => self.halve(now),
            Transit::Abandoned => {}
        }
    }

    /// Begins anew with another leader. The submissions under way keep their places.
    pub fn reset(&mut self) {
        *self = Window {
            under_way: self.under_way,
            ..Window::default()
        };
    }

    /// Returns how long a submission behind `waiting` others is likely to wait for a place.
    pub fn expected_wait(&self, waiting: usize) -> Duration {
        self.latency.mul_f64(waiting as f64 / self.size)
    }

    fn halve(&mut self, now: Time) {
        if self.halved.is_some_and(|at| now.since(at) < SLOW) {
            return;
        }
        self.halved = Some(now);
        self.size = (self.size / 2.0).max(MIN_SIZE);
    }
}
