//! The log of changes.

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::resource::{Kind, Resource};

/// The row `config/head`: the last change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision of the last change; revisions count from 1 without gaps.
    pub revision: u64,
}

/// One change, the row `change/REVISION`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Its revision.
    pub revision: u64,
    /// Identifies the write, so that its writer knows it again after a lost answer.
    pub write: Name,
    /// The kind of the resource.
    pub kind: Kind,
    /// The name of the resource.
    pub name: Name,
    /// The new resource; none where it was deleted.
    pub resource: Option<Resource>,
}

/// What servers tell each other about changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Delta {
    /// Changes in the order of their revisions.
    Changes(Vec<Change>),
    /// Asks for the changes after a revision.
    After(u64),
}
