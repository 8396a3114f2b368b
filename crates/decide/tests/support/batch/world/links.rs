//! The leaders' connections to workers, and the orders that they send.

use std::ops::Range;
use std::time::Duration;

use azurepath_decide::batch::{Attempt, Refusal, StartOutcome};
use azurepath_decide::time::Time;

use super::World;
use super::calendar::{Event, Order};

/// How long an order may be carried out.
const ORDER_VALIDITY_MS: u64 = 1_500;

/// The time until an order or the answer to it arrives.
pub(super) const DELIVERY: Duration = Duration::from_millis(2);

/// The time until a call without an answer is given up.
pub(super) const TIMEOUT: Duration = Duration::from_millis(300);

/// How long an order may wait in the instance that carries it.
const CARRIER_MS: Range<u64> = 2..800;

/// The time until a late order arrives.
const LATE_MS: Range<u64> = 300..6_000;

/// The time until the leader learns of its own refusal, and until it renews a lease first.
pub(super) const NEXT_STEP: Duration = Duration::from_millis(1);

/// The leader's connection to an incarnation of a worker.
pub(super) struct Link {
    pub(super) node: usize,
    pub(super) born: Time,
    pub(super) acknowledged: u64,
    /// What the worker's clock showed in milliseconds, and when that was learnt.
    pub(super) clock: Option<(u64, Time)>,
    /// Whether the last renewal was answered.
    pub(super) is_answered: bool,
    /// The time of the last renewal that was answered or may have extended the lease.
    pub(super) renewed: Time,
}

impl Link {
    /// Returns what the worker's clock shows, in milliseconds.
    pub(super) fn clock_ms(&self, now: Time) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        Some(clock_ms + now.since(at).as_millis() as u64)
    }
}

impl World {
    pub(super) fn attach(&mut self, epoch: u64, worker: usize) {
        let Some(leader) = self.leaders.get_mut(&epoch) else {
            return;
        };
        let entry = &leader.scheduler.worker(worker).entry;
        let node: usize = entry.id[1..].parse().expect("a number follows");
        let born = Time((entry.born_ms - 1) * 1_000);
        let link = Link {
            node,
            born,
            acknowledged: 0,
            clock: None,
            is_answered: true,
            renewed: self.now,
        };
        leader.links.insert(worker, link);
        self.schedule(NEXT_STEP, Event::Renew(epoch, worker));
    }

    fn link(&self, epoch: u64, worker: usize) -> Option<&Link> {
        self.leaders.get(&epoch)?.links.get(&worker)
    }

    /// Returns the incarnation that a worker number stands for: its node and its birth.
    pub(super) fn node_of(&self, epoch: u64, worker: usize) -> (usize, Time) {
        self.link(epoch, worker)
            .map_or((0, Time::MAX), |link| (link.node, link.born))
    }

    pub(super) fn acknowledge(&mut self, epoch: u64, worker: usize, number: u64) {
        if let Some(leader) = self.leaders.get_mut(&epoch)
            && let Some(link) = leader.links.get_mut(&worker)
        {
            link.acknowledged = link.acknowledged.max(number);
        }
    }

    pub(super) fn send_start(
        &mut self,
        epoch: u64,
        worker: usize,
        attempt: Attempt,
        repeated: bool,
    ) {
        let (node, born) = self.node_of(epoch, worker);
        let clock_ms = self
            .link(epoch, worker)
            .and_then(|link| link.clock_ms(self.now));
        let Some(clock_ms) = clock_ms.filter(|_| self.has_authority(epoch)) else {
            let refused = StartOutcome::Refused(Refusal::Late);
            let refused = Event::Started(epoch, worker, attempt, refused, 0);
            self.schedule(NEXT_STEP, refused);
            return;
        };
        let until_ms = clock_ms + ORDER_VALIDITY_MS;
        let lost = Event::Started(epoch, worker, attempt, StartOutcome::Lost, until_ms);
        let order = |is_answered| Order {
            epoch,
            worker,
            node,
            born,
            attempt,
            until_ms,
            is_answered,
        };
        // A repeated order reaches the incarnation that it is meant for, or none.
        let carried =
            (!repeated && self.chance(self.faults.carried)).then(|| self.span(CARRIER_MS));
        let timeout = carried.unwrap_or_default() + TIMEOUT;
        let (delay, order) = if !self.reaches(epoch, node) {
            self.schedule(timeout, lost);
            return;
        } else if self.chance(self.faults.late) {
            self.schedule(timeout, lost);
            (self.span(LATE_MS), order(false))
        } else if self.chance(self.faults.lost) {
            self.schedule(timeout, lost);
            (DELIVERY, order(false))
        } else {
            (DELIVERY, order(true))
        };
        match carried {
            Some(after) => self.schedule(after, Event::Connect(order, delay)),
            None => self.schedule(delay, Event::Start(order)),
        }
    }

    pub(super) fn send_stop(&mut self, epoch: u64, worker: usize, attempt: Attempt) {
        let (node, born) = self.node_of(epoch, worker);
        if self.has_authority(epoch) && self.reaches(epoch, node) {
            self.schedule(DELIVERY, Event::Stop(epoch, node, born, attempt));
        }
    }

    pub(super) fn deliver_outcome(
        &mut self,
        epoch: u64,
        worker: usize,
        attempt: Attempt,
        outcome: StartOutcome,
        until_ms: u64,
    ) {
        if let Some(leader) = self.leaders.get_mut(&epoch) {
            let scheduler = &mut leader.scheduler;
            scheduler.handle_start(worker, attempt, outcome, until_ms);
        }
    }
}
