//! After a takeover, an account's limit also covers the tasks that run on workers that have not
//! reported yet.

#[path = "support/batch/bench.rs"]
mod bench;

use std::time::Duration;

use azurepath_decide::batch::config::Account;
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::record::{Fit, Record, Stored, Submission};
use azurepath_decide::batch::report::{Report, Running};
use azurepath_decide::batch::scheduler::Scheduler;
use azurepath_decide::batch::spec::Spec;
use azurepath_decide::batch::{Action, Attempt, JobId, StepId, TaskId};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use bench::{JOB, numbered, single, successor};

const GRACE_MS: u64 = 8_000;

/// Returns one of three workers. The last one has a single core.
fn worker(number: usize) -> Entry {
    let mut entry = numbered(number);
    if number == 2 {
        entry.capacity.millicores = 1_000;
    }
    entry
}

fn attempt(index: u32) -> Attempt {
    let step = StepId { job: JOB, step: 0 };
    Attempt {
        task: TaskId { step, index },
        run: 5,
    }
}

/// A successor of a scheduler that has started a job of six tasks on three workers. The account may
/// run eight such tasks.
fn take_over() -> Scheduler {
    take_over_with(|_| {})
}

fn take_over_with(change: impl FnOnce(&mut Spec)) -> Scheduler {
    let mut spec = single();
    spec.steps[0].count = 6;
    change(&mut spec);
    let team = Name::from("team");
    let record = Record::Open(Submission {
        queue: Name::from("checks"),
        account: Some(team.clone()),
        accepted_ms: 0,
        spec,
    });
    let account = Account {
        name: team,
        keys: Vec::new(),
        weight: 100.0,
        limit: Size {
            millicores: 8_000,
            ..Size::MAX
        },
    };
    let stored = Stored {
        jobs: vec![(JOB, record)],
        blocks: Vec::new(),
        roster: (0..3).map(worker).collect(),
    };
    let grace = Duration::from_millis(GRACE_MS);
    let mut scheduler = successor(Time::from_millis(1_000), grace, vec![account], stored);
    scheduler.update_registry((0..3).map(worker).collect());
    scheduler
}

/// Reports that two tasks of the inherited job run on a worker.
fn report(scheduler: &mut Scheduler, worker: usize) {
    let running = (0..2).map(|index| Running {
        attempt: attempt(worker as u32 * 2 + index),
        checkpoint: None,
        progress: 0.1,
    });
    let report = Report {
        clock_ms: 1_000,
        born_ms: 1,
        running: running.collect(),
        ended: Vec::new(),
    };
    scheduler.report(worker, &report);
}

/// Submits a job of the same account with six tasks, and returns how many of them start.
fn start_more(scheduler: &mut Scheduler, now_ms: u64) -> usize {
    let mut spec = single();
    spec.steps[0].count = 6;
    let (queue, team) = (Name::from("checks"), Name::from("team"));
    scheduler.submit(1, JobId(99), &queue, Some(team), spec);
    while scheduler.next_batch(|_| Fit::Taken) {
        scheduler.batch_stored();
    }
    let mut actions = Vec::new();
    scheduler.confirm(Time::from_millis(now_ms));
    scheduler.advance(Time::from_millis(now_ms), &mut actions);
    let is_new = |action: &&Action| matches!(action, Action::Start { attempt, .. } if attempt.task.step.job == JobId(99));
    actions.iter().filter(is_new).count()
}

#[test]
fn one_reported() {
    let mut scheduler = take_over();
    report(&mut scheduler, 0);
    // Two run, and four may run on the other workers.
    assert_eq!(start_more(&mut scheduler, 1_010), 2);
}

#[test]
fn all_reported() {
    let mut scheduler = take_over();
    for worker in 0..3 {
        report(&mut scheduler, worker);
    }
    assert_eq!(start_more(&mut scheduler, 1_010), 2);
}

/// No more runs on the workers that are left than they have capacity for.
#[test]
fn small_worker() {
    let mut scheduler = take_over();
    report(&mut scheduler, 0);
    let idle = Report {
        clock_ms: 1_000,
        born_ms: 1,
        ..Report::default()
    };
    scheduler.report(1, &idle);
    // Two run, and of the four that are left one may run on the third worker.
    assert_eq!(start_more(&mut scheduler, 1_010), 5);
}

#[test]
fn grace_over() {
    let mut scheduler = take_over();
    report(&mut scheduler, 0);
    // What ran on the silent workers has lost its lease.
    let started = start_more(&mut scheduler, 1_000 + GRACE_MS);
    assert!(started > 0);
}

/// The predecessor may have read the end of the first step and started the second one, and may have
/// been cut off from the store before it stored that.
#[test]
fn unstored_progress_counts() {
    let mut scheduler = take_over_with(|spec| {
        let mut second = spec.steps[0].clone();
        spec.steps[0].count = 1;
        second.after = vec![0];
        spec.steps.push(second);
    });
    let idle = Report {
        clock_ms: 1_000,
        born_ms: 1,
        ..Report::default()
    };
    scheduler.report(0, &idle);
    // The six tasks of the second step may run on the other workers.
    assert!(start_more(&mut scheduler, 1_010) <= 2);
}
