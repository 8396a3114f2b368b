//! A summary of the scheduler's state for operators.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::name::Name;
use crate::size::Size;

use super::super::job::Place;
use super::super::order::Rank;
use super::Scheduler;
use super::target::Candidate;

/// A summary of the scheduler's state.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Dump {
    /// The scheduler's epoch.
    pub epoch: u64,
    /// The version of the configuration.
    pub configuration: u64,
    /// Number of jobs by state.
    pub jobs: BTreeMap<String, u64>,
    /// Number of workers by contact.
    pub workers: BTreeMap<String, u64>,
    /// Number of tasks that run or were ordered to start.
    pub placed: u64,
    /// Number of due tasks that wait for a worker.
    pub waiting: u64,
    /// Free capacity of the workers that accept tasks, in thousandths of a core.
    pub free_millicores: u64,
    /// Total capacity of the workers that accept tasks, in thousandths of a core.
    pub open_millicores: u64,
    /// The highest ranked steps with waiting tasks.
    #[serde(rename = "line")]
    pub pending: Vec<PendingStep>,
}

/// A step with waiting tasks.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PendingStep {
    /// The step's id.
    pub step: String,
    /// Its queue.
    pub queue: Name,
    /// How late it is.
    pub lateness: String,
    /// Time since its job was accepted, in milliseconds.
    pub age_ms: u64,
    /// Number of its tasks that wait.
    pub tasks: usize,
    /// Number of workers that the advice service has named for it.
    pub eligible: usize,
    /// Number of workers with enough free capacity for one of its tasks.
    #[serde(rename = "rooms")]
    pub targets: usize,
    /// Whether a question to the advice service is open.
    pub asking: bool,
    /// Number of its tasks for which capacity is reserved.
    pub reserved: usize,
    /// Whether its job is stored.
    pub stored: bool,
}

/// The largest number of waiting steps in a dump.
const MAX_PENDING_SHOWN: usize = 20;

impl Scheduler {
    /// Returns a summary of the scheduler's state.
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
                if step.remaining == 0 {
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
            if worker.is_schedulable(self.now) {
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
            step: job.spec.as_ref()?.step(number)?,
            rank: *rank,
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
            asking: step.advice.has_open_question(self.now),
            reserved: step.reserved.len(),
            stored: job.stored,
        })
    }
}
