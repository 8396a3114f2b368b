//! What client accounts have running, and how much they send.

use crate::name::Name;
use crate::size::Size;
use crate::time::Time;

use super::super::{JobId, StepId};
use super::Scheduler;

/// The seconds of its weight in jobs that an account may send at once.
const EXCESS_WINDOW_S: f64 = 2.0;

/// What a client account has running, and what it has sent of late.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Account {
    used: Size,
    recent_jobs: f64,
    updated_at: Time,
}

impl Scheduler {
    /// Returns how many tasks of a size a job's account may start besides what it has running and
    /// what is kept for its gangs.
    pub(super) fn allowed_tasks(&self, id: JobId, size: &Size, reserved_limit: &Size) -> u64 {
        let Some(name) = self.jobs.get(&id).and_then(|job| job.account.as_ref()) else {
            return u64::MAX;
        };
        let Some(account) = self.config.account(name) else {
            return u64::MAX;
        };
        let used = self
            .accounts
            .get(name)
            .map_or(Size::ZERO, |account| account.used);
        size.times_within(&account.limit.minus(&used).minus(reserved_limit))
    }

    /// Returns what of its account's limit a gang needs, where the limit can hold it at all.
    pub(super) fn gang_quota(&self, id: StepId) -> Option<(Name, Size)> {
        let job = self.jobs.get(&id.job)?;
        let step = job.spec.as_ref()?.step(usize::from(id.step));
        let name = job.account.as_ref()?;
        let limit = self.config.account(name)?.limit;
        let need = step.size.times(u64::from(step.count));
        need.fits(&limit).then(|| (name.clone(), need))
    }

    /// Counts what an account has running.
    pub(super) fn charge(&mut self, account: Option<&Name>, size: &Size) {
        if let Some(name) = account {
            let account = self.accounts.entry(name.clone()).or_default();
            account.used = account.used.plus(size);
        }
    }

    /// Counts what an account has running no more.
    pub(super) fn refund(&mut self, account: Option<&Name>, size: &Size) {
        if let Some(account) = account.and_then(|name| self.accounts.get_mut(name)) {
            account.used = account.used.minus(size);
        }
    }

    /// Tells whether an account has sent more jobs of late than its weight allows, and counts one.
    pub(super) fn exceeds_weight(&mut self, account: Option<&Name>) -> bool {
        let Some(name) = account else {
            return false;
        };
        let weight = self
            .config
            .account(name)
            .map_or(0.0, |account| account.weight);
        if weight <= 0.0 {
            return false;
        }
        let now = self.now;
        let account = self.accounts.entry(name.clone()).or_default();
        let passed = now.since(account.updated_at).as_secs_f64();
        account.recent_jobs = (account.recent_jobs - passed * weight).max(0.0);
        account.updated_at = now;
        if account.recent_jobs + 1.0 > weight * EXCESS_WINDOW_S {
            return true;
        }
        account.recent_jobs += 1.0;
        false
    }
}
