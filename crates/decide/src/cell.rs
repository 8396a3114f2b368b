//! A cell: the racks that one server owns, with their workers, attempts and queue.
//!
//! [`Cell`] is a state machine without I/O. It is given events and returns the actions that the
//! server has to carry out.

mod attempt;
mod claim;
mod demand;
mod dump;
mod gangs;
mod history;
mod intake;
mod job;
mod place;
mod preempt;
mod probe;
mod racks;
mod retry;
mod summary;
mod timer;
mod usage;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::{Deserialize, Serialize};

use crate::action::Action;
use crate::attempt::Attempt;
use crate::event::Event;
use crate::fair::Teams;
use crate::health::Health;
use crate::learn::Learner;
use crate::ledger::Ledger;
use crate::name::{Map, Name};
use crate::placement::Spread;
use crate::policy::Policy;
use crate::queue::Queue;
use crate::request;
use crate::retry::Budget;
use crate::share::Summary;
use crate::size::Size;
use crate::time::Time;
use crate::workers::Workers;

pub use dump::{AttemptDump, Dump, RackDump, TeamDump, WorkerDump};
pub use job::State;

use gangs::Gang;
use history::History;
use job::{Booking, Job};
use timer::Timer;

/// Gap between two events from which on the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Time after a pause in which nothing is placed, so that missed events are handled first.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);

/// Parameters of a cell.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Setup {
    /// The name of the server.
    pub server: Name,
    /// The seed of all random choices.
    pub seed: u64,
    /// The scheduling and placement policy.
    #[serde(default)]
    pub policy: Policy,
    /// The server's region, whose workers are preferred.
    #[serde(default)]
    pub region: Option<Name>,
}

/// The distinct capacities of single workers.
#[derive(Debug, Default)]
struct Ceilings {
    /// Capacities of the workers of owned racks that are neither leaving nor gone.
    own: BTreeSet<Size>,
    /// Capacities of all known workers that are not gone.
    fleet: BTreeSet<Size>,
}

/// Scheduler of the racks that one server owns.
#[derive(Debug)]
pub struct Cell {
    setup: Setup,
    now: Time,
    /// The end of the time after a pause in which nothing is placed.
    catching_up_until: Option<Time>,
    revision: Option<u64>,
    teams: Teams,
    ledger: Ledger,
    workers: Workers,
    ceilings: Ceilings,
    queue: Queue,
    spread: Spread,
    jobs: Map<request::Id, Box<Job>>,
    bookings: Map<Attempt, Booking>,
    resuming: BTreeMap<request::Id, Option<usize>>,
    history: History,
    gangs: BTreeMap<request::Id, Gang>,
    changed_gangs: BTreeSet<request::Id>,
    learner: Learner,
    health: Health,
    budget: Budget,
    published: Option<(Time, Summary)>,
    timers: BTreeSet<(Time, Timer)>,
    dirty_workers: BTreeSet<usize>,
    freed_allotments: BTreeSet<(usize, usize)>,
    arrivals: u64,
    last_demand: Option<Time>,
    allotment_short: bool,
    next_demand_team: usize,
    rng: ChaCha8Rng,
    actions: Vec<Action>,
}

impl Cell {
    /// Creates a cell that owns no rack.
    pub fn new(setup: Setup) -> Cell {
        let rng = ChaCha8Rng::seed_from_u64(setup.seed);
        Cell {
            now: Time::default(),
            catching_up_until: None,
            revision: None,
            teams: Teams::default(),
            ledger: Ledger::default(),
            workers: Workers::new(setup.region.clone()),
            ceilings: Ceilings::default(),
            queue: Queue::default(),
            spread: Spread::default(),
            jobs: Map::default(),
            bookings: Map::default(),
            resuming: BTreeMap::new(),
            history: History::default(),
            gangs: BTreeMap::new(),
            changed_gangs: BTreeSet::new(),
            learner: Learner::default(),
            health: Health::default(),
            budget: Budget::default(),
            published: None,
            timers: BTreeSet::new(),
            dirty_workers: BTreeSet::new(),
            freed_allotments: BTreeSet::new(),
            arrivals: 0,
            last_demand: None,
            allotment_short: false,
            next_demand_team: 0,
            rng,
            setup,
            actions: Vec::new(),
        }
    }

    /// Returns the parameters of the cell.
    pub fn setup(&self) -> &Setup {
        &self.setup
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        std::mem::swap(&mut self.actions, actions);
        self.advance_time(now);
        self.run_timers();
        self.dispatch(event);
        self.fill_dirty();
        self.report_held_places();
        self.demand_allotments();
        self.publish();
        std::mem::swap(&mut self.actions, actions);
    }

    /// Advances the clock; after a pause, placement waits until missed events have been handled.
    fn advance_time(&mut self, now: Time) {
        let started = self.now != Time::default();
        if started && now.since(self.now) >= PAUSE_THRESHOLD {
            let until = now.after(CATCH_UP_TIME);
            self.catching_up_until = Some(until);
            self.set_timer(until, Timer::CatchUp);
        }
        self.now = self.now.max(now);
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Configure { revision, teams } => self.configure(revision, &teams),
            Event::Gain(grant) => self.gain(&grant),
            Event::Lose { rack } => self.lose(&rack),
            Event::Allot(allotted) => self.allot(&allotted),
            Event::Join(spec) => self.join(spec),
            Event::Leave { worker } => self.leave(&worker),
            Event::Gone { worker } => self.gone(&worker),
            Event::Claimed(inventory) => self.claimed(&inventory),
            Event::Unreachable { worker } => self.unreachable(&worker),
            Event::Submit(request) => self.submit(request),
            Event::Resume(request) => self.resume(request),
            Event::Cancel { request } => self.cancel(request),
            Event::Started { attempt, worker } => self.started(attempt, &worker),
            Event::Refused {
                attempt,
                worker,
                refusal,
            } => self.refused(attempt, &worker, refusal),
            Event::Ended {
                attempt,
                worker,
                outcome,
            } => self.ended(attempt, &worker, outcome),
            Event::Lost { attempt, worker } => self.lost(attempt, &worker),
            Event::Peer(summary) => self.teams.update_peer(summary),
            Event::Reclaim(demand) => self.reclaim(&demand),
            Event::Keep(demand) => self.keep(&demand),
            Event::Report(report) => self.report(&report),
            Event::Probed { worker, healthy } => self.probed(&worker, healthy),
            Event::Reserve(request) => self.reserve(request),
            Event::Commit { gang } => self.commit(gang),
            Event::Release { gang } => self.release(gang),
            Event::Tick => {}
        }
    }
}
