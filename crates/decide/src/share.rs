//! Summaries of racks that servers send each other.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::size::Size;

/// What one team has running, waiting and allotted at one owner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// The total size of what runs there.
    pub running: Size,
    /// The total size of what waits there.
    pub waiting: Size,
    /// The sum of the allotments of the owner's racks.
    pub allotted: Size,
}

/// A summary of all racks of one owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The owner.
    pub server: Name,
    /// Increases with each summary of the owner.
    pub sequence: u64,
    /// The racks on which the owner places requests.
    pub racks: Vec<Name>,
    /// The total capacity of the workers.
    pub capacity: Size,
    /// The total free capacity of the workers.
    pub free: Size,
    /// The largest free capacity of a single worker.
    pub largest: Size,
    /// The largest capacity of a single worker.
    pub ceiling: Size,
    /// The expected wait of a new request.
    pub wait: Duration,
    /// What each team has here. Teams with nothing are left out.
    pub teams: BTreeMap<Name, Tally>,
}
