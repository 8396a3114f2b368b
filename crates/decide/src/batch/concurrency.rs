//! Limits the submissions that an instance has in flight to the leader.
//!
//! Answers bursts and the return of all clients after a leader's death, when the leader has a narrow
//! link. The limit grows by one for each round of fast answers and is halved by slow or lost ones
//! (AIMD), so that the queue on the link stays far below the clients' timeouts. Submissions above the
//! limit wait in the instance. Those that would wait too long are refused at once.

use std::time::Duration;

use crate::time::Time;

/// The least limit, and that with a new leader. With fewer, a slow store that the leader writes to in
/// batches would limit what is accepted.
const MIN_SIZE: f64 = 4.0;

/// The largest limit.
const MAX_SIZE: f64 = 256.0;

/// An answer that takes longer is slow.
const SLOW: Duration = Duration::from_millis(400);

/// The weight of the last answer in the mean time of answers.
const LATENCY_WEIGHT: f64 = 0.1;

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The leader answered after this time.
    Answered(Duration),
    /// No answer came.
    Lost,
    /// The caller has gone, or nothing was sent.
    Abandoned,
}

/// The submissions in flight and their limit.
#[derive(Clone, Debug)]
pub struct Limit {
    size: f64,
    in_flight: usize,
    latency: Duration,
    /// When the size was last halved. All answers that were in flight then are slow.
    halved: Option<Time>,
}

impl Default for Limit {
    fn default() -> Limit {
        Limit {
            size: MIN_SIZE,
            in_flight: 0,
            latency: Duration::ZERO,
            halved: None,
        }
    }
}

impl Limit {
    /// Counts one more submission in flight, if the limit allows it.
    pub fn acquire(&mut self) -> bool {
        let free = self.in_flight < self.size as usize;
        self.in_flight += usize::from(free);
        free
    }

    /// Ends a submission in flight.
    pub fn release(&mut self, outcome: Outcome, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered(took) => {
                let mean = self.latency.mul_f64(1.0 - LATENCY_WEIGHT);
                self.latency = mean + took.mul_f64(LATENCY_WEIGHT);
                if took < SLOW {
                    self.size = (self.size + 1.0 / self.size).min(MAX_SIZE);
                } else {
                    self.halve(now);
                }
            }
            Outcome::Lost => self.halve(now),
            Outcome::Abandoned => {}
        }
    }

    /// Begins anew with another leader. The submissions in flight stay counted.
    pub fn reset(&mut self) {
        *self = Limit {
            in_flight: self.in_flight,
            ..Limit::default()
        };
    }

    /// Returns how long a submission behind `waiting` others is likely to wait.
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
