//! Waiting time, packing and distance to share, from the inputs and outputs of an owner's machine.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::action::Action;
use crate::attempt::Attempt;
use crate::class::Class;
use crate::event::Event;
use crate::name::{Map, Name, Set};
use crate::request::{self, Request};
use crate::resource::Team;
use crate::size::Size;
use crate::time::Time;
use crate::worker::Inventory;

/// The shortest time between two samples of packing and shares.
const SAMPLE: Duration = Duration::from_millis(100);

/// Points of a distribution of waiting times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Distribution {
    /// How many there are.
    pub count: u64,
    /// The median.
    pub p50: Duration,
    /// The 99th percentile.
    pub p99: Duration,
    /// The 99.9th percentile.
    pub p999: Duration,
}

impl Distribution {
    /// Returns the points of a list of waits.
    pub fn of(mut waits: Vec<Duration>) -> Distribution {
        waits.sort_unstable();
        Distribution {
            count: waits.len() as u64,
            p50: nearest(&waits, 0.5),
            p99: nearest(&waits, 0.99),
            p999: nearest(&waits, 0.999),
        }
    }
}

/// Returns a quantile by the nearest rank.
fn nearest(sorted: &[Duration], quantile: f64) -> Duration {
    let rank = (sorted.len() as f64 * quantile).ceil() as usize;
    let index = rank.saturating_sub(1);
    sorted.get(index).copied().unwrap_or_default()
}

impl fmt::Display for Distribution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Distribution {
            count,
            p50,
            p99,
            p999,
        } = self;
        write!(
            f,
            "count {count} p50 {p50:.3?} p99 {p99:.3?} p99.9 {p999:.3?}"
        )
    }
}

/// A request that has not been started yet.
#[derive(Clone, Debug)]
struct Waiting {
    team: Name,
    class: Class,
    size: Size,
    since: Time,
}

/// An attempt that takes room.
#[derive(Clone, Debug)]
struct Placed {
    team: Name,
    worker: Name,
    size: Size,
}

/// What a team has running and waiting.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    running: Size,
    waiting: Size,
    share: u32,
}

/// A mean over time.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    sum: f64,
    seconds: f64,
}

impl Mean {
    fn add(&mut self, value: f64, seconds: f64) {
        self.sum += value * seconds;
        self.seconds += seconds;
    }

    fn get(&self) -> Option<f64> {
        (self.seconds > 0.0).then(|| self.sum / self.seconds)
    }
}

/// The meter of one owner's machine.
#[derive(Debug, Default)]
pub struct Meter {
    capacities: BTreeMap<Name, Size>,
    capacity: Size,
    used: Size,
    loads: BTreeMap<Name, Load>,
    requests: Map<request::Id, Waiting>,
    waiting: Set<request::Id>,
    placed: Map<Attempt, Placed>,
    waits: BTreeMap<Class, Vec<Duration>>,
    packing: Mean,
    distance: Mean,
    sampled: Option<Time>,
}

impl Meter {
    /// Takes an input with the outputs that it gave.
    pub fn observe(&mut self, now: Time, event: &Event, actions: &[Action]) {
        self.sample(now);
        self.input(now, event);
        for action in actions {
            self.output(now, action);
        }
    }

    /// Returns the time from arrival to the first start, by class.
    pub fn waits(&self) -> BTreeMap<Class, Distribution> {
        let classes = self.waits.iter();
        classes
            .map(|(class, waits)| (*class, Distribution::of(waits.clone())))
            .collect()
    }

    /// Returns the mean share of the scarcest resource, slots included, in use while work waits.
    pub fn packing(&self) -> Option<f64> {
        self.packing.get()
    }

    /// Returns the mean part of the fleet that runs for teams above their share while work waits.
    ///
    /// A team's share is what weighted max-min fairness over dominant shares gives it of all that
    /// runs; no team is entitled to more than it runs and has waiting.
    pub fn distance(&self) -> Option<f64> {
        self.distance.get()
    }

    fn sample(&mut self, now: Time) {
        let last = *self.sampled.get_or_insert(now);
        let span = now.since(last);
        if span < SAMPLE {
            return;
        }
        self.sampled = Some(now);
        if self.waiting.is_empty() || self.capacity.is_zero() {
            return;
        }
        let seconds = span.as_secs_f64();
        let slots = self.used.slots as f64 / self.capacity.slots.max(1) as f64;
        let used = self.used.dominant_share(&self.capacity).max(slots);
        self.packing.add(used, seconds);
        self.distance.add(self.unfair(), seconds);
    }

    /// Returns the part of the fleet that runs for teams above their share.
    fn unfair(&self) -> f64 {
        let loads: Vec<Demand> = self
            .loads
            .values()
            .map(|load| Demand {
                running: load.running.dominant_share(&self.capacity),
                wanted: load
                    .running
                    .plus(&load.waiting)
                    .dominant_share(&self.capacity),
                weight: f64::from(load.share.max(1)),
            })
            .filter(|demand| demand.wanted > 0.0)
            .collect();
        let total = loads.iter().map(|demand| demand.running).sum();
        let level = level(&loads, total);
        let above = |demand: &Demand| {
            let entitled = demand.wanted.min(level * demand.weight);
            (demand.running - entitled).max(0.0)
        };
        loads.iter().map(above).sum()
    }

    fn input(&mut self, now: Time, event: &Event) {
        match event {
            Event::Configure { teams, .. } => self.configure(teams),
            Event::Join(spec) => {
                let earlier = self.capacities.insert(spec.name.clone(), spec.capacity);
                let earlier = earlier.unwrap_or_default();
                self.capacity = self.capacity.minus(&earlier).plus(&spec.capacity);
            }
            Event::Leave { worker } | Event::Gone { worker } => self.drop_worker(worker, event),
            Event::Submit(request) => self.arrive(now, request),
            Event::Claimed(inventory) => self.adopt(inventory),
            Event::Refused { attempt, .. } | Event::Ended { attempt, .. } => {
                self.free(*attempt);
                self.wait_again(attempt.request);
            }
            _ => {}
        }
    }

    fn configure(&mut self, teams: &[Team]) {
        for team in teams {
            self.loads.entry(team.name.clone()).or_default().share = team.share;
        }
    }

    fn drop_worker(&mut self, worker: &Name, event: &Event) {
        if let Some(capacity) = self.capacities.remove(worker) {
            self.capacity = self.capacity.minus(&capacity);
        }
        if !matches!(event, Event::Gone { .. }) {
            return;
        }
        let on = self
            .placed
            .iter()
            .filter(|(_, placed)| placed.worker == *worker);
        let attempts: Vec<Attempt> = on.map(|(attempt, _)| *attempt).collect();
        for attempt in attempts {
            self.free(attempt);
        }
    }

    fn arrive(&mut self, now: Time, request: &Request) {
        if self.requests.contains_key(&request.id) {
            return;
        }
        let load = self.loads.entry(request.team.clone()).or_default();
        load.waiting = load.waiting.plus(&request.size);
        self.waiting.insert(request.id);
        let waiting = Waiting {
            team: request.team.clone(),
            class: request.class,
            size: request.size,
            since: now,
        };
        self.requests.insert(request.id, waiting);
    }

    fn adopt(&mut self, inventory: &Inventory) {
        for running in &inventory.running {
            if !self.placed.contains_key(&running.attempt) {
                let team = running.team.clone();
                self.place(running.attempt, team, &inventory.worker, &running.size);
            }
        }
    }

    fn output(&mut self, now: Time, action: &Action) {
        match action {
            Action::Start {
                attempt,
                worker,
                size,
                ..
            } => self.start(now, *attempt, worker, size),
            Action::Answer { request, .. } => {
                self.leave_queue(*request);
                self.requests.remove(request);
            }
            _ => {}
        }
    }

    fn start(&mut self, now: Time, attempt: Attempt, worker: &Name, size: &Size) {
        let first = self.leave_queue(attempt.request);
        let Some(request) = self.requests.get(&attempt.request) else {
            return;
        };
        if first && attempt.number == 1 {
            let waits = self.waits.entry(request.class).or_default();
            waits.push(now.since(request.since));
        }
        let team = request.team.clone();
        if !self.placed.contains_key(&attempt) {
            self.place(attempt, team, worker, size);
        }
    }

    fn place(&mut self, attempt: Attempt, team: Name, worker: &Name, size: &Size) {
        let load = self.loads.entry(team.clone()).or_default();
        load.running = load.running.plus(size);
        self.used = self.used.plus(size);
        let placed = Placed {
            team,
            worker: worker.clone(),
            size: *size,
        };
        self.placed.insert(attempt, placed);
    }

    fn free(&mut self, attempt: Attempt) {
        let Some(placed) = self.placed.remove(&attempt) else {
            return;
        };
        self.used = self.used.minus(&placed.size);
        if let Some(load) = self.loads.get_mut(&placed.team) {
            load.running = load.running.minus(&placed.size);
        }
    }

    /// Counts a request as waiting whose attempt is over, until it is answered or started anew.
    fn wait_again(&mut self, id: request::Id) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if self.waiting.insert(id)
            && let Some(load) = self.loads.get_mut(&request.team)
        {
            load.waiting = load.waiting.plus(&request.size);
        }
    }

    /// Takes a request out of what waits, and tells whether it was there.
    fn leave_queue(&mut self, id: request::Id) -> bool {
        if !self.waiting.remove(&id) {
            return false;
        }
        if let Some(request) = self.requests.get(&id)
            && let Some(load) = self.loads.get_mut(&request.team)
        {
            load.waiting = load.waiting.minus(&request.size);
        }
        true
    }
}

/// What a team runs and wants, as dominant shares.
#[derive(Clone, Copy, Debug)]
struct Demand {
    running: f64,
    wanted: f64,
    weight: f64,
}

/// Returns the share per weight at which `total` is used up, by filling the smallest needs first.
fn level(demands: &[Demand], total: f64) -> f64 {
    let mut sorted = demands.to_vec();
    let need = |demand: &Demand| demand.wanted / demand.weight;
    sorted.sort_by(|a, b| need(a).total_cmp(&need(b)));
    let mut left = total;
    let mut weight: f64 = sorted.iter().map(|demand| demand.weight).sum();
    for demand in &sorted {
        let even = left / weight;
        if need(demand) >= even {
            return even;
        }
        left -= demand.wanted;
        weight -= demand.weight;
    }
    f64::INFINITY
}
