//! The faults that are drawn at random, and the registry, which shows some of them.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;

use super::super::worker::Worker;
use super::calendar::Event;
use super::{WORKERS, World, workers};

const TICK: Duration = Duration::from_millis(20);

/// The time until the registry shows a new incarnation of a worker.
const REGISTRY_DELAY: Duration = Duration::from_millis(1_500);

/// How long no one leads after a leader's death.
const PAUSE_MS: Range<u64> = 200..3_000;

/// How long the registry loses a worker.
const UNLISTED: Duration = Duration::from_secs(3);

/// How long a worker can't be reached.
const PARTITION_MS: Range<u64> = 500..8_000;

/// The probability of each kind of fault.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// An order gets no answer and arrives seconds later.
    pub late: f64,
    /// The answer to an order is lost.
    pub lost: f64,
    /// Another instance carries an order, to whichever incarnation of its worker is there then.
    pub carried: f64,
    /// The leader dies; drawn at each tick.
    pub death: f64,
    /// A worker restarts; drawn at each tick.
    pub restarted: f64,
    /// The registry loses a worker for a while; drawn at each tick.
    pub unlisted: f64,
    /// A worker can't be reached for a while; drawn at each tick.
    pub partitioned: f64,
    /// The leader is cut off from the store and some workers for a while; drawn at each tick.
    pub cut: f64,
}

impl Faults {
    /// Tells whether leader and workers stay up and reach each other.
    pub(super) fn only_orders(&self) -> bool {
        let between = [
            self.death,
            self.restarted,
            self.unlisted,
            self.partitioned,
            self.cut,
        ];
        between == [0.0; 5]
    }
}

impl World {
    pub(super) fn chance(&mut self, probability: f64) -> bool {
        let sample: f64 = self.rng.random();
        self.now < self.faults_end && sample < probability
    }

    /// Draws a span of time.
    pub(super) fn span(&mut self, range_ms: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range_ms))
    }

    /// Draws the faults of this tick, and shows the registry to the leader.
    pub(super) fn tick(&mut self) {
        self.schedule(TICK, Event::Tick);
        let epoch = self.store.epoch;
        if self.chance(self.faults.death) && self.leaders.contains_key(&epoch) {
            self.end_leader(epoch);
            let pause = self.span(PAUSE_MS);
            self.schedule(pause, Event::Takeover(epoch));
        }
        if self.chance(self.faults.cut) {
            self.cut_leader();
        }
        (0..WORKERS).for_each(|node| self.tick_worker(node));
        let now = self.now;
        self.unlisted.retain(|_, until| *until > now);
        self.partitioned.retain(|_, until| *until > now);
        self.cuts.retain(|_, cut| cut.until > now);
        let entries = self.entries();
        for (epoch, leader) in &mut self.leaders {
            if self.cuts.get(epoch).is_none_or(|cut| cut.sees_registry) {
                leader.scheduler.update_registry(entries.clone());
            }
        }
    }

    fn tick_worker(&mut self, node: usize) {
        if self.chance(self.faults.restarted) {
            self.workers[node] = Worker::new(self.now, workers::capacity());
        }
        if self.now.since(self.workers[node].born) >= REGISTRY_DELAY {
            self.listed_births[node] = self.workers[node].born;
        }
        if self.chance(self.faults.unlisted) {
            self.unlisted.insert(node, self.now.after(UNLISTED));
        }
        if self.chance(self.faults.partitioned) {
            let span = self.span(PARTITION_MS);
            self.partitioned.insert(node, self.now.after(span));
        }
    }
}
