//! Which steps a pass between full ones visits: those for which something has changed.
//!
//! Such passes run many times a second. With a visit to each waiting step their cost would grow with
//! the backlog, and a leader that a disturbance has left with a long backlog would have no processor
//! time to reduce it.

use std::collections::{BTreeMap, BTreeSet};

use crate::name::Name;

use super::super::StepId;
use super::super::order::Rank;
use super::Scheduler;

/// How many steps that could not ask a question are visited for each question that has ended.
const VISITS_PER_ENDED_QUESTION: usize = 2;

/// What waiting steps wait for, and what has changed since the last pass.
#[derive(Debug, Default)]
pub(super) struct Visits {
    /// The steps that have a ticket for a worker, by worker.
    holders: BTreeMap<usize, BTreeSet<StepId>>,
    /// The workers whose free capacity has grown.
    freed_workers: BTreeSet<usize>,
    /// The steps that an account's limit has held back, by account.
    limited: BTreeMap<Name, BTreeSet<StepId>>,
    /// The accounts of which a task has ended.
    freed_accounts: BTreeSet<Name>,
    /// The steps that could not ask a question since too many were open.
    unasked: BTreeSet<Rank>,
    /// How many questions have ended.
    ended_questions: usize,
}

impl Visits {
    /// Records that a step has got a ticket for a worker.
    pub(super) fn add_holder(&mut self, worker: usize, step: StepId) {
        self.holders.entry(worker).or_default().insert(step);
    }

    /// Records that the free capacity of a worker has grown.
    pub(super) fn free_worker(&mut self, worker: usize) {
        self.freed_workers.insert(worker);
    }

    /// Forgets a worker that has gone.
    pub(super) fn remove_worker(&mut self, worker: usize) {
        self.holders.remove(&worker);
    }

    /// Records that the limit of an account holds a step back.
    pub(super) fn add_limited(&mut self, account: &Name, step: StepId) {
        match self.limited.get_mut(account) {
            Some(steps) => drop(steps.insert(step)),
            None => drop(self.limited.insert(account.clone(), BTreeSet::from([step]))),
        }
    }

    /// Records that an account uses less of its limit.
    pub(super) fn free_account(&mut self, account: &Name) {
        if !self.freed_accounts.contains(account) {
            self.freed_accounts.insert(account.clone());
        }
    }

    /// Records that a step could not ask a question.
    pub(super) fn add_unasked(&mut self, rank: Rank) {
        self.unasked.insert(rank);
    }

    /// Records that a question has ended, so that another one may be asked.
    pub(super) fn end_question(&mut self) {
        self.ended_questions += 1;
    }

    /// Forgets what has changed before a full pass, which visits all steps.
    pub(super) fn begin_full_pass(&mut self) {
        self.freed_workers.clear();
        self.freed_accounts.clear();
        self.limited.clear();
        self.unasked.clear();
        self.ended_questions = 0;
    }
}

impl Scheduler {
    /// Returns the ranked steps for which something has changed since the last pass, in the order of
    /// their ranks, besides those of changed jobs.
    pub(super) fn take_affected(&mut self) -> BTreeSet<Rank> {
        let visits = &mut self.visits;
        let mut steps = BTreeSet::new();
        for worker in std::mem::take(&mut visits.freed_workers) {
            if let Some(holders) = visits.holders.get_mut(&worker) {
                let jobs = &self.jobs;
                holders.retain(|step| {
                    let job = jobs.get(&step.job);
                    job.is_some_and(|job| !job.state.is_final())
                });
                steps.extend(holders.iter().copied());
            }
        }
        for account in std::mem::take(&mut visits.freed_accounts) {
            steps.extend(visits.limited.remove(&account).unwrap_or_default());
        }
        let ranking = &self.ranking;
        let mut affected: BTreeSet<Rank> = steps
            .into_iter()
            .filter_map(|step| ranking.rank_of(step))
            .collect();
        let ended = std::mem::take(&mut visits.ended_questions);
        for _ in 0..ended * VISITS_PER_ENDED_QUESTION {
            let Some(rank) = visits.unasked.pop_first() else {
                break;
            };
            // The rank may be outdated.
            affected.extend(ranking.rank_of(rank.step));
        }
        affected
    }
}
