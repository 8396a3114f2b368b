//! What became of requests lately.

use std::collections::VecDeque;
use std::time::Duration;

use crate::attempt::Attempt;
use crate::name::{Map, Name};
use crate::request::{self, Target};
use crate::time::Time;
use crate::verdict::Verdict;

/// How long a worker holds the answers of attempts that have ended.
const RETENTION: Duration = Duration::from_secs(600);

/// How many requests are remembered at most.
const MAX_REQUESTS: usize = 50_000;

/// The fate of a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Record {
    /// An attempt has ended on a worker that still holds its answer.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: Name,
    },
    /// Its caller was told that its fate is unknown.
    Unknown(Attempt),
    /// Its caller was told that it never began under these targets, and never will.
    RuledOut(Vec<Option<Target>>),
}

/// The fates of requests, oldest first.
#[derive(Debug, Default)]
pub(super) struct History {
    records: Map<request::Id, (Time, Record)>,
    ages: VecDeque<(Time, request::Id)>,
}

impl History {
    /// Returns the fate of a request.
    pub(super) fn get(&self, request: request::Id) -> Option<&Record> {
        self.records.get(&request).map(|(_, record)| record)
    }

    /// Remembers that an attempt has ended on a worker.
    pub(super) fn ended(&mut self, attempt: Attempt, worker: Name, now: Time) {
        let record = Record::Ended { attempt, worker };
        self.put(attempt.request, record, now);
    }

    /// Remembers a verdict; one that says that nothing ran leaves nothing to remember.
    pub(super) fn answered(&mut self, request: request::Id, verdict: &Verdict, now: Time) {
        match verdict {
            Verdict::NotRun { .. } => {}
            Verdict::Unknown { attempt } => self.put(request, Record::Unknown(*attempt), now),
            Verdict::Ran {
                attempt, worker, ..
            } => self.ended(*attempt, worker.clone(), now),
        }
    }

    /// Remembers that a request never may begin under a target.
    pub(super) fn ruled_out(&mut self, request: request::Id, target: Option<Target>, now: Time) {
        let mut targets = match self.get(request) {
            Some(Record::RuledOut(targets)) => targets.clone(),
            _ => Vec::new(),
        };
        targets.push(target);
        self.put(request, Record::RuledOut(targets), now);
    }

    fn put(&mut self, request: request::Id, record: Record, now: Time) {
        self.records.insert(request, (now, record));
        self.ages.push_back((now, request));
        self.prune(now);
    }

    fn prune(&mut self, now: Time) {
        while let Some(&(age, request)) = self.ages.front() {
            if self.ages.len() <= MAX_REQUESTS && now.since(age) < RETENTION {
                break;
            }
            self.ages.pop_front();
            let stale = self.records.get(&request).is_some_and(|(at, _)| *at == age);
            if stale {
                self.records.remove(&request);
            }
        }
    }
}
