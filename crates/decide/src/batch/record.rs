//! The stored form of jobs and workers.

use serde::{Deserialize, Serialize};

use crate::name::Name;

use super::fleet::Entry;
use super::spec::Spec;
use super::{JobId, State};

/// One write to the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The jobs that have changed; `None` removes the record.
    pub jobs: Vec<(JobId, Option<Record>)>,
    /// All workers on which tasks may run, if they have changed.
    pub roster: Option<Vec<Entry>>,
}

/// The state that earlier schedulers have stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// All jobs.
    pub jobs: Vec<(JobId, Record)>,
    /// All workers on which tasks may run.
    pub roster: Vec<Entry>,
}

/// A job as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The queue.
    pub queue: Name,
    /// The client account, if the queue requires a key.
    pub account: Option<Name>,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Its state; a change from `Queued` to `Running` is not always stored.
    pub state: State,
    /// Its specification; dropped when the state is final.
    pub spec: Option<Spec>,
    /// The tasks of each step.
    pub steps: Vec<Vec<Task>>,
}

/// The stored state of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Whether it is done.
    pub done: bool,
    /// How many of its runs have failed.
    pub failures: u32,
    /// The runs whose end was counted. A worker reports an end until it is acknowledged, so a
    /// successor may see it again, and not always in the order of the runs.
    pub ended: Vec<u64>,
    /// Its newest checkpoint when a run last ended.
    pub checkpoint: Option<Name>,
}
