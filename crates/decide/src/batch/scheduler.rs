//! The machine that drives all jobs on all workers of the fleet.

mod account;
mod admission;
mod ask;
mod dump;
mod end;
mod gang;
mod intake;
mod place;
mod ranking;
mod reservation;
mod start;
mod target;
mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::name::{Map, Name};
use crate::size::Size;
use crate::time::Time;

use super::admission::Backlog;
use super::config::{Config, Queue};
use super::event::{Action, Note};
use super::fleet::{Contact, Entry, Worker};
use super::job::{Advice, Job};
use super::journal::Journal;
use super::order::Durations;
use super::record::{Batch, Record, Stored};
use super::spec::Purpose;
use super::{Attempt, JobId, State, StepId};

use account::Account;
use ranking::Ranking;

pub use dump::Dump;

/// The runs that one scheduler may number before the numbers of its successor begin.
const RUNS_PER_EPOCH: u64 = 1_000;

/// How long a final state is kept for clients to ask for: the platform's `status_s` and a margin.
const FINAL_STATE_RETENTION: Duration = Duration::from_secs(125);

/// How often a stop that has not taken effect is ordered again.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// What a scheduler is made with.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The scheduler's epoch; each successor has a higher one.
    pub epoch: u64,
    /// The wall clock at time 0, in milliseconds since 1970.
    pub origin_ms: u64,
    /// How long tasks may run on workers that nobody has heard of since the takeover.
    pub takeover_grace: Duration,
}

impl Setup {
    /// Returns the number that the runs of this scheduler come after.
    fn first_run(&self) -> u64 {
        (self.epoch - 1) * RUNS_PER_EPOCH
    }
}

/// The machine.
#[derive(Debug)]
pub struct Scheduler {
    setup: Setup,
    now: Time,
    /// Until when tasks of inherited jobs may run on workers that were not heard yet.
    takeover_ends_at: Time,
    config: Arc<Config>,
    /// The queues of the configuration by name.
    queues: Map<Name, Arc<Queue>>,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs with a step that is due and has waiting tasks.
    ready: BTreeSet<JobId>,
    ranking: Ranking,
    workers: Vec<Worker>,
    /// Counts how often a worker has got more room.
    capacity_version: u64,
    by_id: BTreeMap<Name, usize>,
    accounts: BTreeMap<Name, Account>,
    /// How long tasks of a queue run.
    task_durations: Map<Name, Durations>,
    /// How long steps of a queue take, from the order to their last task's end.
    step_durations: Map<Name, Durations>,
    journal: Journal,
    /// Whether workers have come or gone since the roster was last written.
    roster_changed: bool,
    /// How many workers the write that is under way takes in, if it holds the roster.
    roster_in_write: Option<usize>,
    stopping: BTreeMap<Attempt, (usize, Time)>,
    /// How many instances ask the advice service.
    askers: usize,
    /// The part of the workers that may run the steps of a queue, as learnt from answers.
    eligible_fraction: Map<Name, f64>,
    /// Questions that are open, with the time until which they count, and whether they are of what
    /// comes later.
    questions: BTreeMap<StepId, (Time, bool)>,
    /// Slow questions that are open, with the time until which they count.
    slow_questions: BTreeMap<StepId, Time>,
    backlog: Backlog,
    /// How many more workers may be emptied for gangs in this placing.
    earmarks_left: usize,
    /// How many more workers may be left to gangs in this placing.
    wanted_left: usize,
    /// What all workers hold that take tasks, as of the last placing.
    capacity: Size,
    ended: BTreeMap<Time, Vec<JobId>>,
    /// When steps were last placed.
    placed_at: Time,
    dirty: bool,
    actions: Vec<Action>,
}

impl Scheduler {
    /// Makes a scheduler that goes on from what its predecessors have stored.
    pub fn new(setup: Setup, now: Time, config: Arc<Config>, stored: Stored) -> Scheduler {
        let mut scheduler = Scheduler {
            setup,
            now,
            takeover_ends_at: now.after(setup.takeover_grace),
            queues: queues_by_name(&config),
            config,
            jobs: BTreeMap::new(),
            ready: BTreeSet::new(),
            ranking: Ranking::default(),
            workers: Vec::new(),
            capacity_version: 0,
            by_id: BTreeMap::new(),
            accounts: BTreeMap::new(),
            task_durations: Map::default(),
            step_durations: Map::default(),
            journal: Journal::default(),
            roster_changed: false,
            roster_in_write: None,
            stopping: BTreeMap::new(),
            askers: 1,
            eligible_fraction: Map::default(),
            questions: BTreeMap::new(),
            slow_questions: BTreeMap::new(),
            backlog: Backlog::default(),
            earmarks_left: 0,
            wanted_left: 0,
            capacity: Size::ZERO,
            ended: BTreeMap::new(),
            placed_at: Time::default(),
            dirty: true,
            actions: Vec::new(),
        };
        for (id, record) in stored.jobs {
            scheduler.restore_job(id, record);
        }
        for entry in stored.roster {
            scheduler.restore_worker(entry);
        }
        scheduler
    }

    fn restore_job(&mut self, id: JobId, record: Record) {
        let wall_ms = self.wall_ms();
        let age = Duration::from_millis(wall_ms.saturating_sub(record.accepted_ms));
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let accepted = Time(self.now.0.saturating_sub(age));
        let mut job = Job::from_record(record, accepted, self.setup.first_run());
        if job.state.is_final() {
            job.ended = Some(self.now);
            self.ended.entry(self.now).or_default().push(id);
        } else {
            self.ready.insert(id);
        }
        self.jobs.insert(id, job);
    }

    /// Takes a newer configuration.
    pub fn configure(&mut self, config: Arc<Config>) {
        let queues = queues_by_name(&config);
        for job in self.jobs.values_mut() {
            let pool = |queues: &Map<Name, Arc<Queue>>| {
                queues.get(&job.queue).map(|queue| queue.pool.clone())
            };
            if pool(&queues) != pool(&self.queues) {
                // What was asked holds for the workers of another pool.
                for step in &mut job.steps {
                    step.advice = Advice::default();
                }
            }
        }
        self.queues = queues;
        self.config = config;
        self.ranking.invalidate();
    }

    /// Returns the state of a job, or `None` where there is no such job.
    ///
    /// An end is shown only once it is stored: a successor could otherwise run the job again.
    pub fn state(&self, id: JobId) -> Option<State> {
        let job = self.jobs.get(&id)?;
        if job.state.is_final() && !job.settled {
            return Some(State::Running);
        }
        Some(job.state)
    }

    /// Returns how many stored jobs of a queue have no task that has started.
    pub fn pending(&self, queue: &str) -> u64 {
        let waits = |job: &&Job| job.stored && job.state == State::Queued && *job.queue == *queue;
        self.jobs.values().filter(waits).count() as u64
    }

    /// Moves the time on and places what can be placed; appends what is to be done.
    pub fn advance(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.drop_expired_jobs();
        self.repeat_stops();
        self.place();
        actions.append(&mut self.actions);
    }

    /// Takes what has changed for the next write, `most` jobs at most; `None` where nothing has or
    /// a write is under way.
    pub fn next_batch(&mut self, max_jobs: usize) -> Option<Batch> {
        let jobs = self.journal.take(max_jobs)?;
        let roster = self.roster_changed.then(|| self.roster());
        if jobs.is_empty() && roster.is_none() {
            self.journal.written();
            return None;
        }
        self.roster_changed = false;
        let record = |id: JobId| (id, self.jobs.get(&id).map(Job::record));
        let jobs = jobs.into_iter().map(record).collect();
        if roster.is_some() {
            self.roster_in_write = Some(self.workers.len());
        }
        Some(Batch { jobs, roster })
    }

    /// Takes in that the last write is stored.
    pub fn batch_stored(&mut self) {
        if let Some(count) = self.roster_in_write.take() {
            for worker in &mut self.workers[..count] {
                worker.recorded = true;
            }
            self.ranking.invalidate();
        }
        for (id, deferred) in self.journal.written() {
            self.handle_stored(id, &deferred);
        }
    }

    fn roster(&self) -> Vec<Entry> {
        let alive = self
            .workers
            .iter()
            .filter(|worker| worker.contact != Contact::Gone);
        alive.map(|worker| worker.entry.clone()).collect()
    }

    /// Drops jobs whose final state was shown long enough.
    fn drop_expired_jobs(&mut self) {
        while let Some(first) = self.ended.first_entry() {
            if self.now < first.key().after(FINAL_STATE_RETENTION) {
                return;
            }
            for id in first.remove() {
                self.jobs.remove(&id);
                self.journal.note(id, None);
            }
        }
    }

    fn repeat_stops(&mut self) {
        let workers = &self.workers;
        self.stopping
            .retain(|_, (worker, _)| workers[*worker].contact != Contact::Gone);
        let due = self.stopping.iter().filter(|(_, (_, at))| *at <= self.now);
        let due: Vec<(Attempt, usize)> = due
            .map(|(attempt, (worker, _))| (*attempt, *worker))
            .collect();
        for (attempt, worker) in due {
            self.stop(worker, attempt);
        }
    }

    /// Orders a run to stop; the order is repeated until the run is known to have ended.
    fn stop(&mut self, worker: usize, attempt: Attempt) {
        let again = self.now.after(STOP_RETRY_INTERVAL);
        self.stopping.insert(attempt, (worker, again));
        self.actions.push(Action::Stop { worker, attempt });
    }

    fn note(&mut self, note: Note) {
        self.actions.push(Action::Note(Box::new(note)));
    }

    fn wall_ms(&self) -> u64 {
        self.setup.origin_ms + self.now.0 / 1_000
    }

    /// Returns what a run takes of its account's limit and of its worker, and what it is for.
    fn requirements_of(&self, attempt: &Attempt) -> Option<(Size, Size, Purpose)> {
        let job = self.jobs.get(&attempt.task.step.job)?;
        let number = usize::from(attempt.task.step.step);
        let step = job.spec.as_ref()?.get(number)?;
        Some((step.size, step.booked(), step.purpose))
    }
}

fn queues_by_name(config: &Config) -> Map<Name, Arc<Queue>> {
    let queues = config.queues.iter();
    queues
        .map(|queue| (queue.name.clone(), Arc::new(queue.clone())))
        .collect()
}
