//! What a job consists of.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::size::Size;

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// What each task is given to run.
    pub payload: Name,
    /// The steps; a step waits only for earlier ones.
    pub steps: Vec<Step>,
}

/// Tasks of one size that become ready together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// How many tasks there are.
    pub count: u32,
    /// What each of them needs.
    pub size: Size,
    /// How long each runs, by its client's rough word.
    pub estimate: Duration,
    /// The steps that must be done before.
    pub after: Vec<u16>,
    /// Whether the tasks work only while all of them run.
    pub gang: bool,
    /// Whether the tasks are slow unless all run in one rack.
    pub same_rack: bool,
    /// The label that a worker must have.
    pub label: Option<Name>,
    /// The rack outside of which the tasks are slow.
    pub near: Option<Name>,
    /// The most tasks of the step on one worker.
    pub most_on_worker: Option<u32>,
}

impl Spec {
    /// Returns the longest chain of steps, each counted by `time`.
    pub fn longest_chain(&self, time: impl Fn(&Step) -> Duration) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().map(|&index| ends[usize::from(index)]);
            let begin = before.max().unwrap_or_default();
            ends.push(begin + time(step));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
