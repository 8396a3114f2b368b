//! What each rack holds of each team's limit without being asked for it.

use std::collections::{BTreeMap, BTreeSet};

use crate::name::Name;
use crate::size::Size;

/// The most rows' entries that base parts may take over all racks and teams.
const MOST_ENTRIES: usize = 256;

/// The base parts: half of each limit, spread evenly over all racks.
///
/// With a part on each rack a team's first request there waits for no transaction, and work goes
/// on wherever it is routed while the table is down. Small limits have no base part, nor have
/// limits under pressure, and large fleets have none at all, since the racks' rows would grow.
#[derive(Debug, Default)]
pub(super) struct Base {
    parts: BTreeMap<Name, Size>,
    pressed: BTreeSet<Name>,
}

impl Base {
    /// Takes the number of all racks and the limits of all teams.
    pub(super) fn spread(&mut self, racks: usize, limits: &BTreeMap<Name, Size>) {
        self.parts.clear();
        let fits = racks > 0 && racks * limits.len() <= MOST_ENTRIES;
        if !fits {
            return;
        }
        let by = 2 * racks as u64;
        for (team, limit) in limits {
            if let Some(part) = part(limit, by) {
                self.parts.insert(team.clone(), part);
            }
        }
    }

    /// Takes whether a team's limit is under pressure.
    pub(super) fn press(&mut self, team: &Name, pressed: bool) {
        if pressed {
            self.pressed.insert(team.clone());
        } else {
            self.pressed.remove(team);
        }
    }

    /// Returns the base part of a team.
    pub(super) fn part(&self, team: &Name) -> Size {
        if self.pressed.contains(team) {
            return Size::ZERO;
        }
        self.parts.get(team).copied().unwrap_or_default()
    }

    /// Returns all teams that have a base part.
    pub(super) fn teams(&self) -> impl Iterator<Item = &Name> {
        self.parts
            .keys()
            .filter(|team| !self.pressed.contains(*team))
    }
}

/// Divides a limit; none where a resource that it has would come to nothing.
fn part(limit: &Size, by: u64) -> Option<Size> {
    let part = Size {
        millicores: limit.millicores / by,
        memory_mib: limit.memory_mib / by,
        accelerators: limit.accelerators / by,
        slots: limit.slots / by,
    };
    let lost = |whole: u64, part: u64| whole > 0 && part == 0;
    let small = lost(limit.millicores, part.millicores)
        || lost(limit.memory_mib, part.memory_mib)
        || lost(limit.slots, part.slots);
    (!small && !part.is_zero()).then_some(part)
}
