//! Faults that are switched on by `POST /fault`.
//!
//! A section that the body names replaces that section whole, so `{"table":{}}` ends all faults of
//! the table.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What every call to a stand-in passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Injection {
    /// Calls are answered with `503` and not taken.
    pub down: bool,
    /// How long each call is held back, in milliseconds.
    pub latency_ms: u64,
    /// Calls are accepted and never answered.
    pub silent: bool,
    /// Each change of this number makes the connections that are open go silent for good.
    pub silence_open: u64,
    /// How many answers are still lost after the call has taken effect.
    pub lose_answers: u64,
}

impl Injection {
    /// Returns how long each call is held back.
    pub(crate) fn latency(&self) -> Duration {
        Duration::from_millis(self.latency_ms)
    }

    /// Tells whether this answer is to be lost, and counts it.
    pub(crate) fn lose(&mut self) -> bool {
        let lose = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        lose
    }
}

/// Faults of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// Faults of the table service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub table: Option<Injection>,
    /// Faults of the object store.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub objects: Option<Injection>,
    /// Faults of the instance list.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub instances: Option<Injection>,
    /// How old the instance list is, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lag_ms: Option<u64>,
}

/// Faults of a worker; each body of the switch replaces them all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Worker {
    /// Calls are answered with `503` and not taken.
    pub down: bool,
    /// How long each call is held back, in milliseconds.
    pub latency_ms: u64,
    /// Calls are accepted and never answered.
    pub silent: bool,
    /// Each change of this number makes the connections that are open go silent for good.
    pub silence_open: u64,
    /// How many answers to starts are still lost after the task has ended.
    pub lose_answers: u64,
    /// How many answers of tasks are still cut short.
    pub short_answers: u64,
    /// How many answers of tasks still name another attempt.
    pub crossed_answers: u64,
    /// What each task takes longer, in milliseconds.
    pub slow_ms: u64,
    /// Every task fails as soon as it has begun, and probes fail.
    pub fail_all: bool,
    /// Every start is refused as `broken`, and probes fail.
    pub refuse_all: bool,
    /// The worker stands still: it answers nothing and its tasks do not go on.
    pub paused: bool,
    /// The worker is leaving and takes nothing new.
    pub leaving: bool,
}

impl Worker {
    /// Returns what every call passes.
    pub(crate) fn gate(&self) -> Injection {
        Injection {
            down: self.down,
            latency_ms: self.latency_ms,
            silent: self.silent,
            silence_open: self.silence_open,
            lose_answers: self.lose_answers,
        }
    }
}
