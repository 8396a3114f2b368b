//! What a home knows of one job beyond its row.

use std::collections::{BTreeMap, BTreeSet};

use super::gang::Reserving;
use super::{Placement, State};
use crate::name::Name;
use crate::request;
use crate::time::Time;

/// A job at its home.
#[derive(Debug, Default)]
pub(super) struct Slot {
    /// The revision of the row; 0 if there is none.
    pub(super) row: u64,
    /// The state, ahead of the row while `dirty`.
    pub(super) state: State,
    /// Whether the state differs from the row.
    pub(super) dirty: bool,
    /// Whether a write of the row is under way.
    pub(super) writing: bool,
    /// Tasks whose place is not written yet; they must not be sent.
    pub(super) unwritten: BTreeSet<u32>,
    /// Tasks whose place is in the write that is under way.
    pub(super) in_write: BTreeSet<u32>,
    /// Tasks that have surely never been sent to their rack.
    pub(super) fresh: BTreeSet<u32>,
    /// When a task may be sent or tried again, by index.
    pub(super) not_before: BTreeMap<u32, Time>,
    /// When a task was last sent, by index.
    pub(super) sent_at: BTreeMap<u32, Time>,
    /// Refusals of a task since it last ran, by index.
    pub(super) refusals: BTreeMap<u32, u32>,
    /// Tasks that were told to stop.
    pub(super) cancelled: BTreeSet<u32>,
    /// The places that a gang is collecting.
    pub(super) reserving: Option<Reserving>,
    /// Whether a gang is being undone.
    pub(super) undoing: bool,
    /// Rounds of a gang that found too few places, since one that did.
    pub(super) shortfalls: u32,
    /// When the next round of a gang may begin.
    pub(super) round_after: Time,
    /// Whether the document is gone.
    pub(super) deleted: bool,
}

impl Slot {
    /// Makes a slot with a row as read.
    pub(super) fn new(row: u64, state: State) -> Slot {
        Slot {
            row,
            state,
            ..Slot::default()
        }
    }

    /// Returns the id of an active task.
    pub(super) fn id(&self, job: &Name, index: u32) -> Option<request::Id> {
        let sent = self.state.active.get(&index)?;
        Some(self.state.task_id(job, index, sent.number))
    }

    /// Makes a task active at a rack; it is sent once that is written.
    pub(super) fn place(&mut self, index: u32, number: u32, failures: u32, rack: Name) {
        let sent = Placement {
            number,
            failures,
            rack,
        };
        self.state.active.insert(index, sent);
        self.state.waiting.remove(&index);
        self.unwritten.insert(index);
        self.fresh.insert(index);
        self.not_before.remove(&index);
        self.dirty = true;
    }

    /// Forgets that a task is active.
    pub(super) fn remove(&mut self, index: u32) -> Option<Placement> {
        self.unwritten.remove(&index);
        self.in_write.remove(&index);
        self.fresh.remove(&index);
        self.not_before.remove(&index);
        self.cancelled.remove(&index);
        self.dirty = true;
        self.state.active.remove(&index)
    }

    /// Tells whether a task's place is not in the row yet.
    pub(super) fn is_unwritten(&self, index: u32) -> bool {
        self.unwritten.contains(&index) || self.in_write.contains(&index)
    }

    /// Tells whether nothing is to be done for the job.
    pub(super) fn is_idle(&self) -> bool {
        let done = self.state.finished && self.state.active.is_empty();
        done && !self.dirty && !self.deleted
    }
}
