//! Attempts to run a request.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::request;
use crate::size::Size;

/// One attempt to run a request on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The request.
    pub request: request::Id,
    /// The number of the attempt, counted from 1 for each request.
    pub number: u32,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.number)
    }
}

/// An attempt that a worker reports as running.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The attempt.
    pub attempt: Attempt,
    /// The team that it runs for.
    pub team: Name,
    /// The service, queue or job that it belongs to.
    pub kind: Name,
    /// The class that it was started with.
    pub class: crate::class::Class,
    /// The size that it was started with.
    pub size: Size,
    /// The gang that it belongs to, if any.
    pub gang: Option<request::Id>,
    /// Whether it was started as idempotent.
    pub idempotent: bool,
}

/// How a started attempt ended, as reported by the worker.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// It ran to its end and its answer is complete.
    Done,
    /// It ran and failed.
    Failed,
    /// The owner had it stopped.
    Stopped,
    /// It was stopped after its state had been saved.
    Checkpointed,
}

/// Why a worker did not start an attempt. After any refusal, the attempt is known not to have run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The worker has seen a higher epoch.
    StaleEpoch,
    /// The worker does not have enough free capacity.
    NoRoom,
    /// The worker is shutting down.
    Leaving,
    /// The worker already runs or has run this request.
    Duplicate,
    /// The worker failed to start it.
    Broken,
    /// No connection to the worker could be made, so nothing was sent.
    Unreachable,
}
