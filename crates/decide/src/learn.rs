//! Estimates of the resource use and run time of kinds of work, learnt from workers' reports.

use std::time::Duration;

use crate::name::{Map, Name};
use crate::size::Size;

/// The number of samples that an estimate needs.
const MIN_SAMPLES: u32 = 8;

/// The number of samples at which the weight of all samples is halved, so that old ones fade.
const MAX_SAMPLES: u32 = 256;

/// The percentile of use that is booked.
const USE_PERCENTILE: u32 = 95;

/// The percentile of run times that is taken as the least run time.
const RUN_TIME_PERCENTILE: u32 = 10;

/// The number of buckets for each doubling of an amount.
const BUCKETS_PER_OCTAVE: u32 = 4;

/// A histogram of amounts in which older samples weigh less.
///
/// Each bucket begins at an amount about a fifth higher than the one before.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    buckets: Vec<Bucket>,
    total: u32,
}

/// Samples of similar amounts.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    count: u32,
    max: u64,
}

impl Histogram {
    /// Adds a sample.
    pub fn add(&mut self, amount: u64) {
        if self.total >= MAX_SAMPLES {
            self.halve();
        }
        let bucket = bucket(amount);
        if self.buckets.len() <= bucket {
            self.buckets.resize(bucket + 1, Bucket::default());
        }
        let bucket = &mut self.buckets[bucket];
        bucket.count += 1;
        bucket.max = bucket.max.max(amount);
        self.total += 1;
    }

    /// Returns the largest amount in the bucket that contains the given percentile, or `None` if
    /// there are too few samples.
    pub fn quantile(&self, percent: u32) -> Option<u64> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let rank = (self.total * percent).div_ceil(100).max(1);
        let mut sum = 0;
        let found = self.buckets.iter().find(|bucket| {
            sum += bucket.count;
            sum >= rank
        });
        found.map(|bucket| bucket.max)
    }

    fn halve(&mut self) {
        for bucket in &mut self.buckets {
            bucket.count /= 2;
            if bucket.count == 0 {
                bucket.max = 0;
            }
        }
        self.total = self.buckets.iter().map(|bucket| bucket.count).sum();
    }
}

/// Returns the index of the bucket for an amount.
fn bucket(amount: u64) -> usize {
    let amount = amount.max(BUCKETS_PER_OCTAVE.into());
    let octave = amount.ilog2();
    let step = (amount >> (octave - 2)) & 3;
    (octave * BUCKETS_PER_OCTAVE) as usize + step as usize
}

/// The histograms of one kind of work.
#[derive(Clone, Debug, Default)]
struct Kind {
    millicores: Histogram,
    memory_mib: Histogram,
    run_time_us: Histogram,
}

/// Learns the resource use and run time of kinds of work.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    kinds: Map<Name, Kind>,
}

impl Learner {
    /// Records the peak use of an attempt so far.
    pub fn record_usage(&mut self, kind: &Name, used: &Size) {
        let kind = self.kinds.entry(kind.clone()).or_default();
        kind.millicores.add(used.millicores);
        kind.memory_mib.add(used.memory_mib);
    }

    /// Records the run time of an attempt that completed.
    pub fn record_run_time(&mut self, kind: &Name, span: Duration) {
        let kind = self.kinds.entry(kind.clone()).or_default();
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        kind.run_time_us.add(micros);
    }

    /// Returns the size to book: the declared size, or the learnt use of the kind if that is more.
    pub fn size(&self, kind: &Name, declared: &Size) -> Size {
        let Some(kind) = self.kinds.get(kind) else {
            return *declared;
        };
        let learnt = |histogram: &Histogram| histogram.quantile(USE_PERCENTILE).unwrap_or(0);
        Size {
            millicores: declared.millicores.max(learnt(&kind.millicores)),
            memory_mib: declared.memory_mib.max(learnt(&kind.memory_mib)),
            ..*declared
        }
    }

    /// Returns a run time that nine of ten attempts reach, at most the declared one.
    pub fn run_time(&self, kind: &Name, declared: Duration) -> Duration {
        let kind = self.kinds.get(kind);
        let learnt = kind.and_then(|kind| kind.run_time_us.quantile(RUN_TIME_PERCENTILE));
        learnt.map_or(declared, |micros| {
            declared.min(Duration::from_micros(micros))
        })
    }
}
