//! The failure domains that the operator evacuates, as the rows of the store say.

use std::collections::BTreeSet;

use azurepath_decide::name::Name;
use azurepath_platform::evacuation;
use azurepath_platform::store::Row;
use slog::{Logger, warn};

/// The evacuated failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Evacuation {
    /// The names of the domains.
    pub(super) domains: BTreeSet<Name>,
    /// The version of the store up to which changes are included.
    pub(super) version: u64,
}

impl Evacuation {
    /// Returns the evacuation that all rows of the operator at a version of the store demand. Skips
    /// unreadable names.
    pub(super) fn new(rows: &[Row], version: u64) -> Evacuation {
        let domains = rows.iter().filter(|row| row.value.is_some());
        let domains = domains.filter_map(|row| evacuation::domain(&row.key)?.ok());
        Evacuation {
            domains: domains.collect(),
            version,
        }
    }
}

/// Maintains the set of evacuated domains from reads and changes of the operator's rows.
#[derive(Debug, Default)]
pub(super) struct Tracker {
    domains: BTreeSet<Name>,
    /// The keys of rows that name no domain, each of which is logged once.
    unreadable: BTreeSet<String>,
}

impl Tracker {
    /// Replaces the set by that of all rows at a version of the store.
    pub(super) fn replace(&mut self, rows: &[Row], version: u64, log: &Logger) -> Evacuation {
        self.domains.clear();
        let keys: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        self.unreadable.retain(|key| keys.contains(key.as_str()));
        self.apply(rows, version, log)
    }

    /// Applies rows that have changed up to a version of the store.
    pub(super) fn apply(&mut self, rows: &[Row], version: u64, log: &Logger) -> Evacuation {
        for row in rows {
            match (evacuation::domain(&row.key), &row.value) {
                (None, _) => {}
                (Some(Ok(domain)), Some(_)) => drop(self.domains.insert(domain)),
                (Some(Ok(domain)), None) => drop(self.domains.remove(&domain)),
                (Some(Err(_)), None) => drop(self.unreadable.remove(&row.key)),
                (Some(Err(fault)), Some(_)) => {
                    if self.unreadable.insert(row.key.clone()) {
                        warn!(log, "evacuation can't be read";
                            "row" => &row.key, "row_version" => row.version, "error" => %fault);
                    }
                }
            }
        }
        Evacuation {
            domains: self.domains.clone(),
            version,
        }
    }
}
