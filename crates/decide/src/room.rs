//! Workers, and what is booked on them.

use std::collections::BTreeSet;

use crate::attempt::Attempt;
use crate::name::{Map, Name};
use crate::size::Size;
use crate::time::Time;
use crate::worker::Spec;

/// How far a worker obeys this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// No claim has been sent.
    Free,
    /// A claim was sent then and has not been answered.
    Claiming(Time),
    /// It obeys, and what runs there is known.
    Claimed,
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    /// What the instance list says.
    pub spec: Spec,
    /// The index of its rack.
    pub rack: usize,
    /// How far it obeys.
    pub hold: Hold,
    /// Whether it takes nothing new.
    pub leaving: bool,
    /// Whether it is surely gone.
    pub gone: bool,
    /// Whether its circuit is open, so that nothing is started there.
    pub broken: bool,
    /// All that is booked.
    pub booked: Size,
    /// The attempts that are booked.
    pub attempts: BTreeSet<Attempt>,
    /// How many claims in a row went unanswered.
    pub silent: u32,
    /// Whether attempts may be started there.
    open: bool,
}

impl Worker {
    /// Returns what is free.
    pub fn free(&self) -> Size {
        self.spec.capacity.minus(&self.booked)
    }

    /// Tells whether attempts may be started there.
    pub fn is_open(&self) -> bool {
        self.open
    }
}

/// All known workers.
#[derive(Debug, Default)]
pub struct Room {
    workers: Vec<Worker>,
    names: Map<Name, usize>,
    racks: Vec<Vec<usize>>,
}

impl Room {
    /// Takes a worker as listed and returns its index and whether it is new.
    pub fn join(&mut self, spec: Spec, rack: usize) -> (usize, bool) {
        if let Some(&worker) = self.names.get(&spec.name) {
            let known = &mut self.workers[worker];
            let back = known.gone;
            known.gone = false;
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
            rack,
            hold: Hold::Free,
            leaving: false,
            gone: false,
            broken: false,
            booked: Size::ZERO,
            attempts: BTreeSet::new(),
            silent: 0,
            open: false,
        });
        (worker, true)
    }

    /// Returns the index of a worker.
    pub fn find(&self, name: &Name) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Returns a worker.
    pub fn get(&self, worker: usize) -> &Worker {
        &self.workers[worker]
    }

    /// Returns a worker to change; [`Room::refresh`] follows.
    pub fn get_mut(&mut self, worker: usize) -> &mut Worker {
        &mut self.workers[worker]
    }

    /// Returns the indexes of a rack's workers.
    pub fn rack(&self, rack: usize) -> &[usize] {
        self.racks.get(rack).map_or(&[], Vec::as_slice)
    }

    /// Returns all workers.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &Worker)> {
        self.workers.iter().enumerate()
    }

    /// Books an amount for an attempt.
    pub fn book(&mut self, worker: usize, attempt: Attempt, size: &Size) {
        let worker = &mut self.workers[worker];
        worker.booked = worker.booked.plus(size);
        worker.attempts.insert(attempt);
    }

    /// Gives an amount back.
    pub fn free(&mut self, worker: usize, attempt: Attempt, size: &Size) {
        let worker = &mut self.workers[worker];
        worker.booked = worker.booked.minus(size);
        worker.attempts.remove(&attempt);
    }

    /// Works out anew whether attempts may be started on a worker.
    pub fn refresh(&mut self, worker: usize, owned: bool) {
        let worker = &mut self.workers[worker];
        let usable = !worker.leaving && !worker.gone && !worker.broken;
        worker.open = owned && usable && worker.hold == Hold::Claimed;
    }

    /// Returns the first worker that has room and passes `allowed`.
    pub fn first(&self, size: &Size, allowed: impl Fn(&Worker) -> bool) -> Option<usize> {
        let fits = |worker: &Worker| worker.open && size.fits(&worker.free()) && allowed(worker);
        self.workers.iter().position(fits)
    }
}
