//! The scheduler's state of a job, its steps and its tasks.

use std::collections::{BTreeMap, BTreeSet};

use fixedbitset::FixedBitSet;

use crate::name::Name;
use crate::time::Time;

use super::caller::Caller;
use super::event::Cause;
use super::id::OCCURRENCE_STEPS;
use super::locality::Wait;
use super::order::Times;
use super::record::{self, BLOCK_TASKS, BlockId, Progress, Record, Submission, Submitter};
use super::report::Running;
use super::spec::{Purpose, Spec};
use super::{Attempt, State, StepId, TaskId};

/// How many ended runs of a task are remembered. Workers repeat only ends that are not acknowledged,
/// which are the last few.
const MAX_COUNTED_ENDS: usize = 32;

/// How many failed runs of a member of a gang are remembered. Other members report the same run as long as
/// their ends are not acknowledged, so the last few suffice.
const MAX_FAILED_RUNS: usize = 8;

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// The queue.
    pub queue: Name,
    /// The client account.
    pub account: Option<Name>,
    /// When it was accepted.
    pub accepted: Time,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Its specification; dropped once the state is final.
    pub spec: Option<Spec>,
    /// Its steps.
    pub steps: Vec<Step>,
    /// Its state.
    pub state: State,
    /// Whether it is stored.
    pub stored: bool,
    /// Whether its final state is stored; also true while the state is not final.
    pub final_state_stored: bool,
    /// Whether it was accepted by an earlier scheduler, so that its tasks may run on workers that
    /// have not reported yet.
    pub inherited: bool,
    /// The blocks of tasks whose rows may exist in the store.
    pub blocks: BTreeSet<BlockId>,
    /// Whether its account had used up its share when it was accepted.
    pub excess: bool,
    /// When its state became final.
    pub ended: Option<Time>,
}

/// A step.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// The number of tasks that are not done.
    pub remaining: u32,
    /// How long the job is expected to take, as last computed.
    pub times: Option<Times>,
    /// When its first task was ordered to start; reset when a task fails.
    pub started: Option<Time>,
    /// Why it waits, as last reported.
    pub cause: Option<Cause>,
    /// What is known of the workers that may run it.
    pub advice: Advice,
    /// The highest run of any task. The members of a gang share it.
    pub run: u64,
    /// The workers on which capacity is reserved for the members of a gang that waits for tickets,
    /// by task.
    pub reserved: Vec<usize>,
    /// The time until which the capacity is reserved.
    pub reserved_until: Time,
    /// Its wait for a rack in which its tasks run faster.
    pub wait: Wait,
    /// When placement first visited it, if its tasks run faster in some racks.
    pub visited: Option<Time>,
    /// Whether tasks were started elsewhere than in the rack in which they run faster.
    pub spread: bool,
}

/// The answers of the advice service about a step.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    /// The workers that the service has answered about, by number.
    pub answered: BTreeSet<usize>,
    /// The workers that may run the step, with their tickets.
    pub tickets: BTreeMap<usize, Ticket>,
    /// The workers of the pending question.
    pub pending: BTreeSet<usize>,
    /// The time until which the answer to the pending question is awaited.
    pub pending_until: Option<Time>,
    /// When workers that no question covered yet were last searched for.
    pub searched_at: Time,
}

/// A permission to run a step on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The text that the worker checks.
    pub text: Name,
    /// The time until which it is valid.
    pub until: Time,
}

/// A task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Whether it waits, is on a worker or is done.
    pub place: Place,
    /// How many of its runs have failed.
    pub failures: u32,
    /// The last runs that failed, if it is a member of a gang.
    pub failed_runs: Vec<u64>,
    /// The number of its highest run.
    pub run: u64,
    /// The runs whose end was counted.
    pub ended: Vec<u64>,
    /// Its newest checkpoint.
    pub checkpoint: Option<Name>,
    /// The fraction of the work that the checkpoint covers.
    pub saved: f64,
    /// The fraction of the work that was done at the last report.
    pub progress: f64,
    /// When that was reported.
    pub progress_at: Time,
    /// The worker on which it failed last.
    pub avoid: Option<usize>,
    /// Whether the speed of its worker was learnt from it.
    pub measured: bool,
}

/// Whether a task waits, is on a worker or is done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Place {
    /// It is on no worker and not done.
    #[default]
    Waiting,
    /// It was ordered to start on a worker or runs on it.
    On {
        /// The worker by number.
        worker: usize,
        /// The run.
        run: u64,
        /// What is known of the run.
        phase: Phase,
        /// When it was ordered to start.
        since: Time,
    },
    /// It is done.
    Done,
}

/// What is known of a task that was ordered to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The order to start is not answered yet.
    Ordered {
        /// How many times it was sent.
        sent: u32,
        /// The time of the worker's clock, in milliseconds, at which the unanswered ones before the last
        /// expire.
        expires_ms: u64,
    },
    /// The order was answered, by this incarnation of the worker or by the next one: no report has shown
    /// the run yet.
    Answered,
    /// A report has shown that it runs.
    Running,
    /// The orders to start were not answered. They expire at this time of the worker's clock, in
    /// milliseconds, and can't start the task later.
    Unconfirmed(u64),
}

impl Job {
    /// Restores a job from its rows. The numbers of its next runs are higher than `run`.
    pub fn restore(
        record: Record,
        blocks: &[(BlockId, Progress)],
        accepted: Time,
        run: u64,
    ) -> Job {
        let mut job = Job {
            queue: Name::from(""),
            account: None,
            accepted,
            accepted_ms: 0,
            spec: None,
            steps: Vec::new(),
            state: State::Queued,
            stored: true,
            final_state_stored: true,
            inherited: true,
            blocks: blocks.iter().map(|(id, _)| *id).collect(),
            excess: false,
            ended: None,
        };
        match record {
            Record::Ended(state, submitter) => {
                job.state = state;
                if let Some(submitter) = submitter {
                    job.queue = submitter.queue;
                    job.account = submitter.account;
                }
            }
            Record::Open(submission) => {
                job.queue = submission.queue;
                job.account = submission.account;
                job.accepted_ms = submission.accepted_ms;
                job.steps = Step::for_job(&submission.spec, run);
                job.spec = Some(submission.spec);
                for (id, progress) in blocks {
                    job.state = State::Running;
                    job.restore_block(*id, progress);
                }
            }
        }
        job
    }

    fn restore_block(&mut self, id: BlockId, progress: &Progress) {
        let number = usize::from(id.step.step);
        let gang = self.is_gang(number);
        let Some(step) = self.steps.get_mut(number) else {
            return;
        };
        let first = id.number as usize * BLOCK_TASKS as usize;
        for index in progress.done.ones() {
            if let Some(task) = step.tasks.get_mut(first + index)
                && task.place != Place::Done
            {
                task.place = Place::Done;
                step.remaining -= 1;
            }
        }
        // A gang is done once one of its members is done.
        if gang && !progress.done.is_clear() {
            step.remaining = 0;
        }
        for (index, stored) in &progress.tasks {
            if let Some(task) = step.tasks.get_mut(first + *index as usize) {
                task.restore(stored);
            }
        }
        for (index, runs) in &progress.failed_runs {
            if let Some(task) = step.tasks.get_mut(first + *index as usize) {
                task.failed_runs.clone_from(runs);
            }
        }
    }

    /// Returns the record of the job, or `None` if it has neither a specification nor a final state.
    pub fn record(&self) -> Option<Record> {
        if self.state.is_final() {
            let submitter = Submitter {
                queue: self.queue.clone(),
                account: self.account.clone(),
            };
            return Some(Record::Ended(
                self.state,
                self.has_submitter().then_some(submitter),
            ));
        }
        self.spec.clone().map(|spec| {
            Record::Open(Submission {
                queue: self.queue.clone(),
                account: self.account.clone(),
                accepted_ms: self.accepted_ms,
                spec,
            })
        })
    }

    /// Returns the progress of a block of tasks, or `None` if there is no such block.
    pub fn progress(&self, id: BlockId) -> Option<Progress> {
        let step = self.steps.get(usize::from(id.step.step))?;
        let block = step.tasks.chunks(BLOCK_TASKS as usize);
        let block = block.into_iter().nth(id.number as usize)?;
        let mut progress = Progress {
            done: FixedBitSet::with_capacity(block.len()),
            tasks: Vec::new(),
            failed_runs: Vec::new(),
        };
        for (index, task) in block.iter().enumerate() {
            if task.place == Place::Done {
                progress.done.insert(index);
            } else if let Some(record) = task.record() {
                progress.tasks.push((index as u32, record));
                if !task.failed_runs.is_empty() {
                    let runs = (index as u32, task.failed_runs.clone());
                    progress.failed_runs.push(runs);
                }
            }
        }
        Some(progress)
    }

    /// Tells whether the scheduled time of a step has come and all steps that it depends on are
    /// done. An unused step number never is.
    pub fn is_due(&self, number: usize, wall_ms: u64) -> bool {
        let Some(spec) = &self.spec else {
            return false;
        };
        let Some(step) = spec.step(number) else {
            return false;
        };
        let occurrence = number - number % usize::from(OCCURRENCE_STEPS);
        let mut before = step.after.iter();
        wall_ms >= spec.due_ms(number)
            && before.all(|&earlier| self.steps[occurrence + usize::from(earlier)].remaining == 0)
    }

    /// Tells whether tasks wait, including those whose scheduled time has not come.
    pub fn has_waiting(&self) -> bool {
        let waits = |step: &Step| {
            step.remaining > 0 && step.tasks.iter().any(|task| task.place == Place::Waiting)
        };
        !self.state.is_final() && self.steps.iter().any(waits)
    }

    /// Returns the purpose of a step's tasks.
    pub fn purpose(&self, step: usize) -> Purpose {
        let spec = self.spec.as_ref();
        spec.and_then(|spec| spec.step(step))
            .map_or(Purpose::Work, |step| step.purpose)
    }

    /// Tells whether a step's tasks are a gang.
    pub fn is_gang(&self, step: usize) -> bool {
        let spec = self.spec.as_ref();
        spec.is_some_and(|spec| spec.step(step).is_some_and(|step| step.gang))
    }

    /// Tells whether it is known who submitted the job. It is not if an earlier build has stored its end.
    fn has_submitter(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Tells whether a caller may read and cancel the job: its own account, and on its own queue everyone if
    /// the queue is open or the job came without an account.
    pub fn permits(&self, caller: &Caller) -> bool {
        let is_own = self.account.is_some() && self.account == caller.account;
        let is_open = caller.open || self.account.is_none();
        !self.has_submitter() || is_own || (is_open && self.queue == caller.queue)
    }

    /// Finds a task by id.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let step = self.steps.get_mut(usize::from(id.step.step))?;
        step.tasks.get_mut(id.index as usize)
    }

    /// Returns all attempts that run or may run, with their workers.
    pub fn placed(&self, id: super::JobId) -> Vec<(Attempt, usize)> {
        let mut placed = Vec::new();
        for (number, step) in self.steps.iter().enumerate() {
            for (index, task) in step.tasks.iter().enumerate() {
                if let Place::On { worker, run, .. } = task.place {
                    let step = StepId {
                        job: id,
                        step: number as u16,
                    };
                    let task = TaskId {
                        step,
                        index: index as u32,
                    };
                    placed.push((Attempt { task, run }, worker));
                }
            }
        }
        placed
    }
}

impl Step {
    /// Creates the steps of a new job. The numbers of their runs are higher than `run`.
    pub fn for_job(spec: &Spec, run: u64) -> Vec<Step> {
        let task = Task {
            run,
            ..Task::default()
        };
        let step = |count: u32| Step {
            tasks: vec![task.clone(); count as usize],
            remaining: count,
            run,
            ..Step::default()
        };
        let mut steps = Vec::new();
        for occurrence in 0..spec.occurrences() {
            // The unused numbers of the previous occurrence get empty steps.
            let first = occurrence * OCCURRENCE_STEPS;
            steps.resize_with(usize::from(first), Step::default);
            steps.extend(spec.steps.iter().map(|each| step(each.count)));
        }
        steps
    }

    /// Returns how many runs of a gang have failed, of however many members each was reported.
    pub fn gang_failures(&self) -> u32 {
        let runs: BTreeSet<u64> = self
            .tasks
            .iter()
            .flat_map(|task| task.failed_runs.iter().copied())
            .collect();
        // Of earlier runs, and in rows of earlier builds, only the number is known for each member.
        let untold = |task: &Task| task.failures.saturating_sub(task.failed_runs.len() as u32);
        let untold = self.tasks.iter().map(untold).max().unwrap_or(0);
        untold.saturating_add(runs.len() as u32)
    }

    /// Returns the newest checkpoint of a gang. Its members share the checkpoint.
    pub fn shared_checkpoint(&self) -> Option<Name> {
        let saved = self.tasks.iter().filter(|task| task.checkpoint.is_some());
        let newest = saved.max_by(|a, b| a.saved.total_cmp(&b.saved));
        newest.and_then(|task| task.checkpoint.clone())
    }

    /// Returns the fraction of the work that none of the waiting tasks has to repeat.
    pub fn saved(&self, gang: bool) -> f64 {
        let waiting = self
            .tasks
            .iter()
            .filter(|task| task.place == Place::Waiting);
        let saved = waiting.map(|task| task.saved);
        let fraction = if gang {
            saved.max_by(f64::total_cmp)
        } else {
            saved.min_by(f64::total_cmp)
        };
        fraction.unwrap_or(0.0).clamp(0.0, 1.0)
    }
}

impl Task {
    fn restore(&mut self, record: &record::Task) {
        self.failures = record.failures;
        self.run = self
            .run
            .max(record.ended.iter().copied().max().unwrap_or(0));
        self.ended.clone_from(&record.ended);
        self.checkpoint.clone_from(&record.checkpoint);
    }

    /// Returns the record of a task that is not done, or `None` if no run of it has ended.
    fn record(&self) -> Option<record::Task> {
        let untouched = self.failures == 0 && self.ended.is_empty() && self.checkpoint.is_none();
        (!untouched).then(|| record::Task {
            failures: self.failures,
            ended: self.ended.clone(),
            checkpoint: self.checkpoint.clone(),
        })
    }

    /// Counts the end of a run.
    pub fn count_end(&mut self, run: u64) {
        if self.ended.len() == MAX_COUNTED_ENDS {
            self.ended.remove(0);
        }
        self.ended.push(run);
    }

    /// Remembers a failed run of a member of a gang.
    pub fn record_failed_run(&mut self, run: u64) {
        if self.failed_runs.len() == MAX_FAILED_RUNS {
            self.failed_runs.remove(0);
        }
        self.failed_runs.push(run);
    }

    /// Records the progress of a run.
    pub fn record_progress(&mut self, running: &Running) {
        self.progress = running.progress;
        self.record_checkpoint(running.checkpoint.as_ref());
    }

    /// Records the newest checkpoint of a run. It covers about the work that was done when it was
    /// first reported.
    pub fn record_checkpoint(&mut self, checkpoint: Option<&Name>) {
        if checkpoint.is_some() && checkpoint != self.checkpoint.as_ref() {
            self.checkpoint = checkpoint.cloned();
            self.saved = self.progress;
        }
    }
}
