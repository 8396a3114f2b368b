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

/// A changed row that waits for a write.
#[derive(Debug)]
struct Entry {
    /// Its place among all rows, in the order of their first change.
    place: u64,
    deferred: Vec<Deferred>,
}

type Rows = BTreeMap<Row, Entry>;

/// The rows that have changed since the last write and those in the current write. A row can be in
/// both. Rows are written in the order of their first change, so that none waits for ever while the
/// store is slower than the changes.
#[derive(Debug, Default)]
pub(super) struct Journal {
    waiting: Rows,
    /// The waiting rows by place.
    order: BTreeMap<u64, Row>,
    last_place: u64,
    writing: Rows,
}

impl Journal {
    /// Records that a row has changed, and the action to carry out once the change is stored.
    pub(super) fn record(&mut self, row: Row, deferred: impl IntoIterator<Item = Deferred>) {
        if let Some(entry) = self.waiting.get_mut(&row) {
            entry.deferred.extend(deferred);
            return;
        }
        self.last_place += 1;
        let entry = Entry {
            place: self.last_place,
            deferred: deferred.into_iter().collect(),
        };
        self.insert(row, entry);
    }

    fn insert(&mut self, row: Row, entry: Entry) {
        self.order.insert(entry.place, row.clone());
        self.waiting.insert(row, entry);
    }

    fn remove(&mut self, row: &Row) -> Option<Entry> {
        let entry = self.waiting.remove(row)?;
        self.order.remove(&entry.place);
        Some(entry)
    }

    /// Lets the actions that wait for blocks of a job wait for the job's own row instead.
    pub(super) fn fold_blocks(&mut self, job: JobId) {
        let block = |step, number| {
            Row::Block(BlockId {
                step: StepId { job, step },
                number,
            })
        };
        let blocks = self.waiting.range(block(0, 0)..=block(u16::MAX, u32::MAX));
        let blocks: Vec<Row> = blocks.map(|(row, _)| row.clone()).collect();
        let mut deferred = Vec::new();
        for row in blocks {
            deferred.extend(
                self.remove(&row)
                    .into_iter()
                    .flat_map(|entry| entry.deferred),
            );
        }
        self.record(Row::Job(job), deferred);
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
        self.order.values().next()
    }

    /// Moves the first row into the current write.
    pub(super) fn begin_first(&mut self) {
        if let Some(row) = self.first().cloned()
            && let Some(entry) = self.remove(&row)
        {
            self.writing.insert(row, entry);
        }
    }

    /// Removes the first row, which can't be written, and returns the actions that waited for it.
    pub(super) fn give_up_first(&mut self) -> Vec<Deferred> {
        let first = self.first().cloned();
        let entry = first.and_then(|row| self.remove(&row));
        entry.map(|entry| entry.deferred).unwrap_or_default()
    }

    /// Returns the jobs whose rows wait for a write and are not in the current one.
    pub(super) fn unwritten_jobs(&self) -> Vec<JobId> {
        let jobs = Row::Job(JobId(0))..=Row::Job(JobId(u64::MAX));
        let waiting = self.waiting.range(jobs).map(|(row, _)| row);
        let unwritten = waiting.filter(|row| !self.writing.contains_key(row));
        let ids = unwritten.filter_map(|row| match row {
            Row::Job(id) => Some(*id),
            Row::Worker(_) | Row::Block(_) => None,
        });
        ids.collect()
    }

    /// Removes a row that waits for a write and returns the actions that waited for it.
    pub(super) fn withdraw(&mut self, row: &Row) -> Vec<Deferred> {
        let entry = self.remove(row);
        entry.map(|entry| entry.deferred).unwrap_or_default()
    }

    /// Ends the current write and returns its rows with the actions that waited for it.
    pub(super) fn written(&mut self) -> BTreeMap<Row, Vec<Deferred>> {
        let rows = std::mem::take(&mut self.writing).into_iter();
        rows.map(|(row, entry)| (row, entry.deferred)).collect()
    }

    /// Lets the rows of the current write wait again, at their former places.
    pub(super) fn requeue(&mut self) {
        for (row, mut entry) in std::mem::take(&mut self.writing) {
            if let Some(newer) = self.remove(&row) {
                entry.deferred.extend(newer.deferred);
            }
            self.insert(row, entry);
        }
    }

    /// Tells whether a row has changes that are not part of a write yet.
    pub(super) fn is_waiting(&self, row: &Row) -> bool {
        self.waiting.contains_key(row)
    }
}
