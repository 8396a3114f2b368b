//! Events that a cell handles.

use serde::{Deserialize, Serialize};

use crate::attempt::{Attempt, Outcome, Refusal};
use crate::gang;
use crate::name::Name;
use crate::rack;
use crate::request::{self, Request};
use crate::resource::Team;
use crate::share::Summary;
use crate::worker;

/// An event that a cell handles.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// The current teams, which replace all earlier ones.
    Configure {
        /// The revision of the configuration. The event is ignored if a higher one was seen.
        revision: u64,
        /// All teams.
        teams: Vec<Team>,
    },
    /// The process has become the owner of a rack.
    Gain(rack::Grant),
    /// The process no longer owns a rack, or is handing it over. Nothing more is placed there.
    Lose {
        /// The rack.
        rack: Name,
    },
    /// The table has stored new allotments of an owned rack.
    Allot(rack::Allotted),
    /// A limit was lowered. The rack has to go down to this allotment, or to what its running
    /// attempts use if that is more. Answered by a demand.
    Reclaim(rack::Demand),
    /// The rack keeps the allotment that it offered to give back, and may use it again.
    Keep(rack::Demand),
    /// The instance list contains a live worker.
    Join(worker::Spec),
    /// A worker is shutting down, as the instance list or the worker itself says.
    Leave {
        /// The worker.
        worker: Name,
    },
    /// A worker is certainly gone, so nothing runs there.
    Gone {
        /// The worker.
        worker: Name,
    },
    /// A worker has answered a claim.
    Claimed(worker::Inventory),
    /// A worker has not answered a claim or a renewal.
    Unreachable {
        /// The worker.
        worker: Name,
    },
    /// A request has arrived.
    Submit(Request),
    /// A request is sent again because its owner or the connection to it was lost. The cell
    /// attaches to the running attempt or answers that the request is not here.
    ///
    /// The answer `NotRun`, for any reason but `NoOwner` and `Leaving`, means that the request
    /// never began on the rack and never will: a later `Submit` with the same target is refused.
    /// It is given only once every worker of the rack has been claimed or is certain not to run
    /// the request.
    Resume(Request),
    /// A caller has cancelled its request.
    Cancel {
        /// The request.
        request: request::Id,
    },
    /// A worker has started an attempt.
    Started {
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: Name,
    },
    /// A worker has refused to start an attempt.
    Refused {
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: Name,
        /// Why it was refused.
        refusal: Refusal,
    },
    /// An attempt has ended.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: Name,
        /// How it ended.
        outcome: Outcome,
    },
    /// It is unknown whether an attempt began or still runs.
    Lost {
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: Name,
    },
    /// A worker reports the resources that its attempts use.
    Report(worker::Report),
    /// A probe has ended.
    Probed {
        /// The worker.
        worker: Name,
        /// Whether the probe succeeded.
        healthy: bool,
    },
    /// Another server has sent its summary.
    Peer(Summary),
    /// A job's home asks to hold places for members of a gang.
    Reserve(gang::HoldRequest),
    /// All members of a gang have a place, so those held here are started.
    Commit {
        /// The gang.
        gang: request::Id,
    },
    /// A gang gives up the places that are held for it here.
    Release {
        /// The gang.
        gang: request::Id,
    },
    /// Only time has passed.
    Tick,
}
