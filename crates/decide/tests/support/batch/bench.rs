//! A batch scheduler with one worker that a test drives call by call.

#![allow(dead_code, unreachable_pub, missing_docs)]

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::advice::{Advice, Question};
use azurepath_decide::batch::config::{Account, AdviceTiming, Config, Queue};
use azurepath_decide::batch::fleet::{Entry, Status};
use azurepath_decide::batch::record::{Change, Fit, Stored};
use azurepath_decide::batch::report::{End, Report};
use azurepath_decide::batch::scheduler::{Scheduler, Setup};
use azurepath_decide::batch::spec::{Purpose, Spec, Step};
use azurepath_decide::batch::{Action, Attempt, JobId, StartOutcome};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;

/// How long a member of a gang waits for the others.
pub const GANG_WAIT: Duration = Duration::from_secs(3);

/// How long tasks run at most on a worker whose lease nobody renews.
pub const LONGEST_LEASE: Duration = Duration::from_secs(6);

/// The id of the only job.
pub const JOB: JobId = JobId(7);

/// A scheduler with one worker, and the simulated time.
pub struct Bench {
    pub scheduler: Scheduler,
    /// Whether no write is stored that would show that there is no successor.
    pub is_cut_off: bool,
    millis: u64,
}

/// Returns the worker's entry in the registry.
pub fn entry() -> Entry {
    Entry {
        id: Name::from("w"),
        pool: Name::from("pool"),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: Name::from("a"),
        rack: Name::from("r"),
        labels: Vec::new(),
        capacity: Size {
            millicores: 8_000,
            memory_mib: 8_000,
            accelerators: 0,
            slots: u64::MAX,
        },
        status: Status::Ready,
        born_ms: 1,
    }
}

/// Returns the only queue.
pub fn queue() -> Queue {
    Queue {
        name: Name::from("checks"),
        host: Name::from(""),
        prefix: Name::from("/checks/"),
        pool: Name::from("pool"),
        priority: 0,
        attempts: 1,
        stretch: 2.0,
        objective: Duration::from_secs(1),
        advice: None,
        open: true,
    }
}

/// Returns a queue whose jobs need advice, with tickets that last for the whole of a test.
pub fn advised(queue: Queue) -> Queue {
    Queue {
        advice: Some(AdviceTiming {
            base: Duration::from_millis(10),
            per_worker: Duration::from_millis(1),
            validity: Duration::from_secs(60),
        }),
        ..queue
    }
}

/// Answers a question to the advice service: every worker is eligible.
pub fn approve(scheduler: &mut Scheduler, question: &Question) {
    let ticket = |worker: &Name| (worker.clone(), Name::from("ticket"));
    let tickets = question.workers.iter().map(ticket).collect();
    scheduler.handle_advice(question.step, Some(&Advice { tickets }));
}

/// Returns the attempts that were ordered to start, with their workers.
pub fn starts(actions: &[Action]) -> Vec<(usize, Attempt)> {
    let start = |action: &Action| match action {
        Action::Start {
            worker, attempt, ..
        } => Some((*worker, *attempt)),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

/// Returns an account that may have so many thousandths of a core running.
pub fn account(name: &str, millicores: u64) -> Account {
    Account {
        name: Name::from(name),
        keys: Vec::new(),
        weight: 0.0,
        limit: Size {
            millicores,
            ..Size::MAX
        },
    }
}

/// Returns a job with one task that needs one core.
pub fn single() -> Spec {
    let step = Step {
        count: 1,
        size: Size {
            millicores: 1_000,
            memory_mib: 1_000,
            accelerators: 0,
            slots: 0,
        },
        estimate: Duration::from_secs(1),
        after: Vec::new(),
        gang: false,
        same_rack: false,
        label: None,
        near: None,
        most_on_worker: None,
        purpose: Purpose::Work,
    };
    Spec {
        payload: Name::from("work"),
        steps: vec![step],
        schedule: None,
    }
}

/// Returns a job with one gang.
pub fn gang(count: u32, millicores: u64) -> Spec {
    let mut spec = single();
    spec.steps[0].count = count;
    spec.steps[0].gang = true;
    spec.steps[0].size.millicores = millicores;
    spec
}

/// Returns one of several workers.
pub fn numbered(number: usize) -> Entry {
    Entry {
        id: Name::from(format!("w{number}")),
        ..entry()
    }
}

/// Returns a scheduler that has taken over at `now` from one that has stored this. Tasks may run for
/// `grace` on workers that have not reported.
pub fn successor(now: Time, grace: Duration, accounts: Vec<Account>, stored: Stored) -> Scheduler {
    let config = Config {
        version: 1,
        queues: vec![queue()],
        accounts,
    };
    let setup = Setup {
        epoch: 2,
        origin_ms: 0,
        takeover_grace: grace,
        gang_wait: GANG_WAIT,
        longest_lease: LONGEST_LEASE,
        remote_slowdown: None,
    };
    Scheduler::new(setup, now, Arc::new(config), stored)
}

impl Bench {
    pub fn new() -> Bench {
        Bench::with_queue(queue())
    }

    pub fn with_queue(queue: Queue) -> Bench {
        Bench::with(vec![queue], Vec::new())
    }

    pub fn with(queues: Vec<Queue>, accounts: Vec<Account>) -> Bench {
        let config = Arc::new(Config {
            version: 1,
            queues,
            accounts,
        });
        let setup = Setup {
            epoch: 1,
            origin_ms: 0,
            takeover_grace: Duration::ZERO,
            gang_wait: GANG_WAIT,
            longest_lease: LONGEST_LEASE,
            remote_slowdown: None,
        };
        let now = Time::from_millis(1_000);
        let mut bench = Bench {
            scheduler: Scheduler::new(setup, now, config, Stored::default()),
            is_cut_off: false,
            millis: 1_000,
        };
        bench.scheduler.update_registry(vec![entry()]);
        bench.store();
        bench.report(Vec::new());
        bench
    }

    pub fn advance(&mut self) -> Vec<Action> {
        self.millis += 10;
        let mut actions = Vec::new();
        let now = Time::from_millis(self.millis);
        self.scheduler.advance(now, &mut actions);
        if self.scheduler.awaits_confirmation() && !self.is_cut_off {
            self.scheduler.confirm(now);
            self.scheduler.advance(now, &mut actions);
        }
        actions
    }

    /// Returns the simulated time in milliseconds, which the worker's clock shows too.
    pub fn clock_ms(&self) -> u64 {
        self.millis
    }

    pub fn store(&mut self) {
        while self.scheduler.next_batch(|_| Fit::Taken) {
            self.scheduler.batch_stored();
        }
    }

    pub fn report(&mut self, ended: Vec<End>) {
        let report = self.make_report(ended);
        self.scheduler.report(0, &report);
    }

    /// Delivers a report of a worker that runs no tasks.
    pub fn report_idle(&mut self, worker: usize) {
        let report = self.make_report(Vec::new());
        self.scheduler.report(worker, &report);
    }

    /// Lists workers in the registry in place of the first one, and lets all of them report that
    /// they run nothing.
    pub fn register(&mut self, workers: usize) {
        let worker = |number| Entry {
            id: Name::from(format!("w{number}")),
            ..entry()
        };
        self.scheduler
            .update_registry((0..workers).map(worker).collect());
        self.store();
        for worker in 0..=workers {
            self.report_idle(worker);
        }
    }

    fn make_report(&self, ended: Vec<End>) -> Report {
        Report {
            clock_ms: self.millis,
            born_ms: 1,
            running: Vec::new(),
            ended,
        }
    }

    /// Submits the job and stores it.
    pub fn submit(&mut self, spec: Spec) {
        self.submit_with(spec, |_| Fit::Taken);
    }

    /// Submits the job and stores what `stage` takes.
    pub fn submit_with(&mut self, spec: Spec, mut stage: impl FnMut(&Change) -> Fit) {
        let queue = Name::from("checks");
        self.scheduler.submit(1, JOB, &queue, None, spec);
        while self.scheduler.next_batch(&mut stage) {
            self.scheduler.batch_stored();
        }
    }

    /// Submits a job with one task and starts the task.
    pub fn start(&mut self) -> Attempt {
        self.submit(single());
        let actions = self.advance();
        let start = actions.iter().find_map(|action| match action {
            Action::Start { attempt, .. } => Some(*attempt),
            _ => None,
        });
        let attempt = start.expect("the task is ordered to start");
        self.scheduler
            .handle_start(0, attempt, StartOutcome::Running, 0);
        attempt
    }

    /// Advances the scheduler and returns the highest number that it acknowledges.
    pub fn acknowledged(&mut self) -> u64 {
        let numbers = self
            .advance()
            .into_iter()
            .filter_map(|action| match action {
                Action::Acknowledge { number, .. } => Some(number),
                _ => None,
            });
        numbers.max().unwrap_or(0)
    }
}
