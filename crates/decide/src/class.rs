//! Classes of work.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// The class of a task, in the order in which classes are served.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Class {
    /// Work that a caller waits for. It may preempt batch work.
    Urgent,
    /// A long-running service task.
    Service,
    /// Work that can wait.
    Batch,
}
