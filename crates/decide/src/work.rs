//! Amounts of work: sizes multiplied by the time for which they are used.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::size::Size;
use crate::time::Time;

/// An amount of work, in resource units times microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Thousandths of a processor core, times microseconds.
    pub millicores: u128,
    /// Mebibytes of memory, times microseconds.
    pub memory_mib: u128,
    /// Accelerators, times microseconds.
    pub accelerators: u128,
}

impl Work {
    /// Returns the work of using `size` for `span`.
    pub fn of(size: &Size, span: Duration) -> Work {
        let micros = span.as_micros();
        let each = |amount: u64| u128::from(amount).saturating_mul(micros);
        Work {
            millicores: each(size.millicores),
            memory_mib: each(size.memory_mib),
            accelerators: each(size.accelerators),
        }
    }

    /// Returns the sum per resource, saturating at the maximum.
    #[must_use]
    pub fn plus(&self, other: &Work) -> Work {
        self.combine(other, u128::saturating_add)
    }

    /// Returns the difference per resource, saturating at zero.
    #[must_use]
    pub fn minus(&self, other: &Work) -> Work {
        self.combine(other, u128::saturating_sub)
    }

    /// Returns the shortest time in which `capacity` could do the work.
    pub fn min_duration(&self, capacity: &Size) -> Duration {
        let part = |work: u128, of: u64| match (work, of) {
            (0, _) => 0,
            (_, 0) => u64::MAX,
            _ => u64::try_from(work / u128::from(of)).unwrap_or(u64::MAX),
        };
        let micros = part(self.millicores, capacity.millicores)
            .max(part(self.memory_mib, capacity.memory_mib))
            .max(part(self.accelerators, capacity.accelerators));
        Duration::from_micros(micros)
    }

    fn combine(&self, other: &Work, op: impl Fn(u128, u128) -> u128) -> Work {
        Work {
            millicores: op(self.millicores, other.millicores),
            memory_mib: op(self.memory_mib, other.memory_mib),
            accelerators: op(self.accelerators, other.accelerators),
        }
    }
}

/// How many low bits of a time, in microseconds, each level of [`Schedule`] drops.
const LEVEL_SHIFT_BITS: [u32; 4] = [20, 26, 32, 38];

/// Sums of work by deadline.
///
/// The work is summed up on four levels. A bucket of the first level covers about a second (2^20
/// microseconds), and one of each further level 64 times as much. To sum up the work that is due
/// earlier, at most 64 buckets of each level but the last have to be read.
#[derive(Debug, Default)]
pub struct Schedule {
    levels: [BTreeMap<u64, Work>; 4],
}

impl Schedule {
    /// Adds work that is due at a time.
    pub fn add(&mut self, due: Time, work: &Work) {
        for (level, shift) in self.levels.iter_mut().zip(LEVEL_SHIFT_BITS) {
            let sum = level.entry(due.0 >> shift).or_default();
            *sum = sum.plus(work);
        }
    }

    /// Removes work that was added with the same time.
    pub fn remove(&mut self, due: Time, work: &Work) {
        for (level, shift) in self.levels.iter_mut().zip(LEVEL_SHIFT_BITS) {
            let bucket = due.0 >> shift;
            let remaining = level.get(&bucket).map(|sum| sum.minus(work));
            match remaining {
                Some(remaining) if remaining != Work::default() => level.insert(bucket, remaining),
                _ => level.remove(&bucket),
            };
        }
    }

    /// Returns the sum of the work that is due earlier, without the first-level bucket of `due`.
    pub fn due_before(&self, due: Time) -> Work {
        let mut sum = Work::default();
        for (index, (level, shift)) in self.levels.iter().zip(LEVEL_SHIFT_BITS).enumerate() {
            let bucket = due.0 >> shift;
            let from = LEVEL_SHIFT_BITS
                .get(index + 1)
                .map_or(0, |above| (due.0 >> above) << (above - shift));
            for work in level.range(from..bucket).map(|(_, work)| work) {
                sum = sum.plus(work);
            }
        }
        sum
    }

    /// Returns the sum of all work.
    pub fn total(&self) -> Work {
        let last = self.levels[LEVEL_SHIFT_BITS.len() - 1].values();
        last.fold(Work::default(), |sum, work| sum.plus(work))
    }
}
