//! Client of the workers.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use azurepath_decide::attempt::{Attempt, Outcome, Refusal, Running};
use azurepath_decide::worker::{Interrupt, Inventory, Report};
use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode};
use serde::{Deserialize, Serialize};

use azurepath_http::{Call, Failure, Pool, Reply};

/// How long a call may take that does not wait for a caller's task.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of idle connections that are kept to a worker, which accepts 64 in total.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// The header with the order to start an attempt, as JSON.
pub const ORDER_HEADER: &str = "azurepath-order";

/// The header with the attempt that an answer belongs to.
pub const ATTEMPT_HEADER: &str = "azurepath-attempt";

/// The header with the outcome of the attempt.
pub const OUTCOME_HEADER: &str = "azurepath-outcome";

/// A claim on a worker by the owner of its rack.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The epoch of the ownership.
    pub epoch: u64,
    /// How long the worker's tasks keep running without a renewal, in milliseconds.
    pub lease_ms: u64,
}

/// The order to start an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The epoch of the ownership.
    pub epoch: u64,
    /// The attempt to start.
    pub running: Running,
    /// Whether the task is long-running. The worker then answers immediately and reports the end of
    /// the task in a renewal.
    pub detached: bool,
}

/// The answer of an attempt that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The attempt.
    pub attempt: Attempt,
    /// The outcome.
    pub outcome: Outcome,
    /// The complete payload.
    pub payload: Bytes,
}

/// The response of a worker to a renewal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// The resource usage of each running attempt, which may lag.
    pub report: Report,
    /// Detached attempts that have ended since the last renewal.
    pub ended: Vec<Ended>,
    /// Whether the worker is about to stop.
    pub leaving: bool,
}

/// A detached attempt that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The attempt.
    pub attempt: Attempt,
    /// The outcome.
    pub outcome: Outcome,
    /// How long ago it ended, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// Why a call to a worker failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The worker refused the call, or it can't be reached. The call had no effect.
    #[error("the worker refused the call: {0}; place the attempt elsewhere")]
    Refused(Refusal),
    /// The response was lost; the call may have taken effect.
    #[error(
        "the worker's response was lost ({detail}); attach to the attempt or wait until the lease expires"
    )]
    Lost {
        /// The cause.
        detail: String,
    },
}

/// The calls that workers serve.
#[async_trait]
pub trait Worker: Send + Sync {
    /// Raises the worker's epoch and returns the attempts that run on it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] with `StaleEpoch` if the worker has seen a higher epoch.
    async fn claim(&self, worker: SocketAddr, claim: Claim) -> Result<Inventory, Error>;

    /// Renews the leases of all tasks on the worker.
    ///
    /// # Errors
    ///
    /// As for [`Worker::claim`].
    async fn renew(&self, worker: SocketAddr, claim: Claim) -> Result<Renewal, Error>;

    /// Starts an attempt and waits up to `timeout` for its answer.
    ///
    /// A detached attempt is answered as soon as it has started, with an empty payload and the
    /// outcome `Done`. Its end is reported in a renewal.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] only if the attempt certainly did not start.
    async fn start(
        &self,
        worker: SocketAddr,
        order: Order,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<Answer, Error>;

    /// Waits up to `timeout` for the answer of an attempt that is running or has ended.
    ///
    /// # Errors
    ///
    /// As for [`Worker::start`].
    async fn attach(
        &self,
        worker: SocketAddr,
        attempt: Attempt,
        timeout: Duration,
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

    /// Runs a test task to check whether the worker can run tasks.
    ///
    /// # Errors
    ///
    /// As for [`Worker::start`].
    async fn probe(&self, worker: SocketAddr, epoch: u64) -> Result<(), Error>;
}

/// The body of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The reason.
    pub refused: Refusal,
}

/// The body of a probe.
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
    /// How to interrupt the attempt.
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
    /// Creates a client without open connections.
    pub fn new() -> Client {
        Client {
            pool: Pool::new(MAX_IDLE_CONNECTIONS),
        }
    }

    async fn call(&self, worker: SocketAddr, call: Call) -> Result<Reply, Error> {
        let reply = self.pool.call(worker, call).await.map_err(error_from)?;
        if reply.status == StatusCode::CONFLICT {
            let Refused { refused } = reply.json().map_err(error_from)?;
            return Err(Error::Refused(refused));
        }
        if !reply.status.is_success() {
            let detail = reply.describe();
            return Err(Error::Lost { detail });
        }
        Ok(reply)
    }
}

fn error_from(failure: Failure) -> Error {
    match failure {
        Failure::NotSent(_) => Error::Refused(Refusal::Unreachable),
        Failure::Lost(detail) => Error::Lost { detail },
    }
}

/// Parses the answer of an attempt and rejects an answer that belongs to another attempt.
fn parse_answer(attempt: Attempt, reply: Reply) -> Result<Answer, Error> {
    let lost = |detail: String| Error::Lost { detail };
    let named = reply.header(ATTEMPT_HEADER).unwrap_or_default();
    if named != attempt.to_string() {
        return Err(lost(format!("the answer belongs to attempt {named:?}")));
    }
    let outcome = reply.header(OUTCOME_HEADER).unwrap_or_default().parse();
    let outcome = outcome.map_err(|_| lost("the answer has no valid outcome".to_owned()))?;
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
        reply.json().map_err(error_from)
    }

    async fn renew(&self, worker: SocketAddr, claim: Claim) -> Result<Renewal, Error> {
        let reply = self
            .call(worker, Call::post("/renew", &claim, TIMEOUT))
            .await?;
        reply.json().map_err(error_from)
    }

    async fn start(
        &self,
        worker: SocketAddr,
        order: Order,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        let attempt = order.running.attempt;
        let mut call = Call::new(Method::POST, "/tasks", timeout);
        let json = serde_json::to_vec(&order).unwrap_or_default();
        let header = HeaderValue::from_bytes(&json).map_err(|_| Error::Refused(Refusal::Broken))?;
        call.headers.insert(ORDER_HEADER, header);
        call.body = payload;
        let reply = self.call(worker, call).await?;
        if reply.status == StatusCode::ACCEPTED {
            return Ok(Answer {
                attempt,
                outcome: Outcome::Done,
                payload: Bytes::new(),
            });
        }
        parse_answer(attempt, reply)
    }

    async fn attach(
        &self,
        worker: SocketAddr,
        attempt: Attempt,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        let call = Call::new(Method::GET, format!("/tasks/{attempt}"), timeout);
        parse_answer(attempt, self.call(worker, call).await?)
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
