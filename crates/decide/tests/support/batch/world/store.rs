//! The store, which outlives the leaders.

use std::collections::BTreeMap;

use azurepath_decide::batch::JobId;
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::record::{BlockId, Change, Progress, Record, Stored};
use azurepath_decide::name::Name;

/// The rows that the leaders have written.
#[derive(Default)]
pub(super) struct Store {
    jobs: BTreeMap<JobId, Record>,
    blocks: BTreeMap<BlockId, Progress>,
    roster: BTreeMap<Name, Entry>,
}

impl Store {
    pub(super) fn write(&mut self, batch: Vec<Change>) {
        for change in batch {
            match change {
                Change::Worker(id, entry) => put(&mut self.roster, id, entry),
                Change::Job(id, record) => put(&mut self.jobs, id, record),
                Change::Block(id, progress) => put(&mut self.blocks, id, progress),
            }
        }
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
        matches!(self.jobs.get(&id), Some(Record::Ended(_)))
    }
}

fn put<K: Ord, V>(rows: &mut BTreeMap<K, V>, key: K, value: Option<V>) {
    match value {
        Some(value) => rows.insert(key, value),
        None => rows.remove(&key),
    };
}
