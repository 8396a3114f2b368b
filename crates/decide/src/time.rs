//! Points in time of one process.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since an origin that each process chooses for itself.
///
/// Times of different processes can't be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The latest time that can be expressed.
    pub const MAX: Time = Time(u64::MAX);

    /// Returns the time that lies `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Returns the time `span` later, saturating at [`Time::MAX`].
    pub fn after(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }

    /// Returns the time `span` earlier, saturating at the origin.
    pub fn before(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is the later of the two.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
