//! What kinds of work really use, learnt from lagging reports.

use std::time::Duration;

use crate::name::{Map, Name};
use crate::size::Size;

/// Samples from which an estimate is taken.
const ENOUGH: u32 = 8;

/// Samples at which the weight of all earlier ones is halved.
const FULL: u32 = 256;

/// The part of the samples that a booked size covers, in percent.
const BOOKED: u32 = 95;

/// The part of the samples that a sure run time covers, in percent.
const SURE: u32 = 10;

/// Buckets for each doubling of an amount.
const PER_OCTAVE: u32 = 4;

/// A histogram of amounts whose older samples weigh less, in buckets that grow by a fifth.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    buckets: Vec<Bucket>,
    total: u32,
}

/// Samples of about one amount.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    count: u32,
    most: u64,
}

impl Histogram {
    /// Adds a sample.
    pub fn add(&mut self, amount: u64) {
        if self.total >= FULL {
            self.halve();
        }
        let bucket = bucket(amount);
        if self.buckets.len() <= bucket {
            self.buckets.resize(bucket + 1, Bucket::default());
        }
        let bucket = &mut self.buckets[bucket];
        bucket.count += 1;
        bucket.most = bucket.most.max(amount);
        self.total += 1;
    }

    /// Returns the largest amount in the bucket up to which `percent` of the samples lie, once
    /// there are enough samples.
    pub fn quantile(&self, percent: u32) -> Option<u64> {
        if self.total < ENOUGH {
            return None;
        }
        let wanted = (self.total * percent).div_ceil(100).max(1);
        let mut sum = 0;
        let found = self.buckets.iter().find(|bucket| {
            sum += bucket.count;
            sum >= wanted
        });
        found.map(|bucket| bucket.most)
    }

    fn halve(&mut self) {
        for bucket in &mut self.buckets {
            bucket.count /= 2;
            if bucket.count == 0 {
                bucket.most = 0;
            }
        }
        self.total = self.buckets.iter().map(|bucket| bucket.count).sum();
    }
}

fn bucket(amount: u64) -> usize {
    let amount = amount.max(PER_OCTAVE.into());
    let octave = amount.ilog2();
    let step = (amount >> (octave - 2)) & 3;
    (octave * PER_OCTAVE) as usize + step as usize
}

/// What is known of one kind.
#[derive(Clone, Debug, Default)]
struct Kind {
    millicores: Histogram,
    memory_mib: Histogram,
    micros: Histogram,
}

/// What is known of all kinds.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    kinds: Map<Name, Kind>,
}

impl Learner {
    /// Takes the use of an attempt.
    pub fn record_usage(&mut self, kind: &Name, used: &Size) {
        let kind = self.kinds.entry(kind.clone()).or_default();
        kind.millicores.add(used.millicores);
        kind.memory_mib.add(used.memory_mib);
    }

    /// Takes the run time of an attempt that ran to its end.
    pub fn record_run_time(&mut self, kind: &Name, span: Duration) {
        let kind = self.kinds.entry(kind.clone()).or_default();
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        kind.micros.add(micros);
    }

    /// Returns what is booked: the declared size, or what the kind uses where that is more.
    pub fn size(&self, kind: &Name, declared: &Size) -> Size {
        let Some(kind) = self.kinds.get(kind) else {
            return *declared;
        };
        let learnt = |histogram: &Histogram| histogram.quantile(BOOKED).unwrap_or(0);
        Size {
            millicores: declared.millicores.max(learnt(&kind.millicores)),
            memory_mib: declared.memory_mib.max(learnt(&kind.memory_mib)),
            ..*declared
        }
    }

    /// Returns a run time that is hardly ever undercut.
    pub fn run_time(&self, kind: &Name, declared: Duration) -> Duration {
        let kind = self.kinds.get(kind);
        let learnt = kind.and_then(|kind| kind.micros.quantile(SURE));
        learnt.map_or(declared, |micros| {
            declared.min(Duration::from_micros(micros))
        })
    }
}
