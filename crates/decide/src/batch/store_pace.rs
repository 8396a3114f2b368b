//! Decides which jobs are refused because they could not be stored in time.
//!
//! Answers a store that is slow for seconds while the usual number of jobs, or a burst, is submitted.
//! A job is accepted once it is stored, behind all rows that have changed before. Without a bound its
//! client would give up first, not knowing whether the job runs, and the rows of such jobs would delay
//! all that come after them. Jobs that came just before the store stopped answering are refused as well
//! while none of their rows has been sent.

use std::time::Duration;

/// How long a new job may wait to be stored. With more its client might get no answer in time.
const MAX_STORE_WAIT: Duration = Duration::from_millis(800);

/// How long a new job may wait for its first write while the store answers nothing. Clients wait 3 s, so
/// the rest is enough for the refusal to reach them.
const MAX_UNWRITTEN_WAIT: Duration = Duration::from_millis(1_500);

/// The shortest time after which a client is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The longest time after which a client is told to retry. A leader that does not reach the store has
/// a successor by then, and an estimate from the present write says nothing of the writes after an
/// outage.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The weight of the last write in the averages.
const WRITE_WEIGHT: f64 = 0.3;

/// The rows of a full write before one has been seen.
const DEFAULT_ROWS: f64 = 98.0;

/// The pace at which changed rows are stored, one write at a time.
#[derive(Clone, Copy, Debug)]
pub struct StorePace {
    /// How long a write takes, in seconds.
    write_s: f64,
    /// How many rows a write holds if more are waiting.
    rows: f64,
}

impl Default for StorePace {
    fn default() -> StorePace {
        StorePace {
            write_s: 0.0,
            rows: DEFAULT_ROWS,
        }
    }
}

impl StorePace {
    /// Records a write of some rows that took `took`; `full` if it left other rows waiting.
    pub fn record(&mut self, rows: usize, full: bool, took: Duration) {
        self.write_s += WRITE_WEIGHT * (took.as_secs_f64() - self.write_s);
        if full {
            self.rows += WRITE_WEIGHT * (rows as f64 - self.rows);
        }
    }

    /// Returns how long a new row is likely to wait behind `waiting` others, while the present write
    /// has taken `writing` so far.
    pub fn expected_wait(&self, waiting: usize, writing: Duration) -> Duration {
        let write_s = self.write_s.max(writing.as_secs_f64());
        let writes = 1.0 + waiting as f64 / self.rows.max(1.0);
        Duration::from_secs_f64(write_s * writes)
    }

    /// Returns how long a job may wait unwritten and after which time its client may retry, or `None` while
    /// the present write may still be a usual one.
    pub fn outage(&self, writing: Duration) -> Option<(Duration, Duration)> {
        (writing > MAX_STORE_WAIT).then_some((MAX_UNWRITTEN_WAIT, MAX_RETRY_AFTER))
    }

    /// Returns the time after which a job may be submitted again, or `None` if it can be stored in
    /// time.
    pub fn retry_after(&self, waiting: usize, writing: Duration) -> Option<Duration> {
        if waiting == 0 && writing.is_zero() {
            // The last writes may have been slow, but the next one begins at once and will tell.
            return None;
        }
        let wait = self.expected_wait(waiting, writing);
        (wait > MAX_STORE_WAIT).then(|| wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }
}
