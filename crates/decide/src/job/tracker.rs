//! In-memory state of a job at its home.

use std::collections::{BTreeMap, BTreeSet};

use super::gang::Reservation;
use super::{Placement, State};
use crate::name::Name;
use crate::request;
use crate::time::Time;

/// The state of a job and the progress that is not in its row.
#[derive(Debug, Default)]
pub(super) struct Tracker {
    /// The revision of the row; 0 if there is none.
    pub(super) row_revision: u64,
    /// The current state; newer than the row while `dirty`.
    pub(super) state: State,
    /// Whether the state differs from the row.
    pub(super) dirty: bool,
    /// Whether a write of the row is in flight.
    pub(super) writing: bool,
    /// Tasks whose placement is not stored yet; they must not be sent.
    pub(super) unwritten: BTreeSet<u32>,
    /// Tasks whose placement is in the write in flight.
    pub(super) being_written: BTreeSet<u32>,
    /// Tasks that were never sent to their rack.
    pub(super) never_sent: BTreeSet<u32>,
    /// The earliest time at which a task may be sent or retried, by index.
    pub(super) not_before: BTreeMap<u32, Time>,
    /// When a task was last sent, by index.
    pub(super) sent_at: BTreeMap<u32, Time>,
    /// The number of refusals of a task since it last ran, by index.
    pub(super) refusals: BTreeMap<u32, u32>,
    /// Tasks whose owner was asked to stop them.
    pub(super) cancelled: BTreeSet<u32>,
    /// The places that are being reserved for a gang.
    pub(super) reservation: Option<Reservation>,
    /// Whether the members of a gang are being stopped before the next round.
    pub(super) aborting: bool,
    /// The number of failed reservation rounds since the last successful one.
    pub(super) failed_rounds: u32,
    /// The earliest start of the next reservation round of a gang.
    pub(super) next_round: Time,
    /// Whether the document has been deleted.
    pub(super) deleted: bool,
}

impl Tracker {
    /// Creates a tracker from a row as read.
    pub(super) fn new(row_revision: u64, state: State) -> Tracker {
        Tracker {
            row_revision,
            state,
            ..Tracker::default()
        }
    }

    /// Returns the id of an active task.
    pub(super) fn id(&self, job: &Name, index: u32) -> Option<request::Id> {
        let placement = self.state.active.get(&index)?;
        Some(self.state.task_id(job, index, placement.number))
    }

    /// Places a task on a rack. The task is sent once the placement is stored.
    pub(super) fn place(&mut self, index: u32, number: u32, failures: u32, rack: Name) {
        let placement = Placement {
            number,
            failures,
            rack,
        };
        self.state.active.insert(index, placement);
        self.state.waiting.remove(&index);
        self.unwritten.insert(index);
        self.never_sent.insert(index);
        self.not_before.remove(&index);
        self.dirty = true;
    }

    /// Removes a task from the active ones and returns its placement.
    pub(super) fn remove(&mut self, index: u32) -> Option<Placement> {
        self.unwritten.remove(&index);
        self.being_written.remove(&index);
        self.never_sent.remove(&index);
        self.not_before.remove(&index);
        self.cancelled.remove(&index);
        self.dirty = true;
        self.state.active.remove(&index)
    }

    /// Tells whether a task's placement is not stored yet.
    pub(super) fn is_unwritten(&self, index: u32) -> bool {
        self.unwritten.contains(&index) || self.being_written.contains(&index)
    }

    /// Tells whether there is nothing to do for the job.
    pub(super) fn is_idle(&self) -> bool {
        let done = self.state.finished && self.state.active.is_empty();
        done && !self.dirty && !self.deleted
    }
}
