//! Bounds of what the clients of all HTTP servers of the process may hold together.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};
use slog::{Logger, info};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

pub use azurepath_platform::configuration::Limits;

use crate::metrics::Metrics;

/// The file descriptors that are reserved for files.
const FILE_DESCRIPTORS: u64 = 200;

/// The part of the memory that connections may take without their bodies. Bodies have a part of their
/// own, and the rest is for the process itself.
const CONNECTION_SHARE: u64 = 3;

/// The smallest buffer that the HTTP library accepts for heads, and the longest that it has without a
/// bound.
const MIN_HEAD_BYTES: usize = 8 * 1_024;
const MAX_HEAD_BYTES: usize = 400 * 1_024;

/// How long a call that has not arrived in full may take once the servers stop: a body of the longest
/// legal length arrives within a few round trips between two regions.
const STOP_TIME: Duration = Duration::from_secs(1);

/// The shortest time between two lines of the log about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What the clients of a process may hold together.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The memory for connections without their bodies, in bytes.
    connection_bytes: usize,
    /// How much of a connection's bytes the kernel keeps.
    receive_bytes: usize,
    /// The number of connections that the file descriptors allow.
    connections: usize,
    /// The bytes of bodies whose calls are not answered.
    body_bytes: usize,
}

impl Bounds {
    /// Derives the bounds from the memory and the file descriptors of the process and the length of
    /// the receive buffer of a connection. Bodies may take `body_bytes` together.
    pub fn new(memory: u64, descriptors: u64, body_bytes: u64, receive_bytes: u32) -> Bounds {
        let size = |size: u64| usize::try_from(size).unwrap_or(usize::MAX);
        Bounds {
            connection_bytes: size(memory / CONNECTION_SHARE),
            receive_bytes: size(receive_bytes.into()),
            connections: size(descriptors.saturating_sub(FILE_DESCRIPTORS) / 2),
            body_bytes: size(body_bytes),
        }
    }

    /// Returns how many connections may be open.
    fn connections(&self, limits: &Limits) -> usize {
        // The buffer for a head grows by doubling, so it may be twice as long.
        let each = 2 * head_bytes(limits) + self.receive_bytes;
        (self.connection_bytes / each).min(self.connections).max(1)
    }
}

/// Returns the length of the buffer for a head.
fn head_bytes(limits: &Limits) -> usize {
    limits.head_bytes.clamp(MIN_HEAD_BYTES, MAX_HEAD_BYTES)
}

/// Why a connection was closed or refused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Reason {
    /// There were too many connections.
    Connections,
    /// No more file descriptors could be opened.
    Descriptors,
    /// The bodies of all calls were too long together.
    Bodies,
    /// The head was too long.
    HeadBytes,
    /// The head took too long.
    HeadTime,
    /// Nothing more of a body arrived, or of an answer was taken.
    Idle,
    /// A call had not arrived in full when the servers stopped.
    Stop,
}

/// How far the present call of a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// There is none.
    Rest,
    /// Its head arrives.
    Head,
    /// Its body arrives.
    Body,
    /// It has arrived in full and is not answered yet.
    Serving,
}

/// A connection that is open.
#[derive(Debug)]
pub(super) struct Connection {
    number: u64,
    server: &'static str,
    state: Mutex<State>,
    /// Is cancelled when the connection is to be closed.
    pub(super) closing: CancellationToken,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    /// When the phase began.
    since: Instant,
    /// When the last byte arrived.
    active: Instant,
    /// When the last complete call arrived, or else the connection.
    complete: Instant,
    /// Since when the client has taken nothing of an answer.
    blocked: Option<Instant>,
    /// The bytes of the body of the present call.
    held: usize,
}

impl State {
    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.since = Instant::now();
    }

    /// Tells whether the connection may be closed for the sake of others.
    fn is_evictable(&self) -> bool {
        self.phase != Phase::Serving || self.blocked.is_some()
    }

    /// Returns why the connection is closed by now. `stopped` is the time since which the servers
    /// stop.
    fn fault(&self, now: Instant, limits: &Limits, stopped: Option<Instant>) -> Option<Reason> {
        let unfinished = match self.phase {
            Phase::Rest => None,
            Phase::Head => Some((self.since + limits.head_time, Reason::HeadTime)),
            Phase::Body => Some((self.active + limits.idle_time, Reason::Idle)),
            Phase::Serving => None,
        };
        let blocked = self.blocked.map(|at| (at + limits.idle_time, Reason::Idle));
        let stop = stopped
            .filter(|_| unfinished.or(blocked).is_some())
            .map(|at| (at + STOP_TIME, Reason::Stop));
        let faults = [unfinished, blocked, stop];
        let due = faults.into_iter().flatten().find(|(due, _)| *due <= now);
        due.map(|(_, reason)| reason)
    }
}

impl Connection {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that bytes have arrived.
    pub(super) fn received(&self) {
        let mut state = self.state();
        state.active = Instant::now();
        if state.phase == Phase::Rest {
            state.enter(Phase::Head);
        }
    }

    /// Notes whether the client takes the bytes of an answer.
    pub(super) fn sent(&self, blocked: bool) {
        let mut state = self.state();
        if blocked {
            state.blocked.get_or_insert_with(Instant::now);
        } else {
            state.blocked = None;
        }
    }

    /// Notes that a head has arrived that is followed by a body.
    pub(super) fn begin_body(&self) {
        self.state().enter(Phase::Body);
    }

    /// Notes that a call has arrived in full.
    pub(super) fn complete(&self) {
        let mut state = self.state();
        state.enter(Phase::Serving);
        state.complete = state.since;
    }
}

/// The bounds of a process and the connections that they apply to.
#[derive(Clone, Debug)]
pub struct Gate {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    bounds: Bounds,
    limits: Mutex<Limits>,
    open: Mutex<Open>,
    /// The bytes of all bodies whose calls are not answered.
    held: AtomicUsize,
    closed: Counter<u64>,
    connections: Gauge<u64>,
    body_bytes: Gauge<u64>,
    log: Logger,
}

/// The open connections.
#[derive(Debug, Default)]
struct Open {
    next: u64,
    connections: BTreeMap<u64, Arc<Connection>>,
    /// How many were closed since the last line of the log.
    closed: BTreeMap<Reason, u64>,
    /// When that line was written.
    logged: Option<Instant>,
}

/// The bodies of all calls are too long together.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the bodies of all calls are too long together")]
pub(super) struct Full;

impl Gate {
    /// Creates the bounds of a process.
    pub fn new(bounds: Bounds, limits: Limits, metrics: &Metrics, log: &Logger) -> Gate {
        let shared = Shared {
            bounds,
            limits: Mutex::new(limits),
            open: Mutex::default(),
            held: AtomicUsize::new(0),
            closed: metrics.closed_connections.clone(),
            connections: metrics.client_connections.clone(),
            body_bytes: metrics.body_bytes.clone(),
            log: log.clone(),
        };
        Gate {
            shared: Arc::new(shared),
        }
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> Limits {
        *self.lock_limits()
    }

    /// Replaces the limits. That of heads applies to connections that are opened from now on. A body
    /// can't be longer than what all of them may take.
    pub fn set_limits(&self, limits: Limits) {
        let body_bytes = limits.body_bytes.min(self.shared.bounds.body_bytes);
        *self.lock_limits() = Limits {
            body_bytes,
            ..limits
        };
    }

    fn lock_limits(&self) -> MutexGuard<'_, Limits> {
        let limits = &self.shared.limits;
        limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open(&self) -> MutexGuard<'_, Open> {
        let open = &self.shared.open;
        open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the length of the buffer for the head of a request.
    pub(super) fn head_bytes(&self) -> usize {
        head_bytes(&self.limits())
    }

    /// Adds a connection. If there are too many, the one that has gone longest without a complete
    /// call is closed; if all of them are being served, the new one is refused.
    pub(super) fn enter(&self, server: &'static str) -> Option<Arc<Connection>> {
        let now = Instant::now();
        let bound = self.shared.bounds.connections(&self.limits());
        let mut open = self.open();
        if open.connections.len() >= bound && !self.evict(&mut open, Reason::Connections) {
            self.count(&mut open, server, Reason::Connections);
            return None;
        }
        let number = open.next;
        open.next += 1;
        let connection = Arc::new(Connection {
            number,
            server,
            state: Mutex::new(State {
                phase: Phase::Rest,
                since: now,
                active: now,
                complete: now,
                blocked: None,
                held: 0,
            }),
            closing: CancellationToken::new(),
        });
        open.connections.insert(number, connection.clone());
        Some(connection)
    }

    /// Removes a connection that is closed.
    pub(super) fn leave(&self, connection: &Connection) {
        self.open().connections.remove(&connection.number);
        self.release(connection);
    }

    /// Counts a connection that is closed for a fault of its client.
    pub(super) fn fault(&self, connection: &Connection, reason: Reason) {
        self.count(&mut self.open(), connection.server, reason);
    }

    /// Closes a connection so that another file descriptor can be opened.
    pub(super) fn free_descriptor(&self) {
        self.evict(&mut self.open(), Reason::Descriptors);
    }

    /// Takes `bytes` for a body. If the bodies are too long together, connections whose body has not
    /// arrived in full are closed, first the one that has gone longest without a complete call.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if this connection is the next of them, or if only calls that are being served
    /// have bodies.
    pub(super) fn take(&self, connection: &Connection, bytes: usize) -> Result<(), Full> {
        connection.state().held += bytes;
        let mut held = self.shared.held.fetch_add(bytes, Ordering::Relaxed) + bytes;
        while held > self.shared.bounds.body_bytes {
            let mut open = self.open();
            let holders = open.connections.values().filter_map(|connection| {
                let state = connection.state();
                let unfinished = state.phase == Phase::Body && state.held > 0;
                unfinished.then_some((state.complete, connection.number))
            });
            match holders.min() {
                Some((_, number)) if number != connection.number => {
                    self.close(&mut open, number, Reason::Bodies);
                }
                Some(_) | None => {
                    self.count(&mut open, connection.server, Reason::Bodies);
                    drop(open);
                    self.release(connection);
                    return Err(Full);
                }
            }
            held = self.shared.held.load(Ordering::Relaxed);
        }
        Ok(())
    }

    /// Notes that the present call of a connection is answered.
    pub(super) fn answered(&self, connection: &Connection) {
        connection.state().enter(Phase::Rest);
        self.release(connection);
    }

    /// Returns the bytes of a body whose call is answered or given up.
    fn release(&self, connection: &Connection) {
        let held = std::mem::take(&mut connection.state().held);
        self.shared.held.fetch_sub(held, Ordering::Relaxed);
    }

    /// Closes the connections of a server that have exceeded a time limit. `stopped` is the time
    /// since which the server stops.
    pub(super) fn sweep(&self, server: &'static str, stopped: Option<Instant>) {
        let now = Instant::now();
        let limits = self.limits();
        let mut open = self.open();
        let connections = open.connections.values();
        let due = connections.filter(|connection| connection.server == server);
        let due = due.filter_map(|connection| {
            let reason = connection.state().fault(now, &limits, stopped)?;
            Some((connection.number, reason))
        });
        let due: Vec<(u64, Reason)> = due.collect();
        for (number, reason) in due {
            self.close(&mut open, number, reason);
        }
        let count = open.connections.len();
        let is_due = open.logged.is_none_or(|at| now - at >= LOG_INTERVAL);
        let closed = match is_due {
            true => std::mem::take(&mut open.closed),
            false => BTreeMap::new(),
        };
        if !closed.is_empty() {
            open.logged = Some(now);
        }
        drop(open);
        let held = self.shared.held.load(Ordering::Relaxed);
        self.shared.connections.record(count as u64, &[]);
        self.shared.body_bytes.record(held as u64, &[]);
        if !closed.is_empty() {
            let reasons = closed
                .iter()
                .map(|(reason, count)| format!("{reason} {count}"));
            let reasons: Vec<String> = reasons.collect();
            info!(self.shared.log, "client connections closed";
                "reasons" => reasons.join(", "), "open" => count, "body_bytes" => held);
        }
    }

    /// Closes the connection that has gone longest without a complete call, and tells whether there
    /// was one that is not being served.
    fn evict(&self, open: &mut Open, reason: Reason) -> bool {
        let evictable = open.connections.values().filter_map(|connection| {
            let state = connection.state();
            state
                .is_evictable()
                .then_some((state.complete, connection.number))
        });
        let Some((_, number)) = evictable.min() else {
            return false;
        };
        self.close(open, number, reason);
        true
    }

    fn close(&self, open: &mut Open, number: u64, reason: Reason) {
        let Some(connection) = open.connections.remove(&number) else {
            return;
        };
        self.release(&connection);
        connection.closing.cancel();
        self.count(open, connection.server, reason);
    }

    fn count(&self, open: &mut Open, server: &'static str, reason: Reason) {
        *open.closed.entry(reason).or_default() += 1;
        let name: &'static str = reason.into();
        let labels = [
            KeyValue::new("server", server),
            KeyValue::new("reason", name),
        ];
        self.shared.closed.add(1, &labels);
    }
}
