//! Writes of job rows, with many rows in one transaction and one transaction at a time.

use std::ops::Bound;
use std::time::Duration;

use super::home::Home;
use super::{Action, Row, WriteResult};
use crate::name::Name;
use crate::time::Time;

/// The minimum time between two writes of one home.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum backoff while the table is down or slow.
const MAX_WRITE_BACKOFF: Duration = Duration::from_secs(10);

/// The maximum number of rows in one transaction.
const MAX_ROWS_PER_WRITE: usize = 64;

/// The state of the writes.
#[derive(Debug, Default)]
pub(super) struct Store {
    last_number: u64,
    next_write: Time,
    failures: u32,
    in_flight: Option<Transaction>,
    /// The last job in the latest write; the next write starts after it.
    cursor: Option<Name>,
}

/// A write in flight.
#[derive(Debug)]
struct Transaction {
    number: u64,
    rows: Vec<(Name, bool)>,
}

impl Home {
    /// Writes changed rows if no write is in flight and the next one is due.
    pub(super) fn flush(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.store.in_flight.is_some() || now < self.store.next_write {
            return;
        }
        let jobs = self.dirty_jobs();
        if jobs.is_empty() {
            return;
        }
        self.store.cursor = jobs.last().cloned();
        let rows: Vec<Row> = jobs
            .iter()
            .filter_map(|job| self.prepare_row(job))
            .collect();
        self.store.last_number += 1;
        self.store.next_write = now.after(MIN_WRITE_INTERVAL);
        self.store.in_flight = Some(Transaction {
            number: self.store.last_number,
            rows: rows
                .iter()
                .map(|row| (row.job.clone(), row.state.is_none()))
                .collect(),
        });
        actions.push(Action::Write {
            write: self.store.last_number,
            rows,
        });
    }

    /// Returns the jobs to write next. Starts after the last job of the previous write, so that
    /// every job gets its turn.
    fn dirty_jobs(&self) -> Vec<Name> {
        let after = match &self.store.cursor {
            Some(job) => Bound::Excluded(job.clone()),
            None => Bound::Unbounded,
        };
        let rest = self.trackers.range((after.clone(), Bound::Unbounded));
        let wrapped = match after {
            Bound::Excluded(job) => Some(self.trackers.range(..=job)),
            Bound::Included(_) | Bound::Unbounded => None,
        };
        rest.chain(wrapped.into_iter().flatten())
            .filter(|(job, tracker)| tracker.dirty && !tracker.writing && !self.is_loading(job))
            .map(|(job, _)| job.clone())
            .take(MAX_ROWS_PER_WRITE)
            .collect()
    }

    fn prepare_row(&mut self, job: &Name) -> Option<Row> {
        let incarnation = self.setup.incarnation;
        let tracker = self.trackers.get_mut(job)?;
        tracker.dirty = false;
        tracker.writing = true;
        tracker.state.writer = incarnation;
        tracker.being_written = std::mem::take(&mut tracker.unwritten);
        let delete = tracker.deleted && tracker.state.active.is_empty();
        Some(Row {
            job: job.clone(),
            revision: tracker.row_revision,
            state: (!delete).then(|| tracker.state.clone()),
        })
    }

    /// Handles the result of a write.
    pub(super) fn wrote(
        &mut self,
        now: Time,
        write: u64,
        result: &WriteResult,
        actions: &mut Vec<Action>,
    ) {
        let matching = |transaction: &mut Transaction| transaction.number == write;
        let Some(transaction) = self.store.in_flight.take_if(matching) else {
            return;
        };
        self.update_backoff(now, result);
        for (job, deleted) in transaction.rows {
            match result {
                WriteResult::Written { revision } => {
                    self.written(now, &job, *revision, deleted, actions);
                }
                WriteResult::Conflict { job: other } if *other == job => self.reload(now, &job),
                WriteResult::Conflict { .. } | WriteResult::Unwritten => self.unwritten(&job),
                WriteResult::Unknown => self.reload(now, &job),
            }
        }
    }

    /// Delays the next write with exponential backoff and full jitter while the table fails.
    fn update_backoff(&mut self, now: Time, result: &WriteResult) {
        match result {
            WriteResult::Written { .. } | WriteResult::Conflict { .. } => self.store.failures = 0,
            WriteResult::Unwritten | WriteResult::Unknown => self.store.failures += 1,
        }
        if self.store.failures > 0 {
            let pause = self.backoff(MIN_WRITE_INTERVAL, MAX_WRITE_BACKOFF, self.store.failures);
            self.store.next_write = now.after(MIN_WRITE_INTERVAL + pause);
        }
    }

    fn written(
        &mut self,
        now: Time,
        job: &Name,
        revision: u64,
        deleted: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracker) = self.trackers.get_mut(job) else {
            return;
        };
        if deleted {
            self.trackers.remove(job);
            return;
        }
        tracker.row_revision = revision;
        tracker.writing = false;
        tracker.being_written.clear();
        self.commit(now, job, actions);
        self.advance(now, job, actions);
    }

    fn unwritten(&mut self, job: &Name) {
        if let Some(tracker) = self.trackers.get_mut(job) {
            tracker.writing = false;
            tracker.dirty = true;
            tracker.unwritten.append(&mut tracker.being_written);
        }
    }
}
