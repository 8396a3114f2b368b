//! Writes of rows: many jobs in one transaction, one transaction at a time.

use std::ops::Bound;
use std::time::Duration;

use super::home::Home;
use super::{Action, Fate, Row};
use crate::name::Name;
use crate::time::Time;

/// The least time between two writes of one home.
const INTERVAL: Duration = Duration::from_millis(250);

/// The longest pause between two tries while the table is down or slow.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// Rows in one transaction.
const ROWS: usize = 64;

/// What is known of the writes.
#[derive(Debug, Default)]
pub(super) struct Store {
    last: u64,
    due: Time,
    failures: u32,
    under_way: Option<Writing>,
    /// The last job that was written; the next write begins after it.
    cursor: Option<Name>,
}

/// A write that is under way.
#[derive(Debug)]
struct Writing {
    number: u64,
    rows: Vec<(Name, bool)>,
}

impl Home {
    /// Writes the rows that have changed, if it is time to.
    pub(super) fn flush(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.store.under_way.is_some() || now < self.store.due {
            return;
        }
        let jobs = self.dirty();
        if jobs.is_empty() {
            return;
        }
        self.store.cursor = jobs.last().cloned();
        let rows: Vec<Row> = jobs.iter().filter_map(|job| self.row(job)).collect();
        self.store.last += 1;
        self.store.due = now.after(INTERVAL);
        self.store.under_way = Some(Writing {
            number: self.store.last,
            rows: rows
                .iter()
                .map(|row| (row.job.clone(), row.state.is_none()))
                .collect(),
        });
        actions.push(Action::Write {
            write: self.store.last,
            rows,
        });
    }

    /// Returns jobs that have to be written, going on where the last write ended.
    fn dirty(&self) -> Vec<Name> {
        let after = match &self.store.cursor {
            Some(job) => Bound::Excluded(job.clone()),
            None => Bound::Unbounded,
        };
        let rest = self.slots.range((after.clone(), Bound::Unbounded));
        let wrapped = match after {
            Bound::Excluded(job) => Some(self.slots.range(..=job)),
            Bound::Included(_) | Bound::Unbounded => None,
        };
        rest.chain(wrapped.into_iter().flatten())
            .filter(|(job, slot)| slot.dirty && !slot.writing && !self.is_loading(job))
            .map(|(job, _)| job.clone())
            .take(ROWS)
            .collect()
    }

    fn row(&mut self, job: &Name) -> Option<Row> {
        let incarnation = self.setup.incarnation;
        let slot = self.slots.get_mut(job)?;
        slot.dirty = false;
        slot.writing = true;
        slot.state.writer = incarnation;
        slot.in_write = std::mem::take(&mut slot.unwritten);
        let gone = slot.deleted && slot.state.active.is_empty();
        Some(Row {
            job: job.clone(),
            revision: slot.row,
            state: (!gone).then(|| slot.state.clone()),
        })
    }

    /// Takes what came of a write.
    pub(super) fn wrote(&mut self, now: Time, write: u64, fate: &Fate, actions: &mut Vec<Action>) {
        let matching = |writing: &mut Writing| writing.number == write;
        let Some(writing) = self.store.under_way.take_if(matching) else {
            return;
        };
        self.pace(now, fate);
        for (job, deleted) in writing.rows {
            match fate {
                Fate::Written { revision } => self.written(now, &job, *revision, deleted, actions),
                Fate::Conflict { job: other } if *other == job => self.reload(now, &job),
                Fate::Conflict { .. } | Fate::Unwritten => self.unwritten(&job),
                Fate::Unknown => self.reload(now, &job),
            }
        }
    }

    /// Waits longer and longer, with full jitter, while the table fails.
    fn pace(&mut self, now: Time, fate: &Fate) {
        match fate {
            Fate::Written { .. } | Fate::Conflict { .. } => self.store.failures = 0,
            Fate::Unwritten | Fate::Unknown => self.store.failures += 1,
        }
        if self.store.failures > 0 {
            let pause = self.pause(INTERVAL, LONGEST_PAUSE, self.store.failures);
            self.store.due = now.after(INTERVAL + pause);
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
        let Some(slot) = self.slots.get_mut(job) else {
            return;
        };
        if deleted {
            self.slots.remove(job);
            return;
        }
        slot.row = revision;
        slot.writing = false;
        slot.in_write.clear();
        self.commit(now, job, actions);
        self.advance(now, job, actions);
    }

    fn unwritten(&mut self, job: &Name) {
        if let Some(slot) = self.slots.get_mut(job) {
            slot.writing = false;
            slot.dirty = true;
            slot.unwritten.append(&mut slot.in_write);
        }
    }
}
