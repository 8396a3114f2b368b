//! Which waiting step comes first.
//!
//! It answers a fleet that is asked for more than it has for seconds on end: urgent queues go
//! first, then what can still be on time, by the latest moment at which it must start. What is
//! late already waits behind, since it gains little by going first and would make others late.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

use super::StepId;
use super::config::Queue;

/// A job that takes this many times as long as it may is worth nothing any more.
const WORTHLESS: f64 = 3.0;

/// What is known of the duration of a queue's tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Durations {
    mean: f64,
    count: u32,
}

/// What one more duration weighs against all earlier ones.
const WEIGHT: f64 = 0.05;

impl Durations {
    /// Takes in how long a task ran.
    pub fn record(&mut self, duration: Duration) {
        self.count = self.count.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.count));
        self.mean += weight * (duration.as_secs_f64() - self.mean);
    }

    /// Returns the mean, or `fallback` while nothing has been seen.
    pub fn mean(&self, fallback: Duration) -> Duration {
        if self.count == 0 {
            fallback
        } else {
            Duration::from_secs_f64(self.mean)
        }
    }
}

/// How long after its last task's end a job is stored as completed and seen so by its client.
const UNSEEN: Duration = Duration::from_millis(150);

/// How long a job is expected to take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Its longest chain of steps.
    pub chain: Duration,
    /// What is left of the chain from a step on, less what a checkpoint holds.
    pub rest: Duration,
}

/// The place of a step in the order; lower comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether it can be on time.
    pub lateness: Lateness,
    /// Its queue's priority.
    pub priority: u32,
    /// The latest time at which it must start to be on time.
    pub latest: Time,
    /// The step, to make the order total.
    pub step: StepId,
}

impl Rank {
    /// Returns the place of a step whose tasks serve: before all work, which can wait.
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
    /// It can be on time.
    OnTime,
    /// It can be on time, but its account has used up its share.
    Excess,
    /// It will be late.
    Late,
    /// It comes too late to be worth anything.
    Worthless,
}

/// Works out the place of a step of a job that came at `accepted`.
pub fn rank(
    step: StepId,
    queue: &Queue,
    accepted: Time,
    excess: bool,
    Times { chain, rest }: Times,
    now: Time,
) -> Rank {
    let allowed = chain.mul_f64(queue.stretch.max(1.0)) + queue.objective;
    let latest = accepted.after(allowed.saturating_sub(rest + UNSEEN));
    let last = allowed.mul_f64(WORTHLESS).saturating_sub(rest + UNSEEN);
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
