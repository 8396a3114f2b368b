//! The engine's task.

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
use super::calls::{Calls, Place, Returned};
use super::replies::Replies;
use super::{Handle, Message, Reply, Submission};
use crate::metrics::Metrics;
use crate::process::clock::Clock;
use crate::process::membership;
use crate::process::recorder;
use crate::process::renewal::Renewer;
use crate::settings::Timing;

/// How many messages are taken at once.
const BATCH: usize = 256;

/// How long a call to a worker waits where the request has no deadline.
const ENDLESS_CALL: Duration = Duration::from_secs(24 * 3600);

/// The patience of a call whose deadline has passed already.
const LEAST_CALL: Duration = Duration::from_millis(50);

/// Where the engine sends what other tasks carry out.
#[derive(Debug)]
pub struct Outputs {
    /// Demands for allotments.
    pub demands: mpsc::UnboundedSender<Vec<Demand>>,
    /// The newest summary of the own racks.
    pub summary: watch::Sender<Option<Arc<Summary>>>,
    /// Who is told of answered claims, and of refusals of a former owner.
    pub membership: membership::Handle,
    /// What is noted for the bill.
    pub usage: ledger::Updates,
}

/// A request that is not answered yet.
#[derive(Debug)]
struct Pending {
    submission: Submission,
    waiters: Vec<oneshot::Sender<Reply>>,
}

/// What the engine knows of a worker that it has claimed.
#[derive(Debug)]
struct Lease {
    epoch: u64,
    rack: Name,
    halt: CancellationToken,
}

/// Where a listed worker is.
#[derive(Clone, Debug)]
struct Contact {
    address: SocketAddr,
    rack: Name,
}

/// The task that owns the machine.
pub struct Engine {
    /// The server's name and the seed of the machine.
    pub setup: Setup,
    /// The clock.
    pub clock: Clock,
    /// The timing.
    pub timing: Timing,
    /// The calls of workers.
    pub workers: Arc<dyn Worker>,
    /// The instance list, for the addresses of workers.
    pub instances: watch::Receiver<Arc<Vec<Instance>>>,
    /// Where other tasks are told.
    pub outputs: Outputs,
    /// The recorder.
    pub recorder: recorder::Handle,
    /// The engine's own handle, for tasks that it spawns.
    pub handle: Handle,
    /// The logger.
    pub log: Logger,
    /// The instruments.
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
            answers: Map::default(),
            holds: BTreeMap::new(),
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
    answers: Map<Attempt, Bytes>,
    holds: BTreeMap<Id, oneshot::Sender<Hold>>,
    /// The expected members of each gang that has not begun.
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
        let mut batch = Vec::with_capacity(BATCH);
        self.read_contacts();
        loop {
            tokio::select! {
                () = halt.cancelled() => return,
                taken = messages.recv_many(&mut batch, BATCH) => {
                    if taken == 0 {
                        return;
                    }
                    // A message may name a worker that has just been listed.
                    if self.engine.instances.has_changed().unwrap_or(false) {
                        self.read_contacts();
                    }
                    batch.drain(..).for_each(|message| self.take(message));
                }
                Some(returned) = self.calls.next(), if self.calls.count() > 0 => {
                    self.returned(returned);
                }
                Some(_) = self.renewals.join_next(), if !self.renewals.is_empty() => {}
                Ok(()) = self.engine.instances.changed() => self.read_contacts(),
                _ = ticks.tick() => self.tell(Event::Tick),
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Event(event) => self.tell(event),
            Message::Expect(submission, reply) => self.expect(submission, reply),
            Message::Submit(submission, reply) => self.submit(submission, reply, Event::Submit),
            Message::Resume(submission, reply) => self.submit(submission, reply, Event::Resume),
            Message::Reserve(ask, reply) => {
                self.holds.insert(ask.gang, reply);
                self.tell(Event::Reserve(ask));
            }
            Message::Dump(reply) => {
                // The asker may have gone meanwhile.
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
        // A member of a gang is known before the machine has it, or after it has dropped it.
        if !known || matches!(event, Event::Resume(_)) {
            self.tell(event);
        }
    }

    /// Registers a member of a gang.
    fn expect(&mut self, submission: Submission, reply: oneshot::Sender<Reply>) {
        if let Some(gang) = submission.request.gang {
            let members = self.members.entry(gang).or_default();
            members.push(submission.request.id);
        }
        self.register(submission, reply);
    }

    /// Answers the expected members of a gang that hold no place any more.
    fn dismiss(&mut self, gang: Id, held: &[Id]) {
        let Some(members) = self.members.remove(&gang) else {
            return;
        };
        let (stay, go): (Vec<Id>, Vec<Id>) = members
            .into_iter()
            .partition(|member| held.contains(member));
        if !stay.is_empty() {
            self.members.insert(gang, stay);
        }
        for member in go {
            let verdict = Verdict::NotRun {
                reason: Reason::Gang,
                retry_after: None,
            };
            self.answer(member, verdict);
        }
    }

    /// Adds a waiter for a request; another team's request under the same id is refused.
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

    /// Tells the machine an event and carries out what it wants, and what follows from that.
    fn tell(&mut self, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            self.note(&event);
            if let Event::Release { gang } = &event {
                self.dismiss(*gang, &[]);
            }
            let begun = match &event {
                Event::Commit { gang } => Some(*gang),
                _ => None,
            };
            let now = self.engine.clock.now();
            let recorder = &self.engine.recorder;
            recorder.record(now, || Input::Cell(event.clone()));
            let mut actions = std::mem::take(&mut self.actions);
            self.cell.handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.act(action));
            self.actions = actions;
            if let Some(gang) = begun {
                self.members.remove(&gang);
            }
        }
    }

    /// Updates the usage ledger with what an event says.
    fn note(&self, event: &Event) {
        match event {
            Event::Claimed(inventory) => self.bill(Update::Replace {
                worker: inventory.worker.clone(),
                running: inventory.running.clone(),
            }),
            Event::Gone { worker } => self.bill(Update::idle(worker)),
            Event::Refused { attempt, .. } => self.bill(Update::Cancel(*attempt)),
            Event::Ended { attempt, .. } => self.bill(Update::End(*attempt)),
            Event::Report(report) => self.bill(Update::Report(report.clone())),
            Event::Lose { rack } => {
                let lost = self.leases.iter().filter(|(_, lease)| lease.rack == *rack);
                lost.for_each(|(worker, _)| self.bill(Update::idle(worker)));
            }
            _ => {}
        }
    }

    fn bill(&self, note: Update) {
        // The ledger ends after the engine.
        let _ = self.engine.outputs.usage.send(note);
    }

    fn act(&mut self, action: Action) {
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
                if let Some((place, epoch)) = self.leased(&worker) {
                    self.calls.interrupt(&place, epoch, attempt, how);
                }
            }
            Action::Probe { worker } => match self.leased(&worker) {
                Some((place, epoch)) => self.calls.probe(place, epoch),
                None => self.events.push_back(Event::Probed {
                    worker,
                    healthy: false,
                }),
            },
            Action::Answer { request, verdict } => self.answer(request, verdict),
            Action::Allot { demands } => {
                // The allotment task ends only when the process does.
                let _ = self.engine.outputs.demands.send(demands);
            }
            Action::Held(hold) => {
                let held: Vec<Id> = hold.places.iter().map(|place| place.member).collect();
                self.dismiss(hold.gang, &held);
                if let Some(reply) = self.holds.remove(&hold.gang) {
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
        let claim = self.claim_terms(epoch);
        self.calls.claim(Place { worker, address }, claim);
    }

    fn claim_terms(&self, epoch: u64) -> Claim {
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
                // What is booked, so that the next owner books no less.
                size,
                gang: request.gang,
                idempotent: request.idempotent,
            },
            detached: pending.submission.detached,
        };
        let payload = pending.submission.payload.clone();
        let patience = self.patience(request.deadline);
        self.bill(Update::Begin {
            worker: worker.clone(),
            running: order.running.clone(),
        });
        self.engine.metrics.attempts.add(1, &[]);
        self.calls
            .start(Place { worker, address }, order, payload, patience);
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
        let patience = self.patience(deadline);
        self.calls
            .attach(Place { worker, address }, attempt, patience);
    }

    fn patience(&self, deadline: Time) -> Duration {
        if deadline == Time::MAX {
            return ENDLESS_CALL;
        }
        deadline.since(self.engine.clock.now()).max(LEAST_CALL)
    }

    fn answer(&mut self, request: Id, verdict: Verdict) {
        if let Verdict::Unknown { attempt } = &verdict {
            self.bill(Update::End(*attempt));
        }
        let payload = match &verdict {
            Verdict::Ran { attempt, .. } => self.answers.remove(attempt).unwrap_or_default(),
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
            // A waiter may have gone; the reply is kept for those that come again.
            let _ = waiter.send(reply.clone());
        }
    }

    fn returned(&mut self, returned: Returned) {
        match returned {
            Returned::Claimed {
                worker,
                epoch,
                result,
            } => self.claimed(worker, epoch, result),
            Returned::Answered {
                attempt,
                worker,
                detached,
                result,
            } => self.answered(attempt, worker, detached, result),
            Returned::Probed { worker, healthy } => self.tell(Event::Probed { worker, healthy }),
            Returned::Interrupted => {}
        }
    }

    fn claimed(
        &mut self,
        worker: Name,
        epoch: u64,
        result: Result<azurepath_decide::worker::Inventory, Error>,
    ) {
        match result {
            Ok(inventory) => {
                self.renew(worker.clone(), epoch);
                self.tell(Event::Claimed(inventory));
                self.engine.outputs.membership.claimed(worker, epoch);
            }
            Err(error) => {
                if error == Error::Refused(Refusal::StaleEpoch) {
                    self.engine.outputs.membership.hint();
                }
                debug!(self.engine.log, "claim failed";
                    "worker" => %worker, "epoch" => epoch, "error" => %error);
                self.tell(Event::Unreachable { worker });
            }
        }
    }

    fn answered(
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
                    self.answers.insert(attempt, answer.payload);
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
        self.tell(event);
        // What the machine did not pass on with the event it never will.
        self.answers.remove(&attempt);
    }

    /// Begins to renew a worker under a new epoch.
    ///
    /// A worker of a rack that is lost is renewed until it obeys a higher epoch, since work that is
    /// answered here still runs there.
    fn renew(&mut self, worker: Name, epoch: u64) {
        let Some(contact) = self.contacts.get(&worker).cloned() else {
            return;
        };
        let renewer = Renewer {
            worker: worker.clone(),
            address: contact.address,
            claim: self.claim_terms(epoch),
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

    fn leased(&self, worker: &Name) -> Option<(Place, u64)> {
        let epoch = self.leases.get(worker)?.epoch;
        let place = Place {
            worker: worker.clone(),
            address: self.address(worker)?,
        };
        Some((place, epoch))
    }

    fn address(&self, worker: &Name) -> Option<SocketAddr> {
        self.contacts.get(worker).map(|contact| contact.address)
    }

    fn read_contacts(&mut self) {
        let instances = self.engine.instances.borrow_and_update().clone();
        for instance in instances.iter() {
            let Some(spec) = instance.worker() else {
                continue;
            };
            let contact = Contact {
                address: instance.address,
                rack: spec.rack,
            };
            self.contacts.insert(spec.name, contact);
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
