//! The ownership of racks and their allotments.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::size::Size;

/// The parts of the teams' upper limits that a rack holds, by team.
///
/// Over all racks, the allotments of a team never add up to more than its limit.
pub type Allotments = BTreeMap<Name, Size>;

/// A rack that this process now owns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The rack.
    pub rack: Name,
    /// The epoch of the ownership.
    pub epoch: u64,
    /// The allotments in the rack's row.
    pub allotments: Allotments,
}

/// A rack whose allotments have changed in the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allotted {
    /// The rack.
    pub rack: Name,
    /// The epoch under which the row was written.
    pub epoch: u64,
    /// All allotments of the rack.
    pub allotments: Allotments,
}

/// A demand to change a rack's allotment for a team.
///
/// As soon as a rack asks for less, it uses no more than that, because the table may store the
/// change even if its answer is lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The rack.
    pub rack: Name,
    /// The team.
    pub team: Name,
    /// The wanted allotment, which is never below what runs there for the team.
    pub want: Size,
}
