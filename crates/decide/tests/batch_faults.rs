//! The batch scheduler under random faults: delayed and lost orders, dead leaders, restarted and
//! unreachable workers.

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
    for seed in seeds {
        let violations = simulate(seed, faults);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
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
