//! The leader: its takeover, its scheduler's actions, and its writes to the store.

use std::collections::BTreeMap;
use std::time::Duration;

use azurepath_decide::batch::record::Fit;
use azurepath_decide::batch::scheduler::{Scheduler, Setup};
use azurepath_decide::batch::{Action, Answer};

use super::calendar::Event;
use super::links::Link;
use super::workload::config;
use super::{GANG_WAIT, TAKEOVER_GRACE, World};

/// The most changes that are written at a time.
const MAX_BATCH: usize = 50;

/// The time until a batch of changes has reached the store, and until the leader knows it.
const WRITE_DELAY: Duration = Duration::from_millis(5);
const WRITE_ANSWER_DELAY: Duration = Duration::from_millis(9);

pub(super) struct Leader {
    pub(super) scheduler: Scheduler,
    pub(super) epoch: u64,
    /// The connection to each worker, by the scheduler's worker number.
    pub(super) links: BTreeMap<usize, Link>,
}

impl World {
    pub(super) fn take_over(&mut self) {
        self.epoch += 1;
        let setup = Setup {
            epoch: self.epoch,
            origin_ms: 0,
            takeover_grace: TAKEOVER_GRACE,
            gang_wait: GANG_WAIT,
        };
        self.leader = Some(Leader {
            scheduler: Scheduler::new(setup, self.now, config(), self.store.read()),
            epoch: self.epoch,
            links: BTreeMap::new(),
        });
    }

    /// Returns the leader if it is still that of an epoch.
    pub(super) fn leader_of(&mut self, epoch: u64) -> Option<&mut Leader> {
        self.leader.as_mut().filter(|leader| leader.epoch == epoch)
    }

    /// Advances the leader's scheduler and carries out its actions.
    pub(super) fn advance_leader(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let mut actions = Vec::new();
        leader.scheduler.advance(self.now, &mut actions);
        let epoch = leader.epoch;
        let mut batch = Vec::new();
        let changed = leader.scheduler.next_batch(|change| {
            if batch.len() == MAX_BATCH {
                return Fit::Full;
            }
            batch.push(change.clone());
            Fit::Taken
        });
        for action in actions {
            self.execute(epoch, action);
        }
        if changed {
            self.schedule(WRITE_DELAY, Event::Stored(batch));
            self.schedule(WRITE_ANSWER_DELAY, Event::Written(epoch));
        }
    }

    fn execute(&mut self, epoch: u64, action: Action) {
        match action {
            Action::Start {
                worker, attempt, ..
            } => self.send_start(epoch, worker, attempt),
            Action::Stop { worker, attempt } => self.send_stop(epoch, worker, attempt),
            Action::Acknowledge { worker, number } => self.acknowledge(worker, number),
            Action::Answer { call, answer } => {
                if let Some(id) = self.calls.remove(&call)
                    && answer == Answer::Accepted
                    && !self.accepted.contains(&id)
                {
                    self.accepted.push(id);
                }
            }
            Action::Attach { worker } => self.attach(epoch, worker),
            Action::Detach { worker } => {
                if let Some(leader) = &mut self.leader {
                    leader.links.remove(&worker);
                }
            }
            Action::Ask(_) | Action::Log(_) | Action::Resign => {}
        }
    }

    pub(super) fn deliver_written(&mut self, epoch: u64) {
        if let Some(leader) = self.leader_of(epoch) {
            leader.scheduler.batch_stored();
        }
    }
}
