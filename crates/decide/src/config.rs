//! The configuration in force in one process.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

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
    /// The revision of the last change that is in.
    pub revision: u64,
    /// The resources by kind and name.
    pub entries: BTreeMap<Kind, BTreeMap<Name, Entry>>,
}

impl Snapshot {
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

    /// Returns all teams in the order of their names.
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
