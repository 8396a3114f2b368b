//! The task that drives the scheduler while this instance leads.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::advice::Dispatcher;
use azurepath_decide::batch::carrier::Carriers;
use azurepath_decide::batch::config::Config;
use azurepath_decide::batch::fleet::{Contact, Entry};
use azurepath_decide::batch::record::Stored;
use azurepath_decide::batch::report::Report;
use azurepath_decide::batch::scheduler::{Dump, Scheduler, Setup};
use azurepath_decide::batch::{Action, Answer, Attempt, JobId, StartOutcome, StepId};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use azurepath_platform::worker::{Endpoint, Start};
use azurepath_wire::batch::{Call, Order, Orders, Reply};
use slog::{info, warn};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::carrier::{self, ORDER_TIMEOUT};
use super::clock::{self, Authority};
use super::peer::Pending;
use super::renewal::{self, Renewer};
use super::writer::{Batch, Outcome, Writer};
use super::{Context, decision, watch as feed};

/// How long the leader may give orders after its last write. Together with the last lease, tasks
/// survive outages of the store of twice this time. A successor waits as long for workers that it
/// can't reach.
pub(super) const AUTHORITY_DURATION: Duration = Duration::from_secs(4);

/// The maximum time between two writes, by which the other instances see that the leader is alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// The interval at which the scheduler is advanced.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The maximum number of messages that are handled before the scheduler places tasks.
const MAX_MESSAGES_PER_STEP: usize = 256;

/// The fraction of the configured lease that is requested. The rest is a margin for workers whose
/// clocks run slow.
const LEASE_FRACTION: f64 = 0.75;

/// The longest lease that is requested. It must outlast two successive changes of the leader. Tasks
/// that may run on an unreachable worker are started elsewhere only after it has expired.
const MAX_LEASE: Duration = Duration::from_secs(4);

/// How long after it was sent a worker may carry out an order to start.
const ORDER_VALIDITY: Duration = Duration::from_millis(1_500);

/// How long the outcome of an order that another instance carries may take beyond the worker's
/// answer: the ways from and to the instance.
const CARRIER_SLACK: Duration = Duration::from_millis(300);

/// A leader with a link of this speed, in kbit/s, or a faster one sends all orders itself.
const DIRECT_LINK_KBPS: u64 = 50_000;

/// How long the leader holds a poll for a question.
const POLL_WAIT: Duration = Duration::from_millis(1_000);

/// How long a write may take before new jobs are refused at once. Their clients would get no
/// answer in time.
const MAX_WRITE_TIME: Duration = Duration::from_millis(800);

/// The time after which clients may retry if their jobs can't be stored, in milliseconds.
const STORE_RETRY_AFTER_MS: u64 = 1_000;

/// A message to the leader.
#[derive(Debug)]
pub(super) enum Message {
    /// A call of a client, possibly forwarded by another instance.
    Call(Box<Pending>),
    /// The report of a worker, by its number.
    Report(usize, Report),
    /// A worker does not answer, with the error.
    Silent(usize, String),
    /// The lease of all tasks on a worker has expired for certain.
    Lapsed(usize),
    /// Another worker listens at a worker's address.
    Replaced(usize),
    /// A worker has seen a leader with a higher epoch.
    Superseded,
    /// The outcome of an order to start: worker, attempt, outcome, and the order's expiry by the
    /// worker's clock in milliseconds.
    Started(usize, Attempt, StartOutcome, u64),
    /// All entries of the registry.
    Registry(Vec<Entry>),
    /// A request for the state in numbers.
    Dump(oneshot::Sender<Dump>),
}

/// A handle for calls to the leader.
#[derive(Clone, Debug)]
pub(super) struct Handle {
    sender: mpsc::UnboundedSender<Message>,
}

impl Handle {
    /// Calls the leader. Returns `None` if it has ended.
    pub(super) async fn call(&self, call: Call) -> Option<Reply> {
        let (sender, receiver) = oneshot::channel();
        self.sender
            .send(Message::Call(Box::new((call, sender))))
            .ok()?;
        receiver.await.ok()
    }

    /// Returns the state in numbers, or `None` if the leader has ended.
    pub(super) async fn dump(&self) -> Option<Dump> {
        let (sender, receiver) = oneshot::channel();
        self.sender.send(Message::Dump(sender)).ok()?;
        receiver.await.ok()
    }
}

/// The reason why the leader has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum EndReason {
    /// Another instance leads.
    Deposed,
    /// The process stops, and the leadership was released.
    Released,
    /// The leadership was released for an instance nearer to the store.
    Yielded,
    /// The leader's task failed.
    Failed,
}

/// An instance's poll for a question that waits for its reply.
struct Poll {
    instance: Name,
    reply: oneshot::Sender<Reply>,
    until: Instant,
}

/// An order that another instance carries.
struct Carried {
    worker: usize,
    attempt: Attempt,
    expires_ms: u64,
    carrier: Name,
    /// Until when its outcome is awaited.
    until: Instant,
}

/// A worker whose lease is renewed.
struct Attachment {
    stop: CancellationToken,
    acknowledged: watch::Sender<u64>,
    /// The worker's clock in milliseconds, and when it was read.
    clock: Option<(u64, Instant)>,
}

/// The task that drives the scheduler.
pub(super) struct Leader {
    context: Context,
    scheduler: Scheduler,
    authority: Arc<Authority>,
    sender: mpsc::UnboundedSender<Message>,
    calls: BTreeMap<u64, oneshot::Sender<Reply>>,
    next_call: u64,
    dispatcher: Dispatcher,
    polls: VecDeque<Poll>,
    carriers: Carriers,
    /// The polls of instances that wait for orders, by instance.
    carrier_polls: BTreeMap<Name, Poll>,
    /// Orders that other instances carry, by number.
    carried: BTreeMap<u64, Carried>,
    next_order: u64,
    workers: BTreeMap<usize, Attachment>,
    tasks: JoinSet<()>,
    writer: Option<Writer>,
    writing: JoinSet<(Writer, Outcome)>,
    write_begun: Instant,
    epoch: u64,
    lease: Duration,
    inherited_lease: Duration,
    resigned: bool,
}

impl Leader {
    /// Creates the task of an instance that has just claimed the leadership by a write sent at
    /// `sent`. The previous leader may still give orders for `authority_left`.
    pub(super) fn new(
        context: Context,
        writer: Writer,
        sent: Time,
        authority_left: Duration,
        config: Arc<Config>,
        stored: Stored,
    ) -> (Leader, Handle, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let lease = context.settings().lease.mul_f64(LEASE_FRACTION);
        let lease = lease.min(MAX_LEASE);
        let inherited_lease = authority_left + renewal::expiry_bound(lease);
        let epoch = writer.row().epoch;
        let now = clock::now();
        let setup = Setup {
            epoch,
            origin_ms: clock::wall_ms().saturating_sub(now.0 / 1_000),
            takeover_grace: if epoch == 1 {
                Duration::ZERO
            } else {
                inherited_lease
            },
        };
        let handle = Handle {
            sender: sender.clone(),
        };
        let leader = Leader {
            scheduler: Scheduler::new(setup, now, config, stored),
            authority: Arc::new(Authority::new(sent, AUTHORITY_DURATION)),
            sender,
            calls: BTreeMap::new(),
            next_call: 0,
            dispatcher: Dispatcher::default(),
            polls: VecDeque::new(),
            carriers: Carriers::default(),
            carrier_polls: BTreeMap::new(),
            carried: BTreeMap::new(),
            next_order: 0,
            workers: BTreeMap::new(),
            tasks: JoinSet::new(),
            writer: Some(writer),
            writing: JoinSet::new(),
            write_begun: Instant::now(),
            epoch,
            lease,
            inherited_lease,
            resigned: false,
            context,
        };
        (leader, handle, receiver)
    }

    /// Leads until another instance takes over, `leaving` is cancelled or the term has passed.
    pub(super) async fn run(
        mut self,
        mut receiver: mpsc::UnboundedReceiver<Message>,
        leaving: CancellationToken,
        term: Option<Duration>,
    ) -> EndReason {
        let halt = CancellationToken::new();
        let registry = feed::workers(self.context.clone(), self.sender.clone(), halt.clone());
        self.tasks.spawn(registry);
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let term_end = async {
            match term {
                Some(term) => tokio::time::sleep(term).await,
                None => std::future::pending().await,
            }
        };
        tokio::pin!(term_end);
        let mut config = self.context.config.clone();
        let reason = loop {
            tokio::select! {
                () = leaving.cancelled() => break EndReason::Released,
                () = &mut term_end => break EndReason::Yielded,
                message = receiver.recv() => {
                    if let Some(message) = message {
                        self.handle(message);
                    }
                    for _ in 0..MAX_MESSAGES_PER_STEP {
                        let Ok(message) = receiver.try_recv() else {
                            break;
                        };
                        self.handle(message);
                    }
                }
                Some(written) = self.writing.join_next() => {
                    if !self.written(written) {
                        break EndReason::Deposed;
                    }
                }
                Some(_) = self.tasks.join_next() => continue,
                Ok(()) = config.changed() => {
                    if let Some(config) = config.borrow_and_update().clone() {
                        self.scheduler.configure(config);
                    }
                }
                _ = tick.tick() => {
                    self.expire_polls();
                    self.expire_carried();
                }
            }
            self.step();
            if self.resigned {
                break EndReason::Deposed;
            }
        };
        self.end(reason, &halt).await;
        reason
    }

    /// Stops giving orders, waits for the current write and releases the leadership.
    async fn end(&mut self, reason: EndReason, halt: &CancellationToken) {
        self.authority.end();
        halt.cancel();
        for worker in self.workers.values() {
            worker.stop.cancel();
        }
        if reason != EndReason::Deposed {
            let wait = self.writing.join_next();
            if let Ok(Some(written)) = tokio::time::timeout(MAX_WRITE_TIME, wait).await {
                self.written(written);
                let mut actions = Vec::new();
                self.scheduler.advance(clock::now(), &mut actions);
                for action in actions {
                    if let Action::Answer { call, answer } = action {
                        self.answer(call, &answer);
                    }
                }
            }
            if let Some(writer) = self.writer.take() {
                writer.release().await;
            }
        }
        self.writing.shutdown().await;
        while self.tasks.join_next().await.is_some() {}
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Call(call) => {
                let (call, reply) = *call;
                self.call(call, reply);
            }
            Message::Report(worker, report) => {
                if let Some(attachment) = self.workers.get_mut(&worker) {
                    attachment.clock = Some((report.clock_ms, Instant::now()));
                }
                if self.scheduler.worker(worker).contact != Contact::Claimed {
                    info!(self.context.log, "worker claimed";
                        "worker" => %self.scheduler.worker(worker).entry.id,
                        "epoch" => self.epoch, "running" => report.running.len());
                }
                self.scheduler.report(worker, &report);
            }
            Message::Silent(worker, error) => {
                self.context.counts.silent_workers.add(1, &[]);
                warn!(self.context.log, "worker silent";
                    "worker" => %self.scheduler.worker(worker).entry.id, "error" => error);
                self.scheduler.mark_silent(worker);
            }
            Message::Lapsed(worker) => {
                warn!(self.context.log, "worker leases expired";
                    "worker" => %self.scheduler.worker(worker).entry.id,
                    "attempts" => self.scheduler.worker(worker).attempts.len());
                self.scheduler.expire_leases(worker);
                if self.scheduler.is_abandoned(worker) {
                    self.scheduler.remove_worker(worker);
                }
            }
            Message::Replaced(worker) => self.scheduler.remove_worker(worker),
            Message::Superseded => self.resigned = true,
            Message::Started(worker, attempt, started, expires_ms) => {
                if started == StartOutcome::Lost {
                    self.context.counts.lost_orders.add(1, &[]);
                }
                self.scheduler
                    .handle_start(worker, attempt, started, expires_ms);
            }
            Message::Registry(entries) => self.scheduler.update_registry(entries),
            // The requester may have gone.
            Message::Dump(reply) => drop(reply.send(self.scheduler.dump())),
        }
    }

    fn call(&mut self, call: Call, reply: oneshot::Sender<Reply>) {
        match call {
            Call::Submit {
                job,
                queue,
                account,
                spec,
            } => {
                if self.scheduler.state(job).is_none() {
                    if !self.authority.holds() {
                        send(reply, Reply::NotLeading);
                        return;
                    }
                    if self.is_store_stalled() {
                        let retry_after_ms = STORE_RETRY_AFTER_MS;
                        send(reply, Reply::Refused { retry_after_ms });
                        return;
                    }
                }
                let call = self.register_call(reply);
                let account = account.map(Name::from);
                self.scheduler
                    .submit(call, job, &Name::from(queue), account, spec);
            }
            Call::Cancel { job } => {
                if self.is_unknown_for_sure(job) {
                    send(reply, Reply::Unknown);
                } else if self.scheduler.state(job).is_none() {
                    send(reply, Reply::NotLeading);
                } else {
                    let call = self.register_call(reply);
                    self.scheduler.cancel(call, job);
                }
            }
            Call::State { job } => {
                let answer = match self.scheduler.state(job) {
                    Some(state) => Reply::State(state),
                    None if self.is_unknown_for_sure(job) => Reply::Unknown,
                    None => Reply::NotLeading,
                };
                send(reply, answer);
            }
            Call::Pending { queue } => {
                send(reply, Reply::Pending(self.scheduler.pending(&queue)));
            }
            Call::Poll { instance, answered } => {
                if let Some((step, advice)) = answered {
                    self.scheduler.handle_advice(step, advice.as_ref());
                }
                let instance = Name::from(instance);
                self.dispatcher.mark_idle(&instance, clock::now());
                self.scheduler
                    .set_advice_instances(self.dispatcher.instances());
                self.polls.push_back(Poll {
                    instance,
                    reply,
                    until: Instant::now() + POLL_WAIT,
                });
            }
            Call::Carry {
                instance,
                link_kbps,
            } => self.wait_for_orders(Name::from(instance), link_kbps, reply),
            Call::Carried { epoch, outcomes } => {
                send(reply, Reply::Noted);
                if epoch == self.epoch {
                    for (number, outcome) in outcomes {
                        self.finish_carried(number, Some(outcome));
                    }
                }
            }
        }
    }

    fn register_call(&mut self, reply: oneshot::Sender<Reply>) -> u64 {
        self.next_call += 1;
        self.calls.insert(self.next_call, reply);
        self.next_call
    }

    /// Tells whether there is no such job. Without its authority, this instance does not know what a
    /// successor has accepted.
    fn is_unknown_for_sure(&self, job: JobId) -> bool {
        self.scheduler.state(job).is_none() && self.authority.holds()
    }

    fn is_store_stalled(&self) -> bool {
        !self.writing.is_empty() && self.write_begun.elapsed() > MAX_WRITE_TIME
    }

    /// Advances the scheduler, carries out its actions and starts the next write.
    fn step(&mut self) {
        let mut actions = Vec::new();
        self.scheduler.advance(clock::now(), &mut actions);
        let mut starts: BTreeMap<StepId, Vec<(usize, Start)>> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Start {
                    worker,
                    attempt,
                    payload,
                    checkpoint,
                    ticket,
                } => {
                    let start = Start {
                        attempt,
                        payload,
                        expires_ms: 0,
                        epoch: self.epoch,
                        checkpoint,
                        ticket,
                    };
                    let step = starts.entry(attempt.task.step).or_default();
                    step.push((worker, start));
                }
                action => self.execute(action),
            }
        }
        for starts in starts.into_values() {
            self.start_step(starts);
        }
        self.answer_polls();
        self.begin_write();
    }

    fn begin_write(&mut self) {
        if self.writer.is_none() {
            return;
        }
        let row_bytes = self.context.settings().row_bytes;
        let mut batch = Batch::default();
        let changed = self
            .scheduler
            .next_batch(|change| batch.add(change, row_bytes));
        if !changed && self.write_begun.elapsed() < HEARTBEAT_INTERVAL {
            return;
        }
        if let Some(writer) = self.writer.take() {
            self.write_begun = Instant::now();
            self.writing.spawn(writer.write(batch));
        }
    }

    /// Handles the end of a write. Returns whether this instance still leads.
    fn written(&mut self, written: Result<(Writer, Outcome), tokio::task::JoinError>) -> bool {
        match written {
            Ok((writer, Outcome::Stored(sent))) => {
                self.authority.extend(sent);
                let seconds = self.write_begun.elapsed().as_secs_f64();
                self.context.counts.writes.record(seconds, &[]);
                self.writer = Some(writer);
                self.scheduler.batch_stored();
                true
            }
            Ok((writer, Outcome::Rejected)) => {
                self.writer = Some(writer);
                self.scheduler.batch_rejected();
                true
            }
            Ok((_, Outcome::Deposed)) => false,
            Err(error) => {
                warn!(self.context.log, "writer task failed"; "error" => %error);
                false
            }
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            // Starts are sent by step.
            Action::Start { .. } => {}
            Action::Stop { worker, attempt } => self.stop(worker, attempt),
            Action::Acknowledge { worker, number } => {
                if let Some(attachment) = self.workers.get(&worker) {
                    attachment.acknowledged.send_if_modified(|known| {
                        let higher = number > *known;
                        *known = number.max(*known);
                        higher
                    });
                }
            }
            Action::Ask(question) => self.dispatcher.add(question),
            Action::Answer { call, answer } => self.answer(call, &answer),
            Action::Attach { worker } => self.attach(worker),
            Action::Detach { worker } => {
                if let Some(attachment) = self.workers.remove(&worker) {
                    attachment.stop.cancel();
                }
            }
            Action::Log(decision) => {
                decision::log(
                    &self.context.log,
                    &self.context.counts,
                    self.epoch,
                    &decision,
                );
            }
            Action::Resign => self.resigned = true,
        }
    }

    fn answer(&mut self, call: u64, answer: &Answer) {
        let Some(reply) = self.calls.remove(&call) else {
            return;
        };
        let answer = match answer {
            Answer::Accepted => Reply::Accepted,
            Answer::Refused(pause) => Reply::Refused {
                retry_after_ms: u64::try_from(pause.as_millis()).unwrap_or(u64::MAX),
            },
            Answer::Cancelled => Reply::Cancelled,
            Answer::Unknown => Reply::Unknown,
            Answer::TooLarge => Reply::TooLarge,
        };
        send(reply, answer);
    }

    fn endpoint(&self, worker: usize) -> Endpoint {
        let entry = &self.scheduler.worker(worker).entry;
        Endpoint {
            id: entry.id.clone(),
            address: entry.address,
        }
    }

    /// Sends the orders of one step, or hands them to an instance that carries them.
    fn start_step(&mut self, starts: Vec<(usize, Start)>) {
        let narrow = self.context.settings().link_kbps < DIRECT_LINK_KBPS;
        let poll = (narrow && self.authority.holds())
            .then(|| self.carriers.choose(starts.len(), clock::now()))
            .flatten()
            .and_then(|carrier| self.carrier_polls.remove(&carrier));
        let Some(poll) = poll else {
            for (worker, start) in starts {
                self.start(worker, start);
            }
            return;
        };
        let mut batch = Orders {
            epoch: self.epoch,
            payload: Name::from(""),
            orders: Vec::with_capacity(starts.len()),
        };
        for (worker, start) in starts {
            batch.payload = start.payload.clone();
            let order = self.carried_order(worker, start, &poll.instance);
            batch.orders.push(order);
        }
        send(poll.reply, Reply::Orders(vec![batch]));
    }

    fn carried_order(&mut self, worker: usize, start: Start, carrier: &Name) -> Order {
        self.next_order += 1;
        let endpoint = self.endpoint(worker);
        // An order without the worker's clock has expired already; the worker refuses it.
        let expires_ms = self.order_expiry(worker).unwrap_or(0);
        let carried = Carried {
            worker,
            attempt: start.attempt,
            expires_ms,
            carrier: carrier.clone(),
            until: Instant::now() + ORDER_TIMEOUT + CARRIER_SLACK,
        };
        self.carried.insert(self.next_order, carried);
        Order {
            number: self.next_order,
            worker: endpoint.id,
            address: endpoint.address,
            attempt: start.attempt,
            expires_ms,
            checkpoint: start.checkpoint,
            ticket: start.ticket,
        }
    }

    /// Handles the outcome of a carried order, or that the carrier did not deliver any in time. The
    /// order may have been carried out then.
    fn finish_carried(&mut self, number: u64, delivered: Option<StartOutcome>) {
        let Some(order) = self.carried.remove(&number) else {
            return;
        };
        let outcome = delivered.unwrap_or(StartOutcome::Lost);
        if outcome == StartOutcome::Lost {
            self.context.counts.lost_orders.add(1, &[]);
        }
        self.carriers
            .mark_done(&order.carrier, delivered.is_none(), clock::now());
        self.scheduler
            .handle_start(order.worker, order.attempt, outcome, order.expires_ms);
    }

    fn expire_carried(&mut self) {
        let now = Instant::now();
        let overdue = self.carried.iter().filter(|(_, order)| order.until <= now);
        let overdue: Vec<u64> = overdue.map(|(number, _)| *number).collect();
        for number in overdue {
            self.finish_carried(number, None);
        }
    }

    fn wait_for_orders(&mut self, instance: Name, link_kbps: u64, reply: oneshot::Sender<Reply>) {
        self.carriers.mark_waiting(&instance, link_kbps);
        let poll = Poll {
            instance: instance.clone(),
            reply,
            until: Instant::now() + carrier::POLL_WAIT,
        };
        self.carrier_polls.insert(instance, poll);
    }

    /// Returns the time of a worker's clock until which it may carry out an order that is sent now,
    /// or `None` if its clock is not known.
    fn order_expiry(&self, worker: usize) -> Option<u64> {
        let (millis, at) = self.workers.get(&worker)?.clock?;
        let since = at.elapsed() + ORDER_VALIDITY;
        Some(millis + u64::try_from(since.as_millis()).unwrap_or(0))
    }

    fn start(&mut self, worker: usize, mut start: Start) {
        let expiry = self.order_expiry(worker);
        let endpoint = self.endpoint(worker);
        let workers = self.context.workers.clone();
        let sender = self.sender.clone();
        let authority = self.authority.clone();
        self.tasks.spawn(async move {
            let attempt = start.attempt;
            let refused = StartOutcome::Refused(azurepath_decide::batch::Refusal::Late);
            let (started, expires_ms) = match expiry {
                Some(expires_ms) if authority.holds() => {
                    start.expires_ms = expires_ms;
                    let started = workers.start(&endpoint, &start, ORDER_TIMEOUT).await;
                    (started, start.expires_ms)
                }
                // Without authority or the worker's clock, no order is sent.
                Some(_) | None => (refused, 0),
            };
            // If the leader has ended, its successor learns from the worker which tasks run.
            let _ = sender.send(Message::Started(worker, attempt, started, expires_ms));
        });
    }

    fn stop(&mut self, worker: usize, attempt: Attempt) {
        let endpoint = self.endpoint(worker);
        let workers = self.context.workers.clone();
        let epoch = self.epoch;
        let authority = self.authority.clone();
        self.tasks.spawn(async move {
            if authority.holds() {
                // The scheduler repeats the order until the worker reports the end.
                let _ = workers
                    .stop(&endpoint, &attempt, epoch, ORDER_TIMEOUT)
                    .await;
            }
        });
    }

    fn attach(&mut self, worker: usize) {
        let (acknowledged, receiver) = watch::channel(0);
        let stop = CancellationToken::new();
        let renewer = Renewer {
            worker,
            endpoint: self.endpoint(worker),
            workers: self.context.workers.clone(),
            epoch: self.epoch,
            lease: self.lease,
            inherited_lease: self.inherited_lease,
            authority: self.authority.clone(),
            acknowledged: receiver,
            leader: self.sender.clone(),
        };
        self.tasks.spawn(renewer.run(stop.clone()));
        let attachment = Attachment {
            stop,
            acknowledged,
            clock: None,
        };
        self.workers.insert(worker, attachment);
    }

    /// Hands waiting questions to the polling instances.
    fn answer_polls(&mut self) {
        let now = clock::now();
        let mut idle = VecDeque::new();
        while self.dispatcher.waiting() > 0
            && let Some(poll) = self.polls.pop_front()
        {
            match self.dispatcher.take(&poll.instance, now) {
                Some(question) => send(poll.reply, Reply::Question(Some(question))),
                None => idle.push_back(poll),
            }
        }
        idle.append(&mut self.polls);
        self.polls = idle;
    }

    fn expire_polls(&mut self) {
        let now = Instant::now();
        while self.polls.front().is_some_and(|poll| poll.until <= now) {
            if let Some(poll) = self.polls.pop_front() {
                send(poll.reply, Reply::Question(None));
            }
        }
        let expired = |_: &Name, poll: &mut Poll| poll.until <= now || poll.reply.is_closed();
        for (instance, poll) in self.carrier_polls.extract_if(.., expired) {
            self.carriers.mark_gone(&instance);
            send(poll.reply, Reply::Orders(Vec::new()));
        }
    }
}

/// Sends a reply, unless the caller has gone.
fn send(reply: oneshot::Sender<Reply>, answer: Reply) {
    let _ = reply.send(answer);
}
