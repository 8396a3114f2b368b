//! What is stored of a job.

use serde::{Deserialize, Serialize};

use crate::name::Name;

use super::fleet::Entry;
use super::spec::Spec;
use super::{JobId, State};

/// One write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Jobs that have changed; `None` in place of a record removes it.
    pub jobs: Vec<(JobId, Option<Record>)>,
    /// All workers on which tasks may run, where they have changed.
    pub roster: Option<Vec<Entry>>,
}

/// What a scheduler's predecessors have stored.
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
    /// The client account, where the queue is not open to all.
    pub account: Option<Name>,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Its state; `Queued` and `Running` are not told apart.
    pub state: State,
    /// What it consists of; dropped when the job has come to its end.
    pub spec: Option<Spec>,
    /// What is known of each step's tasks.
    pub steps: Vec<Vec<Task>>,
}

/// What is stored of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Whether it is done.
    pub done: bool,
    /// How many of its runs have failed.
    pub failures: u32,
    /// The runs whose end is counted: a worker lists an end until it is acknowledged, so a
    /// successor sees it again, and not always in the order of the runs.
    pub ended: Vec<u64>,
    /// Its newest checkpoint when a run last ended.
    pub checkpoint: Option<Name>,
}
