//! Known workers and the resources booked on them.

use std::collections::BTreeSet;

use crate::attempt::Attempt;
use crate::name::{Map, Name};
use crate::placement::{Find, Index};
use crate::size::Size;
use crate::time::Time;
use crate::worker::Spec;

/// State of this process's claim on a worker, which it needs to start attempts there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The worker is not claimed, and no claim is pending.
    Unclaimed,
    /// A claim was sent at this time and has not been answered.
    Pending(Time),
    /// The worker accepts starts from this process, which knows what runs there.
    Claimed,
}

/// A worker as this process knows it.
#[derive(Debug)]
pub struct Worker {
    /// Its entry in the instance list.
    pub spec: Spec,
    /// Its own index.
    pub index: usize,
    /// The index of its rack.
    pub rack: usize,
    /// The state of the claim on it.
    pub claim: Claim,
    /// The epoch under which its last inventory was received.
    pub inventory_epoch: u64,
    /// Whether it is leaving and accepts no new attempts.
    pub leaving: bool,
    /// Whether it is confirmed to be gone.
    pub gone: bool,
    /// Whether its circuit breaker keeps attempts from being started there.
    pub circuit_open: bool,
    /// The total booked size.
    pub booked: Size,
    /// The booked attempts.
    pub attempts: BTreeSet<Attempt>,
    /// The booked size that may be preempted for urgent work.
    pub preemptible: Size,
    /// The booked size of attempts that were sent an interrupt that ends them.
    pub ending: Size,
    /// The size that is reserved for waiting urgent requests.
    pub reserved: Size,
    /// When it is probed next while it is quarantined.
    pub probe_at: Time,
    /// Number of consecutive claims without an answer.
    pub unanswered_claims: u32,
    /// Whether attempts may be started there.
    open: bool,
}

impl Worker {
    /// Returns the free resources.
    pub fn free(&self) -> Size {
        self.spec.capacity.minus(&self.booked)
    }

    /// Tells whether attempts may be started there and a task slot is free.
    pub fn has_slot(&self) -> bool {
        self.open && self.booked.slots < self.spec.capacity.slots
    }

    /// Tells whether attempts may be started there.
    pub fn is_open(&self) -> bool {
        self.open
    }
}

/// All known workers.
#[derive(Debug, Default)]
pub struct Workers {
    workers: Vec<Worker>,
    names: Map<Name, usize>,
    racks: Vec<Vec<usize>>,
    region: Option<Name>,
    index: Index,
}

impl Workers {
    /// Creates an empty table, which treats workers outside `region` as remote.
    pub fn new(region: Option<Name>) -> Workers {
        Workers {
            region,
            ..Workers::default()
        }
    }

    /// Returns the index of workers by free resources.
    pub fn index(&self) -> &Index {
        &self.index
    }

    /// Tells whether a worker is in another region than the server.
    pub fn is_remote(&self, worker: &Worker) -> bool {
        let region = self.region.as_ref();
        region.is_some_and(|region| *region != worker.spec.region)
    }

    fn update_index(&mut self, worker: usize) {
        let known = &self.workers[worker];
        let free = known.free();
        let remote = self.is_remote(known);
        let state = known.open.then_some((&free, &known.spec.capacity, remote));
        self.index.update(worker, state);
    }

    /// Adds or updates a worker from the instance list.
    ///
    /// Returns its index and whether it is new or was gone before.
    pub fn join(&mut self, spec: Spec, rack: usize) -> (usize, bool) {
        if let Some(&worker) = self.names.get(&spec.name) {
            let known = &mut self.workers[worker];
            let back = known.gone;
            known.gone = false;
            known.leaving = false;
            known.spec.capacity = spec.capacity;
            return (worker, back);
        }
        let worker = self.workers.len();
        self.names.insert(spec.name.clone(), worker);
        if self.racks.len() <= rack {
            self.racks.resize_with(rack + 1, Vec::new);
        }
        self.racks[rack].push(worker);
        self.workers.push(Worker {
            spec,
            index: worker,
            rack,
            claim: Claim::Unclaimed,
            inventory_epoch: 0,
            leaving: false,
            gone: false,
            circuit_open: false,
            booked: Size::ZERO,
            attempts: BTreeSet::new(),
            preemptible: Size::ZERO,
            ending: Size::ZERO,
            reserved: Size::ZERO,
            probe_at: Time::default(),
            unanswered_claims: 0,
            open: false,
        });
        (worker, true)
    }

    /// Returns the index of a worker, if it is known.
    pub fn find(&self, name: &Name) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Returns a worker.
    pub fn get(&self, worker: usize) -> &Worker {
        &self.workers[worker]
    }

    /// Returns a worker for changes.
    ///
    /// [`Workers::refresh`] must be called after a change that affects whether it may be used.
    pub fn get_mut(&mut self, worker: usize) -> &mut Worker {
        &mut self.workers[worker]
    }

    /// Returns the indexes of a rack's workers.
    pub fn rack(&self, rack: usize) -> &[usize] {
        self.racks.get(rack).map_or(&[], Vec::as_slice)
    }

    /// Returns the total capacity of a rack's workers that are neither gone nor leaving.
    pub fn capacity(&self, rack: usize) -> Size {
        let workers = self.rack(rack).iter().map(|&worker| self.get(worker));
        workers
            .filter(|worker| !worker.gone && !worker.leaving)
            .fold(Size::ZERO, |sum, worker| sum.plus(&worker.spec.capacity))
    }

    /// Returns the total capacity of a rack's workers of which no inventory has been received under
    /// an epoch.
    pub fn capacity_without_inventory(&self, rack: usize, epoch: u64) -> Size {
        let workers = self.rack(rack).iter().map(|&worker| self.get(worker));
        workers
            .filter(|worker| !worker.gone && worker.inventory_epoch != epoch)
            .fold(Size::ZERO, |sum, worker| sum.plus(&worker.spec.capacity))
    }

    /// Returns all workers.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &Worker)> {
        self.workers.iter().enumerate()
    }

    /// Returns all workers in a circle, beginning with index `start` modulo their number.
    pub fn iter_from(&self, start: usize) -> impl Iterator<Item = (usize, &Worker)> {
        let count = self.workers.len();
        let indexes = (0..count).map(move |index| (index + start % count) % count);
        indexes.map(|index| (index, &self.workers[index]))
    }

    /// Books a size for an attempt.
    pub fn book(&mut self, worker: usize, attempt: Attempt, size: &Size) {
        let known = &mut self.workers[worker];
        known.booked = known.booked.plus(size);
        known.attempts.insert(attempt);
        self.update_index(worker);
    }

    /// Releases the booked size of an attempt.
    pub fn release(&mut self, worker: usize, attempt: Attempt, size: &Size) {
        let known = &mut self.workers[worker];
        known.booked = known.booked.minus(size);
        known.attempts.remove(&attempt);
        self.update_index(worker);
    }

    /// Recomputes whether attempts may be started on a worker.
    pub fn refresh(&mut self, worker: usize, owned: bool) {
        let known = &mut self.workers[worker];
        let usable = !known.leaving && !known.gone && !known.circuit_open;
        known.open = owned && usable && known.claim == Claim::Claimed;
        self.update_index(worker);
    }

    /// Finds the first worker with enough free resources for a size that satisfies `allowed`.
    pub fn first_fit(&self, size: &Size, allowed: impl Fn(&Worker) -> bool) -> Find {
        let mut refused = false;
        for (index, worker) in self.iter() {
            if !worker.open || !size.fits(&worker.free()) {
                continue;
            }
            if allowed(worker) {
                return Find::Worker(index);
            }
            refused = true;
        }
        if refused {
            Find::NotAllowed
        } else {
            Find::NoCapacity
        }
    }
}
