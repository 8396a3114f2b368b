//! Policies that decide which request is served next and on which worker.

use serde::{Deserialize, Serialize};

/// A scheduling policy. All but `Fair` are baselines for measurements.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Serves classes in order and teams by weighted dominant-resource fairness, and places by
    /// score.
    #[default]
    Fair,
    /// Serves in order of arrival, on the first worker with enough free capacity.
    FirstFit,
    /// Serves in order of arrival, on the emptier of two random workers with enough free capacity.
    RandomTwo,
}
