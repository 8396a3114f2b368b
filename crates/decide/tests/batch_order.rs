//! Ranking of waiting steps, and admission of new jobs.

use std::time::Duration;

use azurepath_decide::batch::admission::Backlog;
use azurepath_decide::batch::config::Queue;
use azurepath_decide::batch::order::{Durations, Lateness, Times, rank};
use azurepath_decide::batch::{JobId, StepId};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;

/// A job of one step of 5 s.
const TIMES: Times = Times {
    critical_path: Duration::from_secs(5),
    remaining: Duration::from_secs(5),
};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn queue(priority: u32) -> Queue {
    Queue {
        name: Name::from("q"),
        host: Name::from(""),
        prefix: Name::from("/q/"),
        pool: Name::from("pool"),
        priority,
        attempts: 3,
        stretch: 2.0,
        objective: seconds(1),
        advice: None,
        open: false,
    }
}

fn step(job: u64) -> StepId {
    StepId {
        job: JobId(job),
        step: 0,
    }
}

#[test]
fn lateness() {
    // A job of 5 s may take 11 s in total, and its client sees the end 0.15 s late, so it has to
    // start within 5.85 s.
    let at = |now: u64, excess| {
        rank(
            step(1),
            &queue(1),
            Time::default(),
            excess,
            TIMES,
            Time::from_millis(now),
        )
        .lateness
    };
    assert_eq!(at(5_850, false), Lateness::OnTime);
    assert_eq!(at(5_850, true), Lateness::Excess);
    assert_eq!(at(5_851, false), Lateness::Late);
    assert_eq!(at(27_850, false), Lateness::Late);
    assert_eq!(at(27_851, false), Lateness::Worthless);
}

#[test]
fn order() {
    let now = Time::from_millis(7_000);
    let make = |job, priority, accepted| {
        let accepted = Time::from_millis(accepted);
        rank(step(job), &queue(priority), accepted, false, TIMES, now)
    };
    let mut ranks = [
        make(1, 0, 0),
        make(2, 2, 1_200),
        make(3, 1, 5_000),
        make(4, 1, 3_000),
        make(5, 0, 6_000),
    ];
    ranks.sort();
    let order: Vec<u64> = ranks.iter().map(|rank| rank.step.job.0).collect();
    // The urgent job that is already late goes last.
    assert_eq!(order, [5, 4, 3, 2, 1]);
}

#[test]
fn learnt_durations() {
    let mut durations = Durations::default();
    assert_eq!(durations.mean(seconds(9)), seconds(9));
    for _ in 0..200 {
        durations.record(seconds(2));
    }
    assert!(durations.mean(seconds(9)).abs_diff(seconds(2)) < Duration::from_millis(10));
}

#[test]
fn refusals() {
    let mut backlog = Backlog::default();
    assert_eq!(backlog.retry_after(1, seconds(1), false), None);
    // A fifth of the fleet for ten seconds is two seconds of the whole fleet.
    backlog.add(1, 0.2, seconds(10));
    assert_eq!(backlog.wait(0), Duration::ZERO);
    assert_eq!(backlog.wait(2), seconds(2));
    // Jobs of a higher priority don't wait for it.
    assert_eq!(backlog.retry_after(0, seconds(1), false), None);
    // Enough slack, too little slack, more than the account's weight.
    assert_eq!(backlog.retry_after(1, seconds(8), false), None);
    assert!(backlog.retry_after(1, seconds(2), false).is_some());
    assert!(backlog.retry_after(1, seconds(8), true).is_some());
}

#[test]
fn pauses() {
    let mut backlog = Backlog::default();
    backlog.add(0, 1.0, seconds(6));
    // Clients may retry once the work ahead of them is expected to be done, within bounds.
    let pause = |slack| backlog.retry_after(0, slack, false);
    assert_eq!(pause(Duration::ZERO), Some(seconds(6)));
    assert_eq!(pause(seconds(7)), Some(seconds(1)));
    backlog.add(0, 1.0, seconds(100));
    assert_eq!(
        backlog.retry_after(0, Duration::ZERO, false),
        Some(seconds(10))
    );
}
