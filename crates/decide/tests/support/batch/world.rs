//! The simulation: leaders, of which several may live at once, workers, a store, and faults between
//! them.

mod calendar;
mod cut;
mod faults;
mod leader;
mod links;
mod renewal;
mod store;
mod workers;
mod workload;
mod write;

use std::collections::BTreeMap;
use std::time::Duration;

use azurepath_decide::batch::JobId;
use azurepath_decide::batch::spec::Spec;
use azurepath_decide::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use self::faults::Faults;

use super::check::Check;
use super::worker::Worker;
use calendar::{Calendar, Event};
use cut::Cut;
use leader::Leader;
use renewal::Waiting;
use store::Store;

const WORKERS: usize = 6;

/// The simulated time at the start.
const START: Time = Time::from_millis(1_000_000);

/// How long a member of a gang waits for the others.
const GANG_WAIT: Duration = Duration::from_secs(3);

/// How long tasks run at most on a worker whose lease nobody renews.
const LONGEST_LEASE: Duration = Duration::from_secs(6);

/// The time until the first leader claims, and until the first tick.
const FIRST_TAKEOVER: Duration = Duration::ZERO;
const FIRST_TICK: Duration = Duration::from_millis(1);

/// The simulated cluster.
pub struct World {
    pub now: Time,
    pub check: Check,
    pub accepted: Vec<JobId>,
    rng: ChaCha8Rng,
    calendar: Calendar,
    faults: Faults,
    faults_end: Time,
    workers: Vec<Worker>,
    /// The birth of each worker as its entry in the registry shows it.
    listed_births: Vec<Time>,
    /// Until when the registry has lost a worker.
    unlisted: BTreeMap<usize, Time>,
    /// Until when a worker can't be reached.
    partitioned: BTreeMap<usize, Time>,
    specs: BTreeMap<JobId, Spec>,
    store: Store,
    /// The leaders by epoch. All but the last have been deposed and don't know it yet.
    leaders: BTreeMap<u64, Leader>,
    /// The leaders that are cut off, by epoch.
    cuts: BTreeMap<u64, Cut>,
    /// The renewals that wait for an end.
    waiting: Vec<Waiting>,
}

impl World {
    pub fn new(seed: u64, faults: Faults, faults_end: Time) -> World {
        let mut world = World {
            now: START,
            check: Check {
                forbids_alone: faults.only_orders(),
                ..Check::default()
            },
            accepted: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            calendar: Calendar::default(),
            faults,
            faults_end: START.after(faults_end.since(Time::default())),
            workers: vec![Worker::new(START, workers::capacity()); WORKERS],
            listed_births: vec![START; WORKERS],
            unlisted: BTreeMap::new(),
            partitioned: BTreeMap::new(),
            specs: BTreeMap::new(),
            store: Store::default(),
            leaders: BTreeMap::new(),
            cuts: BTreeMap::new(),
            waiting: Vec::new(),
        };
        world.schedule(FIRST_TAKEOVER, Event::Takeover(0));
        world.schedule(FIRST_TICK, Event::Tick);
        world
    }

    /// Runs the simulation for the time `end` and checks that all accepted jobs are in a final
    /// state.
    pub fn run(&mut self, end: Duration) {
        let end = self.now.after(end);
        while let Some((at, event)) = self.calendar.next() {
            if at > end {
                break;
            }
            self.now = at;
            for worker in &mut self.workers {
                worker.advance(at);
            }
            self.handle(event);
            self.assemble_gangs();
            self.answer_renewals();
            self.advance_leaders();
        }
        let store = &self.store;
        self.check.ended(&self.accepted, |id| store.is_final(id));
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.calendar.add(self.now.after(after), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Submit(id) => self.submit_now(id),
            Event::Takeover(epoch) => self.take_over(epoch),
            Event::Connect(mut order, delay) => {
                order.born = self.workers[order.node].born;
                self.schedule(delay, Event::Start(order));
            }
            Event::Start(order) => self.deliver_start(&order),
            Event::Stop(epoch, node, born, attempt) => {
                self.deliver_stop(epoch, node, born, attempt);
            }
            Event::Settle(epoch, worker, attempts) => self.deliver_settle(epoch, worker, attempts),
            Event::Settled(epoch, worker, attempts, report) => {
                if let Some(leader) = self.leaders.get_mut(&epoch) {
                    leader.scheduler.handle_settled(worker, &attempts, &report);
                }
            }
            Event::Started(epoch, worker, attempt, outcome, until_ms) => {
                self.deliver_outcome(epoch, worker, attempt, outcome, until_ms);
            }
            Event::Renew(epoch, worker) => self.renew(epoch, worker),
            Event::Report(epoch, worker, sent, report) => {
                self.deliver_report(epoch, worker, sent, &report);
            }
            Event::Silent(epoch, worker) => self.deliver_silence(epoch, worker),
            Event::Superseded(epoch) => self.end_leader(epoch),
            Event::Stored(write) => self.deliver_write(&write),
            Event::Written(epoch, number, sent) => self.deliver_written(epoch, number, sent),
            Event::Unwritten(epoch, number) => self.repeat_write(epoch, number),
        }
    }
}
