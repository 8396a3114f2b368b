//! Estimates when an account's limit lets a new job start.
//!
//! Answers the load of an account that sends several times what its limit can run while the fleet has
//! capacity left. The estimate places the account's waiting work in the order of its ranks as the
//! tasks that hold the limit end. An account whose work fits its limit at once never waits by it. Parts
//! of a limit are those of the resource of which a step needs most, so that steps that need different
//! resources count as if they needed the same one.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Time;

use super::order;

/// The granularity of the times at which parts of a limit become free. It bounds the cost of an
/// estimate, and is short against the slack of urgent jobs, half a second or more.
const TICK: Duration = Duration::from_millis(25);

/// How far the estimate looks ahead. Later waits are as hopeless as this one.
pub const HORIZON: Duration = Duration::from_secs(30);

/// The time over which the rate of accepted work is averaged. Several large jobs of an account arrive
/// in it.
const INFLOW_WINDOW: Duration = Duration::from_secs(3);

/// The time over which the rate of accepted urgent work is averaged for the part that is kept free. It is
/// short, so that other work does not fill the limit first, and so that nothing is kept free for long.
const URGENT_WINDOW: Duration = Duration::from_secs(1);

/// The largest part of a limit that more urgent work is expected to leave to others in vain. The work
/// behind it counts as standing still.
const MIN_LEFT_FRACTION: f64 = 0.02;

/// The part of a limit that is kept free for urgent work, as a multiple of what it uses on average. Its
/// arrivals and run times vary.
const HEADROOM_FACTOR: f64 = 1.1;

/// The largest part of a limit that is kept free for urgent work. An account with under half of its
/// limit in use must not keep a job waiting for seconds that has nothing running.
const MAX_HEADROOM: f64 = 0.5;

/// A running task is expected to run at least this fraction of the mean on, since run times vary widely.
const MIN_REMAINING_FRACTION: f64 = 0.5;

/// A task that has run this many times the mean is one of the few that run several times as long as the
/// others, and is expected to run as long again.
const STRAGGLER_FACTOR: f64 = 2.0;

/// The parts of a limit count as free up to this rounding error.
const ROUNDING: f64 = 1e-9;

/// The rank of an account's work: lower classes are placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class {
    /// Whether the job is beyond its account's weight.
    pub excess: bool,
    /// Its queue's priority.
    pub priority: u32,
}

/// Work that needs a part of an account's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// The part of the limit.
    pub share: f64,
    /// How long it is needed.
    pub time: Duration,
    /// Whether it is needed at once, as by a gang.
    pub whole: bool,
}

/// The work of one account against its limit.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// The part of the limit that is in use.
    held: f64,
    /// The part of the limit that work of other than the highest priority has in use.
    held_by_others: f64,
    /// The parts that become free, by the number of ticks until then.
    releases: BTreeMap<u64, f64>,
    /// The waiting work of each class, in the order in which it is placed.
    waiting: BTreeMap<Class, Vec<Demand>>,
}

impl Load {
    /// Adds a part of the limit that is in use for this time.
    pub fn hold(&mut self, share: f64, remaining: Duration) {
        self.held += share;
        *self.releases.entry(ticks(remaining)).or_default() += share;
    }

    /// Adds a part of the limit that work of other than the highest priority has in use.
    pub fn hold_by_others(&mut self, share: f64) {
        self.held_by_others += share;
    }

    /// Returns how many more tasks of work of other than the highest priority may start, where `share`
    /// is the part of the limit that a task needs, `at_once` how many tasks only start together, and
    /// `headroom` the part that is kept free.
    ///
    /// Work that needs nearly the whole limit starts beside urgent work only.
    pub fn allowed(&self, share: f64, at_once: u64, headroom: f64) -> u64 {
        if headroom <= 0.0 || share <= 0.0 {
            return u64::MAX;
        }
        let left = 1.0 - headroom - self.held_by_others;
        let fitting = ((left + ROUNDING) / share).max(0.0) as u64;
        if self.held_by_others <= ROUNDING {
            fitting.max(at_once)
        } else {
            fitting
        }
    }

    /// Adds waiting work behind that of the same class.
    pub fn add(&mut self, class: Class, demand: Demand) {
        self.waiting.entry(class).or_default().push(demand);
    }

    /// Returns how long new work waits until all of it has started if no other work arrives, at most
    /// [`HORIZON`]. The part `headroom` is kept free for work of the highest priority.
    pub fn wait(&self, class: Class, demand: Demand, headroom: f64) -> Duration {
        let held_by_urgent = self.held - self.held_by_others;
        let kept = if class.priority == 0 {
            0.0
        } else {
            (headroom - held_by_urgent).clamp(0.0, 1.0)
        };
        let most = 1.0 - kept;
        let ahead = self.waiting.range(..=class);
        let ahead = ahead.flat_map(|(_, demands)| demands.iter().copied());
        let mut queue = ahead.chain([demand]);
        let total = queue.clone().fold(self.held, |sum, each| sum + each.share);
        if total <= most + ROUNDING {
            return Duration::ZERO;
        }
        let mut free = most - self.held;
        let mut releases = self.releases.clone();
        let mut now = 0;
        let Some(mut next) = queue.next().map(|demand| bounded(demand, most)) else {
            return Duration::ZERO;
        };
        loop {
            let part = if free + ROUNDING >= next.share {
                next.share
            } else if next.whole {
                0.0
            } else {
                free.max(0.0)
            };
            if part > 0.0 {
                free -= part;
                next.share -= part;
                // Work that ends within a tick still holds its part for one, which bounds the loop.
                let end = now + ticks(next.time).max(1);
                *releases.entry(end).or_default() += part;
            }
            if next.share > ROUNDING {
                let Some((at, share)) = releases.pop_first() else {
                    return HORIZON;
                };
                now = at;
                free += share;
                if now > ticks(HORIZON) {
                    return HORIZON;
                }
                continue;
            }
            match queue.next() {
                Some(demand) => next = bounded(demand, most),
                None => return span(now).min(HORIZON),
            }
        }
    }
}

/// The rates at which work of an account has been accepted, by class.
#[derive(Clone, Debug, Default)]
pub struct Inflow {
    /// The accepted work as the time for which it needs the whole limit; it decays over
    /// [`INFLOW_WINDOW`].
    seconds: BTreeMap<Class, f64>,
    /// The accepted work of the highest priority within the weight; it decays over [`URGENT_WINDOW`].
    urgent_seconds: f64,
    updated_at: Time,
}

impl Inflow {
    /// Adds accepted work.
    pub fn add(&mut self, class: Class, demand: Demand, now: Time) {
        self.urgent_seconds *= self.decay(now, URGENT_WINDOW);
        let decay = self.decay(now, INFLOW_WINDOW);
        self.seconds
            .values_mut()
            .for_each(|seconds| *seconds *= decay);
        self.updated_at = self.updated_at.max(now);
        let work = order::scaled(demand.time, demand.share).as_secs_f64();
        *self.seconds.entry(class).or_default() += work;
        if class.priority == 0 && !class.excess {
            self.urgent_seconds += work;
        }
    }

    /// Returns the part of the limit to keep free for work within the account's weight of the highest
    /// priority. It follows the accepted work, so that nothing is kept free soon after none arrives.
    pub fn headroom(&self, now: Time) -> f64 {
        let seconds = self.urgent_seconds * self.decay(now, URGENT_WINDOW);
        (seconds / URGENT_WINDOW.as_secs_f64() * HEADROOM_FACTOR).min(MAX_HEADROOM)
    }

    /// Returns the wait of work of a class if the work that is ranked before it goes on arriving as it
    /// did, at most [`HORIZON`].
    pub fn extended(&self, class: Class, wait: Duration, now: Time) -> Duration {
        let seconds: f64 = self.seconds.range(..class).map(|(_, work)| work).sum();
        let rate = seconds * self.decay(now, INFLOW_WINDOW) / INFLOW_WINDOW.as_secs_f64();
        order::scaled(wait, 1.0 / (1.0 - rate).max(MIN_LEFT_FRACTION)).min(HORIZON)
    }

    fn decay(&self, now: Time, window: Duration) -> f64 {
        let passed = now.since(self.updated_at).as_secs_f64();
        (-passed / window.as_secs_f64()).exp()
    }
}

/// Returns how long a task that has run for `age` is expected to run on.
pub fn remaining(mean: Duration, age: Duration) -> Duration {
    if age >= order::scaled(mean, STRAGGLER_FACTOR) {
        return age;
    }
    let least = order::scaled(mean, MIN_REMAINING_FRACTION);
    mean.saturating_sub(age).max(least)
}

/// Bounds a demand by the largest part of the limit that it can get: what is wider takes longer.
fn bounded(demand: Demand, most: f64) -> Demand {
    let share = demand.share.min(most);
    Demand {
        share,
        time: order::scaled(demand.time, demand.share / share.max(ROUNDING)),
        ..demand
    }
}

fn ticks(time: Duration) -> u64 {
    let ticks = time.min(HORIZON * 2).as_micros().div_ceil(TICK.as_micros());
    u64::try_from(ticks).unwrap_or(u64::MAX)
}

fn span(ticks: u64) -> Duration {
    TICK * u32::try_from(ticks).unwrap_or(u32::MAX)
}
