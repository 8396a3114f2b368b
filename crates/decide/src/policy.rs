//! The policies that decide who is served next, and where.

use serde::{Deserialize, Serialize};

/// A policy; all but the first are baselines to measure against.
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
    /// Classes in order, weighted dominant-resource fairness between teams, scored placement.
    #[default]
    Fair,
    /// First come first served, on the first worker that has room.
    FirstFit,
    /// First come first served, on the emptier of two random workers that have room.
    RandomTwo,
}
