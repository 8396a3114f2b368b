//! Where tasks of a step fit.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::name::Name;
use crate::size::Size;

use super::super::StepId;
use super::super::config::Queue;
use super::super::fleet::Worker;
use super::super::job::{self, Place};
use super::super::order::Lateness;
use super::super::spec;
use super::Scheduler;

/// What a worker that is emptied for a gang counts more in a choice.
const EARMARK_PENALTY: f64 = 4.0;

/// What a worker counts more on which a task of the step has failed before.
const AVOID_PENALTY: f64 = 8.0;

/// What a worker outside the rack with the step's data counts more.
const FAR_PENALTY: f64 = 2.0;

/// A step that may be placed, with what all its tasks share.
pub(super) struct Candidate<'a> {
    pub(super) id: StepId,
    pub(super) queue: &'a Queue,
    pub(super) step: &'a spec::Step,
    /// How late it is.
    pub(super) lateness: Lateness,
    /// What of its account's limit is kept for gangs that come before it.
    pub(super) kept: Size,
}

impl Candidate<'_> {
    /// Tells whether the step may use workers that are emptied for a gang.
    pub(super) fn is_urgent(&self) -> bool {
        self.queue.priority == 0
    }

    /// Tells whether the step's questions wait for those of others: it is late, or has much time.
    pub(super) fn comes_later(&self) -> bool {
        self.is_late() || !(self.is_urgent() || self.step.gang)
    }

    /// Tells whether the step can't be on time any more.
    pub(super) fn is_late(&self) -> bool {
        self.lateness > Lateness::Excess
    }

    /// Tells whether the step leaves workers to gangs that find no room.
    fn yields(&self) -> bool {
        !self.step.gang && !self.is_urgent()
    }
}

/// A worker with room for tasks of a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room {
    pub(super) worker: usize,
    /// How many of the tasks fit.
    count: u64,
    /// Lower is better.
    score: f64,
    /// Whether the step's ticket for the worker holds, or none is needed.
    fresh: bool,
}

/// The workers with room for tasks of a step, the best first.
#[derive(Debug)]
pub(super) struct Rooms(Vec<Room>);

impl Rooms {
    /// Returns how many workers there are.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns how many tasks fit.
    pub(super) fn count(&self) -> u64 {
        self.0
            .iter()
            .fold(0, |sum: u64, room| sum.saturating_add(room.count))
    }

    /// Gives tasks to workers in turn, as far as they fit.
    pub(super) fn assign(&self, tasks: &[u32], fresh: bool) -> Vec<(u32, usize)> {
        let rooms = self.0.iter().filter(|room| room.fresh || !fresh);
        let places = rooms.flat_map(|room| {
            let count = usize::try_from(room.count).unwrap_or(usize::MAX);
            std::iter::repeat_n(room.worker, count.min(tasks.len()))
        });
        tasks.iter().copied().zip(places).collect()
    }
}

impl Scheduler {
    /// Finds the workers with room for tasks of a step: those first on which the least usable room
    /// is left behind.
    pub(super) fn rooms(&self, candidate: &Candidate<'_>) -> Rooms {
        let number = usize::from(candidate.id.step);
        let state = &self.jobs[&candidate.id.job].steps[number];
        let counts = self.on_workers(candidate, state);
        let avoided: BTreeSet<usize> = state.tasks.iter().filter_map(|task| task.avoid).collect();
        let mut rooms = Vec::new();
        let mut consider = |worker: usize, fresh: bool| {
            let avoid = avoided.contains(&worker);
            rooms.extend(self.room(candidate, &counts, worker, fresh, avoid));
        };
        if candidate.queue.advice.is_some() {
            for (&worker, ticket) in &state.advice.tickets {
                consider(worker, ticket.until > self.now);
            }
        } else {
            for (index, worker) in self.workers.iter().enumerate() {
                if suits(worker, candidate.queue, candidate.step) {
                    consider(index, true);
                }
            }
        }
        rooms.sort_by(|a, b| a.score.total_cmp(&b.score));
        if candidate.step.gang {
            // Each worker that a gang spreads over is one more whose loss ends it.
            rooms.sort_by_key(|room| Reverse(room.count));
        }
        if candidate.step.same_rack {
            self.gather(&mut rooms, u64::from(candidate.step.count));
        }
        Rooms(rooms)
    }

    fn room(
        &self,
        candidate: &Candidate<'_>,
        counts: &BTreeMap<usize, u32>,
        number: usize,
        fresh: bool,
        avoid: bool,
    ) -> Option<Room> {
        let worker = &self.workers[number];
        let step = candidate.step;
        let size = step.booked();
        if !size.fits(&worker.free) || !worker.is_open(self.now) || worker.disturbs(step.purpose) {
            return None;
        }
        let other = worker.earmark.is_some_and(|job| job != candidate.id.job);
        if (other && !candidate.is_urgent()) || (worker.is_wanted(self.now) && candidate.yields()) {
            return None;
        }
        let mut count = size.times_within(&worker.free);
        if let Some(most) = step.most_on_worker {
            let has = counts.get(&number).copied().unwrap_or(0);
            count = count.min(u64::from(most.saturating_sub(has)));
        }
        let after = worker.free.minus(&size);
        let mut score = after.dominant(&worker.entry.capacity);
        if other {
            score += EARMARK_PENALTY;
        }
        if avoid {
            score += AVOID_PENALTY;
        }
        let near = step.near.as_ref();
        if near.is_some_and(|near| *near != worker.entry.rack) {
            score += FAR_PENALTY;
        }
        (count > 0).then_some(Room {
            worker: number,
            count,
            score,
            fresh,
        })
    }

    /// Puts the workers of one rack first that has room for all tasks, if there is one.
    fn gather(&self, rooms: &mut [Room], tasks: u64) {
        let mut racks: BTreeMap<&Name, u64> = BTreeMap::new();
        for room in rooms.iter() {
            let sum = racks
                .entry(&self.workers[room.worker].entry.rack)
                .or_default();
            *sum = sum.saturating_add(room.count);
        }
        let fitting = racks.iter().filter(|(_, sum)| **sum >= tasks);
        if let Some((&rack, _)) = fitting.min_by_key(|(_, sum)| **sum) {
            let rack = rack.clone();
            rooms.sort_by_key(|room| self.workers[room.worker].entry.rack != rack);
        }
    }

    /// Counts the tasks of a step on each worker, where that is limited.
    fn on_workers(&self, candidate: &Candidate<'_>, state: &job::Step) -> BTreeMap<usize, u32> {
        let mut counts = BTreeMap::new();
        if candidate.step.most_on_worker.is_none() {
            return counts;
        }
        for task in &state.tasks {
            if let Place::On { worker, .. } = task.place {
                *counts.entry(worker).or_default() += 1;
            }
        }
        counts
    }
}

/// Tells whether a worker is one that a step may run on, but for room and advice.
pub(super) fn suits(worker: &Worker, queue: &Queue, step: &spec::Step) -> bool {
    let labelled = |label: &Name| worker.entry.labels.contains(label);
    worker.entry.pool == queue.pool && step.label.as_ref().is_none_or(labelled)
}
