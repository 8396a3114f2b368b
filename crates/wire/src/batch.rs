//! Calls to the instance that leads, and its replies.

use azurepath_decide::batch::advice::{Advice, Question};
use azurepath_decide::batch::spec::Spec;
use azurepath_decide::batch::{JobId, State, StepId};
use serde::{Deserialize, Serialize};

/// One call; all of them may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Takes a job.
    Submit {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: String,
        /// The client account, where the queue is not open to all.
        account: Option<String>,
        /// What it consists of.
        spec: Spec,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Asks for the state of a job.
    State {
        /// The job.
        job: JobId,
    },
    /// Asks how many jobs of a queue wait.
    Pending {
        /// The queue.
        queue: String,
    },
    /// Asks for a question to the advice service, and brings the answer to the last one.
    Poll {
        /// The instance that asks.
        instance: String,
        /// The step asked about before, and what the service said; no advice where it said nothing.
        answered: Option<(StepId, Option<Advice>)>,
    },
}

/// One reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The job is stored.
    Accepted,
    /// The job was not taken and never runs.
    Refused {
        /// After how many milliseconds another try may be worth it.
        retry_after_ms: u64,
    },
    /// The job is cancelled.
    Cancelled,
    /// There is no such job.
    Unknown,
    /// The state of the job.
    State(State),
    /// How many jobs wait.
    Pending(u64),
    /// What to ask the advice service, if anything.
    Question(Option<Question>),
    /// Another instance leads, or none.
    NotLeading,
}
