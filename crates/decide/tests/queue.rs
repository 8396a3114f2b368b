//! The order in which requests are served, and early refusals.

mod support;

use std::time::Duration;

use azurepath_decide::attempt::Outcome;
use azurepath_decide::class::Class;
use azurepath_decide::event::Event;
use azurepath_decide::request::Id;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use azurepath_decide::verdict::{Reason, Verdict};
use support::*;

#[test]
fn classes_in_order() {
    let mut bench = Bench::ready(1, machine());
    let mut first = request(1, "a", cores(32));
    first.class = Class::Service;
    bench.submit(first);
    for (id, class) in [(2, Class::Batch), (3, Class::Service), (4, Class::Urgent)] {
        let mut next = request(id, "a", cores(32));
        next.class = class;
        bench.submit(next);
    }
    for (done, next) in [(1, 4), (4, 3), (3, 2)] {
        let ended = bench.ended(attempt(done, 1), "w0", Outcome::Done);
        assert_eq!(starts(&ended), [(attempt(next, 1), "w0".to_owned())]);
    }
}

#[test]
fn deadlines_in_order() {
    let mut bench = Bench::ready(1, machine());
    bench.submit(request(1, "a", cores(32)));
    for (id, seconds) in [(2, 300), (3, 100), (4, 200)] {
        let mut next = request(id, "a", cores(32));
        next.deadline = Time::from_millis(seconds * 1_000);
        bench.submit(next);
    }
    for (done, next) in [(1, 3), (3, 4), (4, 2)] {
        let ended = bench.ended(attempt(done, 1), "w0", Outcome::Done);
        assert_eq!(starts(&ended), [(attempt(next, 1), "w0".to_owned())]);
    }
}

#[test]
fn large_blocks_nobody() {
    let mut bench = Bench::ready(1, machine());
    for id in 1..=4 {
        bench.submit(request(id, "a", cores(8)));
    }
    let mut large = request(5, "a", cores(32));
    large.deadline = Time::from_millis(90_000);
    bench.submit(large);
    bench.submit(request(6, "a", cores(8)));
    let freed = bench.ended(attempt(1, 1), "w0", Outcome::Done);
    assert_eq!(starts(&freed), [(attempt(6, 1), "w0".to_owned())]);
    for id in [2, 3, 4] {
        assert!(starts(&bench.ended(attempt(id, 1), "w0", Outcome::Done)).is_empty());
    }
    let freed = bench.ended(attempt(6, 1), "w0", Outcome::Done);
    assert_eq!(starts(&freed), [(attempt(5, 1), "w0".to_owned())]);
}

#[test]
fn too_large_refused() {
    let mut bench = Bench::ready(1, machine());
    let refused = bench.submit(request(1, "a", cores(33)));
    assert_eq!(answers(&refused), [(1, not_run(Reason::TooLarge))]);
    let split = Size {
        accelerators: 1,
        ..cores(1)
    };
    let refused = bench.submit(request(2, "a", split));
    assert_eq!(answers(&refused), [(2, not_run(Reason::TooLarge))]);
}

#[test]
fn overload_refused() {
    let mut bench = Bench::ready(1, machine());
    for id in 0..10 {
        let mut next = request(id, "a", cores(32));
        next.deadline = Time::from_millis(200_000);
        assert!(answers(&bench.submit(next)).is_empty());
    }
    let mut late = request(20, "a", cores(32));
    late.deadline = Time::from_millis(202_500);
    assert!(answers(&bench.submit(late.clone())).is_empty());
    for id in 30..60 {
        let mut next = request(id, "a", cores(32));
        next.deadline = Time::from_millis(200_000);
        bench.submit(next);
    }
    late.id = Id(21);
    let refused = answers(&bench.submit(late));
    let reason = match &refused[..] {
        [
            (
                21,
                Verdict::NotRun {
                    reason,
                    retry_after,
                },
            ),
        ] => {
            assert!(retry_after.is_some());
            *reason
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(reason, Reason::Overload);
    let mut other = request(22, "b", cores(32));
    other.deadline = Time::from_millis(202_500);
    assert!(answers(&bench.submit(other)).is_empty());
    let mut soon = request(23, "a", cores(32));
    soon.deadline = Time::from_millis(100_000);
    soon.estimate = Duration::from_secs(1);
    assert!(answers(&bench.submit(soon)).is_empty());
}

#[test]
fn cancel_wave() {
    let mut bench = Bench::ready(1, machine());
    bench.submit(request(0, "a", cores(32)));
    for id in 1..=20_000 {
        let mut next = request(id, "a", cores(1 + (id % 31) as u64));
        next.deadline = Time::from_millis(3_600_000 + (id as u64 * 7_919) % 100_000);
        next.estimate = Duration::ZERO;
        bench.submit(next);
    }
    let answered: usize = (1..=20_000)
        .map(|id| answers(&bench.send(Event::Cancel { request: Id(id) })).len())
        .sum();
    assert_eq!(answered, 20_000);
    assert!(starts(&bench.ended(attempt(0, 1), "w0", Outcome::Done)).is_empty());
    assert!(
        bench
            .wait(4_000_000)
            .iter()
            .all(|action| { !matches!(action, azurepath_decide::action::Action::Answer { .. }) })
    );
}

#[test]
fn many_sizes_served() {
    let mut bench = Bench::ready(1, machine());
    bench.submit(request(0, "a", cores(32)));
    for id in 1..=200u64 {
        let size = Size {
            millicores: 30_000 + id,
            ..cores(1)
        };
        bench.submit(request(u128::from(id), "a", size));
    }
    let mut next = (attempt(0, 1), "w0".to_owned());
    for _ in 0..200 {
        let ended = bench.ended(next.0, "w0", Outcome::Done);
        let started = starts(&ended);
        assert_eq!(started.len(), 1);
        next = started[0].clone();
    }
    assert!(starts(&bench.ended(next.0, "w0", Outcome::Done)).is_empty());
}
