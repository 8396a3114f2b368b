//! What the scheduler tells its callers and wants done.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;

use super::advice::Question;
use super::report::Outcome;
use super::{Attempt, JobId, StepId};

/// The state of a job as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// No task has started yet.
    Queued,
    /// Some task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The client has cancelled it.
    Cancelled,
}

impl State {
    /// Tells whether nothing follows.
    pub fn is_final(self) -> bool {
        matches!(self, State::Completed | State::Failed | State::Cancelled)
    }
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    /// The job was not stored and never runs; another try may be worth it after the pause.
    Refused(Duration),
    /// The job is cancelled, and that is stored.
    Cancelled,
    /// There is no such job.
    Unknown,
}

/// Why a worker did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// It obeys a later scheduler.
    Superseded,
    /// The run is not higher than one that has ended there.
    OldRun,
    /// The order came after its time.
    Late,
    /// It has no room.
    NoRoom,
    /// The ticket does not hold.
    Ticket,
    /// It is unhealthy.
    Unhealthy,
    /// Another worker listens there.
    Replaced,
    /// No connection could be made, so nothing was sent.
    Unreachable,
    /// The order made no sense to it.
    Invalid,
}

/// What became of an order to start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// It runs.
    Running,
    /// It does not run, and this order never starts it.
    Refused(Refusal),
    /// No answer came: it may run, or start later.
    Lost,
}

/// What a step waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// Its account may have no more running.
    Limit,
    /// No worker is known yet that may run it.
    Advice,
    /// There is room, but its tickets have expired.
    Tickets,
    /// The workers that may run it have too little room.
    Room,
}

/// A decision, with what it rests on.
#[derive(Clone, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Decision {
    /// A job is stored and may start.
    Accepted {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: Name,
        /// Its client account.
        account: Option<Name>,
        /// Whether its account had sent more than its weight allows.
        excess: bool,
        /// How long the work that goes before it takes.
        wait: Duration,
    },
    /// A job was refused and never runs.
    Refused {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: Name,
        /// Its client account.
        account: Option<Name>,
        /// Whether its account had sent more than its weight allows.
        excess: bool,
        /// How long the work that goes before it takes.
        wait: Duration,
        /// When its client may come back.
        pause: Duration,
    },
    /// A step does not start for a while; told once for each cause.
    Waits {
        /// The step.
        step: StepId,
        /// The cause.
        cause: Cause,
        /// How many of its tasks wait.
        tasks: usize,
        /// How many of them fit into the room that there is.
        fitting: u64,
        /// The workers that may run it, as far as known.
        eligible: usize,
        /// How long after its job was accepted.
        age: Duration,
    },
    /// Tasks of a step were ordered to start.
    Started {
        /// The step.
        step: StepId,
        /// The highest run among them.
        run: u64,
        /// Each task's number and worker.
        tasks: Vec<(u32, Name)>,
        /// How long after its job was accepted.
        age: Duration,
    },
    /// A run has ended without doing its work.
    Ended {
        /// The run.
        attempt: Attempt,
        /// Its worker.
        worker: Name,
        /// How it ended.
        outcome: Outcome,
        /// How many runs of the task have failed.
        failures: u32,
    },
    /// A run does not run and never will, though its end was not seen.
    Lost {
        /// The run.
        attempt: Attempt,
        /// Its worker.
        worker: Name,
    },
    /// A job has come to its end.
    Finished {
        /// The job.
        job: JobId,
        /// Its state.
        state: State,
        /// How long after it was accepted.
        age: Duration,
    },
    /// A worker on which all fails gets nothing for a while.
    #[strum(serialize = "shunned")]
    Quarantined {
        /// The worker.
        worker: Name,
        /// How many jobs in a row have failed there.
        failures: usize,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a task.
    Start {
        /// The worker by number.
        worker: usize,
        /// The attempt.
        attempt: Attempt,
        /// What is run.
        payload: Name,
        /// The checkpoint that it goes on from.
        checkpoint: Option<Name>,
        /// The permission of the advice service.
        ticket: Option<Name>,
    },
    /// Stop a run.
    Stop {
        /// The worker by number.
        worker: usize,
        /// The attempt.
        attempt: Attempt,
    },
    /// Tell a worker that ends up to a number are stored.
    Acknowledge {
        /// The worker by number.
        worker: usize,
        /// The number.
        number: u64,
    },
    /// Ask which workers may run a step.
    Ask(Question),
    /// Answer a call.
    Answer {
        /// The call.
        call: u64,
        /// The answer.
        answer: Answer,
    },
    /// Begin to claim and renew a worker.
    Attach {
        /// The worker by number.
        worker: usize,
    },
    /// Renew a worker no longer.
    Detach {
        /// The worker by number.
        worker: usize,
    },
    /// Write down a decision.
    Log(Box<Decision>),
    /// Step down: a worker obeys a later scheduler.
    Resign,
}
