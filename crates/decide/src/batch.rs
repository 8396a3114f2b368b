//! The scheduler of jobs: steps of tasks that are stored, placed on workers and run to their end.
//!
//! One instance of the fleet leads and drives [`scheduler::Scheduler`]; the others forward to it.
//! What was accepted and what has ended is written down before anybody is told, so a successor goes
//! on from the stored [`record::Record`]s and from what the workers report.

pub mod admission;
pub mod advice;
pub mod config;
pub mod event;
pub mod fleet;
pub mod id;
pub mod job;
mod journal;
pub mod order;
pub mod record;
pub mod report;
pub mod scheduler;
pub mod spec;

pub use event::{Action, Answer, Decision, Refusal, StartOutcome, State};
pub use id::{Attempt, JobId, StepId, TaskId};
