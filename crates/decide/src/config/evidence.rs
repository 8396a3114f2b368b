//! Evidence that the configuration that a server has in force is current enough to act on.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::name::Name;
use crate::time::Time;

/// Whether a server may act on the configuration that it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may: no newer revision is accepted before `until`, which further evidence extends.
    Current {
        /// When the evidence expires.
        until: Time,
    },
    /// It may not: there is a newer revision, and the evidence for this one has expired.
    Behind {
        /// The newest known revision.
        newest: u64,
    },
    /// It may not: there is no recent evidence.
    Isolated,
}

/// An answer of the table or of a server about the newest revision that it knows.
#[derive(Clone, Copy, Debug)]
struct Answer {
    /// When the question was sent.
    asked_at: Time,
    revision: u64,
}

/// The evidence of one server, which uses only its own clock.
///
/// An answer counts from the time at which the question was sent, since a delayed answer says
/// nothing about the time at which it arrives. There is evidence if the table has answered that
/// nothing newer exists, or if more than half of all known servers, this one included, have
/// answered that they know nothing newer than what this server has in force.
#[derive(Debug)]
pub struct Evidence {
    window: Duration,
    applied: u64,
    newest: u64,
    loaded: bool,
    table: Option<Answer>,
    peers: Option<BTreeSet<Name>>,
    answers: BTreeMap<Name, Answer>,
}

impl Evidence {
    /// Returns empty evidence; each answer counts for `window` after its question was sent.
    pub fn new(window: Duration) -> Evidence {
        Evidence {
            window,
            applied: 0,
            newest: 0,
            loaded: false,
            table: None,
            peers: None,
            answers: BTreeMap::new(),
        }
    }

    /// Sets the names of all other known servers.
    pub fn set_peers(&mut self, peers: BTreeSet<Name>) {
        self.answers.retain(|name, _| peers.contains(name));
        self.peers = Some(peers);
    }

    /// Records that this server has a revision in force.
    pub fn set_applied(&mut self, revision: u64) {
        self.loaded = true;
        self.applied = self.applied.max(revision);
        self.newest = self.newest.max(revision);
    }

    /// Records that a revision exists, which says nothing about whether there are newer ones.
    pub fn note_revision(&mut self, revision: u64) {
        self.newest = self.newest.max(revision);
    }

    /// Records the head revision in the table, from a read that began at `asked_at`.
    pub fn record_head(&mut self, asked_at: Time, revision: u64) {
        self.newest = self.newest.max(revision);
        // An answer that names a newer revision does not replace an earlier one, which still counts
        // until its window ends.
        if revision <= self.applied && self.table.is_none_or(|answer| answer.asked_at <= asked_at) {
            self.table = Some(Answer { asked_at, revision });
        }
    }

    /// Records another server's answer to a question sent at `asked_at`: the newest revision that
    /// it knows, or `None` if it has not read the configuration since it started.
    pub fn record_peer(&mut self, server: &Name, asked_at: Time, revision: Option<u64>) {
        let Some(revision) = revision else {
            return;
        };
        self.newest = self.newest.max(revision);
        let earlier = self
            .answers
            .get(server)
            .map_or(Time(0), |answer| answer.asked_at);
        if self.is_known(server) && asked_at >= earlier {
            self.answers
                .insert(server.clone(), Answer { asked_at, revision });
        }
    }

    /// Returns the newest revision that this server knows, or `None` before it has read the
    /// configuration.
    pub fn newest(&self) -> Option<u64> {
        self.loaded.then_some(self.newest)
    }

    /// Returns whether the server may act on its configuration at `now`.
    pub fn standing(&self, now: Time) -> Standing {
        if !self.loaded {
            return Standing::Isolated;
        }
        match self.table_until().max(self.majority_until()) {
            Some(until) if now < until => Standing::Current { until },
            _ if self.newest > self.applied => Standing::Behind {
                newest: self.newest,
            },
            _ => Standing::Isolated,
        }
    }

    fn is_known(&self, server: &Name) -> bool {
        self.peers
            .as_ref()
            .is_some_and(|peers| peers.contains(server))
    }

    fn table_until(&self) -> Option<Time> {
        let answer = self
            .table
            .filter(|answer| answer.revision <= self.applied)?;
        Some(answer.asked_at.after(self.window))
    }

    /// Returns until when the answers of more than half of the servers count as evidence.
    fn majority_until(&self) -> Option<Time> {
        let needed = self.peers.as_ref()?.len().div_ceil(2);
        if needed == 0 {
            return (self.newest <= self.applied).then_some(Time::MAX);
        }
        let mut times: Vec<Time> = self
            .answers
            .values()
            .filter(|answer| answer.revision <= self.applied)
            .map(|answer| answer.asked_at)
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let last = times.get(needed - 1)?;
        Some(last.after(self.window))
    }
}
