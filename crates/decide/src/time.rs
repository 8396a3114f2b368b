//! Time as the decisions see it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds since an origin that each process chooses for itself.
///
/// Two processes never compare their times.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The latest time that can be expressed.
    pub const MAX: Time = Time(u64::MAX);

    /// Makes a time from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Returns the time `span` later, saturating at [`Time::MAX`].
    pub fn after(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }

    /// Returns the span since `earlier`, or zero where `earlier` lies in the future.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
