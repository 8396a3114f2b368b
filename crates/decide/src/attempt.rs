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
    /// Counts the attempts of the request from 1.
    pub number: u32,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.number)
    }
}

/// An attempt that a worker says it is running.
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

/// How a started attempt ended, by the worker's word.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// It ran to its end and its answer is whole.
    Done,
    /// It ran and failed.
    Failed,
    /// It was stopped on the owner's word.
    Stopped,
    /// It was stopped after its state had been saved.
    Checkpointed,
}

/// Why a worker did not start an attempt; each is the worker's word that it did not run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The worker has seen a higher epoch.
    StaleEpoch,
    /// The worker has no room.
    NoRoom,
    /// The worker is leaving.
    Leaving,
    /// The worker already runs or has run this request.
    Duplicate,
    /// The worker could not start it.
    Broken,
    /// No connection to the worker could be made, so nothing was sent.
    Unreachable,
}
