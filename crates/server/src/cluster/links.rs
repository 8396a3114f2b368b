//! The ways from the leader to the workers: its own calls, or other instances that carry them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::carrier::{Capacity, Carriers};
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::{Attempt, Refusal, StartOutcome};
use azurepath_decide::name::{Map, Name};
use azurepath_decide::time::Time;
use azurepath_platform::worker::{Endpoint, Start};
use azurepath_wire::batch::{self as wire, News, Order, Orders, Relay, RelayChange, Reply};
use slog::info;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Context;
use super::carrier::{self, MAX_QUEUE_TIME, ORDER_TIMEOUT};
use super::clock::{self, Authority};
use super::relay::{CALL_TIMEOUT, MAX_GRANT};
use super::renewal::{self, Event, MAX_CLOCK_DRIFT, Renewer};

/// How long after it was sent a worker may carry out an order to start.
const ORDER_VALIDITY: Duration = Duration::from_millis(1_500);

/// How long the outcome of an order that another instance carries may take beyond the worker's
/// answer: the ways from and to the instance, and the wait in it.
const CARRIER_SLACK: Duration = MAX_QUEUE_TIME.saturating_add(Duration::from_millis(600));

/// How long a new leader waits for instances that renew workers before it does so itself.
const CARRIER_WAIT: Duration = Duration::from_millis(600);

/// The most workers that change from the leader to another instance at a time.
const MAX_MOVES: usize = 20;

/// The outcome of an order to start: worker, attempt, outcome, and the order's expiry by the
/// worker's clock in milliseconds.
pub(super) type Started = (usize, Attempt, StartOutcome, u64);

/// A worker whose lease is renewed.
struct Link {
    endpoint: Endpoint,
    failure_domain: Name,
    /// The number under which it is renewed; a new one with each change of who renews it.
    serial: u64,
    /// The number of the last event under this serial that was handled.
    last_event: u64,
    renewal: Renewal,
    /// The number up to which its ends are stored.
    acknowledged: u64,
    /// The worker's clock in milliseconds, and when it was read.
    clock: Option<(u64, Instant)>,
    /// Until when leases may last that others have renewed before.
    inherited_until: Instant,
    /// When an order to start was last sent, or handed to another instance.
    ordered: Option<Time>,
}

impl Link {
    /// Tells whether all leases had expired if the renewer's own had at that time. An order to start
    /// extends them as well.
    fn surely_lapsed(&self, at: Time) -> bool {
        let bound = renewal::expiry_bound(ORDER_VALIDITY);
        self.ordered
            .is_none_or(|ordered| ordered.after(bound) <= at)
    }

    /// Begins a renewal under a new number.
    fn begin(&mut self, serial: u64) {
        self.serial = serial;
        self.last_event = 0;
    }

    /// Notes the worker's clock in a report. A report that was long under way shows less than the
    /// clock has by now, so the earlier reading counts if it leads to a later time.
    fn read_clock(&mut self, millis: u64) {
        let now = Instant::now();
        if self.clock_at(now).is_none_or(|expected| millis >= expected) {
            self.clock = Some((millis, now));
        }
    }

    /// Returns what the worker's clock surely shows.
    fn clock_at(&self, now: Instant) -> Option<u64> {
        let (millis, at) = self.clock?;
        let elapsed = now.saturating_duration_since(at).div_f64(MAX_CLOCK_DRIFT);
        Some(millis + u64::try_from(elapsed.as_millis()).unwrap_or(0))
    }
}

/// Who renews a worker.
enum Renewal {
    /// Nobody yet.
    None,
    /// The leader.
    Own {
        stop: CancellationToken,
        acknowledged: watch::Sender<u64>,
    },
    /// Another instance.
    Carried(Name),
}

/// The changes that an instance has not confirmed yet.
#[derive(Default)]
struct Outbox {
    last: u64,
    changes: VecDeque<(u64, RelayChange)>,
}

impl Outbox {
    fn push(&mut self, change: RelayChange) {
        self.last += 1;
        self.changes.push_back((self.last, change));
    }
}

/// An instance's poll for orders that waits for its reply.
struct Poll {
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

/// The ways to all workers.
pub(super) struct Links {
    context: Context,
    epoch: u64,
    lease: Duration,
    authority: Arc<Authority>,
    begun: Instant,
    inherited_lease: Duration,
    news: mpsc::UnboundedSender<Event>,
    started: mpsc::UnboundedSender<Started>,
    tasks: JoinSet<()>,
    workers: BTreeMap<usize, Link>,
    by_serial: Map<u64, usize>,
    last_serial: u64,
    /// The workers that nobody renews yet.
    unattached: BTreeSet<usize>,
    carriers: Carriers,
    outboxes: BTreeMap<Name, Outbox>,
    /// The last call of each instance that renews workers.
    last_calls: BTreeMap<Name, wire::Sequence>,
    polls: BTreeMap<Name, Poll>,
    /// Orders for instances that have not polled again yet.
    queued: BTreeMap<Name, Vec<Orders>>,
    carried: BTreeMap<u64, Carried>,
    last_order: u64,
}

impl Links {
    /// Creates the ways of a leader. Leases that earlier leaders have renewed last up to
    /// `inherited_lease`.
    pub(super) fn new(
        context: Context,
        epoch: u64,
        lease: Duration,
        inherited_lease: Duration,
        authority: Arc<Authority>,
        news: mpsc::UnboundedSender<Event>,
        started: mpsc::UnboundedSender<Started>,
    ) -> Links {
        Links {
            context,
            epoch,
            lease,
            authority,
            begun: Instant::now(),
            inherited_lease,
            news,
            started,
            tasks: JoinSet::new(),
            workers: BTreeMap::new(),
            by_serial: Map::default(),
            last_serial: 0,
            unattached: BTreeSet::new(),
            carriers: Carriers::default(),
            outboxes: BTreeMap::new(),
            last_calls: BTreeMap::new(),
            polls: BTreeMap::new(),
            queued: BTreeMap::new(),
            carried: BTreeMap::new(),
            last_order: 0,
        }
    }

    /// Stops all own calls.
    pub(super) async fn stop(&mut self) {
        for link in self.workers.values() {
            if let Renewal::Own { stop, .. } = &link.renewal {
                stop.cancel();
            }
        }
        while self.tasks.join_next().await.is_some() {}
    }

    /// Waits for a call to end, so that ended calls take no memory.
    pub(super) async fn join_next(&mut self) -> bool {
        self.tasks.join_next().await.is_some()
    }

    /// Begins to renew a worker.
    pub(super) fn attach(&mut self, worker: usize, entry: &Entry) {
        let link = Link {
            endpoint: Endpoint {
                id: entry.id.clone(),
                address: entry.address,
            },
            failure_domain: entry.failure_domain.clone(),
            serial: 0,
            last_event: 0,
            renewal: Renewal::None,
            acknowledged: 0,
            clock: None,
            inherited_until: self.begun + self.inherited_lease,
            ordered: None,
        };
        self.workers.insert(worker, link);
        self.unattached.insert(worker);
    }

    /// Stops renewing a worker.
    pub(super) fn detach(&mut self, worker: usize) {
        self.release(worker);
        self.unattached.remove(&worker);
        self.workers.remove(&worker);
    }

    /// Ends the present renewal of a worker.
    fn release(&mut self, worker: usize) {
        let Some(link) = self.workers.get_mut(&worker) else {
            return;
        };
        self.by_serial.remove(&link.serial);
        match std::mem::replace(&mut link.renewal, Renewal::None) {
            Renewal::None => return,
            Renewal::Own { stop, .. } => stop.cancel(),
            Renewal::Carried(instance) => {
                self.carriers.unassign(&instance);
                if let Some(outbox) = self.outboxes.get_mut(&instance) {
                    outbox.push(RelayChange::Detach(link.serial));
                }
            }
        }
        // The former renewer may have extended the lease until its grant ended.
        let until = Instant::now() + MAX_GRANT + renewal::expiry_bound(self.lease);
        link.inherited_until = link.inherited_until.max(until);
        self.unattached.insert(worker);
    }

    /// Allows a worker to forget its ends up to a number.
    pub(super) fn acknowledge(&mut self, worker: usize, number: u64) {
        let Some(link) = self.workers.get_mut(&worker) else {
            return;
        };
        if number <= link.acknowledged {
            return;
        }
        link.acknowledged = number;
        match &link.renewal {
            Renewal::None => {}
            Renewal::Own { acknowledged, .. } => drop(acknowledged.send_replace(number)),
            Renewal::Carried(instance) => {
                if let Some(outbox) = self.outboxes.get_mut(instance) {
                    outbox.push(RelayChange::Acknowledge(link.serial, number));
                }
            }
        }
    }

    /// Returns the worker that an event is about. Returns `None` if someone else renews it by now, if
    /// the event was handled before, or if it reports expired leases that an order may have extended.
    pub(super) fn worker_of(&mut self, event: &Event) -> Option<usize> {
        let worker = *self.by_serial.get(&event.serial)?;
        let link = self.workers.get_mut(&worker)?;
        if event.number <= link.last_event {
            return None;
        }
        link.last_event = event.number;
        match &event.news {
            News::Report(report) => link.read_clock(report.clock_ms),
            // It is reported again while the worker stays silent.
            News::Lapsed if !link.surely_lapsed(event.at) => return None,
            _ => {}
        }
        Some(worker)
    }

    /// Tells whether other instances should carry the traffic of the workers.
    fn wants_carriers(&self) -> bool {
        let settings = self.context.settings();
        let capacity = Capacity {
            millicores: settings.millicores,
            link_kbps: settings.link_kbps,
        };
        capacity.needs_carriers(self.workers.len())
    }

    /// Gives workers to renewers, and takes back those of instances that are silent.
    pub(super) fn tick(&mut self) {
        self.expire_polls();
        self.expire_carried();
        let now = clock::now();
        for instance in self.carriers.silent(now) {
            self.take_back(&instance);
        }
        if !self.wants_carriers() {
            for worker in std::mem::take(&mut self.unattached) {
                self.renew(worker);
            }
            return;
        }
        let waits = self.begun.elapsed() < CARRIER_WAIT;
        for worker in std::mem::take(&mut self.unattached) {
            match self.assign(worker) {
                Some(instance) => self.give(worker, instance),
                None if waits => drop(self.unattached.insert(worker)),
                None => self.renew(worker),
            }
        }
        let is_own = |(_, link): &(&usize, &Link)| matches!(link.renewal, Renewal::Own { .. });
        let own: Vec<usize> = self
            .workers
            .iter()
            .filter(is_own)
            .map(|(worker, _)| *worker)
            .take(MAX_MOVES)
            .collect();
        for worker in own {
            let Some(instance) = self.assign(worker) else {
                break;
            };
            self.release(worker);
            self.unattached.remove(&worker);
            self.give(worker, instance);
        }
    }

    fn assign(&mut self, worker: usize) -> Option<Name> {
        let link = self.workers.get(&worker)?;
        self.carriers.assign(&link.failure_domain, clock::now())
    }

    fn take_back(&mut self, instance: &Name) {
        let is_given = |(_, link): &(&usize, &Link)| matches!(&link.renewal, Renewal::Carried(carrier) if carrier == instance);
        let workers: Vec<usize> = self
            .workers
            .iter()
            .filter(is_given)
            .map(|(worker, _)| *worker)
            .collect();
        info!(self.context.log, "workers taken back";
            "instance" => %instance, "epoch" => self.epoch, "workers" => workers.len());
        for worker in workers {
            self.release(worker);
        }
    }

    fn next_serial(&mut self, worker: usize) -> u64 {
        self.last_serial += 1;
        self.by_serial.insert(self.last_serial, worker);
        self.last_serial
    }

    /// Lets another instance renew a worker.
    fn give(&mut self, worker: usize, instance: Name) {
        let serial = self.next_serial(worker);
        let Some(link) = self.workers.get_mut(&worker) else {
            return;
        };
        link.begin(serial);
        let change = RelayChange::Attach {
            serial,
            worker: link.endpoint.id.clone(),
            address: link.endpoint.address,
            inherited_lease: link
                .inherited_until
                .saturating_duration_since(Instant::now()),
            acknowledged: link.acknowledged,
        };
        let outbox = self.outboxes.entry(instance.clone()).or_default();
        outbox.push(change);
        link.renewal = Renewal::Carried(instance);
    }

    /// Renews a worker by own calls.
    fn renew(&mut self, worker: usize) {
        let serial = self.next_serial(worker);
        let Some(link) = self.workers.get_mut(&worker) else {
            return;
        };
        link.begin(serial);
        let (acknowledged, receiver) = watch::channel(link.acknowledged);
        let stop = CancellationToken::new();
        let renewer = Renewer {
            serial,
            endpoint: link.endpoint.clone(),
            workers: self.context.workers.clone(),
            epoch: self.epoch,
            lease: self.lease,
            inherited_lease: link
                .inherited_until
                .saturating_duration_since(Instant::now()),
            authority: self.authority.clone(),
            store_wait: renewal::STORE_WAIT,
            acknowledged: receiver,
            events: self.news.clone(),
            sent: 0,
        };
        self.tasks.spawn(renewer.run(stop.clone()));
        link.renewal = Renewal::Own { stop, acknowledged };
    }

    /// Handles the call of an instance that renews workers: its news goes to the leader, and the
    /// changes that it has not seen come back.
    pub(super) fn relay(
        &mut self,
        instance: &Name,
        failure_domain: &Name,
        capacity: Capacity,
        sequence: wire::Sequence,
        (epoch, seen): (u64, u64),
        events: Vec<wire::Event>,
    ) -> Relay {
        let wanted = self.wants_carriers();
        let last = self.last_calls.get(instance).copied();
        if last
            .is_some_and(|last| last.process == sequence.process && sequence.number <= last.number)
        {
            // The later call that came first told all that this one tells.
            return self.relay_reply(wanted, Vec::new());
        }
        self.last_calls.insert(instance.clone(), sequence);
        if last.is_some_and(|last| last.process != sequence.process) {
            // A process that has restarted knows nothing of what it was given.
            self.take_back(instance);
            if let Some(outbox) = self.outboxes.get_mut(instance) {
                outbox.changes.clear();
            }
        }
        // Calls of this process save nothing, and an instance that is not wanted reports too seldom.
        if wanted && *instance != self.context.name {
            self.carriers
                .hear(instance, failure_domain, capacity, clock::now());
        }
        if epoch == self.epoch {
            for event in events {
                let event = Event {
                    serial: event.serial,
                    number: event.number,
                    // The call itself may have been under way until its caller gave it up.
                    at: clock::now().before(event.age + CALL_TIMEOUT),
                    news: event.news,
                };
                // The receiver is the leader itself.
                let _ = self.news.send(event);
            }
        }
        let outbox = self.outboxes.entry(instance.clone()).or_default();
        let seen = if epoch == self.epoch { seen } else { 0 };
        while outbox
            .changes
            .front()
            .is_some_and(|(number, _)| *number <= seen)
        {
            outbox.changes.pop_front();
        }
        let changes = outbox.changes.iter().cloned().collect();
        self.relay_reply(wanted, changes)
    }

    fn relay_reply(&self, wanted: bool, changes: Vec<(u64, RelayChange)>) -> Relay {
        Relay {
            epoch: self.epoch,
            grant: self.authority.remaining().min(MAX_GRANT),
            lease: self.lease,
            wanted,
            changes,
        }
    }

    /// Sends the orders of one step, or hands them to an instance that carries them.
    pub(super) fn start_step(&mut self, starts: Vec<(usize, Start)>) {
        let carrier = (self.wants_carriers() && self.authority.holds())
            .then(|| self.carriers.choose(starts.len()))
            .flatten();
        let Some(carrier) = carrier else {
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
            batch
                .orders
                .extend(self.carried_order(worker, start, &carrier));
        }
        self.queued.entry(carrier.clone()).or_default().push(batch);
        self.hand_over(&carrier);
    }

    /// Hands queued orders to an instance if it polls.
    fn hand_over(&mut self, carrier: &Name) {
        let is_queued = self
            .queued
            .get(carrier)
            .is_some_and(|queue| !queue.is_empty());
        if is_queued
            && let Some(poll) = self.polls.remove(carrier)
            && let Some(queue) = self.queued.remove(carrier)
        {
            // If the instance has gone, the orders are overdue soon.
            let _ = poll.reply.send(Reply::Orders(queue));
        }
    }

    /// Takes back the orders that an instance has not fetched.
    fn drop_queued(&mut self, carrier: &Name) {
        let queue = self.queued.remove(carrier).unwrap_or_default();
        for order in queue.into_iter().flat_map(|batch| batch.orders) {
            let refused = StartOutcome::Refused(Refusal::Late);
            self.finish_carried(order.number, Some(refused));
        }
    }

    fn carried_order(&mut self, worker: usize, start: Start, carrier: &Name) -> Option<Order> {
        let link = self.workers.get_mut(&worker)?;
        link.ordered = Some(clock::now());
        let endpoint = link.endpoint.clone();
        self.last_order += 1;
        // An order without the worker's clock has expired already; the worker refuses it.
        let expires_ms = self.order_expiry(worker).unwrap_or(0);
        let carried = Carried {
            worker,
            attempt: start.attempt,
            expires_ms,
            carrier: carrier.clone(),
            until: Instant::now() + ORDER_TIMEOUT + CARRIER_SLACK,
        };
        self.carried.insert(self.last_order, carried);
        Some(Order {
            number: self.last_order,
            worker: endpoint.id,
            address: endpoint.address,
            attempt: start.attempt,
            expires_ms,
            checkpoint: start.checkpoint,
            ticket: start.ticket,
        })
    }

    /// Handles the outcomes of carried orders.
    pub(super) fn carried(&mut self, epoch: u64, outcomes: Vec<(u64, StartOutcome)>) {
        if epoch == self.epoch {
            for (number, outcome) in outcomes {
                self.finish_carried(number, Some(outcome));
            }
        }
    }

    /// Handles the outcome of a carried order, or that the carrier did not deliver any in time. The
    /// order may have been carried out then.
    fn finish_carried(&mut self, number: u64, delivered: Option<StartOutcome>) {
        let Some(order) = self.carried.remove(&number) else {
            return;
        };
        self.carriers.mark_done(&order.carrier, delivered.is_none());
        let outcome = delivered.unwrap_or(StartOutcome::Lost);
        let started = (order.worker, order.attempt, outcome, order.expires_ms);
        // The receiver is the leader itself.
        let _ = self.started.send(started);
    }

    fn expire_carried(&mut self) {
        let now = Instant::now();
        let overdue = self.carried.iter().filter(|(_, order)| order.until <= now);
        let overdue: Vec<u64> = overdue.map(|(number, _)| *number).collect();
        for number in overdue {
            self.finish_carried(number, None);
        }
    }

    /// Handles an instance's poll for orders.
    pub(super) fn poll(&mut self, instance: &Name, link_kbps: u64, reply: oneshot::Sender<Reply>) {
        if *instance != self.context.name {
            self.carriers.mark_ready(instance, link_kbps);
        }
        let until = Instant::now() + carrier::POLL_WAIT;
        self.polls.insert(instance.clone(), Poll { reply, until });
        self.hand_over(instance);
    }

    fn expire_polls(&mut self) {
        let now = Instant::now();
        let expired = |_: &Name, poll: &mut Poll| poll.until <= now || poll.reply.is_closed();
        let expired: Vec<(Name, Poll)> = self.polls.extract_if(.., expired).collect();
        for (instance, poll) in expired {
            if poll.reply.is_closed() {
                self.carriers.mark_gone(&instance);
                self.drop_queued(&instance);
            }
            let _ = poll.reply.send(Reply::Orders(Vec::new()));
        }
    }

    /// Returns the time of a worker's clock until which it may carry out an order that is sent now,
    /// or `None` if its clock is not known.
    fn order_expiry(&self, worker: usize) -> Option<u64> {
        let millis = self.workers.get(&worker)?.clock_at(Instant::now())?;
        Some(millis + u64::try_from(ORDER_VALIDITY.as_millis()).unwrap_or(0))
    }

    fn start(&mut self, worker: usize, mut start: Start) {
        let expiry = self.order_expiry(worker);
        let Some(link) = self.workers.get_mut(&worker) else {
            return;
        };
        link.ordered = Some(clock::now());
        let endpoint = link.endpoint.clone();
        let workers = self.context.workers.clone();
        let sender = self.started.clone();
        let authority = self.authority.clone();
        self.tasks.spawn(async move {
            let attempt = start.attempt;
            let (started, expires_ms) = match expiry {
                Some(expires_ms) if authority.holds() => {
                    start.expires_ms = expires_ms;
                    let started = workers.start(&endpoint, &start, ORDER_TIMEOUT).await;
                    (started, expires_ms)
                }
                // Without authority or the worker's clock, no order is sent.
                Some(_) | None => (StartOutcome::Refused(Refusal::Late), 0),
            };
            // If the leader has ended, its successor learns from the worker which tasks run.
            let _ = sender.send((worker, attempt, started, expires_ms));
        });
    }

    /// Orders a worker to stop a run.
    pub(super) fn stop_run(&mut self, worker: usize, attempt: Attempt) {
        let Some(link) = self.workers.get(&worker) else {
            return;
        };
        let endpoint = link.endpoint.clone();
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
}
