//! The calls of other instances that renew workers for the leader.

use std::collections::VecDeque;

use azurepath_decide::batch::carrier::Capacity;
use azurepath_decide::name::Name;
use azurepath_wire::batch::{self as wire, Relay, RelayChange, Reply};
use slog::info;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Links;
use super::link::{Link, Renewal};
use crate::cluster::clock;
use crate::cluster::relay::{CALL_TIMEOUT, IDLE_INTERVAL, MAX_GRANT};
use crate::cluster::renewal::Event;

/// The changes that an instance has not confirmed yet.
#[derive(Default)]
pub(super) struct Outbox {
    pub(super) last: u64,
    pub(super) changes: VecDeque<(u64, RelayChange)>,
}

/// A call of an instance without workers, which waits until there are some for it.
pub(super) struct IdleCall {
    reply: oneshot::Sender<Reply>,
    until: Instant,
}

impl Outbox {
    pub(super) fn push(&mut self, change: RelayChange) {
        self.last += 1;
        self.changes.push_back((self.last, change));
    }
}

impl Links {
    /// Replies to the call of an instance that renews workers. If it has none, the reply waits until
    /// there are some for it, so that they don't wait for its next call.
    pub(in crate::cluster) fn answer_relay(
        &mut self,
        instance: Name,
        relay: Relay,
        reply: oneshot::Sender<Reply>,
    ) {
        if !relay.wanted || !relay.changes.is_empty() || !self.carriers.is_idle(&instance) {
            // The instance may have gone.
            let _ = reply.send(Reply::Relay(relay));
            return;
        }
        let until = Instant::now() + IDLE_INTERVAL;
        let call = IdleCall { reply, until };
        if let Some(earlier) = self.idle_calls.insert(instance, call) {
            let _ = earlier.reply.send(Reply::Relay(relay));
        }
    }

    /// Replies to the waiting calls of instances that have got workers or have waited long enough.
    pub(super) fn answer_idle_calls(&mut self) {
        let now = Instant::now();
        let outboxes = &self.outboxes;
        let is_due = |instance: &Name, call: &mut IdleCall| {
            let outbox = outboxes.get(instance);
            call.until <= now || outbox.is_some_and(|outbox| !outbox.changes.is_empty())
        };
        let due: Vec<(Name, IdleCall)> = self.idle_calls.extract_if(.., is_due).collect();
        for (instance, call) in due {
            let relay = self.relay_reply(&instance, self.changes_for(&instance));
            let _ = call.reply.send(Reply::Relay(relay));
        }
    }

    /// Returns the changes that an instance has not confirmed.
    fn changes_for(&self, instance: &Name) -> Vec<(u64, RelayChange)> {
        let outbox = self.outboxes.get(instance).into_iter();
        let mut changes: Vec<(u64, RelayChange)> = outbox
            .flat_map(|outbox| outbox.changes.iter().cloned())
            .collect();
        for (_, change) in &mut changes {
            if let RelayChange::Attach {
                serial,
                inherited_lease,
                ..
            } = change
                && let Some(link) = self
                    .by_serial
                    .get(serial)
                    .and_then(|worker| self.workers.get(worker))
            {
                // The change may have waited for this call.
                *inherited_lease = link.inherited_lease();
            }
        }
        changes
    }

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
        let last = self.last_calls.get(instance).copied();
        if last
            .is_some_and(|last| last.process == sequence.process && sequence.number <= last.number)
        {
            // The later call that came first told all that this one tells.
            return self.relay_reply(instance, Vec::new());
        }
        self.last_calls.insert(instance.clone(), sequence);
        if last.is_some_and(|last| last.process != sequence.process) {
            // A process that has restarted knows nothing of what it was given, and the one before it
            // extends no lease any more.
            if let Some(grant_end) = self.grants.get_mut(instance) {
                *grant_end = clock::now().min(*grant_end);
            }
            self.take_back(instance);
            if let Some(outbox) = self.outboxes.get_mut(instance) {
                outbox.changes.clear();
            }
        }
        // Calls of this process save nothing. An instance that is not wanted reports too seldom, unless
        // it has workers from before.
        let has_workers = self.carriers.has_workers(instance);
        if (self.wants_carriers() || has_workers) && *instance != self.context.name {
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
        self.relay_reply(instance, self.changes_for(instance))
    }

    fn relay_reply(&mut self, instance: &Name, changes: Vec<(u64, RelayChange)>) -> Relay {
        let grant = self.authority.remaining().min(MAX_GRANT);
        // The instance counts from when it sent the call, which was earlier.
        let grant_end = self.grants.entry(instance.clone()).or_default();
        *grant_end = clock::now().after(grant).max(*grant_end);
        Relay {
            epoch: self.epoch,
            grant,
            lease: self.lease,
            wanted: self.wants_carriers(),
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
