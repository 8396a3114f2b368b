//! The fraction of jobs that finish on time under load, by kind of job.

#[path = "support/load/mod.rs"]
mod load;

use std::time::Duration;

use load::{KINDS, World};

/// The smallest fraction of each kind of job that has to be on time under heavy load, as the users'
/// deployments require.
const MIN_ON_TIME: f64 = 0.45;

/// How long after the end of the traffic accepted jobs may wait despite free capacity, in seconds.
const MAX_WAIT_S: u64 = 14;

/// Simulates a load and checks that no kind of job is starved and that at least 90% of the urgent
/// jobs are on time.
fn check_load(instances: usize, load: f64) {
    let mut world = World::new(350, instances);
    world.run(load, Duration::from_secs(40));
    for (kind, outcome) in KINDS.iter().zip(&world.outcomes) {
        let part = outcome.on_time as f64 / outcome.due as f64;
        assert!(
            part >= MIN_ON_TIME,
            "{}: {part:.2} on time: {outcome:?}",
            kind.name
        );
    }
    let checks = &world.outcomes[2];
    assert!(checks.on_time * 10 >= checks.due * 9, "{checks:?}");
}

#[test]
fn usual_load() {
    check_load(29, 1.0);
}

#[test]
fn heavy_load() {
    check_load(29, 1.3);
}

/// Only two thirds of the instances can query the advice service.
#[test]
fn few_instances() {
    check_load(20, 1.0);
}

/// A backlog of late jobs is processed once the traffic ends, within the time that the users allow
/// an accepted job to wait after that.
#[test]
fn late_backlog() {
    let mut world = World::new(48, 7);
    world.run(3.0, Duration::from_secs(30));
    world.run(0.0, Duration::from_secs(MAX_WAIT_S));
    let waiting: Vec<String> = world.waiting();
    assert!(
        waiting.is_empty(),
        "{} steps still wait: {waiting:#?}",
        waiting.len()
    );
}
