//! The task that runs the jobs whose home is this server.
//!
//! It drives the state machine [`Home`]: it passes events on and carries out the actions.

mod calls;
mod rows;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::candidate::Site;
use azurepath_decide::job::{Action, Event, Home, Setup, Work};
use azurepath_decide::name::Name;
use azurepath_decide::resource::Kind;
use azurepath_decide::share::Summary;
use rand::Rng;
use serde_json::{Value, json};
use slog::debug;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use super::Process;
use super::engine::Stopped;
use calls::Caller;
use rows::Rows;

/// The interval between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The interval between two scans of all rows.
///
/// A scan finds rows whose job was deleted while no server was its home.
const SCAN_INTERVAL: Duration = Duration::from_secs(1_800);

/// The upper bound of the random delay before the first scan.
const MAX_FIRST_SCAN_DELAY: Duration = Duration::from_secs(30);

/// A message to the task.
#[derive(Debug)]
pub enum Message {
    /// The summary of another rack owner.
    Summary(Box<Summary>),
    /// Requests the state.
    Dump(oneshot::Sender<Value>),
}

/// Sends messages to the task.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::UnboundedSender<Message>,
}

impl Handle {
    /// Makes a handle and the receiver that the task reads from.
    pub fn channel() -> (Handle, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Handle { sender }, receiver)
    }

    /// Passes on the summary of another rack owner.
    pub fn summary(&self, summary: Summary) {
        // After the task has ended, no more members are placed.
        let _ = self.sender.send(Message::Summary(Box::new(summary)));
    }

    /// Returns the state of the jobs whose home is this server.
    ///
    /// # Errors
    ///
    /// Returns [`Stopped`] if the task has ended.
    pub async fn dump(&self) -> Result<Value, Stopped> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.sender.send(Message::Dump(sender));
        receiver.await.map_err(|_| Stopped)
    }
}

/// The task.
pub struct Task {
    /// The shared state of the process.
    pub process: Process,
    /// The newest summary of the racks that this server owns.
    pub summary: watch::Receiver<Option<Arc<Summary>>>,
    /// The seed of the state machine's random choices.
    pub seed: u64,
}

impl Task {
    /// Runs until `halt`.
    pub async fn run(self, messages: mpsc::UnboundedReceiver<Message>, halt: CancellationToken) {
        let server = &self.process.settings.server;
        let setup = Setup {
            server: server.name.clone(),
            incarnation: self.process.incarnation,
            site: Site {
                failure_domain: server.failure_domain.clone(),
                region: server.region.clone(),
            },
            seed: self.seed,
        };
        let mut state = State {
            home: Home::new(setup),
            caller: Caller::new(self.process.clone()),
            rows: Rows::new(
                self.process.platform.table.clone(),
                self.process.log.clone(),
            ),
            calls: JoinSet::new(),
            actions: Vec::new(),
            task: self,
        };
        state.serve(messages, halt).await;
        state.calls.shutdown().await;
    }
}

struct State {
    task: Task,
    home: Home,
    caller: Caller,
    rows: Rows,
    /// The running calls, reads and writes; each ends with events.
    calls: JoinSet<Vec<Event>>,
    actions: Vec<Action>,
}

impl State {
    async fn serve(
        &mut self,
        mut messages: mpsc::UnboundedReceiver<Message>,
        halt: CancellationToken,
    ) {
        let mut process = self.task.process.clone();
        let mut summary = self.task.summary.clone();
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let first_delay = rand::rng().random_range(Duration::ZERO..MAX_FIRST_SCAN_DELAY);
        let mut scans =
            tokio::time::interval_at(tokio::time::Instant::now() + first_delay, SCAN_INTERVAL);
        self.update_fleet();
        self.update_work();
        loop {
            tokio::select! {
                () = halt.cancelled() => return,
                _ = ticks.tick() => self.handle(Event::Tick),
                _ = scans.tick() => {
                    let rows = self.rows.clone();
                    self.calls.spawn(async move { rows.scan().await });
                }
                Ok(()) = process.view.changed() => self.update_fleet(),
                Ok(()) = process.instances.changed() => self.update_fleet(),
                Ok(()) = process.snapshot.changed() => self.update_work(),
                Ok(()) = summary.changed() => {
                    let newest = summary.borrow_and_update().clone();
                    if let Some(newest) = newest {
                        self.handle(Event::Summary((*newest).clone()));
                    }
                }
                message = messages.recv() => match message {
                    Some(Message::Summary(summary)) => self.handle(Event::Summary(*summary)),
                    Some(Message::Dump(reply)) => {
                        // The caller may have stopped waiting.
                        let _ = reply.send(self.dump());
                    }
                    None => return,
                },
                Some(joined) = self.calls.join_next(), if !self.calls.is_empty() => {
                    match joined {
                        Ok(events) => events.into_iter().for_each(|event| self.handle(event)),
                        Err(error) => debug!(self.task.process.log, "call of a job failed";
                            "error" => %error),
                    }
                }
            }
        }
    }

    fn update_fleet(&mut self) {
        let view = self.task.process.view.borrow().clone();
        let instances = self.task.process.instances.borrow().clone();
        let workers = instances.iter().filter_map(|instance| instance.worker());
        let sites: BTreeMap<Name, Site> = workers
            .map(|worker| {
                let site = Site {
                    failure_domain: worker.failure_domain,
                    region: worker.region,
                };
                (worker.rack, site)
            })
            .collect();
        self.handle(Event::Sites { sites });
        self.handle(Event::View((*view).clone()));
    }

    fn update_work(&mut self) {
        let snapshot = self.task.process.snapshot.borrow().clone();
        if snapshot.revision == 0 {
            // The configuration is not loaded yet, which does not mean that there are no jobs.
            return;
        }
        let kinds = [Kind::Job, Kind::Service];
        let entries = kinds
            .iter()
            .filter_map(|kind| snapshot.entries.get(kind))
            .flat_map(BTreeMap::values);
        let work = entries
            .filter_map(|entry| Some((entry.revision, Work::of(&entry.resource)?)))
            .collect();
        self.handle(Event::Configure {
            revision: snapshot.revision,
            work,
        });
    }

    fn handle(&mut self, event: Event) {
        let now = self.task.process.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.home.handle(now, event, &mut actions);
        actions.drain(..).for_each(|action| self.execute(action));
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Load { job } => {
                let rows = self.rows.clone();
                self.calls.spawn(async move { rows.load(job).await });
            }
            Action::Write { write, rows } => {
                let table = self.rows.clone();
                self.calls
                    .spawn(async move { table.write(write, rows).await });
            }
            other => {
                let caller = self.caller.clone();
                self.calls.spawn(async move { caller.call(other).await });
            }
        }
    }

    fn dump(&self) -> Value {
        let jobs = self.home.jobs();
        let states: BTreeMap<&Name, Value> =
            jobs.map(|job| (job, json!(self.home.state(job)))).collect();
        json!({ "home_to": states, "calls": self.calls.len() })
    }
}
