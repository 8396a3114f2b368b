//! The workers as the scheduler knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::size::Size;
use crate::time::Time;

use super::spec::Purpose;
use super::{Attempt, JobId};

/// A worker's entry in the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The worker's id.
    pub id: Name,
    /// The pool that it belongs to.
    pub pool: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Its rack.
    pub rack: Name,
    /// Its labels, among them its kind.
    pub labels: Vec<Name>,
    /// What it holds.
    pub capacity: Size,
    /// Whether it takes new tasks.
    pub status: Status,
    /// When this life of the worker began, in milliseconds since 1970.
    pub born_ms: u64,
}

/// Whether a worker takes new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// How far the scheduler rules a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Contact {
    /// It has not answered yet: what runs there is unknown.
    Unclaimed,
    /// It answers.
    Claimed,
    /// It stopped answering.
    Silent,
    /// This life of it is over.
    Gone,
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its entry.
    pub entry: Entry,
    /// How far it is ruled.
    pub contact: Contact,
    /// Whether the registry lists it.
    pub listed: bool,
    /// Whether it stands in the stored roster. A successor would not look for tasks on a worker
    /// that does not, so nothing is started there.
    pub in_roster: bool,
    /// What is not booked.
    pub free: Size,
    /// The attempts that are booked, and what they are for.
    pub attempts: BTreeMap<Attempt, Purpose>,
    /// What runs there unasked: it takes room until it has stopped, and nobody knows how much.
    pub orphans: BTreeSet<Attempt>,
    /// The highest number of an end that was taken in.
    pub highest_end: u64,
    /// Ends that were taken in but are not stored yet.
    pub unstored: BTreeSet<u64>,
    /// The scheduler's count of growths when this worker last got more room.
    pub grown_at: u64,
    /// The job that this worker is being emptied for.
    pub reserved_for: Option<JobId>,
    /// Whether a gang that finds no room may run here: what is less urgent does not start here then.
    pub held_for_gang: bool,
    /// Until when a gang asks whether it may run here.
    pub advice_pending_until: Time,
    /// Failures of different jobs in a row.
    pub failures: BTreeSet<JobId>,
    /// Until when nothing is started there, since all that was started failed.
    pub quarantined_until: Option<Time>,
}

impl Worker {
    /// Makes a worker that was not heard yet.
    pub fn new(entry: Entry) -> Worker {
        Worker {
            free: entry.capacity,
            entry,
            contact: Contact::Unclaimed,
            listed: true,
            in_roster: false,
            attempts: BTreeMap::new(),
            orphans: BTreeSet::new(),
            highest_end: 0,
            unstored: BTreeSet::new(),
            grown_at: 0,
            reserved_for: None,
            held_for_gang: false,
            advice_pending_until: Time::default(),
            failures: BTreeSet::new(),
            quarantined_until: None,
        }
    }

    /// Tells whether tasks may be started there.
    pub fn is_schedulable(&self, now: Time) -> bool {
        self.contact == Contact::Claimed
            && self.listed
            && self.in_roster
            && self.orphans.is_empty()
            && self.entry.status == Status::Ready
            && self.quarantined_until.is_none_or(|until| now >= until)
    }

    /// Tells whether a gang waits for room here or asks for it.
    pub fn is_held_for_gang(&self, now: Time) -> bool {
        self.held_for_gang || self.advice_pending_until > now
    }

    /// Returns the number up to which ends are stored.
    pub fn acknowledged(&self) -> u64 {
        match self.unstored.first() {
            Some(first) => first - 1,
            None => self.highest_end,
        }
    }

    /// Tells whether tasks of a purpose and what runs here would slow each other down: those that
    /// fill the gaps are kept apart from those that serve.
    pub fn interferes_with(&self, purpose: Purpose) -> bool {
        let mut others = self.attempts.values();
        match purpose {
            Purpose::Work => false,
            Purpose::Serve => others.any(|other| other.is_filler()),
            Purpose::Fill | Purpose::Background => others.any(|other| *other == Purpose::Serve),
        }
    }

    /// Books an attempt.
    pub fn book(&mut self, attempt: Attempt, size: &Size, purpose: Purpose) {
        if self.attempts.insert(attempt, purpose).is_none() {
            self.free = self.free.minus(size);
        }
    }

    /// Gives the room of an attempt back.
    pub fn release(&mut self, attempt: &Attempt, size: &Size) {
        if self.attempts.remove(attempt).is_some() {
            self.free = self.free.plus(size);
        }
    }
}
