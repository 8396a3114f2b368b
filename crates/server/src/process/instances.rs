//! The task that reads the instance list and reports changes of workers to the engine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::event::Event;
use azurepath_decide::name::Name;
use azurepath_services::instance::{Instance, List, State};
use slog::{Logger, warn};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::engine;
use crate::settings::Timing;

/// The number of lease durations after which a worker missing from the list is surely gone.
const GONE_LEASES: u32 = 3;

/// Reads the instance list periodically.
pub struct Reader {
    /// The client of the instance list.
    pub list: Arc<dyn List>,
    /// Publishes the list.
    pub sender: watch::Sender<Arc<Vec<Instance>>>,
    /// The engine, to which changes of workers are reported.
    pub engine: engine::Handle,
    /// The read interval and the duration of a lease.
    pub timing: Timing,
    /// The logger.
    pub log: Logger,
}

/// The last known state of a worker.
struct ListedWorker {
    state: State,
    last_listed: Instant,
    reported_gone: bool,
}

impl Reader {
    /// Runs until `halt`.
    pub async fn run(self, halt: CancellationToken) {
        let mut workers = BTreeMap::new();
        let mut ticks = tokio::time::interval(self.timing.instances);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = halt.cancelled() => return,
                _ = ticks.tick() => {}
            }
            let read = tokio::select! {
                () = halt.cancelled() => return,
                read = self.list.instances() => read,
            };
            match read {
                Ok(instances) => {
                    // The engine needs the address of a worker before its events.
                    self.publish(&instances);
                    self.report_changes(&mut workers, &instances);
                }
                Err(error) => warn!(self.log, "instance list can't be read"; "error" => %error),
            }
        }
    }

    fn publish(&self, instances: &[Instance]) {
        self.sender.send_if_modified(|last| {
            let changed = last.as_slice() != instances;
            if changed {
                *last = Arc::new(instances.to_vec());
            }
            changed
        });
    }

    fn report_changes(&self, workers: &mut BTreeMap<Name, ListedWorker>, instances: &[Instance]) {
        let now = Instant::now();
        for instance in instances {
            let Some(worker) = instance.worker() else {
                continue;
            };
            let known = workers
                .get(&worker.name)
                .filter(|known| !known.reported_gone);
            let previous_state = known.map(|known| known.state);
            let name = worker.name.clone();
            if previous_state.is_none() {
                self.engine.event(Event::Join(worker));
            }
            if instance.state == State::Leaving && previous_state != Some(State::Leaving) {
                let worker = name.clone();
                self.engine.event(Event::Leave { worker });
            }
            let listed = ListedWorker {
                state: instance.state,
                last_listed: now,
                reported_gone: false,
            };
            workers.insert(name, listed);
        }
        self.report_gone(workers, now);
    }

    /// Reports workers that have been missing for so long that all leases have expired.
    fn report_gone(&self, workers: &mut BTreeMap<Name, ListedWorker>, now: Instant) {
        let gone_after: Duration = self.timing.lease * GONE_LEASES;
        for (worker, worker_state) in workers {
            if !worker_state.reported_gone && now - worker_state.last_listed > gone_after {
                worker_state.reported_gone = true;
                let worker = worker.clone();
                self.engine.event(Event::Gone { worker });
            }
        }
    }
}
