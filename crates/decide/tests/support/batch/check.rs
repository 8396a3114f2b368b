//! What must hold at each start, from what the workers see.

use std::collections::BTreeMap;

use azurepath_decide::batch::report::Outcome;
use azurepath_decide::batch::{JobId, TaskId};
use azurepath_decide::size::Size;

use super::worker::Worker;

/// What the callers and the workers have seen.
#[derive(Debug, Default)]
pub struct Check {
    /// Ends that a worker was told are stored.
    pub done: BTreeMap<TaskId, u64>,
    pub failures: BTreeMap<TaskId, u32>,
    pub broken: Vec<String>,
}

impl Check {
    /// Checks a start that a worker is about to carry out.
    pub fn start(
        &mut self,
        what: &str,
        workers: &[Worker],
        at: usize,
        task: TaskId,
        size: &Size,
        attempts: u32,
    ) {
        let used = workers[at]
            .running
            .values()
            .fold(*size, |sum, task| sum.plus(&task.size));
        if !used.fits(&workers[at].capacity) {
            self.broken.push(format!("{what}: over capacity: {used:?}"));
        }
        for (index, worker) in workers.iter().enumerate() {
            if worker.running.contains_key(&task) {
                self.broken
                    .push(format!("{what}: {task} runs on worker {index} too"));
            }
        }
        if let Some(run) = self.done.get(&task) {
            self.broken
                .push(format!("{what}: {task} was done by run {run}"));
        }
        if self.failures.get(&task).copied().unwrap_or(0) >= attempts {
            self.broken
                .push(format!("{what}: {task} has used its attempts"));
        }
    }

    /// Notes the ends that an acknowledgement makes a worker forget.
    pub fn acknowledged(&mut self, worker: &Worker, number: u64) {
        let counts = |number: &u64| !worker.void.contains(number);
        let ended = worker.ended.iter().filter(|end| counts(&end.number));
        for end in ended.filter(|end| end.number <= number) {
            match end.outcome {
                Outcome::Done => {
                    self.done.insert(end.attempt.task, end.attempt.run);
                }
                Outcome::Failed => *self.failures.entry(end.attempt.task).or_default() += 1,
                Outcome::Stopped | Outcome::Lapsed | Outcome::Broken | Outcome::Alone => {}
            }
        }
    }

    /// Checks that all accepted jobs have come to their end.
    pub fn ended(&mut self, accepted: &[JobId], over: impl Fn(JobId) -> bool) {
        for job in accepted {
            if !over(*job) {
                self.broken
                    .push(format!("{job} was accepted and is not over"));
            }
        }
    }
}
