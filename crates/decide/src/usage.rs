//! Usage accounting: entries that count once, sealed segments and the bill.
//!
//! An entry is keyed by an attempt and an interval. Two entries with the same key merge into their
//! union, so a repeated entry, a repeated segment or a second owner's entry for the same attempt is
//! not counted again. `docs/design/usage.md` gives the reasons.

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

/// The key of an entry.
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
    /// The key.
    #[serde(flatten)]
    pub key: Key,
    /// The team that is billed.
    pub team: Name,
    /// The service, queue or job.
    pub kind: Name,
    /// The size that was booked for the attempt.
    pub size: Size,
    /// The highest use that was reported.
    pub used: Size,
    /// When the attempt began, or the interval if that was later, in milliseconds of Unix time.
    pub from_ms: u64,
    /// When the attempt was last known to run within the interval, in milliseconds of Unix time.
    pub to_ms: u64,
}

impl Entry {
    /// Merges another entry with the same key into this one, giving the union of both.
    pub fn merge(&mut self, other: &Entry) {
        self.from_ms = self.from_ms.min(other.from_ms);
        self.to_ms = self.to_ms.max(other.to_ms);
        self.used = Size::max(&self.used, &other.used);
    }
}

/// A running attempt that is being recorded.
#[derive(Clone, Debug)]
struct Run {
    running: Running,
    worker: Name,
    used: Size,
    from_ms: u64,
}

/// The running attempts of one owner, and the entries that are not sealed yet.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: BTreeMap<Attempt, Run>,
    entries: BTreeMap<Key, Entry>,
}

impl Ledger {
    /// Records that an attempt runs; repeating the call changes nothing.
    pub fn begin(&mut self, now_ms: u64, worker: &Name, running: &Running) {
        self.runs.entry(running.attempt).or_insert_with(|| Run {
            running: running.clone(),
            worker: worker.clone(),
            used: Size::ZERO,
            from_ms: now_ms,
        });
    }

    /// Removes an attempt that did not begin, without an entry.
    pub fn cancel(&mut self, attempt: Attempt) {
        self.runs.remove(&attempt);
    }

    /// Records the reported use of an attempt.
    pub fn report(&mut self, attempt: Attempt, used: &Size) {
        if let Some(run) = self.runs.get_mut(&attempt) {
            run.used = Size::max(&run.used, used);
        }
    }

    /// Records that an attempt has ended, or that another owner records it from now on.
    pub fn end(&mut self, now_ms: u64, attempt: Attempt) {
        if let Some(run) = self.runs.remove(&attempt) {
            self.add_entries(&run, now_ms);
        }
    }

    /// Ends the attempts on a worker that are not in `running` and begins those that are new.
    pub fn reconcile(&mut self, now_ms: u64, worker: &Name, running: &[Running]) {
        let is_running = |attempt: &Attempt| running.iter().any(|known| known.attempt == *attempt);
        let ended = self.runs.iter().filter(|(_, run)| run.worker == *worker);
        let ended = ended.map(|(attempt, _)| *attempt);
        let ended: Vec<Attempt> = ended.filter(|attempt| !is_running(attempt)).collect();
        for attempt in ended {
            self.end(now_ms, attempt);
        }
        for known in running {
            self.begin(now_ms, worker, known);
        }
    }

    /// Removes and returns the entries to be sealed; running attempts are recorded up to now.
    pub fn take(&mut self, now_ms: u64) -> Vec<Entry> {
        for run in std::mem::take(&mut self.runs).into_values() {
            self.add_entries(&run, now_ms);
            let continued = Run {
                from_ms: now_ms.max(run.from_ms),
                ..run
            };
            self.runs.insert(continued.running.attempt, continued);
        }
        std::mem::take(&mut self.entries).into_values().collect()
    }

    /// Returns the number of running attempts and of entries that are not sealed.
    pub fn counts(&self) -> (usize, usize) {
        (self.runs.len(), self.entries.len())
    }

    /// Adds the entries of an attempt up to `to_ms`, one for each interval that it ran in.
    fn add_entries(&mut self, run: &Run, to_ms: u64) {
        let mut from_ms = run.from_ms;
        let to_ms = to_ms.max(from_ms);
        loop {
            let interval = from_ms / INTERVAL_MS;
            let end_ms = (interval + 1) * INTERVAL_MS;
            let entry = Entry {
                key: Key {
                    attempt: run.running.attempt,
                    interval,
                },
                team: run.running.team.clone(),
                kind: run.running.kind.clone(),
                size: run.running.size,
                used: run.used,
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
