//! Resources that operators create, as documents.

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
    /// A team's key.
    Key(Key),
    /// A queue that callers submit to.
    Queue(Queue),
    /// A long-running service.
    Service(Service),
    /// A batch or gang job.
    Job(Job),
    /// A worker that gets no new work.
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

/// A team with its share and its upper limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The team's name.
    pub name: Name,
    /// The client account that pays.
    pub account: Name,
    /// The weight of the team when the fleet is full.
    pub share: u32,
    /// What the team may run at most over the whole fleet.
    pub limit: Size,
}

/// A key that lets its bearer submit for a team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The key's name, the part of the token before the dot.
    pub name: Name,
    /// The team; none for an operator's key.
    pub team: Option<Name>,
    /// The SHA-256 of the whole token, as hexadecimal digits.
    pub hash: String,
    /// Whether the key has been withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}

/// A queue that callers submit to over HTTP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// The queue's name.
    pub name: Name,
    /// The team that pays for work without a key; none for a keyed queue.
    #[serde(default)]
    pub open_to: Option<Name>,
    /// The class of its requests.
    pub class: Class,
    /// The declared size of its requests.
    pub size: Size,
    /// The declared run time in milliseconds.
    pub estimate_ms: u64,
    /// Whether its requests may be attempted again after an unknown fate.
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
    /// How many tasks run at a time.
    pub replicas: u32,
    /// The size of each task.
    pub size: Size,
    /// What each task is given; empty for a document that lets it run until it is stopped.
    #[serde(default)]
    pub payload: String,
}

/// A job: tasks that each run once to their end.
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
    /// How often a failed task is tried again.
    #[serde(default)]
    pub retries: u32,
    /// Whether its tasks may be attempted again after an unknown fate.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// What each task is given; empty for a document that names the declared run time.
    #[serde(default)]
    pub payload: String,
}

/// A worker that gets no new work, until the drain is deleted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// The worker's name.
    pub name: Name,
    /// Why, for people.
    #[serde(default)]
    pub reason: String,
}

fn yes() -> bool {
    true
}
