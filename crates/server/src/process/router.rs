//! The task that sends requests to the owners of racks and passes verdicts back.
//!
//! It drives the state machine [`Router`]: it passes events on and carries out the actions.

use std::collections::BTreeMap;
use std::sync::Arc;

use azurepath_decide::candidate::Site;
use azurepath_decide::config::Snapshot;
use azurepath_decide::fleet::View;
use azurepath_decide::name::{Map, Name};
use azurepath_decide::request::{Id, Request};
use azurepath_decide::route::{Action, Call, Event, Router, Setup};
use azurepath_decide::share::Summary;
use azurepath_decide::trace::Input;
use azurepath_decide::verdict::{Reason, Verdict};
use azurepath_services::instance::Instance;
use bytes::Bytes;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::clock::Clock;
use super::engine::{self, Reply, Stopped, Submission};
use super::recorder;
use crate::connection::call::Failure;
use crate::connection::pool;

/// A message to the router.
#[derive(Debug)]
pub enum Message {
    /// Submits a request of a caller.
    Submit(Submission, oneshot::Sender<Reply>),
    /// A caller has disconnected.
    Cancel(Id),
    /// The summary of another rack owner.
    Summary(Summary),
    /// Requests the state.
    Dump(oneshot::Sender<Value>),
}

/// Sends messages to the router.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::UnboundedSender<Message>,
}

impl Handle {
    /// Makes a handle and the receiver that the router reads from.
    pub fn channel() -> (Handle, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Handle { sender }, receiver)
    }

    /// Submits a request; exactly one reply is sent.
    pub fn submit(&self, submission: Submission) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        // A failed send drops `sender`, so `receiver` returns an error.
        let _ = self.sender.send(Message::Submit(submission, sender));
        receiver
    }

    /// Reports that a caller of a request has disconnected.
    pub fn cancel(&self, request: Id) {
        // After the router has ended, there is nothing to cancel.
        let _ = self.sender.send(Message::Cancel(request));
    }

    /// Passes on the summary of another rack owner.
    pub fn summary(&self, summary: Summary) {
        let _ = self.sender.send(Message::Summary(summary));
    }

    /// Returns the state of the router.
    ///
    /// # Errors
    ///
    /// Returns [`Stopped`] if the router has ended.
    pub async fn dump(&self) -> Result<Value, Stopped> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.sender.send(Message::Dump(sender));
        receiver.await.map_err(|_| Stopped)
    }
}

/// A request that is not answered yet.
#[derive(Debug)]
struct Pending {
    submission: Submission,
    waiters: Vec<oneshot::Sender<Reply>>,
}

/// The result of a call to an owner.
#[derive(Debug)]
struct Returned {
    call: Call,
    result: Result<Reply, Failure>,
}

/// The task that drives the state machine.
pub struct Task {
    /// The setup of the state machine.
    pub setup: Setup,
    /// The clock.
    pub clock: Clock,
    /// Records the events for the trace.
    pub recorder: recorder::Handle,
    /// The engine of this server, for the racks that it owns.
    pub engine: engine::Handle,
    /// Connections to other servers.
    pub peers: pool::Handle,
    /// The servers and racks of the fleet.
    pub view: watch::Receiver<Arc<View>>,
    /// The instance list, for the sites of racks.
    pub instances: watch::Receiver<Arc<Vec<Instance>>>,
    /// The configuration.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// The newest summary of the racks that this server owns.
    pub summary: watch::Receiver<Option<Arc<Summary>>>,
}

impl Task {
    /// Runs until `halt`.
    pub async fn run(self, messages: mpsc::UnboundedReceiver<Message>, halt: CancellationToken) {
        let mut state = State {
            router: Router::new(self.setup.clone()),
            task: self,
            actions: Vec::new(),
            requests: Map::default(),
            payloads: Map::default(),
            calls: JoinSet::new(),
        };
        state.update_sites();
        state.update_teams();
        state.update_view();
        state.serve(messages, halt).await;
        state.calls.shutdown().await;
    }
}

struct State {
    task: Task,
    router: Router,
    actions: Vec<Action>,
    requests: Map<Id, Pending>,
    payloads: Map<Id, Bytes>,
    calls: JoinSet<Returned>,
}

impl State {
    async fn serve(
        &mut self,
        mut messages: mpsc::UnboundedReceiver<Message>,
        halt: CancellationToken,
    ) {
        loop {
            let due = self.router.next_deadline();
            let due = due.and_then(|due| self.task.clock.instant(due));
            tokio::select! {
                () = halt.cancelled() => return,
                message = messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                Some(returned) = self.calls.join_next(), if !self.calls.is_empty() => {
                    if let Ok(returned) = returned {
                        self.handle_returned(returned);
                    }
                }
                Ok(()) = self.task.view.changed() => self.update_view(),
                Ok(()) = self.task.instances.changed() => self.update_sites(),
                Ok(()) = self.task.snapshot.changed() => self.update_teams(),
                Ok(()) = self.task.summary.changed() => self.update_summary(),
                () = sleep_until(due) => self.handle(Event::Tick),
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Submit(submission, reply) => self.submit(submission, reply),
            Message::Cancel(request) => self.cancel(request),
            Message::Summary(summary) => self.handle(Event::Summary(summary)),
            Message::Dump(reply) => {
                // The caller may have stopped waiting.
                let _ = reply.send(self.dump());
            }
        }
    }

    /// Submits a request, or adds a waiter to the same request in flight.
    fn submit(&mut self, submission: Submission, reply: oneshot::Sender<Reply>) {
        let request = submission.request.clone();
        if let Some(pending) = self.requests.get_mut(&request.id) {
            if pending.submission.request.team == request.team {
                pending.waiters.push(reply);
            } else {
                let _ = reply.send(duplicate_reply());
            }
            return;
        }
        let payload_bytes = submission.payload.len() as u64;
        let pending = Pending {
            submission,
            waiters: vec![reply],
        };
        self.requests.insert(request.id, pending);
        self.handle(Event::Submit {
            request,
            payload_bytes,
        });
    }

    /// Cancels a request once all its callers have disconnected.
    fn cancel(&mut self, request: Id) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        pending.waiters.retain(|waiter| !waiter.is_closed());
        if pending.waiters.is_empty() {
            self.handle(Event::Cancel { request });
        }
    }

    fn update_view(&mut self) {
        let view = self.task.view.borrow_and_update().clone();
        self.handle(Event::View((*view).clone()));
    }

    fn update_sites(&mut self) {
        let instances = self.task.instances.borrow_and_update().clone();
        let workers = instances.iter().filter_map(Instance::worker);
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
    }

    fn update_teams(&mut self) {
        let snapshot = self.task.snapshot.borrow_and_update().clone();
        self.handle(Event::Teams {
            revision: snapshot.revision,
            teams: snapshot.teams(),
        });
    }

    fn update_summary(&mut self) {
        let summary = self.task.summary.borrow_and_update().clone();
        if let Some(summary) = summary {
            self.handle(Event::Summary((*summary).clone()));
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.task.clock.now();
        let recorder = &self.task.recorder;
        recorder.record(now, || Input::Router(event.clone()));
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(now, event, &mut actions);
        actions.drain(..).for_each(|action| self.execute(action));
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send {
                call,
                request,
                server,
                resume,
            } => self.send(call, request, &server, resume),
            Action::Cancel { call, server } => self.send_cancel(call, &server),
            Action::Answer { request, verdict } => self.answer(request, verdict),
        }
    }

    fn send(&mut self, call: Call, request: Request, server: &Name, resume: bool) {
        let Some(pending) = self.requests.get(&call.request) else {
            return;
        };
        let mut submission = pending.submission.clone();
        submission.request = request;
        if *server == self.task.setup.server {
            let reply = if resume {
                self.task.engine.resume(submission)
            } else {
                self.task.engine.submit(submission)
            };
            self.calls.spawn(async move {
                let result = reply.await.map_err(|_| Failure::Lost);
                Returned { call, result }
            });
            return;
        }
        let peer = self.task.view.borrow().servers.get(server).cloned();
        let (peers, clock) = (self.task.peers.clone(), self.task.clock);
        self.calls.spawn(async move {
            let result = match peer {
                Some(peer) => peers.submit(&peer, &submission, clock, resume).await,
                None => Err(Failure::Unsent),
            };
            Returned { call, result }
        });
    }

    fn send_cancel(&mut self, call: Call, server: &Name) {
        if *server == self.task.setup.server {
            self.task.engine.cancel(call.request);
            return;
        }
        let peer = self.task.view.borrow().servers.get(server).cloned();
        if let Some(peer) = peer {
            self.task.peers.cancel(peer, call.request);
        }
    }

    fn handle_returned(&mut self, returned: Returned) {
        let call = returned.call;
        match returned.result {
            Ok(reply) => {
                self.payloads.insert(call.request, reply.payload);
                self.handle(Event::Answered {
                    call,
                    verdict: reply.verdict,
                });
                // A payload that the state machine has not answered with is not needed any more.
                self.payloads.remove(&call.request);
            }
            Err(Failure::Unsent) => self.handle(Event::Unsent { call }),
            Err(Failure::Lost) => self.handle(Event::Broken { call }),
        }
    }

    fn answer(&mut self, request: Id, verdict: Verdict) {
        let payload = match &verdict {
            Verdict::Ran { .. } => self.payloads.remove(&request).unwrap_or_default(),
            Verdict::NotRun { .. } | Verdict::Unknown { .. } => Bytes::new(),
        };
        let Some(pending) = self.requests.remove(&request) else {
            return;
        };
        let reply = Reply { verdict, payload };
        for waiter in pending.waiters {
            // The caller may have disconnected.
            let _ = waiter.send(reply.clone());
        }
    }

    fn dump(&self) -> Value {
        json!({
            "in_flight": self.router.in_flight(),
            "calls": self.calls.len(),
            "count": self.router.counters(),
        })
    }
}

fn duplicate_reply() -> Reply {
    Reply {
        verdict: Verdict::NotRun {
            reason: Reason::Duplicate,
            retry_after: None,
        },
        payload: Bytes::new(),
    }
}

async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due).await,
        None => std::future::pending().await,
    }
}
