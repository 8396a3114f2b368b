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
    /// The rack that it belongs to.
    pub rack: Name,
    /// The failure domain of the rack.
    pub failure_domain: Name,
    /// The region of the failure domain.
    pub region: Name,
    /// The total capacity of the worker.
    pub capacity: Size,
}

/// A worker's answer to a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Inventory {
    /// The worker.
    pub worker: Name,
    /// The epoch that it has accepted. It refuses calls of lower epochs.
    pub epoch: u64,
    /// The attempts that run there.
    pub running: Vec<Running>,
    /// The attempts that ended there recently and whose answers are still kept.
    pub ended: Vec<Attempt>,
}

/// The measured resource usage of a running attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The attempt.
    pub attempt: Attempt,
    /// What it used at the time of the measurement.
    pub used: Size,
}

/// A worker's report on its resource usage, which may be out of date.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The worker.
    pub worker: Name,
    /// The usage of each running attempt.
    pub usage: Vec<Usage>,
}

/// How a running attempt is interrupted.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Interrupt {
    /// The attempt runs on with less processor time.
    Throttle,
    /// The attempt saves its state and stops.
    Checkpoint,
    /// The attempt stops.
    Stop,
}
