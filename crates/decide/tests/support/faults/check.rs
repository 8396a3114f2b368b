//! What happened, and the promises that it is checked against.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurepath_decide::attempt::{Attempt, Outcome};
use azurepath_decide::name::Name;
use azurepath_decide::request::{Id, Request};
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use azurepath_decide::verdict::Verdict;

use super::worker::Worker;

/// How long after it began to leave a worker may still be sent work.
const LEAVING_GRACE: Duration = Duration::from_secs(5);

/// What happened to one request.
#[derive(Debug, Default)]
pub struct Past {
    pub idempotent: bool,
    pub deadline: Time,
    pub begun: Vec<(Attempt, Name)>,
    pub ended: BTreeMap<(Attempt, Name), Outcome>,
    pub verdict: Option<Verdict>,
    /// Whether its entry died, so that no answer can come.
    pub entry_died: bool,
}

#[derive(Debug, Default)]
pub struct Check {
    pub pasts: BTreeMap<Id, Past>,
    pub limits: BTreeMap<Name, Size>,
    /// Whether only planned stops happen, so that no request may be cut.
    pub planned_only: bool,
}

pub type Broken = Result<(), String>;

impl Check {
    pub fn handed_in(&mut self, request: &Request) {
        let past = self.pasts.entry(request.id).or_default();
        past.idempotent = request.idempotent;
        past.deadline = request.deadline;
    }

    /// A start has reached a worker under the epoch that it obeys.
    pub fn offered(&self, now: Time, worker: &Worker) -> Broken {
        let since = worker.leaving_since;
        let late = since.is_some_and(|since| now.since(since) > LEAVING_GRACE);
        // One that has left receives nothing any more.
        let late = late && worker.dead_since.is_none();
        ensure(!late, || {
            format!(
                "{} was sent work though it has been leaving since {since:?}",
                worker.name()
            )
        })
    }

    /// A worker has begun an attempt.
    pub fn begun(
        &mut self,
        attempt: Attempt,
        worker: &Worker,
        workers: &BTreeMap<Name, Worker>,
    ) -> Broken {
        let name = worker.name();
        ensure(worker.used().fits(&worker.spec.capacity), || {
            format!("{name} is over its capacity with {attempt}")
        })?;
        let id = attempt.request;
        let runs_it = |worker: &&Worker| worker.running.keys().any(|run| run.request == id);
        let places = workers.values().filter(runs_it).count();
        ensure(places <= 1, || format!("{id} runs in {places} places"))?;
        self.within_limits(workers)?;
        let past = self.pasts.entry(id).or_default();
        past.begun.push((attempt, name.clone()));
        let told = matches!(past.verdict, Some(Verdict::NotRun { .. }));
        ensure(!told, || {
            format!("{id} began after its caller was told {:?}", past.verdict)
        })?;
        let twice = !past.idempotent && past.begun.len() > 1;
        ensure(!twice, || {
            format!("{id} is not idempotent and began {:?}", past.begun)
        })
    }

    fn within_limits(&self, workers: &BTreeMap<Name, Worker>) -> Broken {
        let mut sums: BTreeMap<&Name, Size> = BTreeMap::new();
        for running in workers.values().flat_map(|worker| worker.running.values()) {
            let sum = sums.entry(&running.team).or_default();
            *sum = sum.plus(&running.size);
        }
        for (team, sum) in sums {
            let limit = self.limits[team];
            ensure(sum.fits(&limit), || {
                format!("{team} runs {sum:?} of {limit:?}")
            })?;
        }
        Ok(())
    }

    pub fn ended(&mut self, attempt: Attempt, worker: &Name, outcome: Outcome) {
        let past = self.pasts.entry(attempt.request).or_default();
        past.ended.insert((attempt, worker.clone()), outcome);
    }

    /// A caller has been answered.
    pub fn answered(&mut self, now: Time, id: Id, verdict: &Verdict) -> Broken {
        let past = self.pasts.entry(id).or_default();
        ensure(past.verdict.is_none(), || {
            format!("{id} was answered {:?} and {verdict:?}", past.verdict)
        })?;
        past.verdict = Some(verdict.clone());
        match verdict {
            Verdict::NotRun { .. } => ensure(past.begun.is_empty(), || {
                format!("{id} was told {verdict:?} but began {:?}", past.begun)
            }),
            Verdict::Unknown { attempt } => {
                ensure(attempt.request == id, || {
                    format!("{id} was told {verdict:?}")
                })?;
                let patient = now < past.deadline;
                ensure(!self.planned_only || !patient, || {
                    format!("{id} was cut by a planned stop")
                })
            }
            Verdict::Ran {
                attempt,
                worker,
                outcome,
            } => {
                let known = past.ended.get(&(*attempt, worker.clone()));
                let own = attempt.request == id && known == Some(outcome);
                ensure(own, || {
                    format!("{id} was told {verdict:?} but {:?}", past.ended)
                })
            }
        }
    }

    /// All is quiet: every caller has been answered whose entry lives.
    pub fn settled(&self) -> Broken {
        let open = |(_, past): &(&Id, &Past)| past.verdict.is_none() && !past.entry_died;
        let open: BTreeSet<&Id> = self.pasts.iter().filter(open).map(|(id, _)| id).collect();
        ensure(open.is_empty(), || format!("no answer for {open:?}"))
    }
}

pub fn ensure(holds: bool, text: impl FnOnce() -> String) -> Broken {
    if holds { Ok(()) } else { Err(text()) }
}
