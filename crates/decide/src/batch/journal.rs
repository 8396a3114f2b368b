//! The row changes that are still to be written to the store, and the actions that wait for them.

use std::collections::BTreeMap;

use super::JobId;
use super::StepId;
use super::record::{BlockId, Row};

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

type Rows = BTreeMap<Row, Vec<Deferred>>;

/// The rows that have changed since the last write and those in the current write. A row can be in
/// both.
#[derive(Debug, Default)]
pub(super) struct Journal {
    waiting: Rows,
    writing: Rows,
}

impl Journal {
    /// Records that a row has changed, and the action to carry out once the change is stored.
    pub(super) fn record(&mut self, row: Row, deferred: Option<Deferred>) {
        self.waiting.entry(row).or_default().extend(deferred);
    }

    /// Lets the actions that wait for blocks of a job wait for the job's own row instead.
    pub(super) fn fold_blocks(&mut self, job: JobId) {
        let first = |job| BlockId {
            step: StepId { job, step: 0 },
            number: 0,
        };
        let mut rest = self.waiting.split_off(&Row::Block(first(job)));
        if let Some(next) = job.0.checked_add(1) {
            let mut behind = rest.split_off(&Row::Block(first(JobId(next))));
            self.waiting.append(&mut behind);
        }
        let deferred = rest.into_values().flatten();
        self.waiting
            .entry(Row::Job(job))
            .or_default()
            .extend(deferred);
    }

    /// Tells whether a write is in progress.
    pub(super) fn is_writing(&self) -> bool {
        !self.writing.is_empty()
    }

    /// Returns how many rows are in the current write.
    pub(super) fn writing(&self) -> usize {
        self.writing.len()
    }

    /// Returns how many rows wait for a write.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the first row that waits for a write.
    pub(super) fn first(&self) -> Option<&Row> {
        self.waiting.keys().next()
    }

    /// Moves the first row into the current write.
    pub(super) fn begin_first(&mut self) {
        if let Some((row, deferred)) = self.waiting.pop_first() {
            self.writing.insert(row, deferred);
        }
    }

    /// Removes the first row, which can't be written, and returns the actions that waited for it.
    pub(super) fn give_up_first(&mut self) -> Vec<Deferred> {
        let first = self.waiting.pop_first();
        first.map(|(_, deferred)| deferred).unwrap_or_default()
    }

    /// Ends the current write and returns its rows with the actions that waited for it.
    pub(super) fn written(&mut self) -> BTreeMap<Row, Vec<Deferred>> {
        std::mem::take(&mut self.writing)
    }

    /// Lets the rows of the current write wait again.
    pub(super) fn requeue(&mut self) {
        for (row, mut deferred) in self.written() {
            let waiting = self.waiting.entry(row).or_default();
            deferred.append(waiting);
            *waiting = deferred;
        }
    }

    /// Tells whether a row has changes that are not part of a write yet.
    pub(super) fn is_waiting(&self, row: &Row) -> bool {
        self.waiting.contains_key(row)
    }
}
