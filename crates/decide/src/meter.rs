//! Waiting times, packing and deviation from fair shares, measured from the inputs and outputs of
//! an owner's state machine.

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

/// The minimum time between two samples of packing and shares.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Quantiles of waiting times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Distribution {
    /// The number of waiting times.
    pub count: u64,
    /// The median.
    pub p50: Duration,
    /// The 99th percentile.
    pub p99: Duration,
    /// The 99.9th percentile.
    pub p999: Duration,
}

impl Distribution {
    /// Returns the quantiles of a list of waiting times.
    pub fn of(mut waits: Vec<Duration>) -> Distribution {
        waits.sort_unstable();
        Distribution {
            count: waits.len() as u64,
            p50: quantile_of(&waits, 0.5),
            p99: quantile_of(&waits, 0.99),
            p999: quantile_of(&waits, 0.999),
        }
    }
}

/// Returns a quantile of a sorted list by the nearest-rank method, or zero if the list is empty.
fn quantile_of(sorted: &[Duration], quantile: f64) -> Duration {
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

/// A request that has not been answered yet.
#[derive(Clone, Debug)]
struct Pending {
    team: Name,
    class: Class,
    size: Size,
    since: Time,
}

/// A running attempt and the resources that it occupies.
#[derive(Clone, Debug)]
struct Placed {
    team: Name,
    worker: Name,
    size: Size,
}

/// The running and waiting work of a team.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    running: Size,
    waiting: Size,
    share: u32,
}

/// A time-weighted mean.
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

/// Measures the decisions of one owner's state machine.
#[derive(Debug, Default)]
pub struct Meter {
    capacities: BTreeMap<Name, Size>,
    capacity: Size,
    used: Size,
    loads: BTreeMap<Name, Load>,
    requests: Map<request::Id, Pending>,
    waiting: Set<request::Id>,
    placed: Map<Attempt, Placed>,
    waits: BTreeMap<Class, Vec<Duration>>,
    packing: Mean,
    distance: Mean,
    last_sample: Option<Time>,
}

impl Meter {
    /// Records an input of the state machine and the outputs that it produced.
    pub fn observe(&mut self, now: Time, event: &Event, actions: &[Action]) {
        self.sample(now);
        self.record_event(now, event);
        for action in actions {
            self.record_action(now, action);
        }
    }

    /// Returns the distribution of the time from arrival to the first start, by class.
    pub fn waits(&self) -> BTreeMap<Class, Distribution> {
        let classes = self.waits.iter();
        classes
            .map(|(class, waits)| (*class, Distribution::of(waits.clone())))
            .collect()
    }

    /// Returns the mean fraction in use of the scarcest resource, slots included, while work waits.
    pub fn packing(&self) -> Option<f64> {
        self.packing.get()
    }

    /// Returns the mean fraction of the fleet that runs work in excess of its team's fair share
    /// while work waits.
    ///
    /// A team's fair share is the part of all running work that weighted max-min fairness over
    /// dominant shares gives it. It is never more than what the team has running and waiting.
    pub fn distance(&self) -> Option<f64> {
        self.distance.get()
    }

    fn sample(&mut self, now: Time) {
        let last = *self.last_sample.get_or_insert(now);
        let span = now.since(last);
        if span < SAMPLE_INTERVAL {
            return;
        }
        self.last_sample = Some(now);
        if self.waiting.is_empty() || self.capacity.is_zero() {
            return;
        }
        let seconds = span.as_secs_f64();
        let slots = self.used.slots as f64 / self.capacity.slots.max(1) as f64;
        let used = self.used.dominant_share(&self.capacity).max(slots);
        self.packing.add(used, seconds);
        self.distance.add(self.excess(), seconds);
    }

    /// Returns the fraction of the fleet that runs work in excess of its team's fair share.
    fn excess(&self) -> f64 {
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
        let fair_level = fair_level(&loads, total);
        let excess = |demand: &Demand| {
            let entitled = demand.wanted.min(fair_level * demand.weight);
            (demand.running - entitled).max(0.0)
        };
        loads.iter().map(excess).sum()
    }

    fn record_event(&mut self, now: Time, event: &Event) {
        match event {
            Event::Configure { teams, .. } => self.configure(teams),
            Event::Join(spec) => {
                let earlier = self.capacities.insert(spec.name.clone(), spec.capacity);
                let earlier = earlier.unwrap_or_default();
                self.capacity = self.capacity.minus(&earlier).plus(&spec.capacity);
            }
            Event::Leave { worker } | Event::Gone { worker } => self.remove_worker(worker, event),
            Event::Submit(request) => self.enqueue(now, request),
            Event::Claimed(inventory) => self.add_running(inventory),
            Event::Refused { attempt, .. } | Event::Ended { attempt, .. } => {
                self.release(*attempt);
                self.requeue(attempt.request);
            }
            _ => {}
        }
    }

    fn configure(&mut self, teams: &[Team]) {
        for team in teams {
            self.loads.entry(team.name.clone()).or_default().share = team.share;
        }
    }

    fn remove_worker(&mut self, worker: &Name, event: &Event) {
        if let Some(capacity) = self.capacities.remove(worker) {
            self.capacity = self.capacity.minus(&capacity);
        }
        if !matches!(event, Event::Gone { .. }) {
            return;
        }
        let on_worker = self
            .placed
            .iter()
            .filter(|(_, placed)| placed.worker == *worker);
        let attempts: Vec<Attempt> = on_worker.map(|(attempt, _)| *attempt).collect();
        for attempt in attempts {
            self.release(attempt);
        }
    }

    fn enqueue(&mut self, now: Time, request: &Request) {
        if self.requests.contains_key(&request.id) {
            return;
        }
        let load = self.loads.entry(request.team.clone()).or_default();
        load.waiting = load.waiting.plus(&request.size);
        self.waiting.insert(request.id);
        let pending = Pending {
            team: request.team.clone(),
            class: request.class,
            size: request.size,
            since: now,
        };
        self.requests.insert(request.id, pending);
    }

    fn add_running(&mut self, inventory: &Inventory) {
        for running in &inventory.running {
            if !self.placed.contains_key(&running.attempt) {
                let team = running.team.clone();
                self.place(running.attempt, team, &inventory.worker, &running.size);
            }
        }
    }

    fn record_action(&mut self, now: Time, action: &Action) {
        match action {
            Action::Start {
                attempt,
                worker,
                size,
                ..
            } => self.start(now, *attempt, worker, size),
            Action::Answer { request, .. } => {
                self.dequeue(*request);
                self.requests.remove(request);
            }
            _ => {}
        }
    }

    fn start(&mut self, now: Time, attempt: Attempt, worker: &Name, size: &Size) {
        let was_waiting = self.dequeue(attempt.request);
        let Some(request) = self.requests.get(&attempt.request) else {
            return;
        };
        if was_waiting && attempt.number == 1 {
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

    fn release(&mut self, attempt: Attempt) {
        let Some(placed) = self.placed.remove(&attempt) else {
            return;
        };
        self.used = self.used.minus(&placed.size);
        if let Some(load) = self.loads.get_mut(&placed.team) {
            load.running = load.running.minus(&placed.size);
        }
    }

    /// Counts a request whose attempt is over as waiting until it is answered or started again.
    fn requeue(&mut self, id: request::Id) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if self.waiting.insert(id)
            && let Some(load) = self.loads.get_mut(&request.team)
        {
            load.waiting = load.waiting.plus(&request.size);
        }
    }

    /// Removes a request from the waiting ones and returns whether it was among them.
    fn dequeue(&mut self, id: request::Id) -> bool {
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

/// The running and the total work of a team as dominant shares, and the team's weight.
#[derive(Clone, Copy, Debug)]
struct Demand {
    running: f64,
    wanted: f64,
    weight: f64,
}

/// Returns the share per unit of weight at which `total` is used up, satisfying the smallest needs
/// first (water filling).
fn fair_level(demands: &[Demand], total: f64) -> f64 {
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
