//! The renewal of a worker's lease, which covers all tasks on the worker.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::attempt::Refusal;
use azurepath_decide::event::Event;
use azurepath_decide::name::Name;
use azurepath_services::worker::{Claim, Error, Renewal, Worker};
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use super::engine;
use super::ledger::{Update, Updates};
use crate::metrics::Metrics;

/// Renews the lease of one worker.
pub struct Renewer {
    /// The worker.
    pub worker: Name,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The epoch and the length of the lease.
    pub claim: Claim,
    /// The interval between two renewals.
    pub interval: Duration,
    /// The client of the workers.
    pub calls: Arc<dyn Worker>,
    /// The engine, which gets the results.
    pub engine: engine::Handle,
    /// Sends updates to the usage ledger.
    pub usage: Updates,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

impl Renewer {
    /// Runs until `halt`, or until the worker refuses the epoch as stale.
    pub async fn run(self, halt: CancellationToken) {
        let mut ticks = tokio::time::interval(self.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // The claim has just renewed the lease.
        ticks.tick().await;
        loop {
            tokio::select! {
                () = halt.cancelled() => return,
                _ = ticks.tick() => {}
            }
            let renewed = tokio::select! {
                () = halt.cancelled() => return,
                renewed = self.calls.renew(self.address, self.claim.clone()) => renewed,
            };
            match renewed {
                Ok(renewal) => self.report(renewal),
                Err(error) => {
                    self.metrics.renewal_failures.add(1, &[]);
                    let worker = self.worker.clone();
                    self.engine.event(Event::Unreachable { worker });
                    if error == Error::Refused(Refusal::StaleEpoch) {
                        return;
                    }
                }
            }
        }
    }

    fn report(&self, renewal: Renewal) {
        for ended in renewal.ended {
            let update = Update::EndedBefore {
                attempt: ended.attempt,
                age_ms: ended.age_ms,
            };
            // The ledger task ends after the engine and its renewals, so the send can't fail.
            let _ = self.usage.send(update);
            self.engine.event(Event::Ended {
                attempt: ended.attempt,
                worker: self.worker.clone(),
                outcome: ended.outcome,
            });
        }
        if renewal.leaving {
            let worker = self.worker.clone();
            self.engine.event(Event::Leave { worker });
        }
        self.engine.event(Event::Report(renewal.report));
    }
}
