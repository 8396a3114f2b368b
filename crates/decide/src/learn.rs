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
    counts: Vec<u32>,
    total: u32,
}

impl Histogram {
    /// Adds a sample.
    pub fn add(&mut self, amount: u64) {
        if self.total >= FULL {
            self.halve();
        }
        let bucket = bucket(amount);
        if self.counts.len() <= bucket {
            self.counts.resize(bucket + 1, 0);
        }
        self.counts[bucket] += 1;
        self.total += 1;
    }

    /// Returns the upper bound of the bucket below which `percent` of the samples lie, once there
    /// are enough samples.
    pub fn quantile(&self, percent: u32) -> Option<u64> {
        if self.total < ENOUGH {
            return None;
        }
        let wanted = (self.total * percent).div_ceil(100).max(1);
        let mut sum = 0;
        let found = self.counts.iter().position(|count| {
            sum += count;
            sum >= wanted
        });
        found.map(bound)
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

fn bucket(amount: u64) -> usize {
    let amount = amount.max(PER_OCTAVE.into());
    let octave = amount.ilog2();
    let step = (amount >> (octave - 2)) & 3;
    (octave * PER_OCTAVE) as usize + step as usize
}

/// Returns the largest amount of a bucket.
fn bound(bucket: usize) -> u64 {
    let octave = bucket as u32 / PER_OCTAVE;
    let step = (bucket as u64 % u64::from(PER_OCTAVE)) + 1;
    ((4 + step) << octave.saturating_sub(2)) - 1
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
    pub fn used(&mut self, kind: &Name, used: &Size) {
        let kind = self.kinds.entry(kind.clone()).or_default();
        kind.millicores.add(used.millicores);
        kind.memory_mib.add(used.memory_mib);
    }

    /// Takes the run time of an attempt that ran to its end.
    pub fn ran(&mut self, kind: &Name, span: Duration) {
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
    pub fn span(&self, kind: &Name, declared: Duration) -> Duration {
        let kind = self.kinds.get(kind);
        let learnt = kind.and_then(|kind| kind.micros.quantile(SURE));
        learnt.map_or(declared, |micros| {
            declared.min(Duration::from_micros(micros))
        })
    }
}
