//! The task that drives the scheduler while this instance leads.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::advice::Dispatcher;
use azurepath_decide::batch::config::Config;
use azurepath_decide::batch::fleet::{Contact, Entry};
use azurepath_decide::batch::record::{Batch, Stored};
use azurepath_decide::batch::report::Report;
use azurepath_decide::batch::scheduler::{Dump, Scheduler, Setup};
use azurepath_decide::batch::{Action, Answer, Attempt, StartOutcome};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use azurepath_platform::worker::{Endpoint, Start};
use azurepath_wire::batch::{Call, Reply};
use slog::{info, warn};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::clock::{self, Authority};
use super::peer::Pending;
use super::renewal::{self, Renewer};
use super::writer::{self, Outcome, Writer};
use super::{Context, note, watch as feed};

/// How long the leader may give orders after its last write. With the lease that it gave last, tasks
/// outlast outages of the store of twice this time; a successor waits as long for workers that it
/// can't reach.
pub(super) const AUTHORITY: Duration = Duration::from_secs(4);

/// The least time between two writes, so that the others see that the leader lives.
const BEAT: Duration = Duration::from_millis(400);

/// How often the scheduler is told the time.
const TICK: Duration = Duration::from_millis(20);

/// Messages that are taken in before the scheduler places.
const BURST: usize = 256;

/// The part of the longest lease that is asked for. The rest is left for workers whose clocks run
/// slow.
const LEASE_PART: f64 = 0.75;

/// The longest lease that is asked for: longer than two changes of the leader in a row take. Tasks
/// that may run on a worker out of reach wait for it to expire.
const LONGEST_LEASE: Duration = Duration::from_secs(4);

/// Until when a worker may carry out an order to start, from when it is sent.
const ORDER_VALIDITY: Duration = Duration::from_millis(1_500);

/// How long an answer to an order is waited for: several round trips between two regions.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a request for work waits at the leader.
const WORK_WAIT: Duration = Duration::from_millis(1_000);

/// How long a write may be under way before new jobs are refused at once: their clients would wait
/// for nothing.
const WRITE_PATIENCE: Duration = Duration::from_millis(800);

/// When clients may come back whose jobs could not be stored.
const STORE_PAUSE_MS: u64 = 1_000;

/// A message to the leader.
#[derive(Debug)]
pub(super) enum Message {
    /// A call of a client or another instance.
    Call(Box<Pending>),
    /// A worker reports.
    Report(usize, Report),
    /// A worker does not answer.
    Silent(usize, String),
    /// The lease of all that ran on a worker has surely expired.
    Lapsed(usize),
    /// Another worker listens at a worker's address.
    Replaced(usize),
    /// A worker obeys a later leader.
    Superseded,
    /// What became of an order to start.
    Started(usize, Attempt, StartOutcome, u64),
    /// All entries of the registry.
    Registry(Vec<Entry>),
    /// Asks for the state.
    Dump(oneshot::Sender<Dump>),
}

/// A way to talk to the leader.
#[derive(Clone, Debug)]
pub(super) struct Handle {
    sender: mpsc::UnboundedSender<Message>,
}

impl Handle {
    /// Calls the leader; `None` where it has ended.
    pub(super) async fn call(&self, call: Call) -> Option<Reply> {
        let (sender, receiver) = oneshot::channel();
        self.sender
            .send(Message::Call(Box::new((call, sender))))
            .ok()?;
        receiver.await.ok()
    }

    /// Returns the state in numbers; `None` where the leader has ended.
    pub(super) async fn dump(&self) -> Option<Dump> {
        let (sender, receiver) = oneshot::channel();
        self.sender.send(Message::Dump(sender)).ok()?;
        receiver.await.ok()
    }
}

/// Why the leader has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Ended {
    /// Another instance leads.
    Deposed,
    /// The process stops, and the seat was given up.
    Released,
    /// The seat was given up for an instance nearer to the store.
    Yielded,
}

/// An instance that asks for work.
struct Asker {
    instance: Name,
    reply: oneshot::Sender<Reply>,
    until: Instant,
}

/// A worker that is renewed.
struct Renewed {
    stop: CancellationToken,
    acknowledged: watch::Sender<u64>,
    /// The worker's clock, and when it was read.
    clock: Option<(u64, Instant)>,
}

/// The state of the task.
pub(super) struct Leader {
    context: Context,
    scheduler: Scheduler,
    authority: Arc<Authority>,
    sender: mpsc::UnboundedSender<Message>,
    calls: BTreeMap<u64, oneshot::Sender<Reply>>,
    next_call: u64,
    dispatcher: Dispatcher,
    askers: VecDeque<Asker>,
    workers: BTreeMap<usize, Renewed>,
    tasks: JoinSet<()>,
    writer: Option<Writer>,
    writing: JoinSet<(Writer, Outcome)>,
    write_begun: Instant,
    epoch: u64,
    lease: Duration,
    inherited: Duration,
    resigned: bool,
}

impl Leader {
    /// Makes the task of a leader that has just taken its seat; the one before may give orders for
    /// `authority_left`.
    pub(super) fn new(
        context: Context,
        writer: Writer,
        sent: Time,
        authority_left: Duration,
        config: Arc<Config>,
        stored: Stored,
    ) -> (Leader, Handle, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let lease = context.settings.lease.mul_f64(LEASE_PART);
        let lease = lease.min(LONGEST_LEASE);
        let inherited = authority_left + renewal::surely(lease);
        let epoch = writer.seat().epoch;
        let now = clock::now();
        let setup = Setup {
            epoch,
            origin_ms: clock::wall_ms().saturating_sub(now.0 / 1_000),
            takeover_grace: if epoch == 1 {
                Duration::ZERO
            } else {
                inherited
            },
        };
        let handle = Handle {
            sender: sender.clone(),
        };
        let leader = Leader {
            scheduler: Scheduler::new(setup, now, config, stored),
            authority: Arc::new(Authority::new(sent, AUTHORITY)),
            sender,
            calls: BTreeMap::new(),
            next_call: 0,
            dispatcher: Dispatcher::default(),
            askers: VecDeque::new(),
            workers: BTreeMap::new(),
            tasks: JoinSet::new(),
            writer: Some(writer),
            writing: JoinSet::new(),
            write_begun: Instant::now(),
            epoch,
            lease,
            inherited,
            resigned: false,
            context,
        };
        (leader, handle, receiver)
    }

    /// Leads until another instance does, `leaving`, or the end of its term.
    pub(super) async fn run(
        mut self,
        mut receiver: mpsc::UnboundedReceiver<Message>,
        leaving: &CancellationToken,
        term: Option<Duration>,
    ) -> Ended {
        let halt = CancellationToken::new();
        let roll = feed::workers(self.context.clone(), self.sender.clone(), halt.clone());
        self.tasks.spawn(roll);
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let over = async {
            match term {
                Some(term) => tokio::time::sleep(term).await,
                None => std::future::pending().await,
            }
        };
        tokio::pin!(over);
        let mut config = self.context.config.clone();
        let ended = loop {
            tokio::select! {
                () = leaving.cancelled() => break Ended::Released,
                () = &mut over => break Ended::Yielded,
                message = receiver.recv() => {
                    if let Some(message) = message {
                        self.take(message);
                    }
                    for _ in 0..BURST {
                        let Ok(message) = receiver.try_recv() else {
                            break;
                        };
                        self.take(message);
                    }
                }
                Some(written) = self.writing.join_next() => {
                    if !self.written(written) {
                        break Ended::Deposed;
                    }
                }
                Some(_) = self.tasks.join_next() => continue,
                Ok(()) = config.changed() => {
                    if let Some(config) = config.borrow_and_update().clone() {
                        self.scheduler.configure(config);
                    }
                }
                _ = tick.tick() => self.expire_askers(),
            }
            self.step();
            if self.resigned {
                break Ended::Deposed;
            }
        };
        self.end(ended, &halt).await;
        ended
    }

    /// Stops giving orders, waits for the write that is under way and gives the seat up.
    async fn end(&mut self, ended: Ended, halt: &CancellationToken) {
        self.authority.end();
        halt.cancel();
        for worker in self.workers.values() {
            worker.stop.cancel();
        }
        if ended != Ended::Deposed {
            let wait = self.writing.join_next();
            if let Ok(Some(written)) = tokio::time::timeout(WRITE_PATIENCE, wait).await {
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

    fn take(&mut self, message: Message) {
        match message {
            Message::Call(call) => {
                let (call, reply) = *call;
                self.call(call, reply);
            }
            Message::Report(worker, report) => {
                if let Some(renewed) = self.workers.get_mut(&worker) {
                    renewed.clock = Some((report.clock_ms, Instant::now()));
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
                warn!(self.context.log, "worker written off";
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
            // Whoever asked may have gone.
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
                if self.is_store_away() && self.scheduler.state(job).is_none() {
                    let retry_after_ms = STORE_PAUSE_MS;
                    send(reply, Reply::Refused { retry_after_ms });
                    return;
                }
                let call = self.keep(reply);
                let account = account.map(Name::from);
                self.scheduler
                    .submit(call, job, &Name::from(queue), account, spec);
            }
            Call::Cancel { job } => {
                let call = self.keep(reply);
                self.scheduler.cancel(call, job);
            }
            Call::State { job } => {
                let state = self.scheduler.state(job);
                send(reply, state.map_or(Reply::Unknown, Reply::State));
            }
            Call::Pending { queue } => {
                send(reply, Reply::Pending(self.scheduler.pending(&queue)));
            }
            Call::Work { instance, answered } => {
                if let Some((step, advice)) = answered {
                    self.scheduler.handle_advice(step, advice.as_ref());
                }
                let instance = Name::from(instance);
                self.dispatcher.mark_idle(&instance, clock::now());
                self.scheduler
                    .set_advice_instances(self.dispatcher.instances());
                self.askers.push_back(Asker {
                    instance,
                    reply,
                    until: Instant::now() + WORK_WAIT,
                });
            }
        }
    }

    fn keep(&mut self, reply: oneshot::Sender<Reply>) -> u64 {
        self.next_call += 1;
        self.calls.insert(self.next_call, reply);
        self.next_call
    }

    fn is_store_away(&self) -> bool {
        !self.writing.is_empty() && self.write_begun.elapsed() > WRITE_PATIENCE
    }

    /// Advances the scheduler, carries out its actions and begins the next write.
    fn step(&mut self) {
        let mut actions = Vec::new();
        self.scheduler.advance(clock::now(), &mut actions);
        for action in actions {
            self.act(action);
        }
        self.serve_askers();
        self.begin_write();
    }

    fn begin_write(&mut self) {
        if self.writer.is_none() {
            return;
        }
        let batch = match self.scheduler.next_batch(writer::MOST) {
            Some(batch) => batch,
            None if self.write_begun.elapsed() >= BEAT => Batch::default(),
            None => return,
        };
        if let Some(writer) = self.writer.take() {
            self.write_begun = Instant::now();
            self.writing.spawn(writer.write(batch));
        }
    }

    /// Takes in the end of a write; returns whether this instance still leads.
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
            Ok((_, Outcome::Deposed)) => false,
            Err(error) => {
                warn!(self.context.log, "the writer has failed"; "error" => %error);
                false
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Start {
                worker,
                attempt,
                payload,
                checkpoint,
                ticket,
            } => self.start(
                worker,
                Start {
                    attempt,
                    payload,
                    expires_ms: 0,
                    epoch: self.epoch,
                    checkpoint,
                    ticket,
                },
            ),
            Action::Stop { worker, attempt } => self.stop(worker, attempt),
            Action::Acknowledge { worker, number } => {
                if let Some(renewed) = self.workers.get(&worker) {
                    renewed.acknowledged.send_if_modified(|known| {
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
                if let Some(renewed) = self.workers.remove(&worker) {
                    renewed.stop.cancel();
                }
            }
            Action::Log(note) => {
                note::write(&self.context.log, &self.context.counts, self.epoch, &note);
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

    fn start(&mut self, worker: usize, mut start: Start) {
        let clock = self.workers.get(&worker).and_then(|renewed| renewed.clock);
        let endpoint = self.endpoint(worker);
        let workers = self.context.workers.clone();
        let sender = self.sender.clone();
        let authority = self.authority.clone();
        self.tasks.spawn(async move {
            let attempt = start.attempt;
            let refused = StartOutcome::Refused(azurepath_decide::batch::Refusal::Late);
            let (started, expires_ms) = match clock {
                Some((millis, at)) if authority.holds() => {
                    let since = at.elapsed() + ORDER_VALIDITY;
                    start.expires_ms = millis + u64::try_from(since.as_millis()).unwrap_or(0);
                    let started = workers.start(&endpoint, &start, ORDER_TIMEOUT).await;
                    (started, start.expires_ms)
                }
                // Without authority or the worker's clock, nothing is sent.
                Some(_) | None => (refused, 0),
            };
            // Where the leader has ended, its successor finds what runs.
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
                // The scheduler orders it again until it sees the end.
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
            inherited: self.inherited,
            authority: self.authority.clone(),
            acknowledged: receiver,
            leader: self.sender.clone(),
        };
        self.tasks.spawn(renewer.run(stop.clone()));
        let renewed = Renewed {
            stop,
            acknowledged,
            clock: None,
        };
        self.workers.insert(worker, renewed);
    }

    /// Gives waiting questions to instances that have nothing to ask.
    fn serve_askers(&mut self) {
        let now = clock::now();
        let mut idle = VecDeque::new();
        while self.dispatcher.waiting() > 0
            && let Some(asker) = self.askers.pop_front()
        {
            match self.dispatcher.take(&asker.instance, now) {
                Some(question) => send(asker.reply, Reply::Work(Some(question))),
                None => idle.push_back(asker),
            }
        }
        idle.append(&mut self.askers);
        self.askers = idle;
    }

    fn expire_askers(&mut self) {
        let now = Instant::now();
        while self.askers.front().is_some_and(|asker| asker.until <= now) {
            if let Some(asker) = self.askers.pop_front() {
                send(asker.reply, Reply::Work(None));
            }
        }
    }
}

/// Replies; a caller that has gone needs no reply.
fn send(reply: oneshot::Sender<Reply>, answer: Reply) {
    let _ = reply.send(answer);
}
