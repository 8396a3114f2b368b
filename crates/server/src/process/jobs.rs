//! The task that owns the machine of the jobs that this server is home to.

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

/// How often the machine is told the time.
const TICK: Duration = Duration::from_millis(100);

/// How often all rows are read, to find those whose document went while no home knew them.
const SCAN: Duration = Duration::from_secs(1_800);

/// The longest time before the first of these readings.
const FIRST_SCAN: Duration = Duration::from_secs(30);

/// A message to the task.
#[derive(Debug)]
pub enum Message {
    /// Another owner's summary.
    Summary(Box<Summary>),
    /// Asks for the state.
    Dump(oneshot::Sender<Value>),
}

/// A way to talk to the task.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::UnboundedSender<Message>,
}

impl Handle {
    /// Makes a handle and the end that the task reads from.
    pub fn channel() -> (Handle, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Handle { sender }, receiver)
    }

    /// Tells another owner's summary.
    pub fn summary(&self, summary: Summary) {
        // Once the task has ended, nothing is left to place.
        let _ = self.sender.send(Message::Summary(Box::new(summary)));
    }

    /// Returns the state of the jobs that this server is home to.
    ///
    /// # Errors
    ///
    /// Returns [`Stopped`] where the task has ended.
    pub async fn dump(&self) -> Result<Value, Stopped> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.sender.send(Message::Dump(sender));
        receiver.await.map_err(|_| Stopped)
    }
}

/// The task.
pub struct Task {
    /// What the process shares.
    pub process: Process,
    /// The newest summary of the own racks.
    pub summary: watch::Receiver<Option<Arc<Summary>>>,
    /// The seed of all random choices.
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
            work: JoinSet::new(),
            actions: Vec::new(),
            task: self,
        };
        state.serve(messages, halt).await;
        state.work.shutdown().await;
    }
}

struct State {
    task: Task,
    home: Home,
    caller: Caller,
    rows: Rows,
    /// Calls and reads under way; each ends in events.
    work: JoinSet<Vec<Event>>,
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
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let first = rand::rng().random_range(Duration::ZERO..FIRST_SCAN);
        let mut scans = tokio::time::interval_at(tokio::time::Instant::now() + first, SCAN);
        self.tell_fleet();
        self.tell_work();
        loop {
            tokio::select! {
                () = halt.cancelled() => return,
                _ = ticks.tick() => self.tell(Event::Tick),
                _ = scans.tick() => {
                    let rows = self.rows.clone();
                    self.work.spawn(async move { rows.scan().await });
                }
                Ok(()) = process.view.changed() => self.tell_fleet(),
                Ok(()) = process.instances.changed() => self.tell_fleet(),
                Ok(()) = process.snapshot.changed() => self.tell_work(),
                Ok(()) = summary.changed() => {
                    let newest = summary.borrow_and_update().clone();
                    if let Some(newest) = newest {
                        self.tell(Event::Summary((*newest).clone()));
                    }
                }
                message = messages.recv() => match message {
                    Some(Message::Summary(summary)) => self.tell(Event::Summary(*summary)),
                    Some(Message::Dump(reply)) => {
                        // The asker may have gone meanwhile.
                        let _ = reply.send(self.dump());
                    }
                    None => return,
                },
                Some(joined) = self.work.join_next(), if !self.work.is_empty() => {
                    match joined {
                        Ok(events) => events.into_iter().for_each(|event| self.tell(event)),
                        Err(error) => debug!(self.task.process.log, "call of a job failed";
                            "error" => %error),
                    }
                }
            }
        }
    }

    fn tell_fleet(&mut self) {
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
        self.tell(Event::Sites { sites });
        self.tell(Event::View((*view).clone()));
    }

    fn tell_work(&mut self) {
        let snapshot = self.task.process.snapshot.borrow().clone();
        if snapshot.revision == 0 {
            // Nothing is known yet, which is not the same as no jobs.
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
        self.tell(Event::Configure {
            revision: snapshot.revision,
            work,
        });
    }

    fn tell(&mut self, event: Event) {
        let now = self.task.process.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.home.handle(now, event, &mut actions);
        actions.drain(..).for_each(|action| self.act(action));
        self.actions = actions;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Load { job } => {
                let rows = self.rows.clone();
                self.work.spawn(async move { rows.load(job).await });
            }
            Action::Write { write, rows } => {
                let table = self.rows.clone();
                self.work
                    .spawn(async move { table.write(write, rows).await });
            }
            other => {
                let caller = self.caller.clone();
                self.work.spawn(async move { caller.call(other).await });
            }
        }
    }

    fn dump(&self) -> Value {
        let jobs = self.home.jobs();
        let states: BTreeMap<&Name, Value> =
            jobs.map(|job| (job, json!(self.home.state(job)))).collect();
        json!({ "home_to": states, "calls": self.work.len() })
    }
}
