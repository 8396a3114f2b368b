//! The rules that each start of a task must obey, checked from the workers' view.

use std::collections::BTreeMap;

use azurepath_decide::batch::report::Outcome;
use azurepath_decide::batch::{JobId, TaskId};
use azurepath_decide::size::Size;

use super::worker::Worker;

/// The acknowledged ends of tasks and the violations found so far.
#[derive(Debug, Default)]
pub struct Check {
    /// The runs that have done their task and whose end was acknowledged.
    pub done: BTreeMap<TaskId, u64>,
    pub failures: BTreeMap<TaskId, u32>,
    pub violations: Vec<String>,
    /// Whether no member of a gang may give up waiting for the others.
    pub forbids_alone: bool,
}

impl Check {
    /// Checks the start of a task on the worker `at`, given the state of the workers before it.
    ///
    /// `context` begins the text of each violation.
    pub fn start(
        &mut self,
        context: &str,
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
            self.violations
                .push(format!("{context}: over capacity: {used:?}"));
        }
        for (index, worker) in workers.iter().enumerate() {
            if worker.running.contains_key(&task) {
                self.violations
                    .push(format!("{context}: {task} runs on worker {index} too"));
            }
        }
        if let Some(run) = self.done.get(&task) {
            self.violations
                .push(format!("{context}: {task} was already done by run {run}"));
        }
        if self.failures.get(&task).copied().unwrap_or(0) >= attempts {
            self.violations.push(format!(
                "{context}: {task} has already failed {attempts} times"
            ));
        }
    }

    /// Records the ends that an acknowledgement lets a worker drop.
    pub fn acknowledged(&mut self, worker: &Worker, number: u64) {
        let is_valid = |number: &u64| !worker.expired.contains(number);
        let ended = worker.ended.iter().filter(|end| is_valid(&end.number));
        for end in ended.filter(|end| end.number <= number) {
            match end.outcome {
                Outcome::Done => {
                    self.done.insert(end.attempt.task, end.attempt.run);
                }
                Outcome::Failed => *self.failures.entry(end.attempt.task).or_default() += 1,
                Outcome::Alone if self.forbids_alone => {
                    self.violations
                        .push(format!("{:?} ended alone", end.attempt));
                }
                Outcome::Stopped | Outcome::Lapsed | Outcome::Broken | Outcome::Alone => {}
            }
        }
    }

    /// Checks that all accepted jobs are in a final state.
    pub fn ended(&mut self, accepted: &[JobId], is_final: impl Fn(JobId) -> bool) {
        for job in accepted {
            if !is_final(*job) {
                self.violations
                    .push(format!("{job} was accepted and is not in a final state"));
            }
        }
    }
}
