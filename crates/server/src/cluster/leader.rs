//! The task that drives the scheduler while this instance leads.

mod call;
mod handle;
mod stopwatch;
mod write;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::advice::Dispatcher;
use azurepath_decide::batch::config::Config;
use azurepath_decide::batch::fleet::Contact;
use azurepath_decide::batch::scheduler::{Scheduler, Setup};
use azurepath_decide::batch::store_pace::StorePace;
use azurepath_decide::batch::tenure::Tenure;
use azurepath_decide::batch::{Action, StartOutcome, StepId};
use azurepath_decide::time::Time;
use azurepath_platform::worker::Start;
use azurepath_wire::batch::{News, Reply};
use opentelemetry::KeyValue;
use slog::{info, warn};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use self::call::Poll;
pub(super) use self::handle::{Handle, Message};
use self::stopwatch::Stopwatch;
use super::clock::{self, Authority};
use super::election::LEADER_TIMEOUT;
use super::evacuation::Evacuation;
use super::links::{Links, OrderOutcome, Started};
use super::peer::Pending;
use super::recovery::Recovered;
use super::renewal;
use super::writer::{Outcome, Writer};
use super::{Context, decision, watch as feed};
use crate::metrics::load::Activity;

/// How long the leader may give orders after its last write. Together with the last lease, tasks
/// survive outages of the store of twice this time. A successor waits as long for workers that it
/// can't reach.
pub(super) const AUTHORITY_DURATION: Duration = Duration::from_secs(4);

/// The maximum time between two writes, by which the other instances see that the leader is alive.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

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

/// How long after its last call another instance counts as one that may lead: the longest time
/// between two calls of an instance and that of a call.
const PEER_TIMEOUT: Duration = Duration::from_secs(7);

/// How long the end of the leadership waits for the current write.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(800);

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
    /// The leadership was released since the machine is too slow.
    Slow,
    /// What is stored can't be read.
    Stalled,
    /// The leader's task failed.
    Failed,
}

/// The task that drives the scheduler.
pub(super) struct Leader {
    context: Context,
    scheduler: Scheduler,
    /// The version of the store up to which the scheduler knows the evacuations.
    evacuation_version: u64,
    authority: Arc<Authority>,
    sender: mpsc::UnboundedSender<Message>,
    links: Links,
    events: mpsc::UnboundedReceiver<renewal::Event>,
    outcomes: mpsc::UnboundedReceiver<OrderOutcome>,
    calls: BTreeMap<u64, oneshot::Sender<Reply>>,
    next_call: u64,
    dispatcher: Dispatcher,
    polls: VecDeque<Poll>,
    tasks: JoinSet<()>,
    writer: Option<Writer>,
    writing: JoinSet<(Writer, Outcome)>,
    write_begun: Instant,
    /// The rows of the present write, and whether it left others waiting.
    write_rows: (usize, bool),
    store_pace: StorePace,
    epoch: u64,
    resigned: bool,
    /// Whether it was logged that another instance may lead by now.
    unconfirmed: bool,
    stopwatch: Stopwatch,
    tenure: Tenure,
    /// When another instance last called.
    peer_called: Option<Instant>,
}

impl Leader {
    /// Creates the task of an instance that has just claimed the leadership by a write sent at
    /// `sent`. The previous leader may still give orders for `authority_left`.
    pub(super) fn new(
        context: Context,
        writer: Writer,
        sent: Time,
        authority_left: Duration,
        tenure: Tenure,
        config: Arc<Config>,
        recovered: Recovered,
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
            gang_wait: context.settings().gang_wait,
            remote_slowdown: context.settings().remote_slowdown,
            longest_lease: renewal::expiry_bound(context.settings().lease),
            takeover_grace: if epoch == 1 {
                Duration::ZERO
            } else {
                inherited_lease
            },
        };
        let handle = Handle::new(sender.clone());
        let authority = Arc::new(Authority::new(sent, AUTHORITY_DURATION));
        let (event_sender, events) = mpsc::unbounded_channel();
        let (outcome_sender, outcomes) = mpsc::unbounded_channel();
        let links = Links::new(
            context.clone(),
            epoch,
            lease,
            inherited_lease,
            authority.clone(),
            event_sender,
            outcome_sender,
        );
        let Recovered { stored, evacuation } = recovered;
        let mut scheduler = Scheduler::new(setup, now, config, stored);
        scheduler.evacuate(&evacuation.domains);
        let leader = Leader {
            scheduler,
            evacuation_version: evacuation.version,
            authority,
            sender,
            links,
            events,
            outcomes,
            calls: BTreeMap::new(),
            next_call: 0,
            dispatcher: Dispatcher::default(),
            polls: VecDeque::new(),
            tasks: JoinSet::new(),
            writer: Some(writer),
            writing: JoinSet::new(),
            write_begun: Instant::now(),
            write_rows: (0, false),
            store_pace: StorePace::default(),
            epoch,
            resigned: false,
            unconfirmed: false,
            stopwatch: Stopwatch::new(context.clone()),
            tenure,
            peer_called: None,
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
        let _leading = self.context.pending.leader.enter("leading");
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
        let mut evacuation = self.context.evacuation.clone();
        // The stored workers are attached before other instances ask for them.
        self.step();
        let reason = loop {
            tokio::select! {
                () = leaving.cancelled() => break EndReason::Released,
                () = &mut term_end => break EndReason::Yielded,
                message = receiver.recv() => {
                    self.stopwatch.resume();
                    if let Some(message) = message {
                        self.handle(message);
                    }
                    for _ in 0..MAX_MESSAGES_PER_STEP {
                        let Ok(message) = receiver.try_recv() else {
                            break;
                        };
                        self.handle(message);
                    }
                    self.stopwatch.lap(Activity::Calls);
                }
                Some(event) = self.events.recv() => {
                    self.stopwatch.resume();
                    self.handle_event(event);
                    for _ in 0..MAX_MESSAGES_PER_STEP {
                        let Ok(event) = self.events.try_recv() else {
                            break;
                        };
                        self.handle_event(event);
                    }
                    self.stopwatch.lap(Activity::Events);
                }
                Some(outcome) = self.outcomes.recv() => {
                    self.stopwatch.resume();
                    self.handle_outcome(outcome);
                    while let Ok(outcome) = self.outcomes.try_recv() {
                        self.handle_outcome(outcome);
                    }
                    self.stopwatch.lap(Activity::Outcomes);
                }
                Some(written) = self.writing.join_next() => {
                    self.stopwatch.resume();
                    if !self.written(written) {
                        break EndReason::Deposed;
                    }
                    self.stopwatch.lap(Activity::Writes);
                }
                Some(_) = self.tasks.join_next() => continue,
                true = self.links.join_next() => continue,
                Ok(()) = config.changed() => {
                    if let Some(config) = config.borrow_and_update().clone() {
                        self.scheduler.configure(config);
                    }
                }
                Ok(()) = evacuation.changed() => {
                    let evacuation = evacuation.borrow_and_update().clone();
                    self.evacuate(&evacuation);
                }
                due = tick.tick() => {
                    let delay = due.elapsed();
                    self.stopwatch.add_delay(delay);
                    if self.tenure.record(delay, clock::now()) && self.has_peers() {
                        break EndReason::Slow;
                    }
                    if self.stopwatch.is_due() {
                        let effort = self.scheduler.take_effort();
                        let rows = self.scheduler.unstored_rows();
                        self.stopwatch.report(self.epoch, effort, rows);
                    }
                    self.observe_confirmation();
                    self.expire_polls();
                    self.links.tick();
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
        let pending = self.context.pending.leader.clone();
        if reason != EndReason::Deposed {
            let _guard = pending.enter("write");
            let wait = self.writing.join_next();
            if let Ok(Some(written)) = tokio::time::timeout(LAST_WRITE_TIMEOUT, wait).await {
                self.written(written);
                let mut actions = Vec::new();
                self.scheduler.advance(clock::now(), &mut actions);
                for action in actions {
                    if let Action::Answer { call, answer } = action {
                        self.answer(call, &answer);
                    }
                }
            }
            if let Some(mut writer) = self.writer.take() {
                let _guard = pending.enter("release");
                if reason == EndReason::Slow {
                    writer.yield_leading();
                }
                writer.release().await;
            }
        }
        self.writing.shutdown().await;
        let _guard = pending.enter("calls");
        self.links.stop().await;
        while self.tasks.join_next().await.is_some() {}
    }

    /// Logs when another instance may lead by now, since no write has been confirmed for a while, and
    /// when a write shows that this one still does.
    fn observe_confirmation(&mut self) {
        let unconfirmed_for = self.authority.unconfirmed_for();
        let unconfirmed = unconfirmed_for >= LEADER_TIMEOUT;
        if unconfirmed == self.unconfirmed {
            return;
        }
        self.unconfirmed = unconfirmed;
        if unconfirmed {
            warn!(self.context.log, "leadership unconfirmed"; "epoch" => self.epoch,
                "confirmed_ms" => unconfirmed_for.as_millis() as u64,
                "authority_ms" => self.authority.remaining().as_millis() as u64);
        } else {
            info!(self.context.log, "leadership confirmed"; "epoch" => self.epoch);
        }
    }

    /// Applies evacuations that the feed has read, unless this leader has read later ones itself.
    fn evacuate(&mut self, evacuation: &Evacuation) {
        if evacuation.version >= self.evacuation_version {
            self.evacuation_version = evacuation.version;
            self.scheduler.evacuate(&evacuation.domains);
        }
    }

    /// Tells whether there are other instances that may lead.
    fn has_peers(&self) -> bool {
        self.peer_called
            .is_some_and(|at| at.elapsed() < PEER_TIMEOUT)
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Call(pending) => {
                let Pending {
                    call,
                    reply,
                    received,
                } = *pending;
                self.stopwatch
                    .add_call((&call).into(), received.elapsed(), reply.is_closed());
                self.call(call, reply);
            }
            Message::Registry(entries) => self.scheduler.update_registry(entries),
            // The requester may have gone.
            Message::Dump(reply) => drop(reply.send(self.scheduler.dump())),
        }
    }

    fn handle_event(&mut self, event: renewal::Event) {
        let Some(worker) = self.links.worker_of(&event) else {
            return;
        };
        match event.news {
            News::Report(report) => {
                if self.scheduler.worker(worker).contact != Contact::Claimed {
                    info!(self.context.log, "worker claimed";
                        "worker" => %self.scheduler.worker(worker).entry.id,
                        "epoch" => self.epoch, "running" => report.running.len());
                }
                self.scheduler.report(worker, &report);
            }
            News::Silent(error) => {
                self.context.counts.silent_workers.add(1, &[]);
                warn!(self.context.log, "worker silent";
                    "worker" => %self.scheduler.worker(worker).entry.id, "error" => error);
                self.scheduler.mark_silent(worker);
            }
            News::Lapsed => {
                let attempts = self.scheduler.worker(worker).attempts.len();
                if attempts > 0 || self.scheduler.worker(worker).contact == Contact::Silent {
                    warn!(self.context.log, "worker leases expired";
                        "worker" => %self.scheduler.worker(worker).entry.id,
                        "attempts" => attempts,
                        "confirmed_ms" => self.authority.unconfirmed_for().as_millis() as u64,
                        "age_ms" => clock::now().since(event.at).as_millis() as u64);
                }
                self.scheduler.expire_leases(worker);
                if self.scheduler.is_abandoned(worker) {
                    self.scheduler.remove_worker(worker);
                }
            }
            News::Replaced => self.scheduler.remove_worker(worker),
            News::Superseded => self.resigned = true,
        }
    }

    fn handle_outcome(&mut self, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Started(started) => self.handle_started(started),
            OrderOutcome::Settled(worker, attempts, report) => {
                self.scheduler.handle_settled(worker, &attempts, &report);
            }
        }
    }

    fn handle_started(&mut self, (worker, attempt, outcome, expires_ms): Started) {
        match outcome {
            StartOutcome::Running => {}
            StartOutcome::Lost => self.context.counts.lost_orders.add(1, &[]),
            StartOutcome::Refused(refusal) => {
                let kind = KeyValue::new("kind", refusal.to_string());
                self.context.counts.refused_orders.add(1, &[kind]);
            }
        }
        self.scheduler
            .handle_start(worker, attempt, outcome, expires_ms);
    }

    /// Advances the scheduler, carries out its actions and starts the next write.
    fn step(&mut self) {
        self.stopwatch.resume();
        self.scheduler.suspend(!self.authority.holds());
        if let Some((wait, pause)) = self.store_pace.outage(self.writing_time()) {
            self.scheduler.refuse_unwritten(clock::now(), wait, pause);
        }
        let mut actions = Vec::new();
        self.scheduler.advance(clock::now(), &mut actions);
        let took = self.stopwatch.lap(Activity::Placement);
        self.scheduler.note_advance_time(took);
        let mut starts: BTreeMap<StepId, Vec<(usize, Start)>> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Start {
                    worker,
                    attempt,
                    payload,
                    checkpoint,
                    ticket,
                    repeated,
                } => {
                    let start = Start {
                        attempt,
                        payload,
                        expires_ms: 0,
                        epoch: self.epoch,
                        checkpoint,
                        ticket,
                        repeated,
                    };
                    let step = starts.entry(attempt.task.step).or_default();
                    step.push((worker, start));
                }
                action => self.execute(action),
            }
        }
        self.stopwatch.lap(Activity::Actions);
        for starts in starts.into_values() {
            self.links.start_step(starts);
        }
        self.stopwatch.lap(Activity::Orders);
        self.answer_polls();
        self.stopwatch.lap(Activity::Questions);
        self.begin_write();
        self.stopwatch.lap(Activity::Writes);
    }

    fn execute(&mut self, action: Action) {
        match action {
            // Starts are sent by step.
            Action::Start { .. } => {}
            Action::Stop { worker, attempt } => self.links.stop_run(worker, attempt),
            Action::Settle { worker, attempts } => self.links.settle_runs(worker, attempts),
            Action::Acknowledge { worker, number } => self.links.acknowledge(worker, number),
            Action::Ask(question) => self.dispatcher.add(question),
            Action::Answer { call, answer } => self.answer(call, &answer),
            Action::Attach { worker } => {
                let entry = &self.scheduler.worker(worker).entry;
                self.links.attach(worker, entry);
            }
            Action::Detach { worker } => self.links.detach(worker),
            Action::Log(decision) => {
                decision::log(
                    &self.context.log,
                    &self.context.counts,
                    self.epoch,
                    self.authority.unconfirmed_for(),
                    &decision,
                );
            }
            Action::Resign => self.resigned = true,
        }
    }
}
