//! Calls from the engine to workers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::attempt::Attempt;
use azurepath_decide::name::Name;
use azurepath_decide::worker::{Interrupt, Inventory};
use azurepath_services::worker::{Answer, Claim, Error, Order, Worker};
use bytes::Bytes;
use tokio::task::JoinSet;

/// The result of a call.
#[derive(Debug)]
pub(super) enum Returned {
    /// The result of a claim.
    Claimed {
        /// The worker.
        worker: Name,
        /// The epoch of the claim.
        epoch: u64,
        /// The inventory of the worker, or the error.
        result: Result<Inventory, Error>,
    },
    /// The result of a start or of an attach to an attempt.
    Answered {
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: Name,
        /// Whether the worker was told to answer as soon as the attempt has started.
        detached: bool,
        /// The answer, or the error.
        result: Result<Answer, Error>,
    },
    /// The result of a probe.
    Probed {
        /// The worker.
        worker: Name,
        /// Whether the probe succeeded.
        healthy: bool,
    },
    /// The end of an interrupt call; the start call reports how the attempt ended.
    Interrupted,
}

/// The target of a call.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// The worker.
    pub(super) worker: Name,
    /// The address that it listens on.
    pub(super) address: SocketAddr,
}

/// The calls that have not ended.
pub(super) struct Calls {
    workers: Arc<dyn Worker>,
    running: JoinSet<Returned>,
}

impl Calls {
    pub(super) fn new(workers: Arc<dyn Worker>) -> Calls {
        Calls {
            workers,
            running: JoinSet::new(),
        }
    }

    /// Returns the number of calls that have not ended.
    pub(super) fn count(&self) -> usize {
        self.running.len()
    }

    /// Waits until a call ends; returns `None` if there is none or if its task failed.
    pub(super) async fn next(&mut self) -> Option<Returned> {
        self.running.join_next().await?.ok()
    }

    /// Aborts all calls and joins their tasks.
    pub(super) async fn shutdown(&mut self) {
        self.running.shutdown().await;
    }

    pub(super) fn claim(&mut self, target: Target, claim: Claim) {
        let workers = self.workers.clone();
        self.running.spawn(async move {
            let epoch = claim.epoch;
            Returned::Claimed {
                result: workers.claim(target.address, claim).await,
                worker: target.worker,
                epoch,
            }
        });
    }

    pub(super) fn start(
        &mut self,
        target: Target,
        order: Order,
        payload: Bytes,
        timeout: Duration,
    ) {
        let workers = self.workers.clone();
        self.running.spawn(async move {
            let attempt = order.running.attempt;
            let detached = order.detached;
            Returned::Answered {
                result: workers.start(target.address, order, payload, timeout).await,
                attempt,
                worker: target.worker,
                detached,
            }
        });
    }

    pub(super) fn attach(&mut self, target: Target, attempt: Attempt, timeout: Duration) {
        let workers = self.workers.clone();
        self.running.spawn(async move {
            Returned::Answered {
                result: workers.attach(target.address, attempt, timeout).await,
                attempt,
                worker: target.worker,
                detached: false,
            }
        });
    }

    pub(super) fn interrupt(
        &mut self,
        target: &Target,
        epoch: u64,
        attempt: Attempt,
        interrupt: Interrupt,
    ) {
        let workers = self.workers.clone();
        let address = target.address;
        self.running.spawn(async move {
            // If the interrupt is lost, the attempt runs on, which the state machine notices.
            let _ = workers.interrupt(address, epoch, attempt, interrupt).await;
            Returned::Interrupted
        });
    }

    pub(super) fn probe(&mut self, target: Target, epoch: u64) {
        let workers = self.workers.clone();
        self.running.spawn(async move {
            Returned::Probed {
                healthy: workers.probe(target.address, epoch).await.is_ok(),
                worker: target.worker,
            }
        });
    }
}
