//! The metadata store, and the advice service beside it.

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
use crate::host::{Call, Host, Reply, Site, lock};

/// The most entries of one transaction.
const ENTRIES: usize = 100;

/// The most rows of one answer.
const PAGE: usize = 500;

/// A row; removed ones are kept for feeds.
#[derive(Clone, Debug)]
struct Row {
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    gate: Injection,
    rows: BTreeMap<(String, String), Row>,
    version: u64,
    /// Feeds from before this version get no answer but that the history is gone.
    history: u64,
    writes: u64,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Deserialize)]
struct Named {
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
    expected_rev: Vec<Named>,
    #[serde(default)]
    set_keys: Vec<Named>,
    #[serde(default)]
    remove: Vec<Named>,
}

#[derive(Deserialize)]
struct Question {
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
        if expected_rev.len() + set_keys.len() + remove.len() > ENTRIES {
            return Reply::text(StatusCode::BAD_REQUEST, "over 100 entries");
        }
        let holds = |named: &Named| self.version_of(&named.table, &named.key) == named.ver;
        if !expected_rev.iter().all(holds) {
            let rows: Vec<Value> = expected_rev
                .iter()
                .filter_map(|named| {
                    let key = (named.table.clone(), named.key.clone());
                    let row = self.rows.get(&key)?;
                    Some(show(&key, row))
                })
                .collect();
            let body = json!({"rows": rows, "ver": self.version, "nowMs": 0});
            return Reply::json(StatusCode::PRECONDITION_FAILED, &body);
        }
        self.version += 1;
        self.writes += 1;
        for named in set_keys {
            self.put(&named.table, &named.key, Some(named.value.clone()));
        }
        for named in remove {
            self.put(&named.table, &named.key, None);
        }
        Reply::json(StatusCode::OK, &json!({"ver": self.version, "nowMs": 0}))
    }

    fn read(&self, call: &Call) -> Reply {
        let query = &call.query;
        let limit = query.limit.unwrap_or(PAGE).min(PAGE);
        let from = (query.table.clone(), query.from.clone());
        let mut live = self
            .rows
            .range(from..)
            .take_while(|((table, _), _)| *table == query.table)
            .filter(|(_, row)| row.value.is_some());
        let rows: Vec<Value> = live
            .by_ref()
            .take(limit)
            .map(|(key, row)| show(key, row))
            .collect();
        let more = live.next().is_some();
        let body = json!({"rows": rows, "hasMore": more, "ver": self.version, "nowMs": 0});
        Reply::json(StatusCode::OK, &body)
    }

    /// Returns the changes of a table, or `None` where there are none yet.
    fn feed(&self, table: &str, after: u64) -> Option<Reply> {
        if after < self.history {
            return Some(Reply::json(StatusCode::GONE, &json!({})));
        }
        let changed =
            |((of, _), row): &(&(String, String), &Row)| of == table && row.version > after;
        let mut rows: Vec<_> = self.rows.iter().filter(changed).collect();
        if rows.is_empty() {
            return None;
        }
        rows.sort_by_key(|(_, row)| row.version);
        let rows: Vec<Value> = rows.into_iter().map(|(key, row)| show(key, row)).collect();
        let body = json!({"rows": rows, "ver": self.version, "nowMs": 0});
        Some(Reply::json(StatusCode::OK, &body))
    }
}

fn show((table, key): &(String, String), row: &Row) -> Value {
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
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() || tokio::time::timeout(left, changed).await.is_err() {
                let version = lock(&self.state).version;
                let body = json!({"rows": [], "ver": version, "nowMs": 0});
                return Reply::json(StatusCode::OK, &body);
            }
        }
    }

    fn transact(&self, call: &Call) -> Result<Reply, Reply> {
        let transaction: Transaction = call.json()?;
        let mut state = lock(&self.state);
        let reply = state.transact(&transaction);
        let lost = state.gate.lose();
        self.changed.notify_waiters();
        Ok(if lost { reply.lost() } else { reply })
    }
}

/// Names two thirds of the workers for each step, always the same ones: each third worker by number is
/// left out. Drawn one by one, some steps would get a single worker, and a gang might never run.
fn advise(call: &Call) -> Result<Reply, Reply> {
    let question: Question = call.json()?;
    let turn = crc32fast::hash(question.step.as_bytes());
    let may = |worker: &&String| {
        let digits = worker.trim_start_matches(|letter: char| !letter.is_ascii_digit());
        let number: u64 = digits.parse().unwrap_or(0);
        !(u64::from(turn) + number).is_multiple_of(3)
    };
    let eligible: Vec<Value> = question
        .workers
        .iter()
        .filter(may)
        .map(|worker| json!([worker, format!("t-{worker}")]))
        .collect();
    Ok(Reply::json(StatusCode::OK, &json!({"eligible": eligible})))
}

impl Site for Shared {
    fn gate(&self, _path: &str) -> Option<Injection> {
        Some(lock(&self.state).gate)
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

/// The stand-in.
pub struct Standin {
    host: Host,
    shared: Arc<Shared>,
}

impl Standin {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Fails where no port or thread can be had.
    pub fn start() -> Result<Standin> {
        let shared = Arc::new(Shared::default());
        let host = Host::start(Arc::clone(&shared), std::future::pending())?;
        Ok(Standin { host, shared })
    }

    /// Returns the address of the store and of the advice service.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    /// Writes a row of any bytes.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        let mut state = lock(&self.shared.state);
        state.version += 1;
        state.put(table, key, Some(STANDARD.encode(value)));
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

    /// Switches faults of all calls.
    pub fn set_faults(&self, gate: Injection) {
        lock(&self.shared.state).gate = gate;
        self.shared.changed.notify_waiters();
    }

    /// Drops the history: feeds have to begin anew.
    pub fn compact(&self) {
        let mut state = lock(&self.shared.state);
        state.version += 1;
        state.history = state.version;
        self.shared.changed.notify_waiters();
    }

    /// Returns how many transactions were applied.
    pub fn writes(&self) -> u64 {
        lock(&self.shared.state).writes
    }
}
