//! Room that is kept for a step while it asks for new tickets.
//!
//! Without it, all steps of a long line would ask about the same room, and all but one in vain.

use std::time::Duration;

use super::super::JobId;
use super::Scheduler;
use super::target::Candidate;

/// How long room is kept for a gang that waits for tickets, beyond what the question takes.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(2);

impl Scheduler {
    /// Keeps room on workers, one task each, and asks about them.
    pub(super) fn reserve(&mut self, candidate: &Candidate<'_>, workers: Vec<usize>) {
        let id = candidate.id;
        self.renew_tickets(candidate, &workers);
        if !self.advice_of(id).is_asking(self.now) {
            // No instance is free to ask: the room is of more use to others.
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
        }
    }

    /// Gives back the room that is kept for a gang.
    pub(super) fn unreserve(&mut self, id: JobId, number: usize) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let reserved = std::mem::take(&mut job.steps[number].reserved);
        let Some(size) = job.spec.as_ref().map(|spec| spec.step(number).booked()) else {
            return;
        };
        for worker in reserved {
            let free = self.workers[worker].free;
            self.workers[worker].free = free.plus(&size);
            self.mark_capacity_freed(worker);
        }
    }
}
