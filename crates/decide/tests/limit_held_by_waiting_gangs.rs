//! Small tasks are not held back by gangs of their account that can't start yet.

#[path = "support/batch/bench.rs"]
mod bench;

use std::time::Duration;

use azurepath_decide::batch::config::{Account, AdviceTiming, Queue};
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::report::Report;
use azurepath_decide::batch::{Action, JobId};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use bench::{Bench, entry, gang, queue, single};

const WORKERS: usize = 10;

fn team() -> Account {
    Account {
        name: Name::from("team"),
        keys: Vec::new(),
        weight: 0.0,
        limit: Size {
            millicores: 16_000,
            ..Size::MAX
        },
    }
}

/// Returns a bench with idle workers, and a queue whose gangs get no advice.
fn idle_fleet() -> Bench {
    let advised = Queue {
        advice: Some(AdviceTiming {
            base: Duration::from_millis(540),
            per_worker: Duration::from_millis(8),
            validity: Duration::from_secs(2),
        }),
        ..queue()
    };
    let small = Queue {
        name: Name::from("small"),
        priority: 1,
        ..queue()
    };
    let mut bench = Bench::with(vec![advised, small], vec![team()]);
    bench.scheduler.set_advice_instances(2);
    let worker = |number| Entry {
        id: Name::from(format!("w{number}")),
        ..entry()
    };
    bench
        .scheduler
        .update_registry((0..WORKERS).map(worker).collect());
    bench.store();
    for worker in 0..=WORKERS {
        bench.scheduler.report(
            worker,
            &Report {
                clock_ms: 1_000,
                born_ms: 1,
                ..Report::default()
            },
        );
    }
    bench
}

/// Tells whether a small job starts within 3 s behind gangs of four tasks that wait for advice.
fn small_job_starts(gangs: u64) -> bool {
    let mut bench = idle_fleet();
    let account = || Some(Name::from("team"));
    for number in 0..gangs {
        let id = JobId(100 + number);
        let checks = Name::from("checks");
        let wide = gang(4, 1_000);
        bench.scheduler.submit(1, id, &checks, account(), wide);
    }
    let id = JobId(900);
    let small = Name::from("small");
    bench.scheduler.submit(1, id, &small, account(), single());
    bench.store();
    let is_small = |action: &Action| matches!(action, Action::Start { attempt, .. } if attempt.task.step.job == id);
    (0..300).any(|_| bench.advance().iter().any(is_small))
}

#[test]
fn one_waiting_gang() {
    assert!(small_job_starts(1));
}

#[test]
fn waiting_gangs_that_need_more_than_the_limit() {
    assert!(small_job_starts(8));
}
