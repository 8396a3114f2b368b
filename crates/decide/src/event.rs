//! What a rack owner's machine is told.

use serde::{Deserialize, Serialize};

use crate::attempt::{Attempt, Outcome, Refusal};
use crate::gang;
use crate::name::Name;
use crate::rack;
use crate::request::{self, Request};
use crate::resource::Team;
use crate::share::Summary;
use crate::worker;

/// One input of the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// The teams in force; replaces all earlier ones.
    Configure {
        /// The revision of the configuration; a lower one than seen is ignored.
        revision: u64,
        /// All teams.
        teams: Vec<Team>,
    },
    /// The process now owns a rack.
    Gain(rack::Grant),
    /// The process owns a rack no more, or hands it over; nothing is placed there any more.
    Lose {
        /// The rack.
        rack: Name,
    },
    /// The table has taken new allotments of an owned rack.
    Allot(rack::Allotted),
    /// A limit was lowered: the rack is to hold no more than this, or as little as what runs there
    /// allows; answered by a demand.
    Reclaim(rack::Demand),
    /// What a rack offered back stays with it, and no other rack is given it: it holds this again.
    Keep(rack::Demand),
    /// The instance list names a live worker.
    Join(worker::Spec),
    /// A worker is leaving, by the instance list or its own word.
    Leave {
        /// The worker.
        worker: Name,
    },
    /// A worker is surely gone: nothing runs there.
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
    /// A request whose earlier owner or connection was lost comes again: attach to it or say that
    /// it is not here.
    ///
    /// `NotRun` with any reason but `NoOwner` and `Leaving` means that it never began on the rack
    /// and never will: a `Submit` of the same target that comes later is refused. It is said only
    /// after every worker of the rack has been claimed or is surely free of the request.
    Resume(Request),
    /// A caller has withdrawn its request.
    Cancel {
        /// The request.
        request: request::Id,
    },
    /// The worker has begun an attempt.
    Started {
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: Name,
    },
    /// The worker says that it did not begin an attempt.
    Refused {
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: Name,
        /// Why.
        refusal: Refusal,
    },
    /// An attempt has ended.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: Name,
        /// How.
        outcome: Outcome,
    },
    /// Whether an attempt began or still runs can't be known now.
    Lost {
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: Name,
    },
    /// A worker reports what its tasks use.
    Report(worker::Report),
    /// A probe has come back.
    Probed {
        /// The worker.
        worker: Name,
        /// Whether the probe succeeded.
        healthy: bool,
    },
    /// Another owner's summary.
    Peer(Summary),
    /// A job's home wants places for members of a gang.
    Reserve(gang::HoldRequest),
    /// The gang has all its places: start the members held here.
    Commit {
        /// The gang.
        gang: request::Id,
    },
    /// The gang gives its places here back.
    Release {
        /// The gang.
        gang: request::Id,
    },
    /// Time has passed.
    Tick,
}
