//! Placement of tasks: picks the worker on which the most usable capacity is left.

use std::collections::BTreeSet;

use crate::name::{Map, Name};
use crate::size::Size;
use crate::workers::{Worker, Workers};

/// The number of workers with enough free capacity that are compared.
const MAX_CANDIDATES: usize = 6;

/// The number of workers that a search by index visits before all workers are searched instead.
const MAX_VISITS: usize = 48;

/// The number of free cores below which each number has its own row.
const FINE_CORES: u64 = 64;

/// The amount of free memory, in units of 2 GiB, below which each amount has its own column.
const FINE_MEMORY_UNITS: u64 = 64;

/// The number of free accelerators below which each number has its own family.
const FINE_ACCELERATORS: u64 = 12;

/// The weight of the capacity left on a worker, relative to capacity made unusable.
const EMPTINESS_WEIGHT: f64 = 0.25;

/// The weight of stranded accelerators, relative to an imbalance of cores and memory.
const STRANDED_WEIGHT: f64 = 2.0;

/// The number of families for one region: no accelerators at all, none free, one free, and so on.
const FAMILIES: u16 = 2 + FINE_ACCELERATORS as u16;

/// The key of a worker in the index: family, row (free cores), column (free memory), worker.
type Key = (u16, u16, u16, usize);

/// An index of workers by their free resources.
///
/// A search reads at most a few entries for each row of each family, however many workers there
/// are.
#[derive(Debug, Default)]
pub struct Index {
    keys: BTreeSet<Key>,
    /// The key of each worker that is in the index, by worker.
    by_worker: Vec<Option<Key>>,
}

impl Index {
    /// Updates a worker's free resources, capacity and whether it is in another region.
    ///
    /// `state` is `None` if nothing may be started on the worker.
    pub fn update(&mut self, worker: usize, state: Option<(&Size, &Size, bool)>) {
        if self.by_worker.len() <= worker {
            self.by_worker.resize(worker + 1, None);
        }
        let key = state
            .filter(|(free, _, _)| free.slots > 0)
            .map(|(free, capacity, remote)| key(worker, free, capacity, remote));
        let old = std::mem::replace(&mut self.by_worker[worker], key);
        if old == key {
            return;
        }
        if let Some(old) = old {
            self.keys.remove(&old);
        }
        if let Some(key) = key {
            self.keys.insert(key);
        }
    }

    /// Visits workers that may have enough free capacity for a size, those with the least first,
    /// until `visit` returns true.
    fn visit(&self, size: &Size, mut visit: impl FnMut(usize) -> bool) {
        let (cores, memory) = (row(size.millicores), column(size.memory_mib));
        let needs = size.accelerators.min(FINE_ACCELERATORS) as u16;
        let first = if needs == 0 { 0 } else { 1 + needs };
        let mut keys = self.keys.range((first, cores, memory, 0)..);
        while let Some(&(family, row, column, worker)) = keys.next() {
            let region = family / FAMILIES * FAMILIES;
            let from = if family < region + first {
                (region + first, cores, memory, 0)
            } else if row < cores {
                (family, cores, memory, 0)
            } else if column < memory {
                (family, row, memory, 0)
            } else if visit(worker) {
                return;
            } else {
                continue;
            };
            keys = self.keys.range(from..);
        }
    }
}

/// Returns the key of a worker; workers in other regions come last.
fn key(worker: usize, free: &Size, capacity: &Size, remote: bool) -> Key {
    let accelerators = free.accelerators.min(FINE_ACCELERATORS) as u16;
    let family = if capacity.accelerators == 0 {
        0
    } else {
        1 + accelerators
    };
    let region = if remote { FAMILIES } else { 0 };
    (
        region + family,
        row(free.millicores),
        column(free.memory_mib),
        worker,
    )
}

fn row(millicores: u64) -> u16 {
    bucket(millicores / 1_000, FINE_CORES)
}

fn column(memory_mib: u64) -> u16 {
    bucket(memory_mib / 2_048, FINE_MEMORY_UNITS)
}

/// Returns the bucket of an amount: one bucket per amount below `fine`, and one per doubling above.
fn bucket(amount: u64, fine: u64) -> u16 {
    if amount < fine {
        amount as u16
    } else {
        (fine + u64::from((amount / fine).ilog2())) as u16
    }
}

/// The result of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Find {
    /// The best worker.
    Worker(usize),
    /// No worker has enough free capacity.
    NoCapacity,
    /// Workers have enough free capacity, but none of them is allowed.
    NotAllowed,
}

/// Finds the worker on which the most usable capacity is left after taking `size`.
pub fn best_fit(workers: &Workers, size: &Size, allowed: impl Fn(&Worker) -> bool) -> Find {
    let mut best: Option<(f64, usize)> = None;
    let (mut found, mut visits, mut disallowed) = (0, 0, false);
    workers.index().visit(size, |index| {
        let worker = workers.get(index);
        visits += 1;
        if size.fits(&worker.free()) {
            if allowed(worker) {
                found += 1;
                best = Some(better(best, (waste(worker, size), index)));
            } else {
                disallowed = true;
            }
        }
        found == MAX_CANDIDATES || visits == MAX_VISITS
    });
    match best {
        Some((_, worker)) => Find::Worker(worker),
        None if visits == MAX_VISITS => least_waste(workers.iter(), size, allowed),
        None if disallowed => Find::NotAllowed,
        None => Find::NoCapacity,
    }
}

/// Finds the worker of one rack on which the most usable capacity is left after taking `size`.
pub fn best_fit_in_rack(
    workers: &Workers,
    rack: usize,
    size: &Size,
    allowed: impl Fn(&Worker) -> bool,
) -> Find {
    let indexes = workers.rack(rack).iter();
    least_waste(
        indexes.map(|&index| (index, workers.get(index))),
        size,
        allowed,
    )
}

/// Finds the worker with the least waste among all that are given.
fn least_waste<'a>(
    workers: impl Iterator<Item = (usize, &'a Worker)>,
    size: &Size,
    allowed: impl Fn(&Worker) -> bool,
) -> Find {
    let mut best: Option<(f64, usize)> = None;
    let mut disallowed = false;
    for (index, worker) in workers {
        if !worker.is_open() || !size.fits(&worker.free()) {
            continue;
        }
        if allowed(worker) {
            best = Some(better(best, (waste(worker, size), index)));
        } else {
            disallowed = true;
        }
    }
    match best {
        Some((_, worker)) => Find::Worker(worker),
        None if disallowed => Find::NotAllowed,
        None => Find::NoCapacity,
    }
}

fn better(best: Option<(f64, usize)>, next: (f64, usize)) -> (f64, usize) {
    match best {
        Some(best) if best.0 <= next.0 => best,
        _ => next,
    }
}

/// Returns the waste of placing a size on a worker; lower is better.
///
/// Waste is the capacity that becomes unusable plus, with a lower weight, the capacity that is
/// left, so that fuller workers are preferred.
pub fn waste(worker: &Worker, size: &Size) -> f64 {
    let capacity = &worker.spec.capacity;
    let before = worker.free();
    let after = before.minus(size);
    let loss = unusable(&after, capacity) - unusable(&before, capacity);
    loss + EMPTINESS_WEIGHT * after.dominant_share(capacity)
}

/// Returns the capacity that is unlikely to be used: the imbalance of cores and memory, and
/// accelerators without the cores and memory that they need.
fn unusable(free: &Size, capacity: &Size) -> f64 {
    let cores = fraction(free.millicores, capacity.millicores);
    let memory = fraction(free.memory_mib, capacity.memory_mib);
    let accelerators = fraction(free.accelerators, capacity.accelerators);
    let stranded = (accelerators - cores.min(memory)).max(0.0);
    (cores - memory).abs() + STRANDED_WEIGHT * stranded
}

/// Returns the fraction `amount / total`, or zero if `total` is zero.
fn fraction(amount: u64, total: u64) -> f64 {
    if total == 0 {
        0.0
    } else {
        amount as f64 / total as f64
    }
}

/// The number of tasks of each kind in each failure domain, on each rack and on each worker.
#[derive(Debug, Default)]
pub struct Spread {
    domains: Map<(Name, Name), u32>,
    racks: Map<(Name, usize), u32>,
    workers: Map<(Name, usize), u32>,
}

impl Spread {
    /// Adds a task to the counts.
    pub fn add(&mut self, kind: &Name, worker: usize, at: &Worker) {
        let domain = at.spec.failure_domain.clone();
        *self.domains.entry((kind.clone(), domain)).or_default() += 1;
        *self.racks.entry((kind.clone(), at.rack)).or_default() += 1;
        *self.workers.entry((kind.clone(), worker)).or_default() += 1;
    }

    /// Removes a task from the counts.
    pub fn remove(&mut self, kind: &Name, worker: usize, at: &Worker) {
        let domain = at.spec.failure_domain.clone();
        decrement(&mut self.domains, (kind.clone(), domain));
        decrement(&mut self.racks, (kind.clone(), at.rack));
        decrement(&mut self.workers, (kind.clone(), worker));
    }

    /// Finds the worker with the fewest tasks of a kind in its failure domain, then on its rack,
    /// then on the worker itself.
    ///
    /// Workers in the own region and without accelerators come first; waste breaks ties.
    pub fn fewest_tasks(
        &self,
        workers: &Workers,
        kind: &Name,
        size: &Size,
        allowed: impl Fn(&Worker) -> bool,
    ) -> Find {
        let mut best = None;
        let mut disallowed = false;
        for (index, worker) in workers.iter() {
            if !worker.is_open() || !size.fits(&worker.free()) {
                continue;
            }
            if !allowed(worker) {
                disallowed = true;
                continue;
            }
            let rank = self.rank(workers, kind, index, worker);
            let waste = waste(worker, size);
            let is_better = |(known, least, _): &(_, f64, _)| (rank, waste) < (*known, *least);
            if best.as_ref().is_none_or(is_better) {
                best = Some((rank, waste, index));
            }
        }
        match best {
            Some((_, _, worker)) => Find::Worker(worker),
            None if disallowed => Find::NotAllowed,
            None => Find::NoCapacity,
        }
    }

    fn rank(
        &self,
        workers: &Workers,
        kind: &Name,
        index: usize,
        worker: &Worker,
    ) -> (bool, bool, u32, u32, u32) {
        let domain = (kind.clone(), worker.spec.failure_domain.clone());
        let count = |counts: &Map<(Name, usize), u32>, at: usize| {
            counts.get(&(kind.clone(), at)).copied().unwrap_or(0)
        };
        (
            workers.is_remote(worker),
            worker.spec.capacity.accelerators > 0,
            self.domains.get(&domain).copied().unwrap_or(0),
            count(&self.racks, worker.rack),
            count(&self.workers, index),
        )
    }
}

/// Decrements a count and removes it at zero.
fn decrement<K: std::hash::Hash + Eq>(counts: &mut Map<K, u32>, key: K) {
    if let std::collections::hash_map::Entry::Occupied(mut entry) = counts.entry(key) {
        *entry.get_mut() -= 1;
        if *entry.get() == 0 {
            entry.remove();
        }
    }
}
