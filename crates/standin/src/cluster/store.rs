//! The metadata store and the advice service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Result;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::fault::Injection;
use crate::host::{Call, Handler, Host, Reply, lock};

/// The maximum number of entries in one transaction.
const MAX_ENTRIES: usize = 100;

/// The maximum length of a row's value in bytes.
const MAX_ROW_BYTES: usize = 65_536;

/// The maximum length of a transaction's body and of one answer to a read, in bytes.
const MAX_CALL_BYTES: usize = 1_000_000;

/// The maximum number of rows in one answer to a read.
const MAX_ROWS: usize = 500;

/// A row; removed rows are kept without a value, so that feeds can report the removal.
#[derive(Clone, Debug)]
struct Row {
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    faults: Injection,
    rows: BTreeMap<(String, String), Row>,
    /// Rows that are sent as they are with each page of a table, by table.
    raw_rows: Vec<(String, Value)>,
    version: u64,
    /// The version of the last compaction; feeds that start before it are answered with `410`.
    compacted_version: u64,
    writes: u64,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Deserialize)]
struct Entry {
    table: String,
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    ver: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Transaction {
    #[serde(default)]
    expected_rev: Vec<Entry>,
    #[serde(default)]
    set_keys: Vec<Entry>,
    #[serde(default)]
    remove: Vec<Entry>,
}

#[derive(Deserialize)]
struct AdviceRequest {
    step: String,
    workers: Vec<String>,
}

impl State {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        let row = Row {
            value,
            version: self.version,
        };
        self.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    fn version_of(&self, table: &str, key: &str) -> u64 {
        let row = self.rows.get(&(table.to_owned(), key.to_owned()));
        row.filter(|row| row.value.is_some())
            .map_or(0, |row| row.version)
    }

    fn transact(&mut self, transaction: &Transaction) -> Reply {
        let Transaction {
            expected_rev,
            set_keys,
            remove,
        } = transaction;
        if expected_rev.len() + set_keys.len() + remove.len() > MAX_ENTRIES {
            return Reply::text(StatusCode::BAD_REQUEST, "over 100 entries");
        }
        let is_too_long = |entry: &Entry| {
            STANDARD.decode(&entry.value).map_or(0, |value| value.len()) > MAX_ROW_BYTES
        };
        if set_keys.iter().any(is_too_long) {
            return Reply::text(StatusCode::BAD_REQUEST, "a value is too long");
        }
        let is_unchanged = |entry: &Entry| self.version_of(&entry.table, &entry.key) == entry.ver;
        if !expected_rev.iter().all(is_unchanged) {
            let rows: Vec<Value> = expected_rev
                .iter()
                .filter_map(|entry| {
                    let key = (entry.table.clone(), entry.key.clone());
                    let row = self.rows.get(&key)?;
                    Some(row_json(&key, row))
                })
                .collect();
            let body = json!({"rows": rows, "ver": self.version, "nowMs": 0});
            return Reply::json(StatusCode::PRECONDITION_FAILED, &body);
        }
        self.version += 1;
        self.writes += 1;
        for entry in set_keys {
            self.put(&entry.table, &entry.key, Some(entry.value.clone()));
        }
        for entry in remove {
            self.put(&entry.table, &entry.key, None);
        }
        Reply::json(StatusCode::OK, &json!({"ver": self.version, "nowMs": 0}))
    }

    fn read(&self, call: &Call) -> Reply {
        let query = &call.query;
        let limit = query.limit.unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let from = (query.table.clone(), query.from.clone());
        let mut live = self
            .rows
            .range(from..)
            .take_while(|((table, key), _)| {
                let before_end = query.target.is_empty() || *key < query.target;
                *table == query.table && before_end
            })
            .filter(|(_, row)| row.value.is_some());
        let rows: Vec<Value> = live
            .by_ref()
            .take(limit)
            .map(|(key, row)| row_json(key, row))
            .collect();
        let more = live.next().is_some();
        let rows = self.with_raw_rows(&query.table, rows);
        let body = json!({"rows": rows, "hasMore": more, "ver": self.version, "nowMs": 0});
        Reply::json(StatusCode::OK, &body)
    }

    /// Returns the changes of a table after a version, or `None` if there are none yet.
    fn feed(&self, table: &str, after: u64) -> Option<Reply> {
        if after < self.compacted_version {
            return Some(Reply::json(StatusCode::GONE, &json!({})));
        }
        let changed = |((row_table, _), row): &(&(String, String), &Row)| {
            row_table == table && row.version > after
        };
        let mut rows: Vec<_> = self.rows.iter().filter(changed).collect();
        if rows.is_empty() {
            return None;
        }
        rows.sort_by_key(|(_, row)| row.version);
        let rows: Vec<Value> = rows
            .into_iter()
            .map(|(key, row)| row_json(key, row))
            .collect();
        let rows = self.with_raw_rows(table, rows);
        let body = json!({"rows": rows, "ver": self.version, "nowMs": 0});
        Some(Reply::json(StatusCode::OK, &body))
    }

    fn with_raw_rows(&self, table: &str, mut rows: Vec<Value>) -> Vec<Value> {
        let raw_rows = self.raw_rows.iter().filter(|(of, _)| of == table);
        rows.extend(raw_rows.map(|(_, row)| row.clone()));
        rows
    }
}

fn row_json((table, key): &(String, String), row: &Row) -> Value {
    match &row.value {
        Some(value) => {
            json!({"table": table, "part": "", "key": key, "value": value, "ver": row.version})
        }
        None => {
            json!({"table": table, "part": "", "key": key, "removed": true, "ver": row.version})
        }
    }
}

impl Shared {
    async fn wait_feed(&self, call: &Call) -> Reply {
        let after = call.query.after.as_deref().unwrap_or_default();
        let after: u64 = after.parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(call.query.wait_ms);
        loop {
            let changed = self.changed.notified();
            if let Some(reply) = lock(&self.state).feed(&call.query.table, after) {
                return reply;
            }
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() || tokio::time::timeout(remaining, changed).await.is_err() {
                let version = lock(&self.state).version;
                let body = json!({"rows": [], "ver": version, "nowMs": 0});
                return Reply::json(StatusCode::OK, &body);
            }
        }
    }

    fn transact(&self, call: &Call) -> Result<Reply, Reply> {
        if call.body.len() > MAX_CALL_BYTES {
            return Err(Reply::text(StatusCode::BAD_REQUEST, "over 1 MB"));
        }
        let transaction: Transaction = call.json()?;
        let mut state = lock(&self.state);
        let reply = state.transact(&transaction);
        let lost = state.faults.take_lost_answer();
        self.changed.notify_waiters();
        Ok(if lost { reply.truncate() } else { reply })
    }
}

/// Returns two thirds of the workers as eligible, always the same ones for a step: every third
/// worker by number is left out. With an independent draw for each worker, some steps would get a
/// single worker, and a gang might never run.
fn advise(call: &Call) -> Result<Reply, Reply> {
    let request: AdviceRequest = call.json()?;
    let hash = crc32fast::hash(request.step.as_bytes());
    let is_eligible = |worker: &&String| {
        let digits = worker.trim_start_matches(|letter: char| !letter.is_ascii_digit());
        let number: u64 = digits.parse().unwrap_or(0);
        !(u64::from(hash) + number).is_multiple_of(3)
    };
    let eligible: Vec<Value> = request
        .workers
        .iter()
        .filter(is_eligible)
        .map(|worker| json!([worker, format!("t-{worker}")]))
        .collect();
    Ok(Reply::json(StatusCode::OK, &json!({"eligible": eligible})))
}

impl Handler for Shared {
    fn faults(&self, _path: &str) -> Option<Injection> {
        Some(lock(&self.state).faults)
    }

    async fn answer(&self, call: Call) -> Reply {
        let reply = match call.path.as_str() {
            "/api/rows-tx" => self.transact(&call),
            "/api/rows-get" => Ok(lock(&self.state).read(&call)),
            "/api/rows-feed" => Ok(self.wait_feed(&call).await),
            "/api/advise" => advise(&call),
            _ => Err(Reply::empty(StatusCode::NOT_FOUND)),
        };
        reply.unwrap_or_else(|refusal| refusal)
    }
}

/// Returns the value of a row as the store sends it.
pub fn encode(value: &Value) -> String {
    STANDARD.encode(value.to_string())
}

/// The stand-in for the metadata store and the advice service.
pub struct Standin {
    host: Host,
    shared: Arc<Shared>,
}

impl Standin {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Fails if it can't bind a port or start a thread.
    pub fn start() -> Result<Standin> {
        let shared = Arc::new(Shared::default());
        let host = Host::start(Arc::clone(&shared), std::future::pending())?;
        Ok(Standin { host, shared })
    }

    /// Returns the address of the store and of the advice service.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Writes a row with a JSON value.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    /// Writes a row with arbitrary bytes.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        let mut state = lock(&self.shared.state);
        state.version += 1;
        state.put(table, key, Some(STANDARD.encode(value)));
        self.shared.changed.notify_waiters();
    }

    /// Sends a row with each page of a table, whatever its form.
    pub fn add_raw_row(&self, table: &str, row: Value) {
        let mut state = lock(&self.shared.state);
        state.version += 1;
        state.raw_rows.push((table.to_owned(), row));
        self.shared.changed.notify_waiters();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = lock(&self.shared.state);
        state.version += 1;
        state.put(table, key, None);
        self.shared.changed.notify_waiters();
    }

    /// Returns a row's value.
    pub fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = lock(&self.shared.state);
        let row = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        STANDARD.decode(row.value.as_ref()?).ok()
    }

    /// Sets the faults of all calls.
    pub fn set_faults(&self, faults: Injection) {
        lock(&self.shared.state).faults = faults;
        self.shared.changed.notify_waiters();
    }

    /// Drops the change history, so that feeds must read all rows again.
    pub fn compact(&self) {
        let mut state = lock(&self.shared.state);
        state.version += 1;
        state.compacted_version = state.version;
        self.shared.changed.notify_waiters();
    }

    /// Removes a row and drops the change history at once, so that no feed reports the removal.
    pub fn remove_unseen(&self, table: &str, key: &str) {
        let mut state = lock(&self.shared.state);
        state.version += 1;
        state.compacted_version = state.version;
        state.rows.remove(&(table.to_owned(), key.to_owned()));
        self.shared.changed.notify_waiters();
    }

    /// Returns how many transactions have been applied.
    pub fn writes(&self) -> u64 {
        lock(&self.shared.state).writes
    }
}
