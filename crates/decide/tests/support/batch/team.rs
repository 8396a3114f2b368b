//! One account that sends urgent, medium and large jobs to a fleet of six times its limit.

#![allow(dead_code, unreachable_pub, missing_docs)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::advice::Question;
use azurepath_decide::batch::config::{Account, AdviceTiming, Config, Queue};
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::record::{Fit, Stored};
use azurepath_decide::batch::report::{End, Outcome, Report};
use azurepath_decide::batch::scheduler::{Scheduler, Setup};
use azurepath_decide::batch::spec::Spec;
use azurepath_decide::batch::{Action, Answer, Attempt, Decision, JobId, StartOutcome};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::bench::{GANG_WAIT, LONGEST_LEASE, account, approve, numbered, queue, single};

pub const TEAM: &str = "team";

/// Workers of eight cores, which have six times the account's limit.
const WORKERS: usize = 120;
pub const LIMIT_MILLICORES: u64 = 160_000;

const ROUND_MS: u64 = 10;

/// The time that an advice question takes beyond its own duration.
const ROUND_TRIP: Duration = Duration::from_millis(40);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Urgent,
    Large,
    Medium,
}

impl Kind {
    pub const ALL: [Kind; 3] = [Kind::Urgent, Kind::Large, Kind::Medium];

    fn name(self) -> Name {
        Name::from(format!("{self:?}"))
    }

    /// Tasks, cores of each, and mean run time in milliseconds.
    fn work(self) -> (u32, u64, u64) {
        match self {
            Kind::Urgent => (3, 1, 640),
            Kind::Large => (10, 2, 5_000),
            Kind::Medium => (8, 1, 2_200),
        }
    }

    /// The part of the limit that a load of 1 takes.
    fn part(self) -> f64 {
        match self {
            Kind::Urgent => 0.13,
            Kind::Large => 0.52,
            Kind::Medium => 0.35,
        }
    }

    fn stretch(self) -> (f64, u64) {
        match self {
            Kind::Urgent => (1.5, 500),
            Kind::Large => (2.2, 1_200),
            Kind::Medium => (4.0, 3_000),
        }
    }

    /// How long a job may wait without being late.
    pub fn slack(self) -> Duration {
        let (stretch, objective_ms) = self.stretch();
        let run = Duration::from_millis(self.work().2);
        run.mul_f64(stretch - 1.0) + Duration::from_millis(objective_ms)
    }

    fn spec(self) -> Spec {
        let (count, cores, run_ms) = self.work();
        let mut spec = single();
        spec.steps[0].count = count;
        spec.steps[0].gang = self == Kind::Large;
        spec.steps[0].size.millicores = cores * 1_000;
        spec.steps[0].size.memory_mib = 100;
        spec.steps[0].estimate = Duration::from_millis(run_ms);
        spec
    }

    /// The arrivals of a load of 1, by second.
    fn rate(self) -> f64 {
        let (count, cores, run_ms) = self.work();
        let work = f64::from(count) * cores as f64 * run_ms as f64 / 1_000.0;
        self.part() * LIMIT_MILLICORES as f64 / 1_000.0 / work
    }
}

/// What the jobs of one kind got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub accepted: u64,
    pub refused: u64,
    /// Accepted jobs of which all tasks have started in time.
    pub in_time: u64,
    pub questions: u64,
    /// The time of the service that the questions took.
    pub question_time: Duration,
}

struct Job {
    kind: Kind,
    waiting: u32,
}

pub struct Play {
    pub scheduler: Scheduler,
    millis: u64,
    rng: ChaCha8Rng,
    jobs: BTreeMap<JobId, Job>,
    ends: BTreeMap<(u64, Attempt), usize>,
    answers: Vec<(u64, Question)>,
    unreported: Vec<(u64, Vec<End>)>,
    tallies: BTreeMap<Kind, Tally>,
    running: u64,
    used: (f64, u64),
    last_id: u64,
}

pub fn queues() -> Vec<Queue> {
    let each = |kind: Kind| Queue {
        name: kind.name(),
        priority: kind as u32,
        attempts: 3,
        stretch: kind.stretch().0,
        objective: Duration::from_millis(kind.stretch().1),
        ..queue()
    };
    Kind::ALL.map(each).to_vec()
}

/// Returns the queues with advice, whose questions take as long as those of users.
pub fn advised_queues() -> Vec<Queue> {
    let mut queues = queues();
    let timings = [(7.2, 0.1), (430.0, 6.2), (80.0, 1.1)];
    for (queue, (base, per_worker)) in queues.iter_mut().zip(timings) {
        queue.advice = Some(AdviceTiming {
            base: Duration::from_secs_f64(base / 1_000.0),
            per_worker: Duration::from_secs_f64(per_worker / 1_000.0),
            validity: Duration::from_secs(2),
        });
    }
    queues
}

pub fn refusals(actions: &[Action]) -> usize {
    let answers = actions.iter().filter(|action| {
        let Action::Answer { answer, .. } = action else {
            return false;
        };
        matches!(answer, Answer::Refused(_))
    });
    answers.count()
}

impl Play {
    /// Returns a play whose account has this weight; 0 if it may send any number of jobs.
    pub fn new(weight: f64) -> Play {
        Play::with(queues(), weight)
    }

    pub fn with(queues: Vec<Queue>, weight: f64) -> Play {
        let team = Account {
            weight,
            ..account(TEAM, LIMIT_MILLICORES)
        };
        let config = Config {
            version: 1,
            queues,
            accounts: vec![team],
        };
        let setup = Setup {
            epoch: 1,
            origin_ms: 0,
            takeover_grace: Duration::ZERO,
            gang_wait: GANG_WAIT,
            longest_lease: LONGEST_LEASE,
            remote_slowdown: None,
        };
        let now = Time::from_millis(1_000);
        let mut play = Play {
            scheduler: Scheduler::new(setup, now, Arc::new(config), Stored::default()),
            millis: 1_000,
            rng: ChaCha8Rng::seed_from_u64(1),
            jobs: BTreeMap::new(),
            ends: BTreeMap::new(),
            answers: Vec::new(),
            unreported: vec![(1, Vec::new()); WORKERS],
            tallies: Kind::ALL.map(|kind| (kind, Tally::default())).into(),
            running: 0,
            used: (0.0, 0),
            last_id: 0,
        };
        let entries: Vec<Entry> = (0..WORKERS).map(numbered).collect();
        play.scheduler.update_registry(entries);
        play.advance();
        (0..WORKERS).for_each(|worker| play.report(worker));
        play.advance();
        play
    }

    pub fn configure(&mut self, config: Arc<Config>) {
        self.scheduler.configure(config);
        (0..12).for_each(|_| self.advance());
    }

    pub fn tally(&self, kind: Kind) -> &Tally {
        &self.tallies[&kind]
    }

    /// Returns the mean part of the limit that was in use.
    pub fn used(&self) -> f64 {
        self.used.0 / self.used.1.max(1) as f64
    }

    pub fn reset_used(&mut self) {
        self.used = (0.0, 0);
    }

    /// Sends this many times the work that the limit can run for a time.
    pub fn run(&mut self, load: f64, time: Duration) {
        self.run_kinds(&Kind::ALL, load, time);
    }

    /// Sends jobs of some kinds only.
    pub fn run_kinds(&mut self, kinds: &[Kind], load: f64, time: Duration) {
        for _ in 0..time.as_millis() as u64 / ROUND_MS {
            for &kind in kinds {
                let chance = kind.rate() * load * ROUND_MS as f64 / 1_000.0;
                if self.rng.random_bool(chance.min(1.0)) {
                    self.submit(kind);
                }
            }
            self.advance();
            self.used.0 += self.running as f64 / LIMIT_MILLICORES as f64;
            self.used.1 += 1;
        }
    }

    /// Sends jobs at once that take this many times the limit, and returns the pause of each one.
    pub fn burst(&mut self, kind: Kind, load: f64) -> Vec<Option<Duration>> {
        let (count, cores, _) = kind.work();
        let jobs = load * LIMIT_MILLICORES as f64 / (u64::from(count) * cores * 1_000) as f64;
        (0..jobs as u64).map(|_| self.submit(kind)).collect()
    }

    /// Submits a job and returns the pause if it is refused.
    pub fn submit(&mut self, kind: Kind) -> Option<Duration> {
        self.last_id += 1;
        let (number, id) = (self.last_id, JobId(self.last_id));
        let job = Job {
            kind,
            waiting: kind.work().0,
        };
        self.jobs.insert(id, job);
        let team = Some(Name::from(TEAM));
        self.scheduler
            .submit(number, id, &kind.name(), team, kind.spec());
        let actions = self.step();
        let pause = actions.iter().find_map(|action| match action {
            Action::Answer {
                call,
                answer: Answer::Refused(pause),
            } if *call == number => Some(*pause),
            _ => None,
        });
        let tally = self.tallies.get_mut(&kind).expect("all kinds are listed");
        tally.refused += u64::from(pause.is_some());
        tally.accepted += u64::from(pause.is_none());
        pause
    }

    fn advance(&mut self) {
        self.millis += ROUND_MS;
        let due = |until: &u64| *until <= self.millis;
        let (answers, open) = self.answers.drain(..).partition(|(until, _)| due(until));
        self.answers = open;
        let answers: Vec<(u64, Question)> = answers;
        for (_, question) in answers {
            approve(&mut self.scheduler, &question);
        }
        let mut reporting = Vec::new();
        while let Some(((until, attempt), worker)) = self.ends.pop_first() {
            if until > self.millis {
                self.ends.insert((until, attempt), worker);
                break;
            }
            self.running -= self.millicores(attempt);
            let (number, ends) = &mut self.unreported[worker];
            ends.push(End {
                number: *number,
                attempt,
                outcome: Outcome::Done,
                checkpoint: None,
            });
            *number += 1;
            reporting.push(worker);
        }
        reporting.into_iter().for_each(|worker| self.report(worker));
        self.step();
    }

    fn report(&mut self, worker: usize) {
        let report = Report {
            clock_ms: self.millis,
            born_ms: 1,
            running: Vec::new(),
            ended: std::mem::take(&mut self.unreported[worker].1),
        };
        self.scheduler.report(worker, &report);
    }

    fn millicores(&self, attempt: Attempt) -> u64 {
        self.jobs[&attempt.task.step.job].kind.work().1 * 1_000
    }

    fn step(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        let now = Time::from_millis(self.millis);
        while self.scheduler.next_batch(|_| Fit::Taken) {
            self.scheduler.batch_stored();
        }
        self.scheduler.advance(now, &mut actions);
        for action in &actions {
            match action {
                Action::Start {
                    worker, attempt, ..
                } => self.start(*worker, *attempt),
                Action::Ask(question) => {
                    let kind = self.jobs[&question.step.job].kind;
                    let tally = self.tallies.get_mut(&kind).expect("all kinds are listed");
                    tally.questions += 1;
                    tally.question_time += question.takes;
                    let until = self.millis + (question.takes + ROUND_TRIP).as_millis() as u64;
                    self.answers.push((until, question.clone()));
                }
                Action::Log(decision) => self.record(decision),
                _ => {}
            }
        }
        actions
    }

    /// Draws the log-normal run time of a task; a few run seven times as long. A gang runs as long as its
    /// longest member, so its members run alike.
    fn start(&mut self, worker: usize, attempt: Attempt) {
        let kind = self.jobs[&attempt.task.step.job].kind;
        let (u, v): (f64, f64) = (self.rng.random(), self.rng.random());
        let normal = (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        let spread = (0.5 * normal - 0.125).exp();
        let straggles = kind != Kind::Large && self.rng.random_bool(0.03);
        let spread = if kind == Kind::Large { 1.0 } else { spread };
        let factor = if straggles { 7.0 } else { spread };
        let run_ms = (kind.work().2 as f64 * factor) as u64;
        self.running += self.millicores(attempt);
        self.scheduler
            .handle_start(worker, attempt, StartOutcome::Running, 0);
        self.ends
            .insert((self.millis + run_ms.max(1), attempt), worker);
    }

    fn record(&mut self, decision: &Decision) {
        let Decision::Started {
            step, tasks, age, ..
        } = decision
        else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        job.waiting -= tasks.len() as u32;
        if job.waiting == 0 && *age <= job.kind.slack() {
            let tally = self.tallies.get_mut(&job.kind);
            tally.expect("all kinds are listed").in_time += 1;
        }
    }
}
