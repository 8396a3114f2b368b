//! Racks and what an owner holds of them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::size::Size;

/// The parts of the upper limits of teams that a rack holds, by team.
///
/// Over all racks they never exceed a team's limit.
pub type Allotments = BTreeMap<Name, Size>;

/// A rack that this process has come to own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The rack.
    pub rack: Name,
    /// The epoch of the ownership.
    pub epoch: u64,
    /// What the rack's row holds of each team's limit.
    pub allotments: Allotments,
}

/// A rack whose allotments have changed in the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allotted {
    /// The rack.
    pub rack: Name,
    /// The epoch under which the row was written.
    pub epoch: u64,
    /// All that the rack now holds.
    pub allotments: Allotments,
}

/// A wish to change what a rack holds of a team's limit.
///
/// From the moment that a smaller amount is wanted the rack uses no more than that, since the change
/// may take effect though its answer is lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The rack.
    pub rack: Name,
    /// The team.
    pub team: Name,
    /// What the rack wants to hold; never below what runs there for the team.
    pub want: Size,
}
