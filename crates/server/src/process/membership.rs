//! The task that tracks which servers are alive and which server owns which rack.
//!
//! It drives the state machine [`Member`]: it passes events on and carries out the actions.

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

/// The number of heartbeats that a server may miss before it is considered dead.
const MAX_MISSED_HEARTBEATS: u32 = 5;

/// The number of its own heartbeats that a server waits for before it takes over racks.
const SETTLE_HEARTBEATS: u32 = 2;

/// The maximum number of racks handed over at the same time.
const MAX_HANDOVERS: usize = 4;

/// The number of ticks of the state machine per heartbeat interval.
const TICKS_PER_HEARTBEAT: u32 = 10;

/// The timeout of a handover notice to another server.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// The rows of the owned racks, as last read or written.
pub type Owned = BTreeMap<Name, Stored<Rack>>;

/// Channels from the membership task to other tasks.
#[derive(Debug)]
pub struct Outputs {
    /// The servers and racks of the fleet.
    pub view: watch::Sender<Arc<View>>,
    /// Whether the leaving process has handed over all racks.
    pub handed_over: watch::Sender<bool>,
}

/// A message to the task.
#[derive(Debug)]
pub enum Message {
    /// Rows in the table may have changed.
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
        /// All allotments of the rack.
        allotments: Allotments,
    },
}

/// Sends messages to the task and reads what it publishes.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::UnboundedSender<Message>,
    owned: watch::Receiver<Arc<Owned>>,
    others: watch::Receiver<BTreeSet<Name>>,
}

/// The task's end of the channels of a [`Handle`].
#[derive(Debug)]
pub struct Inbox {
    messages: mpsc::UnboundedReceiver<Message>,
    owned: watch::Sender<Arc<Owned>>,
    others: watch::Sender<BTreeSet<Name>>,
}

/// Makes a handle and the inbox of the task.
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
    /// Reports that rows in the table may have changed.
    pub fn hint(&self) {
        self.send(Message::Hint);
    }

    /// Reports that a worker has answered a claim.
    pub fn claimed(&self, worker: Name, epoch: u64) {
        self.send(Message::Claimed { worker, epoch });
    }

    /// Reports that new allotments of an owned rack have been written.
    pub fn allotted(&self, rack: Name, revision: u64, allotments: Allotments) {
        self.send(Message::Allotted {
            rack,
            revision,
            allotments,
        });
    }

    /// Returns the rows of the owned racks.
    pub fn owned(&self) -> Arc<Owned> {
        self.owned.borrow().clone()
    }

    /// Returns the names of all other servers that have a row, including dead ones.
    pub fn others(&self) -> BTreeSet<Name> {
        self.others.borrow().clone()
    }

    fn send(&self, message: Message) {
        // The task runs as long as the process.
        let _ = self.sender.send(message);
    }
}

/// The claim of a newly gained rack whose workers have not all answered.
#[derive(Debug)]
struct PendingClaim {
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
    pending_claims: BTreeMap<Name, PendingClaim>,
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
        pending_claims: BTreeMap::new(),
    };
    let mut ticks = tokio::time::interval(heartbeat / TICKS_PER_HEARTBEAT);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    instances.mark_changed();
    loop {
        tokio::select! {
            () = halt.cancelled() => break,
            _ = ticks.tick() => state.tick(),
            Some(answer) = state.calls.join_next(), if !state.calls.is_empty() => {
                if let Ok(Some(event)) = answer {
                    state.handle(event);
                }
            }
            Some(message) = inbox.messages.recv() => state.handle_message(message),
            Ok(()) = instances.changed() => {
                let places = places(&instances.borrow_and_update());
                state.handle(ownership::Event::Racks(places));
            }
            Ok(()) = phase.changed() => {
                if *phase.borrow_and_update() == Phase::Leaving {
                    state.handle(ownership::Event::Stop);
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
        max_missed_heartbeats: MAX_MISSED_HEARTBEATS,
        settle_heartbeats: SETTLE_HEARTBEATS,
        max_handovers: MAX_HANDOVERS,
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
        self.confirm_claims();
        self.handle(ownership::Event::Tick);
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Hint => self.handle(ownership::Event::Hint),
            Message::Claimed { worker, epoch } => {
                for pending_claim in self.pending_claims.values_mut() {
                    if pending_claim.epoch == epoch {
                        pending_claim.answered.insert(worker.clone());
                    }
                }
                self.confirm_claims();
            }
            Message::Allotted {
                rack,
                revision,
                allotments,
            } => self.handle(ownership::Event::Allotted {
                rack,
                revision,
                allotments,
            }),
        }
    }

    /// Reports a rack as claimed once all its workers have answered or a lease duration has passed.
    ///
    /// Waiting longer is pointless, because the former owner can't do anything for a worker that
    /// does not answer.
    fn confirm_claims(&mut self) {
        if self.pending_claims.is_empty() {
            return;
        }
        let instances = self.process.instances.borrow().clone();
        let lease = self.process.settings.timing.lease;
        let claimed: Vec<(Name, u64)> = self
            .pending_claims
            .iter()
            .filter(|(rack, pending_claim)| {
                let mut workers = instances.iter().filter_map(Instance::worker);
                let all_answered = workers.all(|worker| {
                    worker.rack != **rack || pending_claim.answered.contains(&worker.name)
                });
                all_answered || pending_claim.since.elapsed() > lease
            })
            .map(|(rack, pending_claim)| (rack.clone(), pending_claim.epoch))
            .collect();
        for (rack, epoch) in claimed {
            self.pending_claims.remove(&rack);
            self.handle(ownership::Event::Claimed { rack, epoch });
        }
    }

    fn handle(&mut self, event: ownership::Event) {
        let now = self.process.clock.now();
        let is_tick = event == ownership::Event::Tick;
        let mut actions = std::mem::take(&mut self.actions);
        self.member.handle(now, event, &mut actions);
        actions.drain(..).for_each(|action| self.execute(action));
        self.actions = actions;
        if !is_tick {
            self.publish();
        }
    }

    /// Publishes the rows of the owned racks and the names of other servers.
    fn publish(&self) {
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

    fn execute(&mut self, action: Action) {
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
                let pending_claim = PendingClaim {
                    epoch: grant.epoch,
                    since: Instant::now(),
                    answered: BTreeSet::new(),
                };
                self.pending_claims
                    .insert(grant.rack.clone(), pending_claim);
                self.process.engine.event(Event::Gain(grant));
            }
            Action::Lose { rack } => {
                info!(self.process.log, "rack lost"; "rack" => rack.to_string());
                self.pending_claims.remove(&rack);
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
            // If the notice is lost, the other server learns of the handover one heartbeat later.
            let _ = peers.control(&server, &frame, NOTICE_TIMEOUT).await;
            None
        });
    }
}
