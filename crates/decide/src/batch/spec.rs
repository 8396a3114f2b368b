//! What a job consists of.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::size::Size;

use super::id::OCCURRENCE_STEPS;

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// What each task is given to run.
    pub payload: Name,
    /// The steps; a step waits only for earlier ones.
    pub steps: Vec<Step>,
    /// When the steps run, where they do so more than once or not at once.
    pub schedule: Option<Schedule>,
}

/// The times at which the steps of a job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// How many times.
    pub occurrences: u16,
    /// When the first of them is due, in milliseconds since 1970.
    pub first_ms: u64,
    /// How long after the one before each other is due.
    pub interval: Duration,
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
    /// What the tasks are for.
    pub purpose: Purpose,
}

/// What the tasks of a step are for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// They do a piece of work and end.
    #[default]
    Work,
    /// They serve until the job is cancelled, and are started again however they end.
    Serve,
    /// They do a piece of work with the processors that others leave unused, and slow down tasks
    /// that serve beside them.
    Fill,
    /// They fill until the job is cancelled, and are started again however they end.
    Background,
}

impl Purpose {
    /// Tells whether the tasks run until their job is cancelled.
    pub fn runs_until_cancelled(self) -> bool {
        matches!(self, Purpose::Serve | Purpose::Background)
    }

    /// Tells whether the tasks take the processors that others leave unused.
    pub fn is_filler(self) -> bool {
        matches!(self, Purpose::Fill | Purpose::Background)
    }
}

impl Step {
    /// Returns what one task is booked with on its worker.
    pub fn booked(&self) -> Size {
        if self.purpose.is_filler() {
            Size {
                millicores: 0,
                ..self.size
            }
        } else {
            self.size
        }
    }
}

impl Spec {
    /// Returns a step by its number, in which each occurrence of the job has a range of its own.
    ///
    /// # Panics
    ///
    /// Panics where the job has no such step.
    pub fn step(&self, number: usize) -> &Step {
        &self.steps[number % usize::from(OCCURRENCE_STEPS)]
    }

    /// Returns a step by its number, or `None` where the job has no such step.
    pub fn get(&self, number: usize) -> Option<&Step> {
        self.steps.get(number % usize::from(OCCURRENCE_STEPS))
    }

    /// Returns how many times the steps run.
    pub fn occurrences(&self) -> u16 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns when a step may start, in milliseconds since 1970; 0 where it may at once.
    pub fn due_ms(&self, number: usize) -> u64 {
        let Some(schedule) = self.schedule else {
            return 0;
        };
        let occurrence = number / usize::from(OCCURRENCE_STEPS);
        let later = schedule.interval.as_millis() * occurrence as u128;
        let later = u64::try_from(later).unwrap_or(u64::MAX);
        schedule.first_ms.saturating_add(later)
    }

    /// Tells whether tasks of the job run until it is cancelled.
    pub fn runs_until_cancelled(&self) -> bool {
        self.steps
            .iter()
            .any(|step| step.purpose.runs_until_cancelled())
    }

    /// Returns the longest chain of steps, each counted by `time`.
    pub fn critical_path(&self, time: impl Fn(&Step) -> Duration) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().map(|&index| ends[usize::from(index)]);
            let begin = before.max().unwrap_or_default();
            ends.push(begin + time(step));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
