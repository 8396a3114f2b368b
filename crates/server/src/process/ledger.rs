//! The task that records the resource usage of teams as sealed segments in the object store.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use azurepath_decide::attempt::{Attempt, Running};
use azurepath_decide::name::Name;
use azurepath_decide::usage::{Head, Ledger, Segment};
use azurepath_decide::worker::Report;
use azurepath_services::object::Store;
use azurepath_services::table::{Table, Transaction, Write};
use azurepath_services::usage;
use bytes::Bytes;
use rand::Rng;
use slog::{Logger, warn};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Process;

/// The interval between two segments.
///
/// A process that dies loses at most the usage that it recorded during one interval.
const SEAL_INTERVAL: Duration = Duration::from_secs(60);

/// The bounds of the pause before a failed write of a segment is retried.
const PUT_RETRY_PAUSE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// The number of tries to write the last segment before the process ends without it.
const FINAL_TRIES: u32 = 3;

/// The pause between two of these tries.
const FINAL_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// A change of the usage to be recorded.
#[derive(Clone, Debug)]
pub enum Update {
    /// An attempt is about to start.
    Begin {
        /// The worker.
        worker: Name,
        /// The attempt.
        running: Running,
    },
    /// An attempt did not start.
    Cancel(Attempt),
    /// An attempt has ended, or no further report of it will come.
    End(Attempt),
    /// An attempt ended some time before its end was reported.
    EndedBefore {
        /// The attempt.
        attempt: Attempt,
        /// The time since its end, in milliseconds.
        age_ms: u64,
    },
    /// These attempts, and no others, run on a worker.
    Replace {
        /// The worker.
        worker: Name,
        /// The attempts.
        running: Vec<Running>,
    },
    /// A worker has reported the usage of its attempts.
    Report(Report),
}

impl Update {
    /// Makes the update that none of the attempts recorded by this process runs on a worker.
    pub fn idle(worker: &Name) -> Update {
        Update::Replace {
            worker: worker.clone(),
            running: Vec::new(),
        }
    }
}

/// Sends updates to the task.
pub type Updates = mpsc::UnboundedSender<Update>;

/// The task.
pub struct Task {
    writer: String,
    objects: Arc<dyn Store>,
    table: Arc<dyn Table>,
    log: Logger,
    ledger: Ledger,
    head: Head,
    /// The sealed segment that may not be stored yet.
    pending: Option<Segment>,
    failures: u32,
}

impl Task {
    /// Makes the task of a process.
    pub fn new(process: &Process) -> Task {
        let server = &process.settings.server.name;
        Task {
            writer: format!("{server}-{:016x}", process.incarnation),
            objects: process.platform.objects.clone(),
            table: process.platform.table.clone(),
            log: process.log.clone(),
            ledger: Ledger::default(),
            head: Head::default(),
            pending: None,
            failures: 0,
        }
    }

    /// Runs until all senders are dropped, and then seals and stores the rest.
    pub async fn run(mut self, mut updates: mpsc::UnboundedReceiver<Update>) {
        let first_delay = rand::rng().random_range(SEAL_INTERVAL / 2..SEAL_INTERVAL);
        let mut due = Instant::now() + first_delay;
        loop {
            tokio::select! {
                update = updates.recv() => match update {
                    Some(update) => self.apply(update),
                    None => break,
                },
                () = tokio::time::sleep_until(due) => {
                    due = Instant::now() + self.seal().await;
                }
            }
        }
        self.finish().await;
    }

    fn apply(&mut self, update: Update) {
        let now_ms = unix_ms();
        match update {
            Update::Begin { worker, running } => self.ledger.begin(now_ms, &worker, &running),
            Update::Cancel(attempt) => self.ledger.cancel(attempt),
            Update::End(attempt) => self.ledger.end(now_ms, attempt),
            Update::EndedBefore { attempt, age_ms } => {
                self.ledger.end(now_ms.saturating_sub(age_ms), attempt);
            }
            Update::Replace { worker, running } => self.ledger.reconcile(now_ms, &worker, &running),
            Update::Report(report) => report
                .usage
                .iter()
                .for_each(|usage| self.ledger.report(usage.attempt, &usage.used)),
        }
    }

    /// Seals and stores the recorded usage; returns the pause before the next call.
    async fn seal(&mut self) -> Duration {
        if self.pending.is_none() {
            let entries = self.ledger.take(unix_ms());
            if entries.is_empty() {
                return SEAL_INTERVAL;
            }
            self.pending = Some(Segment::seal(&self.writer, &self.head, entries));
        }
        if self.store().await {
            self.failures = 0;
            return SEAL_INTERVAL;
        }
        self.failures += 1;
        let doublings = self.failures.min(16);
        let bound = (PUT_RETRY_PAUSE.0 * (1 << doublings)).min(PUT_RETRY_PAUSE.1);
        PUT_RETRY_PAUSE.0 + rand::rng().random_range(Duration::ZERO..bound)
    }

    /// Stores the pending segment and then the head of the chain; returns whether both succeeded.
    ///
    /// Both writes may be repeated.
    async fn store(&mut self) -> bool {
        let Some(segment) = &self.pending else {
            return true;
        };
        let (name, head) = (segment.name(), segment.head());
        let put = self.objects.put(&name, Bytes::from(segment.text())).await;
        if let Err(error) = put {
            warn!(self.log, "segment not stored"; "segment" => name, "error" => %error);
            return false;
        }
        let write = Write {
            key: usage::head_key(&self.writer),
            value: serde_json::to_value(&head).ok(),
        };
        let transaction = Transaction {
            checks: Vec::new(),
            writes: vec![write],
        };
        if let Err(error) = self.table.transact(transaction).await {
            warn!(self.log, "head of segments not written"; "segment" => name, "error" => %error);
            return false;
        }
        self.head = head;
        self.pending = None;
        true
    }

    async fn finish(mut self) {
        for _ in 0..FINAL_TRIES {
            self.seal().await;
            if self.pending.is_none() && self.ledger.counts() == (0, 0) {
                return;
            }
            if self.pending.is_some() {
                tokio::time::sleep(FINAL_RETRY_PAUSE).await;
            }
        }
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
