//! A worker that starts again under its id, and the runs that its next incarnation may have started.

#[path = "support/batch/bench.rs"]
mod bench;

use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::record::{Change, Fit};
use azurepath_decide::batch::report::{Report, Running};
use azurepath_decide::batch::{Action, Attempt, StartOutcome};
use bench::{Bench, LONGEST_LEASE, entry, single};

/// The number of the next incarnation.
const NEXT: usize = 1;

fn incarnation(born_ms: u64) -> Entry {
    Entry { born_ms, ..entry() }
}

fn report(bench: &Bench, born_ms: u64, running: &[Attempt]) -> Report {
    let running = running.iter().map(|attempt| Running {
        attempt: *attempt,
        checkpoint: None,
        progress: 0.0,
    });
    Report {
        clock_ms: bench.clock_ms(),
        born_ms,
        running: running.collect(),
        ended: Vec::new(),
    }
}

fn started(actions: &[Action]) -> Option<Attempt> {
    actions.iter().find_map(|action| match action {
        Action::Start { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

fn settling(actions: &[Action]) -> Option<(usize, Vec<Attempt>)> {
    actions.iter().find_map(|action| match action {
        Action::Settle { worker, attempts } => Some((*worker, attempts.clone())),
        _ => None,
    })
}

/// Orders a task to start and lets the next incarnation answer, which is not registered yet.
fn restart() -> (Bench, Attempt) {
    let mut bench = Bench::new();
    bench.submit(single());
    let attempt = started(&bench.advance()).expect("the task is ordered to start");
    let next = report(&bench, 2, &[]);
    bench.scheduler.report(0, &next);
    (bench, attempt)
}

/// Registers the next incarnation, which shows these runs.
fn register(bench: &mut Bench, running: &[Attempt]) {
    bench.scheduler.update_registry(vec![incarnation(2)]);
    bench.store();
    let report = report(bench, 2, running);
    bench.scheduler.report(NEXT, &report);
}

#[test]
fn run_starts_again_only_once_stopped() {
    let (mut bench, attempt) = restart();
    register(&mut bench, &[]);
    let actions = bench.advance();
    // The order may still reach an even later incarnation.
    assert_eq!((settling(&actions), started(&actions)), (None, None));
    let running = StartOutcome::Running;
    bench.scheduler.handle_start(0, attempt, running, 0);
    let actions = bench.advance();
    assert_eq!(settling(&actions), Some((NEXT, vec![attempt])));
    assert_eq!(started(&actions), None);
    let shown = report(&bench, 2, &[]);
    bench.scheduler.handle_settled(NEXT, &[attempt], &shown);
    // A write shows first that no other scheduler has led.
    bench.advance();
    let next = started(&bench.advance()).expect("the task starts again");
    assert!(next.run > attempt.run);
}

#[test]
fn run_goes_on_in_next_incarnation() {
    let (mut bench, attempt) = restart();
    let running = StartOutcome::Running;
    bench.scheduler.handle_start(0, attempt, running, 0);
    register(&mut bench, &[attempt]);
    let actions = bench.advance();
    assert_eq!((settling(&actions), started(&actions)), (None, None));
    assert!(bench.scheduler.worker(NEXT).attempts.contains_key(&attempt));
    assert!(bench.scheduler.worker(0).attempts.is_empty());
}

#[test]
fn run_is_given_up_without_next_incarnation() {
    let (bench, attempt) = restart();
    assert_given_up_with_lease(bench, attempt);
}

/// The registry lists the next incarnation, and nobody reaches it.
#[test]
fn unreachable_next_incarnation_keeps_run() {
    let (mut bench, attempt) = restart();
    bench.scheduler.update_registry(vec![incarnation(2)]);
    bench.store();
    assert_given_up_with_lease(bench, attempt);
}

/// Asserts that a run is given up once the longest lease has passed since the outcome of its order.
fn assert_given_up_with_lease(mut bench: Bench, attempt: Attempt) {
    for _ in 0..100 {
        bench.advance();
    }
    let running = StartOutcome::Running;
    bench.scheduler.handle_start(0, attempt, running, 0);
    let began_ms = bench.clock_ms();
    while bench.scheduler.worker(0).attempts.contains_key(&attempt) {
        bench.advance();
        assert!(bench.clock_ms() < 60_000, "the run is kept");
    }
    let waited_ms = u128::from(bench.clock_ms() - began_ms);
    let lease_ms = LONGEST_LEASE.as_millis();
    assert!(
        waited_ms + 20 >= lease_ms && waited_ms <= lease_ms + 100,
        "{waited_ms}"
    );
}

/// A successor would not look for the run on a worker that is not in the roster.
#[test]
fn roster_keeps_worker_with_open_run() {
    let (mut bench, _) = restart();
    let mut removed = false;
    while bench.scheduler.next_batch(|change| {
        removed |= matches!(change, Change::Worker(_, None));
        Fit::Taken
    }) {
        bench.scheduler.batch_stored();
    }
    assert!(!removed);
}

#[test]
fn moved_worker_keeps_its_runs() {
    let mut bench = Bench::new();
    let attempt = bench.start();
    let shown = report(&bench, 1, &[attempt]);
    bench.scheduler.report(0, &shown);
    let moved = Entry {
        address: ([127, 0, 0, 1], 2).into(),
        ..entry()
    };
    bench.scheduler.update_registry(vec![moved]);
    bench.store();
    assert_eq!(started(&bench.advance()), None);
    bench.scheduler.report(NEXT, &shown);
    let actions = bench.advance();
    assert_eq!((settling(&actions), started(&actions)), (None, None));
    assert!(bench.scheduler.worker(NEXT).attempts.contains_key(&attempt));
}

/// The clock of the worker was set back, so that its next incarnation seems to be an earlier one.
#[test]
fn earlier_start_time_is_attached() {
    let mut bench = Bench::new();
    bench.scheduler.update_registry(vec![incarnation(9)]);
    bench.advance();
    let next = report(&bench, 4, &[]);
    bench.scheduler.report(1, &next);
    bench.scheduler.update_registry(vec![incarnation(4)]);
    assert!(bench.advance().contains(&Action::Attach { worker: 2 }));
}

#[test]
fn former_incarnation_is_not_attached_again() {
    let mut bench = Bench::new();
    bench.scheduler.update_registry(Vec::new());
    bench.scheduler.mark_silent(0);
    let next = report(&bench, 2, &[]);
    bench.scheduler.report(0, &next);
    bench.advance();
    bench.scheduler.update_registry(vec![entry()]);
    let attaches = |action: &Action| matches!(action, Action::Attach { .. });
    assert!(!bench.advance().iter().any(attaches));
}

/// The same at another address, so that nothing answers for the former one.
#[test]
fn earlier_start_time_elsewhere_is_attached() {
    let mut bench = Bench::new();
    bench.scheduler.update_registry(vec![incarnation(9)]);
    bench.advance();
    let former = report(&bench, 9, &[]);
    bench.scheduler.report(1, &former);
    let moved = Entry {
        address: ([127, 0, 0, 1], 2).into(),
        ..incarnation(4)
    };
    let attached = Action::Attach { worker: 2 };
    bench.scheduler.update_registry(vec![moved.clone()]);
    assert!(
        !bench.advance().contains(&attached),
        "the former one answers"
    );
    bench.scheduler.mark_silent(1);
    bench.scheduler.expire_leases(1);
    bench.scheduler.update_registry(vec![moved]);
    assert!(bench.advance().contains(&attached));
}
