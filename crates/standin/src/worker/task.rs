//! The behaviour of a task, which its payload describes.

use std::time::{Duration, Instant};

use azurepath_decide::attempt::Running;
use azurepath_decide::size::Size;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// What a task does. A payload that is not such a document is returned at once as the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// How long the task runs, in milliseconds; `None` if it runs until it is stopped.
    pub run_ms: Option<u64>,
    /// The answer; the payload itself by default.
    pub answer: Option<String>,
    /// The resources that the task uses; by default, the size that it was started with.
    #[serde(rename = "use")]
    pub used: Option<Size>,
    /// Whether the task fails at its end.
    pub fail: bool,
}

impl Behaviour {
    /// Parses the behaviour from a payload.
    pub(super) fn read(payload: &Bytes) -> Behaviour {
        serde_json::from_slice(payload).unwrap_or(Behaviour {
            run_ms: Some(0),
            ..Behaviour::default()
        })
    }
}

/// A running task.
#[derive(Debug)]
pub(super) struct Task {
    /// The attempt and what it was started with.
    pub(super) running: Running,
    /// Whether renewals report its end.
    pub(super) detached: bool,
    /// When it started.
    pub(super) started: Instant,
    /// When it ends, unless it runs until it is stopped.
    pub(super) due: Option<Instant>,
    /// Its answer.
    pub(super) payload: Bytes,
    /// The resources that it uses.
    pub(super) used: Size,
    /// Whether it fails at its end.
    pub(super) fail: bool,
}

impl Task {
    /// Starts a task.
    pub(super) fn begin(
        running: Running,
        detached: bool,
        payload: &Bytes,
        slowdown: Duration,
        now: Instant,
    ) -> Task {
        let behaviour = Behaviour::read(payload);
        let run_time = behaviour.run_ms.map(Duration::from_millis);
        let answer = behaviour.answer.map(Bytes::from);
        Task {
            detached,
            started: now,
            due: run_time.map(|run_time| now + run_time + slowdown),
            payload: answer.unwrap_or_else(|| payload.clone()),
            used: behaviour.used.unwrap_or(running.size),
            fail: behaviour.fail,
            running,
        }
    }

    /// Halves the task's processor use, which doubles its remaining run time.
    pub(super) fn throttle(&mut self, now: Instant) {
        self.used.millicores /= 2;
        self.due = self.due.map(|due| due + due.saturating_duration_since(now));
    }
}
