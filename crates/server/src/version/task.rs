//! The task that keeps the configuration of this server and the evidence that it is current.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::config::{Change, Delta, Evidence, Snapshot, Standing};
use azurepath_decide::event::Event;
use azurepath_decide::fleet::Server;
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use azurepath_services::instance::{Instance, State as Listed};
use azurepath_wire::frame::{Document, Fault, Frame, Heartbeat};
use serde_json::{Value, json};
use slog::{info, warn};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use super::handle::{Inbox, Message};
use super::push::{self, EVIDENCE_LIFETIME};
use super::store::{self, Missing};
use crate::connection::call::Failure;
use crate::process::{Control, Process};

/// The interval between two reads of the head, the revision of the last change.
const HEAD_INTERVAL: Duration = Duration::from_secs(1);

/// The timeout of a read of the head.
const HEAD_TIMEOUT: Duration = Duration::from_millis(900);

/// The age of the last answer of the table after which other servers are queried.
const PEER_QUERY_AGE: Duration = Duration::from_millis(1_200);

/// The timeout of a query to another server.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of changes kept in memory for other servers and watchers.
const MAX_RECENT_CHANGES: usize = 1_000;

/// The result of a call.
enum Returned {
    /// The head, and when the request was sent.
    Head(Time, Option<u64>),
    /// Changes that were missing.
    Changes(Result<Vec<Change>, Missing>),
    /// All resources.
    Snapshot(Result<Box<Snapshot>, Missing>),
    /// The reply of another server, and when the request was sent.
    Reply(Box<Server>, Time, Box<Result<Frame, Failure>>),
    /// A call whose result the task does not need.
    Nothing,
}

struct State {
    process: Process,
    snapshots: watch::Sender<Arc<Snapshot>>,
    standing: watch::Sender<Standing>,
    snapshot: Snapshot,
    evidence: Evidence,
    loaded: bool,
    loading: bool,
    reading: bool,
    recent: VecDeque<Change>,
    drained: BTreeSet<Name>,
    /// When the last answered read of the head was sent.
    last_read: Option<Time>,
    calls: JoinSet<Returned>,
}

/// Runs until `halt`.
pub async fn run(
    process: Process,
    snapshots: watch::Sender<Arc<Snapshot>>,
    mut inbox: Inbox,
    mut control: mpsc::Receiver<Control>,
    halt: CancellationToken,
) {
    let mut view = process.view.clone();
    let mut instances = process.instances.clone();
    let mut state = State {
        process,
        snapshots,
        standing: inbox.standing,
        snapshot: Snapshot::default(),
        evidence: Evidence::new(EVIDENCE_LIFETIME),
        loaded: false,
        loading: false,
        reading: false,
        recent: VecDeque::new(),
        drained: BTreeSet::new(),
        last_read: None,
        calls: JoinSet::new(),
    };
    let mut ticks = tokio::time::interval(HEAD_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = halt.cancelled() => break,
            _ = ticks.tick() => state.refresh(),
            Some(returned) = state.calls.join_next(), if !state.calls.is_empty() => {
                if let Ok(returned) = returned {
                    state.handle_returned(returned);
                }
            }
            Some(received) = control.recv() => state.handle_control(received),
            Some(message) = inbox.messages.recv() => state.handle_message(message),
            Ok(()) = instances.changed() => {
                instances.borrow_and_update();
                state.drain_workers();
            }
            Ok(()) = view.changed() => state.set_servers(&view.borrow_and_update().clone()),
        }
        state.publish_standing();
    }
    state.calls.shutdown().await;
}

impl State {
    /// Updates the set of other servers.
    fn set_servers(&mut self, view: &azurepath_decide::fleet::View) {
        let own = &self.process.settings.server.name;
        if view.servers.contains_key(own) {
            let names = view.servers.keys().filter(|name| *name != own);
            self.evidence.set_peers(names.cloned().collect());
        }
    }

    fn publish_standing(&self) {
        let standing = self.evidence.standing(self.process.clock.now());
        self.standing.send_if_modified(|last| {
            let changed = *last != standing;
            *last = standing;
            changed
        });
    }

    /// Reads the head from the table, and queries other servers if the table has not answered
    /// recently.
    fn refresh(&mut self) {
        let now = self.process.clock.now();
        if !self.reading {
            self.reading = true;
            let table = self.process.platform.table.clone();
            self.calls.spawn(async move {
                let head = tokio::time::timeout(HEAD_TIMEOUT, store::head(table.as_ref())).await;
                Returned::Head(now, head.ok().and_then(Result::ok))
            });
        }
        if !self.loaded {
            self.load();
        }
        let fresh = self
            .last_read
            .is_some_and(|sent_at| now.since(sent_at) < PEER_QUERY_AGE);
        if !fresh && self.loaded {
            self.query_peers(now);
        }
    }

    fn query_peers(&mut self, now: Time) {
        let view = self.process.view.borrow().clone();
        let own = &self.process.settings.server.name;
        for server in view.servers.values().filter(|server| server.name != *own) {
            let (process, server) = (self.process.clone(), server.clone());
            let frame = Frame::Heartbeat(self.heartbeat());
            self.calls.spawn(async move {
                let reply = process.peers.control(&server, &frame, PEER_TIMEOUT).await;
                Returned::Reply(Box::new(server), now, Box::new(reply))
            });
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            server: self.process.settings.server.name.to_string(),
            incarnation: self.process.incarnation,
            revision: self.evidence.newest().unwrap_or_default(),
        }
    }

    fn load(&mut self) {
        if self.loading {
            return;
        }
        self.loading = true;
        let table = self.process.platform.table.clone();
        self.calls.spawn(async move {
            let loaded = store::load(table.as_ref()).await;
            Returned::Snapshot(loaded.map(Box::new))
        });
    }

    /// Reads the missing changes from the table.
    fn catch_up(&mut self) {
        if self.loading {
            return;
        }
        self.loading = true;
        let table = self.process.platform.table.clone();
        let after = self.snapshot.revision;
        self.calls
            .spawn(async move { Returned::Changes(store::changes(table.as_ref(), after).await) });
    }

    fn handle_returned(&mut self, returned: Returned) {
        match returned {
            Returned::Head(sent_at, head) => self.handle_head(sent_at, head),
            Returned::Changes(changes) => {
                self.loading = false;
                match changes {
                    Ok(changes) => self.apply(&changes),
                    Err(Missing::TooOld { .. }) => self.load(),
                    Err(Missing::Table(_)) => {}
                }
            }
            Returned::Snapshot(loaded) => {
                self.loading = false;
                match loaded {
                    Ok(snapshot) => self.replace(*snapshot),
                    Err(error) => {
                        warn!(self.process.log, "configuration can't be loaded"; "error" => %error);
                    }
                }
            }
            Returned::Reply(server, sent_at, reply) => self.handle_reply(&server, sent_at, *reply),
            Returned::Nothing => {}
        }
    }

    fn handle_head(&mut self, sent_at: Time, head: Option<u64>) {
        self.reading = false;
        match head {
            Some(revision) => {
                self.last_read = Some(sent_at);
                self.evidence.record_head(sent_at, revision);
                if self.loaded && revision > self.snapshot.revision {
                    self.catch_up();
                }
            }
            None if self.loaded => self.query_peers(self.process.clock.now()),
            None => {}
        }
    }

    fn handle_reply(&mut self, server: &Server, sent_at: Time, reply: Result<Frame, Failure>) {
        match reply {
            Ok(Frame::Heartbeat(heartbeat)) => {
                self.evidence
                    .record_peer(&server.name, sent_at, Some(heartbeat.revision));
                if heartbeat.revision > self.snapshot.revision {
                    self.request_changes(server.clone());
                }
            }
            Ok(Frame::Change(document)) => {
                if let Ok(Delta::Changes(changes)) = serde_json::from_str(&document.json) {
                    self.apply(&changes);
                }
            }
            Ok(_) => self.evidence.record_peer(&server.name, sent_at, None),
            Err(_) => {}
        }
    }

    /// Requests the missing changes from another server.
    fn request_changes(&mut self, server: Server) {
        let delta = Delta::After(self.snapshot.revision);
        let json = serde_json::to_string(&delta).unwrap_or_default();
        let (process, now) = (self.process.clone(), self.process.clock.now());
        self.calls.spawn(async move {
            let frame = Frame::Change(Document { json });
            let reply = process.peers.control(&server, &frame, PEER_TIMEOUT).await;
            Returned::Reply(Box::new(server), now, Box::new(reply))
        });
    }

    /// Applies changes in order; if changes before them are missing, reads those from the table.
    fn apply(&mut self, changes: &[Change]) {
        if !self.loaded {
            return;
        }
        let before = self.snapshot.revision;
        for change in changes {
            match self.snapshot.apply(change) {
                Ok(true) => {
                    self.recent.push_back(change.clone());
                    if self.recent.len() > MAX_RECENT_CHANGES {
                        self.recent.pop_front();
                    }
                }
                Ok(false) => {}
                Err(_) => {
                    self.evidence.note_revision(change.revision);
                    self.catch_up();
                    break;
                }
            }
        }
        if self.snapshot.revision > before {
            self.apply_snapshot();
        }
    }

    fn replace(&mut self, snapshot: Snapshot) {
        if self.loaded && snapshot.revision <= self.snapshot.revision {
            return;
        }
        self.loaded = true;
        self.snapshot = snapshot;
        self.recent.clear();
        info!(self.process.log, "configuration loaded"; "revision" => self.snapshot.revision);
        self.apply_snapshot();
    }

    /// Applies the snapshot: publishes it and reports its teams and drains to the engine.
    fn apply_snapshot(&mut self) {
        let revision = self.snapshot.revision;
        self.snapshots.send_replace(Arc::new(self.snapshot.clone()));
        self.evidence.set_applied(revision);
        self.publish_standing();
        self.process.engine.event(Event::Configure {
            revision,
            teams: self.snapshot.teams(),
        });
        self.rejoin_workers();
        self.drain_workers();
    }

    /// Reports workers whose drain was deleted as joined, so that they get tasks again.
    fn rejoin_workers(&mut self) {
        let drained = self.snapshot.drained();
        let earlier = std::mem::replace(&mut self.drained, drained);
        let instances = self.process.instances.borrow().clone();
        let live = instances
            .iter()
            .filter(|instance| instance.state == Listed::Live);
        for worker in live.filter_map(Instance::worker) {
            if earlier.contains(&worker.name) && !self.drained.contains(&worker.name) {
                self.process.engine.event(Event::Join(worker));
            }
        }
    }

    /// Reports all drained workers to the engine, including newly listed ones.
    fn drain_workers(&self) {
        for worker in self.drained.clone() {
            self.process.engine.event(Event::Leave { worker });
        }
    }

    fn handle_control(&mut self, received: Control) {
        let reply = match received.frame {
            Frame::Heartbeat(heartbeat) => {
                self.evidence.note_revision(heartbeat.revision);
                self.newest_revision_reply()
            }
            Frame::Change(document) => match serde_json::from_str(&document.json) {
                Ok(Delta::Changes(changes)) => {
                    self.apply(&changes);
                    self.applied_revision_reply()
                }
                Ok(Delta::After(revision)) => self.recent_changes_reply(revision),
                Err(error) => fault("unreadable", &format!("{error}; run the same release")),
            },
            Frame::Handover(_) => {
                self.process.membership.hint();
                Frame::Done
            }
            _ => fault("unexpected", "send a change, a beat or a handover"),
        };
        // The connection of the peer may have been lost in the meantime.
        let _ = received.reply.send(reply);
    }

    /// Returns a reply with the newest revision that this server knows of.
    fn newest_revision_reply(&self) -> Frame {
        if self.evidence.newest().is_none() {
            return fault("unready", "ask again once the configuration has been read");
        }
        Frame::Heartbeat(self.heartbeat())
    }

    /// Returns a reply with the revision that this server has applied.
    fn applied_revision_reply(&self) -> Frame {
        Frame::Heartbeat(Heartbeat {
            revision: self.snapshot.revision,
            ..self.heartbeat()
        })
    }

    fn recent_changes_reply(&self, revision: u64) -> Frame {
        let Some(changes) = self.recent_changes_after(revision) else {
            return fault("gone", "read the changes from the table");
        };
        let json = serde_json::to_string(&Delta::Changes(changes)).unwrap_or_default();
        Frame::Change(Document { json })
    }

    fn recent_changes_after(&self, revision: u64) -> Option<Vec<Change>> {
        if revision >= self.snapshot.revision {
            return Some(Vec::new());
        }
        let first = self.recent.front()?.revision;
        let newer = |change: &&Change| change.revision > revision;
        let complete = first <= revision + 1;
        complete.then(|| self.recent.iter().filter(newer).cloned().collect())
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Edit(proposal, reply) => {
                let process = self.process.clone();
                self.calls.spawn(async move {
                    // The operator may have disconnected in the meantime.
                    let _ = reply.send(push::edit(&process, proposal).await);
                    Returned::Nothing
                });
            }
            Message::Written(change) => self.apply(&[change]),
            Message::ChangesAfter(revision, reply) => self.changes_after(revision, reply),
            Message::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
        }
    }

    fn changes_after(
        &mut self,
        revision: u64,
        reply: oneshot::Sender<Result<Vec<Change>, Missing>>,
    ) {
        if let Some(changes) = self.recent_changes_after(revision) {
            let _ = reply.send(Ok(changes));
            return;
        }
        let table = self.process.platform.table.clone();
        self.calls.spawn(async move {
            let _ = reply.send(store::changes(table.as_ref(), revision).await);
            Returned::Nothing
        });
    }

    fn dump(&self) -> Value {
        let now = self.process.clock.now();
        let names: Vec<&Name> = self
            .snapshot
            .entries
            .values()
            .flat_map(|kind| kind.keys())
            .collect();
        json!({
            "revision": self.snapshot.revision,
            "newest": self.evidence.newest(),
            "standing": format!("{:?}", self.evidence.standing(now)),
            "resources": names.len(),
            "recent_changes": self.recent.len(),
        })
    }
}

fn fault(kind: &str, remedy: &str) -> Frame {
    Frame::Fault(Fault {
        kind: kind.to_owned(),
        remedy: remedy.to_owned(),
    })
}
