//! What a caller is told about its request.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::attempt::{Attempt, Outcome};
use crate::name::Name;

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "ran")]
pub enum Verdict {
    /// It did not run, and will not.
    NotRun {
        /// Why not.
        reason: Reason,
        /// When it may be worth another try.
        retry_after: Option<Duration>,
    },
    /// It may have run.
    Unknown {
        /// The attempt whose fate is unknown.
        attempt: Attempt,
    },
    /// It ran.
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
    /// The work ahead of it would take longer than its patience.
    Overload,
    /// Its patience ended while it was queued.
    Expired,
    /// Its team has no key, or the key is withdrawn.
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
    /// This server cannot reach enough of its peers.
    Isolated,
    /// A member of its gang could not start.
    Gang,
    /// The request was taken up before under the same id.
    Duplicate,
}
