//! Ids of jobs, steps, tasks and attempts.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The number of hexadecimal digits in a job's id.
const DIGITS: usize = 16;

/// The maximum number of steps of a job. The step numbers of each occurrence start at a multiple of
/// it.
pub const OCCURRENCE_STEPS: u16 = 64;

/// The error for a text that is not the id of a job or task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this is no id; give 16 lower-case hexadecimal digits")]
pub struct Invalid;

/// The id of a job, chosen by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// The id of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The step's number, counted from 0 in the first occurrence of the job, from
    /// [`OCCURRENCE_STEPS`] in the second, and so on.
    pub step: u16,
}

/// The id of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The step.
    pub step: StepId,
    /// The index of the task in its step, counted from 0.
    pub index: u32,
}

/// One run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The task.
    pub task: TaskId,
    /// The number of the run; later runs of a task have higher numbers.
    pub run: u64,
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let occurrence = self.step / OCCURRENCE_STEPS;
        let step = self.step % OCCURRENCE_STEPS;
        write!(f, "{}.{occurrence}.{step}", self.job)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for JobId {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<JobId, Invalid> {
        let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != DIGITS || !text.bytes().all(digit) {
            return Err(Invalid);
        }
        u64::from_str_radix(text, 16)
            .map(JobId)
            .map_err(|_| Invalid)
    }
}

impl FromStr for TaskId {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<TaskId, Invalid> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(Invalid);
        let job = next()?.parse()?;
        let occurrence: u16 = next()?.parse().map_err(|_| Invalid)?;
        let step: u16 = next()?.parse().map_err(|_| Invalid)?;
        let index = next()?.parse().map_err(|_| Invalid)?;
        if step >= OCCURRENCE_STEPS || parts.next().is_some() {
            return Err(Invalid);
        }
        let first = occurrence.checked_mul(OCCURRENCE_STEPS).ok_or(Invalid)?;
        let step = first + step;
        Ok(TaskId {
            step: StepId { job, step },
            index,
        })
    }
}
