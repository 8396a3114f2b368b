//! What a task does, by its payload.

use std::time::{Duration, Instant};

use azurepath_decide::attempt::Running;
use azurepath_decide::size::Size;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// What a task does; a payload that is no such document is sent back at once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// How long the task runs, in milliseconds; none for a task that runs until it is stopped.
    pub run_ms: Option<u64>,
    /// The answer; the payload itself if not given.
    pub answer: Option<String>,
    /// What the task uses; the size that it was started with if not given.
    #[serde(rename = "use")]
    pub used: Option<Size>,
    /// Whether the task fails at its end.
    pub fail: bool,
}

impl Behaviour {
    /// Reads the behaviour that a payload asks for.
    pub(super) fn read(payload: &Bytes) -> Behaviour {
        serde_json::from_slice(payload).unwrap_or(Behaviour {
            run_ms: Some(0),
            ..Behaviour::default()
        })
    }
}

/// A task that runs.
#[derive(Debug)]
pub(super) struct Task {
    /// As it was started.
    pub(super) running: Running,
    /// Whether its end shows in renewals.
    pub(super) detached: bool,
    /// When it began.
    pub(super) begun: Instant,
    /// When it ends, unless it runs until it is stopped.
    pub(super) due: Option<Instant>,
    /// What it answers.
    pub(super) payload: Bytes,
    /// What it uses.
    pub(super) used: Size,
    /// Whether it fails at its end.
    pub(super) fail: bool,
}

impl Task {
    /// Begins a task.
    pub(super) fn begin(
        running: Running,
        detached: bool,
        payload: &Bytes,
        longer: Duration,
        now: Instant,
    ) -> Task {
        let behaviour = Behaviour::read(payload);
        let run = behaviour.run_ms.map(Duration::from_millis);
        let answer = behaviour.answer.map(Bytes::from);
        Task {
            detached,
            begun: now,
            due: run.map(|run| now + run + longer),
            payload: answer.unwrap_or_else(|| payload.clone()),
            used: behaviour.used.unwrap_or(running.size),
            fail: behaviour.fail,
            running,
        }
    }

    /// Halves the processor that the task has and so doubles the time that is left.
    pub(super) fn throttle(&mut self, now: Instant) {
        self.used.millicores /= 2;
        self.due = self.due.map(|due| due + due.saturating_duration_since(now));
    }
}
