//! How long a step waits for a place where its tasks run faster: in the rack with its data, or all
//! in one rack.
//!
//! A wait compares two times: until enough places are expected there, and what running elsewhere
//! costs. It is bounded from the time at which the step was due, so it neither starts again nor
//! grows with a new scheduler. It holds no capacity, so places elsewhere that the step passes over
//! are free for steps of lower rank at once.

use std::time::Duration;

use crate::time::Time;

use super::order;

/// The longest wait, from the time at which the step was due. A job of which nothing runs for 3 s
/// although there is room counts as lost; the rest is left for advice and start orders.
pub const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// The expected rest of a task is at least this fraction of its expected run time. With run times
/// that vary by a log-normal factor of 0.5, the mean rest is half of the mean run time for all tasks
/// that have run for half of it or longer.
const MIN_REST: f64 = 0.5;

/// The progress from which a task's own pace is used in place of the expected run time.
const MIN_PROGRESS: f64 = 0.1;

/// The expected places as a fraction of the missing ones from which a step waits that is late
/// elsewhere.
const MIN_CHANCE: f64 = 0.25;

/// What a step gains by running near and how long it may wait for that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// The factor on the run time of tasks that run elsewhere.
    pub slowdown: f64,
    /// The expected run time of a task that runs near.
    pub run: Duration,
    /// When the step was due.
    pub due: Time,
    /// The latest time at which it must start to be on time if it runs near.
    pub latest: Time,
}

impl Terms {
    /// Returns how much longer the step takes elsewhere.
    pub fn cost(&self) -> Duration {
        order::scaled(self.run, (self.slowdown - 1.0).max(0.0))
    }

    fn latest_elsewhere(&self) -> Time {
        self.latest.before(self.cost())
    }

    /// Tells whether only a near place lets the step be on time.
    pub fn is_late_elsewhere(&self, now: Time) -> bool {
        self.latest_elsewhere() <= now
    }

    /// Returns the time until which the step may wait, or `None` if that is over.
    ///
    /// While it can still be on time elsewhere, it gives up soon enough for that. Otherwise only a
    /// near place lets it be on time, and it may wait until that is too late as well.
    pub fn deadline(&self, now: Time) -> Option<Time> {
        let last = if self.is_late_elsewhere(now) {
            self.latest
        } else {
            self.latest_elsewhere()
        };
        let deadline = last.min(self.due.after(self.cost().min(MAX_WAIT)));
        (deadline > now).then_some(deadline)
    }
}

/// Places for tasks that are expected to become free together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opening {
    /// The expected time until then.
    pub after: Duration,
    /// How many tasks fit.
    pub places: u64,
}

/// Returns how many places are expected to become free within a time.
///
/// Run times vary widely, so each opening counts as spread evenly over twice its expected time. With
/// the expected times alone, the first of many running tasks would seem to end as late as the
/// average one.
pub fn expected_places(openings: &[Opening], within: Duration) -> f64 {
    let expected = openings.iter().map(|opening| {
        let span = 2.0 * opening.after.as_secs_f64();
        let fraction = if span <= within.as_secs_f64() {
            1.0
        } else {
            within.as_secs_f64() / span
        };
        opening.places as f64 * fraction
    });
    expected.sum()
}

/// Returns how many of `missing` tasks wait. `ahead` is the number of places that steps of higher rank
/// wait for.
///
/// Tasks wait that are expected to find a place. If the step is late elsewhere, all wait while there
/// is a chance, since it gains nothing by running some of them there.
pub fn waiting_tasks(missing: u64, expected: f64, ahead: f64, late_elsewhere: bool) -> u64 {
    let places = (expected - ahead).max(0.0);
    if !late_elsewhere {
        return (places.round() as u64).min(missing);
    }
    if places >= MIN_CHANCE * missing as f64 {
        missing
    } else {
        0
    }
}

/// What is known of a running task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Run {
    /// The expected run time of such a task.
    pub expected: Duration,
    /// How long it has run.
    pub elapsed: Duration,
    /// The fraction of its work that was last reported as done, and the time since that report.
    pub progress: Option<(f64, Duration)>,
}

impl Run {
    /// Returns the expected time until it ends.
    pub fn rest(&self) -> Duration {
        if let Some((done, age)) = self.progress
            && done >= MIN_PROGRESS
        {
            let until_report = self.elapsed.saturating_sub(age);
            let rest = order::scaled(until_report, (1.0 - done).max(0.0) / done);
            return rest.saturating_sub(age);
        }
        let rest = self.expected.saturating_sub(self.elapsed);
        rest.max(order::scaled(self.expected, MIN_REST))
    }
}

/// A step's wait for a near place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Wait {
    /// It has not waited.
    #[default]
    None,
    /// It waits.
    Until {
        /// When the wait began.
        begun: Time,
        /// When it ends at the latest.
        until: Time,
    },
    /// The wait is over and doesn't begin again.
    Ended {
        /// How long it took.
        waited: Duration,
    },
}

impl Wait {
    /// Returns how long the step has waited, or `None` if it has not.
    pub fn waited(&self, now: Time) -> Option<Duration> {
        match self {
            Wait::None => None,
            Wait::Until { begun, until } => Some(now.min(*until).since(*begun)),
            Wait::Ended { waited } => Some(*waited),
        }
    }
}

/// Where tasks were started, by whether they run fast there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Placement {
    /// In the rack of their data, or all in one rack.
    Near,
    /// Elsewhere, after a wait.
    Waited,
    /// Elsewhere, without a wait.
    Elsewhere,
}
