//! Calls to workers on behalf of the engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::attempt::Attempt;
use azurepath_decide::name::Name;
use azurepath_decide::worker::{Interrupt, Inventory};
use azurepath_services::worker::{Answer, Claim, Error, Order, Worker};
use bytes::Bytes;
use tokio::task::JoinSet;

/// A call that has come back.
#[derive(Debug)]
pub(super) enum Returned {
    /// A claim.
    Claimed {
        /// The worker.
        worker: Name,
        /// The epoch of the claim.
        epoch: u64,
        /// What it said.
        result: Result<Inventory, Error>,
    },
    /// A start, or an attach to an attempt.
    Answered {
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: Name,
        /// Whether the worker was told to answer at once.
        detached: bool,
        /// What it said.
        result: Result<Answer, Error>,
    },
    /// A probe.
    Probed {
        /// The worker.
        worker: Name,
        /// Whether it succeeded.
        healthy: bool,
    },
    /// An interruption; the attempt's own call tells how it ended.
    Interrupted,
}

/// Where a call goes.
#[derive(Clone, Debug)]
pub(super) struct Place {
    /// The worker.
    pub(super) worker: Name,
    /// Where it listens.
    pub(super) address: SocketAddr,
}

/// Calls that have not come back.
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

    /// Returns how many have not come back.
    pub(super) fn count(&self) -> usize {
        self.running.len()
    }

    /// Waits for one to come back; `None` where none is out or the call has failed itself.
    pub(super) async fn next(&mut self) -> Option<Returned> {
        self.running.join_next().await?.ok()
    }

    /// Gives all calls up and joins them.
    pub(super) async fn shutdown(&mut self) {
        self.running.shutdown().await;
    }

    pub(super) fn claim(&mut self, place: Place, claim: Claim) {
        let workers = self.workers.clone();
        self.running.spawn(async move {
            let epoch = claim.epoch;
            Returned::Claimed {
                result: workers.claim(place.address, claim).await,
                worker: place.worker,
                epoch,
            }
        });
    }

    pub(super) fn start(&mut self, place: Place, order: Order, payload: Bytes, patience: Duration) {
        let workers = self.workers.clone();
        self.running.spawn(async move {
            let attempt = order.running.attempt;
            let detached = order.detached;
            Returned::Answered {
                result: workers.start(place.address, order, payload, patience).await,
                attempt,
                worker: place.worker,
                detached,
            }
        });
    }

    pub(super) fn attach(&mut self, place: Place, attempt: Attempt, patience: Duration) {
        let workers = self.workers.clone();
        self.running.spawn(async move {
            Returned::Answered {
                result: workers.attach(place.address, attempt, patience).await,
                attempt,
                worker: place.worker,
                detached: false,
            }
        });
    }

    pub(super) fn interrupt(
        &mut self,
        place: &Place,
        epoch: u64,
        attempt: Attempt,
        how: Interrupt,
    ) {
        let workers = self.workers.clone();
        let address = place.address;
        self.running.spawn(async move {
            // A lost interruption shows as an attempt that runs on, which the machine sees.
            let _ = workers.interrupt(address, epoch, attempt, how).await;
            Returned::Interrupted
        });
    }

    pub(super) fn probe(&mut self, place: Place, epoch: u64) {
        let workers = self.workers.clone();
        self.running.spawn(async move {
            Returned::Probed {
                healthy: workers.probe(place.address, epoch).await.is_ok(),
                worker: place.worker,
            }
        });
    }
}
