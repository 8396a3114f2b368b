//! Distribution of team limits over racks.
//!
//! Each rack holds a part of a team's upper limit, its allotment. The allotments of all racks never
//! add up to more than the limit, so an owner can start work within them without asking anyone.

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
    /// The upper limit. `held` exceeds it only after the limit was lowered.
    pub limit: Size,
    /// The sum of what all racks hold.
    pub held: Size,
    /// Whether a rack recently got less than it asked for. Racks then give back what they don't
    /// use.
    #[serde(default)]
    pub pressed: bool,
}

impl Limit {
    /// Returns the part of the limit that no rack holds.
    pub fn free(&self) -> Size {
        self.limit.minus(&self.held)
    }

    /// Returns the row after a demand that was met in full (`met`) or only in part.
    ///
    /// `pressed` is cleared once a quarter of the limit is free.
    #[must_use]
    fn after_demand(self, met: bool) -> Limit {
        let quarter = Size {
            millicores: self.limit.millicores / 4,
            memory_mib: self.limit.memory_mib / 4,
            accelerators: self.limit.accelerators / 4,
            slots: self.limit.slots / 4,
        };
        let quarter_is_free = quarter.fits(&self.free());
        Limit {
            pressed: !met || (self.pressed && !quarter_is_free),
            ..self
        }
    }

    /// Tells whether the racks hold no more than the limit.
    pub fn is_respected(&self) -> bool {
        self.held.fits(&self.limit)
    }
}

/// New rows of limits and racks, written in one transaction that checks the revision of each row.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The rows of limits by team, each with the revision that the stored row must have.
    pub limits: BTreeMap<Name, Stored<Limit>>,
    /// The rows of racks by name, each with the revision that the stored row must have.
    pub racks: BTreeMap<Name, Stored<Rack>>,
}

impl Plan {
    /// Tells whether the plan changes no row.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.racks.is_empty()
    }
}
