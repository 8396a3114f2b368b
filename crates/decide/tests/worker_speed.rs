//! The speed of workers, learnt from the run times of their tasks.

#[path = "support/batch/bench.rs"]
mod bench;

use std::time::Duration;

use azurepath_decide::batch::Attempt;
use azurepath_decide::batch::config::Queue;
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::report::{End, Outcome, Report, Running};
use azurepath_decide::batch::speed::{self, Class, RunTimes, Speed};
use azurepath_decide::time::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use bench::{Bench, entry, queue, single, starts};

/// How long a task of a queue runs on a worker of speed 1, in seconds, if it is an ordinary one.
const RUN_SECONDS: f64 = 2.0;

/// The time between the ends of two tasks on a worker.
const INTERVAL: Duration = Duration::from_millis(700);

/// Workers of one queue, whose run times are log-normal; 3 in 100 tasks take 7 times as long.
struct Fleet {
    rng: ChaCha8Rng,
    now: Time,
    run_times: RunTimes,
    workers: Vec<Speed>,
    /// How often a worker's class has changed.
    changes: usize,
}

impl Fleet {
    fn new(workers: usize, seed: u64) -> Fleet {
        Fleet {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::from_millis(1_000),
            run_times: RunTimes::default(),
            workers: vec![Speed::default(); workers],
            changes: 0,
        }
    }

    /// Ends so many tasks on each worker, whose speed `speed` returns.
    fn run(&mut self, tasks: usize, speed: impl Fn(usize) -> f64) {
        for _ in 0..tasks {
            self.now = self.now.after(INTERVAL);
            let different = self.workers.len() - self.count(Class::Average);
            let is_uneven = speed::is_uneven(different, self.workers.len());
            for (number, worker) in self.workers.iter_mut().enumerate() {
                let (a, b): (f64, f64) = (self.rng.random(), self.rng.random());
                let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
                let straggles = self.rng.random_bool(0.03);
                let spread = (normal * 0.5).exp() * if straggles { 7.0 } else { 1.0 };
                let ran = Duration::from_secs_f64(RUN_SECONDS * spread / speed(number));
                let deviation = self.run_times.compare(ran);
                self.run_times.record(ran, worker);
                if let Some(deviation) = deviation {
                    worker.record(deviation, self.now);
                }
                self.changes += usize::from(worker.update(self.now, is_uneven).is_some());
            }
        }
    }

    fn count(&self, class: Class) -> usize {
        let speeds = self.workers.iter();
        speeds.filter(|speed| speed.class() == class).count()
    }
}

/// Every fourth worker has 0.55 of the speed that the operator expects, the others 1.2.
fn uneven(worker: usize) -> f64 {
    [0.55, 1.2, 1.2, 1.2][worker % 4]
}

#[test]
fn slow_quarter_unnoticed() {
    let mut fleet = Fleet::new(350, 1);
    fleet.run(30, uneven);
    let is_slow = |number: &usize| fleet.workers[*number].class() == Class::Slow;
    let found = (0..350).step_by(4).filter(is_slow).count();
    assert!(found >= 80, "{found} of 88 slow workers found");
    assert_eq!(
        fleet.count(Class::Slow),
        found,
        "fast ones are taken for slow"
    );
    let factor = fleet
        .workers
        .iter()
        .step_by(4)
        .map(Speed::factor)
        .sum::<f64>()
        / 88.0;
    assert!((0.5..0.8).contains(&factor), "estimated at {factor:.2}");
}

/// With like workers every difference is one of the tasks.
#[test]
fn spread_taken_for_speed() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(350, seed);
        fleet.run(150, |_| 1.0);
        assert_eq!(fleet.changes, 0, "seed {seed}");
    }
}

#[test]
fn stragglers_taken_for_slowness() {
    let mut fleet = Fleet::new(20, 1);
    fleet.run(40, |_| 1.0);
    for _ in 0..3 {
        let ran = Duration::from_secs_f64(RUN_SECONDS * 20.0);
        let deviation = fleet.run_times.compare(ran).expect("the queue is known");
        fleet.workers[0].record(deviation, fleet.now);
    }
    assert_eq!(fleet.workers[0].update(fleet.now, false), None);
}

/// A worker that was slow for some seconds stays average. After a longer time it counts as slow, and as
/// average again once it has recovered, or if nothing runs there any more.
#[test]
fn slow_for_ever() {
    let mut fleet = Fleet::new(40, 1);
    fleet.run(40, |_| 1.0);
    fleet.run(4, |worker| if worker == 0 { 0.3 } else { 1.0 });
    assert_eq!(fleet.workers[0].class(), Class::Average);
    fleet.run(60, |worker| if worker == 0 { 0.3 } else { 1.0 });
    assert_eq!(fleet.workers[0].class(), Class::Slow);
    let mut idle = fleet.workers[0];
    assert_eq!(
        idle.update(fleet.now.after(Duration::from_secs(180)), false),
        Some(Class::Average)
    );
    fleet.run(120, |_| 1.0);
    assert_eq!(fleet.workers[0].class(), Class::Average);
}

#[test]
fn unbounded_factor() {
    let mut speed = Speed::default();
    for second in 0..200 {
        speed.record(-10.0, Time::from_millis(second * 1_000));
    }
    speed.update(Time::from_millis(200_000), false);
    assert!((0.24..0.26).contains(&speed.factor()), "{}", speed.factor());
}

/// A job with many tasks on the only worker, which runs eight at a time.
struct Line {
    bench: Bench,
    running: Vec<Attempt>,
    ends: u64,
}

impl Line {
    fn new() -> Line {
        let mut bench = Bench::with_queue(Queue {
            attempts: 1_000,
            ..queue()
        });
        let mut spec = single();
        spec.steps[0].count = 500;
        bench.submit(spec);
        Line {
            bench,
            running: Vec::new(),
            ends: 0,
        }
    }

    /// Starts tasks and ends them after rounds of 10 ms, so many times.
    fn run(&mut self, times: usize, rounds: usize, outcome: Outcome) {
        for _ in 0..times {
            self.wait(rounds);
            let attempts = std::mem::take(&mut self.running);
            let ended = attempts.into_iter().map(|attempt| {
                self.ends += 1;
                End {
                    number: self.ends,
                    attempt,
                    outcome,
                    checkpoint: None,
                }
            });
            let ended = ended.collect();
            self.bench.report(ended);
            self.bench.store();
        }
    }

    fn wait(&mut self, rounds: usize) {
        for _ in 0..rounds {
            let started = starts(&self.bench.advance());
            self.running
                .extend(started.into_iter().map(|(_, attempt)| attempt));
        }
    }

    /// Reports that the running tasks have done this part of their work.
    fn progress(&mut self, progress: f64) {
        let running = self.running.iter().map(|attempt| Running {
            attempt: *attempt,
            checkpoint: None,
            progress,
        });
        let report = Report {
            clock_ms: self.bench.clock_ms(),
            born_ms: 1,
            running: running.collect(),
            ended: Vec::new(),
        };
        self.bench.scheduler.report(0, &report);
    }

    /// Returns the estimate in percent of the average, and how many runs it counts for.
    fn speed(&self) -> (u32, u32) {
        let speed = self.bench.scheduler.worker(0).speed;
        (speed.percent(), speed.runs())
    }
}

/// A bad worker that fails each task at once would get all urgent work if that looked fast.
#[test]
fn failures_taken_for_speed() {
    let mut line = Line::new();
    line.run(15, 100, Outcome::Done);
    let (percent, runs) = line.speed();
    assert!(
        (95..=105).contains(&percent) && runs > 5,
        "{percent}% of {runs} runs"
    );
    line.wait(5);
    line.progress(0.9);
    line.run(10, 5, Outcome::Failed);
    let (percent, later) = line.speed();
    assert!(
        (95..=105).contains(&percent) && later <= runs,
        "{percent}% of {later} runs"
    );
}

/// A slow run is noticed by its progress, and counts once.
#[test]
fn progress_ignored() {
    let mut line = Line::new();
    line.run(15, 100, Outcome::Done);
    let (_, runs) = line.speed();
    line.wait(200);
    line.progress(0.5);
    let (percent, later) = line.speed();
    assert!(percent < 85 && later > runs, "{percent}% of {later} runs");
    line.progress(0.6);
    line.run(1, 100, Outcome::Done);
    assert!(line.speed().1 <= later, "counted twice");
}

#[test]
fn speed_outlives_worker() {
    let mut line = Line::new();
    line.run(30, 100, Outcome::Done);
    assert!(line.speed().1 > 20);
    let scheduler = &mut line.bench.scheduler;
    scheduler.update_registry(vec![Entry {
        born_ms: 2,
        ..entry()
    }]);
    assert_eq!(scheduler.worker(1).entry.born_ms, 2);
    assert_eq!(scheduler.worker(1).speed.runs(), 0);
}
