//! Writes of the leader, one after the other.
//!
//! Each write also writes the leader's row and asks that nobody has written it in between. So it is
//! a heartbeat as well, a deposed leader can't write, and a write that the store carries out late
//! finds the row changed and has no effect.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::JobId;
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::record::{Batch, Record};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use azurepath_platform::store::{Error, Row, Store, TRANSACTION_ENTRIES, Transaction};
use bincode::config;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use slog::{Logger, warn};

use super::clock;
use crate::process::backoff;

/// The table with the leader's row.
pub(super) const TABLE: &str = "azurepath";

/// The key of the leader's row.
pub(super) const LEADER: &str = "leader";

/// The key of the row with all workers on which tasks may run.
pub(super) const ROSTER: &str = "roster";

/// The table with the jobs.
pub(super) const JOBS: &str = "jobs";

/// The most jobs of one write; the leader's row takes a condition and a put, the roster a put.
pub(super) const MOST: usize = TRANSACTION_ENTRIES - 3;

/// How long a write may take before its connection counts as lost.
const TIMEOUT: Duration = Duration::from_millis(700);

/// The longest pause after a write that failed: one of the leader's beats.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// The leader's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Seat {
    /// The instance that leads.
    pub(super) name: Name,
    /// Differs between two starts of its process.
    pub(super) incarnation: u64,
    /// Where it listens for its peers.
    pub(super) address: SocketAddr,
    /// Grows by one with each leader.
    pub(super) epoch: u64,
    /// Counts the writes of this epoch.
    pub(super) write: u64,
    /// Whether it leads no more.
    pub(super) released: bool,
}

impl Seat {
    /// Reads the leader's row; `None` where it is not there or can't be read.
    pub(super) fn read(row: &Row) -> Option<Seat> {
        serde_json::from_slice(row.value.as_deref()?).ok()
    }

    fn bytes(&self) -> Vec<u8> {
        // A struct of plain fields always has a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// It is stored, and the row has not changed since a call sent at this time or later.
    Stored(Time),
    /// Another instance leads.
    Deposed,
}

/// Writes under one epoch.
#[derive(Clone)]
pub(super) struct Writer {
    store: Store,
    seat: Seat,
    /// The version of the leader's row.
    version: u64,
    log: Arc<Logger>,
}

impl Writer {
    /// Takes the seat by a write on top of a row's version; `None` where another came first or it
    /// is not known.
    pub(super) async fn claim(
        store: &Store,
        seat: Seat,
        version: u64,
        log: &Logger,
    ) -> Option<(Writer, Time)> {
        let mut writer = Writer {
            store: store.clone(),
            seat,
            version,
            log: Arc::new(log.clone()),
        };
        let sent = clock::now();
        let transaction = writer.transaction(&Batch::default());
        match store.transact(&transaction, TIMEOUT).await {
            Ok(version) => {
                writer.version = version;
                Some((writer, sent))
            }
            // A claim whose answer was lost is found again by reading the row.
            Err(_) => None,
        }
    }

    /// Returns the seat.
    pub(super) fn seat(&self) -> &Seat {
        &self.seat
    }

    /// Writes jobs, however long that takes.
    pub(super) async fn write(mut self, batch: Batch) -> (Writer, Outcome) {
        self.seat.write += 1;
        let outcome = self.persist(&batch).await;
        (self, outcome)
    }

    /// Gives the seat up.
    pub(super) async fn release(mut self) {
        self.seat.write += 1;
        self.seat.released = true;
        // Where this fails, the others see that the row stands still.
        let empty = Batch::default();
        let release = self.persist(&empty);
        let _ = tokio::time::timeout(TIMEOUT, release).await;
    }

    async fn persist(&mut self, batch: &Batch) -> Outcome {
        let mut failures = 0_u32;
        let first_sent = clock::now();
        loop {
            let sent = clock::now();
            let transaction = self.transaction(batch);
            let error = match self.store.transact(&transaction, TIMEOUT).await {
                Ok(version) => {
                    self.version = version;
                    return Outcome::Stored(sent);
                }
                Err(Error::Conflict(rows)) => {
                    let row = rows.iter().find(|row| row.key == LEADER);
                    let found = row.and_then(|row| Some((Seat::read(row)?, row.version)));
                    let Some((seat, version)) = found else {
                        return Outcome::Deposed;
                    };
                    if seat.epoch != self.seat.epoch || seat.incarnation != self.seat.incarnation {
                        return Outcome::Deposed;
                    }
                    self.version = version;
                    if seat.write == self.seat.write {
                        // An earlier try was carried out though no answer came. A successor may count
                        // this leader's authority from when that was.
                        return Outcome::Stored(first_sent);
                    }
                    continue;
                }
                Err(error) => error,
            };
            if failures == 0 {
                warn!(self.log, "write failed";
                    "epoch" => self.seat.epoch, "write" => self.seat.write,
                    "jobs" => batch.jobs.len(), "error" => %error);
            }
            failures += 1;
            // The first pause is drawn from twice the usual span: the store answers in milliseconds
            // or not at all.
            backoff::pause_within(failures + 1, LONGEST_PAUSE).await;
        }
    }

    fn transaction(&self, batch: &Batch) -> Transaction {
        let mut transaction = Transaction {
            conditions: vec![(TABLE, LEADER.to_owned(), self.version)],
            puts: vec![(TABLE, LEADER.to_owned(), self.seat.bytes())],
            removals: Vec::new(),
        };
        if let Some(roster) = &batch.roster {
            let row = (TABLE, ROSTER.to_owned(), encode(roster));
            transaction.puts.push(row);
        }
        for (id, record) in &batch.jobs {
            match record {
                Some(record) => transaction
                    .puts
                    .push((JOBS, id.to_string(), encode(record))),
                None => transaction.removals.push((JOBS, id.to_string())),
            }
        }
        transaction
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    // A struct of plain fields always has a form in bytes.
    bincode::serde::encode_to_vec(value, config::standard()).unwrap_or_default()
}

/// Reads a stored job.
///
/// # Errors
///
/// Returns what is wrong with a row that holds no job.
pub(super) fn decode(row: &Row) -> Result<(JobId, Record), String> {
    let id = row
        .key
        .parse::<JobId>()
        .map_err(|error| error.to_string())?;
    Ok((id, read(row)?))
}

/// Reads the workers on which tasks may run.
///
/// # Errors
///
/// Returns what is wrong with a row that holds no roster.
pub(super) fn decode_roster(row: &Row) -> Result<Vec<Entry>, String> {
    read(row)
}

fn read<T: DeserializeOwned>(row: &Row) -> Result<T, String> {
    let bytes = row.value.as_deref().unwrap_or_default();
    let (value, _) = bincode::serde::decode_from_slice(bytes, config::standard())
        .map_err(|error| error.to_string())?;
    Ok(value)
}
