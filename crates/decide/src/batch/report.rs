//! What a worker says of its tasks.

use crate::name::Name;

use super::Attempt;

/// One report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The worker's clock in milliseconds.
    pub clock_ms: u64,
    /// When this life of the worker began, in milliseconds since 1970.
    pub born_ms: u64,
    /// What runs.
    pub running: Vec<Running>,
    /// What has ended and was not acknowledged, by number.
    pub ended: Vec<End>,
}

/// A running task.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// The attempt.
    pub attempt: Attempt,
    /// Its newest checkpoint.
    pub checkpoint: Option<Name>,
    /// The part of its work that is done, out of 1.
    pub progress: f64,
}

/// A task that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// Numbers the ends of one life of the worker, from 1.
    pub number: u64,
    /// The attempt.
    pub attempt: Attempt,
    /// How it ended.
    pub outcome: Outcome,
    /// Its newest checkpoint.
    pub checkpoint: Option<Name>,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// It did its work.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the other members of its gang.
    Alone,
}
