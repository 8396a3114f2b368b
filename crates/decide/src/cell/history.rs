//! Results of recent requests.

use std::collections::VecDeque;
use std::time::Duration;

use crate::attempt::Attempt;
use crate::name::{Map, Name};
use crate::request::{self, Target};
use crate::time::Time;
use crate::verdict::Verdict;

/// Time for which a worker keeps the answers of ended attempts.
const RETENTION: Duration = Duration::from_secs(600);

/// The maximum number of entries.
const MAX_ENTRIES: usize = 50_000;

/// What is known of a recent request.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PastResult {
    /// An attempt has ended on a worker that still keeps its answer.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: Name,
    },
    /// Its caller was told that the result of this attempt is unknown.
    Unknown(Attempt),
    /// Its caller was told that it never began on these targets and never will.
    RuledOut(Vec<Option<Target>>),
}

/// Results of recent requests; the oldest are dropped first.
#[derive(Debug, Default)]
pub(super) struct History {
    results: Map<request::Id, (Time, PastResult)>,
    ages: VecDeque<(Time, request::Id)>,
}

impl History {
    /// Returns the result of a request, if it is known.
    pub(super) fn get(&self, request: request::Id) -> Option<&PastResult> {
        self.results.get(&request).map(|(_, result)| result)
    }

    /// Records that an attempt has ended on a worker.
    pub(super) fn ended(&mut self, attempt: Attempt, worker: Name, now: Time) {
        let result = PastResult::Ended { attempt, worker };
        self.put(attempt.request, result, now);
    }

    /// Records a verdict that was sent to the caller, unless nothing ran.
    pub(super) fn answered(&mut self, request: request::Id, verdict: &Verdict, now: Time) {
        match verdict {
            Verdict::NotRun { .. } => {}
            Verdict::Unknown { attempt } => self.put(request, PastResult::Unknown(*attempt), now),
            Verdict::Ran {
                attempt, worker, ..
            } => self.ended(*attempt, worker.clone(), now),
        }
    }

    /// Records that a request must never begin on a target.
    pub(super) fn ruled_out(&mut self, request: request::Id, target: Option<Target>, now: Time) {
        let mut targets = match self.get(request) {
            Some(PastResult::RuledOut(targets)) => targets.clone(),
            _ => Vec::new(),
        };
        targets.push(target);
        self.put(request, PastResult::RuledOut(targets), now);
    }

    fn put(&mut self, request: request::Id, result: PastResult, now: Time) {
        self.results.insert(request, (now, result));
        self.ages.push_back((now, request));
        self.prune(now);
    }

    fn prune(&mut self, now: Time) {
        while let Some(&(age, request)) = self.ages.front() {
            if self.ages.len() <= MAX_ENTRIES && now.since(age) < RETENTION {
                break;
            }
            self.ages.pop_front();
            let stale = self.results.get(&request).is_some_and(|(at, _)| *at == age);
            if stale {
                self.results.remove(&request);
            }
        }
    }
}
