//! The batch scheduler under random faults: delayed and lost orders, dead and cut-off leaders,
//! restarted and unreachable workers.

#[path = "support/batch/mod.rs"]
mod batch;

use std::time::Duration;

use azurepath_decide::time::Time;
use batch::world::{Faults, World};

/// Simulates jobs with faults during the first 20 s and then lets the jobs finish. Returns the
/// violations found.
fn simulate(seed: u64, faults: Faults) -> Vec<String> {
    let mut world = World::new(seed, faults, Time::from_millis(20_000));
    for number in 0..60 {
        let after = Duration::from_millis(200 * number);
        world.submit(
            after,
            number % 5 == 0,
            1 + (number % 4) as u32,
            number % 3 == 0,
        );
    }
    world.run(Duration::from_secs(110));
    assert!(!world.accepted.is_empty(), "no job was accepted");
    world.check.violations
}

/// Asserts that a simulation with each of the seeds has no violations.
fn check(seeds: std::ops::Range<u64>, faults: Faults) {
    let total = seeds.clone().count();
    let results = seeds.map(|seed| (seed, simulate(seed, faults)));
    let failed: Vec<(u64, Vec<String>)> = results
        .filter(|(_, violations)| !violations.is_empty())
        .collect();
    let count = failed.len();
    assert!(count == 0, "{count} of {total} seeds failed: {failed:#?}");
}

#[test]
fn no_faults() {
    check(0..3, Faults::default());
}

#[test]
fn late_orders() {
    let faults = Faults {
        late: 0.1,
        lost: 0.1,
        ..Faults::default()
    };
    check(0..20, faults);
}

#[test]
fn half_of_orders_unanswered() {
    let faults = Faults {
        late: 0.3,
        lost: 0.2,
        ..Faults::default()
    };
    check(0..20, faults);
}

#[test]
fn dead_leaders() {
    let faults = Faults {
        death: 0.004,
        ..Faults::default()
    };
    check(0..20, faults);
}

#[test]
fn restarted_workers() {
    let faults = Faults {
        restarted: 0.0005,
        ..Faults::default()
    };
    check(0..20, faults);
}

#[test]
fn unreachable_workers() {
    let faults = Faults {
        partitioned: 0.001,
        unlisted: 0.001,
        ..Faults::default()
    };
    check(0..20, faults);
}

#[test]
fn all_faults() {
    let faults = Faults {
        late: 0.05,
        lost: 0.05,
        death: 0.004,
        restarted: 0.0003,
        unlisted: 0.001,
        partitioned: 0.001,
        ..Faults::default()
    };
    check(0..60, faults);
}

#[test]
fn restarts_and_lost_orders() {
    let faults = Faults {
        lost: 0.3,
        late: 0.1,
        restarted: 0.003,
        ..Faults::default()
    };
    check(0..40, faults);
}

/// A leader that is cut off lives on beside its successor.
#[test]
fn cut_off_leaders() {
    let faults = Faults {
        cut: 0.003,
        ..Faults::default()
    };
    check(0..60, faults);
}

/// Successors are cut off while they wait for their predecessor's workers.
#[test]
fn cut_off_successors() {
    let faults = Faults {
        cut: 0.02,
        ..Faults::default()
    };
    check(0..40, faults);
}

#[test]
fn cuts_and_restarts() {
    let faults = Faults {
        cut: 0.003,
        restarted: 0.001,
        unlisted: 0.001,
        ..Faults::default()
    };
    check(0..40, faults);
}

#[test]
fn cuts_and_all_faults() {
    let faults = Faults {
        late: 0.05,
        lost: 0.05,
        death: 0.002,
        restarted: 0.0003,
        unlisted: 0.001,
        partitioned: 0.001,
        cut: 0.003,
        ..Faults::default()
    };
    check(0..60, faults);
}

/// Other instances carry the orders to whichever incarnation of the worker is there.
#[test]
fn orders_reach_next_incarnation() {
    let faults = Faults {
        carried: 1.0,
        restarted: 0.003,
        ..Faults::default()
    };
    check(0..40, faults);
}

#[test]
fn late_orders_reach_next_incarnation() {
    let faults = Faults {
        carried: 0.5,
        late: 0.1,
        lost: 0.1,
        restarted: 0.002,
        unlisted: 0.001,
        ..Faults::default()
    };
    check(0..40, faults);
}

/// The orders of a leader that has died reach workers of its successor.
#[test]
fn takeovers_and_carried_orders() {
    let faults = Faults {
        carried: 0.5,
        lost: 0.1,
        late: 0.05,
        death: 0.003,
        restarted: 0.001,
        ..Faults::default()
    };
    check(0..60, faults);
}
