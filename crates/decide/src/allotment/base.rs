//! The part of each team's limit that every rack holds without a demand.

use std::collections::{BTreeMap, BTreeSet};

use crate::name::Name;
use crate::size::Size;

/// The highest number of base parts over all racks and teams; each is an entry in a rack's row.
const MAX_ENTRIES: usize = 256;

/// The base parts: half of each limit, divided evenly among all racks.
///
/// With a base part on each rack, a team's first request there needs no transaction, and work still
/// starts on every rack while the table is down. There are no base parts of limits that are too
/// small to divide or under pressure, and none at all in large fleets, where they would make the
/// rows of racks too long.
#[derive(Debug, Default)]
pub(super) struct Base {
    parts: BTreeMap<Name, Size>,
    pressed: BTreeSet<Name>,
}

impl Base {
    /// Computes the base parts from the number of racks and the limits of all teams.
    pub(super) fn set_fleet(&mut self, racks: usize, limits: &BTreeMap<Name, Size>) {
        self.parts.clear();
        let fits = racks > 0 && racks * limits.len() <= MAX_ENTRIES;
        if !fits {
            return;
        }
        let divisor = 2 * racks as u64;
        for (team, limit) in limits {
            if let Some(part) = part(limit, divisor) {
                self.parts.insert(team.clone(), part);
            }
        }
    }

    /// Sets whether a team's limit is under pressure.
    pub(super) fn set_pressed(&mut self, team: &Name, pressed: bool) {
        if pressed {
            self.pressed.insert(team.clone());
        } else {
            self.pressed.remove(team);
        }
    }

    /// Returns the base part of a team, which is zero under pressure.
    pub(super) fn part(&self, team: &Name) -> Size {
        if self.pressed.contains(team) {
            return Size::ZERO;
        }
        self.parts.get(team).copied().unwrap_or_default()
    }

    /// Returns the teams that have a base part.
    pub(super) fn teams(&self) -> impl Iterator<Item = &Name> {
        self.parts
            .keys()
            .filter(|team| !self.pressed.contains(*team))
    }
}

/// Divides a limit by `divisor`; returns `None` if this would round cores, memory or slots to zero.
fn part(limit: &Size, divisor: u64) -> Option<Size> {
    let part = Size {
        millicores: limit.millicores / divisor,
        memory_mib: limit.memory_mib / divisor,
        accelerators: limit.accelerators / divisor,
        slots: limit.slots / divisor,
    };
    let rounds_to_zero = |whole: u64, part: u64| whole > 0 && part == 0;
    let too_small = rounds_to_zero(limit.millicores, part.millicores)
        || rounds_to_zero(limit.memory_mib, part.memory_mib)
        || rounds_to_zero(limit.slots, part.slots);
    (!too_small && !part.is_zero()).then_some(part)
}
