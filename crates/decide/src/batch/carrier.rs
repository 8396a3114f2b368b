//! Chooses the instance that sends a step's start orders to the workers.
//!
//! Answers the load of many starts at a leader with a narrow link: each order holds the job's whole
//! payload, so that a job of forty tasks keeps a link of 2 Mbit/s busy for a quarter of a second, and
//! renewals that wait behind it expire. An instance that carries the orders of a step gets the
//! payload once. All decisions stay with the leader.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::name::Name;
use crate::time::Time;

/// How long nothing is handed to an instance that has lost an order.
const SUSPICION: Duration = Duration::from_secs(2);

/// An instance that carries orders.
#[derive(Clone, Copy, Debug, Default)]
struct Carrier {
    /// The speed of its link in kbit/s.
    link_kbps: u64,
    /// Whether it waits for orders.
    waiting: bool,
    /// How many orders it has whose outcome is not known yet.
    open: u64,
    /// How many orders it has had.
    total: u64,
    /// The time until which it gets none.
    suspect_until: Time,
}

/// The instances that carry orders.
#[derive(Debug, Default)]
pub struct Carriers {
    instances: BTreeMap<Name, Carrier>,
}

impl Carriers {
    /// Records that an instance waits for orders.
    pub fn mark_waiting(&mut self, instance: &Name, link_kbps: u64) {
        let carrier = self.instances.entry(instance.clone()).or_default();
        carrier.link_kbps = link_kbps.max(1);
        carrier.waiting = true;
    }

    /// Records that an instance no longer waits.
    pub fn mark_gone(&mut self, instance: &Name) {
        if let Some(carrier) = self.instances.get_mut(instance) {
            carrier.waiting = false;
        }
    }

    /// Chooses the waiting instance whose link is the least busy for a step with this many orders, or
    /// `None` if none waits.
    pub fn choose(&mut self, orders: usize, now: Time) -> Option<Name> {
        let orders = orders as u64;
        let load = |carrier: &Carrier| (carrier.open + orders) as f64 / carrier.link_kbps as f64;
        let usable = self
            .instances
            .iter_mut()
            .filter(|(_, carrier)| carrier.waiting && now >= carrier.suspect_until);
        let least = usable.min_by(|(_, a), (_, b)| {
            load(a)
                .total_cmp(&load(b))
                .then_with(|| a.total.cmp(&b.total))
        });
        let (name, carrier) = least?;
        carrier.waiting = false;
        carrier.open += orders;
        carrier.total += orders;
        Some(name.clone())
    }

    /// Records the outcome of an order, or that none came in time.
    pub fn mark_done(&mut self, instance: &Name, lost: bool, now: Time) {
        if let Some(carrier) = self.instances.get_mut(instance) {
            carrier.open = carrier.open.saturating_sub(1);
            if lost {
                carrier.suspect_until = now.after(SUSPICION);
            }
        }
    }
}
