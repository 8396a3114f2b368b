//! The reports of workers about their tasks.

use serde::{Deserialize, Serialize};

use crate::name::Name;

use super::Attempt;

/// The most ends that a worker lists in a report; the others follow once these are acknowledged.
pub const MAX_LISTED_ENDS: usize = 500;

/// A report of a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The worker's clock in milliseconds.
    pub clock_ms: u64,
    /// The start time of this incarnation of the worker, in milliseconds since 1970.
    pub born_ms: u64,
    /// The running tasks.
    pub running: Vec<Running>,
    /// The ends that are not acknowledged yet, by number.
    pub ended: Vec<End>,
}

impl Report {
    /// Tells whether an attempt that it doesn't show neither runs nor has ended.
    pub fn is_complete(&self) -> bool {
        self.ended.len() < MAX_LISTED_ENDS
    }

    /// Tells whether it shows that an attempt runs or has ended.
    pub fn shows(&self, attempt: &Attempt) -> bool {
        let mut running = self.running.iter().map(|run| &run.attempt);
        let mut ended = self.ended.iter().map(|end| &end.attempt);
        running.any(|shown| shown == attempt) || ended.any(|shown| shown == attempt)
    }
}

/// A running task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The attempt.
    pub attempt: Attempt,
    /// Its newest checkpoint.
    pub checkpoint: Option<Name>,
    /// The fraction of its work that is done.
    pub progress: f64,
}

/// The end of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The number of the end, counted from 1 in each incarnation of the worker.
    pub number: u64,
    /// The attempt.
    pub attempt: Attempt,
    /// How it ended.
    pub outcome: Outcome,
    /// Its newest checkpoint.
    pub checkpoint: Option<Name>,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The task completed its work.
    Done,
    /// The task failed, through its own fault or the worker's.
    Failed,
    /// The task was stopped.
    Stopped,
    /// The task's lease expired.
    Lapsed,
    /// Another member of the task's gang ended.
    Broken,
    /// The other members of the task's gang did not start in time.
    Alone,
}
