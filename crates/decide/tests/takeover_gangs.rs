//! A successor stops a gang that its predecessor has left incomplete.

#[path = "support/batch/bench.rs"]
mod bench;

use std::time::Duration;

use azurepath_decide::batch::record::{Fit, Record, Stored, Submission};
use azurepath_decide::batch::report::{End, Outcome, Report, Running};
use azurepath_decide::batch::scheduler::Scheduler;
use azurepath_decide::batch::{Action, Attempt, StepId, TaskId};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use bench::{JOB, gang, numbered, successor};

const WORKERS: usize = 3;

/// The run of the members that the predecessor has ordered to start.
const RUN: u64 = 5;

/// The time of the takeover, in milliseconds.
const TAKEOVER_MS: u64 = 1_000;

/// How long tasks may run on workers that have not reported.
const GRACE: Duration = Duration::from_secs(8);

/// The time between two steps of the scheduler, in milliseconds.
const STEP_MS: u64 = 10;

/// A time after which the members of a gang no longer wait for each other, in milliseconds.
const LATER_MS: u64 = 20_000;

/// What a worker reports about its member of the gang.
enum Member {
    Runs,
    Stopped,
    Unknown,
}

/// Returns the time of a step of the scheduler after the takeover, in milliseconds.
fn step_ms(number: u64) -> u64 {
    TAKEOVER_MS + number * STEP_MS
}

/// Returns the attempt of the gang's member on a worker.
fn attempt(worker: usize) -> Attempt {
    let step = StepId { job: JOB, step: 0 };
    let index = worker as u32;
    Attempt {
        task: TaskId { step, index },
        run: RUN,
    }
}

/// Returns what the predecessor has stored: workers, and a job whose gang takes one each.
fn stored() -> Stored {
    let record = Record::Open(Submission {
        queue: Name::from("checks"),
        account: None,
        accepted_ms: 0,
        spec: gang(WORKERS as u32, 5_000),
    });
    Stored {
        jobs: vec![(JOB, record)],
        blocks: Vec::new(),
        roster: (0..WORKERS).map(numbered).collect(),
    }
}

/// A successor of a scheduler that has ordered a gang of three to start on three workers.
fn take_over() -> Scheduler {
    let stored = stored();
    let workers = stored.roster.clone();
    let now = Time::from_millis(TAKEOVER_MS);
    let mut scheduler = successor(now, GRACE, Vec::new(), stored);
    scheduler.update_registry(workers);
    while scheduler.next_batch(|_| Fit::Taken) {
        scheduler.batch_stored();
    }
    scheduler
}

fn report(scheduler: &mut Scheduler, worker: usize, member: &Member) {
    let attempt = attempt(worker);
    let running = Running {
        attempt,
        checkpoint: None,
        progress: 0.0,
    };
    let end = End {
        number: 1,
        attempt,
        outcome: Outcome::Stopped,
        checkpoint: None,
    };
    let (running, ended) = match member {
        Member::Runs => (vec![running], vec![]),
        Member::Stopped => (vec![], vec![end]),
        Member::Unknown => (vec![], vec![]),
    };
    let report = Report {
        clock_ms: TAKEOVER_MS,
        born_ms: 1,
        running,
        ended,
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
    let mut scheduler = take_over();
    report(&mut scheduler, 0, &Member::Runs);
    report(&mut scheduler, 1, &Member::Runs);
    assert_eq!(orders(&mut scheduler, step_ms(1)), (vec![], vec![]));
    report(&mut scheduler, 2, &Member::Unknown);
    assert_eq!(orders(&mut scheduler, step_ms(2)), (vec![0, 1], vec![]));
    report(&mut scheduler, 0, &Member::Stopped);
    report(&mut scheduler, 1, &Member::Stopped);
    let (stops, starts) = orders(&mut scheduler, step_ms(3));
    assert_eq!((stops, starts.len()), (vec![], WORKERS));
}

#[test]
fn complete_gang() {
    let mut scheduler = take_over();
    for worker in 0..WORKERS {
        report(&mut scheduler, worker, &Member::Runs);
        let now_ms = step_ms(1 + worker as u64);
        assert_eq!(orders(&mut scheduler, now_ms), (vec![], vec![]));
    }
    assert_eq!(orders(&mut scheduler, LATER_MS), (vec![], vec![]));
}
