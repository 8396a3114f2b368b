//! Follows the operator's configuration and the registry of workers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::config::Config;
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::time::Time;
use azurepath_platform::store::{CONFIGURATION, Error, OPERATOR, Page, REGISTRY, Row, Store};
use azurepath_platform::{configuration, registry};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use super::leader::Message;
use super::{Context, clock};
use crate::process::backoff;

/// How long a feed waits for a change; a feed that has gone silent is found within this and its
/// slack, which keeps a configuration within `configApplyMs`.
const FEED_WAIT: Duration = Duration::from_millis(1_000);

/// How long a read of the store may take.
pub(super) const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The longest pause after a failed read; full jitter keeps instances apart.
const PAUSE: Duration = Duration::from_millis(200);

/// How often the registry is read; a worker's entry changes each `heartbeatMs`, so a feed that
/// answers each change would cost a call a change.
const REGISTRY_INTERVAL: Duration = Duration::from_millis(400);

/// How long an entry may be missing before its worker counts as gone: entries that lapsed while the
/// store was down are back within two seconds of its return.
const MISSING: Duration = Duration::from_millis(2_500);

/// Reads a whole table.
///
/// # Errors
///
/// Returns the error of the page that could not be read.
pub(super) async fn read_all(store: &Store, table: &str) -> Result<Page, Error> {
    let mut all = Page {
        rows: Vec::new(),
        more: true,
        version: u64::MAX,
    };
    let mut from = String::new();
    while all.more {
        let page = store.read(table, &from, READ_TIMEOUT).await?;
        all.more = page.more && !page.rows.is_empty();
        // A feed goes on from the first page: what changed since is told again.
        all.version = all.version.min(page.version);
        if let Some(last) = page.rows.last() {
            from = format!("{}\0", last.key);
        }
        all.rows.extend(page.rows);
    }
    Ok(all)
}

/// A table that is followed: all rows once, then changes.
struct Follower {
    store: Store,
    table: &'static str,
    version: Option<u64>,
}

/// What a follower has read.
enum News {
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

    async fn next(&mut self, wait: Duration) -> Result<News, Error> {
        let Some(version) = self.version else {
            let page = read_all(&self.store, self.table).await?;
            self.version = Some(page.version);
            return Ok(News::All(page.rows));
        };
        match self.store.changes(self.table, version, wait).await {
            Ok(page) => {
                self.version = Some(page.version.max(version));
                Ok(News::Changes(page.rows))
            }
            Err(Error::HistoryGone) => {
                self.version = None;
                Err(Error::HistoryGone)
            }
            Err(error) => Err(error),
        }
    }
}

/// Tells when a dependency is lost and when it is back, once each.
struct Dependency {
    log: Logger,
    name: &'static str,
    lost: bool,
}

impl Dependency {
    fn note(&mut self, error: Option<&Error>) {
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

/// Follows the configuration until `halt`; an older version never replaces a newer one.
pub(super) async fn configuration(
    context: Context,
    sender: watch::Sender<Option<Arc<Config>>>,
    halt: CancellationToken,
) {
    let mut follower = Follower::new(&context.store, OPERATOR);
    let mut dependency = Dependency {
        log: context.log.clone(),
        name: "configuration",
        lost: false,
    };
    loop {
        let news = tokio::select! {
            () = halt.cancelled() => return,
            news = follower.next(FEED_WAIT) => news,
        };
        match news {
            Ok(News::All(rows) | News::Changes(rows)) => {
                dependency.note(None);
                let row = rows.iter().rfind(|row| row.key == CONFIGURATION);
                if let Some(row) = row {
                    take(&context, &sender, row);
                }
            }
            Err(Error::HistoryGone) => {}
            Err(error) => {
                dependency.note(Some(&error));
                backoff::pause_within(u32::MAX, PAUSE).await;
            }
        }
    }
}

fn take(context: &Context, sender: &watch::Sender<Option<Arc<Config>>>, row: &Row) {
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
    info!(context.log, "configuration taken";
        "version" => config.version, "before" => known, "queues" => config.queues.len());
    sender.send_replace(Some(Arc::new(config)));
}

/// Follows the registry until `halt` and tells the leader whenever workers have changed.
pub(super) async fn workers(
    context: Context,
    leader: mpsc::UnboundedSender<Message>,
    halt: CancellationToken,
) {
    let mut follower = Follower::new(&context.store, REGISTRY);
    let mut roll = Roll::default();
    let mut dependency = Dependency {
        log: context.log.clone(),
        name: "registry",
        lost: false,
    };
    loop {
        let news = tokio::select! {
            () = halt.cancelled() => return,
            news = follower.next(Duration::ZERO) => news,
        };
        let now = clock::now();
        let changed = match news {
            Ok(News::All(rows)) => {
                dependency.note(None);
                roll.replace(&rows, now, &context.log)
            }
            Ok(News::Changes(rows)) => {
                dependency.note(None);
                let mut changed = false;
                for row in &rows {
                    changed |= roll.take(row, now, &context.log);
                }
                changed
            }
            Err(Error::HistoryGone) => continue,
            Err(error) => {
                dependency.note(Some(&error));
                backoff::pause_within(u32::MAX, PAUSE).await;
                continue;
            }
        };
        // Where the leader has ended, this task is about to be halted.
        if (roll.expire(now) || changed) && leader.send(Message::Registry(roll.entries())).is_err()
        {
            return;
        }
        tokio::select! {
            () = halt.cancelled() => return,
            () = tokio::time::sleep(REGISTRY_INTERVAL) => {}
        }
    }
}

/// The entries of the registry, with those that were missing for a short time only.
#[derive(Default)]
struct Roll {
    entries: BTreeMap<String, Entry>,
    missing: BTreeMap<String, Time>,
}

impl Roll {
    fn entries(&self) -> Vec<Entry> {
        self.entries.values().cloned().collect()
    }

    fn replace(&mut self, rows: &[Row], now: Time, log: &Logger) -> bool {
        let mut changed = false;
        for key in self.entries.keys() {
            if !rows.iter().any(|row| row.key == *key) {
                self.missing.entry(key.clone()).or_insert(now);
            }
        }
        for row in rows {
            changed |= self.take(row, now, log);
        }
        changed
    }

    fn take(&mut self, row: &Row, now: Time, log: &Logger) -> bool {
        if row.value.is_none() {
            if self.entries.contains_key(&row.key) {
                self.missing.entry(row.key.clone()).or_insert(now);
            }
            return false;
        }
        match registry::read(row) {
            Ok(entry) => {
                self.missing.remove(&row.key);
                let before = self.entries.insert(row.key.clone(), entry.clone());
                before.is_none_or(|before| before != entry)
            }
            Err(error) => {
                warn!(log, "entry of a worker can't be read";
                    "worker" => &row.key, "row_version" => row.version, "error" => error);
                if self.entries.contains_key(&row.key) {
                    self.missing.entry(row.key.clone()).or_insert(now);
                }
                false
            }
        }
    }

    fn expire(&mut self, now: Time) -> bool {
        let due = |at: &Time| now.since(*at) >= MISSING;
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
