//! State machine that schedules all batch jobs on the workers of the fleet.

mod account;
mod admission;
mod assembly;
mod confirmation;
mod dump;
mod end;
mod evacuation;
mod gang;
mod intake;
mod locality;
mod place;
mod question;
mod ranking;
mod reach;
mod reservation;
mod restart;
mod rotation;
mod speed;
mod start;
mod store;
mod target;
mod visits;
mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::name::{Map, Name};
use crate::size::Size;
use crate::time::Time;

use super::admission::Backlog;
use super::caller::Caller;
use super::config::{Config, Queue};
use super::event::{Action, Decision};
use super::fleet::{Contact, Worker};
use super::job::{Advice, Job};
use super::journal::Journal;
use super::order::Durations;
use super::quota::Load;
use super::record::{BlockId, Row, Stored};
use super::spec::Purpose;
use super::speed::RunTimes;
use super::{Attempt, JobId, State, StepId};

use account::Account;
use assembly::Assembly;
use locality::Held;
use ranking::Ranking;
use reach::Reaches;
use restart::Unsettled;
use rotation::Rotation;
use visits::Visits;

pub use dump::Dump;

/// The run numbers reserved for one epoch; those of the next epoch begin after them.
const RUNS_PER_EPOCH: u64 = 1_000;

/// How long the final state of a job can be queried: the platform's `status_s` plus a margin.
const FINAL_STATE_RETENTION: Duration = Duration::from_secs(125);

/// Interval at which a stop order is repeated until the run has ended.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// The parameters of a new scheduler.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The scheduler's epoch; each successor has a higher one.
    pub epoch: u64,
    /// The wall clock at time 0, in milliseconds since 1970.
    pub origin_ms: u64,
    /// How long after a takeover tasks may still run on workers that have not reported yet.
    pub takeover_grace: Duration,
    /// How long a started member of a gang waits for the others before it ends.
    pub gang_wait: Duration,
    /// How long tasks run at most on a worker whose lease nobody renews.
    pub longest_lease: Duration,
    /// The factor on the run time of tasks that run outside the rack with their data, or on several
    /// racks where one is wanted; without it, nothing waits for such a rack.
    pub remote_slowdown: Option<f64>,
}

impl Setup {
    /// Returns the number after which the runs of this scheduler are numbered.
    fn first_run(&self) -> u64 {
        (self.epoch - 1) * RUNS_PER_EPOCH
    }
}

/// What the scheduler has done for placement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effort {
    /// Placement passes.
    pub passes: u64,
    /// Visits of these passes to steps.
    pub visits: u64,
    /// The steps that waited in the last pass.
    pub ranked: usize,
}

/// The scheduler of all batch jobs.
///
/// It does no I/O: callers pass in events and carry out the actions that [`Scheduler::advance`]
/// appends.
#[derive(Debug)]
pub struct Scheduler {
    setup: Setup,
    now: Time,
    /// Until when tasks of inherited jobs may run on workers that have not reported yet.
    takeover_ends_at: Time,
    /// Until when no other scheduler has led.
    confirmed_until: Time,
    /// The workers whose leases have expired unless a successor has extended them, and when that was
    /// found; `None` if since the last advance.
    expired: BTreeMap<usize, Option<Time>>,
    config: Arc<Config>,
    /// The configured queues by name.
    queues: Map<Name, Arc<Queue>>,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs that may have waiting tasks.
    ready: BTreeSet<JobId>,
    ranking: Ranking,
    workers: Vec<Worker>,
    /// What the next pass visits.
    visits: Visits,
    /// What the next full pass visits of the steps that it skips.
    rotation: Rotation,
    reaches: Reaches,
    by_id: BTreeMap<Name, usize>,
    /// The failure domains that are evacuated.
    evacuated: BTreeSet<Name>,
    accounts: BTreeMap<Name, Account>,
    /// The total size of the tasks of inherited jobs that may run on workers that have not reported
    /// yet, by account.
    unreported_tasks: BTreeMap<Name, Size>,
    /// The capacity of these workers.
    unreported_capacity: Size,
    /// Observed run times of tasks, by queue.
    task_durations: Map<Name, Durations>,
    /// Observed durations of steps by queue, from the first start order to the end of the last
    /// task.
    step_durations: Map<Name, Durations>,
    /// Run times of single tasks, with which the speed of workers is compared, by queue.
    run_times: Map<Name, RunTimes>,
    /// How many workers are clearly faster or slower than the average.
    different_workers: usize,
    journal: Journal,
    /// The blocks whose rows would be too long with the checkpoints of their tasks.
    long_blocks: BTreeSet<BlockId>,
    /// The most rows that the next write may hold; lowered after the store has rejected a write.
    max_rows: usize,
    /// Attempts that were ordered to stop, with their worker and the time of the next repetition.
    stopping: BTreeMap<Attempt, (usize, Time)>,
    /// Runs whose start order may have reached a later incarnation of their worker.
    unsettled: BTreeMap<Attempt, Unsettled>,
    /// The steps for which capacity is reserved.
    reservations: BTreeSet<StepId>,
    /// The steps with tasks that wait for a rack.
    held: BTreeMap<StepId, Held>,
    /// Gangs that were ordered to start and may still be incomplete.
    assembling: BTreeMap<StepId, Assembly>,
    /// Number of instances that query the advice service.
    advice_instances: usize,
    /// Estimated fraction of the workers that are eligible for the steps of a queue, from the
    /// answers of the advice service.
    eligible_fraction: Map<Name, f64>,
    /// Open questions, with the time at which they expire and whether they are deferrable.
    questions: BTreeMap<StepId, (Time, bool)>,
    /// Open slow questions, with the time at which they expire.
    slow_questions: BTreeMap<StepId, Time>,
    backlog: Backlog,
    /// The work of the accounts that have a limit, as of the last full pass and with the jobs that were
    /// accepted since.
    loads: Map<Name, Load>,
    /// How many more workers may be reserved for gangs until the next full pass.
    worker_reservations_left: usize,
    /// How many more workers may be held for gangs until the next full pass.
    holds_left: usize,
    /// Total capacity of the workers that accept tasks, or will after a takeover, as of the last full
    /// pass.
    capacity: Size,
    /// Jobs with a final state, by the time at which they reached it.
    ended: BTreeMap<Time, Vec<JobId>>,
    /// What was done since it was last asked for.
    effort: Effort,
    /// When the last placement pass began.
    placed_at: Time,
    /// How long it took.
    pass_time: Duration,
    /// Whether anything has changed that may let a step start.
    dirty: bool,
    /// Whether nothing is placed.
    suspended: bool,
    actions: Vec<Action>,
}

impl Scheduler {
    /// Creates a scheduler that resumes from the stored state of its predecessors.
    pub fn new(setup: Setup, now: Time, config: Arc<Config>, stored: Stored) -> Scheduler {
        let mut scheduler = Scheduler {
            setup,
            now,
            takeover_ends_at: now.after(setup.takeover_grace),
            confirmed_until: now,
            expired: BTreeMap::new(),
            queues: queues_by_name(&config),
            config,
            jobs: BTreeMap::new(),
            ready: BTreeSet::new(),
            ranking: Ranking::default(),
            workers: Vec::new(),
            visits: Visits::default(),
            rotation: Rotation::default(),
            reaches: Reaches::default(),
            by_id: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            accounts: BTreeMap::new(),
            unreported_tasks: BTreeMap::new(),
            unreported_capacity: Size::ZERO,
            task_durations: Map::default(),
            step_durations: Map::default(),
            run_times: Map::default(),
            different_workers: 0,
            journal: Journal::default(),
            long_blocks: BTreeSet::new(),
            max_rows: usize::MAX,
            stopping: BTreeMap::new(),
            unsettled: BTreeMap::new(),
            reservations: BTreeSet::new(),
            held: BTreeMap::new(),
            assembling: BTreeMap::new(),
            advice_instances: 1,
            eligible_fraction: Map::default(),
            questions: BTreeMap::new(),
            slow_questions: BTreeMap::new(),
            backlog: Backlog::default(),
            loads: Map::default(),
            worker_reservations_left: 0,
            holds_left: 0,
            capacity: Size::ZERO,
            ended: BTreeMap::new(),
            effort: Effort::default(),
            placed_at: Time::default(),
            pass_time: Duration::ZERO,
            dirty: true,
            suspended: false,
            actions: Vec::new(),
        };
        scheduler.restore(stored);
        scheduler
    }

    /// Applies a newer configuration.
    pub fn configure(&mut self, config: Arc<Config>) {
        let queues = queues_by_name(&config);
        for job in self.jobs.values_mut() {
            let pool = |queues: &Map<Name, Arc<Queue>>| {
                queues.get(&job.queue).map(|queue| queue.pool.clone())
            };
            if pool(&queues) != pool(&self.queues) {
                // The advice is about workers of the old pool.
                for step in &mut job.steps {
                    step.advice = Advice::default();
                }
            }
        }
        self.queues = queues;
        self.config = config;
        self.ranking.invalidate();
    }

    /// Returns the state of a job, or `None` if there is no such job.
    ///
    /// A final state is shown only once it is stored, since a successor could otherwise run the job
    /// again.
    pub fn state(&self, id: JobId) -> Option<State> {
        let job = self.jobs.get(&id)?;
        if job.state.is_final() && !job.final_state_stored {
            return Some(State::Running);
        }
        Some(job.state)
    }

    /// Tells whether a caller may know of a job, which it also may if there is no such job.
    pub fn permits(&self, id: JobId, caller: &Caller) -> bool {
        self.jobs.get(&id).is_none_or(|job| job.permits(caller))
    }

    /// Returns the number of stored jobs of a queue of which no task has started.
    pub fn pending(&self, queue: &str) -> u64 {
        let waits = |job: &&Job| job.stored && job.state == State::Queued && *job.queue == *queue;
        self.jobs.values().filter(waits).count() as u64
    }

    /// Suspends or resumes the placement of tasks.
    ///
    /// While its orders are not sent, a scheduler would start the same tasks again and again.
    pub fn suspend(&mut self, suspended: bool) {
        self.suspended = suspended;
    }

    /// Advances the clock, places steps that can start and appends the resulting actions.
    pub fn advance(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.drop_expired_jobs();
        self.drop_expired_attempts();
        self.repeat_stops();
        self.settle_runs();
        self.stop_incomplete_gangs();
        self.update_unreported_capacity();
        if !self.suspended {
            self.place();
        }
        actions.append(&mut self.actions);
    }

    /// Returns what was done for placement since the last call.
    pub fn take_effort(&mut self) -> Effort {
        std::mem::take(&mut self.effort)
    }

    /// Drops jobs whose final state has been kept for [`FINAL_STATE_RETENTION`].
    fn drop_expired_jobs(&mut self) {
        while let Some(first) = self.ended.first_entry() {
            if self.now < first.key().after(FINAL_STATE_RETENTION) {
                return;
            }
            for id in first.remove() {
                self.jobs.remove(&id);
                self.journal.record(Row::Job(id), None);
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

    /// Orders an attempt to stop; the order is repeated until the attempt is known to have ended.
    fn stop(&mut self, worker: usize, attempt: Attempt) {
        if let Some(run) = self.unsettled.get_mut(&attempt) {
            run.is_unwanted = true;
            return;
        }
        let repeat_at = self.now.after(STOP_RETRY_INTERVAL);
        self.stopping.insert(attempt, (worker, repeat_at));
        self.actions.push(Action::Stop { worker, attempt });
    }

    fn log(&mut self, decision: Decision) {
        self.actions.push(Action::Log(Box::new(decision)));
    }

    fn wall_ms(&self) -> u64 {
        self.setup.origin_ms + self.now.0 / 1_000
    }

    /// Returns the size that an attempt uses of its account's limit, the size that is booked on its
    /// worker, and its purpose.
    fn requirements_of(&self, attempt: &Attempt) -> Option<(Size, Size, Purpose)> {
        let job = self.jobs.get(&attempt.task.step.job)?;
        let number = usize::from(attempt.task.step.step);
        let step = job.spec.as_ref()?.step(number)?;
        Some((step.size, step.booked(), step.purpose))
    }
}

fn queues_by_name(config: &Config) -> Map<Name, Arc<Queue>> {
    let queues = config.queues.iter();
    queues
        .map(|queue| (queue.name.clone(), Arc::new(queue.clone())))
        .collect()
}
