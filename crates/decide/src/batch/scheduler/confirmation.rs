//! What holds only if no other scheduler has led meanwhile.
//!
//! Silence tells a scheduler when the leases that it has granted expire, and not what a successor does
//! that it has not heard of: that one may extend the same leases, or read and acknowledge the ends of
//! the same attempts. So what ran on a worker counts as lost only once a write shows that there was
//! no successor when the worker's leases were found expired.

use crate::time::Time;

use super::super::Attempt;
use super::super::event::Evidence;
use super::super::fleet::{Contact, Worker};
use super::Scheduler;

impl Scheduler {
    /// Confirms that no other scheduler has led before `until`: a write that was sent then was
    /// stored.
    pub fn confirm(&mut self, until: Time) {
        self.confirmed_until = self.confirmed_until.max(until);
    }

    /// Tells whether something waits for the confirmation of a write that is sent now.
    pub fn awaits_confirmation(&self) -> bool {
        !self.expired.is_empty()
            || (self.now >= self.takeover_ends_at && self.may_have_unreported_tasks())
    }

    /// Notes that the leases on a worker have certainly expired, unless a successor has extended
    /// them. A silent worker counts as unclaimed.
    pub fn expire_leases(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        if worker.contact == Contact::Silent {
            worker.contact = Contact::Unclaimed;
        }
        if !worker.attempts.is_empty() || self.is_taking_over() {
            self.expired.entry(index).or_insert(None);
        }
    }

    /// Marks all attempts as lost whose worker's leases had expired when no other scheduler led.
    pub(super) fn drop_expired_attempts(&mut self) {
        let (now, confirmed_until) = (self.now, self.confirmed_until);
        for found in self.expired.values_mut() {
            // Events since the last advance carry no time of their own.
            found.get_or_insert(now);
        }
        let is_confirmed =
            |_: &usize, found: &mut Option<Time>| found.is_some_and(|at| at <= confirmed_until);
        let confirmed = self.expired.extract_if(.., is_confirmed);
        let confirmed: Vec<usize> = confirmed.map(|(index, _)| index).collect();
        for index in confirmed {
            let worker = &self.workers[index];
            let evidence = match worker.contact {
                Contact::Gone => Evidence::WorkerGone,
                Contact::Unclaimed | Contact::Claimed | Contact::Silent => Evidence::LeaseExpired,
            };
            let attempts = worker.attempts.keys();
            let settled = attempts.filter(|attempt| !self.unsettled.contains_key(attempt));
            let attempts: Vec<Attempt> = settled.copied().collect();
            self.drop_attempts(index, &attempts, evidence);
        }
    }

    /// Tells whether tasks of inherited jobs may run on workers that have not reported.
    pub(super) fn is_taking_over(&self) -> bool {
        self.now.min(self.confirmed_until) < self.takeover_ends_at
    }

    /// Tells whether tasks of inherited jobs may still run on workers that have not reported yet.
    pub(super) fn may_have_unreported_tasks(&self) -> bool {
        self.unreported_workers().next().is_some()
    }

    /// Returns the workers on which tasks of inherited jobs may run that were not reported.
    pub(super) fn unreported_workers(&self) -> impl Iterator<Item = &Worker> {
        let gone = self.expired.keys().map(|&index| &self.workers[index]);
        let gone = gone.filter(|worker| worker.contact == Contact::Gone);
        let unreported = self
            .workers
            .iter()
            .filter(|worker| worker.is_unreported() || self.awaits_next(worker));
        let workers = self.is_taking_over().then(|| unreported.chain(gone));
        workers.into_iter().flatten()
    }
}
