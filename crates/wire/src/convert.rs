//! Conversions between frames and the types of `azurepath_decide`.

use std::time::Duration;

use azurepath_decide::attempt::Attempt;
use azurepath_decide::class::Class;
use azurepath_decide::name::Name;
use azurepath_decide::request::{Id, Request};
use azurepath_decide::time::Time;
use azurepath_decide::verdict;

use crate::frame::{Chunk, Status, Target, Task, Verdict};

/// A frame contains a value that this version does not know.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{what} {value:?} is unknown; run the same release on both servers")]
pub struct Mismatch {
    /// The field that was read.
    pub what: &'static str,
    /// The value.
    pub value: String,
}

const URGENT: u8 = 0;
const SERVICE: u8 = 1;
const BATCH: u8 = 2;

/// The value of `Task::patience_us` for a request without a deadline.
const NO_DEADLINE_US: u64 = u64::MAX;

fn class_number(class: Class) -> u8 {
    match class {
        Class::Urgent => URGENT,
        Class::Service => SERVICE,
        Class::Batch => BATCH,
    }
}

fn class(number: u8) -> Result<Class, Mismatch> {
    match number {
        URGENT => Ok(Class::Urgent),
        SERVICE => Ok(Class::Service),
        BATCH => Ok(Class::Batch),
        other => Err(Mismatch {
            what: "the class",
            value: other.to_string(),
        }),
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl Task {
    /// Creates the frame of a request. Its deadline is sent as the time left after `now`.
    pub fn new(request: &Request, now: Time) -> Task {
        let (rack, epoch) = match &request.target {
            Some(target) => (target.rack.to_string(), target.epoch),
            None => (String::new(), 0),
        };
        let patience_us = match request.deadline {
            Time::MAX => NO_DEADLINE_US,
            deadline => micros(deadline.since(now)),
        };
        Task {
            rack,
            epoch,
            id: request.id.0,
            team: request.team.to_string(),
            kind: request.kind.to_string(),
            class: class_number(request.class),
            size: request.size,
            estimate_us: micros(request.estimate),
            patience_us,
            idempotent: request.idempotent,
            gang: request.gang.map(|gang| gang.0),
        }
    }

    /// Returns the request. Its deadline is the time left after `now`.
    ///
    /// # Errors
    ///
    /// Returns [`Mismatch`] if this version does not know the class.
    pub fn request(&self, now: Time) -> Result<Request, Mismatch> {
        let deadline = match self.patience_us {
            NO_DEADLINE_US => Time::MAX,
            remaining => now.after(Duration::from_micros(remaining)),
        };
        let target = (!self.rack.is_empty()).then(|| azurepath_decide::request::Target {
            rack: Name::from(self.rack.as_str()),
            epoch: self.epoch,
        });
        Ok(Request {
            id: Id(self.id),
            team: Name::from(self.team.as_str()),
            kind: Name::from(self.kind.as_str()),
            class: class(self.class)?,
            size: self.size,
            estimate: Duration::from_micros(self.estimate_us),
            deadline,
            idempotent: self.idempotent,
            gang: self.gang.map(Id),
            target,
        })
    }
}

impl Verdict {
    /// Creates the frame of a verdict.
    pub fn new(request: Id, verdict: &verdict::Verdict) -> Verdict {
        Verdict {
            id: request.0,
            status: Status::from(verdict),
        }
    }
}

impl From<&verdict::Verdict> for Status {
    fn from(verdict: &verdict::Verdict) -> Status {
        match verdict {
            verdict::Verdict::NotRun {
                reason,
                retry_after,
            } => Status::NotRun {
                reason: *reason,
                retry_after_us: retry_after.map(micros),
            },
            verdict::Verdict::Unknown { attempt } => Status::Unknown {
                attempt: attempt.number,
            },
            verdict::Verdict::Ran {
                attempt,
                worker,
                outcome,
            } => Status::Ran {
                attempt: attempt.number,
                worker: worker.to_string(),
                outcome: outcome.to_string(),
            },
        }
    }
}

impl TryFrom<Verdict> for verdict::Verdict {
    type Error = Mismatch;

    fn try_from(frame: Verdict) -> Result<verdict::Verdict, Mismatch> {
        let attempt = |number| Attempt {
            request: Id(frame.id),
            number,
        };
        Ok(match frame.status {
            Status::NotRun {
                reason,
                retry_after_us,
            } => verdict::Verdict::NotRun {
                reason,
                retry_after: retry_after_us.map(Duration::from_micros),
            },
            Status::Unknown { attempt: number } => verdict::Verdict::Unknown {
                attempt: attempt(number),
            },
            Status::Ran {
                attempt: number,
                worker,
                outcome,
            } => verdict::Verdict::Ran {
                attempt: attempt(number),
                worker: Name::from(worker),
                outcome: outcome.parse().map_err(|_| Mismatch {
                    what: "the outcome",
                    value: outcome,
                })?,
            },
        })
    }
}

impl From<Target> for Id {
    fn from(target: Target) -> Id {
        Id(target.id)
    }
}

impl From<Id> for Target {
    fn from(id: Id) -> Target {
        Target { id: id.0 }
    }
}

impl From<&Chunk> for Attempt {
    fn from(chunk: &Chunk) -> Attempt {
        Attempt {
            request: Id(chunk.id),
            number: chunk.attempt,
        }
    }
}
