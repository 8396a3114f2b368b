//! The order in which waiting steps are placed.
//!
//! The order matters when the fleet is overloaded for seconds. Steps that can be on time come
//! first, by the priority of their queue and then by the latest time at which they must start. Late
//! steps come behind them: they gain little by going first and would make others late.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

use super::StepId;
use super::config::Queue;

/// A job that takes this many times its allowed time has no value to its client any more.
const WORTHLESS_FACTOR: f64 = 3.0;

/// A moving average of durations, for example of a queue's tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Durations {
    mean: f64,
    count: u32,
}

/// The minimum weight of a new duration in the average.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;

impl Durations {
    /// Adds a duration to the average.
    pub fn record(&mut self, duration: Duration) {
        self.count = self.count.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.count));
        self.mean += weight * (duration.as_secs_f64() - self.mean);
    }

    /// Returns the average, or `fallback` while no duration was recorded.
    pub fn mean(&self, fallback: Duration) -> Duration {
        if self.count == 0 {
            fallback
        } else {
            Duration::from_secs_f64(self.mean)
        }
    }
}

/// The time from the end of a job's last task until its client sees the job as completed, which
/// includes storing it.
const COMPLETION_DELAY: Duration = Duration::from_millis(150);

/// How long a job is expected to take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// The length of its critical path.
    pub critical_path: Duration,
    /// The rest of the critical path from a step on, less the work that a checkpoint covers.
    pub remaining: Duration,
}

/// The rank of a step; lower ranks are placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// How late its job is.
    pub lateness: Lateness,
    /// Its queue's priority.
    pub priority: u32,
    /// The latest time at which it must start to be on time.
    pub latest: Time,
    /// The step, which breaks ties.
    pub step: StepId,
}

impl Rank {
    /// Returns the rank of a step whose tasks run until the job is cancelled. It precedes all work
    /// that ends, which can wait.
    pub fn for_service(step: StepId, accepted: Time) -> Rank {
        Rank {
            lateness: Lateness::OnTime,
            priority: 0,
            latest: accepted,
            step,
        }
    }
}

/// How late a job is.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "snake_case")]
pub enum Lateness {
    /// The job can be on time.
    OnTime,
    /// The job can be on time, but its account has used up its share.
    Excess,
    /// The job will be late.
    Late,
    /// The job will be so late that its result has no value to the client.
    Worthless,
}

/// Multiplies a duration, saturating. Clients may give any estimate of how long a task runs.
pub fn scaled(duration: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(duration.as_secs_f64() * factor).unwrap_or(Duration::MAX)
}

/// Computes the rank of a step whose job was accepted at `accepted`.
pub fn rank(
    step: StepId,
    queue: &Queue,
    accepted: Time,
    excess: bool,
    Times {
        critical_path,
        remaining,
    }: Times,
    now: Time,
) -> Rank {
    let allowed = scaled(critical_path, queue.stretch.max(1.0)).saturating_add(queue.objective);
    let needed = remaining.saturating_add(COMPLETION_DELAY);
    let latest = accepted.after(allowed.saturating_sub(needed));
    let last = scaled(allowed, WORTHLESS_FACTOR).saturating_sub(needed);
    let last = accepted.after(last);
    let lateness = if now > last {
        Lateness::Worthless
    } else if now > latest {
        Lateness::Late
    } else if excess {
        Lateness::Excess
    } else {
        Lateness::OnTime
    };
    Rank {
        lateness,
        priority: queue.priority,
        latest,
        step,
    }
}
