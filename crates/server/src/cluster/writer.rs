//! The writes of the leader, one after the other.
//!
//! Each write also updates the leader's row, on condition that the row has not changed since the
//! last write. So each write is a heartbeat as well, a deposed leader can't write, and a write that
//! the store carries out late finds the row changed and has no effect.
//!
//! A write stays within the store's limits whatever the number of workers, jobs and tasks: what does
//! not fit waits for the next one.

use std::borrow::Cow;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::record::{
    BlockId, Change, EarlierProgress, EarlierRecord, Fit, Progress, Record,
};
use azurepath_decide::batch::{JobId, StepId};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use azurepath_platform::store::{
    self, CALL_BYTES, Error, Row, Store, TRANSACTION_ENTRIES, Transaction,
};
use bincode::config;
use flate2::read::DeflateDecoder;
use flate2::{Compress, Compression, FlushCompress, Status};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use slog::{Logger, warn};

use super::clock;
use crate::process::backoff;

/// The table with the leader's row.
pub(super) const TABLE: &str = "azurepath";

/// The key of the leader's row.
pub(super) const LEADER: &str = "leader";

/// The table with the workers on which tasks may run.
pub(super) const ROSTER: &str = "roster";

/// The table with the jobs.
pub(super) const JOBS: &str = "jobs";

/// The table with the progress of the jobs' tasks.
pub(super) const PROGRESS: &str = "progress";

/// The maximum number of changes in one write. The leader's row takes two of the transaction's
/// entries, a condition and a put.
const MAX_CHANGES: usize = TRANSACTION_ENTRIES - 2;

/// The maximum length of all changes of one write in bytes. The rest of a call is for the leader's
/// row.
const MAX_CHANGE_BYTES: usize = CALL_BYTES - 4_096;

/// The first byte of a job's row that is compressed with DEFLATE. Other rows of jobs begin with the
/// number of a variant of [`Record`].
const DEFLATED: u8 = 0xff;

/// The length of the longest value that is read from a row, once it is no longer compressed, in bytes.
/// Another writer's row may state any length.
const MAX_VALUE_BYTES: usize = 4 << 20;

/// How long the changes of one write may keep the link busy. Longer writes would delay the next
/// heartbeat, and a lost answer costs their bytes again.
const WRITE_WINDOW: Duration = Duration::from_millis(100);

/// How long a write may take beside the time that its bytes need on the link, before its connection
/// counts as lost.
const WRITE_TIMEOUT: Duration = Duration::from_millis(700);

/// The longest pause after a failed write: one of the leader's heartbeats.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(400);

/// The leader's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LeaderRow {
    /// The instance that leads.
    pub(super) name: Name,
    /// A random number that identifies the process of the instance.
    pub(super) incarnation: u64,
    /// The address that it listens on for its peers.
    pub(super) address: SocketAddr,
    /// The epoch, which grows by one with each leader.
    pub(super) epoch: u64,
    /// The number of writes in this epoch.
    pub(super) write: u64,
    /// What the instance does with the leadership.
    pub(super) term: Term,
    /// How long after this write the leaders before it may still give orders, in milliseconds.
    pub(super) inherited_ms: u64,
}

/// The leader's row of earlier builds, which did not tell of the leaders before it.
#[derive(Deserialize)]
struct EarlierRow {
    name: Name,
    incarnation: u64,
    address: SocketAddr,
    epoch: u64,
    write: u64,
    term: Term,
}

impl From<EarlierRow> for LeaderRow {
    fn from(earlier: EarlierRow) -> LeaderRow {
        LeaderRow {
            name: earlier.name,
            incarnation: earlier.incarnation,
            address: earlier.address,
            epoch: earlier.epoch,
            write: earlier.write,
            term: earlier.term,
            inherited_ms: 0,
        }
    }
}

/// The part of its term that a leader is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Term {
    /// It reads what earlier leaders have stored and takes no calls yet.
    Recovering,
    /// It takes calls.
    Leading,
    /// It has released the leadership.
    Released,
    /// It ended before it took calls. The leader before it may still give orders.
    Aborted,
    /// It has released the leadership since its machine is too slow.
    Yielded,
}

impl LeaderRow {
    /// Reads the leader's row. Returns `None` if it is missing or invalid.
    pub(super) fn read(row: &Row) -> Option<LeaderRow> {
        let earlier = || Some(read::<EarlierRow>(row).ok()?.into());
        read(row).ok().or_else(earlier)
    }
}

/// What bounds a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Limits {
    /// The length of the longest value that the store accepts, in bytes.
    pub(super) row_bytes: u64,
    /// The speed of the instance's link in kbit/s.
    pub(super) link_kbps: u64,
}

impl Limits {
    /// Returns how many bytes of changes belong into one write.
    fn change_bytes(&self) -> usize {
        let millis = u64::try_from(WRITE_WINDOW.as_millis()).unwrap_or(u64::MAX);
        let bytes = self.link_kbps.saturating_mul(millis) / 8;
        usize::try_from(bytes).map_or(MAX_CHANGE_BYTES, |bytes| bytes.min(MAX_CHANGE_BYTES))
    }

    /// Returns how long bytes need on the link.
    fn transfer(&self, bytes: usize) -> Duration {
        Duration::from_millis(bytes as u64 * 8 / self.link_kbps.max(1))
    }
}

/// The changes of one write.
#[derive(Debug, Default)]
pub(super) struct Batch {
    puts: Vec<(&'static str, String, Vec<u8>)>,
    removals: Vec<(&'static str, String)>,
    /// The length of the changes in the body of the call.
    bytes: usize,
    /// How long they need on the link.
    transfer: Duration,
    /// Compresses rows. One for all of them, since it is larger than most rows.
    compressor: Option<Compress>,
}

impl Batch {
    /// Adds a change if it fits. The first one always does, unless the store will never accept it.
    pub(super) fn add(&mut self, change: &Change, limits: Limits) -> Fit {
        let (table, key, value) = encode_change(change);
        let length = |value: &Option<Vec<u8>>| value.as_ref().map_or(0, Vec::len);
        let whole = length(&value);
        // Whether a row can be stored does not depend on how well it can be compressed.
        if store::value_length(whole) as u64 > limits.row_bytes
            || store::put_length(table, &key, whole) > MAX_CHANGE_BYTES
        {
            return Fit::TooLarge;
        }
        let value = match change {
            Change::Job(..) => {
                let compressor = self.compressor.get_or_insert_with(new_compressor);
                value.map(|value| compress(compressor, value))
            }
            Change::Worker(..) | Change::Block(..) => value,
        };
        let bytes = store::put_length(table, &key, length(&value));
        let is_too_long = self.len() > 0 && self.bytes + bytes > limits.change_bytes();
        if self.len() >= MAX_CHANGES || is_too_long {
            return Fit::Full;
        }
        self.bytes += bytes;
        self.transfer = limits.transfer(self.bytes);
        match value {
            Some(value) => self.puts.push((table, key, value)),
            None => self.removals.push((table, key)),
        }
        Fit::Taken
    }

    /// Returns how many changes there are.
    pub(super) fn len(&self) -> usize {
        self.puts.len() + self.removals.len()
    }
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The write is stored, and no other instance has changed the row since a call sent at this
    /// time or later.
    Stored(Time),
    /// Another instance leads.
    Deposed,
    /// The store will never accept the write, and nothing is stored.
    Rejected,
}

/// Writes to the store under one epoch.
#[derive(Clone)]
pub(super) struct Writer {
    store: Store,
    row: LeaderRow,
    /// The version of the leader's row.
    version: u64,
    /// Until when the leaders before this one may give orders.
    inherited_until: Time,
    log: Arc<Logger>,
}

impl Writer {
    /// Claims the leadership by replacing the given version of the leader's row. The leaders before may
    /// give orders until `inherited_until`.
    ///
    /// Returns the writer and when the write was sent, or `None` if another instance came first or
    /// the outcome is unknown.
    pub(super) async fn claim(
        store: &Store,
        row: LeaderRow,
        version: u64,
        inherited_until: Time,
        log: &Logger,
    ) -> Option<(Writer, Time)> {
        let mut writer = Writer {
            store: store.clone(),
            row,
            version,
            inherited_until,
            log: Arc::new(log.clone()),
        };
        let sent = clock::now();
        let transaction = writer.transaction(&Batch::default());
        match store.transact(&transaction, WRITE_TIMEOUT).await {
            Ok(version) => {
                writer.version = version;
                Some((writer, sent))
            }
            // If only the answer was lost, the next read of the row shows the claim.
            Err(_) => None,
        }
    }

    /// Returns the leader's row as last written.
    pub(super) fn row(&self) -> &LeaderRow {
        &self.row
    }

    /// Writes a batch and retries until it is stored or rejected, or another instance leads.
    pub(super) async fn write(mut self, batch: Batch) -> (Writer, Outcome) {
        self.row.write += 1;
        let outcome = self.persist(&batch).await;
        (self, outcome)
    }

    /// Writes the leader's row alone and retries until it is stored or another instance leads. If the
    /// call is dropped, the next write finds out whether the row was stored.
    pub(super) async fn heartbeat(&mut self) -> Outcome {
        self.row.write += 1;
        self.persist(&Batch::default()).await
    }

    /// States from the next write on that this instance takes calls.
    pub(super) fn begin_leading(&mut self) {
        self.row.term = Term::Leading;
    }

    /// States with the next write that the machine is too slow to lead.
    pub(super) fn yield_leading(&mut self) {
        self.row.term = Term::Yielded;
    }

    /// Releases the leadership.
    pub(super) async fn release(mut self) {
        self.row.write += 1;
        self.row.term = match self.row.term {
            Term::Leading | Term::Released => Term::Released,
            Term::Recovering | Term::Aborted => Term::Aborted,
            Term::Yielded => Term::Yielded,
        };
        // If this fails, the other instances notice that the row no longer changes.
        let empty = Batch::default();
        let release = self.persist(&empty);
        let _ = tokio::time::timeout(WRITE_TIMEOUT, release).await;
    }

    async fn persist(&mut self, batch: &Batch) -> Outcome {
        let mut failures = 0_u32;
        let first_sent = clock::now();
        loop {
            let sent = clock::now();
            let transaction = self.transaction(batch);
            let timeout = WRITE_TIMEOUT + batch.transfer;
            let error = match self.store.transact(&transaction, timeout).await {
                Ok(version) => {
                    self.version = version;
                    return Outcome::Stored(sent);
                }
                Err(Error::Conflict(rows)) => {
                    let row = rows.iter().find(|row| row.key == LEADER);
                    let found = row.and_then(|row| Some((LeaderRow::read(row)?, row.version)));
                    let Some((stored, version)) = found else {
                        return Outcome::Deposed;
                    };
                    if stored.epoch != self.row.epoch || stored.incarnation != self.row.incarnation
                    {
                        return Outcome::Deposed;
                    }
                    self.version = version;
                    if stored.write == self.row.write {
                        // An earlier try was stored although no answer came. A successor may count
                        // this leader's authority from that time.
                        return Outcome::Stored(first_sent);
                    }
                    continue;
                }
                // A rejected heartbeat is retried: there is nothing that could be left out.
                Err(Error::Rejected(error)) if batch.len() > 0 => {
                    warn!(self.log, "write rejected";
                        "epoch" => self.row.epoch, "write" => self.row.write,
                        "rows" => batch.len(), "bytes" => batch.bytes, "error" => error);
                    return Outcome::Rejected;
                }
                Err(error) => error,
            };
            if failures == 0 {
                warn!(self.log, "write failed";
                    "epoch" => self.row.epoch, "write" => self.row.write,
                    "rows" => batch.len(), "bytes" => batch.bytes, "error" => %error);
            }
            failures += 1;
            // The first pause is drawn from twice the usual range, since the store answers in
            // milliseconds or not at all.
            backoff::pause_within(failures + 1, MAX_RETRY_PAUSE).await;
        }
    }

    fn transaction(&self, batch: &Batch) -> Transaction {
        let inherited = self.inherited_until.since(clock::now());
        let row = LeaderRow {
            // Rounded up, so that no authority is cut short.
            inherited_ms: u64::try_from(inherited.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX),
            ..self.row.clone()
        };
        let mut transaction = Transaction {
            conditions: vec![(TABLE, LEADER.to_owned(), self.version)],
            puts: vec![(TABLE, LEADER.to_owned(), encode(&row))],
            removals: batch.removals.clone(),
        };
        transaction.puts.extend_from_slice(&batch.puts);
        transaction
    }
}

fn encode_change(change: &Change) -> (&'static str, String, Option<Vec<u8>>) {
    match change {
        Change::Worker(id, entry) => (ROSTER, id.to_string(), entry.as_ref().map(encode)),
        Change::Job(id, record) => (JOBS, id.to_string(), record.as_ref().map(encode)),
        Change::Block(id, progress) => (PROGRESS, block_key(*id), progress.as_ref().map(encode)),
    }
}

fn block_key(id: BlockId) -> String {
    format!("{}.{}.{}", id.step.job, id.step.step, id.number)
}

fn parse_block(key: &str) -> Option<BlockId> {
    let mut parts = key.split('.');
    let step = StepId {
        job: parts.next()?.parse().ok()?,
        step: parts.next()?.parse().ok()?,
    };
    let number = parts.next()?.parse().ok()?;
    parts.next().is_none().then_some(BlockId { step, number })
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    // Encoding a struct of plain fields can't fail.
    bincode::serde::encode_to_vec(value, config::standard()).unwrap_or_default()
}

fn new_compressor() -> Compress {
    // Rows have no header of zlib.
    Compress::new(Compression::fast(), false)
}

/// Compresses the value of a job's row if that makes it shorter.
fn compress(compressor: &mut Compress, value: Vec<u8>) -> Vec<u8> {
    compressor.reset();
    let mut compressed = Vec::with_capacity(value.len());
    compressed.push(DEFLATED);
    match compressor.compress_vec(&value, &mut compressed, FlushCompress::Finish) {
        Ok(Status::StreamEnd) => compressed,
        // It would become longer.
        Ok(Status::Ok | Status::BufError) | Err(_) => value,
    }
}

fn decompress(value: &[u8]) -> io::Result<Cow<'_, [u8]>> {
    let Some((&DEFLATED, compressed)) = value.split_first() else {
        return Ok(Cow::Borrowed(value));
    };
    let mut bytes = Vec::new();
    let decoder = DeflateDecoder::new(compressed);
    decoder
        .take(MAX_VALUE_BYTES as u64)
        .read_to_end(&mut bytes)?;
    Ok(Cow::Owned(bytes))
}

/// Reads a stored job.
///
/// # Errors
///
/// Returns a description of the problem if the row does not hold a valid job.
pub(super) fn decode_job(row: &Row) -> Result<(JobId, Record), String> {
    let id = row
        .key
        .parse::<JobId>()
        .map_err(|error| error.to_string())?;
    let value = row.value.as_deref().unwrap_or_default();
    let value = decompress(value).map_err(|error| error.to_string())?;
    let record = decode(&value).or_else(|error| {
        let earlier: Result<EarlierRecord, String> = decode(&value);
        earlier.map(Record::from).map_err(|_| error)
    })?;
    if let Record::Open(submission) = &record {
        submission.spec.check().map_err(|fault| fault.to_string())?;
    }
    Ok((id, record))
}

/// Reads the stored progress of a block of tasks.
///
/// # Errors
///
/// Returns a description of the problem if the row does not hold a valid block.
pub(super) fn decode_block(row: &Row) -> Result<(BlockId, Progress), String> {
    let id = parse_block(&row.key).ok_or("its key names no block of tasks")?;
    let progress = read(row).or_else(|error| {
        let earlier: Result<EarlierProgress, String> = read(row);
        earlier.map(Progress::from).map_err(|_| error)
    });
    Ok((id, progress?))
}

/// Reads a worker on which tasks may run.
///
/// # Errors
///
/// Returns a description of the problem if the row does not hold a valid worker.
pub(super) fn decode_worker(row: &Row) -> Result<Entry, String> {
    let entry: Entry = read(row)?;
    entry
        .check(clock::wall_ms())
        .map_err(|fault| fault.to_string())?;
    Ok(entry)
}

fn read<T: DeserializeOwned>(row: &Row) -> Result<T, String> {
    decode(row.value.as_deref().unwrap_or_default())
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let config = config::standard().with_limit::<MAX_VALUE_BYTES>();
    let (value, _) =
        bincode::serde::decode_from_slice(bytes, config).map_err(|error| error.to_string())?;
    Ok(value)
}
