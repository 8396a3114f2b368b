//! Chooses the instances that carry the traffic between the leader and the workers.
//!
//! Answers two loads of a leader. Many starts over a narrow link: each order holds the job's whole
//! payload, so that a job of forty tasks keeps a link of 2 Mbit/s busy for a quarter of a second, and
//! renewals that wait behind it expire. And many workers on a small machine: at 1,100 workers the
//! renewals and orders, one call each, take more than half a core. An instance that carries them
//! gets the payload of a step once, and sends many reports in one call. All decisions stay with the
//! leader.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::time::Time;

/// How long an instance may be silent before its workers are given to others. Leases outlast it and
/// the time until another one has renewed them.
const SILENCE: Duration = Duration::from_millis(2_200);

/// The processor time that a worker's renewals and orders take, in thousandths of a core.
const MILLICORES_PER_WORKER: u64 = 1;

/// The bytes that a worker's renewals and orders take on a link, in kbit/s.
const KBPS_PER_WORKER: u64 = 40;

/// The part of an instance that the traffic of workers may take.
const SHARE: u64 = 4;

/// What an instance can do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Its processor in thousandths of a core.
    pub millicores: u64,
    /// The speed of its link in kbit/s.
    pub link_kbps: u64,
}

impl Capacity {
    /// Returns for how many workers the instance can carry the traffic beside its other work.
    pub fn workers(&self) -> usize {
        let processor = self.millicores / SHARE / MILLICORES_PER_WORKER;
        let link = self.link_kbps / SHARE / KBPS_PER_WORKER;
        processor.min(link) as usize
    }

    /// Tells whether a leader of this capacity needs others for this many workers.
    pub fn needs_carriers(&self, workers: usize) -> bool {
        // The leader's own work is the scheduling, which takes little beside its calls.
        workers > self.workers() * 3
    }
}

/// An instance that carries traffic.
#[derive(Clone, Debug, Default)]
struct Carrier {
    capacity: Capacity,
    failure_domain: Option<Name>,
    /// Whether it takes orders.
    takes_orders: bool,
    /// How many orders it has whose outcome is not known yet.
    open: u64,
    /// How many orders it has had.
    total: u64,
    /// When it last reported about its workers.
    heard: Option<Time>,
    /// How many workers it has.
    workers: usize,
}

impl Carrier {
    fn is_alive(&self, now: Time) -> bool {
        self.heard.is_some_and(|at| now.since(at) < SILENCE)
    }
}

/// The instances that carry traffic.
#[derive(Debug, Default)]
pub struct Carriers {
    instances: BTreeMap<Name, Carrier>,
}

impl Carriers {
    /// Records that an instance takes orders.
    pub fn mark_ready(&mut self, instance: &Name, link_kbps: u64) {
        let carrier = self.instances.entry(instance.clone()).or_default();
        carrier.capacity.link_kbps = link_kbps.max(1);
        carrier.takes_orders = true;
    }

    /// Records that an instance takes no more orders.
    pub fn mark_gone(&mut self, instance: &Name) {
        if let Some(carrier) = self.instances.get_mut(instance) {
            carrier.takes_orders = false;
        }
    }

    /// Chooses the instance whose link is the least busy for a step with this many orders, or `None`
    /// if there is none. Only instances that renew workers carry orders, since a worker serves a
    /// limited number of connections.
    pub fn choose(&mut self, orders: usize) -> Option<Name> {
        let orders = orders as u64;
        let load = |carrier: &Carrier| {
            (carrier.open + orders) as f64 / carrier.capacity.link_kbps.max(1) as f64
        };
        let usable = self
            .instances
            .iter_mut()
            .filter(|(_, carrier)| carrier.takes_orders && carrier.workers > 0);
        let least = usable.min_by(|(_, a), (_, b)| {
            load(a)
                .total_cmp(&load(b))
                .then_with(|| a.total.cmp(&b.total))
        });
        let (name, carrier) = least?;
        carrier.open += orders;
        carrier.total += orders;
        Some(name.clone())
    }

    /// Records the outcome of an order, or that none came in time. An instance that delivers none
    /// takes no orders until it asks for them again.
    pub fn mark_done(&mut self, instance: &Name, lost: bool) {
        if let Some(carrier) = self.instances.get_mut(instance) {
            carrier.open = carrier.open.saturating_sub(1);
            carrier.takes_orders &= !lost;
        }
    }

    /// Records that an instance has reported about its workers.
    pub fn hear(&mut self, instance: &Name, failure_domain: &Name, capacity: Capacity, now: Time) {
        let carrier = self.instances.entry(instance.clone()).or_default();
        carrier.capacity = capacity;
        carrier.failure_domain = Some(failure_domain.clone());
        carrier.heard = Some(now);
    }

    /// Chooses the instance that renews a worker, or `None` if none has room for it: one of the
    /// worker's failure domain if possible, then the largest.
    pub fn assign(&mut self, failure_domain: &Name, now: Time) -> Option<Name> {
        let usable = self.instances.iter_mut().filter(|(_, carrier)| {
            carrier.is_alive(now) && carrier.workers < carrier.capacity.workers()
        });
        let (name, carrier) = usable.max_by_key(|(_, carrier)| {
            let near = carrier.failure_domain.as_ref() == Some(failure_domain);
            let left = carrier.capacity.workers() - carrier.workers;
            (near, carrier.capacity.millicores, left)
        })?;
        carrier.workers += 1;
        Some(name.clone())
    }

    /// Tells whether an instance has workers.
    pub fn has_workers(&self, instance: &Name) -> bool {
        let carrier = self.instances.get(instance);
        carrier.is_some_and(|carrier| carrier.workers > 0)
    }

    /// Tells whether an instance may be given workers and has none.
    pub fn is_idle(&self, instance: &Name) -> bool {
        let carrier = self.instances.get(instance);
        carrier.is_some_and(|carrier| carrier.heard.is_some() && carrier.workers == 0)
    }

    /// Records that an instance no longer renews one of its workers.
    pub fn unassign(&mut self, instance: &Name) {
        if let Some(carrier) = self.instances.get_mut(instance) {
            carrier.workers = carrier.workers.saturating_sub(1);
        }
    }

    /// Returns the instances that have workers and no longer report.
    pub fn silent(&self, now: Time) -> Vec<Name> {
        let silent = self
            .instances
            .iter()
            .filter(|(_, carrier)| carrier.workers > 0 && !carrier.is_alive(now));
        silent.map(|(name, _)| name.clone()).collect()
    }
}
