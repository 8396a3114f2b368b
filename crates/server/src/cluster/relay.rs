//! Renews workers on behalf of the leader and tells it what happens to them.
//!
//! The leader grants each instance a short time in which it may extend leases, never longer than the
//! leader's own authority. An instance that was paused or has lost the leader extends none.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::Attempt;
use azurepath_decide::batch::carrier::Capacity;
use azurepath_decide::time::Time;
use azurepath_platform::worker::Endpoint;
use azurepath_wire::batch::{Call, News, Relay, RelayChange, Reply, Sequence};
use rand::Rng;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Context;
use super::clock::{self, Authority};
use super::renewal::{self, Event, LeaseEnd, Renewer};

/// The longest time that the leader lets others extend leases after one of their calls.
pub(super) const MAX_GRANT: Duration = Duration::from_millis(2_000);

/// The time between two calls of an instance that renews workers without events.
const CALL_INTERVAL: Duration = Duration::from_millis(250);

/// The time between two calls of an instance that renews no worker, during which the leader may hold
/// the first one.
pub(super) const IDLE_INTERVAL: Duration = Duration::from_millis(700);

/// The same if the leader renews all workers itself.
const UNWANTED_INTERVAL: Duration = Duration::from_secs(5);

/// The shortest time between two calls, in which events are collected. The leader's processor is the
/// one that the calls of all instances share.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// How long a call to the leader may take. If a busy link needed longer, each repetition would make
/// it busier.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How long the next renewal of a worker waits until new ends are stored: the way to the leader and
/// back, and a write.
const STORE_WAIT: Duration = Duration::from_millis(120);

/// How long reports that tell of no start and no end are left out. The progress of tasks is of use
/// only after their worker is lost.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// The most events in one call.
const MAX_EVENTS: usize = 100;

/// A worker that this instance renews.
struct Held {
    stop: CancellationToken,
    acknowledged: watch::Sender<u64>,
    /// What the leader was told last.
    told: Option<Told>,
}

/// What a report has told the leader.
struct Told {
    at: Instant,
    running: Vec<Attempt>,
    highest_end: u64,
}

/// What the leader has given to this instance.
struct Duty {
    /// The leader's epoch.
    epoch: u64,
    /// The number of the last change that was received.
    seen: u64,
    authority: Arc<Authority>,
    workers: BTreeMap<u64, Held>,
    /// The events of the workers. They belong to one epoch, since each leader numbers the workers anew.
    events: mpsc::UnboundedReceiver<Event>,
    sender: mpsc::UnboundedSender<Event>,
    lease: Duration,
    wanted: bool,
}

impl Duty {
    fn new(epoch: u64) -> Duty {
        let (sender, events) = mpsc::unbounded_channel();
        Duty {
            events,
            sender,
            epoch,
            seen: 0,
            authority: Arc::new(Authority::new(Time::default(), Duration::ZERO)),
            workers: BTreeMap::new(),
            lease: Duration::ZERO,
            wanted: true,
        }
    }

    fn interval(&self) -> Duration {
        match (self.workers.is_empty(), self.wanted) {
            (false, _) => CALL_INTERVAL,
            (true, true) => IDLE_INTERVAL,
            (true, false) => UNWANTED_INTERVAL,
        }
    }
}

impl Duty {
    /// Tells whether the leader has to hear of an event, and remembers that it has.
    fn is_news(&mut self, event: &Event) -> bool {
        let Some(held) = self.workers.get_mut(&event.serial) else {
            return false;
        };
        let News::Report(report) = &event.news else {
            held.told = None;
            return true;
        };
        let now = Instant::now();
        let told = Told {
            at: now,
            running: report.running.iter().map(|run| run.attempt).collect(),
            highest_end: renewal::highest_end(report),
        };
        let known = held.told.as_ref().is_some_and(|last| {
            now < last.at + REPEAT_INTERVAL
                && last.running == told.running
                && last.highest_end == told.highest_end
        });
        if !known {
            held.told = Some(told);
        }
        !known
    }
}

impl Drop for Duty {
    fn drop(&mut self) {
        self.authority.end();
        for held in self.workers.values() {
            held.stop.cancel();
        }
    }
}

/// Renews the workers that leaders give to this instance until `halt` is cancelled.
pub(super) async fn run(context: Context, halt: CancellationToken) {
    let instance = Instance {
        duty: Duty::new(0),
        tasks: JoinSet::new(),
        last_call: Sequence {
            process: rand::rng().random(),
            number: 0,
        },
        context,
    };
    instance.run(&halt).await;
}

struct Instance {
    context: Context,
    duty: Duty,
    tasks: JoinSet<()>,
    last_call: Sequence,
}

impl Instance {
    async fn run(mut self, halt: &CancellationToken) {
        let mut events = Vec::new();
        let mut route = self.context.route.clone();
        let mut called = Instant::now();
        loop {
            let due = called + self.duty.interval();
            tokio::select! {
                () = halt.cancelled() => break,
                () = route.changed() => {}
                () = tokio::time::sleep_until(due) => {}
                Some(_) = self.tasks.join_next() => continue,
                event = self.duty.events.recv(), if events.len() < MAX_EVENTS => {
                    let event = event.filter(|event| self.duty.is_news(event));
                    if event.is_none() {
                        continue;
                    }
                    events.extend(event);
                    tokio::time::sleep_until(called + MIN_INTERVAL).await;
                }
            }
            while events.len() < MAX_EVENTS
                && let Ok(event) = self.duty.events.try_recv()
            {
                if self.duty.is_news(&event) {
                    events.push(event);
                }
            }
            called = Instant::now();
            let sent = clock::now();
            let call = self.call(&events);
            let reply = tokio::select! {
                () = halt.cancelled() => break,
                reply = self.context.route.call(call, CALL_TIMEOUT) => reply,
            };
            if let Ok(Reply::Relay(relay)) = reply {
                events.clear();
                self.apply(relay, sent);
            }
        }
        drop(self.duty);
        while self.tasks.join_next().await.is_some() {}
    }

    fn call(&mut self, events: &[Event]) -> Call {
        self.last_call.number += 1;
        let settings = self.context.settings();
        Call::Relay {
            instance: self.context.name.to_string(),
            failure_domain: settings.server.failure_domain.to_string(),
            capacity: Capacity {
                millicores: settings.millicores,
                link_kbps: settings.link_kbps,
            },
            sequence: self.last_call,
            epoch: self.duty.epoch,
            seen: self.duty.seen,
            events: events.iter().map(Into::into).collect(),
        }
    }

    /// Applies a reply to a call that was sent at `sent`.
    fn apply(&mut self, relay: Relay, sent: Time) {
        if relay.epoch < self.duty.epoch {
            return;
        }
        if relay.epoch > self.duty.epoch {
            // The workers of the earlier leader belong to the new one, which gives them out again.
            self.duty = Duty::new(relay.epoch);
        }
        self.duty.lease = relay.lease;
        self.duty.wanted = relay.wanted;
        self.duty.authority.extend_by(sent, relay.grant);
        for (number, change) in relay.changes {
            if number <= self.duty.seen {
                continue;
            }
            self.duty.seen = number;
            match change {
                RelayChange::Attach {
                    serial,
                    worker,
                    address,
                    born_ms,
                    inherited_lease,
                    acknowledged,
                } => {
                    let endpoint = Endpoint {
                        id: worker,
                        address,
                        born_ms,
                    };
                    self.attach(serial, endpoint, inherited_lease, acknowledged);
                }
                RelayChange::Detach(serial) => {
                    if let Some(held) = self.duty.workers.remove(&serial) {
                        held.stop.cancel();
                    }
                }
                RelayChange::Acknowledge(serial, number) => {
                    if let Some(held) = self.duty.workers.get(&serial) {
                        held.acknowledged.send_replace(number);
                    }
                }
            }
        }
    }

    fn attach(
        &mut self,
        serial: u64,
        endpoint: Endpoint,
        inherited_lease: Duration,
        acknowledged: u64,
    ) {
        let (acknowledged, receiver) = watch::channel(acknowledged);
        let stop = CancellationToken::new();
        let renewer = Renewer {
            serial,
            endpoint,
            workers: self.context.workers.clone(),
            epoch: self.duty.epoch,
            lease: self.duty.lease,
            lease_end: Arc::new(LeaseEnd::new(clock::now().after(inherited_lease))),
            authority: self.duty.authority.clone(),
            store_wait: STORE_WAIT,
            acknowledged: receiver,
            events: self.duty.sender.clone(),
            sent: 0,
        };
        self.tasks.spawn(renewer.run(stop.clone()));
        let held = Held {
            stop,
            acknowledged,
            told: None,
        };
        self.duty.workers.insert(serial, held);
    }
}
