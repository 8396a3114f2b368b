//! A successor stops a gang that its predecessor has left incomplete.

#[path = "support/batch/bench.rs"]
mod bench;

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::config::Config;
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::record::{Fit, Record, Stored, Submission};
use azurepath_decide::batch::report::{End, Outcome, Report, Running};
use azurepath_decide::batch::scheduler::{Scheduler, Setup};
use azurepath_decide::batch::{Action, Attempt, StepId, TaskId};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use bench::{GANG_WAIT, JOB, entry, gang, queue};

const WORKERS: usize = 3;

fn attempt(worker: usize) -> Attempt {
    let step = StepId { job: JOB, step: 0 };
    let index = worker as u32;
    Attempt {
        task: TaskId { step, index },
        run: 5,
    }
}

/// A successor of a scheduler that has ordered a gang of three to start on three workers.
fn successor() -> Scheduler {
    let workers = (0..WORKERS).map(|number| Entry {
        id: Name::from(format!("w{number}")),
        ..entry()
    });
    let workers: Vec<Entry> = workers.collect();
    let record = Record::Open(Submission {
        queue: Name::from("checks"),
        account: None,
        accepted_ms: 0,
        spec: gang(3, 5_000),
    });
    let config = Config {
        version: 1,
        queues: vec![queue()],
        accounts: Vec::new(),
    };
    let setup = Setup {
        epoch: 2,
        origin_ms: 0,
        takeover_grace: Duration::from_secs(8),
        gang_wait: GANG_WAIT,
    };
    let stored = Stored {
        jobs: vec![(JOB, record)],
        blocks: Vec::new(),
        roster: workers.clone(),
    };
    let mut scheduler = Scheduler::new(setup, Time::from_millis(1_000), Arc::new(config), stored);
    scheduler.update_registry(workers);
    while scheduler.next_batch(|_| Fit::Taken) {
        scheduler.batch_stored();
    }
    scheduler
}

fn report(scheduler: &mut Scheduler, worker: usize, runs: bool, end: Option<Outcome>) {
    let running = Running {
        attempt: attempt(worker),
        checkpoint: None,
        progress: 0.0,
    };
    let end = end.map(|outcome| End {
        number: 1,
        attempt: attempt(worker),
        outcome,
        checkpoint: None,
    });
    let report = Report {
        clock_ms: 1_000,
        born_ms: 1,
        running: runs.then_some(running).into_iter().collect(),
        ended: end.into_iter().collect(),
    };
    scheduler.report(worker, &report);
}

/// Returns the workers that were ordered to stop their member, and those to start it.
fn orders(scheduler: &mut Scheduler, now_ms: u64) -> (Vec<usize>, Vec<usize>) {
    let mut actions = Vec::new();
    scheduler.advance(Time::from_millis(now_ms), &mut actions);
    let (mut stops, mut starts) = (Vec::new(), Vec::new());
    for action in actions {
        match action {
            Action::Stop { worker, .. } => stops.push(worker),
            Action::Start { worker, .. } => starts.push(worker),
            _ => {}
        }
    }
    (stops, starts)
}

#[test]
fn incomplete_gang() {
    let mut scheduler = successor();
    report(&mut scheduler, 0, true, None);
    report(&mut scheduler, 1, true, None);
    assert_eq!(orders(&mut scheduler, 1_010), (vec![], vec![]));
    report(&mut scheduler, 2, false, None);
    assert_eq!(orders(&mut scheduler, 1_020), (vec![0, 1], vec![]));
    report(&mut scheduler, 0, false, Some(Outcome::Stopped));
    report(&mut scheduler, 1, false, Some(Outcome::Stopped));
    let (stops, starts) = orders(&mut scheduler, 1_030);
    assert_eq!((stops, starts.len()), (vec![], WORKERS));
}

#[test]
fn complete_gang() {
    let mut scheduler = successor();
    for worker in 0..WORKERS {
        report(&mut scheduler, worker, true, None);
        let now_ms = 1_010 + worker as u64 * 10;
        assert_eq!(orders(&mut scheduler, now_ms), (vec![], vec![]));
    }
    assert_eq!(orders(&mut scheduler, 20_000), (vec![], vec![]));
}
