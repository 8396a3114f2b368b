//! Calls to workers.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use azurepath_decide::attempt::{Attempt, Outcome, Refusal, Running};
use azurepath_decide::worker::{Interrupt, Inventory, Report};
use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode};
use serde::{Deserialize, Serialize};

use azurepath_http::{Call, Failure, Pool, Reply};

/// How long a call that runs no task of a caller may take.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Unused connections that are kept to a worker; it takes 64 in all.
const IDLE: usize = 32;

/// The header with the order of a start, as JSON.
pub const ORDER: &str = "azurepath-order";

/// The header that names the attempt of an answer.
pub const ATTEMPT: &str = "azurepath-attempt";

/// The header that says how the attempt ended.
pub const OUTCOME: &str = "azurepath-outcome";

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
    /// How long ago it ended, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
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
    /// A detached attempt is answered as soon as it has begun, with an empty payload and the
    /// outcome `Done`; its end shows in renewals.
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

/// The body of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Why.
    pub refused: Refusal,
}

/// The body of a call that only names the ownership's epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The epoch of the ownership.
    pub epoch: u64,
}

/// The body of an interrupt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interruption {
    /// The epoch of the ownership.
    pub epoch: u64,
    /// How.
    pub how: Interrupt,
}

/// A client of all workers over HTTP.
#[derive(Clone)]
pub struct Client {
    pool: Pool,
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

impl Client {
    /// Makes a client without connections.
    pub fn new() -> Client {
        Client {
            pool: Pool::new(IDLE),
        }
    }

    async fn call(&self, worker: SocketAddr, call: Call) -> Result<Reply, Error> {
        let reply = self.pool.call(worker, call).await.map_err(fail)?;
        if reply.status == StatusCode::CONFLICT {
            let Refused { refused } = reply.json().map_err(fail)?;
            return Err(Error::Refused(refused));
        }
        if !reply.status.is_success() {
            let detail = reply.describe();
            return Err(Error::Lost { detail });
        }
        Ok(reply)
    }
}

fn fail(failure: Failure) -> Error {
    match failure {
        Failure::NotSent(_) => Error::Refused(Refusal::Unreachable),
        Failure::Lost(detail) => Error::Lost { detail },
    }
}

/// Reads the answer of an attempt and refuses another attempt's.
fn answer(attempt: Attempt, reply: Reply) -> Result<Answer, Error> {
    let lost = |detail: String| Error::Lost { detail };
    let named = reply.header(ATTEMPT).unwrap_or_default();
    if named != attempt.to_string() {
        return Err(lost(format!("the answer is that of attempt {named:?}")));
    }
    let outcome = reply.header(OUTCOME).unwrap_or_default().parse();
    let outcome = outcome.map_err(|_| lost("the answer names no outcome".to_owned()))?;
    Ok(Answer {
        attempt,
        outcome,
        payload: reply.body,
    })
}

#[async_trait]
impl Worker for Client {
    async fn claim(&self, worker: SocketAddr, claim: Claim) -> Result<Inventory, Error> {
        let reply = self
            .call(worker, Call::post("/claim", &claim, TIMEOUT))
            .await?;
        reply.json().map_err(fail)
    }

    async fn renew(&self, worker: SocketAddr, claim: Claim) -> Result<Renewal, Error> {
        let reply = self
            .call(worker, Call::post("/renew", &claim, TIMEOUT))
            .await?;
        reply.json().map_err(fail)
    }

    async fn start(
        &self,
        worker: SocketAddr,
        order: Order,
        payload: Bytes,
        patience: Duration,
    ) -> Result<Answer, Error> {
        let attempt = order.running.attempt;
        let mut call = Call::new(Method::POST, "/tasks", patience);
        let json = serde_json::to_vec(&order).unwrap_or_default();
        let header = HeaderValue::from_bytes(&json).map_err(|_| Error::Refused(Refusal::Broken))?;
        call.headers.insert(ORDER, header);
        call.body = payload;
        let reply = self.call(worker, call).await?;
        if reply.status == StatusCode::ACCEPTED {
            return Ok(Answer {
                attempt,
                outcome: Outcome::Done,
                payload: Bytes::new(),
            });
        }
        answer(attempt, reply)
    }

    async fn attach(
        &self,
        worker: SocketAddr,
        attempt: Attempt,
        patience: Duration,
    ) -> Result<Answer, Error> {
        let call = Call::new(Method::GET, format!("/tasks/{attempt}"), patience);
        answer(attempt, self.call(worker, call).await?)
    }

    async fn interrupt(
        &self,
        worker: SocketAddr,
        epoch: u64,
        attempt: Attempt,
        how: Interrupt,
    ) -> Result<(), Error> {
        let path = format!("/tasks/{attempt}/interrupt");
        let call = Call::post(path, &Interruption { epoch, how }, TIMEOUT);
        self.call(worker, call).await.map(drop)
    }

    async fn probe(&self, worker: SocketAddr, epoch: u64) -> Result<(), Error> {
        let call = Call::post("/probe", &Probe { epoch }, TIMEOUT);
        self.call(worker, call).await.map(drop)
    }
}
