//! The load of one rack owner, which an entry server estimates from the owner's last summary and
//! the requests sent to it since.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::name::Name;
use crate::request::Request;
use crate::share::Summary;
use crate::size::Size;
use crate::time::Time;

/// The longest time that a summary takes to arrive; it may lack requests sent within that time.
const SUMMARY_LAG: Duration = Duration::from_millis(200);

/// The expected wait at an owner that has not sent a summary.
pub(crate) const UNKNOWN_WAIT: Duration = Duration::from_millis(100);

/// The longest expected wait that counts as no wait, as if the owner had free capacity.
const SHORT_WAIT: Duration = Duration::from_millis(50);

/// The highest run time of one request that is counted when the wait of others is estimated.
const MAX_COUNTED_RUN: Duration = Duration::from_secs(60);

/// The highest number of sent requests that are kept for an owner since its last summary.
const MAX_SENT: usize = 1_024;

/// How well an owner suits a request, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fit {
    /// It has free allotment for the team, and free capacity or only a short wait.
    Immediate,
    /// It has free allotment for the team, but the request would have to wait for capacity.
    Queued,
    /// It has an allotment for the team, but too much of it is in use.
    Exhausted,
    /// It has no allotment for the team that could hold the request.
    NoAllotment,
}

/// A request that was sent to an owner and may be missing from its summary.
#[derive(Clone, Debug)]
struct Sent {
    at: Time,
    team: Name,
    size: Size,
    estimate: Duration,
    /// The time that it adds to the wait of others.
    added_wait: Duration,
}

/// The estimated load of one owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct Load {
    summary: Option<Summary>,
    sent: VecDeque<Sent>,
    /// The total size of the sent requests.
    total: Size,
    /// The total size of the sent requests by team.
    teams: BTreeMap<Name, Size>,
    /// The time that the sent requests add to the wait of others.
    added_wait: Duration,
    avoided_until: Time,
}

impl Load {
    /// Sets the summary, unless it is older than the last one.
    pub(crate) fn set_summary(&mut self, now: Time, summary: Summary) {
        let last = self.summary.as_ref().map_or(0, |last| last.sequence);
        if summary.sequence <= last {
            return;
        }
        self.summary = Some(summary);
        let sent = std::mem::take(&mut self.sent);
        self.total = Size::ZERO;
        self.teams.clear();
        self.added_wait = Duration::ZERO;
        for sent in sent {
            if now.since(sent.at) < SUMMARY_LAG {
                self.add(sent);
            }
        }
    }

    /// Records that a request was sent to the owner.
    pub(crate) fn note_sent(&mut self, now: Time, request: &Request) {
        if self.sent.len() == MAX_SENT {
            self.drop_oldest();
        }
        self.add(Sent {
            at: now,
            team: request.team.clone(),
            size: request.size,
            estimate: request.estimate,
            added_wait: Duration::ZERO,
        });
    }

    /// Lets the owner be chosen only if there is no other, until the given time.
    pub(crate) fn avoid(&mut self, until: Time) {
        self.avoided_until = until;
    }

    /// Tells whether the owner is chosen only if there is no other.
    pub(crate) fn is_avoided(&self, now: Time) -> bool {
        now < self.avoided_until
    }

    /// Returns the expected wait of a new request.
    pub(crate) fn wait(&self) -> Duration {
        match &self.summary {
            Some(summary) => summary.wait.saturating_add(self.added_wait),
            None => UNKNOWN_WAIT,
        }
    }

    /// Returns how well the owner suits a request.
    pub(crate) fn fit(&self, request: &Request) -> Fit {
        let Some(summary) = &self.summary else {
            return Fit::Immediate;
        };
        let Some(tally) = summary.teams.get(&request.team) else {
            return Fit::NoAllotment;
        };
        if !request.size.fits(&tally.allotted) {
            return Fit::NoAllotment;
        }
        let sent = self.teams.get(&request.team).copied().unwrap_or_default();
        let used = tally.running.plus(&tally.waiting).plus(&sent);
        if !request.size.plus(&used).fits(&tally.allotted) {
            return Fit::Exhausted;
        }
        let free = summary.free.minus(&self.total);
        let has_capacity = request.size.fits(&summary.largest) && request.size.fits(&free);
        if has_capacity || self.wait() <= SHORT_WAIT {
            Fit::Immediate
        } else {
            Fit::Queued
        }
    }

    /// Tells whether the owner has capacity for a request but too little allotment for its team.
    pub(crate) fn lacks_allotment(&self, request: &Request) -> bool {
        let largest = self.summary.as_ref().map(|summary| summary.largest);
        let has_capacity = largest.is_some_and(|largest| request.size.fits(&largest));
        has_capacity && matches!(self.fit(request), Fit::Exhausted | Fit::NoAllotment)
    }

    /// Tells whether none of the owner's workers could ever hold a size.
    ///
    /// Returns false as long as the owner knows none of its workers.
    pub(crate) fn too_small(&self, size: &Size) -> bool {
        let ceiling = self.summary.as_ref().map(|summary| summary.ceiling);
        ceiling.is_some_and(|ceiling| !ceiling.is_zero() && !size.fits(&ceiling))
    }

    fn add(&mut self, mut sent: Sent) {
        sent.added_wait = self.added_wait_of(&sent);
        self.added_wait += sent.added_wait;
        self.total = self.total.plus(&sent.size);
        let sum = self.teams.entry(sent.team.clone()).or_default();
        *sum = sum.plus(&sent.size);
        self.sent.push_back(sent);
    }

    fn drop_oldest(&mut self) {
        let Some(sent) = self.sent.pop_front() else {
            return;
        };
        self.added_wait = self.added_wait.saturating_sub(sent.added_wait);
        self.total = self.total.minus(&sent.size);
        if let Some(sum) = self.teams.get_mut(&sent.team) {
            *sum = sum.minus(&sent.size);
        }
    }

    fn added_wait_of(&self, sent: &Sent) -> Duration {
        let Some(summary) = &self.summary else {
            return Duration::ZERO;
        };
        let share = sent.size.dominant_share(&summary.capacity).min(1.0);
        sent.estimate.min(MAX_COUNTED_RUN).mul_f64(share)
    }
}
