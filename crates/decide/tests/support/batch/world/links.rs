//! The leader's connections to workers: the orders that it sends, and the renewal of leases.

use std::ops::Range;
use std::time::Duration;

use azurepath_decide::batch::report::Report;
use azurepath_decide::batch::{Attempt, Refusal, StartOutcome};
use azurepath_decide::time::Time;

use super::calendar::{Event, Order};
use super::{TAKEOVER_GRACE, World};

/// How long an order may be carried out.
const ORDER_VALIDITY_MS: u64 = 1_500;

/// How long a renewal lets a worker run its tasks.
const LEASE_MS: u64 = 4_000;

/// The time from the last renewal of a silent worker until the leader takes its lease as expired.
const LEASE_EXPIRY: Duration = Duration::from_millis(LEASE_MS + 200);

/// The time until an order or the answer to it arrives.
pub(super) const DELIVERY: Duration = Duration::from_millis(2);

/// The time until a report arrives.
const REPORT_DELIVERY: Duration = Duration::from_millis(3);

/// The time until a call without an answer is given up.
pub(super) const TIMEOUT: Duration = Duration::from_millis(300);

/// The time until a late order arrives.
const LATE_MS: Range<u64> = 300..6_000;

/// The time until the leader learns of its own refusal, and until it renews a lease first.
const NEXT_STEP: Duration = Duration::from_millis(1);

/// The time from a report, and from a silence, to the next renewal.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(60);
const RENEWAL_INTERVAL_SILENT: Duration = Duration::from_millis(100);

/// The leader's connection to an incarnation of a worker.
pub(super) struct Link {
    pub(super) node: usize,
    pub(super) born: Time,
    acknowledged: u64,
    /// What the worker's clock showed in milliseconds, and when that was learnt.
    clock: Option<(u64, Time)>,
    /// The time of the last renewal that was answered.
    renewed: Time,
}

impl Link {
    /// Returns what the worker's clock shows, in milliseconds.
    fn clock_ms(&self, now: Time) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        Some(clock_ms + now.since(at).as_millis() as u64)
    }
}

impl World {
    pub(super) fn attach(&mut self, epoch: u64, worker: usize) {
        let Some(leader) = &mut self.leader else {
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
            renewed: self.now,
        };
        leader.links.insert(worker, link);
        self.schedule(NEXT_STEP, Event::Renew(epoch, worker));
    }

    fn link(&self, worker: usize) -> Option<&Link> {
        self.leader.as_ref()?.links.get(&worker)
    }

    /// Returns the incarnation that a worker number stands for: its node and its birth.
    fn node_of(&self, worker: usize) -> (usize, Time) {
        self.link(worker)
            .map_or((0, Time::MAX), |link| (link.node, link.born))
    }

    pub(super) fn acknowledge(&mut self, worker: usize, number: u64) {
        if let Some(leader) = &mut self.leader
            && let Some(link) = leader.links.get_mut(&worker)
        {
            link.acknowledged = link.acknowledged.max(number);
        }
    }

    pub(super) fn send_start(&mut self, epoch: u64, worker: usize, attempt: Attempt) {
        let (node, born) = self.node_of(worker);
        let Some(clock_ms) = self.link(worker).and_then(|link| link.clock_ms(self.now)) else {
            let refused = StartOutcome::Refused(Refusal::Late);
            let refused = Event::Started(epoch, worker, attempt, refused, 0);
            self.schedule(NEXT_STEP, refused);
            return;
        };
        let until_ms = clock_ms + ORDER_VALIDITY_MS;
        let lost = Event::Started(epoch, worker, attempt, StartOutcome::Lost, until_ms);
        let order = |is_answered| {
            Event::Start(Order {
                epoch,
                node,
                born,
                attempt,
                until_ms,
                is_answered,
            })
        };
        if self.partitioned.contains_key(&node) {
            self.schedule(TIMEOUT, lost);
        } else if self.chance(self.faults.late) {
            let late = self.span(LATE_MS);
            self.schedule(late, order(false));
            self.schedule(TIMEOUT, lost);
        } else if self.chance(self.faults.lost) {
            self.schedule(DELIVERY, order(false));
            self.schedule(TIMEOUT, lost);
        } else {
            self.schedule(DELIVERY, order(true));
        }
    }

    pub(super) fn send_stop(&mut self, epoch: u64, worker: usize, attempt: Attempt) {
        let (node, born) = self.node_of(worker);
        if !self.partitioned.contains_key(&node) {
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
        if let Some(leader) = self.leader_of(epoch) {
            let scheduler = &mut leader.scheduler;
            scheduler.handle_start(worker, attempt, outcome, until_ms);
        }
    }

    pub(super) fn renew(&mut self, epoch: u64, worker: usize) {
        let now = self.now;
        let Some(leader) = self.leader_of(epoch) else {
            return;
        };
        let Some(link) = leader.links.get(&worker) else {
            return;
        };
        let (node, acknowledged) = (link.node, link.acknowledged);
        let until_ms = link.clock_ms(now).map(|clock_ms| clock_ms + LEASE_MS);
        if self.partitioned.contains_key(&node) {
            self.schedule(TIMEOUT, Event::Silent(epoch, worker));
            return;
        }
        self.check.acknowledged(&self.workers[node], acknowledged);
        match self.workers[node].renew(now, epoch, acknowledged, until_ms) {
            Some(report) => {
                let report = Event::Report(epoch, worker, now, report);
                self.schedule(REPORT_DELIVERY, report);
            }
            None => self.schedule(TIMEOUT, Event::Silent(epoch, worker)),
        }
    }

    pub(super) fn deliver_report(
        &mut self,
        epoch: u64,
        worker: usize,
        sent: Time,
        report: &Report,
    ) {
        let now = self.now;
        let Some(leader) = self.leader_of(epoch) else {
            return;
        };
        if let Some(link) = leader.links.get_mut(&worker) {
            link.clock = Some((report.clock_ms, now));
            link.renewed = link.renewed.max(sent);
        }
        leader.scheduler.report(worker, report);
        self.schedule(RENEWAL_INTERVAL, Event::Renew(epoch, worker));
    }

    pub(super) fn deliver_silence(&mut self, epoch: u64, worker: usize) {
        let now = self.now;
        let is_takeover = epoch > 1;
        let Some(leader) = self.leader_of(epoch) else {
            return;
        };
        let Some(link) = leader.links.get(&worker) else {
            return;
        };
        let wait = if link.clock.is_none() && is_takeover {
            TAKEOVER_GRACE
        } else {
            LEASE_EXPIRY
        };
        let expired = now.since(link.renewed) >= wait;
        leader.scheduler.mark_silent(worker);
        if expired {
            leader.scheduler.expire_leases(worker);
        }
        self.schedule(RENEWAL_INTERVAL_SILENT, Event::Renew(epoch, worker));
    }
}
