//! The renewal of leases, which waits at the worker for the end of a task.

use std::time::Duration;

use azurepath_decide::batch::report::Report;
use azurepath_decide::time::Time;

use super::World;
use super::calendar::Event;
use super::links::{NEXT_STEP, TIMEOUT};

/// How long a renewal lets a worker run its tasks.
const LEASE_MS: u64 = 4_000;

/// The time from the last renewal of a silent worker until the leader takes its lease as expired.
pub(super) const LEASE_EXPIRY: Duration = Duration::from_millis(LEASE_MS + 200);

/// The time until a report arrives.
const REPORT_DELIVERY: Duration = Duration::from_millis(3);

/// How long a worker waits for the end of a task before it answers, and while no task runs there.
const END_WAIT: Duration = Duration::from_millis(700);
const IDLE_WAIT: Duration = Duration::from_millis(1_400);

/// The time from a report with ends to the next renewal, which acknowledges them if they are stored.
const STORE_WAIT: Duration = Duration::from_millis(60);

/// The time from a silence to the next renewal.
const SILENCE_INTERVAL: Duration = Duration::from_millis(100);

/// A renewal that waits at a worker.
#[derive(Debug)]
pub(super) struct Waiting {
    epoch: u64,
    worker: usize,
    node: usize,
    born: Time,
    sent: Time,
    /// When it is answered if no task has ended.
    until: Time,
}

impl World {
    pub(super) fn renew(&mut self, epoch: u64, worker: usize) {
        let now = self.now;
        let has_authority = self.has_authority(epoch);
        let Some(leader) = self.leaders.get_mut(&epoch) else {
            return;
        };
        let Some(link) = leader.links.get_mut(&worker) else {
            return;
        };
        let extends = has_authority && link.is_answered;
        let clock_ms = link.clock_ms(now).filter(|_| extends);
        if clock_ms.is_some() {
            link.renewed = now;
        }
        let (node, born) = (link.node, link.born);
        // A renewal reaches no other incarnation than its own with more than a question.
        let (acknowledged, until_ms) = if self.workers[node].born == born {
            let until_ms = clock_ms.map(|clock_ms| clock_ms + LEASE_MS);
            (link.acknowledged, until_ms)
        } else {
            (0, None)
        };
        if !self.reaches(epoch, node) {
            self.schedule(TIMEOUT, Event::Silent(epoch, worker));
            return;
        }
        if epoch < self.workers[node].fence {
            self.schedule(REPORT_DELIVERY, Event::Superseded(epoch));
            return;
        }
        self.check.acknowledged(&self.workers[node], acknowledged);
        let runs = !self.workers[node].running.is_empty();
        self.workers[node].renew(now, epoch, acknowledged, until_ms);
        let wait = match (clock_ms, runs) {
            (None, _) => Duration::ZERO,
            (Some(_), true) => END_WAIT,
            (Some(_), false) => IDLE_WAIT,
        };
        self.waiting.push(Waiting {
            epoch,
            worker,
            node,
            born: self.workers[node].born,
            sent: now,
            until: now.after(wait),
        });
    }

    /// Lets the workers answer the renewals whose wait is over or for which there is an end. A worker
    /// answers a former leader too that has called before its successor.
    pub(super) fn answer_renewals(&mut self) {
        let now = self.now;
        let workers = &self.workers;
        let is_due = |waiting: &mut Waiting| {
            let worker = &workers[waiting.node];
            now >= waiting.until || worker.born != waiting.born || !worker.ended.is_empty()
        };
        let due: Vec<Waiting> = self.waiting.extract_if(.., is_due).collect();
        for waiting in due {
            self.answer_renewal(&waiting);
        }
    }

    fn answer_renewal(&mut self, waiting: &Waiting) {
        let (epoch, worker) = (waiting.epoch, waiting.worker);
        let node = &self.workers[waiting.node];
        if node.born == waiting.born && self.reaches(epoch, waiting.node) {
            let report = Event::Report(epoch, worker, waiting.sent, node.report(self.now));
            self.schedule(REPORT_DELIVERY, report);
        } else {
            let left = waiting.until.since(self.now);
            self.schedule(left + TIMEOUT, Event::Silent(epoch, worker));
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
        let Some(leader) = self.leaders.get_mut(&epoch) else {
            return;
        };
        if let Some(link) = leader.links.get_mut(&worker) {
            link.clock = Some((report.clock_ms, now));
            link.is_answered = true;
            link.renewed = link.renewed.max(sent);
        }
        leader.scheduler.report(worker, report);
        let pause = if report.ended.is_empty() {
            NEXT_STEP
        } else {
            STORE_WAIT
        };
        self.schedule(pause, Event::Renew(epoch, worker));
    }

    pub(super) fn deliver_silence(&mut self, epoch: u64, worker: usize) {
        let now = self.now;
        let Some(leader) = self.leaders.get_mut(&epoch) else {
            return;
        };
        let Some(link) = leader.links.get_mut(&worker) else {
            return;
        };
        link.is_answered = false;
        let lease_end = if link.clock.is_none() {
            leader.inherited_until
        } else {
            link.renewed.after(LEASE_EXPIRY)
        };
        let expired = now >= lease_end;
        leader.scheduler.mark_silent(worker);
        if expired {
            leader.scheduler.expire_leases(worker);
        }
        self.schedule(SILENCE_INTERVAL, Event::Renew(epoch, worker));
    }
}
