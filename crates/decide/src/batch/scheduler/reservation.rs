//! Capacity that is reserved for a step while it renews its tickets.
//!
//! Without reservations, all waiting steps would ask about the same free capacity, and all but one
//! in vain.

use std::time::Duration;

use super::super::spec;
use super::super::{JobId, StepId};
use super::Scheduler;
use super::target::Candidate;

/// How long the reservation of a gang is kept while it waits for tickets, or until its open
/// question ends if that is later.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(2);

impl Scheduler {
    /// Reserves capacity for one task per entry of `workers` and asks for new tickets.
    pub(super) fn reserve(&mut self, candidate: &Candidate<'_>, workers: Vec<usize>) {
        let id = candidate.id;
        self.renew_tickets(candidate, &workers);
        if !self.advice_of(id).has_open_question(self.now) {
            // No instance is free to ask, so the capacity is left to other steps.
            return;
        }
        for &worker in &workers {
            let worker = &mut self.workers[worker];
            worker.free = worker.free.minus(&candidate.step.booked());
        }
        let until = self.now.after(RESERVATION_TIMEOUT);
        if let Some(job) = self.jobs.get_mut(&id.job) {
            let step = &mut job.steps[usize::from(id.step)];
            step.reserved = workers;
            step.reserved_until = until;
            self.reservations.insert(id);
        }
    }

    /// Releases the capacity of steps that have not started in time. A step may not be visited any more,
    /// since its account has used up its limit or its queue has gone.
    pub(super) fn release_overdue(&mut self) {
        let now = self.now;
        let is_overdue = |id: &&StepId| {
            let step = self
                .jobs
                .get(&id.job)
                .map(|job| &job.steps[usize::from(id.step)]);
            step.is_none_or(|step| {
                step.reserved_until <= now && !step.advice.has_open_question(now)
            })
        };
        let overdue: Vec<StepId> = self
            .reservations
            .iter()
            .filter(is_overdue)
            .copied()
            .collect();
        for id in overdue {
            self.unreserve(id.job, usize::from(id.step));
            self.ranking.mark_changed(id.job);
        }
    }

    /// Releases the capacity that is reserved for a step.
    pub(super) fn unreserve(&mut self, id: JobId, number: usize) {
        self.reservations.remove(&StepId {
            job: id,
            step: number as u16,
        });
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let reserved = std::mem::take(&mut job.steps[number].reserved);
        let spec = job.spec.as_ref().and_then(|spec| spec.step(number));
        let Some(size) = spec.map(spec::Step::booked) else {
            return;
        };
        for worker in reserved {
            let free = self.workers[worker].free;
            self.workers[worker].free = free.plus(&size);
            self.mark_capacity_freed(worker);
        }
    }
}
