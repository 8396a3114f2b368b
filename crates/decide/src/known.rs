//! What an entry knows of one owner: its last summary, and what was sent to it since.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::name::Name;
use crate::request::Request;
use crate::share::Summary;
use crate::size::Size;
use crate::time::Time;

/// How long a summary may be on its way, so that requests sent before are not yet in it.
const SUMMARY_LAG: Duration = Duration::from_millis(200);

/// The wait that is expected of an owner whose summary is unknown.
pub(crate) const UNKNOWN_WAIT: Duration = Duration::from_millis(100);

/// A wait that counts as room.
const SHORT_WAIT: Duration = Duration::from_millis(50);

/// The longest run time that one request is expected to hold others up for.
const LONGEST_AHEAD: Duration = Duration::from_secs(60);

/// Requests that are remembered at most as sent to an owner since its last summary.
const SENT_KEPT: usize = 1_024;

/// How well an owner suits a request, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fit {
    /// It has allotment for the team and room or hardly a wait.
    Room,
    /// It has allotment for the team, and the request would queue.
    Queue,
    /// It has allotment for the team that is in use.
    Spent,
    /// It has no allotment for the team.
    Bare,
}

/// What was sent to an owner and may be missing in its summary.
#[derive(Clone, Debug)]
struct Sent {
    at: Time,
    team: Name,
    size: Size,
    estimate: Duration,
    /// How long it holds up others, of its estimate.
    ahead: Duration,
}

/// What is known of one owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct Known {
    summary: Option<Summary>,
    sent: VecDeque<Sent>,
    /// The sum of what was sent.
    total: Size,
    /// The sum of what was sent, by team.
    teams: BTreeMap<Name, Size>,
    /// How long what was sent holds up others.
    ahead: Duration,
    shunned_until: Time,
}

impl Known {
    /// Takes a summary; one that is older than the last is ignored.
    pub(crate) fn set_summary(&mut self, now: Time, summary: Summary) {
        let last = self.summary.as_ref().map_or(0, |last| last.sequence);
        if summary.sequence <= last {
            return;
        }
        self.summary = Some(summary);
        let sent = std::mem::take(&mut self.sent);
        self.total = Size::ZERO;
        self.teams.clear();
        self.ahead = Duration::ZERO;
        for sent in sent {
            if now.since(sent.at) < SUMMARY_LAG {
                self.add(sent);
            }
        }
    }

    /// Notes that a request was sent.
    pub(crate) fn note_sent(&mut self, now: Time, request: &Request) {
        if self.sent.len() == SENT_KEPT {
            self.forget_oldest();
        }
        self.add(Sent {
            at: now,
            team: request.team.clone(),
            size: request.size,
            estimate: request.estimate,
            ahead: Duration::ZERO,
        });
    }

    /// Takes the owner only where there is no other, until the given time.
    pub(crate) fn shun(&mut self, until: Time) {
        self.shunned_until = until;
    }

    /// Tells whether the owner is taken only where there is no other.
    pub(crate) fn is_shunned(&self, now: Time) -> bool {
        now < self.shunned_until
    }

    /// Returns the wait that a new request is to expect.
    pub(crate) fn wait(&self) -> Duration {
        match &self.summary {
            Some(summary) => summary.wait.saturating_add(self.ahead),
            None => UNKNOWN_WAIT,
        }
    }

    /// Returns how well the owner suits a request.
    pub(crate) fn fit(&self, request: &Request) -> Fit {
        let Some(summary) = &self.summary else {
            return Fit::Room;
        };
        let Some(tally) = summary.teams.get(&request.team) else {
            return Fit::Bare;
        };
        if !request.size.fits(&tally.allotted) {
            return Fit::Bare;
        }
        let sent = self.teams.get(&request.team).copied().unwrap_or_default();
        let used = tally.running.plus(&tally.waiting).plus(&sent);
        if !request.size.plus(&used).fits(&tally.allotted) {
            return Fit::Spent;
        }
        let free = summary.free.minus(&self.total);
        let room = request.size.fits(&summary.largest) && request.size.fits(&free);
        if room || self.wait() <= SHORT_WAIT {
            Fit::Room
        } else {
            Fit::Queue
        }
    }

    /// Tells whether the owner has room for a request but too little of its team's limit.
    pub(crate) fn lacks_allotment(&self, request: &Request) -> bool {
        let largest = self.summary.as_ref().map(|summary| summary.largest);
        let room = largest.is_some_and(|largest| request.size.fits(&largest));
        room && matches!(self.fit(request), Fit::Spent | Fit::Bare)
    }

    /// Tells whether the owner's workers could never hold a size; an owner that knows none of them
    /// yet can't say.
    pub(crate) fn too_small(&self, size: &Size) -> bool {
        let ceiling = self.summary.as_ref().map(|summary| summary.ceiling);
        ceiling.is_some_and(|ceiling| !ceiling.is_zero() && !size.fits(&ceiling))
    }

    fn add(&mut self, mut sent: Sent) {
        sent.ahead = self.ahead_of(&sent);
        self.ahead += sent.ahead;
        self.total = self.total.plus(&sent.size);
        let sum = self.teams.entry(sent.team.clone()).or_default();
        *sum = sum.plus(&sent.size);
        self.sent.push_back(sent);
    }

    fn forget_oldest(&mut self) {
        let Some(sent) = self.sent.pop_front() else {
            return;
        };
        self.ahead = self.ahead.saturating_sub(sent.ahead);
        self.total = self.total.minus(&sent.size);
        if let Some(sum) = self.teams.get_mut(&sent.team) {
            *sum = sum.minus(&sent.size);
        }
    }

    fn ahead_of(&self, sent: &Sent) -> Duration {
        let Some(summary) = &self.summary else {
            return Duration::ZERO;
        };
        let part = sent.size.dominant_share(&summary.capacity).min(1.0);
        sent.estimate.min(LONGEST_AHEAD).mul_f64(part)
    }
}
