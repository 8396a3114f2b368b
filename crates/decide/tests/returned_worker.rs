//! Tests that a worker that was given up is used again after its return.

#[path = "support/batch/bench.rs"]
mod bench;

use azurepath_decide::batch::Action;
use azurepath_decide::batch::fleet::Contact;
use bench::{Bench, entry};

/// Makes the scheduler give the worker up: it has left the registry, does not answer, and its lease
/// has expired.
fn abandon(bench: &mut Bench) {
    bench.scheduler.update_registry(Vec::new());
    bench.scheduler.mark_silent(0);
    bench.scheduler.expire_leases(0);
    assert!(bench.scheduler.is_abandoned(0));
    bench.scheduler.remove_worker(0);
    bench.advance();
}

#[test]
fn same_incarnation() {
    let mut bench = Bench::new();
    abandon(&mut bench);
    // The worker was only unreachable; the same incarnation returns.
    bench.scheduler.update_registry(vec![entry()]);
    let attaches = |action: &Action| matches!(action, Action::Attach { .. });
    assert!(bench.advance().iter().any(attaches));
}

#[test]
fn next_incarnation() {
    let mut bench = Bench::new();
    abandon(&mut bench);
    let mut next = entry();
    next.born_ms = 2;
    bench.scheduler.update_registry(vec![next]);
    let attached = Action::Attach { worker: 1 };
    assert!(bench.advance().contains(&attached));
    assert_eq!(bench.scheduler.worker(0).contact, Contact::Gone);
}
