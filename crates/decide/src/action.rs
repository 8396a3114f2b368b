//! Actions of a cell, which the server carries out.

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

/// An action that a cell returns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum Action {
    /// Claim a worker: raise its epoch and read which attempts run there.
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
        /// The size that is booked for the attempt.
        size: Size,
    },
    /// Wait for the result of an attempt that runs or has ended on a worker.
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
        /// How it is interrupted.
        how: Interrupt,
    },
    /// Tell the caller the verdict on its request. Returned once per request.
    Answer {
        /// The request.
        request: request::Id,
        /// The verdict.
        verdict: Verdict,
    },
    /// Probe a quarantined worker with a test task that belongs to no request.
    Probe {
        /// The worker.
        worker: Name,
    },
    /// Ask the table to change the allotments of racks, all in one write.
    Allot {
        /// The wanted allotments.
        demands: Vec<Demand>,
    },
    /// Tell the job's home which places are held. There is no capacity for members without a place.
    Held(gang::Hold),
    /// Send a summary of the cell to the other servers.
    Publish(Summary),
}
