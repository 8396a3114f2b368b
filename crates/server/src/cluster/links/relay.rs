//! The calls of other instances that renew workers for the leader.

use std::collections::VecDeque;

use azurepath_decide::batch::carrier::Capacity;
use azurepath_decide::name::Name;
use azurepath_wire::batch::{self as wire, Relay, RelayChange};
use slog::info;

use super::Links;
use super::link::{Link, Renewal};
use crate::cluster::clock;
use crate::cluster::relay::{CALL_TIMEOUT, MAX_GRANT};
use crate::cluster::renewal::Event;

/// The changes that an instance has not confirmed yet.
#[derive(Default)]
pub(super) struct Outbox {
    pub(super) last: u64,
    pub(super) changes: VecDeque<(u64, RelayChange)>,
}

impl Outbox {
    pub(super) fn push(&mut self, change: RelayChange) {
        self.last += 1;
        self.changes.push_back((self.last, change));
    }
}

impl Links {
    /// Handles the call of an instance that renews workers: its events go to the leader, and the
    /// changes that it has not seen come back.
    pub(in crate::cluster) fn relay(
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
                let _ = self.events.send(event);
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

    /// Ends the renewals of an instance; its workers are given out again.
    pub(super) fn take_back(&mut self, instance: &Name) {
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
}
