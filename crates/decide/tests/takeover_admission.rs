//! Which jobs a new leader refuses while most of the workers have not answered it yet.

#[path = "support/batch/bench.rs"]
mod bench;

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::config::Config;
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::record::{Fit, Stored};
use azurepath_decide::batch::report::Report;
use azurepath_decide::batch::scheduler::{Scheduler, Setup};
use azurepath_decide::batch::{Action, Answer, JobId};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use bench::{GANG_WAIT, entry, queue, single};

const WORKERS: usize = 20;

/// Fits the fleet at once, and takes a single worker of eight cores five seconds.
const JOBS: u64 = 40;

const GRACE_MS: u64 = 8_000;

fn worker(number: usize) -> Entry {
    Entry {
        id: Name::from(format!("w{number}")),
        ..entry()
    }
}

/// Starts a successor, one of whose workers has answered.
fn successor(now_ms: u64) -> Scheduler {
    let config = Config {
        version: 1,
        queues: vec![queue()],
        accounts: Vec::new(),
    };
    let setup = Setup {
        epoch: 2,
        origin_ms: 0,
        takeover_grace: Duration::from_millis(GRACE_MS),
        gang_wait: GANG_WAIT,
    };
    let stored = Stored {
        roster: (0..WORKERS).map(worker).collect(),
        ..Stored::default()
    };
    let now = Time::from_millis(now_ms);
    let mut scheduler = Scheduler::new(setup, now, Arc::new(config), stored);
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
    let mut scheduler = successor(1_000);
    scheduler.update_registry((0..WORKERS).map(worker).collect());
    scheduler.advance(Time::from_millis(1_000), &mut Vec::new());
    assert_eq!(refused(&mut scheduler, 1_010), 0);
}

/// The stored roster comes before the first read of the registry.
#[test]
fn unread_registry_refuses_jobs() {
    let mut scheduler = successor(1_000);
    scheduler.advance(Time::from_millis(1_000), &mut Vec::new());
    assert_eq!(refused(&mut scheduler, 1_010), 0);
}

#[test]
fn dead_fleet_accepts_jobs() {
    let mut scheduler = successor(1_000);
    scheduler.update_registry((0..WORKERS).map(worker).collect());
    let grace_over = 1_000 + GRACE_MS + 1;
    scheduler.advance(Time::from_millis(grace_over), &mut Vec::new());
    assert!(refused(&mut scheduler, grace_over + 10) > 0);
}
