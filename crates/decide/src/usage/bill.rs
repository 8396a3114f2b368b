//! The bill: the usage of each team within a period.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Entry, Key};
use crate::attempt::Attempt;
use crate::name::Name;
use crate::size::Size;

/// A half-open period in milliseconds of Unix time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Period {
    /// The start, inclusive.
    pub from_ms: u64,
    /// The end, exclusive.
    pub to_ms: u64,
}

/// The usage of a team: each booked amount multiplied by the time that it was booked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// The number of attempts that ran within the period.
    pub attempts: u64,
    /// Thousandths of a core times milliseconds.
    pub millicore_ms: u128,
    /// Mebibytes times milliseconds.
    pub memory_mib_ms: u128,
    /// Accelerators times milliseconds.
    pub accelerator_ms: u128,
}

impl Amount {
    fn add(&mut self, size: &Size, span_ms: u64) {
        let times_span = |amount: u64| u128::from(amount) * u128::from(span_ms);
        self.attempts += 1;
        self.millicore_ms += times_span(size.millicores);
        self.memory_mib_ms += times_span(size.memory_mib);
        self.accelerator_ms += times_span(size.accelerators);
    }
}

/// The time span in which an attempt is known to have run, over all its entries.
#[derive(Clone, Debug)]
struct Span {
    team: Name,
    size: Size,
    from_ms: u64,
    to_ms: u64,
}

/// Collects entries and computes the usage of teams; the order of the entries does not matter.
#[derive(Debug, Default)]
pub struct Bill {
    entries: BTreeMap<Key, Entry>,
}

impl Bill {
    /// Adds an entry, merging it with an earlier one that has the same key.
    pub fn add(&mut self, entry: &Entry) {
        self.entries
            .entry(entry.key)
            .and_modify(|known| known.merge(entry))
            .or_insert_with(|| entry.clone());
    }

    /// Returns the usage of each team within a period.
    ///
    /// An attempt runs once and without interruption on one worker, so it is billed from its first
    /// known moment to its last, including times in which no owner recorded it.
    pub fn teams(&self, period: Period) -> BTreeMap<Name, Amount> {
        let mut amounts: BTreeMap<Name, Amount> = BTreeMap::new();
        for span in self.spans().into_values() {
            let from_ms = span.from_ms.max(period.from_ms);
            let to_ms = span.to_ms.min(period.to_ms);
            let overlaps = span.from_ms < period.to_ms && span.to_ms >= period.from_ms;
            if overlaps {
                let amount = amounts.entry(span.team).or_default();
                amount.add(&span.size, to_ms.saturating_sub(from_ms));
            }
        }
        amounts
    }

    fn spans(&self) -> BTreeMap<Attempt, Span> {
        let mut spans: BTreeMap<Attempt, Span> = BTreeMap::new();
        for entry in self.entries.values() {
            let span = spans.entry(entry.key.attempt).or_insert_with(|| Span {
                team: entry.team.clone(),
                size: entry.size,
                from_ms: entry.from_ms,
                to_ms: entry.to_ms,
            });
            span.from_ms = span.from_ms.min(entry.from_ms);
            span.to_ms = span.to_ms.max(entry.to_ms);
        }
        spans
    }
}
