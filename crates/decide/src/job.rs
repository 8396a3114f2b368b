//! Long work: batch jobs, gang jobs and services, driven by a home server each.
//!
//! Every job has one home among the live servers. The home writes down where a task is about to
//! run before it starts it, so that another home can carry on after a death: it resumes the same
//! ids at the same racks and starts nothing twice. `docs/design/jobs.md` gives the reasons.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::candidate::Site;
use crate::class::Class;
use crate::fleet::View;
use crate::gang::Ask;
use crate::name::Name;
use crate::request::{self, Request};
use crate::resource::{self, Resource};
use crate::share::Summary;
use crate::size::Size;
use crate::time::Time;
use crate::verdict::Verdict;

mod gang;
mod home;
mod slot;
mod store;
mod task;

pub use home::Home;

/// What a machine is made with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setup {
    /// The name of the server.
    pub server: Name,
    /// Differs between two starts of the process.
    pub incarnation: u64,
    /// Where the server stands.
    pub site: Site,
    /// The seed of all random choices.
    pub seed: u64,
}

/// A job or a service as its document describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "is")]
pub enum Work {
    /// Tasks that each run once to their end.
    Job(resource::Job),
    /// Tasks that are kept running.
    Service(resource::Service),
}

impl Work {
    /// Returns the work that a resource describes, if it does.
    pub fn of(resource: &Resource) -> Option<Work> {
        match resource {
            Resource::Job(job) => Some(Work::Job(job.clone())),
            Resource::Service(service) => Some(Work::Service(service.clone())),
            Resource::Team(_) | Resource::Key(_) | Resource::Queue(_) | Resource::Drain(_) => None,
        }
    }

    /// Returns the name that the work's row and ids are made from.
    ///
    /// A job and a service may have the same name, so the kind is part of it.
    pub fn name(&self) -> Name {
        match self {
            Work::Job(job) => format!("batch/{}", job.name).into(),
            Work::Service(service) => format!("service/{}", service.name).into(),
        }
    }

    /// Returns the number of its tasks.
    pub fn tasks(&self) -> u32 {
        match self {
            Work::Job(job) => job.tasks,
            Work::Service(service) => service.replicas,
        }
    }

    /// Tells whether all its tasks start together.
    pub fn is_gang(&self) -> bool {
        matches!(self, Work::Job(job) if job.gang)
    }

    /// Tells whether a task that ends is started again.
    pub fn restarts(&self) -> bool {
        matches!(self, Work::Service(_))
    }

    /// Returns how often a failed task is tried again.
    pub fn retries(&self) -> u32 {
        match self {
            Work::Job(job) => job.retries,
            Work::Service(_) => u32::MAX,
        }
    }

    /// Tells whether a task may be tried again after an unknown fate.
    pub fn idempotent(&self) -> bool {
        match self {
            Work::Job(job) => job.idempotent,
            Work::Service(_) => true,
        }
    }

    /// Returns what each task is given.
    pub fn payload(&self) -> String {
        let (text, other) = match self {
            Work::Job(job) => (&job.payload, format!(r#"{{"run_ms":{}}}"#, job.estimate_ms)),
            Work::Service(service) => (&service.payload, "{}".to_owned()),
        };
        if text.is_empty() { other } else { text.clone() }
    }

    /// Describes one task as a request without an end of patience.
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

/// The run time that is declared for a service's task.
const SERVICE_ESTIMATE: Duration = Duration::from_secs(24 * 3_600);

/// Where a task runs or is about to run; short names keep the rows small.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Counts the tries of the task from 1.
    #[serde(rename = "n")]
    pub number: u32,
    /// How often the task has failed.
    #[serde(rename = "f", default)]
    pub failures: u32,
    /// The rack.
    #[serde(rename = "r")]
    pub rack: Name,
}

/// A task that waits to be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retry {
    /// The number of the next try.
    #[serde(rename = "n")]
    pub number: u32,
    /// How often the task has failed.
    #[serde(rename = "f", default)]
    pub failures: u32,
}

/// The state of a job as its row keeps it.
///
/// Only tasks under way or waiting for a retry are listed, so that the row stays small.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// The revision of the document when the job was first taken up; part of all ids.
    #[serde(rename = "born")]
    pub first_revision: u64,
    /// The incarnation of the home that wrote the row.
    pub writer: u64,
    /// The document, so that what runs can be stopped after it has been deleted.
    pub work: Option<Work>,
    /// Tasks from this index on have not been tried.
    pub next: u32,
    /// Tasks that have ended well.
    pub done: u32,
    /// Tasks that have failed for good.
    pub failed: u32,
    /// Tasks whose fate is unknown and that must not run again.
    pub unknown: u32,
    /// Tasks that run or are about to, by index.
    pub active: BTreeMap<u32, Placement>,
    /// Tasks that wait to be tried again, by index.
    pub waiting: BTreeMap<u32, Retry>,
    /// Counts the tries of a gang.
    pub round: u32,
    /// Differs between the homes that try a gang; part of its ids.
    pub salt: u64,
    /// How often a gang has failed after its start.
    pub failures: u32,
    /// Whether nothing is left to do.
    pub finished: bool,
}

/// Makes an id that every home of the job computes alike.
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

    /// Returns the id under which a rack holds the members of the gang that are placed there.
    ///
    /// Its upper half is the gang's, so that racks which favour the lowest id all favour the same
    /// gang.
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
/// This is rendezvous hashing; see Thaler and Ravishankar, "Using Name-Based Mappings to Increase
/// Hit Rates" (1998). A server's death moves only the jobs that it was home to.
pub fn home<'a>(view: &'a View, job: &str) -> Option<&'a Name> {
    let live = view.servers.values().filter(|server| !server.leaving);
    live.map(|server| &server.name)
        .max_by_key(|name| id(&[b"home", job.as_bytes(), name.as_bytes()]))
}

/// A job's row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The job, as [`Work::name`] gives it.
    pub job: Name,
    /// The revision that the row must have; 0 if it must not exist.
    pub revision: u64,
    /// What is written; none deletes the row.
    pub state: Option<State>,
}

/// What came of a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "is")]
pub enum Fate {
    /// It took effect.
    Written {
        /// The revision that all its rows now have.
        revision: u64,
    },
    /// A row had another revision; nothing was written.
    Conflict {
        /// The job of the row.
        job: Name,
    },
    /// The table surely did not take it.
    Unwritten,
    /// The answer was lost.
    Unknown,
}

/// One input of the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// The fleet as last seen.
    View(View),
    /// Where the racks stand.
    Sites {
        /// The places by rack.
        sites: BTreeMap<Name, Site>,
    },
    /// An owner's summary.
    Summary(Summary),
    /// The jobs and services in force; replaces all earlier ones.
    Configure {
        /// The revision of the configuration; a lower one than seen is ignored.
        revision: u64,
        /// The work with the revision of each document.
        work: Vec<(u64, Work)>,
    },
    /// A row has been read, on a `Load` or by a scan that looks for rows without documents.
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
    /// A write has come back.
    Wrote {
        /// The number of the write.
        write: u64,
        /// What came of it.
        fate: Fate,
    },
    /// An owner's verdict on a task.
    Answered {
        /// The task's request.
        request: request::Id,
        /// The verdict.
        verdict: Verdict,
    },
    /// A call of a task surely never left this process.
    Unsent {
        /// The task's request.
        request: request::Id,
    },
    /// The connection was lost after a call of a task may have left.
    Broken {
        /// The task's request.
        request: request::Id,
    },
    /// An owner has answered a reservation.
    Held {
        /// The id of the ask.
        gang: request::Id,
        /// The members that have a place.
        members: Vec<request::Id>,
    },
    /// A reservation was not answered; its places may be held until they expire.
    #[serde(rename = "unheld")]
    HoldFailed {
        /// The id of the ask.
        gang: request::Id,
    },
    /// A commit has come back.
    Committed {
        /// The id of the ask.
        gang: request::Id,
        /// Whether the owner has surely taken it.
        taken: bool,
    },
    /// Time has passed.
    Tick,
}

/// One output of the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum Action {
    /// Read a row; `Loaded` or `LoadFailed` follows.
    Load {
        /// The job.
        job: Name,
    },
    /// Write rows in one transaction; `Wrote` follows.
    Write {
        /// The number of the write.
        write: u64,
        /// The rows.
        rows: Vec<Row>,
    },
    /// Send a task to the owner of its rack; `Answered`, `Unsent` or `Broken` follows.
    Submit {
        /// The task as a request with its target set.
        request: Request,
        /// What it is given.
        payload: String,
        /// The owner.
        server: Name,
        /// Whether it may have been sent before.
        resume: bool,
    },
    /// Tell an owner that a task is not wanted any more; its verdict is still awaited.
    Cancel {
        /// The task's request.
        request: request::Id,
        /// The owner.
        server: Name,
    },
    /// Ask an owner for places; `Held` or `HoldFailed` follows.
    Reserve {
        /// The ask.
        ask: Ask,
        /// The owner.
        server: Name,
    },
    /// Tell an owner the payload of a member that it holds a place for; its verdict is awaited as
    /// that of a `Submit`.
    Expect {
        /// The member as a request.
        request: Request,
        /// What it is given.
        payload: String,
        /// The owner.
        server: Name,
    },
    /// Start the members that an owner holds places for; `Committed` follows.
    Commit {
        /// The id of the ask.
        gang: request::Id,
        /// The owner.
        server: Name,
    },
    /// Give the places of an ask back.
    Release {
        /// The id of the ask.
        gang: request::Id,
        /// The owner.
        server: Name,
    },
}
