//! Selection of workers with free capacity for the tasks of a step.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::name::Name;
use crate::size::Size;

use super::super::StepId;
use super::super::config::Queue;
use super::super::fleet::Worker;
use super::super::job::{self, Place};
use super::super::order::{Lateness, Rank};
use super::super::spec::{self, Purpose};
use super::Scheduler;
use super::speed::Preference;

/// Added to the score of a worker that is reserved for another job's gang.
const RESERVED_WORKER_PENALTY: f64 = 4.0;

/// Added to the score of a worker on which a task of the step has failed.
const PAST_FAILURE_PENALTY: f64 = 8.0;

/// Added to the score of a worker outside the rack with the step's data.
const OTHER_RACK_PENALTY: f64 = 2.0;

/// Added to the score of a worker on which a filler that lasts would slow a service down. The service starts
/// there only if no other worker has room, since the filler may never end.
const LASTING_FILLER_PENALTY: f64 = 100.0;

/// A step to be placed.
pub(super) struct Candidate<'a> {
    pub(super) id: StepId,
    pub(super) queue: &'a Queue,
    pub(super) step: &'a spec::Step,
    pub(super) rank: Rank,
    /// The part of its account's limit that is reserved for gangs of higher rank.
    pub(super) reserved_limit: Size,
}

impl Candidate<'_> {
    /// Tells whether the step may use workers that are reserved for a gang.
    pub(super) fn is_urgent(&self) -> bool {
        self.queue.priority == 0
    }

    /// Tells whether the step's questions yield to those of others: it is late, or neither urgent
    /// nor a gang.
    pub(super) fn is_deferrable(&self) -> bool {
        self.is_late() || !(self.is_urgent() || self.step.gang)
    }

    /// Tells whether the step can't be on time any more.
    pub(super) fn is_late(&self) -> bool {
        self.rank.lateness > Lateness::Excess
    }

    /// Tells whether the step leaves workers that are held for gangs to them.
    fn yields_to_gangs(&self) -> bool {
        !self.step.gang && !self.is_urgent()
    }
}

/// A worker with free capacity for tasks of a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Target {
    pub(super) worker: usize,
    /// How many of the tasks fit.
    pub(super) count: u64,
    /// Lower is better.
    score: f64,
    /// Whether the step has a valid ticket for the worker or needs none.
    pub(super) ticket_valid: bool,
}

/// The workers with free capacity for tasks of a step, the best first.
#[derive(Debug)]
pub(super) struct Targets(Vec<Target>);

impl Targets {
    /// Returns the workers.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Target> {
        self.0.iter()
    }

    /// Returns those in one rack.
    #[must_use]
    pub(super) fn within(mut self, workers: &[Worker], rack: &Name) -> Targets {
        self.0
            .retain(|target| workers[target.worker].entry.rack == *rack);
        self
    }

    /// Returns how many workers there are.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns how many tasks fit in total.
    pub(super) fn count(&self) -> u64 {
        self.0
            .iter()
            .fold(0, |sum: u64, target| sum.saturating_add(target.count))
    }

    /// Assigns tasks to workers in order until no more fit; with `valid_only`, only to workers for
    /// which the step has a valid ticket.
    pub(super) fn assign(&self, tasks: &[u32], valid_only: bool) -> Vec<(u32, usize)> {
        let targets = self
            .0
            .iter()
            .filter(|target| target.ticket_valid || !valid_only);
        let places = targets.flat_map(|target| {
            let count = usize::try_from(target.count).unwrap_or(usize::MAX);
            std::iter::repeat_n(target.worker, count.min(tasks.len()))
        });
        tasks.iter().copied().zip(places).collect()
    }
}

impl Scheduler {
    /// Returns the workers with free capacity for tasks of a step in the rack to which it is confined.
    pub(super) fn targets_within(&self, candidate: &Candidate<'_>, rack: Option<&Name>) -> Targets {
        let targets = self.targets(candidate);
        match rack {
            Some(rack) => targets.within(&self.workers, rack),
            None => targets,
        }
    }

    /// Returns the workers with free capacity for tasks of a step, ordered by best fit: those first
    /// on which the least capacity is left over.
    pub(super) fn targets(&self, candidate: &Candidate<'_>) -> Targets {
        let number = usize::from(candidate.id.step);
        let state = &self.jobs[&candidate.id.job].steps[number];
        let counts = self.tasks_per_worker(candidate, state);
        let avoided: BTreeSet<usize> = state.tasks.iter().filter_map(|task| task.avoid).collect();
        let preference = self.preference(candidate);
        let mut targets = Vec::new();
        let mut consider = |worker: usize, ticket_valid: bool| {
            let avoid = avoided.contains(&worker);
            let mut target = self.target(candidate, &counts, worker, ticket_valid, avoid);
            if let Some(target) = &mut target {
                target.score += preference.penalty(&self.workers[worker].speed);
            }
            targets.extend(target);
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
        targets.sort_by(|a, b| a.score.total_cmp(&b.score));
        if candidate.step.gang {
            // The loss of any of its workers ends a gang, so it uses as few as possible.
            targets.sort_by_key(|target| Reverse(target.count));
            self.prefer_like_speed(&mut targets, u64::from(candidate.step.count), preference);
        }
        if let Some(near) = &candidate.step.near
            && candidate.step.gang
            && self.setup.remote_slowdown.is_some()
        {
            targets.sort_by_key(|target| self.workers[target.worker].entry.rack != *near);
        }
        if candidate.step.same_rack {
            self.prefer_one_rack(&mut targets, u64::from(candidate.step.count), preference);
        }
        Targets(targets)
    }

    fn target(
        &self,
        candidate: &Candidate<'_>,
        counts: &BTreeMap<usize, u32>,
        number: usize,
        ticket_valid: bool,
        avoid: bool,
    ) -> Option<Target> {
        let worker = &self.workers[number];
        let step = candidate.step;
        let size = step.booked();
        if !size.fits(&worker.free)
            || !worker.is_schedulable(self.now)
            || worker.interferes_with(step.purpose)
        {
            return None;
        }
        let reserved_for_other = worker
            .reserved_for
            .is_some_and(|job| job != candidate.id.job);
        if (reserved_for_other && !candidate.is_urgent())
            || (worker.is_held_for_gang(self.now) && candidate.yields_to_gangs())
        {
            return None;
        }
        let mut count = size.times_within(&worker.free);
        if let Some(max) = step.most_on_worker {
            let has = counts.get(&number).copied().unwrap_or(0);
            count = count.min(u64::from(max.saturating_sub(has)));
        }
        let after = worker.free.minus(&size);
        let mut score = after.dominant_share(&worker.entry.capacity);
        if reserved_for_other {
            score += RESERVED_WORKER_PENALTY;
        }
        if avoid {
            score += PAST_FAILURE_PENALTY;
        }
        if step.purpose == Purpose::Serve && worker.has_lasting_filler() {
            score += LASTING_FILLER_PENALTY;
        }
        let near = step.near.as_ref();
        if near.is_some_and(|near| *near != worker.entry.rack) {
            score += OTHER_RACK_PENALTY;
        }
        (count > 0).then_some(Target {
            worker: number,
            count,
            score,
            ticket_valid,
        })
    }

    /// Moves the workers that suit a gang by their speed to the front, or else the others, if all
    /// members fit there.
    fn prefer_like_speed(&self, targets: &mut [Target], tasks: u64, preference: Preference) {
        if preference == Preference::Fit {
            return;
        }
        let suits = |target: &Target| preference.suits_gang(&self.workers[target.worker].speed);
        let (mut suitable, mut others) = (0_u64, 0_u64);
        for target in targets.iter() {
            let sum = if suits(target) {
                &mut suitable
            } else {
                &mut others
            };
            *sum = sum.saturating_add(target.count);
        }
        if suitable >= tasks {
            targets.sort_by_key(|target| !suits(target));
        } else if others >= tasks {
            targets.sort_by_key(suits);
        }
    }

    /// Moves the workers of one rack to the front if there is a rack on which all tasks fit, preferably
    /// on workers that suit them by their speed.
    fn prefer_one_rack(&self, targets: &mut [Target], tasks: u64, preference: Preference) {
        let suits = |target: &Target| preference.suits_gang(&self.workers[target.worker].speed);
        let rack = self.fitting_rack(targets.iter().filter(|target| suits(target)), tasks);
        let rack = rack.or_else(|| self.fitting_rack(targets.iter(), tasks));
        if let Some(rack) = rack.cloned() {
            targets.sort_by_key(|target| self.workers[target.worker].entry.rack != rack);
        }
    }

    /// Returns the rack on which all tasks fit with the least room to spare.
    fn fitting_rack<'a>(
        &self,
        targets: impl Iterator<Item = &'a Target>,
        tasks: u64,
    ) -> Option<&Name> {
        let mut racks: BTreeMap<&Name, u64> = BTreeMap::new();
        for target in targets {
            let sum = racks
                .entry(&self.workers[target.worker].entry.rack)
                .or_default();
            *sum = sum.saturating_add(target.count);
        }
        let fitting = racks.iter().filter(|(_, sum)| **sum >= tasks);
        fitting.min_by_key(|(_, sum)| **sum).map(|(rack, _)| *rack)
    }

    /// Counts the tasks of a step on each worker; empty if the step has no limit per worker.
    fn tasks_per_worker(
        &self,
        candidate: &Candidate<'_>,
        state: &job::Step,
    ) -> BTreeMap<usize, u32> {
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

/// Tells whether a worker has the pool and label that a step needs, without regard to free capacity
/// and advice.
pub(super) fn suits(worker: &Worker, queue: &Queue, step: &spec::Step) -> bool {
    let labelled = |label: &Name| worker.entry.labels.contains(label);
    worker.entry.pool == queue.pool && step.label.as_ref().is_none_or(labelled)
}
