//! A job and its tasks while the scheduler drives them.

use crate::name::Name;
use crate::time::Time;
use std::collections::{BTreeMap, BTreeSet};

use super::event::Cause;
use super::id::OCCURRENCE_STEPS;
use super::order::Times;
use super::record::{self, Record};
use super::report::Running;
use super::spec::{Purpose, Spec};
use super::{Attempt, State, StepId, TaskId};

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// The queue.
    pub queue: Name,
    /// The client account.
    pub account: Option<Name>,
    /// When it was accepted.
    pub accepted: Time,
    /// The same in milliseconds since 1970.
    pub accepted_ms: u64,
    /// What it consists of; dropped once it is over.
    pub spec: Option<Spec>,
    /// Its steps.
    pub steps: Vec<Step>,
    /// Its state.
    pub state: State,
    /// Whether it is stored.
    pub stored: bool,
    /// Whether its present state, if final, is stored.
    pub final_state_stored: bool,
    /// Whether it was accepted by an earlier scheduler, so that tasks may run where nobody has
    /// looked yet.
    pub inherited: bool,
    /// Whether its account had used up its share when it came.
    pub excess: bool,
    /// When its state became final.
    pub ended: Option<Time>,
}

/// A step.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Tasks that are not done.
    pub remaining: u32,
    /// How long the job takes, as last worked out.
    pub times: Option<Times>,
    /// When its first task was ordered to start, unless one of them has failed since.
    pub started: Option<Time>,
    /// What it waits for, as was last told.
    pub cause: Option<Cause>,
    /// The scheduler's count of growths when the step last found no room.
    pub blocked_at: Option<u64>,
    /// The workers that may run it, as far as known.
    pub advice: Advice,
    /// The highest run of any task, for gangs, whose members share it.
    pub run: u64,
    /// Workers whose room is kept for members of a gang that waits for tickets, by task.
    pub reserved: Vec<usize>,
    /// Until when the room is kept.
    pub reserved_until: Time,
}

/// What the advice service has said of a step.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    /// Workers that it has answered about, by number.
    pub answered: BTreeSet<usize>,
    /// Workers that may run the step, with their tickets.
    pub tickets: BTreeMap<usize, Ticket>,
    /// The workers of the open question.
    pub pending: BTreeSet<usize>,
    /// Until when an answer to an open question is waited for.
    pub pending_until: Option<Time>,
    /// When workers were last looked for that it was not asked about.
    pub searched_at: Time,
}

/// A permission to run a step on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// What is shown to the worker.
    pub text: Name,
    /// Until when it holds.
    pub until: Time,
}

/// A task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Where it is.
    pub place: Place,
    /// How many of its runs have failed.
    pub failures: u32,
    /// The highest run.
    pub run: u64,
    /// The runs whose end is counted.
    pub ended: Vec<u64>,
    /// Its newest checkpoint.
    pub checkpoint: Option<Name>,
    /// The part of the work that the checkpoint holds, out of 1.
    pub saved: f64,
    /// The part of the work that was done when the task was last seen.
    pub progress: f64,
    /// The worker on which it failed last.
    pub avoid: Option<usize>,
}

/// Where a task is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Place {
    /// Nowhere.
    #[default]
    Waiting,
    /// It was ordered to start on a worker, or runs there.
    On {
        /// The worker by number.
        worker: usize,
        /// The run.
        run: u64,
        /// What is known.
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
    /// The order is under way for the n-th time.
    Ordered(u32),
    /// It runs.
    Running,
    /// Orders stayed without an answer; none of them starts it after this time of the worker's
    /// clock, in milliseconds.
    Unconfirmed(u64),
}

impl Job {
    /// Makes a job from what is stored of it.
    pub fn from_record(record: Record, accepted: Time, run: u64) -> Job {
        let gang = |index: usize| {
            let spec = record.spec.as_ref();
            spec.is_some_and(|spec| spec.get(index).is_some_and(|step| step.gang))
        };
        let step = |(index, tasks): (usize, &Vec<record::Task>)| {
            let done = tasks.iter().filter(|task| task.done).count();
            // One member's end stands for the whole gang.
            let over = done > 0 && gang(index);
            Step {
                remaining: if over { 0 } else { (tasks.len() - done) as u32 },
                run,
                tasks: tasks.iter().map(|task| Task::new(task, run)).collect(),
                ..Step::default()
            }
        };
        let steps = record.steps.iter().enumerate().map(step).collect();
        Job {
            queue: record.queue,
            account: record.account,
            accepted,
            accepted_ms: record.accepted_ms,
            spec: record.spec,
            steps,
            state: record.state,
            stored: true,
            final_state_stored: true,
            inherited: true,
            excess: false,
            ended: None,
        }
    }

    /// Returns what is stored of the job.
    pub fn record(&self) -> Record {
        let over = self.state.is_final();
        let task = |task: &Task| record::Task {
            done: task.place == Place::Done,
            failures: task.failures,
            ended: task.ended.clone(),
            checkpoint: task.checkpoint.clone(),
        };
        let step = |step: &Step| step.tasks.iter().map(task).collect();
        Record {
            queue: self.queue.clone(),
            account: self.account.clone(),
            accepted_ms: self.accepted_ms,
            state: self.state,
            spec: self.spec.clone().filter(|_| !over),
            steps: if over {
                Vec::new()
            } else {
                self.steps.iter().map(step).collect()
            },
        }
    }

    /// Tells whether a step's time has come and all steps that it waits for are done.
    pub fn is_due(&self, step: usize, wall_ms: u64) -> bool {
        let Some(spec) = &self.spec else {
            return false;
        };
        let occurrence = step - step % usize::from(OCCURRENCE_STEPS);
        let mut before = spec.step(step).after.iter();
        wall_ms >= spec.due_ms(step)
            && before.all(|&earlier| self.steps[occurrence + usize::from(earlier)].remaining == 0)
    }

    /// Tells whether tasks wait, be it for their time.
    pub fn has_waiting(&self) -> bool {
        let waits = |step: &Step| {
            step.remaining > 0 && step.tasks.iter().any(|task| task.place == Place::Waiting)
        };
        !self.state.is_final() && self.steps.iter().any(waits)
    }

    /// Tells what a step's tasks are for.
    pub fn purpose(&self, step: usize) -> Purpose {
        let spec = self.spec.as_ref();
        spec.and_then(|spec| spec.get(step))
            .map_or(Purpose::Work, |step| step.purpose)
    }

    /// Tells whether a step's tasks work only together.
    pub fn is_gang(&self, step: usize) -> bool {
        let spec = self.spec.as_ref();
        spec.is_some_and(|spec| spec.get(step).is_some_and(|step| step.gang))
    }

    /// Finds a task.
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
    /// Makes the steps of a job that is new, whose runs come after `run`.
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
            // What is left of the range of the occurrence before stays empty.
            let first = occurrence * OCCURRENCE_STEPS;
            steps.resize_with(usize::from(first), Step::default);
            steps.extend(spec.steps.iter().map(|each| step(each.count)));
        }
        steps
    }

    /// Returns the newest checkpoint of a gang, whose members share it.
    pub fn shared_checkpoint(&self) -> Option<Name> {
        let saved = self.tasks.iter().filter(|task| task.checkpoint.is_some());
        let newest = saved.max_by(|a, b| a.saved.total_cmp(&b.saved));
        newest.and_then(|task| task.checkpoint.clone())
    }

    /// Returns the part of the work that no task that waits has to do again.
    pub fn saved(&self, gang: bool) -> f64 {
        let waiting = self
            .tasks
            .iter()
            .filter(|task| task.place == Place::Waiting);
        let saved = waiting.map(|task| task.saved);
        let part = if gang {
            saved.max_by(f64::total_cmp)
        } else {
            saved.min_by(f64::total_cmp)
        };
        part.unwrap_or(0.0).clamp(0.0, 1.0)
    }
}

impl Task {
    fn new(record: &record::Task, run: u64) -> Task {
        Task {
            place: if record.done {
                Place::Done
            } else {
                Place::Waiting
            },
            failures: record.failures,
            run: run.max(record.ended.iter().copied().max().unwrap_or(0)),
            ended: record.ended.clone(),
            checkpoint: record.checkpoint.clone(),
            saved: 0.0,
            progress: 0.0,
            avoid: None,
        }
    }

    /// Takes in how far a run has come.
    pub fn note_progress(&mut self, running: &Running) {
        self.progress = running.progress;
        self.note_checkpoint(running.checkpoint.as_ref());
    }

    /// Takes in the newest checkpoint of a run; it holds about what was done when it was first seen.
    pub fn note_checkpoint(&mut self, checkpoint: Option<&Name>) {
        if checkpoint.is_some() && checkpoint != self.checkpoint.as_ref() {
            self.checkpoint = checkpoint.cloned();
            self.saved = self.progress;
        }
    }
}
