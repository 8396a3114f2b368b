//! Decides which jobs are refused.
//!
//! Protects the fleet from overload, for example twice its capacity for some seconds or from one
//! account. A job that would wait until it is late is refused at once, with the time after which
//! the work ahead of it should be done. Its client can retry then, and other jobs are not made
//! late. Jobs beyond an account's weight are refused as soon as the backlog exceeds a short limit.

use std::collections::BTreeMap;
use std::time::Duration;

use super::order;

/// The fraction of a job's slack that the work ahead of it may take. The rest covers delays that
/// the backlog does not include: fragmented capacity, tickets and failures.
const SLACK_FRACTION: f64 = 0.8;

/// The longest backlog with which a job beyond its account's weight is accepted.
const EXCESS_WAIT: Duration = Duration::from_millis(250);

/// The shortest time after which a client is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The longest time after which a client is told to retry. It is short because backlogs are
/// estimates.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// The waiting work by queue priority, as the time that the whole fleet needs for it.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    waits: BTreeMap<u32, Duration>,
}

impl Backlog {
    /// Adds work that takes the fraction `share` of the fleet for `time`.
    pub fn add(&mut self, priority: u32, share: f64, time: Duration) {
        let wait = self.waits.entry(priority).or_default();
        *wait = wait.saturating_add(order::scaled(time, share));
    }

    /// Returns how long the work takes that is ahead of a new job with this priority.
    pub fn wait(&self, priority: u32) -> Duration {
        let waits = self.waits.range(..=priority);
        waits.fold(Duration::ZERO, |sum, (_, wait)| sum.saturating_add(*wait))
    }

    /// Returns the time after which a job may be sent again, or `None` if it can be accepted now.
    ///
    /// `slack` is how long the job may wait without being late, and `excess` whether its account
    /// has sent more than its weight allows.
    pub fn retry_after(&self, priority: u32, slack: Duration, excess: bool) -> Option<Duration> {
        let wait = self.wait(priority);
        let limit = if excess {
            EXCESS_WAIT.min(slack.mul_f64(SLACK_FRACTION))
        } else {
            slack.mul_f64(SLACK_FRACTION)
        };
        pause(wait, limit)
    }
}

/// Returns the time after which a job may be sent again that waits this long for its account's limit,
/// or `None` if it can be accepted now.
///
/// `slack` is how long the job may wait without being late. A job beyond its account's weight needs no
/// shorter wait, since the wait includes the work that will overtake it (`quota.rs`).
pub fn retry_after(wait: Duration, slack: Duration) -> Option<Duration> {
    pause(wait, slack.mul_f64(SLACK_FRACTION))
}

fn pause(wait: Duration, limit: Duration) -> Option<Duration> {
    let overrun = wait
        .checked_sub(limit)
        .filter(|overrun| !overrun.is_zero())?;
    Some(overrun.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}
