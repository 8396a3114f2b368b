//! All resources as of one revision.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::Change;
use crate::name::Name;
use crate::resource::{Key, Kind, Queue, Resource, Team};

/// A resource with the revision that last wrote it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The revision of the change that last wrote the resource.
    pub revision: u64,
    /// The resource.
    pub resource: Resource,
}

/// All resources as of one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The revision of the last change that was applied.
    pub revision: u64,
    /// The resources by kind and name.
    pub entries: BTreeMap<Kind, BTreeMap<Name, Entry>>,
}

/// Error: changes are missing between a snapshot and a change to apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("changes after revision {have} are missing; read them from the table")]
pub struct Gap {
    /// The revision of the snapshot.
    pub have: u64,
}

impl Snapshot {
    /// Applies a change and returns whether it is new.
    ///
    /// A change that was applied before is ignored, so the snapshot never goes back.
    ///
    /// # Errors
    ///
    /// Returns [`Gap`] if earlier changes are missing.
    pub fn apply(&mut self, change: &Change) -> Result<bool, Gap> {
        if change.revision <= self.revision {
            return Ok(false);
        }
        if change.revision > self.revision + 1 {
            return Err(Gap {
                have: self.revision,
            });
        }
        self.revision = change.revision;
        let kind = self.entries.entry(change.kind).or_default();
        match &change.resource {
            Some(resource) => {
                let entry = Entry {
                    revision: change.revision,
                    resource: resource.clone(),
                };
                // The resource may come from a row that was read later and is newer than this
                // change.
                let known = kind.get(&change.name).map_or(0, |known| known.revision);
                if known <= change.revision {
                    kind.insert(change.name.clone(), entry);
                }
            }
            None => {
                kind.remove(&change.name);
            }
        }
        Ok(true)
    }

    /// Adds a resource that was read from its row, unless the snapshot has a newer one.
    pub fn insert(&mut self, entry: Entry) {
        let kind = self.entries.entry(entry.resource.kind()).or_default();
        let name = entry.resource.name().clone();
        let known = kind.get(&name).map_or(0, |known| known.revision);
        if entry.revision > known {
            kind.insert(name, entry);
        }
    }

    /// Returns a resource.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Entry> {
        self.entries.get(&kind)?.get(name)
    }

    /// Returns a queue.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        match &self.get(Kind::Queue, name)?.resource {
            Resource::Queue(queue) => Some(queue),
            _ => None,
        }
    }

    /// Returns a key, withdrawn or not.
    pub fn key(&self, name: &str) -> Option<&Key> {
        match &self.get(Kind::Key, name)?.resource {
            Resource::Key(key) => Some(key),
            _ => None,
        }
    }

    /// Returns the names of the drained workers, which get no new work.
    pub fn drained(&self) -> BTreeSet<Name> {
        let drains = self.entries.get(&Kind::Drain);
        drains
            .into_iter()
            .flat_map(BTreeMap::keys)
            .cloned()
            .collect()
    }

    /// Returns all teams in order of name.
    pub fn teams(&self) -> Vec<Team> {
        let entries = self
            .entries
            .get(&Kind::Team)
            .into_iter()
            .flat_map(BTreeMap::values);
        entries
            .filter_map(|entry| match &entry.resource {
                Resource::Team(team) => Some(team.clone()),
                _ => None,
            })
            .collect()
    }
}
