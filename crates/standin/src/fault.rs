//! Faults that `POST /fault` injects into a stand-in.
//!
//! A section in the body replaces all faults of that section, so `{"table":{}}` clears the faults
//! of the table.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Faults of all calls to one service of a stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Injection {
    /// Calls are answered with `503` and have no effect.
    pub down: bool,
    /// Delay of each call, in milliseconds.
    pub latency_ms: u64,
    /// Calls are accepted and never answered.
    pub silent: bool,
    /// Each change of this number makes all open connections silent for good.
    pub silence_open: u64,
    /// How many more answers are lost after their call has taken effect.
    pub lose_answers: u64,
}

impl Injection {
    /// Returns the delay of each call.
    pub(crate) fn latency(&self) -> Duration {
        Duration::from_millis(self.latency_ms)
    }

    /// Tells whether this answer is lost, and counts it.
    pub(crate) fn take_lost_answer(&mut self) -> bool {
        let is_lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        is_lost
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

/// Faults of a worker; each `POST /fault` replaces all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Worker {
    /// Calls are answered with `503` and have no effect.
    pub down: bool,
    /// Delay of each call, in milliseconds.
    pub latency_ms: u64,
    /// Calls are accepted and never answered.
    pub silent: bool,
    /// Each change of this number makes all open connections silent for good.
    pub silence_open: u64,
    /// How many more answers to starts are lost after the task has ended.
    pub lose_answers: u64,
    /// How many more answers of tasks are truncated.
    pub short_answers: u64,
    /// How many more answers of tasks name the wrong attempt.
    pub crossed_answers: u64,
    /// Additional run time of each task, in milliseconds.
    pub slow_ms: u64,
    /// Every task fails as soon as it starts, and probes fail.
    pub fail_all: bool,
    /// Every start is refused as `broken`, and probes fail.
    pub refuse_all: bool,
    /// The worker is paused: it answers nothing and its tasks make no progress.
    pub paused: bool,
    /// The worker is leaving and accepts no new tasks.
    pub leaving: bool,
}

impl Worker {
    /// Returns the faults that apply to all calls.
    pub(crate) fn injection(&self) -> Injection {
        Injection {
            down: self.down,
            latency_ms: self.latency_ms,
            silent: self.silent,
            silence_open: self.silence_open,
            lose_answers: self.lose_answers,
        }
    }
}
