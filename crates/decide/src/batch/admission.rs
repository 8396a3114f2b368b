//! Which jobs are refused.
//!
//! It answers a fleet that is asked for twice what it has, for some seconds or by one account. A
//! job that would only wait until it is late is refused at once, with the time after which the work
//! before it is expected to be done: its client can come back then, and the others are not made
//! late. What an account sends beyond its weight is refused as soon as anything waits.

use std::collections::BTreeMap;
use std::time::Duration;

/// The part of a job's slack that the work before it may take. The rest is for what can't be seen
/// in the backlog: rooms that do not fit, tickets, failures.
const SLACK: f64 = 0.8;

/// How much work may wait when a job beyond its account's weight is taken.
const EXCESS_WAIT: Duration = Duration::from_millis(250);

/// The shortest pause before a client comes back.
const SHORTEST_PAUSE: Duration = Duration::from_secs(1);

/// The longest one: backlogs are estimates.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// Work that waits, by the priority of its queue, as the time that the whole fleet needs for it.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    waits: BTreeMap<u32, Duration>,
}

impl Backlog {
    /// Adds work that takes `part` of the fleet for `time`.
    pub fn add(&mut self, priority: u32, part: f64, time: Duration) {
        let wait = self.waits.entry(priority).or_default();
        *wait += time.mul_f64(part);
    }

    /// Returns how long the work takes that goes before a new job of a priority.
    pub fn wait(&self, priority: u32) -> Duration {
        self.waits.range(..=priority).map(|(_, wait)| *wait).sum()
    }

    /// Returns the pause after which a job may be sent again, where it is refused now.
    ///
    /// `slack` is how long it may wait without being late.
    pub fn retry_after(&self, priority: u32, slack: Duration, excess: bool) -> Option<Duration> {
        let wait = self.wait(priority);
        let most = if excess {
            EXCESS_WAIT.min(slack.mul_f64(SLACK))
        } else {
            slack.mul_f64(SLACK)
        };
        let over = wait.checked_sub(most).filter(|over| !over.is_zero())?;
        Some(over.clamp(SHORTEST_PAUSE, LONGEST_PAUSE))
    }
}
