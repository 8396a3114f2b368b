//! The job changes that are still to be written to the store, and the actions that wait for them.

use std::collections::BTreeMap;

use super::JobId;

/// An action that is carried out once a change is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Deferred {
    /// Admits the job: it becomes visible and its tasks may start.
    Admit,
    /// Answers the call with this number.
    Answer(u64),
    /// Allows an end reported by a worker to be acknowledged.
    End { worker: usize, number: u64 },
}

/// The jobs that have changed since the last write and those in the current write. A job can be in
/// both.
#[derive(Debug, Default)]
pub(super) struct Journal {
    waiting: BTreeMap<JobId, Vec<Deferred>>,
    writing: Option<BTreeMap<JobId, Vec<Deferred>>>,
}

impl Journal {
    /// Records that a job has changed, and the action to carry out once the change is stored.
    pub(super) fn record(&mut self, job: JobId, deferred: Option<Deferred>) {
        self.waiting.entry(job).or_default().extend(deferred);
    }

    /// Moves up to `limit` jobs into the next write. Returns `None` while another write is in
    /// progress.
    pub(super) fn take(&mut self, limit: usize) -> Option<Vec<JobId>> {
        if self.writing.is_some() {
            return None;
        }
        let rest = match self.waiting.keys().nth(limit).copied() {
            Some(key) => self.waiting.split_off(&key),
            None => BTreeMap::new(),
        };
        let batch = std::mem::replace(&mut self.waiting, rest);
        let jobs = batch.keys().copied().collect();
        self.writing = Some(batch);
        Some(jobs)
    }

    /// Ends the current write and returns its jobs with the actions that waited for it.
    pub(super) fn written(&mut self) -> BTreeMap<JobId, Vec<Deferred>> {
        self.writing.take().unwrap_or_default()
    }

    /// Tells whether a job has changes that are not part of a write yet.
    pub(super) fn is_waiting(&self, job: JobId) -> bool {
        self.waiting.contains_key(&job)
    }
}
