//! Workers as the platform lists and reports them.

use serde::{Deserialize, Serialize};

use crate::attempt::{Attempt, Running};
use crate::name::Name;
use crate::size::Size;

/// A worker as the instance list describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The worker's name.
    pub name: Name,
    /// The rack that it stands in.
    pub rack: Name,
    /// The failure domain of the rack.
    pub failure_domain: Name,
    /// The region of the failure domain.
    pub region: Name,
    /// All that the worker holds.
    pub capacity: Size,
}

/// A worker's answer to a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Inventory {
    /// The worker.
    pub worker: Name,
    /// The epoch that it now obeys.
    pub epoch: u64,
    /// What runs there.
    pub running: Vec<Running>,
    /// What has ended there lately and whose answer is still held.
    pub ended: Vec<Attempt>,
}

/// What one running attempt uses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The attempt.
    pub attempt: Attempt,
    /// What it used when it was measured.
    pub used: Size,
}

/// A worker's lagging report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The worker.
    pub worker: Name,
    /// The use of each running attempt.
    pub usage: Vec<Usage>,
}

/// How a running attempt is interrupted.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Interrupt {
    /// Runs on with less of the processor.
    Throttle,
    /// Saves its state and stops.
    Checkpoint,
    /// Stops.
    Stop,
}
