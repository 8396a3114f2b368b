//! A simulated load of three kinds of jobs on a fleet of workers, with the instances that query the
//! advice service.

#![allow(dead_code, unreachable_pub, missing_docs)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use azurepath_decide::batch::advice::{Advice, Dispatcher, Question};
use azurepath_decide::batch::config::{Account, AdviceTiming, Config, Queue};
use azurepath_decide::batch::fleet::{Entry, Status};
use azurepath_decide::batch::record::{Fit, Stored};
use azurepath_decide::batch::report::{End, Outcome as RunOutcome, Report};
use azurepath_decide::batch::scheduler::{Scheduler, Setup};
use azurepath_decide::batch::spec::{Purpose, Spec, Step};
use azurepath_decide::batch::{Action, Attempt, Decision, JobId, StartOutcome, State, StepId};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A kind of job.
pub struct Kind {
    /// The name of its queue.
    pub name: &'static str,
    /// Arrivals per second on 350 workers.
    arrivals_per_second: f64,
    /// The number of tasks of its only step.
    tasks: u32,
    /// The average run time of a task, in seconds.
    pub run_seconds: f64,
    cores: f64,
    memory_gib: f64,
    gang: bool,
    /// The fraction of the workers that may run it.
    eligible: f64,
    priority: u32,
    pub stretch: f64,
    pub objective_ms: u64,
    /// The duration of a question to the advice service: a base and an amount per worker, in
    /// milliseconds.
    advice_ms: (f64, f64),
}

/// The results of one kind of job.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub submitted: u64,
    pub refused: u64,
    /// The times from acceptance to completion.
    pub ages: Vec<Duration>,
    /// The number of jobs that were completed on time, given how long their own tasks run.
    pub in_time: u64,
    /// The number of jobs that were completed on time, given the longest run time.
    pub on_time: u64,
    /// The number of jobs that had to be completed before the end of the run to be on time.
    pub due: u64,
    /// The tasks that were started, and those among them on workers of less than speed 1.
    pub starts: u64,
    pub slow_starts: u64,
    pub questions: u64,
    /// The total duration of the questions.
    pub question_time: Duration,
}

/// The most rows in one write.
const MAX_BATCH: usize = 98;

pub const KINDS: [Kind; 3] = [
    Kind {
        name: "plans",
        arrivals_per_second: 4.0,
        tasks: 20,
        run_seconds: 5.0,
        cores: 9.0,
        memory_gib: 9.0,
        gang: true,
        eligible: 0.3,
        priority: 1,
        stretch: 2.2,
        objective_ms: 1_200,
        advice_ms: (520.0, 7.4),
    },
    Kind {
        name: "sheets",
        arrivals_per_second: 9.0,
        tasks: 35,
        run_seconds: 2.7,
        cores: 3.5,
        memory_gib: 3.6,
        gang: false,
        eligible: 0.45,
        priority: 2,
        stretch: 4.0,
        objective_ms: 3_000,
        advice_ms: (82.0, 1.2),
    },
    Kind {
        name: "checks",
        arrivals_per_second: 100.0,
        tasks: 3,
        run_seconds: 0.8,
        cores: 5.0,
        memory_gib: 3.0,
        gang: false,
        eligible: 0.7,
        priority: 0,
        stretch: 1.5,
        objective_ms: 500,
        advice_ms: (9.3, 0.13),
    },
];

/// The time that a question takes to an instance and its answer back.
const ROUND_TRIP: Duration = Duration::from_millis(40);

/// Returns how long a job may take to be on time, based on the longest run time of a task.
fn max_age(kind: &Kind) -> Duration {
    let chain = Duration::from_secs_f64(kind.run_seconds * MAX_RUN_FACTOR);
    chain.mul_f64(kind.stretch) + Duration::from_millis(kind.objective_ms)
}

/// The longest run time of a task, as a multiple of the average of its kind.
const MAX_RUN_FACTOR: f64 = 1.5;

#[derive(Debug)]
enum Event {
    Submit(usize),
    /// An instance has the answer to a question about a kind of job.
    Advised(usize, Question, usize),
    Started(usize, Attempt),
    Ended(usize, Attempt),
    Written,
    Tick,
}

pub struct World {
    scheduler: Scheduler,
    now: Time,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    last_id: u64,
    kinds: BTreeMap<JobId, usize>,
    ends: Vec<(u64, Vec<End>)>,
    names: Vec<Name>,
    pub outcomes: [Outcome; 3],
    /// The questions that wait for an instance.
    dispatcher: Dispatcher,
    instances: Vec<Name>,
    idle: Vec<usize>,
    end: Time,
    booked_sum: f64,
    samples: f64,
    /// The total time that the scheduler took.
    pub busy: Duration,
    pub calls: u64,
    pub starts: u64,
    /// The log lines about workers' speeds.
    pub speed_changes: Vec<String>,
    /// The speeds of the workers, repeating, if run times spread as widely as those of the users.
    speeds: Option<Vec<f64>>,
    /// The longest run time of each job's tasks on a worker of speed 1, as a multiple of the average.
    longest: BTreeMap<JobId, f64>,
}

fn config() -> Arc<Config> {
    let queue = |kind: &Kind| Queue {
        name: Name::from(kind.name),
        host: Name::from(""),
        prefix: Name::from(kind.name),
        pool: Name::from("pool"),
        priority: kind.priority,
        attempts: 3,
        stretch: kind.stretch,
        objective: Duration::from_millis(kind.objective_ms),
        advice: Some(AdviceTiming {
            base: Duration::from_secs_f64(kind.advice_ms.0 / 1_000.0),
            per_worker: Duration::from_secs_f64(kind.advice_ms.1 / 1_000.0),
            validity: Duration::from_millis(1_500),
        }),
        open: false,
    };
    let account = Account {
        name: Name::from("team"),
        keys: Vec::new(),
        weight: 0.0,
        limit: Size::MAX,
    };
    Arc::new(Config {
        version: 1,
        queues: KINDS.iter().map(queue).collect(),
        accounts: vec![account],
    })
}

impl World {
    /// Returns a simulation with the given numbers of workers and of instances.
    pub fn new(workers: usize, instances: usize) -> World {
        let setup = Setup {
            epoch: 1,
            origin_ms: 0,
            takeover_grace: Duration::ZERO,
            gang_wait: Duration::from_secs(3),
            longest_lease: Duration::from_secs(6),
            remote_slowdown: None,
        };
        let now = Time::from_millis(1_000);
        let capacity = Size {
            millicores: 32_000,
            memory_mib: 65_536,
            accelerators: 0,
            slots: u64::MAX,
        };
        let entry = |number: usize| Entry {
            id: Name::from(format!("i-{number:010x}")),
            pool: Name::from("pool"),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: Name::from("a"),
            rack: Name::from(format!("r{}", number / 8)),
            labels: Vec::new(),
            capacity,
            status: Status::Ready,
            born_ms: 1,
        };
        let entries: Vec<Entry> = (0..workers).map(entry).collect();
        let names = entries.iter().map(|entry| entry.id.clone()).collect();
        let mut scheduler = Scheduler::new(setup, now, config(), Stored::default());
        scheduler.set_advice_instances(instances);
        scheduler.update_registry(entries);
        let mut world = World {
            scheduler,
            now,
            rng: ChaCha8Rng::seed_from_u64(1),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_id: 0,
            kinds: BTreeMap::new(),
            ends: vec![(1, Vec::new()); workers],
            names,
            outcomes: Default::default(),
            dispatcher: Dispatcher::default(),
            idle: (0..instances).collect(),
            instances: (0..instances)
                .map(|number| Name::from(format!("instance-{number}")))
                .collect(),
            end: Time::MAX,
            booked_sum: 0.0,
            samples: 0.0,
            busy: Duration::ZERO,
            calls: 0,
            starts: 0,
            speed_changes: Vec::new(),
            speeds: None,
            longest: BTreeMap::new(),
        };
        world.step();
        world.schedule(Duration::ZERO, Event::Tick);
        for worker in 0..workers {
            let report = world.report(worker);
            world.scheduler.report(worker, &report);
        }
        world
    }

    /// Returns a simulation with workers of these speeds, repeating. Run times are log-normal, and 3 in
    /// 100 tasks take 7 times as long.
    pub fn uneven(workers: usize, instances: usize, speeds: &[f64]) -> World {
        World {
            speeds: Some(speeds.to_vec()),
            ..World::new(workers, instances)
        }
    }

    /// Returns how long tasks that start together run, as multiples of the average of their kind.
    fn run_factors(&mut self, starts: &[(usize, Attempt)]) -> Vec<f64> {
        let Some(speeds) = self.speeds.clone() else {
            let rng = &mut self.rng;
            return starts.iter().map(|_| rng.random_range(0.5..1.5)).collect();
        };
        let mut slowest: BTreeMap<StepId, f64> = BTreeMap::new();
        let mut factors = Vec::new();
        for (worker, attempt) in starts {
            let step = attempt.task.step;
            let (a, b): (f64, f64) = (self.rng.random(), self.rng.random());
            let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
            let straggles = self.rng.random_bool(0.03);
            let spread = (normal * 0.5 - 0.125).exp() * if straggles { 7.0 } else { 1.0 };
            let kind = self.kinds[&step.job];
            let longest = self.longest.entry(step.job).or_insert(spread);
            if !KINDS[kind].gang {
                *longest = longest.max(spread);
            }
            let outcome = &mut self.outcomes[kind];
            outcome.starts += 1;
            outcome.slow_starts += u64::from(speeds[worker % speeds.len()] < 1.0);
            let speed = speeds[worker % speeds.len()];
            let slow = slowest.entry(step).or_insert(speed);
            *slow = slow.min(speed);
            factors.push(spread / speed);
        }
        // The members of a gang run as long as each other, at the speed of the slowest worker.
        for ((_, attempt), factor) in starts.iter().zip(&mut factors) {
            let step = attempt.task.step;
            if KINDS[self.kinds[&step.job]].gang {
                *factor = self.longest[&step.job] / slowest[&step];
            }
        }
        factors
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.last_id += 1;
        self.events.insert(self.last_id, event);
        self.queue
            .push(Reverse((self.now.after(after), self.last_id)));
    }

    fn report(&mut self, worker: usize) -> Report {
        Report {
            clock_ms: self.now.0 / 1_000,
            born_ms: 1,
            running: Vec::new(),
            ended: std::mem::take(&mut self.ends[worker].1),
        }
    }

    fn arrive(&mut self, kind: usize, load: f64) {
        let pause: f64 = self.rng.random();
        let mean = 1.0 / (KINDS[kind].arrivals_per_second * self.names.len() as f64 / 350.0 * load);
        // Exponentially distributed pauses make a Poisson process.
        let pause = -mean * (1.0 - pause).ln();
        self.schedule(Duration::from_secs_f64(pause), Event::Submit(kind));
    }

    fn submit(&mut self, kind: usize) {
        let id = JobId(self.rng.random());
        let properties = &KINDS[kind];
        let spread: f64 = self.rng.random_range(0.5..1.5);
        let step = Step {
            count: properties.tasks,
            size: Size {
                millicores: (properties.cores * spread * 1_000.0) as u64,
                memory_mib: (properties.memory_gib * spread * 1_024.0) as u64,
                accelerators: 0,
                slots: 0,
            },
            estimate: Duration::from_secs_f64(properties.run_seconds),
            after: Vec::new(),
            gang: properties.gang,
            same_rack: false,
            label: None,
            near: None,
            most_on_worker: None,
            purpose: Purpose::Work,
        };
        let spec = Spec {
            payload: Name::from("work"),
            steps: vec![step],
            schedule: None,
        };
        self.kinds.insert(id, kind);
        self.outcomes[kind].submitted += 1;
        if self.now.after(max_age(properties)) <= self.end {
            self.outcomes[kind].due += 1;
        }
        let account = Some(Name::from("team"));
        self.scheduler.submit(
            self.last_id,
            id,
            &Name::from(properties.name),
            account,
            spec,
        );
    }

    fn handle(&mut self, event: Event, load: f64) {
        match event {
            Event::Submit(kind) if load > 0.0 => {
                self.submit(kind);
                self.arrive(kind, load);
            }
            Event::Submit(_) => {}
            Event::Advised(instance, question, kind) => {
                self.advise(&question, kind);
                self.idle.push(instance);
            }
            Event::Started(worker, attempt) => {
                self.scheduler
                    .handle_start(worker, attempt, StartOutcome::Running, 0);
            }
            Event::Ended(worker, attempt) => {
                let (number, ends) = &mut self.ends[worker];
                ends.push(End {
                    number: *number,
                    attempt,
                    outcome: RunOutcome::Done,
                    checkpoint: None,
                });
                *number += 1;
                let report = self.report(worker);
                self.scheduler.report(worker, &report);
            }
            Event::Written => self.scheduler.batch_stored(),
            Event::Tick => {
                let dump = self.scheduler.dump();
                let free = dump.free_millicores as f64 / dump.open_millicores.max(1) as f64;
                self.booked_sum += 1.0 - free;
                self.samples += 1.0;
                self.schedule(Duration::from_millis(20), Event::Tick);
            }
        }
    }

    fn advise(&mut self, question: &Question, kind: usize) {
        let mut tickets = Vec::new();
        for worker in &question.workers {
            // The hash decides, so a worker's eligibility for a step never changes.
            let mut hash = question.step.job.0 ^ 0x9e37;
            for byte in worker.bytes() {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
            if ((hash >> 20) % 1_000) as f64 / 1_000.0 < KINDS[kind].eligible {
                tickets.push((worker.clone(), Name::from("t")));
            }
        }
        self.scheduler
            .handle_advice(question.step, Some(&Advice { tickets }));
    }

    fn step(&mut self) {
        let mut actions = Vec::new();
        self.scheduler.advance(self.now, &mut actions);
        let mut rows = 0;
        let changed = self.scheduler.next_batch(|_| {
            rows += 1;
            if rows > MAX_BATCH {
                Fit::Full
            } else {
                Fit::Taken
            }
        });
        if changed {
            self.schedule(Duration::from_millis(8), Event::Written);
        }
        let start = |action: &Action| match action {
            Action::Start {
                worker, attempt, ..
            } => Some((*worker, *attempt)),
            _ => None,
        };
        let starts: Vec<(usize, Attempt)> = actions.iter().filter_map(start).collect();
        let factors = self.run_factors(&starts);
        for (&(worker, attempt), factor) in starts.iter().zip(factors) {
            self.starts += 1;
            let kind = self.kinds[&attempt.task.step.job];
            let run_time = Duration::from_secs_f64(KINDS[kind].run_seconds * factor);
            self.schedule(Duration::from_millis(3), Event::Started(worker, attempt));
            self.schedule(run_time, Event::Ended(worker, attempt));
        }
        for action in actions {
            match action {
                Action::Ask(question) => {
                    let StepId { job, .. } = question.step;
                    let kind = self.kinds[&job];
                    self.outcomes[kind].questions += 1;
                    self.outcomes[kind].question_time += question.takes;
                    self.dispatcher.add(question);
                }
                Action::Log(decision) => self.record(&decision),
                _ => {}
            }
        }
    }

    /// Hands questions to idle instances.
    fn dispatch_questions(&mut self) {
        for instance in std::mem::take(&mut self.idle) {
            let name = self.instances[instance].clone();
            self.dispatcher.mark_idle(&name, self.now);
            let Some(question) = self.dispatcher.take(&name, self.now) else {
                self.idle.push(instance);
                continue;
            };
            let kind = self.kinds[&question.step.job];
            let duration = question.takes + ROUND_TRIP;
            self.schedule(duration, Event::Advised(instance, question, kind));
        }
    }

    fn record(&mut self, decision: &Decision) {
        match decision {
            Decision::Finished {
                job,
                state: State::Completed,
                age,
            } => {
                let kind = self.kinds[job];
                let outcome = &mut self.outcomes[kind];
                outcome.ages.push(*age);
                let limit = max_age(&KINDS[kind]);
                let is_due = self.now.after(limit).since(Time::default())
                    <= self.end.since(Time::default()) + *age;
                outcome.on_time += u64::from(is_due && *age <= limit);
                let longest = self.longest.get(job).copied().unwrap_or(1.0);
                let chain = KINDS[kind].run_seconds * longest * KINDS[kind].stretch;
                let limit = chain + KINDS[kind].objective_ms as f64 / 1_000.0;
                outcome.in_time += u64::from(age.as_secs_f64() <= limit);
            }
            Decision::Refused { job, .. } => self.outcomes[self.kinds[job]].refused += 1,
            decision if format!("{decision:?}").starts_with("SpeedChanged") => {
                self.speed_changes.push(format!("{decision:?}"));
            }
            _ => {}
        }
    }

    /// Simulates `span` with `load` times the usual arrivals. A load of 1 uses about two thirds of
    /// the workers' capacity. The next run continues with the jobs that are unfinished at the end.
    pub fn run(&mut self, load: f64, span: Duration) {
        if load > 0.0 {
            for kind in 0..KINDS.len() {
                self.arrive(kind, load);
            }
        }
        let end = self.now.after(span);
        self.end = end;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                self.queue.push(Reverse((at, number)));
                return;
            }
            self.now = at;
            let Some(event) = self.events.remove(&number) else {
                continue;
            };
            let started_at = Instant::now();
            self.handle(event, load);
            self.step();
            self.busy += started_at.elapsed();
            self.calls += 1;
            self.dispatch_questions();
        }
    }

    /// Returns the steps that wait although less than half of the processor capacity is booked.
    pub fn waiting(&self) -> Vec<String> {
        let dump = self.scheduler.dump();
        let free = dump.free_millicores * 2 > dump.open_millicores;
        let pending = dump.pending.into_iter().filter(|_| free);
        pending.map(|step| format!("{step:?}")).collect()
    }

    /// Returns the average fraction of the processor capacity that was booked.
    pub fn booked(&self) -> f64 {
        self.booked_sum / self.samples.max(1.0)
    }
}
