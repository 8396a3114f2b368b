//! A simulated fleet of several racks with jobs that run faster in one of them.

#![allow(dead_code, unreachable_pub, missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::advice::{Advice, Question};
use azurepath_decide::batch::config::{AdviceTiming, Config, Queue};
use azurepath_decide::batch::event::Cause;
use azurepath_decide::batch::fleet::{Entry, Status};
use azurepath_decide::batch::record::{Fit, Record, Stored, Submission};
use azurepath_decide::batch::report::{End, Outcome, Report, Running};
use azurepath_decide::batch::scheduler::{Scheduler, Setup};
use azurepath_decide::batch::spec::{Purpose, Spec, Step};
use azurepath_decide::batch::{Action, Attempt, Decision, JobId, StartOutcome, State};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const RACKS: usize = 8;
pub const RACK_WORKERS: u32 = 4;
const CORES: u64 = 32;

/// The factor on the run time of tasks that run elsewhere.
const SLOWDOWN: f64 = 2.0;

const SEED: u64 = 5;

const TICK_MS: u64 = 10;
const REPORT_MS: u64 = 500;

/// How long an answer of the advice service takes, besides the time of the question.
const ROUND_TRIP_MS: u64 = 40;

/// How jobs are placed that want a rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Where there is room, without the setting.
    AtOnce,
    /// As the scheduler decides with the setting.
    Decided,
    /// Only in their rack.
    Always,
}

/// Arrivals per second.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Jobs with data in one rack; half of them in one of two racks.
    near: f64,
    /// Gangs that want one rack.
    grouped: f64,
    /// Jobs that run equally fast everywhere.
    plain: f64,
}

impl Load {
    pub const NONE: Load = Load {
        near: 0.0,
        grouped: 0.0,
        plain: 0.0,
    };
    pub const PLAIN: Load = Load {
        plain: 12.0,
        ..Load::NONE
    };
    /// Two thirds of the capacity if all run near.
    pub const ROOM: Load = Load {
        near: 16.0,
        grouped: 0.6,
        plain: 4.0,
    };
    /// 85% of the capacity if all run near.
    pub const BUSY: Load = Load {
        near: 20.0,
        grouped: 0.8,
        plain: 5.0,
    };
}

/// What callers got.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// The fraction of the jobs that were on time.
    pub on_time: f64,
    pub mean_age: Duration,
    /// The longest time from the acceptance of a job with data in a rack to its first start.
    pub longest_start: Duration,
    /// The fraction that were on time by queue, and the number of tasks by placement.
    pub details: BTreeMap<String, f64>,
}

/// What is known of a job.
struct Job {
    submitted_ms: u64,
    /// The run time of its tasks near their data or group.
    run_ms: f64,
    near: Option<Name>,
    grouped: bool,
    kind: String,
    limit: Duration,
    started_ms: Option<u64>,
    ended_ms: Option<u64>,
    racks: BTreeSet<Name>,
    submission: Submission,
}

struct Task {
    attempt: Attempt,
    worker: usize,
    begun_ms: u64,
    ends_ms: u64,
}

pub struct World {
    scheduler: Scheduler,
    policy: Policy,
    load: Load,
    rng: ChaCha8Rng,
    now_ms: u64,
    entries: Vec<Entry>,
    lost: BTreeSet<usize>,
    jobs: BTreeMap<JobId, Job>,
    tasks: Vec<Task>,
    last_end: Vec<u64>,
    /// The jobs of ended tasks, with the time in milliseconds.
    ends: Vec<(JobId, u64)>,
    answers: Vec<(u64, Question)>,
    waits: Vec<Cause>,
    placements: BTreeMap<String, f64>,
    digest: u64,
    config: Arc<Config>,
}

fn setup(epoch: u64, policy: Policy) -> Setup {
    Setup {
        epoch,
        origin_ms: 0,
        takeover_grace: Duration::ZERO,
        gang_wait: Duration::from_secs(3),
        longest_lease: Duration::from_secs(6),
        remote_slowdown: (policy == Policy::Decided).then_some(SLOWDOWN),
    }
}

fn queue(
    name: &str,
    priority: u32,
    stretch: f64,
    objective_ms: u64,
    advice: Option<AdviceTiming>,
) -> Queue {
    Queue {
        name: Name::from(name),
        host: Name::from(""),
        prefix: Name::from(name),
        pool: Name::from("pool"),
        priority,
        attempts: 3,
        stretch,
        objective: Duration::from_millis(objective_ms),
        advice,
        open: true,
    }
}

/// Returns the factor on the run time of a task, between 0.6 and 1.4. It is the same whatever the
/// policy.
fn spread(attempt: Attempt) -> f64 {
    let task = attempt.task;
    let hash = (task.step.job.0 ^ u64::from(task.index)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    0.6 + 0.8 * (hash >> 40) as f64 / (1u64 << 24) as f64
}

/// Returns a step of tasks with these cores.
fn step(count: u32, cores: u64, run_ms: u64) -> Step {
    Step {
        count,
        size: Size {
            millicores: cores * 1_000,
            memory_mib: cores * 1_000,
            accelerators: 0,
            slots: 0,
        },
        estimate: Duration::from_millis(run_ms),
        after: Vec::new(),
        gang: false,
        same_rack: false,
        label: None,
        near: None,
        most_on_worker: None,
        purpose: Purpose::Work,
    }
}

impl World {
    pub fn new(policy: Policy, load: Load) -> World {
        World::with_tickets(policy, load, Duration::from_secs(2))
    }

    /// Chooses the arrivals.
    pub fn seed(&mut self, seed: u64) {
        self.rng = ChaCha8Rng::seed_from_u64(seed);
    }

    /// Returns a simulation in which tickets are valid for a given time.
    pub fn with_tickets(policy: Policy, load: Load, validity: Duration) -> World {
        let advice = Some(AdviceTiming {
            base: Duration::from_millis(10),
            per_worker: Duration::from_micros(150),
            validity,
        });
        let config = Arc::new(Config {
            version: 1,
            queues: vec![
                queue("near", 0, 1.5, 500, advice),
                queue("grouped", 1, 2.2, 1_200, advice),
                queue("plain", 2, 4.0, 3_000, None),
            ],
            accounts: Vec::new(),
        });
        let entry = |number: usize| Entry {
            id: Name::from(format!("w{number}")),
            pool: Name::from("pool"),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: Name::from("a"),
            rack: Name::from(format!("r{}", number % RACKS)),
            labels: vec![Name::from(format!("in-r{}", number % RACKS))],
            capacity: Size {
                millicores: CORES * 1_000,
                memory_mib: CORES * 1_000,
                accelerators: 0,
                slots: u64::MAX,
            },
            status: Status::Ready,
            born_ms: 1,
        };
        let entries: Vec<Entry> = (0..RACKS * RACK_WORKERS as usize).map(entry).collect();
        let now = Time::from_millis(1_000);
        let setup = setup(1, policy);
        let mut scheduler = Scheduler::new(setup, now, config.clone(), Stored::default());
        scheduler.set_advice_instances(30);
        scheduler.update_registry(entries.clone());
        let mut world = World {
            scheduler,
            policy,
            load,
            rng: ChaCha8Rng::seed_from_u64(SEED),
            now_ms: 1_000,
            last_end: vec![0; entries.len()],
            entries,
            ends: Vec::new(),
            lost: BTreeSet::new(),
            jobs: BTreeMap::new(),
            tasks: Vec::new(),
            answers: Vec::new(),
            waits: Vec::new(),
            placements: BTreeMap::new(),
            digest: 0xcbf2_9ce4_8422_2325,
            config,
        };
        world.store();
        world.report_all();
        world
    }

    fn store(&mut self) {
        while self.scheduler.next_batch(|_| Fit::Taken) {
            self.scheduler.batch_stored();
        }
    }

    /// Delivers a report of each worker that shows the progress of its tasks.
    fn report_all(&mut self) {
        for worker in 0..self.entries.len() {
            if self.lost.contains(&worker) {
                continue;
            }
            let here = self.tasks.iter().filter(|task| task.worker == worker);
            let running = here.map(|task| {
                let whole = (task.ends_ms - task.begun_ms).max(1) as f64;
                Running {
                    attempt: task.attempt,
                    checkpoint: None,
                    progress: (self.now_ms - task.begun_ms) as f64 / whole,
                }
            });
            let report = Report {
                clock_ms: self.now_ms,
                born_ms: 1,
                running: running.collect(),
                ended: Vec::new(),
            };
            self.scheduler.report(worker, &report);
        }
    }

    fn submit(&mut self, queue: &str, step: Step, run_ms: f64, limit: Duration) -> JobId {
        let id = JobId(self.rng.random());
        let spec = Spec {
            payload: Name::from("work"),
            steps: vec![step.clone()],
            schedule: None,
        };
        let submission = Submission {
            queue: Name::from(queue),
            account: None,
            accepted_ms: self.now_ms,
            spec: spec.clone(),
        };
        let job = Job {
            submission,
            submitted_ms: self.now_ms,
            run_ms,
            near: step.near,
            grouped: step.same_rack,
            kind: queue.to_owned(),
            limit,
            started_ms: None,
            ended_ms: None,
            racks: BTreeSet::new(),
        };
        self.jobs.insert(id, job);
        self.scheduler.submit(1, id, &Name::from(queue), None, spec);
        self.store();
        id
    }

    /// Submits a job with data in a rack.
    pub fn submit_near(&mut self, rack: &str, tasks: u32) -> JobId {
        let mut step = step(tasks, 10, 640);
        step.near = Some(Name::from(rack));
        if self.policy == Policy::Always {
            step.label = Some(Name::from(format!("in-{rack}")));
        }
        let limit = Duration::from_millis(640 * 3 / 2 + 500);
        self.submit("near", step, 640.0, limit)
    }

    /// Submits a job of four tasks, two of which fill a worker, that wants one rack.
    pub fn submit_grouped(&mut self, rack: usize, gang: bool) -> JobId {
        let mut step = step(4, 16, 3_000);
        step.gang = gang;
        step.same_rack = true;
        if self.policy == Policy::Always {
            step.label = Some(Name::from(format!("in-r{rack}")));
        }
        let limit = Duration::from_millis(3_000 * 22 / 10 + 1_200);
        self.submit("grouped", step, 3_000.0, limit)
    }

    /// Submits a job that fills some workers of a rack for about a given time.
    pub fn submit_filler(&mut self, rack: &str, workers: u32, run_ms: u64) -> JobId {
        let mut step = step(workers, 30, 600);
        step.label = Some(Name::from(format!("in-{rack}")));
        self.submit("plain", step, run_ms as f64, Duration::from_secs(60))
    }

    /// Ends all workers of a rack with their tasks.
    pub fn lose(&mut self, rack: &str) {
        for worker in 0..self.entries.len() {
            if *self.entries[worker].rack == *rack {
                self.lost.insert(worker);
                self.scheduler.mark_silent(worker);
            }
        }
        let lost = &self.lost;
        self.tasks.retain(|task| !lost.contains(&task.worker));
    }

    /// Lets the workers of a rack take no new tasks.
    pub fn drain(&mut self, rack: &str) {
        for entry in &mut self.entries {
            if *entry.rack == *rack {
                entry.status = Status::Draining;
            }
        }
        self.scheduler.update_registry(self.entries.clone());
    }

    /// Replaces the scheduler by a successor that reads the stored jobs.
    pub fn take_over(&mut self) {
        let open = self.jobs.iter().filter(|(_, job)| job.ended_ms.is_none());
        let record = |(id, job): (&JobId, &Job)| (*id, Record::Open(job.submission.clone()));
        let stored = Stored {
            jobs: open.map(record).collect(),
            blocks: Vec::new(),
            roster: self.entries.clone(),
        };
        let now = Time::from_millis(self.now_ms);
        let setup = setup(2, self.policy);
        self.scheduler = Scheduler::new(setup, now, self.config.clone(), stored);
        self.scheduler.set_advice_instances(30);
        self.scheduler.update_registry(self.entries.clone());
        self.answers.clear();
        self.store();
        self.report_all();
    }

    /// Returns when the first task of a job ended, or `None` if all run.
    pub fn first_end(&self, job: JobId) -> Option<u64> {
        let ends = self.ends.iter().filter(|(ended, _)| *ended == job);
        ends.map(|(_, at_ms)| *at_ms).min()
    }

    /// Returns how many tasks of a job run.
    pub fn running(&self, job: JobId) -> usize {
        let runs = |task: &&Task| task.attempt.task.step.job == job;
        self.tasks.iter().filter(runs).count()
    }

    /// Returns the number of racks in which tasks of a job have run.
    pub fn racks(&self, job: JobId) -> usize {
        self.jobs[&job].racks.len()
    }

    /// Tells whether a job has run in its rack only.
    pub fn ran_near(&self, job: JobId) -> bool {
        let job = &self.jobs[&job];
        job.racks.iter().eq(job.near.iter())
    }

    fn arrives(&mut self, per_second: f64) -> bool {
        let drawn: f64 = self.rng.random();
        drawn < per_second * TICK_MS as f64 / 1_000.0
    }

    fn arrive(&mut self) {
        if self.arrives(self.load.near) {
            let popular: bool = self.rng.random();
            let racks = if popular { 2 } else { RACKS };
            let rack = format!("r{}", self.rng.random_range(0..racks));
            self.submit_near(&rack, 3);
        }
        if self.arrives(self.load.grouped) {
            let rack = self.rng.random_range(0..RACKS);
            self.submit_grouped(rack, true);
        }
        if self.arrives(self.load.plain) {
            let limit = Duration::from_millis(2_000 * 4 + 3_000);
            self.submit("plain", step(8, 4, 2_000), 2_000.0, limit);
        }
    }

    fn end_tasks(&mut self) {
        let now_ms = self.now_ms;
        let due = |task: &mut Task| task.ends_ms <= now_ms;
        let ended: Vec<Task> = self.tasks.extract_if(.., due).collect();
        for task in ended {
            self.last_end[task.worker] += 1;
            self.ends.push((task.attempt.task.step.job, now_ms));
            let report = Report {
                clock_ms: self.now_ms,
                born_ms: 1,
                running: Vec::new(),
                ended: vec![End {
                    number: self.last_end[task.worker],
                    attempt: task.attempt,
                    outcome: Outcome::Done,
                    checkpoint: None,
                }],
            };
            self.scheduler.report(task.worker, &report);
        }
        self.store();
    }

    fn answer(&mut self) {
        let now_ms = self.now_ms;
        let due = |(at, _): &mut (u64, Question)| *at <= now_ms;
        let answered: Vec<(u64, Question)> = self.answers.extract_if(.., due).collect();
        for (_, question) in answered {
            let ticket = |worker: &Name| (worker.clone(), Name::from("ticket"));
            let tickets = question.workers.iter().map(ticket).collect();
            self.scheduler
                .handle_advice(question.step, Some(&Advice { tickets }));
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        let mut starts = Vec::new();
        for action in actions {
            match action {
                Action::Start {
                    worker, attempt, ..
                } => starts.push((worker, attempt)),
                Action::Ask(question) => {
                    let takes = question.takes.as_millis() as u64 + ROUND_TRIP_MS;
                    self.answers.push((self.now_ms + takes, question));
                }
                Action::Log(decision) => match *decision {
                    Decision::Waits { cause, .. } => self.waits.push(cause),
                    Decision::Located {
                        placement, tasks, ..
                    } => {
                        *self.placements.entry(format!("{placement:?}")).or_default() +=
                            tasks as f64;
                    }
                    Decision::Finished {
                        job,
                        state: State::Completed,
                        ..
                    } => {
                        if let Some(job) = self.jobs.get_mut(&job) {
                            job.ended_ms = Some(self.now_ms);
                        }
                    }
                    _ => {}
                },
                _ => {}
            }
        }
        // A group is slow if its tasks are in several racks, so all racks are noted first.
        for (worker, attempt) in &starts {
            if let Some(job) = self.jobs.get_mut(&attempt.task.step.job) {
                job.racks.insert(self.entries[*worker].rack.clone());
                job.started_ms.get_or_insert(self.now_ms);
            }
        }
        for (worker, attempt) in starts {
            self.begin(worker, attempt);
        }
    }

    fn begin(&mut self, worker: usize, attempt: Attempt) {
        for word in [self.now_ms, worker as u64, u64::from(attempt.task.index)] {
            self.digest = (self.digest ^ word).wrapping_mul(0x0100_0000_01b3);
        }
        let job = &self.jobs[&attempt.task.step.job];
        let rack = &self.entries[worker].rack;
        let remote = job.near.as_ref().is_some_and(|near| near != rack)
            || (job.grouped && job.racks.len() > 1);
        let spread = spread(attempt);
        let slowdown = if remote { SLOWDOWN } else { 1.0 };
        let time = (job.run_ms * spread * slowdown) as u64;
        self.scheduler
            .handle_start(worker, attempt, StartOutcome::Running, 0);
        self.tasks.push(Task {
            attempt,
            worker,
            begun_ms: self.now_ms,
            ends_ms: self.now_ms + time,
        });
    }

    pub fn run(&mut self, span: Duration) {
        let end_ms = self.now_ms + span.as_millis() as u64;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            self.end_tasks();
            self.answer();
            self.arrive();
            if self.now_ms.is_multiple_of(REPORT_MS) {
                self.report_all();
            }
            let mut actions = Vec::new();
            let now = Time::from_millis(self.now_ms);
            self.scheduler.advance(now, &mut actions);
            self.carry_out(actions);
            self.store();
        }
    }

    /// Lets the jobs end that are under way and returns what callers got.
    pub fn finish(mut self) -> Results {
        self.load = Load::NONE;
        self.run(Duration::from_secs(20));
        let age = |job: &Job| {
            let end_ms = job.ended_ms.unwrap_or(self.now_ms);
            Duration::from_millis(end_ms - job.submitted_ms)
        };
        let start = |job: &Job| {
            let start_ms = job.started_ms.unwrap_or(self.now_ms);
            Duration::from_millis(start_ms - job.submitted_ms)
        };
        let jobs = self.jobs.len();
        let mut details = self.placements.clone();
        for kind in ["near", "grouped", "plain"] {
            let here = || self.jobs.values().filter(move |job| job.kind == kind);
            let timely = here().filter(|job| age(job) <= job.limit).count();
            details.insert(kind.to_owned(), timely as f64 / here().count() as f64);
        }
        let on_time = self.jobs.values().filter(|job| age(job) <= job.limit);
        let near = self.jobs.values().filter(|job| job.near.is_some());
        Results {
            on_time: on_time.count() as f64 / jobs as f64,
            mean_age: self.jobs.values().map(age).sum::<Duration>() / jobs as u32,
            details,
            longest_start: near.map(start).max().unwrap_or_default(),
        }
    }

    /// Returns when a job's first task started, in milliseconds.
    pub fn started(&self, job: JobId) -> Option<u64> {
        self.jobs[&job].started_ms
    }

    /// Returns how many waits were logged with a cause.
    pub fn waits(&self, cause: Cause) -> usize {
        self.waits.iter().filter(|other| **other == cause).count()
    }

    /// Returns a number that depends on all starts so far.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}
