//! Evacuated failure domains, on whose workers nothing is started.
//!
//! What runs there continues, so that leases, reports and the parts of accounts' limits in use are as
//! before. Only placement, the capacity for admission and the repetition of orders leave the workers
//! out.

use std::collections::BTreeSet;

use crate::name::Name;

use super::super::StepId;
use super::Scheduler;

impl Scheduler {
    /// Replaces the set of evacuated failure domains.
    pub fn evacuate(&mut self, domains: &BTreeSet<Name>) {
        if *domains == self.evacuated {
            return;
        }
        self.evacuated.clone_from(domains);
        for worker in &mut self.workers {
            worker.evacuated = self.evacuated.contains(&worker.entry.failure_domain);
            if worker.evacuated {
                worker.reserved_for = None;
                worker.held_for_gang = false;
            }
        }
        self.release_evacuated();
        // The next full pass measures the capacity for admission anew.
        self.ranking.invalidate();
        self.dirty = true;
    }

    /// Releases the capacity that steps have reserved on evacuated workers, so that they look for other
    /// workers at once.
    fn release_evacuated(&mut self) {
        let is_useless = |id: &&StepId| {
            let job = self.jobs.get(&id.job);
            let step = job.and_then(|job| job.steps.get(usize::from(id.step)));
            step.is_some_and(|step| {
                let mut reserved = step.reserved.iter();
                reserved.any(|&worker| self.workers[worker].evacuated)
            })
        };
        let useless: Vec<StepId> = self
            .reservations
            .iter()
            .filter(is_useless)
            .copied()
            .collect();
        for id in useless {
            self.unreserve(id.job, usize::from(id.step));
            self.ranking.mark_changed(id.job);
        }
    }
}
