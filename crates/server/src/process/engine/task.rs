//! The task of the engine.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::action::Action;
use azurepath_decide::attempt::{Attempt, Refusal, Running};
use azurepath_decide::cell::{Cell, Setup};
use azurepath_decide::event::Event;
use azurepath_decide::gang::Hold;
use azurepath_decide::name::{Map, Name};
use azurepath_decide::rack::Demand;
use azurepath_decide::request::{Id, Request};
use azurepath_decide::share::Summary;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use azurepath_decide::trace::Input;
use azurepath_decide::verdict::{Reason, Verdict};
use azurepath_services::instance::Instance;
use azurepath_services::worker::{Answer, Claim, Error, Order, Worker};
use bytes::Bytes;
use serde_json::{Value, json};
use slog::{Logger, debug, warn};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use super::super::ledger::{self, Update};
use super::calls::{Calls, Returned, Target};
use super::replies::Replies;
use super::{Handle, Message, Reply, Submission};
use crate::metrics::Metrics;
use crate::process::clock::Clock;
use crate::process::membership;
use crate::process::recorder;
use crate::process::renewal::Renewer;
use crate::settings::Timing;

/// The maximum number of messages received at once.
const MAX_BATCH: usize = 256;

/// The timeout of a call to a worker if the request has no deadline.
const NO_DEADLINE_TIMEOUT: Duration = Duration::from_secs(24 * 3600);

/// The lower bound of a call's timeout, also if its deadline has passed.
const MIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Channels from the engine to other tasks.
#[derive(Debug)]
pub struct Outputs {
    /// Demands for allotments, for the allotment task.
    pub demands: mpsc::UnboundedSender<Vec<Demand>>,
    /// The newest summary of the racks that this server owns.
    pub summary: watch::Sender<Option<Arc<Summary>>>,
    /// The membership task, for answered claims and refusals of a stale epoch.
    pub membership: membership::Handle,
    /// Updates for the usage ledger.
    pub usage: ledger::Updates,
}

/// A request that is not answered yet.
#[derive(Debug)]
struct Pending {
    submission: Submission,
    waiters: Vec<oneshot::Sender<Reply>>,
}

/// The lease of a worker that the engine has claimed.
#[derive(Debug)]
struct Lease {
    epoch: u64,
    rack: Name,
    halt: CancellationToken,
}

/// The address and the rack of a listed worker.
#[derive(Clone, Debug)]
struct Contact {
    address: SocketAddr,
    rack: Name,
}

/// The task that drives the state machine [`Cell`].
pub struct Engine {
    /// The setup of the state machine.
    pub setup: Setup,
    /// The clock.
    pub clock: Clock,
    /// The timing.
    pub timing: Timing,
    /// The client of the workers.
    pub workers: Arc<dyn Worker>,
    /// The instance list, for the addresses of workers.
    pub instances: watch::Receiver<Arc<Vec<Instance>>>,
    /// The channels to other tasks.
    pub outputs: Outputs,
    /// Records the events for the trace.
    pub recorder: recorder::Handle,
    /// The engine's own handle, for the tasks that it spawns.
    pub handle: Handle,
    /// The logger.
    pub log: Logger,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

impl Engine {
    /// Runs until `halt`.
    pub async fn run(self, messages: mpsc::UnboundedReceiver<Message>, halt: CancellationToken) {
        let mut state = State {
            cell: Cell::new(self.setup.clone()),
            calls: Calls::new(self.workers.clone()),
            engine: self,
            events: VecDeque::new(),
            actions: Vec::new(),
            requests: Map::default(),
            replies: Replies::default(),
            payloads: Map::default(),
            hold_replies: BTreeMap::new(),
            members: BTreeMap::new(),
            leases: BTreeMap::new(),
            contacts: Map::default(),
            renewals: JoinSet::new(),
        };
        state.serve(messages, halt).await;
        state.calls.shutdown().await;
        state.renewals.shutdown().await;
    }
}

struct State {
    engine: Engine,
    cell: Cell,
    calls: Calls,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    requests: Map<Id, Pending>,
    replies: Replies,
    payloads: Map<Attempt, Bytes>,
    hold_replies: BTreeMap<Id, oneshot::Sender<Hold>>,
    /// The registered members of each gang that is not committed yet.
    members: BTreeMap<Id, Vec<Id>>,
    leases: BTreeMap<Name, Lease>,
    contacts: Map<Name, Contact>,
    renewals: JoinSet<()>,
}

impl State {
    async fn serve(
        &mut self,
        mut messages: mpsc::UnboundedReceiver<Message>,
        halt: CancellationToken,
    ) {
        let mut ticks = tokio::time::interval(self.engine.timing.tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(MAX_BATCH);
        self.read_contacts();
        loop {
            tokio::select! {
                () = halt.cancelled() => return,
                received = messages.recv_many(&mut batch, MAX_BATCH) => {
                    if received == 0 {
                        return;
                    }
                    // A message may refer to a worker that was listed just now.
                    if self.engine.instances.has_changed().unwrap_or(false) {
                        self.read_contacts();
                    }
                    batch.drain(..).for_each(|message| self.handle_message(message));
                }
                Some(returned) = self.calls.next(), if self.calls.count() > 0 => {
                    self.handle_returned(returned);
                }
                Some(_) = self.renewals.join_next(), if !self.renewals.is_empty() => {}
                Ok(()) = self.engine.instances.changed() => self.read_contacts(),
                _ = ticks.tick() => self.handle(Event::Tick),
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Event(event) => self.handle(event),
            Message::Expect(submission, reply) => self.register_member(submission, reply),
            Message::Submit(submission, reply) => self.submit(submission, reply, Event::Submit),
            Message::Resume(submission, reply) => self.submit(submission, reply, Event::Resume),
            Message::Reserve(hold_request, reply) => {
                self.hold_replies.insert(hold_request.gang, reply);
                self.handle(Event::Reserve(hold_request));
            }
            Message::Dump(reply) => {
                // The caller may have stopped waiting.
                let _ = reply.send(self.dump());
            }
        }
    }

    fn submit(
        &mut self,
        submission: Submission,
        reply: oneshot::Sender<Reply>,
        event: impl FnOnce(Request) -> Event,
    ) {
        let request = submission.request.clone();
        if let Some(kept) = self.replies.get(request.id, &request.team) {
            let _ = reply.send(kept.clone());
            return;
        }
        let known = self.requests.contains_key(&request.id);
        self.register(submission, reply);
        let event = event(request);
        // A known request is not submitted again. A resume is always passed on, because the state
        // machine may not have a registered member of a gang yet, or may have dropped it.
        if !known || matches!(event, Event::Resume(_)) {
            self.handle(event);
        }
    }

    /// Registers a member of a gang.
    fn register_member(&mut self, submission: Submission, reply: oneshot::Sender<Reply>) {
        if let Some(gang) = submission.request.gang {
            let members = self.members.entry(gang).or_default();
            members.push(submission.request.id);
        }
        self.register(submission, reply);
    }

    /// Answers the registered members of a gang that no longer hold a place.
    fn answer_unplaced(&mut self, gang: Id, held: &[Id]) {
        let Some(members) = self.members.remove(&gang) else {
            return;
        };
        let (remain, leave): (Vec<Id>, Vec<Id>) = members
            .into_iter()
            .partition(|member| held.contains(member));
        if !remain.is_empty() {
            self.members.insert(gang, remain);
        }
        for member in leave {
            let verdict = Verdict::NotRun {
                reason: Reason::Gang,
                retry_after: None,
            };
            self.answer(member, verdict);
        }
    }

    /// Adds a waiter to a request; refuses a request of another team with the same id.
    fn register(&mut self, submission: Submission, reply: oneshot::Sender<Reply>) {
        let id = submission.request.id;
        let team = submission.request.team.clone();
        let pending = self.requests.entry(id).or_insert_with(|| Pending {
            submission,
            waiters: Vec::new(),
        });
        if pending.submission.request.team == team {
            pending.waiters.push(reply);
            return;
        }
        let _ = reply.send(Reply {
            verdict: Verdict::NotRun {
                reason: Reason::Duplicate,
                retry_after: None,
            },
            payload: Bytes::new(),
        });
    }

    /// Passes an event to the state machine and executes its actions, including those of events
    /// that the actions cause.
    fn handle(&mut self, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            self.record_usage(&event);
            if let Event::Release { gang } = &event {
                self.answer_unplaced(*gang, &[]);
            }
            let committed = match &event {
                Event::Commit { gang } => Some(*gang),
                _ => None,
            };
            let now = self.engine.clock.now();
            let recorder = &self.engine.recorder;
            recorder.record(now, || Input::Cell(event.clone()));
            let mut actions = std::mem::take(&mut self.actions);
            self.cell.handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.execute(action));
            self.actions = actions;
            if let Some(gang) = committed {
                self.members.remove(&gang);
            }
        }
    }

    /// Updates the usage ledger with what an event says.
    fn record_usage(&self, event: &Event) {
        match event {
            Event::Claimed(inventory) => self.send_usage(Update::Replace {
                worker: inventory.worker.clone(),
                running: inventory.running.clone(),
            }),
            Event::Gone { worker } => self.send_usage(Update::idle(worker)),
            Event::Refused { attempt, .. } => self.send_usage(Update::Cancel(*attempt)),
            Event::Ended { attempt, .. } => self.send_usage(Update::End(*attempt)),
            Event::Report(report) => self.send_usage(Update::Report(report.clone())),
            Event::Lose { rack } => {
                let lost = self.leases.iter().filter(|(_, lease)| lease.rack == *rack);
                lost.for_each(|(worker, _)| self.send_usage(Update::idle(worker)));
            }
            _ => {}
        }
    }

    fn send_usage(&self, update: Update) {
        // The ledger task ends after the engine, so the send can't fail.
        let _ = self.engine.outputs.usage.send(update);
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Claim { worker, epoch } => self.claim(worker, epoch),
            Action::Start {
                attempt,
                worker,
                epoch,
                size,
            } => self.start(attempt, worker, epoch, size),
            Action::Attach { attempt, worker } => self.attach(attempt, worker),
            Action::Interrupt {
                attempt,
                worker,
                how,
            } => {
                if let Some((target, epoch)) = self.claimed_target(&worker) {
                    self.calls.interrupt(&target, epoch, attempt, how);
                }
            }
            Action::Probe { worker } => match self.claimed_target(&worker) {
                Some((target, epoch)) => self.calls.probe(target, epoch),
                None => self.events.push_back(Event::Probed {
                    worker,
                    healthy: false,
                }),
            },
            Action::Answer { request, verdict } => self.answer(request, verdict),
            Action::Allot { demands } => {
                // The allotment task runs as long as the process.
                let _ = self.engine.outputs.demands.send(demands);
            }
            Action::Held(hold) => {
                let held: Vec<Id> = hold.places.iter().map(|place| place.member).collect();
                self.answer_unplaced(hold.gang, &held);
                if let Some(reply) = self.hold_replies.remove(&hold.gang) {
                    let _ = reply.send(hold);
                }
            }
            Action::Publish(summary) => {
                self.engine
                    .outputs
                    .summary
                    .send_replace(Some(Arc::new(summary)));
            }
        }
    }

    fn claim(&mut self, worker: Name, epoch: u64) {
        let Some(address) = self.address(&worker) else {
            self.events.push_back(Event::Unreachable { worker });
            return;
        };
        let claim = self.claim_message(epoch);
        self.calls.claim(Target { worker, address }, claim);
    }

    fn claim_message(&self, epoch: u64) -> Claim {
        let lease_ms = u64::try_from(self.engine.timing.lease.as_millis()).unwrap_or(u64::MAX);
        Claim { epoch, lease_ms }
    }

    fn start(&mut self, attempt: Attempt, worker: Name, epoch: u64, size: Size) {
        let pending = self.requests.get(&attempt.request);
        let (Some(pending), Some(address)) = (pending, self.address(&worker)) else {
            self.events.push_back(Event::Refused {
                attempt,
                worker,
                refusal: Refusal::Unreachable,
            });
            return;
        };
        let request = &pending.submission.request;
        let order = Order {
            epoch,
            running: Running {
                attempt,
                team: request.team.clone(),
                kind: request.kind.clone(),
                class: request.class,
                // The booked size, so that the next owner books no less.
                size,
                gang: request.gang,
                idempotent: request.idempotent,
            },
            detached: pending.submission.detached,
        };
        let payload = pending.submission.payload.clone();
        let call_timeout = self.call_timeout(request.deadline);
        self.send_usage(Update::Begin {
            worker: worker.clone(),
            running: order.running.clone(),
        });
        self.engine.metrics.attempts.add(1, &[]);
        self.calls
            .start(Target { worker, address }, order, payload, call_timeout);
    }

    fn attach(&mut self, attempt: Attempt, worker: Name) {
        let Some(address) = self.address(&worker) else {
            self.events.push_back(Event::Lost { attempt, worker });
            return;
        };
        let deadline = self
            .requests
            .get(&attempt.request)
            .map_or(Time::MAX, |pending| pending.submission.request.deadline);
        let call_timeout = self.call_timeout(deadline);
        self.calls
            .attach(Target { worker, address }, attempt, call_timeout);
    }

    fn call_timeout(&self, deadline: Time) -> Duration {
        if deadline == Time::MAX {
            return NO_DEADLINE_TIMEOUT;
        }
        deadline.since(self.engine.clock.now()).max(MIN_TIMEOUT)
    }

    fn answer(&mut self, request: Id, verdict: Verdict) {
        if let Verdict::Unknown { attempt } = &verdict {
            self.send_usage(Update::End(*attempt));
        }
        let payload = match &verdict {
            Verdict::Ran { attempt, .. } => self.payloads.remove(attempt).unwrap_or_default(),
            Verdict::NotRun { .. } | Verdict::Unknown { .. } => Bytes::new(),
        };
        let Some(pending) = self.requests.remove(&request) else {
            return;
        };
        let reply = Reply { verdict, payload };
        let kept = &pending.submission.request;
        if pending.submission.keep {
            let team = kept.team.clone();
            self.replies.keep(request, team, reply.clone());
        }
        for waiter in pending.waiters {
            // The waiter may be gone; the reply is kept in case the caller retries.
            let _ = waiter.send(reply.clone());
        }
    }

    fn handle_returned(&mut self, returned: Returned) {
        match returned {
            Returned::Claimed {
                worker,
                epoch,
                result,
            } => self.handle_claimed(worker, epoch, result),
            Returned::Answered {
                attempt,
                worker,
                detached,
                result,
            } => self.handle_answered(attempt, worker, detached, result),
            Returned::Probed { worker, healthy } => self.handle(Event::Probed { worker, healthy }),
            Returned::Interrupted => {}
        }
    }

    fn handle_claimed(
        &mut self,
        worker: Name,
        epoch: u64,
        result: Result<azurepath_decide::worker::Inventory, Error>,
    ) {
        match result {
            Ok(inventory) => {
                self.start_renewal(worker.clone(), epoch);
                self.handle(Event::Claimed(inventory));
                self.engine.outputs.membership.claimed(worker, epoch);
            }
            Err(error) => {
                if error == Error::Refused(Refusal::StaleEpoch) {
                    self.engine.outputs.membership.hint();
                }
                debug!(self.engine.log, "claim failed";
                    "worker" => %worker, "epoch" => epoch, "error" => %error);
                self.handle(Event::Unreachable { worker });
            }
        }
    }

    fn handle_answered(
        &mut self,
        attempt: Attempt,
        worker: Name,
        detached: bool,
        result: Result<Answer, Error>,
    ) {
        let event = match result {
            Ok(answer) if answer.attempt != attempt => {
                self.engine.metrics.stray_answers.add(1, &[]);
                warn!(self.engine.log, "answer of another attempt dropped";
                    "worker" => %worker, "attempt" => %attempt, "answer" => %answer.attempt);
                Event::Lost { attempt, worker }
            }
            Ok(_) if detached => Event::Started { attempt, worker },
            Ok(answer) => {
                if self.requests.contains_key(&attempt.request) {
                    self.payloads.insert(attempt, answer.payload);
                }
                Event::Ended {
                    attempt,
                    worker,
                    outcome: answer.outcome,
                }
            }
            Err(Error::Refused(refusal)) => Event::Refused {
                attempt,
                worker,
                refusal,
            },
            Err(Error::Lost { detail }) => {
                debug!(self.engine.log, "answer lost";
                    "worker" => %worker, "attempt" => %attempt, "detail" => detail);
                Event::Lost { attempt, worker }
            }
        };
        self.handle(event);
        // A payload that the state machine has not answered with is not needed any more.
        self.payloads.remove(&attempt);
    }

    /// Starts to renew the lease of a worker with a new epoch.
    ///
    /// After the rack is lost, the lease is renewed until the worker accepts a higher epoch,
    /// because tasks whose callers wait here still run on the worker.
    fn start_renewal(&mut self, worker: Name, epoch: u64) {
        let Some(contact) = self.contacts.get(&worker).cloned() else {
            return;
        };
        let renewer = Renewer {
            worker: worker.clone(),
            address: contact.address,
            claim: self.claim_message(epoch),
            interval: self.engine.timing.renewal,
            calls: self.engine.workers.clone(),
            engine: self.engine.handle.clone(),
            usage: self.engine.outputs.usage.clone(),
            metrics: self.engine.metrics.clone(),
        };
        let halt = CancellationToken::new();
        self.renewals.spawn(renewer.run(halt.clone()));
        let lease = Lease {
            epoch,
            rack: contact.rack,
            halt,
        };
        if let Some(old) = self.leases.insert(worker, lease) {
            old.halt.cancel();
        }
    }

    fn claimed_target(&self, worker: &Name) -> Option<(Target, u64)> {
        let epoch = self.leases.get(worker)?.epoch;
        let target = Target {
            worker: worker.clone(),
            address: self.address(worker)?,
        };
        Some((target, epoch))
    }

    fn address(&self, worker: &Name) -> Option<SocketAddr> {
        self.contacts.get(worker).map(|contact| contact.address)
    }

    fn read_contacts(&mut self) {
        let instances = self.engine.instances.borrow_and_update().clone();
        for instance in instances.iter() {
            let Some(worker) = instance.worker() else {
                continue;
            };
            let contact = Contact {
                address: instance.address,
                rack: worker.rack,
            };
            self.contacts.insert(worker.name, contact);
        }
    }

    fn dump(&self) -> Value {
        let leases: BTreeMap<&Name, u64> = self
            .leases
            .iter()
            .map(|(worker, lease)| (worker, lease.epoch))
            .collect();
        json!({
            "time_us": self.engine.clock.now().0,
            "requests": self.requests.len(),
            "calls": self.calls.count(),
            "kept_replies": self.replies.count(),
            "leases": leases,
            "cell": self.cell.dump(),
        })
    }
}
