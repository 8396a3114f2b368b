//! The state of a scheduler, for people who look into a process.

use std::collections::BTreeMap;

use serde::Serialize;

use super::super::job::Place;
use super::Scheduler;

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
}

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
                        Place::Waiting if job.is_due(number) => dump.waiting += 1,
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
        dump
    }
}
