//! Checks of the guarantees that requests and teams are given, on the history of each request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurepath_decide::attempt::{Attempt, Outcome};
use azurepath_decide::name::Name;
use azurepath_decide::request::{Id, Request};
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use azurepath_decide::verdict::Verdict;

use super::worker::Worker;

/// How long a worker may still be sent work after it began to leave.
const LEAVING_GRACE: Duration = Duration::from_secs(5);

/// What has happened to one request.
#[derive(Debug, Default)]
pub struct History {
    pub idempotent: bool,
    pub deadline: Time,
    pub starts: Vec<(Attempt, Name)>,
    pub ends: BTreeMap<(Attempt, Name), Outcome>,
    pub verdict: Option<Verdict>,
    /// Whether the server that accepted it died, so that no answer can come.
    pub entry_died: bool,
}

#[derive(Debug, Default)]
pub struct Check {
    pub histories: BTreeMap<Id, History>,
    pub limits: BTreeMap<Name, Size>,
    /// Whether servers are only stopped as planned. No request may then be interrupted.
    pub planned_only: bool,
}

/// The result of a check: nothing, or a description of the violation.
pub type Checked = Result<(), String>;

impl Check {
    pub fn submitted(&mut self, request: &Request) {
        let history = self.histories.entry(request.id).or_default();
        history.idempotent = request.idempotent;
        history.deadline = request.deadline;
    }

    /// Checks that an attempt may be sent to a worker.
    pub fn start_sent(&self, now: Time, worker: &Worker) -> Checked {
        let since = worker.leaving_since;
        let late = since.is_some_and(|since| now.since(since) > LEAVING_GRACE);
        // A worker that has left no longer receives what is sent to it.
        let late = late && worker.dead_since.is_none();
        ensure(!late, || {
            format!(
                "{} was sent work though it has been leaving since {since:?}",
                worker.name()
            )
        })
    }

    /// Records that a worker has started an attempt and checks that it was allowed to.
    pub fn started(
        &mut self,
        attempt: Attempt,
        worker: &Worker,
        workers: &BTreeMap<Name, Worker>,
    ) -> Checked {
        let name = worker.name();
        ensure(worker.used().fits(&worker.spec.capacity), || {
            format!("{name} is over its capacity with {attempt}")
        })?;
        let id = attempt.request;
        let runs_it = |worker: &&Worker| worker.running.keys().any(|run| run.request == id);
        let count = workers.values().filter(runs_it).count();
        ensure(count <= 1, || format!("{id} runs on {count} workers"))?;
        self.check_limits(workers)?;
        let history = self.histories.entry(id).or_default();
        history.starts.push((attempt, name.clone()));
        let answered_not_run = matches!(history.verdict, Some(Verdict::NotRun { .. }));
        ensure(!answered_not_run, || {
            format!("{id} began after it was answered {:?}", history.verdict)
        })?;
        let repeated = !history.idempotent && history.starts.len() > 1;
        ensure(!repeated, || {
            format!("{id} is not idempotent and began {:?}", history.starts)
        })
    }

    fn check_limits(&self, workers: &BTreeMap<Name, Worker>) -> Checked {
        let mut sums: BTreeMap<&Name, Size> = BTreeMap::new();
        for running in workers.values().flat_map(|worker| worker.running.values()) {
            let sum = sums.entry(&running.team).or_default();
            *sum = sum.plus(&running.size);
        }
        for (team, sum) in sums {
            let limit = self.limits[team];
            ensure(sum.fits(&limit), || {
                format!("{team} runs {sum:?}, its limit is {limit:?}")
            })?;
        }
        Ok(())
    }

    pub fn ended(&mut self, attempt: Attempt, worker: &Name, outcome: Outcome) {
        let history = self.histories.entry(attempt.request).or_default();
        history.ends.insert((attempt, worker.clone()), outcome);
    }

    /// Records the verdict that a caller was given and checks that it is true.
    pub fn answered(&mut self, now: Time, id: Id, verdict: &Verdict) -> Checked {
        let history = self.histories.entry(id).or_default();
        ensure(history.verdict.is_none(), || {
            format!("{id} was answered {:?} and {verdict:?}", history.verdict)
        })?;
        history.verdict = Some(verdict.clone());
        match verdict {
            Verdict::NotRun { .. } => ensure(history.starts.is_empty(), || {
                format!(
                    "{id} was answered {verdict:?} but began {:?}",
                    history.starts
                )
            }),
            Verdict::Unknown { attempt } => {
                ensure(attempt.request == id, || {
                    format!("{id} was answered {verdict:?}, the attempt of another request")
                })?;
                let in_time = now < history.deadline;
                ensure(!self.planned_only || !in_time, || {
                    format!("{id} was interrupted by a planned stop")
                })
            }
            Verdict::Ran {
                attempt,
                worker,
                outcome,
            } => {
                let known = history.ends.get(&(*attempt, worker.clone()));
                let is_true = attempt.request == id && known == Some(outcome);
                ensure(is_true, || {
                    format!(
                        "{id} was answered {verdict:?} but its attempts ended as {:?}",
                        history.ends
                    )
                })
            }
        }
    }

    /// Checks that every request has a verdict unless the server that accepted it died.
    pub fn all_answered(&self) -> Checked {
        let open =
            |(_, history): &(&Id, &History)| history.verdict.is_none() && !history.entry_died;
        let open: BTreeSet<&Id> = self
            .histories
            .iter()
            .filter(open)
            .map(|(id, _)| id)
            .collect();
        ensure(open.is_empty(), || format!("no answer for {open:?}"))
    }
}

pub fn ensure(condition: bool, text: impl FnOnce() -> String) -> Checked {
    if condition { Ok(()) } else { Err(text()) }
}
