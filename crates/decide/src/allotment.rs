//! Upper limits of teams as an escrow: each rack holds a part of a team's limit, and the parts never
//! add up to more than the limit.

mod base;
mod escrow;
mod plan;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::ownership::{Rack, Stored};
use crate::size::Size;

pub use escrow::{Action, Escrow, Event, Setup};
pub use plan::plan;

/// The row `limit/TEAM`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// The upper limit; what racks hold may exceed it only after it was lowered.
    pub limit: Size,
    /// What all racks hold together.
    pub held: Size,
    /// Whether a rack has found too little room, so that racks keep nothing that lies idle.
    #[serde(default)]
    pub pressed: bool,
}

impl Limit {
    /// Returns what may still be allotted.
    pub fn free(&self) -> Size {
        self.limit.minus(&self.held)
    }

    /// Returns the row after a demand that was met, or met in part only.
    ///
    /// The pressure ends once a quarter of the limit is free.
    #[must_use]
    fn after_demand(self, met: bool) -> Limit {
        let quarter = Size {
            millicores: self.limit.millicores / 4,
            memory_mib: self.limit.memory_mib / 4,
            accelerators: self.limit.accelerators / 4,
            slots: self.limit.slots / 4,
        };
        let eased = quarter.fits(&self.free());
        Limit {
            pressed: !met || (self.pressed && !eased),
            ..self
        }
    }

    /// Tells whether the racks hold no more than the limit.
    pub fn is_in_force(&self) -> bool {
        self.held.fits(&self.limit)
    }
}

/// New rows of limits and racks, written in one transaction that checks the revision of each.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The limits' rows by team, each with the revision that it must have.
    pub limits: BTreeMap<Name, Stored<Limit>>,
    /// The racks' rows by name, each with the revision that it must have.
    pub racks: BTreeMap<Name, Stored<Rack>>,
}

impl Plan {
    /// Tells whether nothing would change.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.racks.is_empty()
    }
}
