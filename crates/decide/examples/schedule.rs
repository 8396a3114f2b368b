//! Plays a load on the scheduler of jobs and prints what it costs and what callers get.
//!
//!     cargo run --release -p azurepath-decide --example schedule -- WORKERS LOAD SECONDS
//!
//! `LOAD` multiplies the usual arrivals, 1 is four fifths of what the workers hold.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use azurepath_decide::batch::advice::{Advice, Question};
use azurepath_decide::batch::config::{Account, Advised, Config, Queue};
use azurepath_decide::batch::fleet::{Entry, Standing};
use azurepath_decide::batch::record::Stored;
use azurepath_decide::batch::report::{End, How, Report};
use azurepath_decide::batch::scheduler::{Scheduler, Setup};
use azurepath_decide::batch::spec::{Spec, Step};
use azurepath_decide::batch::{Action, Attempt, JobId, Note, Started, State, StepId};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A kind of job: arrivals a second for 350 workers, tasks, seconds, cores, GB, gang, eligible part.
struct Kind {
    name: &'static str,
    per_s: f64,
    tasks: u32,
    seconds: f64,
    cores: f64,
    gigabytes: f64,
    gang: bool,
    eligible: f64,
    priority: u32,
    stretch: f64,
    objective_ms: u64,
    advice_ms: (f64, f64),
}

const KINDS: [Kind; 3] = [
    Kind {
        name: "plans",
        per_s: 4.0,
        tasks: 20,
        seconds: 5.0,
        cores: 9.0,
        gigabytes: 9.0,
        gang: true,
        eligible: 0.3,
        priority: 1,
        stretch: 2.2,
        objective_ms: 1_200,
        advice_ms: (520.0, 7.4),
    },
    Kind {
        name: "sheets",
        per_s: 9.0,
        tasks: 35,
        seconds: 2.7,
        cores: 3.5,
        gigabytes: 3.6,
        gang: false,
        eligible: 0.45,
        priority: 2,
        stretch: 4.0,
        objective_ms: 3_000,
        advice_ms: (82.0, 1.2),
    },
    Kind {
        name: "checks",
        per_s: 100.0,
        tasks: 3,
        seconds: 0.8,
        cores: 5.0,
        gigabytes: 3.0,
        gang: false,
        eligible: 0.7,
        priority: 0,
        stretch: 1.5,
        objective_ms: 500,
        advice_ms: (9.3, 0.13),
    },
];

#[derive(Debug)]
enum Event {
    Submit(usize),
    Advised(Question, usize),
    Started(usize, Attempt),
    Ended(usize, Attempt),
    Written,
    Tick,
}

struct World {
    scheduler: Scheduler,
    now: Time,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    details: BTreeMap<u64, Event>,
    next: u64,
    kinds: BTreeMap<JobId, usize>,
    ends: Vec<(u64, Vec<End>)>,
    names: Vec<Name>,
    ages: [Vec<Duration>; 3],
    submitted: [u64; 3],
    refused: [u64; 3],
    questions: [u64; 3],
    asked: [Duration; 3],
    used: f64,
    looks: f64,
    busy: Duration,
    calls: u64,
    starts: u64,
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
        advice: Some(Advised {
            base: Duration::from_secs_f64(kind.advice_ms.0 / 1_000.0),
            each: Duration::from_secs_f64(kind.advice_ms.1 / 1_000.0),
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
    fn new(workers: usize) -> World {
        let setup = Setup {
            epoch: 1,
            origin_ms: 0,
            write_off: Duration::ZERO,
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
            standing: Standing::Ready,
            born_ms: 1,
        };
        let entries: Vec<Entry> = (0..workers).map(entry).collect();
        let names = entries.iter().map(|entry| entry.id.clone()).collect();
        let mut scheduler = Scheduler::new(setup, now, config(), Stored::default());
        scheduler.set_askers(workers / 11 + 1);
        scheduler.list(entries);
        let mut world = World {
            scheduler,
            now,
            rng: ChaCha8Rng::seed_from_u64(1),
            events: BinaryHeap::new(),
            details: BTreeMap::new(),
            next: 0,
            kinds: BTreeMap::new(),
            ends: vec![(1, Vec::new()); workers],
            names,
            ages: [Vec::new(), Vec::new(), Vec::new()],
            submitted: [0; 3],
            refused: [0; 3],
            questions: [0; 3],
            asked: [Duration::ZERO; 3],
            used: 0.0,
            looks: 0.0,
            busy: Duration::ZERO,
            calls: 0,
            starts: 0,
        };
        world.step();
        world.at(Duration::ZERO, Event::Tick);
        for worker in 0..workers {
            let report = world.report(worker);
            world.scheduler.report(worker, &report);
        }
        world
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.next += 1;
        self.details.insert(self.next, event);
        self.events
            .push(Reverse((self.now.after(after), self.next)));
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
        let mean = 1.0 / (KINDS[kind].per_s * self.names.len() as f64 / 350.0 * load);
        // Exponential gaps make a Poisson stream.
        let pause = -mean * (1.0 - pause).ln();
        self.at(Duration::from_secs_f64(pause), Event::Submit(kind));
    }

    fn submit(&mut self, kind: usize) {
        let id = JobId(self.rng.random());
        let of = &KINDS[kind];
        let spread: f64 = self.rng.random_range(0.5..1.5);
        let step = Step {
            count: of.tasks,
            size: Size {
                millicores: (of.cores * spread * 1_000.0) as u64,
                memory_mib: (of.gigabytes * spread * 1_024.0) as u64,
                accelerators: 0,
                slots: 0,
            },
            estimate: Duration::from_secs_f64(of.seconds),
            after: Vec::new(),
            gang: of.gang,
            same_rack: false,
            label: None,
            near: None,
            most_on_worker: None,
        };
        let spec = Spec {
            payload: Name::from("work"),
            steps: vec![step],
        };
        self.kinds.insert(id, kind);
        self.submitted[kind] += 1;
        let account = Some(Name::from("team"));
        self.scheduler
            .submit(self.next, id, &Name::from(of.name), account, spec);
    }

    fn handle(&mut self, event: Event, load: f64) {
        match event {
            Event::Submit(kind) => {
                self.submit(kind);
                self.arrive(kind, load);
            }
            Event::Advised(question, kind) => self.advise(&question, kind),
            Event::Started(worker, attempt) => {
                self.scheduler.started(worker, attempt, Started::Running, 0);
            }
            Event::Ended(worker, attempt) => {
                let (number, ends) = &mut self.ends[worker];
                ends.push(End {
                    number: *number,
                    attempt,
                    how: How::Done,
                    checkpoint: None,
                });
                *number += 1;
                let report = self.report(worker);
                self.scheduler.report(worker, &report);
            }
            Event::Written => self.scheduler.written(),
            Event::Tick => {
                let dump = self.scheduler.dump();
                let free = dump.free_millicores as f64 / dump.open_millicores.max(1) as f64;
                self.used += 1.0 - free;
                self.looks += 1.0;
                self.at(Duration::from_millis(20), Event::Tick);
            }
        }
    }

    fn advise(&mut self, question: &Question, kind: usize) {
        let mut tickets = Vec::new();
        for worker in &question.workers {
            // Whether a worker may run a step never changes.
            let mut hash = question.step.job.0 ^ 0x9e37;
            for byte in worker.bytes() {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
            if ((hash >> 20) % 1_000) as f64 / 1_000.0 < KINDS[kind].eligible {
                tickets.push((worker.clone(), Name::from("t")));
            }
        }
        self.scheduler
            .advised(question.step, Some(&Advice { tickets }));
    }

    fn step(&mut self) {
        let mut actions = Vec::new();
        self.scheduler.advance(self.now, &mut actions);
        if self.scheduler.write(97).is_some() {
            self.at(Duration::from_millis(8), Event::Written);
        }
        for action in actions {
            match action {
                Action::Start {
                    worker, attempt, ..
                } => {
                    self.starts += 1;
                    let kind = self.kinds[&attempt.task.step.job];
                    let spread: f64 = self.rng.random_range(0.5..1.5);
                    let runs = Duration::from_secs_f64(KINDS[kind].seconds * spread);
                    self.at(Duration::from_millis(3), Event::Started(worker, attempt));
                    self.at(runs, Event::Ended(worker, attempt));
                }
                Action::Ask(question) => {
                    let StepId { job, .. } = question.step;
                    let kind = self.kinds[&job];
                    self.questions[kind] += 1;
                    self.asked[kind] += question.takes;
                    self.at(question.takes, Event::Advised(question, kind));
                }
                Action::Note(note) => self.note(&note),
                _ => {}
            }
        }
    }

    fn note(&mut self, note: &Note) {
        match note {
            Note::Finished {
                job,
                state: State::Completed,
                age,
            } => self.ages[self.kinds[job]].push(*age),
            Note::Refused { job, .. } => self.refused[self.kinds[job]] += 1,
            _ => {}
        }
    }

    fn play(&mut self, load: f64, span: Duration) {
        for kind in 0..KINDS.len() {
            self.arrive(kind, load);
        }
        let end = self.now.after(span);
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            let Some(event) = self.details.remove(&number) else {
                continue;
            };
            let begun = Instant::now();
            self.handle(event, load);
            self.step();
            self.busy += begun.elapsed();
            self.calls += 1;
        }
    }
}

fn main() -> anyhow::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [workers, load, seconds] = arguments.as_slice() else {
        anyhow::bail!("give WORKERS LOAD SECONDS, such as 350 1.0 30");
    };
    let (workers, load, seconds) = (workers.parse()?, load.parse()?, seconds.parse()?);
    let mut world = World::new(workers);
    world.play(load, Duration::from_secs(seconds));
    println!(
        "workers {workers}, load {load}, {seconds} s: {} starts",
        world.starts
    );
    let share = world.busy.as_secs_f64() / seconds as f64;
    let each = world.busy.as_micros() as f64 / world.calls as f64;
    println!("scheduler: {share:.3} of a core, {each:.1} us an event");
    println!("processors booked: {:.3}", world.used / world.looks);
    for (kind, ages) in KINDS.iter().zip(&mut world.ages) {
        ages.sort();
        let at = |part: f64| ages.get((ages.len() as f64 * part) as usize).copied();
        let chain = Duration::from_secs_f64(kind.seconds * 1.5);
        let allowed = chain.mul_f64(kind.stretch) + Duration::from_millis(kind.objective_ms);
        let timely = ages.iter().filter(|age| **age <= allowed).count();
        let number = KINDS.iter().position(|other| other.name == kind.name);
        let number = number.unwrap_or_default();
        println!(
            "{}: {} submitted, {} refused, {} done, {timely} on time, p50 {:?}, p95 {:?}, \
             {} questions that took {:?}",
            kind.name,
            world.submitted[number],
            world.refused[number],
            ages.len(),
            at(0.5).unwrap_or_default(),
            at(0.95).unwrap_or_default(),
            world.questions[number],
            world.asked[number],
        );
    }
    Ok(())
}
