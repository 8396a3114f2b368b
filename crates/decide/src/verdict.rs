//! Verdicts: the answers to callers about their requests.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::attempt::{Attempt, Outcome};
use crate::name::Name;

/// The final answer about a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "ran")]
pub enum Verdict {
    /// The request did not run and will not run.
    NotRun {
        /// Why not.
        reason: Reason,
        /// After how long the caller may try again, if that may help.
        retry_after: Option<Duration>,
    },
    /// The request may have run.
    Unknown {
        /// The attempt that may have run.
        attempt: Attempt,
    },
    /// The request ran.
    Ran {
        /// The attempt that ran.
        attempt: Attempt,
        /// The worker that ran it.
        worker: Name,
        /// How it ended.
        outcome: Outcome,
    },
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// No worker of the fleet could ever hold it.
    TooLarge,
    /// The work queued ahead of it would take until after its deadline.
    Overload,
    /// Its deadline passed while it was queued.
    Expired,
    /// Its team has no key, or the key was withdrawn.
    Unauthorized,
    /// Its team is at its upper limit.
    Limit,
    /// No server owns the rack now.
    NoOwner,
    /// The owner is handing the rack over.
    Leaving,
    /// The caller cancelled it.
    Cancelled,
    /// Every attempt was refused, and the retry budget is spent.
    Refused,
    /// A preempted request could not be placed again in time.
    Preempted,
    /// The table service is down and the request needs it.
    TableUnavailable,
    /// This server can't reach enough other servers.
    Isolated,
    /// A member of its gang could not start.
    Gang,
    /// A request with the same id was accepted before.
    Duplicate,
}
