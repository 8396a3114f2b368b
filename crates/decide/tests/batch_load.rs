//! What callers get under load, by kind of job.

#[path = "support/load/mod.rs"]
mod load;

use std::time::Duration;

use load::{KINDS, World};

/// The part of each kind of job that has to be on time on heavy days, as the users' deployments ask.
const FLOOR: f64 = 0.45;

/// How long after the end of the traffic accepted jobs may wait though there is room, in seconds.
const FINISH_S: u64 = 14;

/// Plays a load and checks that no kind of job is starved, and that urgent ones hardly notice.
fn hold(instances: usize, load: f64) {
    let mut world = World::new(350, instances);
    world.play(load, Duration::from_secs(40));
    for (kind, outcome) in KINDS.iter().zip(&world.outcomes) {
        let part = outcome.on_time as f64 / outcome.owed as f64;
        assert!(
            part >= FLOOR,
            "{}: {part:.2} on time: {outcome:?}",
            kind.name
        );
    }
    let checks = &world.outcomes[2];
    assert!(checks.on_time * 10 >= checks.owed * 9, "{checks:?}");
}

#[test]
fn usual() {
    hold(29, 1.0);
}

#[test]
fn full() {
    hold(29, 1.3);
}

/// A third of the instances can't ask.
#[test]
fn few_instances() {
    hold(20, 1.0);
}

/// A line of late jobs is worked off once nothing else comes: at the latest after the time that the
/// users allow between the end of the traffic and an accepted job that does not run.
#[test]
fn late_line() {
    let mut world = World::new(48, 7);
    world.play(3.0, Duration::from_secs(30));
    world.play(0.0, Duration::from_secs(FINISH_S));
    let waiting: Vec<String> = world.waiting();
    assert!(waiting.is_empty(), "{} wait: {waiting:#?}", waiting.len());
}
