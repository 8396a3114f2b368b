//! Configuration resources, the documents that operators create.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::class::Class;
use crate::name::Name;
use crate::size::Size;

/// A resource of any kind.
#[derive(
    Clone, Debug, PartialEq, Serialize, Deserialize, strum::EnumDiscriminants, strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case", tag = "kind")]
#[strum(serialize_all = "snake_case")]
#[strum_discriminants(name(Kind))]
#[strum_discriminants(derive(
    Hash,
    Ord,
    PartialOrd,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter
))]
#[strum_discriminants(serde(rename_all = "snake_case"))]
#[strum_discriminants(strum(serialize_all = "snake_case"))]
pub enum Resource {
    /// A team.
    Team(Team),
    /// An API key.
    Key(Key),
    /// A queue that callers submit to.
    Queue(Queue),
    /// A long-running service.
    Service(Service),
    /// A batch or gang job.
    Job(Job),
    /// The drain of a worker, which gets no new work.
    Drain(Drain),
}

impl Resource {
    /// Returns the resource's name.
    pub fn name(&self) -> &Name {
        match self {
            Resource::Team(team) => &team.name,
            Resource::Key(key) => &key.name,
            Resource::Queue(queue) => &queue.name,
            Resource::Service(service) => &service.name,
            Resource::Job(job) => &job.name,
            Resource::Drain(drain) => &drain.name,
        }
    }

    /// Returns the resource's kind.
    pub fn kind(&self) -> Kind {
        Kind::from(self)
    }
}

/// A team with its share and upper limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The team's name.
    pub name: Name,
    /// The client account that pays.
    pub account: Name,
    /// The weight of the team in fair sharing while the fleet is full.
    pub share: u32,
    /// The upper limit of what the team may run on the whole fleet.
    pub limit: Size,
}

/// An API key that lets its bearer submit work for a team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The key's name, which is the part of the token before the dot.
    pub name: Name,
    /// The team, or `None` for an operator's key.
    pub team: Option<Name>,
    /// The SHA-256 of the whole token in hexadecimal digits.
    pub hash: String,
    /// Whether the key was withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}

/// A queue that callers submit to over HTTP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// The queue's name.
    pub name: Name,
    /// The team that work submitted without a key is accounted to; `None` if a key is required.
    #[serde(default)]
    pub open_to: Option<Name>,
    /// The class of its requests.
    pub class: Class,
    /// The declared size of its requests.
    pub size: Size,
    /// The declared run time in milliseconds.
    pub estimate_ms: u64,
    /// Whether a request may be attempted again if the outcome of an attempt is unknown.
    pub idempotent: bool,
}

impl Queue {
    /// Returns the declared run time.
    pub fn estimate(&self) -> Duration {
        Duration::from_millis(self.estimate_ms)
    }
}

/// A long-running service: a number of tasks that are kept running.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: Name,
    /// The team that it runs for.
    pub team: Name,
    /// The number of tasks to keep running.
    pub replicas: u32,
    /// The size of each task.
    pub size: Size,
    /// The payload of each task. If empty, tasks get a document that lets them run until stopped.
    #[serde(default)]
    pub payload: String,
}

/// A job: a number of tasks that each run to completion once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// The job's name.
    pub name: Name,
    /// The team that it runs for.
    pub team: Name,
    /// The number of its tasks.
    pub tasks: u32,
    /// The size of each task.
    pub size: Size,
    /// The declared run time of each task in milliseconds.
    pub estimate_ms: u64,
    /// Whether all tasks must start together.
    #[serde(default)]
    pub gang: bool,
    /// The number of retries of a failed task.
    #[serde(default)]
    pub retries: u32,
    /// Whether a task may be attempted again if the outcome of an attempt is unknown.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// The payload of each task. If empty, tasks get a document with the declared run time.
    #[serde(default)]
    pub payload: String,
}

/// A worker that gets no new work, until the drain is deleted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// The worker's name.
    pub name: Name,
    /// The reason, for operators to read.
    #[serde(default)]
    pub reason: String,
}

fn yes() -> bool {
    true
}
