//! Which jobs a new leader refuses while most of the workers have not answered it yet.

#[path = "support/batch/bench.rs"]
mod bench;

use std::time::Duration;

use azurepath_decide::batch::record::{Fit, Stored};
use azurepath_decide::batch::report::Report;
use azurepath_decide::batch::scheduler::Scheduler;
use azurepath_decide::batch::{Action, Answer, JobId};
use azurepath_decide::time::Time;
use bench::{numbered, queue, single, successor};

const WORKERS: usize = 20;

/// Fits the fleet at once, and takes a single worker of eight cores five seconds.
const JOBS: u64 = 40;

const GRACE_MS: u64 = 8_000;

/// Returns a successor that one of the workers has answered.
fn take_over(now_ms: u64) -> Scheduler {
    let stored = Stored {
        roster: (0..WORKERS).map(numbered).collect(),
        ..Stored::default()
    };
    let now = Time::from_millis(now_ms);
    let grace = Duration::from_millis(GRACE_MS);
    let mut scheduler = successor(now, grace, Vec::new(), stored);
    let report = Report {
        clock_ms: now_ms,
        born_ms: 1,
        ..Report::default()
    };
    scheduler.report(0, &report);
    scheduler
}

/// Submits the jobs one by one between full passes, and returns how many are refused.
fn refused(scheduler: &mut Scheduler, now_ms: u64) -> usize {
    let mut actions = Vec::new();
    for number in 0..JOBS {
        let now = Time::from_millis(now_ms + number * 10);
        scheduler.submit(number, JobId(number), &queue().name, None, single());
        while scheduler.next_batch(|_| Fit::Taken) {
            scheduler.batch_stored();
        }
        scheduler.advance(now, &mut actions);
    }
    let is_refused = |action: &&Action| {
        matches!(
            action,
            Action::Answer {
                answer: Answer::Refused(_),
                ..
            }
        )
    };
    actions.iter().filter(is_refused).count()
}

#[test]
fn unclaimed_fleet_refuses_jobs() {
    let mut scheduler = take_over(1_000);
    scheduler.update_registry((0..WORKERS).map(numbered).collect());
    scheduler.advance(Time::from_millis(1_000), &mut Vec::new());
    assert_eq!(refused(&mut scheduler, 1_010), 0);
}

/// The stored roster comes before the first read of the registry.
#[test]
fn unread_registry_refuses_jobs() {
    let mut scheduler = take_over(1_000);
    scheduler.advance(Time::from_millis(1_000), &mut Vec::new());
    assert_eq!(refused(&mut scheduler, 1_010), 0);
}

#[test]
fn dead_fleet_accepts_jobs() {
    let mut scheduler = take_over(1_000);
    scheduler.update_registry((0..WORKERS).map(numbered).collect());
    let grace_over = 1_000 + GRACE_MS + 1;
    scheduler.advance(Time::from_millis(grace_over), &mut Vec::new());
    assert!(refused(&mut scheduler, grace_over + 10) > 0);
}
