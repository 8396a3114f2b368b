//! The log of configuration changes.

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::resource::{Kind, Resource};

/// The row `config/head`: the end of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision of the last change; revisions count from 1 without gaps.
    pub revision: u64,
}

/// One change, the row `change/REVISION`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision of the change.
    pub revision: u64,
    /// The unique id of the write, by which its writer recognizes it if the answer was lost.
    pub write: Name,
    /// The kind of the resource.
    pub kind: Kind,
    /// The name of the resource.
    pub name: Name,
    /// The new resource, or `None` if it was deleted.
    pub resource: Option<Resource>,
}

/// A message between servers about changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Delta {
    /// Changes in order of revision.
    Changes(Vec<Change>),
    /// A request for the changes after a revision.
    After(u64),
}
