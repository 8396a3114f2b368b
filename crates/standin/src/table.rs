//! The rows of the table service.

use std::collections::BTreeMap;
use std::ops::Bound;

use azurepath_services::table::{Check, Commit, Page, Row, Transaction};
use serde_json::Value;

/// The maximum number of rows in one scan.
const MAX_SCAN_ROWS: usize = 1_000;

/// The rows, with one revision counter for all of them.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    revision: u64,
    rows: BTreeMap<String, (u64, Value)>,
}

/// A row whose check failed.
#[derive(serde::Serialize)]
pub(crate) struct Conflict {
    /// The key.
    pub(crate) key: String,
    /// The current revision of the row.
    pub(crate) revision: u64,
}

impl Rows {
    /// Applies a transaction completely or not at all.
    pub(crate) fn transact(&mut self, transaction: Transaction) -> Result<Commit, Conflict> {
        for Check { key, revision } in transaction.checks {
            let current = self.rows.get(&key).map_or(0, |(revision, _)| *revision);
            if current != revision {
                return Err(Conflict {
                    key,
                    revision: current,
                });
            }
        }
        self.revision += 1;
        for write in transaction.writes {
            match write.value {
                Some(value) => self.rows.insert(write.key, (self.revision, value)),
                None => self.rows.remove(&write.key),
            };
        }
        Ok(Commit {
            revision: self.revision,
        })
    }

    /// Reads one row.
    pub(crate) fn read(&self, key: &str) -> Option<Row> {
        self.rows.get(key).map(|entry| row(key, entry))
    }

    /// Reads at most `limit` rows whose keys begin with `prefix` and come after `after`.
    pub(crate) fn scan(&self, prefix: &str, after: Option<&str>, limit: Option<usize>) -> Page {
        let limit = limit.unwrap_or(MAX_SCAN_ROWS).clamp(1, MAX_SCAN_ROWS);
        let from = match after {
            Some(after) if after >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        let range = self.rows.range::<str, _>((from, Bound::Unbounded));
        let mut matching = range.take_while(|(key, _)| key.starts_with(prefix));
        let rows: Vec<Row> = matching
            .by_ref()
            .take(limit)
            .map(|(key, entry)| row(key, entry))
            .collect();
        let more = matching.next().is_some();
        let last = rows.last().map(|row| row.key.clone());
        Page {
            next: last.filter(|_| more),
            rows,
        }
    }
}

fn row(key: &str, (revision, value): &(u64, Value)) -> Row {
    Row {
        key: key.to_owned(),
        revision: *revision,
        value: value.clone(),
    }
}
