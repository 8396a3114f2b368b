//! The store, which outlives the leaders.

use std::collections::BTreeMap;

use azurepath_decide::batch::JobId;
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::record::{BlockId, Change, Progress, Record, Stored};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;

use super::write::Write;

/// The rows that the leaders have written, and who leads.
#[derive(Default)]
pub(super) struct Store {
    jobs: BTreeMap<JobId, Record>,
    blocks: BTreeMap<BlockId, Progress>,
    roster: BTreeMap<Name, Entry>,
    /// The epoch of the last leader that has claimed.
    pub(super) epoch: u64,
    /// The number of its last write.
    number: u64,
    /// When the last claim or write was stored.
    pub(super) changed: Time,
}

impl Store {
    /// Makes the next epoch the leading one.
    pub(super) fn claim(&mut self, now: Time) {
        self.epoch += 1;
        self.number = 0;
        self.changed = now;
    }

    /// Carries out a write unless it was carried out before. Returns a time at which it was sent and
    /// its leader led, or `None` if another leader has claimed.
    pub(super) fn write(&mut self, now: Time, write: &Write) -> Option<Time> {
        if write.epoch != self.epoch {
            return None;
        }
        if write.number <= self.number {
            return Some(write.first_sent);
        }
        self.number = write.number;
        self.changed = now;
        for change in write.batch.clone() {
            match change {
                Change::Worker(id, entry) => put(&mut self.roster, id, entry),
                Change::Job(id, record) => put(&mut self.jobs, id, record),
                Change::Block(id, progress) => put(&mut self.blocks, id, progress),
            }
        }
        Some(write.sent)
    }

    /// Returns what a new leader reads.
    pub(super) fn read(&self) -> Stored {
        Stored {
            jobs: self.jobs.clone().into_iter().collect(),
            blocks: self.blocks.clone().into_iter().collect(),
            roster: self.roster.values().cloned().collect(),
        }
    }

    /// Tells whether a job is stored in a final state.
    pub(super) fn is_final(&self, id: JobId) -> bool {
        matches!(self.jobs.get(&id), Some(Record::Ended(..)))
    }
}

fn put<K: Ord, V>(rows: &mut BTreeMap<K, V>, key: K, value: Option<V>) {
    match value {
        Some(value) => rows.insert(key, value),
        None => rows.remove(&key),
    };
}
