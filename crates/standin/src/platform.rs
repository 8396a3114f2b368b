//! The stand-in of the platform: table service, object store and instance list.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Result;
use azurepath_decide::name::Name;
use azurepath_services::instance::Instance;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::fault::{self, Injection};
use crate::host::{Call, Host, Reply, Site, lock};
use crate::objects::Objects;
use crate::table::Rows;

/// What the platform has been asked, as `GET /record` tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Transactions that reached the table, taken or not.
    pub writes: u64,
    /// Transactions that failed a check.
    pub conflicts: u64,
    /// Reads and scans of the table.
    pub reads: u64,
    /// The most transactions within one second.
    pub peak_writes: u64,
    /// The most reads and scans within one second.
    pub peak_reads: u64,
    /// Objects that were put.
    pub puts: u64,
}

/// Counts of the second that is under way.
#[derive(Debug, Default)]
struct Second {
    number: u64,
    writes: u64,
    reads: u64,
}

/// The list of instances as it was at some time.
type Listed = (Instant, BTreeMap<Name, Instance>);

#[derive(Debug)]
struct State {
    begun: Instant,
    table: Injection,
    objects_gate: Injection,
    instances_gate: Injection,
    lag: Duration,
    rows: Rows,
    objects: Objects,
    lists: VecDeque<Listed>,
    record: Record,
    second: Second,
}

impl State {
    fn new() -> State {
        State {
            begun: Instant::now(),
            table: Injection::default(),
            objects_gate: Injection::default(),
            instances_gate: Injection::default(),
            lag: Duration::ZERO,
            rows: Rows::default(),
            objects: Objects::default(),
            lists: VecDeque::new(),
            record: Record::default(),
            second: Second::default(),
        }
    }

    fn second(&mut self) -> &mut Second {
        let number = self.begun.elapsed().as_secs();
        if self.second.number != number {
            self.second = Second {
                number,
                ..Second::default()
            };
        }
        &mut self.second
    }

    fn count_write(&mut self) {
        let second = self.second();
        second.writes += 1;
        let writes = second.writes;
        self.record.writes += 1;
        self.record.peak_writes = self.record.peak_writes.max(writes);
    }

    fn count_read(&mut self) {
        let second = self.second();
        second.reads += 1;
        let reads = second.reads;
        self.record.reads += 1;
        self.record.peak_reads = self.record.peak_reads.max(reads);
    }

    /// Changes the list; what it was stays to be shown until the lag has passed.
    fn change(&mut self, change: impl FnOnce(&mut BTreeMap<Name, Instance>)) {
        let mut list = self.lists.back().map(|(_, list)| list.clone());
        change(list.get_or_insert_default());
        let now = Instant::now();
        self.lists.push_back((now, list.unwrap_or_default()));
    }

    /// Returns the newest list that is older than the lag.
    fn instances(&mut self) -> Vec<Instance> {
        let Some(until) = Instant::now().checked_sub(self.lag) else {
            return Vec::new();
        };
        while self.lists.get(1).is_some_and(|(when, _)| *when <= until) {
            self.lists.pop_front();
        }
        let shown = self.lists.front().filter(|(when, _)| *when <= until);
        shown
            .map(|(_, list)| list.values().cloned().collect())
            .unwrap_or_default()
    }

    fn set(&mut self, faults: &fault::Platform) {
        self.table = faults.table.unwrap_or(self.table);
        self.objects_gate = faults.objects.unwrap_or(self.objects_gate);
        self.instances_gate = faults.instances.unwrap_or(self.instances_gate);
        if let Some(lag_ms) = faults.lag_ms {
            self.lag = Duration::from_millis(lag_ms);
        }
    }

    fn answer(&mut self, call: &Call) -> Result<Reply, Reply> {
        let (section, rest) = section(&call.path);
        match (&call.method, section, rest) {
            (&Method::POST, "table", "transact") => self.transact(call),
            (&Method::GET, "table", "row") => Ok(self.row(call)),
            (&Method::GET, "table", "scan") => Ok(self.scan(call)),
            (&Method::GET, "objects", "") => {
                let names = self.objects.list(&call.query.prefix);
                Ok(Reply::json(StatusCode::OK, &names))
            }
            (&Method::GET, "objects", name) => Ok(self.object(name)),
            (&Method::PUT, "objects", name) => Ok(self.put(name, call)),
            (&Method::GET, "instances", "") => Ok(Reply::json(StatusCode::OK, &self.instances())),
            (&Method::POST, "instances", "") => {
                let instance: Instance = call.json()?;
                self.change(|list| drop(list.insert(instance.name.clone(), instance)));
                Ok(Reply::empty(StatusCode::NO_CONTENT))
            }
            (&Method::DELETE, "instances", name) => {
                self.change(|list| drop(list.remove(name)));
                Ok(Reply::empty(StatusCode::NO_CONTENT))
            }
            (&Method::POST, "fault", "") => {
                self.set(&call.json()?);
                Ok(Reply::empty(StatusCode::NO_CONTENT))
            }
            (&Method::GET, "record", "") => Ok(Reply::json(StatusCode::OK, &self.record)),
            _ => Err(Reply::text(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    fn transact(&mut self, call: &Call) -> Result<Reply, Reply> {
        let transaction = call.json()?;
        self.count_write();
        let reply = match self.rows.transact(transaction) {
            Ok(commit) => Reply::json(StatusCode::OK, &commit),
            Err(conflict) => {
                self.record.conflicts += 1;
                Reply::json(StatusCode::CONFLICT, &conflict)
            }
        };
        Ok(if self.table.lose() {
            reply.lost()
        } else {
            reply
        })
    }

    fn row(&mut self, call: &Call) -> Reply {
        self.count_read();
        match self.rows.read(&call.query.key) {
            Some(row) => Reply::json(StatusCode::OK, &row),
            None => Reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn scan(&mut self, call: &Call) -> Reply {
        self.count_read();
        let query = &call.query;
        let after = query.after.as_deref();
        let page = self.rows.scan(&query.prefix, after, query.limit);
        Reply::json(StatusCode::OK, &page)
    }

    fn object(&self, name: &str) -> Reply {
        match self.objects.get(name) {
            Some(body) => Reply {
                body,
                ..Reply::empty(StatusCode::OK)
            },
            None => Reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn put(&mut self, name: &str, call: &Call) -> Reply {
        self.record.puts += 1;
        self.objects.put(name, call.body.clone());
        let reply = Reply::empty(StatusCode::NO_CONTENT);
        if self.objects_gate.lose() {
            Reply::text(StatusCode::OK, "lost").lost()
        } else {
            reply
        }
    }
}

/// Splits a path into its first segment and the rest.
fn section(path: &str) -> (&str, &str) {
    let path = path.trim_start_matches('/');
    path.split_once('/').unwrap_or((path, ""))
}

struct Shared(Mutex<State>);

impl Site for Shared {
    fn gate(&self, path: &str) -> Option<Injection> {
        let state = lock(&self.0);
        match section(path).0 {
            "table" => Some(state.table),
            "objects" => Some(state.objects_gate),
            "instances" => Some(state.instances_gate),
            _ => None,
        }
    }

    async fn answer(&self, call: Call) -> Reply {
        let answered = lock(&self.0).answer(&call);
        answered.unwrap_or_else(|refusal| refusal)
    }
}

/// The stand-in of the platform.
pub struct Standin {
    host: Host,
    shared: Arc<Shared>,
}

impl Standin {
    /// Starts a platform whose table, store and list are empty.
    ///
    /// # Errors
    ///
    /// Fails where no port or thread can be had.
    pub fn start() -> Result<Standin> {
        let shared = Arc::new(Shared(Mutex::new(State::new())));
        let host = Host::start(Arc::clone(&shared), std::future::pending())?;
        Ok(Standin { host, shared })
    }

    /// Returns the address of table service, object store and instance list.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Lists an instance, or replaces what is listed under its name.
    pub fn register(&self, instance: Instance) {
        lock(&self.shared.0).change(|list| drop(list.insert(instance.name.clone(), instance)));
    }

    /// Takes an instance off the list.
    pub fn unregister(&self, name: &str) {
        lock(&self.shared.0).change(|list| drop(list.remove(name)));
    }

    /// Switches faults as `POST /fault` does.
    pub fn set_faults(&self, faults: &fault::Platform) {
        lock(&self.shared.0).set(faults);
    }

    /// Returns what the platform has been asked.
    pub fn record(&self) -> Record {
        lock(&self.shared.0).record
    }

    /// Stops it and waits for its end; calls in flight break off.
    ///
    /// # Errors
    ///
    /// Fails where the stand-in has panicked.
    pub async fn stop(self) -> Result<()> {
        self.host.stop().await
    }
}
