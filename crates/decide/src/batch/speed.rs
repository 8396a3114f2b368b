//! The speed of each worker, learnt from the run times of its tasks.
//!
//! Answers a fleet whose workers differ in speed without saying so. Run times spread widely: a task
//! takes half or twice the mean without any fault of its worker, and a few in a hundred take seven
//! times as long. Run times are therefore compared as logarithms, and a single one counts only up to
//! a bound. A worker counts as average until its difference is clear, so that nothing changes on a
//! fleet of like workers.

use std::time::Duration;

use crate::time::Time;

/// How far a single run time counts at most from what was expected, as a logarithm. Nine in ten
/// ordinary run times count in full, and a straggler does not.
const MAX_DEVIATION: f64 = 0.8;

/// The usual spread of the logarithm of run times, with stragglers up to [`MAX_DEVIATION`].
const SPREAD: f64 = 0.5;

/// How many run times the assumption that a worker is average counts for.
const PRIOR_WEIGHT: f64 = 4.0;

/// The most run times that count, so that a worker that has changed is noticed.
const MAX_WEIGHT: f64 = 40.0;

/// The time in which run times lose two thirds of their weight. A worker that was slow for a while
/// counts as average again soon, even if nothing runs there.
const MEMORY: Duration = Duration::from_secs(40);

/// The least difference from the average, as a logarithm, about a fifth. Less is not worth a worse fit.
const MIN_DIFFERENCE: f64 = 0.2;

/// The same for a worker that counts as different already.
const MIN_LASTING_DIFFERENCE: f64 = 0.15;

/// How many standard errors the difference must have. With four, one of 350 like workers was singled
/// out in one of eight simulated runs of 105 s.
const MIN_ERRORS: f64 = 4.5;

/// The same on a fleet that is known to be uneven.
const MIN_ERRORS_IF_UNEVEN: f64 = 3.0;

/// The share of different workers, in percent, and their number, above which a fleet is known to be
/// uneven. Like workers are singled out by chance less often.
const UNEVEN_PERCENT: usize = 3;
const UNEVEN_WORKERS: usize = 3;

/// The same for a worker that counts as different already.
const MIN_LASTING_ERRORS: f64 = 2.0;

/// The bound of a speed as a logarithm, a factor of four.
const MAX_LOG_SPEED: f64 = 1.39;

/// How many run times of a queue must be known before others are compared with them.
const MIN_RUN_TIMES: u32 = 100;

/// The minimum weight of a new run time in the mean of its queue.
const MIN_SAMPLE_WEIGHT: f64 = 0.005;

/// How a worker's speed compares with the average.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Class {
    /// It is clearly slower.
    Slow,
    /// It is not clearly different.
    #[default]
    Average,
    /// It is clearly faster.
    Fast,
}

/// The run times of a queue's tasks, as they would be on an average worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimes {
    /// The mean of the logarithms of seconds.
    mean: f64,
    count: u32,
}

impl RunTimes {
    /// Returns by how much a run was shorter than expected on an average worker, as a logarithm, or
    /// `None` if too little is known.
    pub fn compare(&self, ran: Duration) -> Option<f64> {
        (self.count >= MIN_RUN_TIMES).then(|| self.mean - logarithm(ran))
    }

    /// Adds the run time of a task on a worker.
    pub fn record(&mut self, ran: Duration, speed: &Speed) {
        let mut deviation = logarithm(ran) + speed.logarithm() - self.mean;
        if self.count >= MIN_RUN_TIMES {
            deviation = deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        }
        self.count = self.count.saturating_add(1);
        self.mean += deviation * MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.count));
    }

    /// Returns the typical run time.
    pub fn typical(&self) -> Duration {
        Duration::try_from_secs_f64(self.mean.exp()).unwrap_or(Duration::MAX)
    }
}

/// Tells whether a fleet is known to be uneven if so many of its workers are clearly different.
pub fn is_uneven(different: usize, workers: usize) -> bool {
    different >= UNEVEN_WORKERS && different * 100 > workers * UNEVEN_PERCENT
}

fn logarithm(ran: Duration) -> f64 {
    ran.max(Duration::from_millis(1)).as_secs_f64().ln()
}

/// The estimated speed of one incarnation of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    /// The robust mean of the logarithms of its speed in single runs.
    mean: f64,
    /// How many runs the mean counts for.
    weight: f64,
    /// The time up to which the weight was reduced.
    aged_at: Time,
    class: Class,
}

impl Speed {
    /// Adds a run that was shorter than expected by `deviation`, as a logarithm.
    pub fn record(&mut self, deviation: f64, now: Time) {
        self.age(now);
        let deviation = deviation.clamp(self.mean - MAX_DEVIATION, self.mean + MAX_DEVIATION);
        self.weight = (self.weight + 1.0).min(MAX_WEIGHT);
        self.mean += (deviation - self.mean) / self.weight;
    }

    /// Reduces the weight of what was observed and classifies the worker anew; `is_uneven` tells whether
    /// the fleet is known to be uneven. Returns its class if that has changed.
    pub fn update(&mut self, now: Time, is_uneven: bool) -> Option<Class> {
        self.age(now);
        let (least, errors) = match self.class {
            Class::Average if is_uneven => (MIN_DIFFERENCE, MIN_ERRORS_IF_UNEVEN),
            Class::Average => (MIN_DIFFERENCE, MIN_ERRORS),
            Class::Slow | Class::Fast => (MIN_LASTING_DIFFERENCE, MIN_LASTING_ERRORS),
        };
        let error = SPREAD / (self.weight + PRIOR_WEIGHT).sqrt();
        let clear = least.max(errors * error);
        let class = match self.logarithm() {
            speed if speed <= -clear => Class::Slow,
            speed if speed >= clear => Class::Fast,
            _ => Class::Average,
        };
        let changed = class != self.class;
        self.class = class;
        changed.then_some(class)
    }

    /// Returns how the worker compares with the average.
    pub fn class(&self) -> Class {
        self.class
    }

    /// Returns the speed as a multiple of the average, which is 1 unless the difference is clear.
    pub fn factor(&self) -> f64 {
        match self.class {
            Class::Average => 1.0,
            Class::Slow | Class::Fast => self.logarithm().exp(),
        }
    }

    /// Returns the estimate in percent of the average, clear or not.
    pub fn percent(&self) -> u32 {
        (self.logarithm().exp() * 100.0).round() as u32
    }

    /// Returns how many runs the estimate counts for.
    pub fn runs(&self) -> u32 {
        self.weight.round() as u32
    }

    /// Returns the logarithm of the estimated speed, which is closer to average the fewer runs it
    /// comes from.
    fn logarithm(&self) -> f64 {
        let speed = self.mean * self.weight / (self.weight + PRIOR_WEIGHT);
        speed.clamp(-MAX_LOG_SPEED, MAX_LOG_SPEED)
    }

    fn age(&mut self, now: Time) {
        let span = now.since(self.aged_at);
        self.weight *= (-span.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.aged_at = self.aged_at.max(now);
    }
}
