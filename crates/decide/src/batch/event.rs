//! The scheduler's answers, decisions and requested actions.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;

use super::advice::Question;
use super::locality::Placement;
use super::record::{BlockId, Row};
use super::report::Outcome;
use super::speed::Class;
use super::{Attempt, JobId, StepId};

/// The state of a job as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// No task has started yet.
    Queued,
    /// Some task has started.
    Running,
    /// All tasks have done their work.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The client has cancelled the job.
    Cancelled,
}

impl State {
    /// Tells whether the state never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, State::Completed | State::Failed | State::Cancelled)
    }
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    /// The job was not stored and never runs; the client may retry after this time.
    Refused(Duration),
    /// The job is cancelled, and the cancellation is stored.
    Cancelled,
    /// There is no such job.
    Unknown,
    /// The job was not stored and never runs, because the store accepts no row of its size.
    TooLarge,
}

/// Why a worker did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The worker has seen a scheduler with a higher epoch.
    Superseded,
    /// The run's number is not higher than that of a run that has ended on the worker.
    OldRun,
    /// The order arrived after it had expired.
    Late,
    /// The worker has too little free capacity.
    NoRoom,
    /// The ticket is not valid.
    Ticket,
    /// The worker is unhealthy.
    Unhealthy,
    /// Another worker listens at the address.
    Replaced,
    /// No connection could be made, so nothing was sent.
    Unreachable,
    /// The worker could not understand the order.
    Invalid,
}

impl Refusal {
    /// Tells whether the run did not exist on the worker when the order was refused. An earlier
    /// order may still start it.
    pub fn proves_absence(self) -> bool {
        matches!(self, Refusal::OldRun | Refusal::NoRoom | Refusal::Replaced)
    }
}

/// The outcome of an order to start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartOutcome {
    /// The task runs.
    Running,
    /// The task does not run, and this order never starts it.
    Refused(Refusal),
    /// No answer came: the task may run already or start later.
    Lost,
}

/// Why a step waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// Its account has reached its limit.
    Limit,
    /// No worker is known yet that may run the step.
    Advice,
    /// There is capacity, but the step's tickets have expired.
    Tickets,
    /// The workers that may run the step have too little free capacity.
    #[strum(serialize = "room")]
    Capacity,
    /// It waits for a rack in which its tasks run faster.
    Near,
}

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Bound {
    /// Its queue is not known here yet.
    Queue,
    /// The work that waits for the whole fleet.
    Fleet,
    /// The work that waits for its account's limit and that holds it.
    Account,
}

/// What shows that a run does not run although its end was not reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Evidence {
    /// The worker is silent, and its leases have expired.
    LeaseExpired,
    /// This incarnation of the worker has ended.
    WorkerGone,
    /// A report does not show the run, and the order to start it has expired.
    OrderExpired,
    /// The order to start it was refused.
    OrderRefused,
}

/// A decision and its reasons, for the log and the metrics.
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
        /// How long the work ahead of it takes.
        wait: Duration,
    },
    /// A job is refused and never runs.
    Refused {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: Name,
        /// Its client account.
        account: Option<Name>,
        /// Whether its account had sent more than its weight allows.
        excess: bool,
        /// Why it is refused.
        bound: Bound,
        /// How long the work ahead of it takes, by this bound.
        wait: Duration,
        /// The processors with which this was computed, in thousandths of a core.
        fleet_millicores: u64,
        /// The time after which its client may retry.
        pause: Duration,
    },
    /// A job is refused after all, since the store has stopped answering before it was written.
    #[strum(serialize = "refused")]
    Withdrawn {
        /// The job.
        job: JobId,
        /// How long it has waited for a write.
        waited: Duration,
        /// The time after which its client may retry.
        pause: Duration,
    },
    /// A step has been waiting for a while; reported once for each cause.
    Waits {
        /// The step.
        step: StepId,
        /// The cause.
        cause: Cause,
        /// How many of its tasks wait.
        tasks: usize,
        /// How many of them fit into the free capacity.
        fitting: u64,
        /// How many workers are known to be allowed to run it.
        eligible: usize,
        /// The time since its job was accepted.
        age: Duration,
        /// How long it waits at most, if that is bounded.
        at_most: Option<Duration>,
    },
    /// Tasks that run faster in some racks were ordered to start.
    Located {
        /// The step.
        step: StepId,
        /// Where they were started.
        placement: Placement,
        /// How many tasks.
        tasks: usize,
        /// How long the step has waited for such a rack.
        waited: Duration,
    },
    /// Tasks of a step were ordered to start.
    Started {
        /// The step.
        step: StepId,
        /// The highest run among them.
        run: u64,
        /// Each task's number and worker.
        tasks: Vec<(u32, Name)>,
        /// The time since its job was accepted.
        age: Duration,
    },
    /// A run has ended without completing its work.
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
    /// A run was given up: it does not run and never will, but its end was not reported.
    Lost {
        /// The run.
        attempt: Attempt,
        /// Its worker.
        worker: Name,
        /// What shows that it does not run.
        evidence: Evidence,
    },
    /// A worker has started again.
    Restarted {
        /// The worker.
        worker: Name,
        /// How many runs may have been started by the next incarnation.
        unsettled: usize,
    },
    /// A gang is stopped because a member does not run or has not started in time.
    GangStopped {
        /// The step.
        step: StepId,
        /// How many of its members were ordered to stop.
        members: usize,
    },
    /// A job has reached its final state.
    Finished {
        /// The job.
        job: JobId,
        /// The final state.
        state: State,
        /// The time since it was accepted.
        age: Duration,
    },
    /// A worker on which several jobs in a row have failed gets no tasks for a while.
    #[strum(serialize = "shunned")]
    Quarantined {
        /// The worker.
        worker: Name,
        /// How many jobs in a row have failed on it.
        failures: usize,
    },
    /// Estimates of stored jobs were longer than any that is used, and are lowered; reported once by a new
    /// scheduler.
    EstimatesBounded {
        /// One of the jobs.
        job: JobId,
        /// How many jobs there are.
        jobs: usize,
    },
    /// A worker is found clearly slower or faster than the average, or no longer so.
    SpeedChanged {
        /// The worker.
        worker: Name,
        /// How it compares with the average now.
        class: Class,
        /// Its estimated speed in percent of the average.
        percent: u32,
        /// How many runs the estimate counts for.
        runs: u32,
    },
    /// The checkpoints of a block are left out of its row, which would be too long with them.
    CheckpointsOmitted {
        /// The block.
        block: BlockId,
    },
    /// The store accepts no row like this.
    Unstorable {
        /// The row.
        row: Row,
    },
}

/// An action that the caller carries out for the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a task.
    Start {
        /// The worker by number.
        worker: usize,
        /// The attempt.
        attempt: Attempt,
        /// The payload that the task runs.
        payload: Name,
        /// The checkpoint to resume from.
        checkpoint: Option<Name>,
        /// The ticket of the advice service.
        ticket: Option<Name>,
        /// Whether an earlier order for the attempt was not answered. Such an order must not reach another
        /// incarnation of the worker, since the attempt may have run and ended by then.
        repeated: bool,
    },
    /// Stop a run.
    Stop {
        /// The worker by number.
        worker: usize,
        /// The attempt.
        attempt: Attempt,
    },
    /// Stop runs that may start on a worker by orders for its former incarnation, then read which of
    /// them it shows.
    Settle {
        /// The worker by number.
        worker: usize,
        /// The attempts.
        attempts: Vec<Attempt>,
    },
    /// Acknowledge that a worker's ends up to a number are stored.
    Acknowledge {
        /// The worker by number.
        worker: usize,
        /// The number.
        number: u64,
    },
    /// Ask the advice service which workers may run a step.
    Ask(Question),
    /// Answer a call.
    Answer {
        /// The number of the call.
        call: u64,
        /// The answer.
        answer: Answer,
    },
    /// Start to claim a worker and renew its lease.
    Attach {
        /// The worker by number.
        worker: usize,
    },
    /// Stop renewing a worker's lease.
    Detach {
        /// The worker by number.
        worker: usize,
    },
    /// Log a decision.
    Log(Box<Decision>),
    /// Step down, because a worker has seen a scheduler with a higher epoch.
    Resign,
}
