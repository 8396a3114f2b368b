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

/// The capacity of the schedulable workers of one pool and label.
#[derive(Clone, Copy, Debug, Default)]
struct Reach {
    /// The largest amount of each resource that any of them has.
    largest: Size,
    /// What they have together.
    total: Size,
}

/// The capacity of the schedulable workers, by pool and label.
#[derive(Debug, Default)]
pub(super) struct Reaches(Map<(Name, Option<Name>), Reach>);

impl Reaches {
    /// Forgets the capacities, since workers may have changed.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Tells whether a step could not be placed even if nothing ran on any worker.
    pub(super) fn is_out_of_reach(
        &mut self,
        workers: &[Worker],
        now: Time,
        queue: &Queue,
        step: &Step,
    ) -> bool {
        let key = (queue.pool.clone(), step.label.clone());
        let reach = self.0.entry(key).or_insert_with(|| {
            let suitable = workers
                .iter()
                .filter(|worker| worker.is_schedulable(now) && suits(worker, queue, step));
            suitable.fold(Reach::default(), |reach, worker| Reach {
                largest: Size::max(&reach.largest, &worker.entry.capacity),
                total: reach.total.plus(&worker.entry.capacity),
            })
        });
        let size = step.booked();
        let all = size.times(u64::from(step.count));
        !size.fits(&reach.largest) || (step.gang && !all.fits(&reach.total))
    }
}
