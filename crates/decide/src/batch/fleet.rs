//! The scheduler's view of the workers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::size::Size;
use crate::time::Time;

use super::spec::Purpose;
use super::speed::Speed;
use super::{Attempt, JobId};

/// A worker's entry in the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The worker's id.
    pub id: Name,
    /// The pool that it belongs to.
    pub pool: Name,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Its rack.
    pub rack: Name,
    /// Its labels; its kind is one of them.
    pub labels: Vec<Name>,
    /// Its capacity.
    pub capacity: Size,
    /// Whether it takes new tasks.
    pub status: Status,
    /// The start time of this incarnation of the worker, in milliseconds since 1970.
    pub born_ms: u64,
}

/// The largest amount of each resource of a worker: a million cores, a pebibyte of memory, a million
/// accelerators. No machine has more.
const MAX_CAPACITY: Size = Size {
    millicores: 1_000_000_000,
    memory_mib: 1 << 30,
    accelerators: 1_000_000,
    slots: u64::MAX,
};

/// The maximum number of labels of a worker.
const MAX_LABELS: usize = 100;

/// The maximum length of a name in an entry, in bytes: that of a key of the store.
const MAX_NAME_BYTES: usize = 200;

/// How far the clock of a worker may be ahead of the reader's, in milliseconds.
const MAX_CLOCK_LEAD_MS: u64 = 60_000;

/// Why an entry names no worker to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// No worker can be called at its address.
    #[error("its address can't be called; register the address that the worker listens on")]
    Address,
    /// No machine has such a capacity.
    #[error("its capacity is impossible; register that of the worker")]
    Capacity,
    /// Its names are too long or too many.
    #[error(
        "it has over {MAX_LABELS} labels or a name of over {MAX_NAME_BYTES} bytes; shorten them"
    )]
    Names,
    /// It would precede all later incarnations of the worker.
    #[error("the worker was born in the future; set its clock")]
    Born,
}

impl Entry {
    /// Checks that the entry may be that of a worker, at a time in milliseconds since 1970. Entries
    /// may come from writers that are no workers.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    pub fn check(&self, wall_ms: u64) -> Result<(), Fault> {
        let ip = self.address.ip();
        if self.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return Err(Fault::Address);
        }
        if !self.capacity.fits(&MAX_CAPACITY) {
            return Err(Fault::Capacity);
        }
        let names = [&self.id, &self.pool, &self.failure_domain, &self.rack];
        let mut names = names.into_iter().chain(&self.labels);
        if self.labels.len() > MAX_LABELS || names.any(|name| name.len() > MAX_NAME_BYTES) {
            return Err(Fault::Names);
        }
        if self.born_ms > wall_ms.saturating_add(MAX_CLOCK_LEAD_MS) {
            return Err(Fault::Born);
        }
        Ok(())
    }
}

/// Whether a worker takes new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    /// It takes new tasks.
    Ready,
    /// It takes no new tasks because it is about to leave.
    Draining,
}

/// Whether the scheduler controls a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Contact {
    /// The worker has not answered yet, and its running tasks are unknown.
    Unclaimed,
    /// The worker answers.
    Claimed,
    /// The worker has stopped answering.
    Silent,
    /// This incarnation of the worker has ended.
    Gone,
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its entry in the registry.
    pub entry: Entry,
    /// Whether the scheduler controls it.
    pub contact: Contact,
    /// Whether the registry lists it.
    pub listed: bool,
    /// Whether its failure domain is evacuated. Nothing is started on it meanwhile; what runs there
    /// continues.
    pub evacuated: bool,
    /// Whether it is in the stored roster. Nothing is started on a worker that is not, because a
    /// successor would not look for tasks on it.
    pub in_roster: bool,
    /// Whether it is the next incarnation of a worker of the stored roster.
    pub follows_roster: bool,
    /// The start time of the next incarnation, in milliseconds since 1970, once that is known. It may be
    /// earlier than that of this one if the worker's clock was set back.
    pub restarted_as: Option<u64>,
    /// Runs of former incarnations that may still start on it. Nothing else is started there
    /// meanwhile, because they would take capacity that is not booked.
    pub unsettled: BTreeSet<Attempt>,
    /// The capacity that is not booked.
    pub free: Size,
    /// The booked attempts and their purposes.
    pub attempts: BTreeMap<Attempt, Purpose>,
    /// Attempts that run on it without an order of this scheduler. Each takes an unknown part of
    /// the capacity until it has stopped.
    pub orphans: BTreeSet<Attempt>,
    /// The highest number of an end that was processed.
    pub highest_end: u64,
    /// The numbers of ends that were processed but are not stored yet.
    pub unstored: BTreeSet<u64>,
    /// The gang job for which this worker is being emptied.
    pub reserved_for: Option<JobId>,
    /// Whether its capacity is held for a gang that does not fit yet. Less urgent work does not
    /// start on it meanwhile.
    pub held_for_gang: bool,
    /// The time until which a gang waits for advice about this worker.
    pub advice_pending_until: Time,
    /// The jobs that have failed on it in a row.
    pub failures: BTreeSet<JobId>,
    /// The time until which nothing is started on it, because it is unhealthy or jobs keep failing
    /// on it.
    pub quarantined_until: Option<Time>,
    /// Its estimated speed.
    pub speed: Speed,
}

impl Worker {
    /// Creates a worker that has not answered yet.
    pub fn new(entry: Entry) -> Worker {
        Worker {
            free: entry.capacity,
            entry,
            contact: Contact::Unclaimed,
            listed: true,
            evacuated: false,
            in_roster: false,
            follows_roster: false,
            restarted_as: None,
            unsettled: BTreeSet::new(),
            attempts: BTreeMap::new(),
            orphans: BTreeSet::new(),
            highest_end: 0,
            unstored: BTreeSet::new(),
            reserved_for: None,
            held_for_gang: false,
            advice_pending_until: Time::default(),
            failures: BTreeSet::new(),
            quarantined_until: None,
            speed: Speed::default(),
        }
    }

    /// Tells whether tasks may be started on it.
    pub fn is_schedulable(&self, now: Time) -> bool {
        self.contact == Contact::Claimed
            && self.listed
            && !self.evacuated
            && self.in_roster
            && self.orphans.is_empty()
            && self.unsettled.is_empty()
            && self.entry.status == Status::Ready
            && self.quarantined_until.is_none_or(|until| now >= until)
    }

    /// Tells whether tasks of earlier schedulers may run on it that it has not reported yet.
    pub fn is_unreported(&self) -> bool {
        (self.in_roster || self.follows_roster) && self.contact == Contact::Unclaimed
    }

    /// Tells whether it has not answered this scheduler yet and takes new tasks once it has.
    pub fn may_answer(&self) -> bool {
        self.is_unreported() && self.listed && !self.evacuated && self.entry.status == Status::Ready
    }

    /// Tells whether its capacity is held for a gang, or a gang waits for advice about it.
    pub fn is_held_for_gang(&self, now: Time) -> bool {
        self.held_for_gang || self.advice_pending_until > now
    }

    /// Returns the number up to which all ends are stored.
    pub fn acknowledged(&self) -> u64 {
        match self.unstored.first() {
            Some(first) => first.saturating_sub(1),
            None => self.highest_end,
        }
    }

    /// Tells whether a task with this purpose must not run beside the tasks on the worker. Fillers are kept
    /// apart from services, which they slow down, and services from fillers that end.
    pub fn interferes_with(&self, purpose: Purpose) -> bool {
        let mut others = self.attempts.values();
        match purpose {
            Purpose::Work => false,
            Purpose::Serve => others.any(|other| *other == Purpose::Fill),
            Purpose::Fill | Purpose::Background => others.any(|other| *other == Purpose::Serve),
        }
    }

    /// Tells whether a filler runs on it that lasts until its job is cancelled.
    pub fn has_lasting_filler(&self) -> bool {
        let mut others = self.attempts.values();
        others.any(|other| *other == Purpose::Background)
    }

    /// Books an attempt.
    pub fn book(&mut self, attempt: Attempt, size: &Size, purpose: Purpose) {
        if self.attempts.insert(attempt, purpose).is_none() {
            self.free = self.free.minus(size);
        }
    }

    /// Releases the capacity of an attempt.
    pub fn release(&mut self, attempt: &Attempt, size: &Size) {
        if self.attempts.remove(attempt).is_some() {
            self.free = self.free.plus(size);
        }
    }
}
