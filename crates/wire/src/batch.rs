//! Calls to the leader and its replies.

use std::net::SocketAddr;
use std::time::Duration;

use azurepath_decide::batch::advice::{Advice, Question};
use azurepath_decide::batch::caller::Caller;
use azurepath_decide::batch::carrier::Capacity;
use azurepath_decide::batch::report::Report;
use azurepath_decide::batch::spec::Spec;
use azurepath_decide::batch::{Attempt, JobId, StartOutcome, State, StepId};
use azurepath_decide::name::Name;
use serde::{Deserialize, Serialize};

/// A call to the leader. Every call may safely be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Call {
    /// Submits a job.
    Submit {
        /// The job.
        job: JobId,
        /// Who submits it, and to which queue.
        caller: Caller,
        /// The steps and schedule of the job.
        spec: Spec,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobId,
        /// Who cancels it.
        caller: Caller,
    },
    /// Requests the state of a job.
    State {
        /// The job.
        job: JobId,
        /// Who requests it.
        caller: Caller,
    },
    /// Requests the number of a queue's jobs that have not started any task.
    Pending {
        /// The queue.
        queue: String,
    },
    /// Polls for a question to the advice service and delivers the answer to the previous one.
    Poll {
        /// The instance that polls.
        instance: String,
        /// The step of the previous question and the advice; `None` if the service gave no advice.
        answered: Option<(StepId, Option<Advice>)>,
    },
    /// Waits for orders to carry to the workers.
    Carry {
        /// The instance that waits.
        instance: String,
        /// The speed of its link in kbit/s.
        link_kbps: u64,
    },
    /// Delivers the outcomes of orders that the instance has carried.
    Carried {
        /// The epoch of the leader that gave the orders.
        epoch: u64,
        /// The numbers of the orders with their outcomes.
        outcomes: Vec<(u64, StartOutcome)>,
    },
    /// Reports about the workers that the instance renews, and asks for changes.
    Relay {
        /// The instance.
        instance: String,
        /// Its failure domain.
        failure_domain: String,
        /// What it can do.
        capacity: Capacity,
        /// Which of the instance's calls this is.
        sequence: Sequence,
        /// The epoch of the leader that gave it its workers.
        epoch: u64,
        /// The number of the last change that it has received in this epoch.
        seen: u64,
        /// The events of its workers, in their order. All that the leader has not confirmed by a
        /// reply come again.
        events: Vec<Event>,
    },
}

/// The place of a call among those of its instance. A call may arrive after a later one if the
/// connection was lost in between.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sequence {
    /// A random number that identifies the process of the instance.
    pub process: u64,
    /// The number of the call, counted from 1.
    pub number: u64,
}

/// An event of a worker that an instance renews.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// The number under which the worker is renewed.
    pub serial: u64,
    /// The number of the event among those of this serial, counted from 1.
    pub number: u64,
    /// How long before the call it has happened.
    pub age: Duration,
    /// What has happened.
    pub news: News,
}

/// News of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum News {
    /// Its report.
    Report(Report),
    /// It does not answer, with the error.
    Silent(String),
    /// The lease of all tasks on it has expired for certain. This comes again while it is silent.
    Lapsed,
    /// Another worker listens at its address.
    Replaced,
    /// It has seen a leader with a higher epoch.
    Superseded,
}

/// The reply to an instance that renews workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// The leader's epoch. Workers of an earlier one are given up.
    pub epoch: u64,
    /// How long the instance may renew leases, counted from when it sent its call.
    pub grant: Duration,
    /// The lease to give.
    pub lease: Duration,
    /// Whether the leader wants instances to renew workers.
    pub wanted: bool,
    /// The changes with their numbers.
    pub changes: Vec<(u64, RelayChange)>,
}

/// A change of what an instance renews. Each worker that is given to an instance has a number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayChange {
    /// Renew a worker.
    Attach {
        /// The number.
        serial: u64,
        /// The worker's id.
        worker: Name,
        /// The worker's address.
        address: SocketAddr,
        /// The start time of its incarnation, in milliseconds since 1970.
        born_ms: u64,
        /// How long tasks may run on it whose lease others have renewed.
        inherited_lease: Duration,
        /// The number up to which its ends are stored.
        acknowledged: u64,
    },
    /// Renew a worker no longer.
    Detach(u64),
    /// The ends of a worker are stored up to a number.
    Acknowledge(u64, u64),
}

/// Orders to start tasks of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// The epoch of the leader.
    pub epoch: u64,
    /// The payload that the tasks run.
    pub payload: Name,
    /// The tasks.
    pub orders: Vec<Order>,
}

/// An order to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The number of the order, by which its outcome is delivered.
    pub number: u64,
    /// The worker's id.
    pub worker: Name,
    /// The worker's address.
    pub address: SocketAddr,
    /// The start time of its incarnation, in milliseconds since 1970.
    pub born_ms: u64,
    /// The attempt.
    pub attempt: Attempt,
    /// The time until which the worker may start it, in milliseconds of the worker's clock.
    pub expires_ms: u64,
    /// The checkpoint that it resumes from.
    pub checkpoint: Option<Name>,
    /// The ticket that permits the step to run on this worker.
    pub ticket: Option<Name>,
    /// Whether an earlier order for the attempt was not answered.
    pub repeated: bool,
}

/// A reply of the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The job is stored.
    Accepted,
    /// The job was refused and never runs.
    Refused {
        /// How long to wait before a retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The job is cancelled.
    Cancelled,
    /// There is no such job, or the caller may not know of it.
    Unknown,
    /// The job was not accepted, because another client account uses its id.
    Taken,
    /// The state of the job.
    State(State),
    /// The number of jobs that have not started any task.
    Pending(u64),
    /// The next question to the advice service, if any.
    Question(Option<Question>),
    /// This instance is not the leader: another one is, or none.
    NotLeading,
    /// The job is larger than the store accepts, and never runs.
    TooLarge,
    /// Orders to carry to the workers.
    Orders(Vec<Orders>),
    /// The outcomes were received.
    Noted,
    /// What the instance is to renew.
    Relay(Relay),
}
