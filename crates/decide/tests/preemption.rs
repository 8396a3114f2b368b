//! Urgent requests preempt batch work on a full fleet.

mod support;

use azurepath_decide::attempt::Outcome;
use azurepath_decide::class::Class;
use azurepath_decide::request::Request;
use azurepath_decide::time::Time;
use azurepath_decide::verdict::Verdict;
use azurepath_decide::worker::Interrupt;
use support::*;

fn urgent(id: u128, count: u64) -> Request {
    Request {
        class: Class::Urgent,
        kind: "pairing".into(),
        ..request(id, "b", cores(count))
    }
}

/// Returns a full worker with four batch attempts of 8 cores, of which the first has run longest.
fn full() -> Bench {
    let mut bench = Bench::ready(1, machine());
    for id in 1..=4 {
        bench.submit(request(id, "a", cores(8)));
        bench.started(attempt(id, 1), "w0");
        bench.wait(1_000);
    }
    bench
}

#[test]
fn cheapest_checkpointed() {
    let mut bench = full();
    let preempted = bench.submit(urgent(9, 4));
    let youngest = attempt(4, 1);
    assert_eq!(interrupts(&preempted), [(youngest, Interrupt::Checkpoint)]);
    let ended = bench.ended(youngest, "w0", Outcome::Checkpointed);
    assert_eq!(starts(&ended), [(attempt(9, 1), "w0".to_owned())]);
    assert!(answers(&ended).is_empty());
    let freed = bench.ended(attempt(1, 1), "w0", Outcome::Done);
    assert_eq!(starts(&freed), [(attempt(4, 2), "w0".to_owned())]);
}

#[test]
fn stopped_in_time() {
    let mut bench = full();
    let arrived = bench.now;
    bench.submit(urgent(9, 4));
    let mut stopped = Vec::new();
    while stopped.is_empty() {
        stopped = interrupts(&bench.wait(100));
        assert!(bench.now.since(arrived).as_millis() < 5_900);
    }
    assert_eq!(stopped, [(attempt(4, 1), Interrupt::Stop)]);
    let ended = bench.ended(attempt(4, 1), "w0", Outcome::Stopped);
    assert_eq!(starts(&ended), [(attempt(9, 1), "w0".to_owned())]);
}

#[test]
fn non_idempotent_not_preempted() {
    let mut bench = Bench::ready(1, machine());
    let non_idempotent = Request {
        idempotent: false,
        ..request(1, "a", cores(32))
    };
    bench.submit(non_idempotent);
    bench.started(attempt(1, 1), "w0");
    let mut sent = interrupts(&bench.submit(urgent(9, 4)));
    for _ in 0..100 {
        sent.extend(interrupts(&bench.wait(100)));
    }
    assert!(sent.is_empty());
    let ended = bench.ended(attempt(1, 1), "w0", Outcome::Checkpointed);
    let verdict = ran(attempt(1, 1), "w0", Outcome::Checkpointed);
    assert_eq!(answers(&ended), [(1, verdict)]);
}

#[test]
fn idempotent_first() {
    let mut bench = Bench::ready(1, machine());
    let non_idempotent = Request {
        idempotent: false,
        ..request(1, "a", cores(8))
    };
    bench.submit(request(2, "a", cores(24)));
    bench.wait(60_000);
    bench.submit(non_idempotent);
    bench.replenish();
    let preempted = interrupts(&bench.submit(urgent(9, 4)));
    assert_eq!(preempted, [(attempt(2, 1), Interrupt::Checkpoint)]);
}

#[test]
fn restarted_not_preempted_soon() {
    let mut bench = Bench::ready(1, machine());
    bench.submit(request(1, "a", cores(32)));
    bench.wait(1_000);
    assert_eq!(interrupts(&bench.submit(urgent(9, 32))).len(), 1);
    bench.ended(attempt(1, 1), "w0", Outcome::Stopped);
    let again = bench.ended(attempt(9, 1), "w0", Outcome::Done);
    assert_eq!(starts(&again), [(attempt(1, 2), "w0".to_owned())]);
    assert!(interrupts(&bench.submit(urgent(10, 32))).is_empty());
    let mut sent = Vec::new();
    while sent.is_empty() {
        sent = interrupts(&bench.wait(1_000));
    }
    assert_eq!(sent, [(attempt(1, 2), Interrupt::Checkpoint)]);
    assert!(bench.now >= Time::from_millis(61_000));
}

#[test]
fn room_reserved_once() {
    let mut bench = full();
    let first = interrupts(&bench.submit(urgent(9, 8)));
    let second = interrupts(&bench.submit(urgent(10, 8)));
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_ne!(first[0].0, second[0].0);
}

#[test]
fn services_not_preempted() {
    let mut bench = Bench::ready(1, machine());
    let service = Request {
        class: Class::Service,
        ..request(1, "a", cores(32))
    };
    bench.submit(service);
    assert!(interrupts(&bench.submit(urgent(9, 4))).is_empty());
}

#[test]
fn preempted_answered_as_run() {
    let mut bench = Bench::ready(1, machine());
    let batch = Request {
        deadline: Time::from_millis(100_000),
        ..request(1, "a", cores(32))
    };
    bench.submit(batch);
    bench.submit(urgent(9, 4));
    bench.ended(attempt(1, 1), "w0", Outcome::Stopped);
    let expired = bench.wait(100_000);
    let verdict = ran(attempt(1, 1), "w0", Outcome::Stopped);
    assert_eq!(answers(&expired), [(1, verdict)]);
    assert!(!matches!(answers(&expired)[0].1, Verdict::NotRun { .. }));
}
