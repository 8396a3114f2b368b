//! The ways from the leader to the workers: its own calls, or other instances that carry them.

mod link;
mod order;
mod relay;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::carrier::{Capacity, Carriers};
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::name::{Map, Name};
use azurepath_decide::time::Time;
use azurepath_platform::worker::Endpoint;
use azurepath_wire::batch::{self as wire, News, Orders, RelayChange};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use self::link::{Link, Renewal};
use self::order::{Carried, Poll};
use self::relay::{IdleCall, Outbox};
use super::Context;
use super::clock::{self, Authority};
use super::renewal::{self, Event, LeaseEnd, Renewer};

pub(super) use self::order::{OrderOutcome, Started};

/// How long a new leader waits for instances that renew workers before it does so itself.
const CARRIER_WAIT: Duration = Duration::from_millis(600);

/// The most workers that change from the leader to another instance at a time.
const MAX_MOVES: usize = 20;

/// The ways to all workers.
pub(super) struct Links {
    context: Context,
    epoch: u64,
    lease: Duration,
    authority: Arc<Authority>,
    begun: Instant,
    /// Until when leases may last that earlier leaders have renewed.
    inherited_until: Time,
    events: mpsc::UnboundedSender<Event>,
    outcomes: mpsc::UnboundedSender<OrderOutcome>,
    tasks: JoinSet<()>,
    workers: BTreeMap<usize, Link>,
    by_serial: Map<u64, usize>,
    last_serial: u64,
    /// The workers that nobody renews yet.
    unattached: BTreeSet<usize>,
    carriers: Carriers,
    outboxes: BTreeMap<Name, Outbox>,
    /// The calls of instances without workers.
    idle_calls: BTreeMap<Name, IdleCall>,
    /// Until when each instance may extend leases.
    grants: BTreeMap<Name, Time>,
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
        events: mpsc::UnboundedSender<Event>,
        outcomes: mpsc::UnboundedSender<OrderOutcome>,
    ) -> Links {
        Links {
            context,
            epoch,
            lease,
            authority,
            begun: Instant::now(),
            inherited_until: clock::now().after(inherited_lease),
            events,
            outcomes,
            tasks: JoinSet::new(),
            workers: BTreeMap::new(),
            by_serial: Map::default(),
            last_serial: 0,
            unattached: BTreeSet::new(),
            carriers: Carriers::default(),
            outboxes: BTreeMap::new(),
            idle_calls: BTreeMap::new(),
            grants: BTreeMap::new(),
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
                born_ms: entry.born_ms,
            },
            failure_domain: entry.failure_domain.clone(),
            serial: 0,
            last_event: 0,
            renewal: Renewal::None,
            acknowledged: 0,
            clock: None,
            inherited_until: self.inherited_until,
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
        let until = match std::mem::replace(&mut link.renewal, Renewal::None) {
            Renewal::None => return,
            Renewal::Own {
                stop, lease_end, ..
            } => {
                stop.cancel();
                lease_end.get()
            }
            Renewal::Carried(instance) => {
                self.carriers.unassign(&instance);
                if let Some(outbox) = self.outboxes.get_mut(&instance) {
                    outbox.push(RelayChange::Detach(link.serial));
                }
                // It may extend the lease until its grant ends.
                let grant_end = self.grants.get(&instance).copied().unwrap_or_default();
                grant_end.after(renewal::expiry_bound(self.lease))
            }
        };
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
        self.share_workers();
        self.answer_idle_calls();
    }

    fn share_workers(&mut self) {
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
            born_ms: link.endpoint.born_ms,
            inherited_lease: link.inherited_lease(),
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
        let lease_end = Arc::new(LeaseEnd::new(link.inherited_until));
        let stop = CancellationToken::new();
        let renewer = Renewer {
            serial,
            endpoint: link.endpoint.clone(),
            workers: self.context.workers.clone(),
            epoch: self.epoch,
            lease: self.lease,
            lease_end: lease_end.clone(),
            authority: self.authority.clone(),
            store_wait: renewal::STORE_WAIT,
            acknowledged: receiver,
            events: self.events.clone(),
            sent: 0,
        };
        self.tasks.spawn(renewer.run(stop.clone()));
        link.renewal = Renewal::Own {
            stop,
            acknowledged,
            lease_end,
        };
    }
}
