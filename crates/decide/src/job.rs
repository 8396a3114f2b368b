//! Long-running work: batch jobs, gang jobs and services.
//!
//! Each job is managed by one live server, its home. The home stores the rack of a task in the
//! table before it starts the task. If the home dies, the next home resumes the same task ids at
//! the same racks, so nothing starts twice. `docs/design/jobs.md` gives the reasons.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::candidate::Site;
use crate::class::Class;
use crate::fleet::View;
use crate::gang::HoldRequest;
use crate::name::Name;
use crate::request::{self, Request};
use crate::resource::{self, Resource};
use crate::share::Summary;
use crate::size::Size;
use crate::time::Time;
use crate::verdict::Verdict;

mod gang;
mod home;
mod store;
mod task;
mod tracker;

pub use home::Home;

/// The settings of a [`Home`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setup {
    /// The name of the server.
    pub server: Name,
    /// Differs between two starts of the process.
    pub incarnation: u64,
    /// The failure domain and region of the server.
    pub site: Site,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// A job or a service, as declared in its document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "is")]
pub enum Work {
    /// Tasks that each run once to completion.
    Job(resource::Job),
    /// Tasks that are kept running.
    Service(resource::Service),
}

impl Work {
    /// Returns the work that a resource declares, if it is a job or a service.
    pub fn of(resource: &Resource) -> Option<Work> {
        match resource {
            Resource::Job(job) => Some(Work::Job(job.clone())),
            Resource::Service(service) => Some(Work::Service(service.clone())),
            Resource::Team(_) | Resource::Key(_) | Resource::Queue(_) | Resource::Drain(_) => None,
        }
    }

    /// Returns the name that keys the work's row and its task ids.
    ///
    /// The name includes the kind, because a job and a service may share a name.
    pub fn name(&self) -> Name {
        match self {
            Work::Job(job) => format!("batch/{}", job.name).into(),
            Work::Service(service) => format!("service/{}", service.name).into(),
        }
    }

    /// Returns the number of tasks.
    pub fn tasks(&self) -> u32 {
        match self {
            Work::Job(job) => job.tasks,
            Work::Service(service) => service.replicas,
        }
    }

    /// Tells whether all tasks start together.
    pub fn is_gang(&self) -> bool {
        matches!(self, Work::Job(job) if job.gang)
    }

    /// Tells whether a task that ends is started again.
    pub fn restarts(&self) -> bool {
        matches!(self, Work::Service(_))
    }

    /// Returns how often a failed task is retried.
    pub fn retries(&self) -> u32 {
        match self {
            Work::Job(job) => job.retries,
            Work::Service(_) => u32::MAX,
        }
    }

    /// Tells whether a task whose outcome is unknown may be retried.
    pub fn idempotent(&self) -> bool {
        match self {
            Work::Job(job) => job.idempotent,
            Work::Service(_) => true,
        }
    }

    /// Returns the payload of each task.
    pub fn payload(&self) -> String {
        let (text, other) = match self {
            Work::Job(job) => (&job.payload, format!(r#"{{"run_ms":{}}}"#, job.estimate_ms)),
            Work::Service(service) => (&service.payload, "{}".to_owned()),
        };
        if text.is_empty() { other } else { text.clone() }
    }

    /// Returns the request for one task; it has no deadline.
    pub(crate) fn request(&self, id: request::Id) -> Request {
        let (team, name, size): (&Name, &Name, &Size) = match self {
            Work::Job(job) => (&job.team, &job.name, &job.size),
            Work::Service(service) => (&service.team, &service.name, &service.size),
        };
        let (class, estimate) = match self {
            Work::Job(job) => (Class::Batch, Duration::from_millis(job.estimate_ms)),
            Work::Service(_) => (Class::Service, SERVICE_ESTIMATE),
        };
        Request {
            id,
            team: team.clone(),
            kind: name.clone(),
            class,
            size: *size,
            estimate,
            deadline: Time::MAX,
            idempotent: self.idempotent(),
            gang: None,
            target: None,
        }
    }
}

/// The estimated run time of a service's task.
const SERVICE_ESTIMATE: Duration = Duration::from_secs(24 * 3_600);

/// The rack where a task runs or is about to run. Short field names keep the rows small.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The number of the try, counted from 1.
    #[serde(rename = "n")]
    pub number: u32,
    /// How often the task has failed.
    #[serde(rename = "f", default)]
    pub failures: u32,
    /// The rack.
    #[serde(rename = "r")]
    pub rack: Name,
}

/// A task that waits for its next try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retry {
    /// The number of the next try.
    #[serde(rename = "n")]
    pub number: u32,
    /// How often the task has failed.
    #[serde(rename = "f", default)]
    pub failures: u32,
}

/// The state of a job, as stored in its row.
///
/// Lists only tasks that are active or wait for a retry, to keep the row small.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// The revision of the document when its first home took up the job; part of all ids.
    #[serde(rename = "born")]
    pub first_revision: u64,
    /// The incarnation of the server that last wrote the row.
    pub writer: u64,
    /// The document, kept so that running tasks can be stopped after it is deleted.
    pub work: Option<Work>,
    /// Tasks from this index on have not been tried yet.
    pub next: u32,
    /// The number of tasks that have succeeded.
    pub done: u32,
    /// The number of tasks that have failed and have no retries left.
    pub failed: u32,
    /// The number of tasks whose outcome is unknown and that must not run again.
    pub unknown: u32,
    /// Tasks that run or are about to run, by index.
    pub active: BTreeMap<u32, Placement>,
    /// Tasks that wait for a retry, by index.
    pub waiting: BTreeMap<u32, Retry>,
    /// The number of the current try of a gang.
    pub round: u32,
    /// The incarnation of the home that started the current try of a gang; part of the ids, so
    /// that the tries of different homes have different ids.
    pub salt: u64,
    /// How often a gang has failed after it started.
    pub failures: u32,
    /// Whether the job has ended.
    pub finished: bool,
}

/// Hashes the parts to an id. Every home of a job computes the same id.
pub(crate) fn id(parts: &[&[u8]]) -> request::Id {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update(part.len().to_be_bytes());
        hash.update(part);
    }
    let digest = hash.finalize();
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&digest[..16]);
    request::Id(u128::from_be_bytes(bytes))
}

impl State {
    /// Returns the id of a try of a task.
    pub fn task_id(&self, job: &str, index: u32, number: u32) -> request::Id {
        id(&[
            b"task",
            job.as_bytes(),
            &self.first_revision.to_be_bytes(),
            &index.to_be_bytes(),
            &number.to_be_bytes(),
            &self.salt.to_be_bytes(),
        ])
    }

    /// Returns the id under which a rack holds places for members of the gang.
    ///
    /// The upper half is the same on all racks. Racks prefer the lowest id, so all of them prefer
    /// the same gang.
    pub fn part_id(&self, job: &str, rack: &str) -> request::Id {
        let gang = id(&[b"gang", job.as_bytes(), &self.first_revision.to_be_bytes()]);
        let part = id(&[
            b"part",
            job.as_bytes(),
            &self.first_revision.to_be_bytes(),
            &self.round.to_be_bytes(),
            &self.salt.to_be_bytes(),
            rack.as_bytes(),
        ]);
        let lower = u128::from(u64::MAX);
        request::Id((gang.0 & !lower) | (part.0 & lower))
    }
}

/// Returns the home of a job: the live server with the highest hash of both names.
///
/// Uses rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
/// Rates", 1998), so that the death of a server moves only the jobs that it was home to.
pub fn home<'a>(view: &'a View, job: &str) -> Option<&'a Name> {
    let live = view.servers.values().filter(|server| !server.leaving);
    live.map(|server| &server.name)
        .max_by_key(|name| id(&[b"home", job.as_bytes(), name.as_bytes()]))
}

/// A write to a job's row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The job, as returned by [`Work::name`].
    pub job: Name,
    /// The expected revision of the row; 0 if the row must not exist.
    pub revision: u64,
    /// The new state; `None` deletes the row.
    pub state: Option<State>,
}

/// The result of a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "is")]
pub enum WriteResult {
    /// The write took effect.
    Written {
        /// The new revision of all rows of the write.
        revision: u64,
    },
    /// A row had a different revision; nothing was written.
    Conflict {
        /// The job of the row.
        job: Name,
    },
    /// The write took no effect and will not take any.
    Unwritten,
    /// The answer was lost, so the write may have taken effect.
    Unknown,
}

/// An input of [`Home::handle`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// The current view of the fleet.
    View(View),
    /// The failure domains and regions of the racks.
    Sites {
        /// The sites by rack.
        sites: BTreeMap<Name, Site>,
    },
    /// A capacity summary from a rack owner.
    Summary(Summary),
    /// The current jobs and services; replaces all earlier ones.
    Configure {
        /// The revision of the configuration. An older revision than the last one is ignored.
        revision: u64,
        /// The jobs and services with the revisions of their documents.
        work: Vec<(u64, Work)>,
    },
    /// A row has been read, on a `Load` or by a scan for rows without documents.
    Loaded {
        /// The job.
        job: Name,
        /// The revision of the row; 0 if there is none.
        revision: u64,
        /// The state, if there is a row.
        state: Option<State>,
    },
    /// A row could not be read.
    #[serde(rename = "unread")]
    LoadFailed {
        /// The job.
        job: Name,
    },
    /// A write has ended.
    Wrote {
        /// The number of the write.
        write: u64,
        /// The result.
        #[serde(rename = "fate")]
        result: WriteResult,
    },
    /// The rack owner's verdict on a task.
    Answered {
        /// The task's request.
        request: request::Id,
        /// The verdict.
        verdict: Verdict,
    },
    /// A call for a task was never sent.
    Unsent {
        /// The task's request.
        request: request::Id,
    },
    /// The connection broke after a call for a task may have been sent.
    Broken {
        /// The task's request.
        request: request::Id,
    },
    /// An owner has answered a reservation request.
    Held {
        /// The id of the reservation.
        gang: request::Id,
        /// The members that places are held for.
        members: Vec<request::Id>,
    },
    /// A reservation request got no answer. The owner may hold places until they expire.
    #[serde(rename = "unheld")]
    HoldFailed {
        /// The id of the reservation.
        gang: request::Id,
    },
    /// A commit has ended.
    Committed {
        /// The id of the reservation.
        gang: request::Id,
        /// Whether the owner has confirmed it.
        taken: bool,
    },
    /// Only time has passed.
    Tick,
}

/// An output of [`Home::handle`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum Action {
    /// Read a row. Answered by `Loaded` or `LoadFailed`.
    Load {
        /// The job.
        job: Name,
    },
    /// Write rows in one transaction. Answered by `Wrote`.
    Write {
        /// The number of the write.
        write: u64,
        /// The rows.
        rows: Vec<Row>,
    },
    /// Send a task to the owner of its rack. Answered by `Answered`, `Unsent` or `Broken`.
    Submit {
        /// The request for the task, with its target set.
        request: Request,
        /// The payload.
        payload: String,
        /// The owner.
        server: Name,
        /// Whether the task may have been sent before.
        resume: bool,
    },
    /// Ask an owner to cancel a task. The verdict on the task still follows.
    Cancel {
        /// The task's request.
        request: request::Id,
        /// The owner.
        server: Name,
    },
    /// Ask an owner to hold places for a gang. Answered by `Held` or `HoldFailed`.
    Reserve {
        /// The reservation request.
        ask: HoldRequest,
        /// The owner.
        server: Name,
    },
    /// Send the payload of a gang member to the owner that holds a place for it. Answered like
    /// `Submit`.
    Expect {
        /// The request for the member.
        request: Request,
        /// The payload.
        payload: String,
        /// The owner.
        server: Name,
    },
    /// Start the members that an owner holds places for. Answered by `Committed`.
    Commit {
        /// The id of the reservation.
        gang: request::Id,
        /// The owner.
        server: Name,
    },
    /// Release the places held for a gang.
    Release {
        /// The id of the reservation.
        gang: request::Id,
        /// The owner.
        server: Name,
    },
}
