//! The task that owns the configuration in force here and the evidence for it.

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
use super::push::{self, WINDOW};
use super::store::{self, Missing};
use crate::connection::call::Broken;
use crate::process::{Control, Process};

/// How often the head of the log is read.
const READING: Duration = Duration::from_secs(1);

/// How long a reading of the head may take.
const HEAD_WAIT: Duration = Duration::from_millis(900);

/// The age of the table's evidence at which other servers are asked.
const ASK_AGE: Duration = Duration::from_millis(1_200);

/// How long another server may take to answer.
const WORD_WAIT: Duration = Duration::from_secs(1);

/// How many changes are kept for other servers and for watchers.
const RECENT: usize = 1_000;

/// What a call has brought.
enum Returned {
    /// The head of the log.
    Head(Time, Option<u64>),
    /// Changes that were missing.
    Changes(Result<Vec<Change>, Missing>),
    /// All resources.
    Snapshot(Result<Box<Snapshot>, Missing>),
    /// Another server's word.
    Word(Box<Server>, Time, Box<Result<Frame, Broken>>),
    /// Nothing that this task needs.
    Nothing,
}

struct State {
    process: Process,
    publish: watch::Sender<Arc<Snapshot>>,
    standing: watch::Sender<Standing>,
    snapshot: Snapshot,
    evidence: Evidence,
    loaded: bool,
    loading: bool,
    reading: bool,
    recent: VecDeque<Change>,
    drained: BTreeSet<Name>,
    table_asked: Option<Time>,
    calls: JoinSet<Returned>,
}

/// Runs until `halt`.
pub async fn run(
    process: Process,
    publish: watch::Sender<Arc<Snapshot>>,
    mut inbox: Inbox,
    mut control: mpsc::Receiver<Control>,
    halt: CancellationToken,
) {
    let mut view = process.view.clone();
    let mut instances = process.instances.clone();
    let mut state = State {
        process,
        publish,
        standing: inbox.standing,
        snapshot: Snapshot::default(),
        evidence: Evidence::new(WINDOW),
        loaded: false,
        loading: false,
        reading: false,
        recent: VecDeque::new(),
        drained: BTreeSet::new(),
        table_asked: None,
        calls: JoinSet::new(),
    };
    let mut turns = tokio::time::interval(READING);
    turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = halt.cancelled() => break,
            _ = turns.tick() => state.turn(),
            Some(returned) = state.calls.join_next(), if !state.calls.is_empty() => {
                if let Ok(returned) = returned {
                    state.returned(returned);
                }
            }
            Some(received) = control.recv() => state.control(received),
            Some(message) = inbox.messages.recv() => state.take(message),
            Ok(()) = instances.changed() => {
                instances.borrow_and_update();
                state.drain();
            }
            Ok(()) = view.changed() => state.know(&view.borrow_and_update().clone()),
        }
        state.show();
    }
    state.calls.shutdown().await;
}

impl State {
    /// Takes the servers that are known.
    fn know(&mut self, view: &azurepath_decide::fleet::View) {
        let own = &self.process.settings.server.name;
        if view.servers.contains_key(own) {
            let names = view.servers.keys().filter(|name| *name != own);
            self.evidence.set_peers(names.cloned().collect());
        }
    }

    fn show(&self) {
        let standing = self.evidence.standing(self.process.clock.now());
        self.standing.send_if_modified(|last| {
            let changed = *last != standing;
            *last = standing;
            changed
        });
    }

    /// Asks the table, and other servers where the table has not answered lately.
    fn turn(&mut self) {
        let now = self.process.clock.now();
        if !self.reading {
            self.reading = true;
            let table = self.process.platform.table.clone();
            self.calls.spawn(async move {
                let head = tokio::time::timeout(HEAD_WAIT, store::head(table.as_ref())).await;
                Returned::Head(now, head.ok().and_then(Result::ok))
            });
        }
        if !self.loaded {
            self.load();
        }
        let fresh = self
            .table_asked
            .is_some_and(|asked| now.since(asked) < ASK_AGE);
        if !fresh && self.loaded {
            self.ask_others(now);
        }
    }

    fn ask_others(&mut self, now: Time) {
        let view = self.process.view.borrow().clone();
        let own = &self.process.settings.server.name;
        for server in view.servers.values().filter(|server| server.name != *own) {
            let (process, server) = (self.process.clone(), server.clone());
            let frame = Frame::Heartbeat(self.beat());
            self.calls.spawn(async move {
                let word = process.peers.control(&server, &frame, WORD_WAIT).await;
                Returned::Word(Box::new(server), now, Box::new(word))
            });
        }
    }

    fn beat(&self) -> Heartbeat {
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

    /// Reads what is missing from the table.
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

    fn returned(&mut self, returned: Returned) {
        match returned {
            Returned::Head(asked, head) => self.head(asked, head),
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
                        warn!(self.process.log, "configuration unread"; "error" => %error);
                    }
                }
            }
            Returned::Word(server, asked, reply) => self.word(&server, asked, *reply),
            Returned::Nothing => {}
        }
    }

    fn head(&mut self, asked: Time, head: Option<u64>) {
        self.reading = false;
        match head {
            Some(revision) => {
                self.table_asked = Some(asked);
                self.evidence.record_head(asked, revision);
                if self.loaded && revision > self.snapshot.revision {
                    self.catch_up();
                }
            }
            None if self.loaded => self.ask_others(self.process.clock.now()),
            None => {}
        }
    }

    fn word(&mut self, server: &Server, asked: Time, reply: Result<Frame, Broken>) {
        match reply {
            Ok(Frame::Heartbeat(beat)) => {
                self.evidence
                    .record_peer(&server.name, asked, Some(beat.revision));
                if beat.revision > self.snapshot.revision {
                    self.fetch(server.clone());
                }
            }
            Ok(Frame::Change(document)) => {
                if let Ok(Delta::Changes(changes)) = serde_json::from_str(&document.json) {
                    self.apply(&changes);
                }
            }
            Ok(_) => self.evidence.record_peer(&server.name, asked, None),
            Err(_) => {}
        }
    }

    /// Asks another server for the changes that are missing here.
    fn fetch(&mut self, server: Server) {
        let delta = Delta::After(self.snapshot.revision);
        let json = serde_json::to_string(&delta).unwrap_or_default();
        let (process, now) = (self.process.clone(), self.process.clock.now());
        self.calls.spawn(async move {
            let frame = Frame::Change(Document { json });
            let reply = process.peers.control(&server, &frame, WORD_WAIT).await;
            Returned::Word(Box::new(server), now, Box::new(reply))
        });
    }

    /// Takes changes in their order; what is missing before them is read from the table.
    fn apply(&mut self, changes: &[Change]) {
        if !self.loaded {
            return;
        }
        let before = self.snapshot.revision;
        for change in changes {
            match self.snapshot.apply(change) {
                Ok(true) => {
                    self.recent.push_back(change.clone());
                    if self.recent.len() > RECENT {
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
            self.force();
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
        self.force();
    }

    /// Puts the snapshot in force.
    fn force(&mut self) {
        let revision = self.snapshot.revision;
        self.publish.send_replace(Arc::new(self.snapshot.clone()));
        self.evidence.set_applied(revision);
        self.show();
        self.process.engine.event(Event::Configure {
            revision,
            teams: self.snapshot.teams(),
        });
        self.release();
        self.drain();
    }

    /// Lets workers be used again whose drain was deleted.
    fn release(&mut self) {
        let drained = self.snapshot.drained();
        let earlier = std::mem::replace(&mut self.drained, drained);
        let instances = self.process.instances.borrow().clone();
        let live = instances.iter().filter(|one| one.state == Listed::Live);
        for worker in live.filter_map(Instance::worker) {
            if earlier.contains(&worker.name) && !self.drained.contains(&worker.name) {
                self.process.engine.event(Event::Join(worker));
            }
        }
    }

    /// Tells the machine of drained workers, also of those that have just been listed.
    fn drain(&self) {
        for worker in self.drained.clone() {
            self.process.engine.event(Event::Leave { worker });
        }
    }

    fn control(&mut self, received: Control) {
        let reply = match received.frame {
            Frame::Heartbeat(beat) => {
                self.evidence.note_revision(beat.revision);
                self.vouch()
            }
            Frame::Change(document) => match serde_json::from_str(&document.json) {
                Ok(Delta::Changes(changes)) => {
                    self.apply(&changes);
                    self.have()
                }
                Ok(Delta::After(revision)) => self.recent_after(revision),
                Err(error) => fault("unreadable", &format!("{error}; run the same release")),
            },
            Frame::Handover(_) => {
                self.process.membership.hint();
                Frame::Done
            }
            _ => fault("unexpected", "send a change, a beat or a handover"),
        };
        // The peer may have gone meanwhile.
        let _ = received.reply.send(reply);
    }

    /// Answers with the newest revision known here.
    fn vouch(&self) -> Frame {
        if self.evidence.newest().is_none() {
            return fault("unready", "ask again once the configuration has been read");
        }
        Frame::Heartbeat(self.beat())
    }

    /// Answers with the revision in force here.
    fn have(&self) -> Frame {
        Frame::Heartbeat(Heartbeat {
            revision: self.snapshot.revision,
            ..self.beat()
        })
    }

    fn recent_after(&self, revision: u64) -> Frame {
        let Some(changes) = self.kept_after(revision) else {
            return fault("gone", "read the changes from the table");
        };
        let json = serde_json::to_string(&Delta::Changes(changes)).unwrap_or_default();
        Frame::Change(Document { json })
    }

    fn kept_after(&self, revision: u64) -> Option<Vec<Change>> {
        if revision >= self.snapshot.revision {
            return Some(Vec::new());
        }
        let first = self.recent.front()?.revision;
        let newer = |change: &&Change| change.revision > revision;
        let whole = first <= revision + 1;
        whole.then(|| self.recent.iter().filter(newer).cloned().collect())
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Edit(proposal, reply) => {
                let process = self.process.clone();
                self.calls.spawn(async move {
                    // The operator may have gone meanwhile.
                    let _ = reply.send(push::edit(&process, proposal).await);
                    Returned::Nothing
                });
            }
            Message::Written(change) => self.apply(&[change]),
            Message::After(revision, reply) => self.after(revision, reply),
            Message::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
        }
    }

    fn after(&mut self, revision: u64, reply: oneshot::Sender<Result<Vec<Change>, Missing>>) {
        if let Some(changes) = self.kept_after(revision) {
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
