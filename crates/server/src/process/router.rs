//! The task that owns the entry's machine: it sends requests to owners and hands verdicts back.

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
    /// A caller's request.
    Submit(Submission, oneshot::Sender<Reply>),
    /// A caller has gone.
    Cancel(Id),
    /// Another owner's summary.
    Summary(Summary),
    /// Asks for the state.
    Dump(oneshot::Sender<Value>),
}

/// A way to talk to the router.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::UnboundedSender<Message>,
}

impl Handle {
    /// Makes a handle and the end that the router reads from.
    pub fn channel() -> (Handle, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Handle { sender }, receiver)
    }

    /// Hands a request in; the reply comes once.
    pub fn submit(&self, submission: Submission) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        // A send that fails drops the sender, which the receiver sees.
        let _ = self.sender.send(Message::Submit(submission, sender));
        receiver
    }

    /// Tells that a caller has gone.
    pub fn cancel(&self, request: Id) {
        // Once the router has ended, nothing is left to withdraw.
        let _ = self.sender.send(Message::Cancel(request));
    }

    /// Tells another owner's summary.
    pub fn summary(&self, summary: Summary) {
        let _ = self.sender.send(Message::Summary(summary));
    }

    /// Returns the state of the router.
    ///
    /// # Errors
    ///
    /// Returns [`Stopped`] where the router has ended.
    pub async fn dump(&self) -> Result<Value, Stopped> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.sender.send(Message::Dump(sender));
        receiver.await.map_err(|_| Stopped)
    }
}

/// A request that is not answered yet.
#[derive(Debug)]
struct Flight {
    submission: Submission,
    waiters: Vec<oneshot::Sender<Reply>>,
}

/// A call to an owner that has come back.
#[derive(Debug)]
struct Returned {
    call: Call,
    result: Result<Reply, Failure>,
}

/// The task that owns the machine.
pub struct Task {
    /// What the machine is made with.
    pub setup: Setup,
    /// The clock.
    pub clock: Clock,
    /// The recorder.
    pub recorder: recorder::Handle,
    /// The own owner's machine.
    pub engine: engine::Handle,
    /// Connections to other servers.
    pub peers: pool::Handle,
    /// The fleet.
    pub view: watch::Receiver<Arc<View>>,
    /// The instance list, for the places of racks.
    pub instances: watch::Receiver<Arc<Vec<Instance>>>,
    /// The configuration.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// The newest summary of the own racks.
    pub summary: watch::Receiver<Option<Arc<Summary>>>,
}

impl Task {
    /// Runs until `halt`.
    pub async fn run(self, messages: mpsc::UnboundedReceiver<Message>, halt: CancellationToken) {
        let mut state = State {
            router: Router::new(self.setup.clone()),
            task: self,
            actions: Vec::new(),
            flights: Map::default(),
            payloads: Map::default(),
            calls: JoinSet::new(),
        };
        state.tell_sites();
        state.tell_teams();
        state.tell_view();
        state.serve(messages, halt).await;
        state.calls.shutdown().await;
    }
}

struct State {
    task: Task,
    router: Router,
    actions: Vec<Action>,
    flights: Map<Id, Flight>,
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
                    Some(message) => self.take(message),
                    None => return,
                },
                Some(returned) = self.calls.join_next(), if !self.calls.is_empty() => {
                    if let Ok(returned) = returned {
                        self.returned(returned);
                    }
                }
                Ok(()) = self.task.view.changed() => self.tell_view(),
                Ok(()) = self.task.instances.changed() => self.tell_sites(),
                Ok(()) = self.task.snapshot.changed() => self.tell_teams(),
                Ok(()) = self.task.summary.changed() => self.tell_summary(),
                () = sleep_until(due) => self.tell(Event::Tick),
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Submit(submission, reply) => self.submit(submission, reply),
            Message::Cancel(request) => self.cancel(request),
            Message::Summary(summary) => self.tell(Event::Summary(summary)),
            Message::Dump(reply) => {
                // The asker may have gone meanwhile.
                let _ = reply.send(self.dump());
            }
        }
    }

    /// Takes a request up, or joins it to the same request in flight.
    fn submit(&mut self, submission: Submission, reply: oneshot::Sender<Reply>) {
        let request = submission.request.clone();
        if let Some(flight) = self.flights.get_mut(&request.id) {
            if flight.submission.request.team == request.team {
                flight.waiters.push(reply);
            } else {
                let _ = reply.send(duplicate());
            }
            return;
        }
        let payload_bytes = submission.payload.len() as u64;
        let flight = Flight {
            submission,
            waiters: vec![reply],
        };
        self.flights.insert(request.id, flight);
        self.tell(Event::Submit {
            request,
            payload_bytes,
        });
    }

    /// Withdraws a request once none of its callers is left.
    fn cancel(&mut self, request: Id) {
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        flight.waiters.retain(|waiter| !waiter.is_closed());
        if flight.waiters.is_empty() {
            self.tell(Event::Cancel { request });
        }
    }

    fn tell_view(&mut self) {
        let view = self.task.view.borrow_and_update().clone();
        self.tell(Event::View((*view).clone()));
    }

    fn tell_sites(&mut self) {
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
        self.tell(Event::Sites { sites });
    }

    fn tell_teams(&mut self) {
        let snapshot = self.task.snapshot.borrow_and_update().clone();
        self.tell(Event::Teams {
            revision: snapshot.revision,
            teams: snapshot.teams(),
        });
    }

    fn tell_summary(&mut self) {
        let summary = self.task.summary.borrow_and_update().clone();
        if let Some(summary) = summary {
            self.tell(Event::Summary((*summary).clone()));
        }
    }

    fn tell(&mut self, event: Event) {
        let now = self.task.clock.now();
        let recorder = &self.task.recorder;
        recorder.note(now, || Input::Router(event.clone()));
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(now, event, &mut actions);
        actions.drain(..).for_each(|action| self.act(action));
        self.actions = actions;
    }

    fn act(&mut self, action: Action) {
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
        let Some(flight) = self.flights.get(&call.request) else {
            return;
        };
        let mut submission = flight.submission.clone();
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

    fn returned(&mut self, returned: Returned) {
        let call = returned.call;
        match returned.result {
            Ok(reply) => {
                self.payloads.insert(call.request, reply.payload);
                self.tell(Event::Answered {
                    call,
                    verdict: reply.verdict,
                });
                // Where the machine has not answered with it, the payload is not wanted.
                self.payloads.remove(&call.request);
            }
            Err(Failure::Unsent) => self.tell(Event::Unsent { call }),
            Err(Failure::Lost) => self.tell(Event::Broken { call }),
        }
    }

    fn answer(&mut self, request: Id, verdict: Verdict) {
        let payload = match &verdict {
            Verdict::Ran { .. } => self.payloads.remove(&request).unwrap_or_default(),
            Verdict::NotRun { .. } | Verdict::Unknown { .. } => Bytes::new(),
        };
        let Some(flight) = self.flights.remove(&request) else {
            return;
        };
        let reply = Reply { verdict, payload };
        for waiter in flight.waiters {
            // A caller that has gone needs no reply.
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

fn duplicate() -> Reply {
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
