//! The task that reads the instance list and tells the machine of workers.

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

/// How many leases a worker must be missing from the list before it is surely gone.
const GONE_LEASES: u32 = 3;

/// Reads the instance list.
pub struct Reader {
    /// The list.
    pub list: Arc<dyn List>,
    /// Takes what is read.
    pub sender: watch::Sender<Arc<Vec<Instance>>>,
    /// The machine.
    pub engine: engine::Handle,
    /// How often the list is read.
    pub timing: Timing,
    /// The logger.
    pub log: Logger,
}

/// What is known of one worker.
struct Seen {
    state: State,
    last: Instant,
    missing: bool,
}

impl Reader {
    /// Runs until `halt`.
    pub async fn run(self, halt: CancellationToken) {
        let mut seen = BTreeMap::new();
        let mut reading = tokio::time::interval(self.timing.instances);
        reading.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = halt.cancelled() => return,
                _ = reading.tick() => {}
            }
            let read = tokio::select! {
                () = halt.cancelled() => return,
                read = self.list.instances() => read,
            };
            match read {
                Ok(instances) => {
                    // The engine needs the addresses of those that it is told of.
                    self.publish(&instances);
                    self.compare(&mut seen, &instances);
                }
                Err(error) => warn!(self.log, "instance list unread"; "error" => %error),
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

    fn compare(&self, seen: &mut BTreeMap<Name, Seen>, instances: &[Instance]) {
        let now = Instant::now();
        for instance in instances {
            let Some(worker) = instance.worker() else {
                continue;
            };
            let known = seen.get(&worker.name).filter(|known| !known.missing);
            let before = known.map(|known| known.state);
            let name = worker.name.clone();
            if before.is_none() {
                self.engine.event(Event::Join(worker));
            }
            if instance.state == State::Leaving && before != Some(State::Leaving) {
                let worker = name.clone();
                self.engine.event(Event::Leave { worker });
            }
            let state = Seen {
                state: instance.state,
                last: now,
                missing: false,
            };
            seen.insert(name, state);
        }
        self.bury(seen, now);
    }

    /// Reports workers that have been missing for so long that no lease is left there.
    fn bury(&self, seen: &mut BTreeMap<Name, Seen>, now: Instant) {
        let patience: Duration = self.timing.lease * GONE_LEASES;
        for (worker, state) in seen {
            if !state.missing && now - state.last > patience {
                state.missing = true;
                let worker = worker.clone();
                self.engine.event(Event::Gone { worker });
            }
        }
    }
}
