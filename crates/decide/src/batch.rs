//! The scheduler of jobs: stores their steps, places the tasks on workers and runs them to the end.
//!
//! One instance of the fleet is the leader and drives [`scheduler::Scheduler`]; the others forward
//! calls to it. Accepted jobs and ended tasks are stored before clients and workers are told, so a
//! successor can continue from the stored [`record::Record`]s and the reports of the workers.

pub mod admission;
pub mod advice;
pub mod caller;
pub mod carrier;
pub mod concurrency;
pub mod config;
pub mod event;
pub mod fleet;
pub mod id;
pub mod job;
mod journal;
pub mod locality;
pub mod order;
pub mod quota;
pub mod record;
pub mod report;
pub mod scheduler;
pub mod spec;
pub mod speed;
pub mod store_pace;
pub mod tenure;

pub use event::{Action, Answer, Decision, Refusal, StartOutcome, State};
pub use id::{Attempt, JobId, StepId, TaskId};
