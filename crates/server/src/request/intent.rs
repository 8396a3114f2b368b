//! Durable intents: a request that must not run twice is recorded before its first start.
//!
//! The row `intent/ID` is created by compare-and-set, so a caller that repeats a request through
//! any server finds the first one. The rows of many requests go into one transaction.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::name::Name;
use azurepath_decide::request::{Id, Request};
use azurepath_services::table::{Check, Commit, Error, Row, Table, Transaction, Write};
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::problem::Ran;
use crate::metrics::Metrics;

/// The key prefix of all intents.
pub const KEY_PREFIX: &str = "intent/";

/// How long intents are collected for one transaction.
const BATCH_DELAY: Duration = Duration::from_millis(3);

/// The maximum number of intents in one transaction.
const MAX_BATCH: usize = 128;

/// The timeout of one call to the table.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How often a write is tried in total.
const MAX_TRIES: u32 = 8;

/// The base of the random pause before an outcome is written again.
///
/// The upper bound of the pause doubles with each try.
const BACKOFF_BASE: Duration = Duration::from_millis(100);

/// The row of an intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The team.
    pub team: Name,
    /// The queue.
    pub queue: Name,
    /// Whether the request ran; `unknown` while it runs.
    pub ran: Ran,
    /// A random number by which the writer recognizes its own row after a lost answer.
    pub write: u64,
}

/// Why a request may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request was accepted before. Holds whether it ran.
    Duplicate(Ran),
    /// The table can't be written, so nothing was started.
    TableUnavailable,
}

/// A message to the writer.
#[derive(Debug)]
enum Message {
    /// Records an intent.
    Open(Id, Record, oneshot::Sender<Result<u64, Refusal>>),
    /// Records an outcome if the row still has this revision.
    Close(Id, Record, u64),
}

/// Sends intents to the [`Writer`].
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::UnboundedSender<Message>,
}

/// A recorded intent.
#[derive(Debug)]
pub struct Intent {
    sender: mpsc::UnboundedSender<Message>,
    id: Id,
    record: Record,
    revision: u64,
}

impl Intent {
    /// Records the outcome in the background.
    pub fn close(mut self, ran: Ran) {
        self.record.ran = ran;
        let message = Message::Close(self.id, self.record, self.revision);
        // If the writer has ended, the row keeps saying `unknown`.
        let _ = self.sender.send(message);
    }
}

impl Handle {
    /// Records the intent of a request.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the request must not start.
    pub async fn open(&self, request: &Request) -> Result<Intent, Refusal> {
        let record = Record {
            team: request.team.clone(),
            queue: request.kind.clone(),
            ran: Ran::Unknown,
            write: rand::rng().random(),
        };
        let (reply, receiver) = oneshot::channel();
        let message = Message::Open(request.id, record.clone(), reply);
        let _ = self.sender.send(message);
        let revision = receiver.await.map_err(|_| Refusal::TableUnavailable)??;
        Ok(Intent {
            sender: self.sender.clone(),
            id: request.id,
            record,
            revision,
        })
    }
}

/// The receiving end of a [`Handle`].
pub struct Inbox(mpsc::UnboundedReceiver<Message>);

/// Creates a handle and the inbox that the writer reads from.
pub fn channel() -> (Handle, Inbox) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (Handle { sender }, Inbox(receiver))
}

/// The task that writes intents.
pub struct Writer {
    /// The table.
    pub table: Arc<dyn Table>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

/// A pending write.
#[derive(Debug)]
struct Pending {
    id: Id,
    record: Record,
    /// The revision that the row must have; 0 if it must not exist.
    revision: u64,
    /// Receives the new revision; `None` for an outcome.
    reply: Option<oneshot::Sender<Result<u64, Refusal>>>,
    tries: u32,
    /// The earliest time of the next try.
    due: Instant,
}

impl Pending {
    fn finish(self, result: Result<u64, Refusal>) {
        if let Some(reply) = self.reply {
            // If the caller has gone, its intent stays `unknown`.
            let _ = reply.send(result);
        }
    }

    fn key(&self) -> String {
        format!("{KEY_PREFIX}{}", self.id)
    }
}

impl Writer {
    /// Runs until `halt`, then writes everything that is still pending.
    pub async fn run(self, inbox: Inbox, halt: CancellationToken) {
        let mut inbox = inbox.0;
        let mut waiting: Vec<Pending> = Vec::new();
        loop {
            let halted = halt.is_cancelled();
            if halted {
                inbox.close();
            }
            let now = Instant::now();
            let (ready, later): (Vec<Pending>, Vec<Pending>) = waiting
                .into_iter()
                .partition(|pending| halted || pending.due <= now);
            let mut batch = VecDeque::from(ready);
            waiting = later;
            if batch.is_empty() {
                tokio::select! {
                    message = inbox.recv() => match message {
                        Some(message) => batch.push_back(pending(message)),
                        None if waiting.is_empty() => return,
                        None => continue,
                    },
                    () = halt.cancelled(), if !halted => continue,
                    () = next_due(&waiting) => continue,
                }
            }
            self.collect(&mut inbox, &mut batch).await;
            waiting.extend(self.write(batch).await);
        }
    }

    /// Adds messages to a batch until it is full or the delay has passed.
    async fn collect(
        &self,
        inbox: &mut mpsc::UnboundedReceiver<Message>,
        batch: &mut VecDeque<Pending>,
    ) {
        let end = Instant::now() + BATCH_DELAY;
        while batch.len() < MAX_BATCH {
            match tokio::time::timeout_at(end, inbox.recv()).await {
                Ok(Some(message)) => batch.push_back(pending(message)),
                Ok(None) | Err(_) => return,
            }
        }
    }

    /// Writes a batch and returns what must be written again.
    async fn write(&self, batch: VecDeque<Pending>) -> VecDeque<Pending> {
        self.metrics.intent_writes.add(1, &[]);
        let (unique, mut retries) = unique_rows(batch);
        match self.transact(&unique).await {
            Ok(commit) => {
                for pending in unique {
                    pending.finish(Ok(commit.revision));
                }
            }
            Err(Error::Conflict { key, revision }) => {
                for pending in unique {
                    if pending.key() == key {
                        retries.extend(self.resolve_conflict(pending, revision).await);
                    } else {
                        retries.push_back(pending);
                    }
                }
            }
            Err(Error::Unavailable { .. } | Error::Invalid { .. }) => {
                retries.extend(self.fail_or_retry(unique));
            }
            Err(Error::Unknown { .. }) => {
                for pending in unique {
                    retries.extend(self.read_back(pending).await);
                }
            }
        }
        retries
    }

    async fn transact(&self, batch: &VecDeque<Pending>) -> Result<Commit, Error> {
        let mut transaction = Transaction::default();
        for pending in batch {
            transaction.checks.push(Check {
                key: pending.key(),
                revision: pending.revision,
            });
            transaction.writes.push(Write {
                key: pending.key(),
                // Serializing a record of names and numbers can't fail.
                value: serde_json::to_value(&pending.record).ok(),
            });
        }
        match tokio::time::timeout(CALL_TIMEOUT, self.table.transact(transaction)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Unknown {
                detail: "no answer in time".to_owned(),
            }),
        }
    }

    /// Handles a row whose revision is not the expected one.
    async fn resolve_conflict(&self, mut pending: Pending, revision: u64) -> Option<Pending> {
        let Ok(row) = self.read(&pending).await else {
            pending.finish(Err(Refusal::TableUnavailable));
            return None;
        };
        let Some((row, record)) = row else {
            pending.revision = 0;
            return Some(pending);
        };
        if record.write == pending.record.write && record.ran == pending.record.ran {
            pending.finish(Ok(row.revision));
            return None;
        }
        pending.reply.as_ref()?;
        if record.team != pending.record.team {
            pending.finish(Err(Refusal::Duplicate(Ran::Unknown)));
            return None;
        }
        if record.ran == Ran::NotRun {
            // The earlier request certainly did not run, so this one may take over its row.
            pending.revision = row.revision.max(revision);
            return Some(pending);
        }
        pending.finish(Err(Refusal::Duplicate(record.ran)));
        None
    }

    /// Finds out whether a write whose answer was lost took effect.
    async fn read_back(&self, mut pending: Pending) -> Option<Pending> {
        match self.read(&pending).await {
            Ok(Some((row, record))) if record.write == pending.record.write => {
                if record.ran == pending.record.ran {
                    pending.finish(Ok(row.revision));
                    return None;
                }
                pending.revision = row.revision;
                self.retry(pending)
            }
            Ok(Some((row, _))) => self.resolve_conflict(pending, row.revision).await,
            Ok(None) => self.retry(pending),
            Err(()) => {
                // The request of a new intent has not started, and a row that may have been written
                // only says `unknown`. An outcome is given up, so its row keeps saying `unknown`.
                pending.finish(Err(Refusal::TableUnavailable));
                None
            }
        }
    }

    /// Rejects new intents and schedules another try for outcomes.
    fn fail_or_retry(&self, batch: VecDeque<Pending>) -> VecDeque<Pending> {
        let mut retries = VecDeque::new();
        for pending in batch {
            if pending.reply.is_some() {
                pending.finish(Err(Refusal::TableUnavailable));
            } else {
                retries.extend(self.retry(pending));
            }
        }
        retries
    }

    /// Counts a failed try and returns the write unless it has reached [`MAX_TRIES`].
    ///
    /// Outcomes are retried after a random pause, new intents at once.
    fn retry(&self, mut pending: Pending) -> Option<Pending> {
        pending.tries += 1;
        if pending.tries >= MAX_TRIES {
            pending.finish(Err(Refusal::TableUnavailable));
            return None;
        }
        if pending.reply.is_none() {
            let bound = BACKOFF_BASE.saturating_mul(1 << pending.tries);
            pending.due = Instant::now() + bound.mul_f64(rand::rng().random());
        }
        Some(pending)
    }

    async fn read(&self, pending: &Pending) -> Result<Option<(Row, Record)>, ()> {
        let key = pending.key();
        let read = tokio::time::timeout(CALL_TIMEOUT, self.table.read(&key)).await;
        let row = read.map_err(|_| ())?.map_err(|_| ())?;
        let Some(row) = row else {
            return Ok(None);
        };
        let record = serde_json::from_value(row.value.clone()).map_err(|_| ())?;
        Ok(Some((row, record)))
    }
}

fn pending(message: Message) -> Pending {
    match message {
        Message::Open(id, record, reply) => Pending {
            id,
            record,
            revision: 0,
            reply: Some(reply),
            tries: 0,
            due: Instant::now(),
        },
        Message::Close(id, record, revision) => Pending {
            id,
            record,
            revision,
            reply: None,
            tries: 0,
            due: Instant::now(),
        },
    }
}

/// Waits until the first pending write is due.
async fn next_due(waiting: &[Pending]) {
    match waiting.iter().map(|pending| pending.due).min() {
        Some(due) => tokio::time::sleep_until(due).await,
        None => std::future::pending().await,
    }
}

/// Separates the first write of each row from the others, which wait for the next transaction.
fn unique_rows(batch: VecDeque<Pending>) -> (VecDeque<Pending>, VecDeque<Pending>) {
    let mut seen = std::collections::BTreeSet::new();
    batch
        .into_iter()
        .partition(|pending| seen.insert(pending.id))
}
