//! The renewal of one worker's lease, which covers all tasks that run there.

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

/// Renews one worker.
pub struct Renewer {
    /// The worker.
    pub worker: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// The epoch and the length of the lease.
    pub claim: Claim,
    /// How often it is renewed.
    pub interval: Duration,
    /// The calls of workers.
    pub calls: Arc<dyn Worker>,
    /// The machine.
    pub engine: engine::Handle,
    /// What is noted for the bill.
    pub usage: Updates,
    /// The instruments.
    pub metrics: Arc<Metrics>,
}

impl Renewer {
    /// Runs until `halt`, or until the worker obeys a higher epoch.
    pub async fn run(self, halt: CancellationToken) {
        let mut turns = tokio::time::interval(self.interval);
        turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // The claim has just renewed the lease.
        turns.tick().await;
        loop {
            tokio::select! {
                () = halt.cancelled() => return,
                _ = turns.tick() => {}
            }
            let renewed = tokio::select! {
                () = halt.cancelled() => return,
                renewed = self.calls.renew(self.address, self.claim.clone()) => renewed,
            };
            match renewed {
                Ok(renewal) => self.tell(renewal),
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

    fn tell(&self, renewal: Renewal) {
        for ended in renewal.ended {
            let note = Update::EndedBefore {
                attempt: ended.attempt,
                age_ms: ended.age_ms,
            };
            // The ledger ends after the engine and its renewals.
            let _ = self.usage.send(note);
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
