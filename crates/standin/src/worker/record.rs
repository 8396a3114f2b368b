//! The record of what a worker has done, for assertions in tests.

use std::time::SystemTime;

use azurepath_decide::attempt::{Attempt, Outcome};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use serde::{Deserialize, Serialize};

/// An attempt that has begun.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Begun {
    /// The attempt.
    pub attempt: Attempt,
    /// The team that it runs for.
    pub team: Name,
    /// The service, queue or job that it belongs to.
    pub kind: Name,
    /// The size that it was started with.
    pub size: Size,
    /// When it began, as Unix time in microseconds.
    pub at_us: u64,
}

/// An attempt that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    /// The attempt.
    pub attempt: Attempt,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended, as Unix time in microseconds.
    pub at_us: u64,
}

/// What a worker has done, as returned by `GET /record`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Attempts that have begun, in order.
    pub begun: Vec<Begun>,
    /// Attempts that have ended, in order.
    pub ended: Vec<Ended>,
    /// The highest use of each resource at any one time.
    #[serde(rename = "most")]
    pub peak: Size,
    /// Starts that were refused because the worker lacked free capacity.
    pub overcommits: u64,
    /// Calls that were refused because their epoch was too old.
    pub stale_epochs: u64,
    /// Starts that were refused as duplicates.
    pub duplicates: u64,
    /// Starts that were refused because the worker was leaving.
    pub leaving: u64,
    /// Tasks that were stopped because the lease expired.
    pub lapsed: u64,
    /// Probes that were received.
    pub probes: u64,
    /// The highest epoch that the worker has accepted.
    pub epoch: u64,
}

/// Returns the Unix time in microseconds.
pub(super) fn unix_micros() -> u64 {
    let unix_time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let micros = unix_time.unwrap_or_default().as_micros();
    u64::try_from(micros).unwrap_or(u64::MAX)
}
