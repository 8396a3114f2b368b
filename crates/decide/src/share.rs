//! What owners tell each other about their racks.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::size::Size;

/// What one team has running and waiting at one owner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// What runs there for the team.
    pub running: Size,
    /// What waits there for the team.
    pub waiting: Size,
    /// What the owner's racks hold of the team's limit.
    pub allotted: Size,
}

/// A summary of all racks of one owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The owner.
    pub server: Name,
    /// Grows with each summary of the owner.
    pub sequence: u64,
    /// The racks that the owner places on.
    pub racks: Vec<Name>,
    /// All that the workers hold.
    pub capacity: Size,
    /// What is free over all workers.
    pub free: Size,
    /// The largest room on one worker.
    pub largest: Size,
    /// The largest worker.
    pub ceiling: Size,
    /// The wait that a new request would expect.
    pub wait: Duration,
    /// By team; teams with nothing are left out.
    pub teams: BTreeMap<Name, Tally>,
}
