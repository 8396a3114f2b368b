//! Changes of jobs on their way into the store, and what waits for them.

use std::collections::BTreeMap;

use super::JobId;

/// What is done once a change is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Deferred {
    /// The job becomes known and its tasks may start.
    Admit,
    /// A client's call is answered.
    Answer(u64),
    /// An end of a worker may be acknowledged.
    End { worker: usize, number: u64 },
}

/// The changes, each job at most once in each of the two stages.
#[derive(Debug, Default)]
pub(super) struct Journal {
    waiting: BTreeMap<JobId, Vec<Deferred>>,
    writing: Option<BTreeMap<JobId, Vec<Deferred>>>,
}

impl Journal {
    /// Notes that a job has changed.
    pub(super) fn note(&mut self, job: JobId, deferred: Option<Deferred>) {
        self.waiting.entry(job).or_default().extend(deferred);
    }

    /// Moves up to `most` jobs into the next write; none while one is under way.
    pub(super) fn take(&mut self, most: usize) -> Option<Vec<JobId>> {
        if self.writing.is_some() {
            return None;
        }
        let rest = match self.waiting.keys().nth(most).copied() {
            Some(key) => self.waiting.split_off(&key),
            None => BTreeMap::new(),
        };
        let batch = std::mem::replace(&mut self.waiting, rest);
        let jobs = batch.keys().copied().collect();
        self.writing = Some(batch);
        Some(jobs)
    }

    /// Returns what waited for the write that is under way.
    pub(super) fn written(&mut self) -> BTreeMap<JobId, Vec<Deferred>> {
        self.writing.take().unwrap_or_default()
    }

    /// Tells whether a job has changed since the write that is under way began.
    pub(super) fn is_waiting(&self, job: JobId) -> bool {
        self.waiting.contains_key(&job)
    }
}
