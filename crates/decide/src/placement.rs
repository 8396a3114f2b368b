//! Where a task goes: on the worker that leaves the most usable room behind.

use std::collections::BTreeSet;

use crate::name::{Map, Name};
use crate::room::{Room, Worker};
use crate::size::Size;

/// How many workers with room are compared.
const CANDIDATES: usize = 6;

/// How many workers are looked at before the search by index is given up.
const PROBES: usize = 48;

/// Cores up to which every core has a row of its own.
const FINE_CORES: u64 = 64;

/// Pairs of gibibytes up to which every pair has a column of its own.
const FINE_PAIRS: u64 = 64;

/// How many free accelerators are told apart.
const FINE_ACCELERATORS: u64 = 12;

/// What an emptier worker weighs against room made unusable.
const EMPTINESS: f64 = 0.25;

/// What a stranded accelerator weighs against cores or memory that are out of balance.
const STRANDED: f64 = 2.0;

/// The families of one region: no accelerators at all, none free, one free, ...
const FAMILIES: u16 = 2 + FINE_ACCELERATORS as u16;

/// The place of a worker in the index: family, free cores, free memory, worker.
type Spot = (u16, u16, u16, usize);

/// Workers by what is free on them.
///
/// A search reads at most a few entries for each row of each family, however many workers there
/// are.
#[derive(Debug, Default)]
pub struct Index {
    spots: BTreeSet<Spot>,
    places: Vec<Option<Spot>>,
}

impl Index {
    /// Takes the state of a worker; `None` where nothing may be started there.
    pub fn update(&mut self, worker: usize, state: Option<(&Size, &Size, bool)>) {
        if self.places.len() <= worker {
            self.places.resize(worker + 1, None);
        }
        let spot = state
            .filter(|(free, _, _)| free.slots > 0)
            .map(|(free, capacity, remote)| spot(worker, free, capacity, remote));
        let old = std::mem::replace(&mut self.places[worker], spot);
        if old == spot {
            return;
        }
        if let Some(old) = old {
            self.spots.remove(&old);
        }
        if let Some(spot) = spot {
            self.spots.insert(spot);
        }
    }

    /// Visits workers that may have room for a size, tightest first, until `visit` says stop.
    fn visit(&self, size: &Size, mut visit: impl FnMut(usize) -> bool) {
        let (cores, memory) = (row(size.millicores), column(size.memory_mib));
        let needs = size.accelerators.min(FINE_ACCELERATORS) as u16;
        let first = if needs == 0 { 0 } else { 1 + needs };
        let mut spots = self.spots.range((first, cores, memory, 0)..);
        while let Some(&(family, row, column, worker)) = spots.next() {
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
            spots = self.spots.range(from..);
        }
    }
}

fn spot(worker: usize, free: &Size, capacity: &Size, remote: bool) -> Spot {
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
    bucket(memory_mib / 2_048, FINE_PAIRS)
}

/// Numbers amounts one by one up to `fine`, and by powers of two beyond.
fn bucket(amount: u64, fine: u64) -> u16 {
    if amount < fine {
        amount as u16
    } else {
        (fine + u64::from((amount / fine).ilog2())) as u16
    }
}

/// What a search has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Find {
    /// The worker to take.
    Worker(usize),
    /// No worker has room.
    NoRoom,
    /// Workers have room, but none that is allowed.
    NotAllowed,
}

/// Finds the worker on which a size leaves the most usable room behind.
pub fn best_fit(room: &Room, size: &Size, allowed: impl Fn(&Worker) -> bool) -> Find {
    let mut best: Option<(f64, usize)> = None;
    let (mut found, mut probes, mut refused) = (0, 0, false);
    room.index().visit(size, |index| {
        let worker = room.get(index);
        probes += 1;
        if size.fits(&worker.free()) {
            if allowed(worker) {
                found += 1;
                best = Some(better(best, (waste(worker, size), index)));
            } else {
                refused = true;
            }
        }
        found == CANDIDATES || probes == PROBES
    });
    match best {
        Some((_, worker)) => Find::Worker(worker),
        None if probes == PROBES => least_waste(room.iter(), size, allowed),
        None if refused => Find::NotAllowed,
        None => Find::NoRoom,
    }
}

/// Finds the worker of one rack on which a size leaves the most usable room behind.
pub fn best_fit_in_rack(
    room: &Room,
    rack: usize,
    size: &Size,
    allowed: impl Fn(&Worker) -> bool,
) -> Find {
    let workers = room.rack(rack).iter();
    least_waste(
        workers.map(|&index| (index, room.get(index))),
        size,
        allowed,
    )
}

/// Looks at all workers that are given.
fn least_waste<'a>(
    workers: impl Iterator<Item = (usize, &'a Worker)>,
    size: &Size,
    allowed: impl Fn(&Worker) -> bool,
) -> Find {
    let mut best: Option<(f64, usize)> = None;
    let mut refused = false;
    for (index, worker) in workers {
        if !worker.is_open() || !size.fits(&worker.free()) {
            continue;
        }
        if allowed(worker) {
            best = Some(better(best, (waste(worker, size), index)));
        } else {
            refused = true;
        }
    }
    match best {
        Some((_, worker)) => Find::Worker(worker),
        None if refused => Find::NotAllowed,
        None => Find::NoRoom,
    }
}

fn better(best: Option<(f64, usize)>, next: (f64, usize)) -> (f64, usize) {
    match best {
        Some(best) if best.0 <= next.0 => best,
        _ => next,
    }
}

/// Rates what a size would leave on a worker: room made unusable is waste, and so, less, is room
/// on a worker that was emptier than others.
pub fn waste(worker: &Worker, size: &Size) -> f64 {
    let capacity = &worker.spec.capacity;
    let before = worker.free();
    let after = before.minus(size);
    let loss = unusable(&after, capacity) - unusable(&before, capacity);
    loss + EMPTINESS * after.dominant_share(capacity)
}

/// Rates the room that nothing is likely to use: unbalanced cores and memory, and accelerators
/// without cores and memory to go with them.
fn unusable(free: &Size, capacity: &Size) -> f64 {
    let cores = part(free.millicores, capacity.millicores);
    let memory = part(free.memory_mib, capacity.memory_mib);
    let accelerators = part(free.accelerators, capacity.accelerators);
    let stranded = (accelerators - cores.min(memory)).max(0.0);
    (cores - memory).abs() + STRANDED * stranded
}

fn part(amount: u64, of: u64) -> f64 {
    if of == 0 {
        0.0
    } else {
        amount as f64 / of as f64
    }
}

/// How many tasks of each kind run in each failure domain and rack.
#[derive(Debug, Default)]
pub struct Spread {
    domains: Map<(Name, Name), u32>,
    racks: Map<(Name, usize), u32>,
    workers: Map<(Name, usize), u32>,
}

impl Spread {
    /// Counts a task in.
    pub fn add(&mut self, kind: &Name, worker: usize, at: &Worker) {
        let domain = at.spec.failure_domain.clone();
        *self.domains.entry((kind.clone(), domain)).or_default() += 1;
        *self.racks.entry((kind.clone(), at.rack)).or_default() += 1;
        *self.workers.entry((kind.clone(), worker)).or_default() += 1;
    }

    /// Counts a task out.
    pub fn remove(&mut self, kind: &Name, worker: usize, at: &Worker) {
        let domain = at.spec.failure_domain.clone();
        take(&mut self.domains, (kind.clone(), domain));
        take(&mut self.racks, (kind.clone(), at.rack));
        take(&mut self.workers, (kind.clone(), worker));
    }

    /// Finds the worker whose failure domain, rack and self run the fewest tasks of the kind.
    pub fn fewest_tasks(
        &self,
        room: &Room,
        kind: &Name,
        size: &Size,
        allowed: impl Fn(&Worker) -> bool,
    ) -> Find {
        let mut best = None;
        let mut refused = false;
        for (index, worker) in room.iter() {
            if !worker.is_open() || !size.fits(&worker.free()) {
                continue;
            }
            if !allowed(worker) {
                refused = true;
                continue;
            }
            let rank = self.rank(room, kind, index, worker);
            let waste = waste(worker, size);
            let ahead = |(known, least, _): &(_, f64, _)| (rank, waste) < (*known, *least);
            if best.as_ref().is_none_or(ahead) {
                best = Some((rank, waste, index));
            }
        }
        match best {
            Some((_, _, worker)) => Find::Worker(worker),
            None if refused => Find::NotAllowed,
            None => Find::NoRoom,
        }
    }

    fn rank(
        &self,
        room: &Room,
        kind: &Name,
        index: usize,
        worker: &Worker,
    ) -> (bool, bool, u32, u32, u32) {
        let domain = (kind.clone(), worker.spec.failure_domain.clone());
        let count = |counts: &Map<(Name, usize), u32>, at: usize| {
            counts.get(&(kind.clone(), at)).copied().unwrap_or(0)
        };
        (
            room.is_remote(worker),
            worker.spec.capacity.accelerators > 0,
            self.domains.get(&domain).copied().unwrap_or(0),
            count(&self.racks, worker.rack),
            count(&self.workers, index),
        )
    }
}

fn take<K: std::hash::Hash + Eq>(counts: &mut Map<K, u32>, key: K) {
    if let std::collections::hash_map::Entry::Occupied(mut entry) = counts.entry(key) {
        *entry.get_mut() -= 1;
        if *entry.get() == 0 {
            entry.remove();
        }
    }
}
