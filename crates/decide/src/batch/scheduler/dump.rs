//! The state of a scheduler, for people who look into a process.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::name::Name;
use crate::size::Size;

use super::super::job::Place;
use super::super::order::Rank;
use super::Scheduler;
use super::target::Candidate;

/// The state in numbers.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Dump {
    /// The scheduler's epoch.
    pub epoch: u64,
    /// The version of the configuration.
    pub configuration: u64,
    /// Jobs by state.
    pub jobs: BTreeMap<String, u64>,
    /// Workers by contact.
    pub workers: BTreeMap<String, u64>,
    /// Tasks that run or were ordered to start.
    pub placed: u64,
    /// Tasks that wait for room.
    pub waiting: u64,
    /// Thousandths of a core that are not booked on workers that take tasks.
    pub free_millicores: u64,
    /// Thousandths of a core of workers that take tasks.
    pub open_millicores: u64,
    /// The first steps of the line, and what they wait for.
    #[serde(rename = "line")]
    pub pending: Vec<PendingStep>,
}

/// A step that waits.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PendingStep {
    /// The step.
    pub step: String,
    /// Its queue.
    pub queue: Name,
    /// How late it is.
    pub lateness: String,
    /// How long after its job was accepted, in milliseconds.
    pub age_ms: u64,
    /// Its tasks that wait.
    pub tasks: usize,
    /// Workers that it may run on by the advice service.
    pub eligible: usize,
    /// Workers that have room for it.
    #[serde(rename = "rooms")]
    pub targets: usize,
    /// Whether a question to the advice service is open.
    pub asking: bool,
    /// Workers whose room is kept for it.
    pub reserved: usize,
    /// Whether its job is stored.
    pub stored: bool,
}

/// How many waiting steps are shown.
const MAX_PENDING_SHOWN: usize = 20;

impl Scheduler {
    /// Returns the state in numbers.
    pub fn dump(&self) -> Dump {
        let mut dump = Dump {
            epoch: self.setup.epoch,
            configuration: self.config.version,
            ..Dump::default()
        };
        for job in self.jobs.values() {
            *dump.jobs.entry(job.state.to_string()).or_default() += 1;
            if job.state.is_final() {
                continue;
            }
            for (number, step) in job.steps.iter().enumerate() {
                if step.left == 0 {
                    continue;
                }
                for task in &step.tasks {
                    match task.place {
                        Place::On { .. } => dump.placed += 1,
                        Place::Waiting if job.is_due(number, self.wall_ms()) => dump.waiting += 1,
                        Place::Waiting | Place::Done => {}
                    }
                }
            }
        }
        for worker in &self.workers {
            *dump.workers.entry(worker.contact.to_string()).or_default() += 1;
            if worker.is_open(self.now) {
                dump.free_millicores += worker.free.millicores;
                dump.open_millicores += worker.entry.capacity.millicores;
            }
        }
        dump.pending = self
            .ranking
            .ranks()
            .filter_map(|rank| self.pending_step(rank))
            .take(MAX_PENDING_SHOWN)
            .collect();
        dump
    }

    fn pending_step(&self, rank: &Rank) -> Option<PendingStep> {
        let job = self.jobs.get(&rank.step.job)?;
        let number = usize::from(rank.step.step);
        let step = &job.steps[number];
        let queue = self.queues.get(&job.queue)?;
        let candidate = Candidate {
            id: rank.step,
            queue,
            step: job.spec.as_ref()?.get(number)?,
            lateness: rank.lateness,
            reserved_limit: Size::ZERO,
        };
        let age = self.now.since(job.accepted).as_millis();
        let tasks = self.waiting_tasks(rank.step).len();
        (tasks > 0 && !job.state.is_final()).then(|| PendingStep {
            step: rank.step.to_string(),
            queue: job.queue.clone(),
            lateness: rank.lateness.to_string(),
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            tasks,
            eligible: step.advice.tickets.len(),
            targets: self.targets(&candidate).len(),
            asking: step.advice.is_asking(self.now),
            reserved: step.reserved.len(),
            stored: job.stored,
        })
    }
}
