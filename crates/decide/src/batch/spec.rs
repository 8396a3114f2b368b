//! The specification of a job.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::size::Size;

use super::id::OCCURRENCE_STEPS;

/// The maximum number of tasks of a job with all its occurrences. An instance with 160 MB has memory
/// for several jobs of this size.
pub const MAX_TASKS: u64 = 50_000;

/// The maximum number of occurrences of a job.
pub const MAX_OCCURRENCES: u16 = u16::MAX / OCCURRENCE_STEPS;

/// The longest estimate of how long a task runs that is used. Estimates near the largest duration
/// that can be expressed would end the arithmetic of ranks at the same value, and a job in time would count as
/// worthless.
pub const MAX_ESTIMATE: Duration = Duration::from_secs(30 * 24 * 60 * 60);

/// Why a job can't be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// It has no steps.
    #[error("the job has no steps; add one")]
    Empty,
    /// A step has no tasks.
    #[error("step {0} has no tasks; add one")]
    NoTasks(usize),
    /// A step depends on itself or a later one.
    #[error("step {0} waits for itself or a later one; let it wait for earlier ones")]
    Forward(usize),
    /// It has too many steps or occurrences.
    #[error("the job has too many steps or occurrences; split it")]
    TooLong,
    /// It has too many tasks.
    #[error("the job has over {MAX_TASKS} tasks with all its occurrences; split it")]
    TooManyTasks,
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The payload that each task runs.
    pub payload: Name,
    /// The steps; a step can depend only on earlier ones.
    pub steps: Vec<Step>,
    /// The schedule, if the steps run more than once or later.
    pub schedule: Option<Schedule>,
}

/// The times at which the steps of a job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The number of occurrences.
    pub occurrences: u16,
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_ms: u64,
    /// The time between two occurrences.
    pub interval: Duration,
}

/// Tasks of one size that become ready together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs.
    pub size: Size,
    /// The client's rough estimate of how long each task runs.
    pub estimate: Duration,
    /// The steps that must be done before this one.
    pub after: Vec<u16>,
    /// Whether the tasks work only while all of them run.
    pub gang: bool,
    /// Whether the tasks are slow unless all run in one rack.
    pub same_rack: bool,
    /// The label that a worker must have to run a task.
    pub label: Option<Name>,
    /// The rack that the tasks should run in; they are slow elsewhere.
    pub near: Option<Name>,
    /// The maximum number of tasks of the step on one worker.
    pub most_on_worker: Option<u32>,
    /// The purpose of the tasks.
    pub purpose: Purpose,
}

/// The purpose of a step's tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Work that ends.
    #[default]
    Work,
    /// A service: the tasks run until the job is cancelled and are restarted whenever they end.
    Serve,
    /// Work that ends and runs on processors that other tasks leave unused. It slows down services
    /// on the same worker.
    Fill,
    /// Like `Fill`, but the tasks run until the job is cancelled and are restarted whenever they
    /// end.
    Background,
}

impl Purpose {
    /// Tells whether the tasks run until their job is cancelled.
    pub fn runs_until_cancelled(self) -> bool {
        matches!(self, Purpose::Serve | Purpose::Background)
    }

    /// Tells whether the tasks run on processors that other tasks leave unused.
    pub fn is_filler(self) -> bool {
        matches!(self, Purpose::Fill | Purpose::Background)
    }
}

impl Step {
    /// Returns the size that is booked for one task on its worker. Fillers book no processors.
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

    /// Returns the maximum number of its tasks on one worker.
    pub fn worker_limit(&self) -> u64 {
        self.most_on_worker.map_or(u64::MAX, u64::from)
    }

    /// Returns how many of its tasks run on a worker with this capacity if nothing else does.
    pub fn most_within(&self, capacity: &Size) -> u64 {
        self.booked()
            .times_within(capacity)
            .min(self.worker_limit())
    }
}

impl Spec {
    /// Checks that the job can be run.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    pub fn check(&self) -> Result<(), Fault> {
        if self.steps.is_empty() {
            return Err(Fault::Empty);
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(Fault::NoTasks(index));
            }
            let is_forward = |earlier: &u16| usize::from(*earlier) >= index;
            if step.after.iter().any(is_forward) {
                return Err(Fault::Forward(index));
            }
        }
        let occurrences = self.occurrences();
        if self.steps.len() > usize::from(OCCURRENCE_STEPS) || occurrences > MAX_OCCURRENCES {
            return Err(Fault::TooLong);
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks * u64::from(occurrences) > MAX_TASKS {
            return Err(Fault::TooManyTasks);
        }
        Ok(())
    }

    /// Lowers estimates that are longer than [`MAX_ESTIMATE`]. Returns whether there were any.
    pub fn bound_estimates(&mut self) -> bool {
        let mut bounded = false;
        for step in &mut self.steps {
            bounded |= step.estimate > MAX_ESTIMATE;
            step.estimate = step.estimate.min(MAX_ESTIMATE);
        }
        bounded
    }

    /// Returns a step by its number, or `None` if the number is unused. Each occurrence of the job
    /// has its own range of numbers, most of which are unused.
    pub fn step(&self, number: usize) -> Option<&Step> {
        self.steps.get(number % usize::from(OCCURRENCE_STEPS))
    }

    /// Returns how many times the steps run.
    pub fn occurrences(&self) -> u16 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns when a step may start, in milliseconds since 1970, or 0 if the job has no schedule.
    pub fn due_ms(&self, number: usize) -> u64 {
        let Some(schedule) = self.schedule else {
            return 0;
        };
        let occurrence = number / usize::from(OCCURRENCE_STEPS);
        let later = schedule.interval.as_millis() * occurrence as u128;
        let later = u64::try_from(later).unwrap_or(u64::MAX);
        schedule.first_ms.saturating_add(later)
    }

    /// Tells whether any task of the job runs until it is cancelled.
    pub fn runs_until_cancelled(&self) -> bool {
        self.steps
            .iter()
            .any(|step| step.purpose.runs_until_cancelled())
    }

    /// Returns the length of the critical path, where `time` gives the duration of a step.
    pub fn critical_path(&self, time: impl Fn(&Step) -> Duration) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().map(|&index| ends[usize::from(index)]);
            let begin = before.max().unwrap_or_default();
            ends.push(begin.saturating_add(time(step)));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
