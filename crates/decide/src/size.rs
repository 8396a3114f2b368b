//! Amounts of the resources that workers have and tasks need.

use serde::{Deserialize, Serialize};

/// An amount of each resource.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(default, deny_unknown_fields)]
pub struct Size {
    /// Thousandths of a processor core.
    pub millicores: u64,
    /// Mebibytes of memory.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u64,
    /// Task slots.
    pub slots: u64,
}

impl Size {
    /// No resources at all.
    pub const ZERO: Size = Size {
        millicores: 0,
        memory_mib: 0,
        accelerators: 0,
        slots: 0,
    };

    /// The largest representable amount of each resource.
    pub const MAX: Size = Size {
        millicores: u64::MAX,
        memory_mib: u64::MAX,
        accelerators: u64::MAX,
        slots: u64::MAX,
    };

    /// Tells whether this amount fits into `capacity` in every resource.
    pub fn fits(&self, capacity: &Size) -> bool {
        self.millicores <= capacity.millicores
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
            && self.slots <= capacity.slots
    }

    /// Adds each resource, saturating.
    #[must_use]
    pub fn plus(&self, other: &Size) -> Size {
        self.zip(other, u64::saturating_add)
    }

    /// Subtracts each resource, saturating at zero.
    #[must_use]
    pub fn minus(&self, other: &Size) -> Size {
        self.zip(other, u64::saturating_sub)
    }

    /// Subtracts each resource, or returns `None` if one would fall below zero.
    pub fn checked_minus(&self, other: &Size) -> Option<Size> {
        other.fits(self).then(|| self.minus(other))
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn max(&self, other: &Size) -> Size {
        self.zip(other, u64::max)
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn min(&self, other: &Size) -> Size {
        self.zip(other, u64::min)
    }

    /// Multiplies each resource by `count`, saturating.
    #[must_use]
    pub fn times(&self, count: u64) -> Size {
        let each = Size {
            millicores: count,
            memory_mib: count,
            accelerators: count,
            slots: count,
        };
        self.zip(&each, u64::saturating_mul)
    }

    /// Halves each resource, rounding up.
    #[must_use]
    pub fn half(&self) -> Size {
        self.zip(&Size::ZERO, |amount, _| amount.div_ceil(2))
    }

    /// Returns this amount scaled down in proportion until it fits into `capacity`, or zero if one
    /// of its resources would round down to zero.
    ///
    /// Resources in other proportions could not be used together and would be stranded.
    #[must_use]
    pub fn part_within(&self, capacity: &Size) -> Size {
        let pairs = [
            (self.millicores, capacity.millicores),
            (self.memory_mib, capacity.memory_mib),
            (self.accelerators, capacity.accelerators),
            (self.slots, capacity.slots),
        ];
        // The smallest of the ratios capacity / amount, or 1 if everything fits.
        let (numerator, denominator) = pairs
            .into_iter()
            .filter(|(amount, capacity)| amount > capacity)
            .map(|(amount, capacity)| (u128::from(capacity), u128::from(amount)))
            .min_by(|a, b| (a.0 * b.1).cmp(&(b.0 * a.1)))
            .unwrap_or((1, 1));
        let scale = |amount: u64| {
            let scaled = u128::from(amount) * numerator / denominator;
            u64::try_from(scaled).unwrap_or(u64::MAX)
        };
        let rounds_to_zero = |(amount, _): (u64, u64)| amount > 0 && scale(amount) == 0;
        if pairs.into_iter().any(rounds_to_zero) {
            return Size::ZERO;
        }
        Size {
            millicores: scale(self.millicores),
            memory_mib: scale(self.memory_mib),
            accelerators: scale(self.accelerators),
            slots: scale(self.slots),
        }
    }

    /// Returns how many times this amount fits into `capacity`.
    pub fn times_within(&self, capacity: &Size) -> u64 {
        let part = |need: u64, of: u64| of.checked_div(need).unwrap_or(u64::MAX);
        part(self.millicores, capacity.millicores)
            .min(part(self.memory_mib, capacity.memory_mib))
            .min(part(self.accelerators, capacity.accelerators))
            .min(part(self.slots, capacity.slots))
    }

    /// Tells whether the amount of every resource is zero.
    pub fn is_zero(&self) -> bool {
        *self == Size::ZERO
    }

    /// Returns the largest fraction of `total` that this amount takes, over processors, memory and
    /// accelerators.
    ///
    /// This is the dominant share of Ghodsi et al., "Dominant Resource Fairness" (NSDI 2011).
    /// Slots do not count, since they only bound concurrency and are not paid for.
    pub fn dominant_share(&self, total: &Size) -> f64 {
        let part = |used: u64, of: u64| {
            if of == 0 {
                0.0
            } else {
                used as f64 / of as f64
            }
        };
        part(self.millicores, total.millicores)
            .max(part(self.memory_mib, total.memory_mib))
            .max(part(self.accelerators, total.accelerators))
    }

    fn zip(&self, other: &Size, combine: impl Fn(u64, u64) -> u64) -> Size {
        Size {
            millicores: combine(self.millicores, other.millicores),
            memory_mib: combine(self.memory_mib, other.memory_mib),
            accelerators: combine(self.accelerators, other.accelerators),
            slots: combine(self.slots, other.slots),
        }
    }
}
