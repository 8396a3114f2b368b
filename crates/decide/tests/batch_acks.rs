//! An end is acknowledged only once what it means is stored.

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::config::{Config, Queue};
use azurepath_decide::batch::fleet::{Entry, Standing};
use azurepath_decide::batch::record::Stored;
use azurepath_decide::batch::report::{End, How, Report};
use azurepath_decide::batch::scheduler::{Scheduler, Setup};
use azurepath_decide::batch::spec::{Spec, Step};
use azurepath_decide::batch::{Action, Answer, Attempt, JobId, Started, State};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;

const JOB: JobId = JobId(7);

/// A scheduler with one worker, and the time.
struct Bench {
    scheduler: Scheduler,
    millis: u64,
}

impl Bench {
    fn new() -> Bench {
        let queue = Queue {
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
        };
        let config = Arc::new(Config {
            version: 1,
            queues: vec![queue],
            accounts: Vec::new(),
        });
        let setup = Setup {
            epoch: 1,
            origin_ms: 0,
            write_off: Duration::ZERO,
        };
        let now = Time::from_millis(1_000);
        let mut bench = Bench {
            scheduler: Scheduler::new(setup, now, config, Stored::default()),
            millis: 1_000,
        };
        bench.scheduler.list(vec![Entry {
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
            standing: Standing::Ready,
            born_ms: 1,
        }]);
        bench.store();
        bench.report(Vec::new());
        bench
    }

    fn advance(&mut self) -> Vec<Action> {
        self.millis += 10;
        let mut actions = Vec::new();
        let now = Time::from_millis(self.millis);
        self.scheduler.advance(now, &mut actions);
        actions
    }

    fn store(&mut self) {
        while self.scheduler.write(50).is_some() {
            self.scheduler.written();
        }
    }

    fn report(&mut self, ended: Vec<End>) {
        let report = Report {
            clock_ms: self.millis,
            born_ms: 1,
            running: Vec::new(),
            ended,
        };
        self.scheduler.report(0, &report);
    }

    /// Submits a job of one task and lets it start.
    fn start(&mut self) -> Attempt {
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
        };
        let spec = Spec {
            payload: Name::from("work"),
            steps: vec![step],
        };
        self.scheduler
            .submit(1, JOB, &Name::from("checks"), None, spec);
        self.store();
        let actions = self.advance();
        let start = actions.iter().find_map(|action| match action {
            Action::Start { attempt, .. } => Some(*attempt),
            _ => None,
        });
        let attempt = start.expect("it starts");
        self.scheduler.started(0, attempt, Started::Running, 0);
        attempt
    }

    /// Returns the highest acknowledgement among actions.
    fn acknowledged(&mut self) -> u64 {
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

fn end(attempt: Attempt, how: How) -> End {
    End {
        number: 1,
        attempt,
        how,
        checkpoint: None,
    }
}

#[test]
fn done() {
    let mut bench = Bench::new();
    let attempt = bench.start();
    bench.report(vec![end(attempt, How::Done)]);
    assert_eq!(bench.acknowledged(), 0);
    // Nor is it shown: a successor could run the job again.
    assert_eq!(bench.scheduler.state(JOB), Some(State::Running));
    bench.store();
    assert_eq!(bench.acknowledged(), 1);
    assert_eq!(bench.scheduler.state(JOB), Some(State::Completed));
}

#[test]
fn failed() {
    let mut bench = Bench::new();
    let attempt = bench.start();
    bench.report(vec![end(attempt, How::Failed)]);
    assert_eq!(bench.acknowledged(), 0);
    bench.store();
    assert_eq!(bench.acknowledged(), 1);
    assert_eq!(bench.scheduler.state(JOB), Some(State::Failed));
}

#[test]
fn cancelled() {
    let mut bench = Bench::new();
    let attempt = bench.start();
    bench.scheduler.cancel(2, JOB);
    // The cancelling is not stored yet, so a successor would run what it does not know to be done.
    assert!(bench.scheduler.write(50).is_some());
    bench.report(vec![end(attempt, How::Done)]);
    assert_eq!(bench.acknowledged(), 0);
    bench.scheduler.written();
    bench.store();
    let answered = Action::Answer {
        call: 2,
        answer: Answer::Cancelled,
    };
    let actions = bench.advance();
    assert!(actions.contains(&answered));
    let acknowledged = Action::Acknowledge {
        worker: 0,
        number: 1,
    };
    assert!(actions.contains(&acknowledged));
}
