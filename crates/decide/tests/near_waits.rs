//! How long a step waits for a near place: not when that costs more than it gains, and never without
//! a bound.

use std::time::Duration;

use azurepath_decide::batch::locality::{
    MAX_WAIT, Opening, Run, Terms, expected_places, waiting_tasks,
};
use azurepath_decide::time::Time;

const DUE: Time = Time::from_millis(10_000);

fn terms(slowdown: f64, run_ms: u64, latest_ms: u64) -> Terms {
    Terms {
        slowdown,
        run: Duration::from_millis(run_ms),
        due: DUE,
        latest: Time::from_millis(latest_ms),
    }
}

fn openings(ends_ms: &[u64]) -> Vec<Opening> {
    let opening = |&ms: &u64| Opening {
        after: Duration::from_millis(ms),
        places: 1,
    };
    ends_ms.iter().map(opening).collect()
}

/// A wait that is longer than the time that it saves.
#[test]
fn wait_beyond_cost() {
    let deadline = terms(1.5, 800, 20_000).deadline(DUE);
    assert_eq!(deadline, Some(Time::from_millis(10_400)));
}

/// A wait because of which a job is late that would have been on time elsewhere.
#[test]
fn wait_makes_late() {
    // Elsewhere it takes 600 ms longer, so it must start there by 10,200.
    let deadline = terms(1.5, 1_200, 10_800).deadline(DUE);
    assert_eq!(deadline, Some(Time::from_millis(10_200)));
}

/// A job that is sent elsewhere although only a near place lets it be on time.
#[test]
fn late_elsewhere() {
    let deadline = terms(2.0, 700, 10_500).deadline(DUE);
    assert_eq!(deadline, Some(Time::from_millis(10_500)));
}

/// A job that waits although it is late wherever it starts.
#[test]
fn late_everywhere() {
    assert_eq!(terms(2.0, 700, 9_900).deadline(DUE), None);
}

/// A job without running tasks that counts as lost after 3 s.
#[test]
fn wait_without_bound() {
    let long = terms(3.0, 60_000, 200_000);
    assert_eq!(long.deadline(DUE), Some(DUE.after(MAX_WAIT)));
    assert_eq!(long.deadline(DUE.after(MAX_WAIT)), None);
}

/// A wait without anything to gain.
#[test]
fn equal_speed() {
    assert_eq!(terms(1.0, 5_000, 60_000).deadline(DUE), None);
    assert_eq!(terms(0.5, 5_000, 60_000).deadline(DUE), None);
}

/// Many short tasks of a rack seem to end no sooner than one of them.
#[test]
fn many_openings() {
    let within = Duration::from_millis(100);
    let one = expected_places(&openings(&[400]), within);
    let many = expected_places(&openings(&[400; 16]), within);
    assert!(one < 0.5 && many > 1.5, "{one} and {many}");
    assert_eq!(waiting_tasks(3, one, 0.0, false), 0);
    assert_eq!(waiting_tasks(3, many, 0.0, false), 2);
}

/// Places that steps of higher rank wait for are counted on.
#[test]
fn places_counted_twice() {
    assert_eq!(waiting_tasks(4, 6.0, 0.0, false), 4);
    assert_eq!(waiting_tasks(4, 6.0, 5.0, false), 1);
    assert_eq!(waiting_tasks(4, 6.0, 9.0, false), 0);
}

/// A step is split that is late as soon as one of its tasks runs elsewhere; or it waits without a
/// chance.
#[test]
fn split_late_step() {
    assert_eq!(waiting_tasks(4, 2.0, 0.0, false), 2);
    assert_eq!(waiting_tasks(4, 2.0, 0.0, true), 4);
    assert_eq!(waiting_tasks(4, 0.5, 0.0, true), 0);
}

/// A task that has run for longer than expected seems to end at once, and a slow one at the expected
/// time.
#[test]
fn overdue_task() {
    let run = |elapsed, progress| Run {
        expected: Duration::from_millis(1_000),
        elapsed: Duration::from_millis(elapsed),
        progress,
    };
    assert_eq!(run(0, None).rest(), Duration::from_millis(1_000));
    assert_eq!(run(3_000, None).rest(), Duration::from_millis(500));
    let slow = run(2_000, Some((0.25, Duration::ZERO)));
    assert_eq!(slow.rest(), Duration::from_millis(6_000));
    let reported = run(900, Some((0.5, Duration::from_millis(100))));
    assert_eq!(reported.rest(), Duration::from_millis(700));
}
