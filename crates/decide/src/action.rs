//! What a rack owner's machine wants done.

use serde::{Deserialize, Serialize};

use crate::attempt::Attempt;
use crate::gang;
use crate::name::Name;
use crate::rack::Demand;
use crate::request;
use crate::share::Summary;
use crate::size::Size;
use crate::verdict::Verdict;
use crate::worker::Interrupt;

/// One output of the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum Action {
    /// Claim a worker: raise its epoch and read what runs there.
    Claim {
        /// The worker.
        worker: Name,
        /// The epoch of the rack's ownership.
        epoch: u64,
    },
    /// Start an attempt.
    Start {
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: Name,
        /// The epoch of the rack's ownership.
        epoch: u64,
        /// The booked size.
        size: Size,
    },
    /// Wait for the answer of an attempt that runs or has ended on a worker.
    Attach {
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: Name,
    },
    /// Interrupt a running attempt.
    Interrupt {
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: Name,
        /// How.
        how: Interrupt,
    },
    /// Tell the caller what became of its request; this is said once.
    Answer {
        /// The request.
        request: request::Id,
        /// What became of it.
        verdict: Verdict,
    },
    /// Probe a quarantined worker with work that belongs to no caller.
    Probe {
        /// The worker.
        worker: Name,
    },
    /// Ask the table to change what racks hold of limits; one write for all.
    Allot {
        /// The wishes.
        demands: Vec<Demand>,
    },
    /// Tell the job's home which places are held; fewer than asked means no room for the rest.
    Held(gang::Hold),
    /// Tell other servers.
    Publish(Summary),
}
