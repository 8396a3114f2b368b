//! Steps that no worker can run at present, however much of its capacity is free.
//!
//! Such a step may wait for a worker that never comes, so it must not hold back others: it counts
//! neither as a failed placement nor as backlog, and reserves nothing.

use crate::name::{Map, Name};
use crate::size::Size;
use crate::time::Time;

use super::super::config::Queue;
use super::super::fleet::Worker;
use super::super::spec::Step;
use super::target::suits;

/// The pool and the label of workers.
type Kind = (Name, Option<Name>);

/// What the schedulable workers have room for while nothing runs on them.
#[derive(Debug, Default)]
pub(super) struct Reaches {
    /// The largest amount of each resource that any of a kind has.
    largest: Map<Kind, Size>,
    /// How many tasks of a size fit on those of a kind, at most this many on each.
    rooms: Map<(Kind, Size, u64), u64>,
}

impl Reaches {
    /// Forgets the capacities, since workers may have changed.
    pub(super) fn clear(&mut self) {
        self.largest.clear();
        self.rooms.clear();
    }

    /// Tells whether a step could not be placed even if nothing ran on any worker.
    pub(super) fn is_out_of_reach(
        &mut self,
        workers: &[Worker],
        now: Time,
        queue: &Queue,
        step: &Step,
    ) -> bool {
        let kind = (queue.pool.clone(), step.label.clone());
        let suitable = workers
            .iter()
            .filter(|worker| worker.is_schedulable(now) && suits(worker, queue, step));
        let size = step.booked();
        if step.gang {
            let room = self.rooms.entry((kind, size, step.worker_limit()));
            let room = room.or_insert_with(|| {
                let rooms = suitable.map(|worker| step.most_within(&worker.entry.capacity));
                rooms.fold(0, u64::saturating_add)
            });
            return *room < u64::from(step.count);
        }
        let largest = self.largest.entry(kind).or_insert_with(|| {
            suitable.fold(Size::ZERO, |largest, worker| {
                Size::max(&largest, &worker.entry.capacity)
            })
        });
        !size.fits(largest)
    }
}
