//! Which servers live and who owns which rack: the task that drives the member's machine.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::event::Event;
use azurepath_decide::fleet::{Server, View};
use azurepath_decide::name::Name;
use azurepath_decide::ownership::{self, Action, Member, Place, Rack, Setup, Stored};
use azurepath_decide::rack::Allotments;
use azurepath_services::instance::Instance;
use azurepath_wire::frame::{Frame, Handover};
use slog::{error, info};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use super::Process;
use super::rows;
use super::stop::Phase;

/// How many heartbeats a server may miss before it is taken to be dead.
const MISSES: u32 = 5;

/// How many heartbeats of its own a server sees before it takes up racks.
const SETTLE: u32 = 2;

/// How many racks are handed over at a time.
const MOVES: usize = 4;

/// How many times within a heartbeat the machine is told the time.
const TICKS_PER_BEAT: u32 = 10;

/// How long another server may take to take a notice.
const NOTICE_WAIT: Duration = Duration::from_secs(1);

/// The owned racks' rows as last read or written.
pub type Owned = BTreeMap<Name, Stored<Rack>>;

/// What membership tells the other tasks.
#[derive(Debug)]
pub struct Outputs {
    /// The fleet as seen.
    pub view: watch::Sender<Arc<View>>,
    /// Whether every rack has been handed over, once the process is leaving.
    pub handed_over: watch::Sender<bool>,
}

/// A message to the task.
#[derive(Debug)]
pub enum Message {
    /// Rows may have changed.
    Hint,
    /// A worker has answered a claim.
    Claimed {
        /// The worker.
        worker: Name,
        /// The epoch of the claim.
        epoch: u64,
    },
    /// New allotments of an owned rack have been written.
    Allotted {
        /// The rack.
        rack: Name,
        /// The row's revision.
        revision: u64,
        /// All that the rack now holds.
        allotments: Allotments,
    },
}

/// A way to talk to the task.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::UnboundedSender<Message>,
    owned: watch::Receiver<Arc<Owned>>,
    others: watch::Receiver<BTreeSet<Name>>,
}

/// The end that the task reads from.
#[derive(Debug)]
pub struct Inbox {
    messages: mpsc::UnboundedReceiver<Message>,
    owned: watch::Sender<Arc<Owned>>,
    others: watch::Sender<BTreeSet<Name>>,
}

/// Makes a handle and the end that the task reads from.
pub fn channel() -> (Handle, Inbox) {
    let (sender, messages) = mpsc::unbounded_channel();
    let owned = watch::Sender::new(Arc::default());
    let others = watch::Sender::new(BTreeSet::new());
    let handle = Handle {
        sender,
        owned: owned.subscribe(),
        others: others.subscribe(),
    };
    let inbox = Inbox {
        messages,
        owned,
        others,
    };
    (handle, inbox)
}

impl Handle {
    /// Tells that rows may have changed.
    pub fn hint(&self) {
        self.tell(Message::Hint);
    }

    /// Tells that a worker has answered a claim.
    pub fn claimed(&self, worker: Name, epoch: u64) {
        self.tell(Message::Claimed { worker, epoch });
    }

    /// Tells that new allotments of an owned rack have been written.
    pub fn allotted(&self, rack: Name, revision: u64, allotments: Allotments) {
        self.tell(Message::Allotted {
            rack,
            revision,
            allotments,
        });
    }

    /// Returns the owned racks' rows.
    pub fn owned(&self) -> Arc<Owned> {
        self.owned.borrow().clone()
    }

    /// Returns the names of all other servers that have a row, dead ones included.
    pub fn others(&self) -> BTreeSet<Name> {
        self.others.borrow().clone()
    }

    fn tell(&self, message: Message) {
        // The task ends only when the process does.
        let _ = self.sender.send(message);
    }
}

/// A rack that has been gained and whose workers have not all answered the claim.
#[derive(Debug)]
struct Claiming {
    epoch: u64,
    since: Instant,
    answered: BTreeSet<Name>,
}

struct State {
    process: Process,
    outputs: Outputs,
    owned: watch::Sender<Arc<Owned>>,
    others: watch::Sender<BTreeSet<Name>>,
    member: Member,
    actions: Vec<Action>,
    calls: JoinSet<Option<ownership::Event>>,
    claiming: BTreeMap<Name, Claiming>,
}

/// Runs until `halt`.
pub async fn run(process: Process, mut inbox: Inbox, outputs: Outputs, halt: CancellationToken) {
    let mut instances = process.instances.clone();
    let mut phase = process.phase.clone();
    let heartbeat = process.settings.timing.heartbeat;
    let mut state = State {
        member: Member::new(setup(&process)),
        process,
        outputs,
        owned: inbox.owned,
        others: inbox.others,
        actions: Vec::new(),
        calls: JoinSet::new(),
        claiming: BTreeMap::new(),
    };
    let mut ticks = tokio::time::interval(heartbeat / TICKS_PER_BEAT);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    instances.mark_changed();
    loop {
        tokio::select! {
            () = halt.cancelled() => break,
            _ = ticks.tick() => state.tick(),
            Some(answer) = state.calls.join_next(), if !state.calls.is_empty() => {
                if let Ok(Some(event)) = answer {
                    state.tell(event);
                }
            }
            Some(message) = inbox.messages.recv() => state.take(message),
            Ok(()) = instances.changed() => {
                let places = places(&instances.borrow_and_update());
                state.tell(ownership::Event::Racks(places));
            }
            Ok(()) = phase.changed() => {
                if *phase.borrow_and_update() == Phase::Leaving {
                    state.tell(ownership::Event::Stop);
                }
            }
        }
    }
    state.calls.shutdown().await;
}

fn setup(process: &Process) -> Setup {
    let settings = &process.settings.server;
    Setup {
        server: Server {
            name: settings.name.clone(),
            incarnation: process.incarnation,
            address: process.addresses.peers,
            failure_domain: settings.failure_domain.clone(),
            region: settings.region.clone(),
            leaving: false,
        },
        interval: process.settings.timing.heartbeat,
        max_missed_heartbeats: MISSES,
        settle_heartbeats: SETTLE,
        max_handovers: MOVES,
    }
}

fn places(instances: &[Instance]) -> BTreeMap<Name, Place> {
    let workers = instances.iter().filter_map(Instance::worker);
    workers
        .map(|worker| {
            let place = Place {
                failure_domain: worker.failure_domain,
                region: worker.region,
            };
            (worker.rack, place)
        })
        .collect()
}

impl State {
    fn tick(&mut self) {
        self.confirm();
        self.tell(ownership::Event::Tick);
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Hint => self.tell(ownership::Event::Hint),
            Message::Claimed { worker, epoch } => {
                for claiming in self.claiming.values_mut() {
                    if claiming.epoch == epoch {
                        claiming.answered.insert(worker.clone());
                    }
                }
                self.confirm();
            }
            Message::Allotted {
                rack,
                revision,
                allotments,
            } => self.tell(ownership::Event::Allotted {
                rack,
                revision,
                allotments,
            }),
        }
    }

    /// Confirms racks whose workers have all answered the claim, or have had a lease's time to do
    /// so: the former owner can do nothing for a worker that does not answer.
    fn confirm(&mut self) {
        if self.claiming.is_empty() {
            return;
        }
        let instances = self.process.instances.borrow().clone();
        let lease = self.process.settings.timing.lease;
        let done: Vec<(Name, u64)> = self
            .claiming
            .iter()
            .filter(|(rack, claiming)| {
                let mut workers = instances.iter().filter_map(Instance::worker);
                let all = workers.all(|worker| {
                    worker.rack != **rack || claiming.answered.contains(&worker.name)
                });
                all || claiming.since.elapsed() > lease
            })
            .map(|(rack, claiming)| (rack.clone(), claiming.epoch))
            .collect();
        for (rack, epoch) in done {
            self.claiming.remove(&rack);
            self.tell(ownership::Event::Claimed { rack, epoch });
        }
    }

    fn tell(&mut self, event: ownership::Event) {
        let now = self.process.clock.now();
        let quiet = event == ownership::Event::Tick;
        let mut actions = std::mem::take(&mut self.actions);
        self.member.handle(now, event, &mut actions);
        actions.drain(..).for_each(|action| self.act(action));
        self.actions = actions;
        if !quiet {
            self.show();
        }
    }

    /// Publishes the rows of the owned racks and the names of other servers.
    fn show(&self) {
        let others = self.member.others();
        self.others.send_if_modified(|last| {
            let changed = *last != others;
            *last = others;
            changed
        });
        let rows = self.member.racks().iter();
        let owned: Owned = rows
            .filter(|(name, _)| self.member.owns(name))
            .map(|(name, stored)| (name.clone(), stored.clone()))
            .collect();
        self.owned.send_if_modified(|last| {
            let changed = **last != owned;
            if changed {
                *last = Arc::new(owned);
            }
            changed
        });
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Read => {
                let table = self.process.platform.table.clone();
                self.calls.spawn(async move {
                    let rows = rows::read(table.as_ref()).await;
                    Some(ownership::Event::Read(rows.ok()))
                });
            }
            Action::Write(write) => {
                let table = self.process.platform.table.clone();
                self.calls.spawn(async move {
                    let (key, outcome) = rows::write(table.as_ref(), write).await;
                    Some(ownership::Event::Wrote { key, outcome })
                });
            }
            Action::Gain(grant) => {
                info!(self.process.log, "rack gained";
                    "rack" => grant.rack.to_string(), "epoch" => grant.epoch);
                let claiming = Claiming {
                    epoch: grant.epoch,
                    since: Instant::now(),
                    answered: BTreeSet::new(),
                };
                self.claiming.insert(grant.rack.clone(), claiming);
                self.process.engine.event(Event::Gain(grant));
            }
            Action::Lose { rack } => {
                info!(self.process.log, "rack lost"; "rack" => rack.to_string());
                self.claiming.remove(&rack);
                self.process.engine.event(Event::Lose { rack });
            }
            Action::Allot(allotted) => self.process.engine.event(Event::Allot(allotted)),
            Action::View(view) => {
                self.outputs.view.send_replace(Arc::new(view));
            }
            Action::Notify {
                server,
                rack,
                epoch,
            } => self.notify(&server, &rack, epoch),
            Action::Superseded => {
                error!(
                    self.process.log,
                    "another process runs under this server's name; \
                    stop one of them or give it another name"
                );
                self.outputs.handed_over.send_replace(true);
            }
            Action::Stopped => {
                self.outputs.handed_over.send_replace(true);
            }
        }
    }

    fn notify(&mut self, server: &Name, rack: &Name, epoch: u64) {
        let Some(server) = self.member.view().servers.get(server).cloned() else {
            return;
        };
        let peers = self.process.peers.clone();
        let rack = rack.to_string();
        self.calls.spawn(async move {
            let frame = Frame::Handover(Handover { rack, epoch });
            // A notice that is lost costs the other server one heartbeat.
            let _ = peers.control(&server, &frame, NOTICE_WAIT).await;
            None
        });
    }
}
