//! Calls to workers.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use azurepath_decide::attempt::{Attempt, Outcome, Refusal, Running};
use azurepath_decide::worker::{Interrupt, Inventory, Report};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A claim of a worker by the owner of its rack.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The epoch of the ownership.
    pub epoch: u64,
    /// How long the worker's tasks run on without a renewal, in milliseconds.
    pub lease_ms: u64,
}

/// The order to start an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The epoch of the ownership.
    pub epoch: u64,
    /// What to run.
    pub running: Running,
    /// Whether the task is long-running: the answer comes at once and its end shows in renewals.
    pub detached: bool,
}

/// The answer of an attempt that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The attempt.
    pub attempt: Attempt,
    /// How it ended.
    pub outcome: Outcome,
    /// Its payload, whole.
    pub payload: Bytes,
}

/// A worker's answer to a renewal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// The lagging use of each running attempt.
    pub report: Report,
    /// Detached attempts that have ended since the last renewal.
    pub ended: Vec<Ended>,
    /// Whether the worker is leaving.
    pub leaving: bool,
}

/// A detached attempt that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The attempt.
    pub attempt: Attempt,
    /// How it ended.
    pub outcome: Outcome,
}

/// Why a call to a worker failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The worker says that it did not do it.
    #[error("the worker refused: {0}; place the attempt elsewhere")]
    Refused(Refusal),
    /// Whether the worker did it can't be known.
    #[error("the worker's answer was lost ({detail}); attach to the attempt or wait out the lease")]
    Lost {
        /// What was seen.
        detail: String,
    },
}

/// The calls of a worker.
#[async_trait]
pub trait Worker: Send + Sync {
    /// Raises the worker's epoch and reads what runs there.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] with `StaleEpoch` where the worker has seen a higher one.
    async fn claim(&self, worker: SocketAddr, claim: Claim) -> Result<Inventory, Error>;

    /// Renews the leases of all tasks on the worker.
    ///
    /// # Errors
    ///
    /// As for [`Worker::claim`].
    async fn renew(&self, worker: SocketAddr, claim: Claim) -> Result<Renewal, Error>;

    /// Starts an attempt and waits for its answer, `patience` at most.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] only where the attempt surely did not start.
    async fn start(
        &self,
        worker: SocketAddr,
        order: Order,
        payload: Bytes,
        patience: Duration,
    ) -> Result<Answer, Error>;

    /// Waits for the answer of an attempt that runs or has ended, `patience` at most.
    ///
    /// # Errors
    ///
    /// As for [`Worker::start`].
    async fn attach(
        &self,
        worker: SocketAddr,
        attempt: Attempt,
        patience: Duration,
    ) -> Result<Answer, Error>;

    /// Interrupts a running attempt.
    ///
    /// # Errors
    ///
    /// As for [`Worker::claim`].
    async fn interrupt(
        &self,
        worker: SocketAddr,
        epoch: u64,
        attempt: Attempt,
        how: Interrupt,
    ) -> Result<(), Error>;

    /// Runs a task that belongs to no caller, to see whether the worker can run anything.
    ///
    /// # Errors
    ///
    /// As for [`Worker::start`].
    async fn probe(&self, worker: SocketAddr, epoch: u64) -> Result<(), Error>;
}
