//! Follows the operator's rows, which are the configuration and the evacuations, and the registry of
//! workers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::config::Config;
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use azurepath_platform::store::{
    CONFIGURATION_KEY, Error, OPERATOR_TABLE, PAGE_ROWS, Page, REGISTRY_TABLE, Row, Store,
};
use azurepath_platform::{configuration, registry};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use super::evacuation::{Evacuation, Tracker};
use super::leader::Message;
use super::{Context, clock};
use crate::process::backoff;

/// How long a feed waits for a change. A silent feed is detected within this time and its slack, so
/// a configuration is applied within `configApplyMs`.
const FEED_WAIT: Duration = Duration::from_millis(1_000);

/// How long a read of the store may take.
pub(super) const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The longest pause after a failed read. Full jitter keeps the instances from reading at the same
/// time.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How often the registry is read. A worker's entry changes every `heartbeatMs`, so a feed that
/// answers at each change would cost one call per change.
const REGISTRY_INTERVAL: Duration = Duration::from_millis(400);

/// How long an entry may be missing before its worker counts as gone. Entries that expired while
/// the store was down are back within two seconds of its return.
const MISSING_GRACE: Duration = Duration::from_millis(2_500);

/// Reads a whole table.
///
/// # Errors
///
/// Returns the error of the page that could not be read.
async fn read_all(store: &Store, table: &str) -> Result<Page, Error> {
    let mut all = Page {
        rows: Vec::new(),
        more: true,
        version: u64::MAX,
    };
    let mut from = String::new();
    while all.more {
        let page = store.read_range(table, &from, None, PAGE_ROWS, READ_TIMEOUT);
        let page = page.await?;
        all.more = page.more && !page.rows.is_empty();
        // A feed continues from the version of the first page and repeats later changes.
        all.version = all.version.min(page.version);
        from = page.next_key().unwrap_or(from);
        all.rows.extend(page.rows);
    }
    Ok(all)
}

/// Follows a table: reads all rows once, then the changes.
struct Follower {
    store: Store,
    table: &'static str,
    version: Option<u64>,
}

/// The result of a follower's read.
enum Update {
    /// All rows.
    All(Vec<Row>),
    /// Rows that have changed.
    Changes(Vec<Row>),
}

impl Follower {
    fn new(store: &Store, table: &'static str) -> Follower {
        Follower {
            store: store.clone(),
            table,
            version: None,
        }
    }

    async fn next(&mut self, wait: Duration) -> Result<Update, Error> {
        let Some(version) = self.version else {
            let page = read_all(&self.store, self.table).await?;
            self.version = Some(page.version);
            return Ok(Update::All(page.rows));
        };
        match self.store.changes(self.table, version, wait).await {
            Ok(page) => {
                self.version = Some(page.version.max(version));
                Ok(Update::Changes(page.rows))
            }
            Err(Error::HistoryGone) => {
                self.version = None;
                Err(Error::HistoryGone)
            }
            Err(error) => Err(error),
        }
    }
}

/// Logs when a dependency is lost and when it is available again, once each.
struct Dependency {
    log: Logger,
    name: &'static str,
    lost: bool,
}

impl Dependency {
    fn observe(&mut self, error: Option<&Error>) {
        match error {
            Some(error) if !self.lost => {
                self.lost = true;
                warn!(self.log, "dependency lost"; "dependency" => self.name, "error" => %error);
            }
            None if self.lost => {
                self.lost = false;
                info!(self.log, "dependency regained"; "dependency" => self.name);
            }
            Some(_) | None => {}
        }
    }
}

/// Follows the operator's rows until `halt` is cancelled. An older version of the configuration never
/// replaces a newer one. While the store can't be read, the last known evacuations stay in force.
pub(super) async fn operator(
    context: Context,
    config: watch::Sender<Option<Arc<Config>>>,
    evacuation: watch::Sender<Arc<Evacuation>>,
    halt: CancellationToken,
) {
    context.counts.evacuated_domains.record(0, &[]);
    let mut tracker = Tracker::default();
    let mut follower = Follower::new(&context.store, OPERATOR_TABLE);
    let mut dependency = Dependency {
        log: context.log.clone(),
        name: "configuration",
        lost: false,
    };
    loop {
        let update = tokio::select! {
            () = halt.cancelled() => return,
            update = follower.next(FEED_WAIT) => update,
        };
        match update {
            Ok(update) => {
                dependency.observe(None);
                let version = follower.version.unwrap_or_default();
                let (rows, evacuated) = match update {
                    Update::All(rows) => {
                        let evacuated = tracker.replace(&rows, version, &context.log);
                        (rows, evacuated)
                    }
                    Update::Changes(rows) => {
                        let evacuated = tracker.apply(&rows, version, &context.log);
                        (rows, evacuated)
                    }
                };
                apply_evacuation(&context, &evacuation, evacuated);
                for row in rows.iter().filter(|row| row.key == CONFIGURATION_KEY) {
                    apply(&context, &config, row);
                }
            }
            Err(Error::HistoryGone) => {}
            Err(error) => {
                dependency.observe(Some(&error));
                backoff::pause_within(u32::MAX, MAX_RETRY_PAUSE).await;
            }
        }
    }
}

/// Publishes the evacuated domains. A new version is published even if they are unchanged, since a
/// leader may know another version in between from its own read.
fn apply_evacuation(
    context: &Context,
    sender: &watch::Sender<Arc<Evacuation>>,
    evacuation: Evacuation,
) {
    let known = sender.borrow().clone();
    if *known == evacuation {
        return;
    }
    if known.domains != evacuation.domains {
        context
            .counts
            .evacuated_domains
            .record(evacuation.domains.len() as u64, &[]);
        info!(context.log, "evacuation applied";
            "domains" => names(&evacuation.domains), "before" => names(&known.domains),
            "store_version" => evacuation.version);
    }
    sender.send_replace(Arc::new(evacuation));
}

fn names(domains: &BTreeSet<Name>) -> String {
    let names: Vec<&str> = domains.iter().map(|domain| &**domain).collect();
    names.join(" ")
}

fn apply(context: &Context, sender: &watch::Sender<Option<Arc<Config>>>, row: &Row) {
    let Some(bytes) = &row.value else {
        return;
    };
    let config = match configuration::read(bytes) {
        Ok(config) => config,
        Err(error) => {
            warn!(context.log, "configuration can't be read"; "row_version" => row.version, "error" => error);
            return;
        }
    };
    let known = sender.borrow().as_ref().map(|config| config.version);
    if known.is_some_and(|known| known >= config.version) {
        return;
    }
    match configuration::limits(bytes) {
        Ok(limits) => context.gate.set_limits(limits),
        Err(error) => {
            warn!(context.log, "limits can't be read"; "row_version" => row.version, "error" => error);
        }
    }
    info!(context.log, "configuration applied";
        "version" => config.version, "before" => known, "queues" => config.queues.len());
    sender.send_replace(Some(Arc::new(config)));
}

/// Follows the registry until `halt` is cancelled and sends the leader all entries whenever they
/// have changed.
pub(super) async fn workers(
    context: Context,
    leader: mpsc::UnboundedSender<Message>,
    halt: CancellationToken,
) {
    let mut follower = Follower::new(&context.store, REGISTRY_TABLE);
    let mut registry = Registry::default();
    let mut dependency = Dependency {
        log: context.log.clone(),
        name: "registry",
        lost: false,
    };
    loop {
        let update = tokio::select! {
            () = halt.cancelled() => return,
            update = follower.next(Duration::ZERO) => update,
        };
        let now = clock::now();
        let changed = match update {
            Ok(Update::All(rows)) => {
                dependency.observe(None);
                registry.apply_all(&rows, now, &context.log)
            }
            Ok(Update::Changes(rows)) => {
                dependency.observe(None);
                let mut changed = false;
                for row in &rows {
                    changed |= registry.apply(row, now, &context.log);
                }
                changed
            }
            Err(Error::HistoryGone) => continue,
            Err(error) => {
                dependency.observe(Some(&error));
                backoff::pause_within(u32::MAX, MAX_RETRY_PAUSE).await;
                continue;
            }
        };
        // If the leader has ended, this task is about to be stopped.
        if (registry.expire(now) || changed)
            && leader.send(Message::Registry(registry.entries())).is_err()
        {
            return;
        }
        tokio::select! {
            () = halt.cancelled() => return,
            () = tokio::time::sleep(REGISTRY_INTERVAL) => {}
        }
    }
}

/// The entries of the registry, including those that have been missing only for a short time.
#[derive(Default)]
struct Registry {
    entries: BTreeMap<String, Entry>,
    missing: BTreeMap<String, Time>,
    /// The keys of rows that can't be read, each of which is logged once.
    unreadable: BTreeSet<String>,
}

impl Registry {
    fn entries(&self) -> Vec<Entry> {
        self.entries.values().cloned().collect()
    }

    fn apply_all(&mut self, rows: &[Row], now: Time, log: &Logger) -> bool {
        let mut changed = false;
        let keys: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        for key in self.entries.keys() {
            if !keys.contains(key.as_str()) {
                self.missing.entry(key.clone()).or_insert(now);
            }
        }
        self.unreadable.retain(|key| keys.contains(key.as_str()));
        for row in rows {
            changed |= self.apply(row, now, log);
        }
        changed
    }

    fn apply(&mut self, row: &Row, now: Time, log: &Logger) -> bool {
        if row.value.is_none() {
            self.unreadable.remove(&row.key);
            if self.entries.contains_key(&row.key) {
                self.missing.entry(row.key.clone()).or_insert(now);
            }
            return false;
        }
        let entry = registry::read(row).and_then(|entry| {
            let checked = entry.check(clock::wall_ms());
            checked.map_err(|fault| fault.to_string())?;
            Ok(entry)
        });
        match entry {
            Ok(entry) => {
                self.unreadable.remove(&row.key);
                self.missing.remove(&row.key);
                let before = self.entries.insert(row.key.clone(), entry.clone());
                before.is_none_or(|before| before != entry)
            }
            Err(error) => {
                if self.unreadable.insert(row.key.clone()) {
                    warn!(log, "entry of a worker can't be read";
                        "worker" => &row.key, "row_version" => row.version, "error" => error);
                }
                if self.entries.contains_key(&row.key) {
                    self.missing.entry(row.key.clone()).or_insert(now);
                }
                false
            }
        }
    }

    fn expire(&mut self, now: Time) -> bool {
        let due = |at: &Time| now.since(*at) >= MISSING_GRACE;
        let gone: Vec<String> = self
            .missing
            .iter()
            .filter(|(_, at)| due(at))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &gone {
            self.missing.remove(key);
            self.entries.remove(key);
        }
        !gone.is_empty()
    }
}
