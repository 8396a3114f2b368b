//! The stand-in for the platform: table service, object store and instance list.

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
use crate::host::{Call, Handler, Host, Reply, lock};
use crate::objects::Objects;
use crate::table::Rows;

/// Counts of the calls to the platform, as returned by `GET /record`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Transactions that reached the table, whether they were applied or not.
    pub writes: u64,
    /// Transactions that failed a check.
    pub conflicts: u64,
    /// Reads and scans of the table.
    pub reads: u64,
    /// The highest number of transactions within one second.
    pub peak_writes: u64,
    /// The highest number of reads and scans within one second.
    pub peak_reads: u64,
    /// Objects that were put.
    pub puts: u64,
}

/// Counts of the current second.
#[derive(Debug, Default)]
struct Second {
    number: u64,
    writes: u64,
    reads: u64,
}

/// A version of the instance list and the time since which it is valid.
type InstanceList = (Instant, BTreeMap<Name, Instance>);

#[derive(Debug)]
struct State {
    started: Instant,
    table_faults: Injection,
    objects_faults: Injection,
    instances_faults: Injection,
    lag: Duration,
    rows: Rows,
    objects: Objects,
    instance_lists: VecDeque<InstanceList>,
    record: Record,
    second: Second,
}

impl State {
    fn new() -> State {
        State {
            started: Instant::now(),
            table_faults: Injection::default(),
            objects_faults: Injection::default(),
            instances_faults: Injection::default(),
            lag: Duration::ZERO,
            rows: Rows::default(),
            objects: Objects::default(),
            instance_lists: VecDeque::new(),
            record: Record::default(),
            second: Second::default(),
        }
    }

    fn second(&mut self) -> &mut Second {
        let number = self.started.elapsed().as_secs();
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

    /// Changes the instance list; the previous version is returned until the lag has passed.
    fn update_instances(&mut self, update: impl FnOnce(&mut BTreeMap<Name, Instance>)) {
        let mut list = self.instance_lists.back().map(|(_, list)| list.clone());
        update(list.get_or_insert_default());
        let now = Instant::now();
        self.instance_lists
            .push_back((now, list.unwrap_or_default()));
    }

    /// Returns the newest version of the instance list that is older than the lag.
    fn instances(&mut self) -> Vec<Instance> {
        let Some(until) = Instant::now().checked_sub(self.lag) else {
            return Vec::new();
        };
        while self
            .instance_lists
            .get(1)
            .is_some_and(|(since, _)| *since <= until)
        {
            self.instance_lists.pop_front();
        }
        let visible = self
            .instance_lists
            .front()
            .filter(|(since, _)| *since <= until);
        visible
            .map(|(_, list)| list.values().cloned().collect())
            .unwrap_or_default()
    }

    fn set_faults(&mut self, faults: &fault::Platform) {
        self.table_faults = faults.table.unwrap_or(self.table_faults);
        self.objects_faults = faults.objects.unwrap_or(self.objects_faults);
        self.instances_faults = faults.instances.unwrap_or(self.instances_faults);
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
                self.update_instances(|list| drop(list.insert(instance.name.clone(), instance)));
                Ok(Reply::empty(StatusCode::NO_CONTENT))
            }
            (&Method::DELETE, "instances", name) => {
                self.update_instances(|list| drop(list.remove(name)));
                Ok(Reply::empty(StatusCode::NO_CONTENT))
            }
            (&Method::POST, "fault", "") => {
                self.set_faults(&call.json()?);
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
        Ok(if self.table_faults.take_lost_answer() {
            reply.truncate()
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
        if self.objects_faults.take_lost_answer() {
            Reply::text(StatusCode::OK, "lost").truncate()
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

impl Handler for Shared {
    fn faults(&self, path: &str) -> Option<Injection> {
        let state = lock(&self.0);
        match section(path).0 {
            "table" => Some(state.table_faults),
            "objects" => Some(state.objects_faults),
            "instances" => Some(state.instances_faults),
            _ => None,
        }
    }

    async fn answer(&self, call: Call) -> Reply {
        let answered = lock(&self.0).answer(&call);
        answered.unwrap_or_else(|refusal| refusal)
    }
}

/// The stand-in for the platform.
pub struct Standin {
    host: Host,
    shared: Arc<Shared>,
}

impl Standin {
    /// Starts a platform whose table, object store and instance list are empty.
    ///
    /// # Errors
    ///
    /// Fails if it can't bind a port or start a thread.
    pub fn start() -> Result<Standin> {
        let shared = Arc::new(Shared(Mutex::new(State::new())));
        let host = Host::start(Arc::clone(&shared), std::future::pending())?;
        Ok(Standin { host, shared })
    }

    /// Returns the address of the table service, object store and instance list.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Adds an instance to the list, or replaces the one with the same name.
    pub fn register(&self, instance: Instance) {
        lock(&self.shared.0)
            .update_instances(|list| drop(list.insert(instance.name.clone(), instance)));
    }

    /// Removes an instance from the list.
    pub fn unregister(&self, name: &str) {
        lock(&self.shared.0).update_instances(|list| drop(list.remove(name)));
    }

    /// Sets the faults, as `POST /fault` does.
    pub fn set_faults(&self, faults: &fault::Platform) {
        lock(&self.shared.0).set_faults(faults);
    }

    /// Returns the counts of the calls to the platform.
    pub fn record(&self) -> Record {
        lock(&self.shared.0).record
    }

    /// Stops the platform and waits for its end; calls in flight are aborted.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in has panicked.
    pub async fn stop(self) -> Result<()> {
        self.host.stop().await
    }
}
