//! The leaders: their takeovers and their schedulers' actions.

use std::collections::BTreeMap;
use std::time::Duration;

use azurepath_decide::batch::scheduler::{Scheduler, Setup};
use azurepath_decide::batch::{Action, Answer, JobId};
use azurepath_decide::time::Time;

use super::calendar::Event;
use super::links::{DELIVERY, Link};
use super::renewal::LEASE_EXPIRY;
use super::workload::config;
use super::write::Write;
use super::{GANG_WAIT, LONGEST_LEASE, World};

/// How long a leader may give orders after the sending of its last stored write.
const AUTHORITY_DURATION: Duration = Duration::from_secs(4);

pub(super) struct Leader {
    pub(super) scheduler: Scheduler,
    /// Until when tasks may run by leases and orders of its predecessors.
    pub(super) inherited_until: Time,
    /// The connection to each worker, by the scheduler's worker number.
    pub(super) links: BTreeMap<usize, Link>,
    /// The submissions that it has not answered.
    pub(super) calls: BTreeMap<u64, JobId>,
    /// When its last stored write was sent, or its claim.
    pub(super) confirmed: Time,
    /// The write under way.
    pub(super) writing: Option<Write>,
    /// When the last write began, and its number.
    pub(super) write_begun: Time,
    pub(super) write_number: u64,
}

impl World {
    /// Lets the next leader claim, unless the leader of an epoch leads on.
    pub(super) fn take_over(&mut self, former: u64) {
        if !self.may_claim(former) {
            return;
        }
        let now = self.now;
        let inherited_until = if former == 0 {
            now
        } else {
            // The predecessor sent its last write before this one was stored.
            let authority_end = self.store.changed.after(AUTHORITY_DURATION);
            authority_end.max(now).after(LEASE_EXPIRY)
        };
        self.store.claim(now);
        let epoch = self.store.epoch;
        let setup = Setup {
            epoch,
            origin_ms: 0,
            takeover_grace: inherited_until.since(now),
            gang_wait: GANG_WAIT,
            longest_lease: LONGEST_LEASE,
            remote_slowdown: None,
        };
        let leader = Leader {
            scheduler: Scheduler::new(setup, now, config(), self.store.read()),
            inherited_until,
            links: BTreeMap::new(),
            calls: BTreeMap::new(),
            confirmed: now,
            writing: None,
            write_begun: now,
            write_number: 0,
        };
        self.leaders.insert(epoch, leader);
    }

    /// Ends a leader that has died or was deposed.
    pub(super) fn end_leader(&mut self, epoch: u64) {
        self.leaders.remove(&epoch);
    }

    /// Tells whether a leader may give orders and extend leases.
    pub(super) fn has_authority(&self, epoch: u64) -> bool {
        let leader = self.leaders.get(&epoch);
        leader.is_some_and(|leader| self.now.since(leader.confirmed) < AUTHORITY_DURATION)
    }

    /// Advances the leaders' schedulers, carries out their actions and begins their writes.
    pub(super) fn advance_leaders(&mut self) {
        let epochs: Vec<u64> = self.leaders.keys().copied().collect();
        for epoch in epochs {
            let has_authority = self.has_authority(epoch);
            let Some(leader) = self.leaders.get_mut(&epoch) else {
                continue;
            };
            leader.scheduler.suspend(!has_authority);
            let mut actions = Vec::new();
            leader.scheduler.advance(self.now, &mut actions);
            for action in actions {
                self.execute(epoch, action);
            }
            self.begin_write(epoch);
        }
    }

    fn execute(&mut self, epoch: u64, action: Action) {
        match action {
            Action::Start {
                worker,
                attempt,
                repeated,
                ..
            } => self.send_start(epoch, worker, attempt, repeated),
            Action::Stop { worker, attempt } => self.send_stop(epoch, worker, attempt),
            Action::Settle { worker, attempts } => {
                self.schedule(DELIVERY, Event::Settle(epoch, worker, attempts));
            }
            Action::Acknowledge { worker, number } => self.acknowledge(epoch, worker, number),
            Action::Answer { call, answer } => self.note_answer(epoch, call, &answer),
            Action::Attach { worker } => self.attach(epoch, worker),
            Action::Detach { worker } => {
                if let Some(leader) = self.leaders.get_mut(&epoch) {
                    leader.links.remove(&worker);
                }
            }
            Action::Resign => self.end_leader(epoch),
            Action::Ask(_) | Action::Log(_) => {}
        }
    }

    /// Notes the answer that a client gets.
    fn note_answer(&mut self, epoch: u64, call: u64, answer: &Answer) {
        if let Some(leader) = self.leaders.get_mut(&epoch)
            && let Some(id) = leader.calls.remove(&call)
            && *answer == Answer::Accepted
            && !self.accepted.contains(&id)
        {
            self.accepted.push(id);
        }
    }
}
