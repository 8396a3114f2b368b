//! What teams have used: entries that count once, sealed segments and the bill.
//!
//! An entry is keyed by an attempt and an interval. Two entries with the same key merge into their
//! union, so a repeated entry, a repeated segment or a second owner's word on the same attempt adds
//! nothing. `docs/design/usage.md` gives the reasons.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::attempt::{Attempt, Running};
use crate::name::Name;
use crate::size::Size;

mod bill;
mod segment;

pub use bill::{Amount, Bill, Period};
pub use segment::{Chain, Corruption, Head, Segment};

/// The length of an interval in milliseconds.
pub const INTERVAL_MS: u64 = 60_000;

/// What identifies an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The attempt.
    pub attempt: Attempt,
    /// The interval: Unix time divided by [`INTERVAL_MS`].
    pub interval: u64,
}

/// What an attempt used within one interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// What identifies the entry.
    #[serde(flatten)]
    pub key: Key,
    /// The team that is billed.
    pub team: Name,
    /// The service, queue or job.
    pub kind: Name,
    /// What was booked for the attempt.
    pub size: Size,
    /// The most that a report said it used.
    pub used: Size,
    /// When it began, or the interval did, in milliseconds of Unix time.
    pub from_ms: u64,
    /// When it was last known to run, within the interval.
    pub to_ms: u64,
}

impl Entry {
    /// Merges another entry with the same key: the union of both.
    pub fn merge(&mut self, other: &Entry) {
        self.from_ms = self.from_ms.min(other.from_ms);
        self.to_ms = self.to_ms.max(other.to_ms);
        self.used = Size::max(&self.used, &other.used);
    }
}

/// An attempt that runs.
#[derive(Clone, Debug)]
struct Open {
    running: Running,
    worker: Name,
    used: Size,
    from_ms: u64,
}

/// The entries of one owner that are not sealed yet.
#[derive(Debug, Default)]
pub struct Ledger {
    open: BTreeMap<Attempt, Open>,
    entries: BTreeMap<Key, Entry>,
}

impl Ledger {
    /// Notes that an attempt runs; a repeated note changes nothing.
    pub fn begin(&mut self, now_ms: u64, worker: &Name, running: &Running) {
        self.open.entry(running.attempt).or_insert_with(|| Open {
            running: running.clone(),
            worker: worker.clone(),
            used: Size::ZERO,
            from_ms: now_ms,
        });
    }

    /// Notes that an attempt did not begin.
    pub fn cancel(&mut self, attempt: Attempt) {
        self.open.remove(&attempt);
    }

    /// Notes what an attempt uses.
    pub fn report(&mut self, attempt: Attempt, used: &Size) {
        if let Some(open) = self.open.get_mut(&attempt) {
            open.used = Size::max(&open.used, used);
        }
    }

    /// Notes that an attempt has ended, or is another owner's to count.
    pub fn end(&mut self, now_ms: u64, attempt: Attempt) {
        if let Some(open) = self.open.remove(&attempt) {
            self.write(&open, now_ms);
        }
    }

    /// Notes that only these attempts run on a worker.
    pub fn reconcile(&mut self, now_ms: u64, worker: &Name, running: &[Running]) {
        let lives = |attempt: &Attempt| running.iter().any(|known| known.attempt == *attempt);
        let gone = self.open.iter().filter(|(_, open)| open.worker == *worker);
        let gone = gone.map(|(attempt, _)| *attempt);
        let gone: Vec<Attempt> = gone.filter(|attempt| !lives(attempt)).collect();
        for attempt in gone {
            self.end(now_ms, attempt);
        }
        for known in running {
            self.begin(now_ms, worker, known);
        }
    }

    /// Takes the entries out that have to be sealed, those of running attempts up to now.
    pub fn take(&mut self, now_ms: u64) -> Vec<Entry> {
        for open in std::mem::take(&mut self.open).into_values() {
            self.write(&open, now_ms);
            let rest = Open {
                from_ms: now_ms.max(open.from_ms),
                ..open
            };
            self.open.insert(rest.running.attempt, rest);
        }
        std::mem::take(&mut self.entries).into_values().collect()
    }

    /// Returns how many attempts run and how many entries are not sealed.
    pub fn counts(&self) -> (usize, usize) {
        (self.open.len(), self.entries.len())
    }

    /// Writes the entries of an attempt, one for each interval that it ran in.
    fn write(&mut self, open: &Open, to_ms: u64) {
        let mut from_ms = open.from_ms;
        let to_ms = to_ms.max(from_ms);
        loop {
            let interval = from_ms / INTERVAL_MS;
            let end_ms = (interval + 1) * INTERVAL_MS;
            let entry = Entry {
                key: Key {
                    attempt: open.running.attempt,
                    interval,
                },
                team: open.running.team.clone(),
                kind: open.running.kind.clone(),
                size: open.running.size,
                used: open.used,
                from_ms,
                to_ms: to_ms.min(end_ms),
            };
            self.entries
                .entry(entry.key)
                .and_modify(|known| known.merge(&entry))
                .or_insert(entry);
            if to_ms <= end_ms {
                return;
            }
            from_ms = end_ms;
        }
    }
}
