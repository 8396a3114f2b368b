//! What callers get on a fleet whose workers differ in speed without saying so.

#[path = "support/load/mod.rs"]
mod load;

use std::time::Duration;

use load::{KINDS, World};

/// How long the load lasts before jobs are counted.
const LEARNING_TIME: Duration = Duration::from_secs(25);

/// Simulates a load on workers of these speeds and returns the simulation.
fn simulate(speeds: &[f64], load: f64) -> World {
    let mut world = World::uneven(80, 9, speeds);
    world.run(load, LEARNING_TIME);
    world.outcomes = Default::default();
    world.run(load, Duration::from_secs(60));
    world.run(0.0, Duration::from_secs(15));
    world
}

fn fractions(world: &World) -> Vec<f64> {
    let fractions = world.outcomes.iter().zip(&KINDS).map(|(outcome, kind)| {
        let fraction = outcome.in_time as f64 / outcome.submitted as f64;
        println!(
            "{}: {fraction:.3} of {} in time, {} refused, {} of {} starts on slow workers",
            kind.name, outcome.submitted, outcome.refused, outcome.slow_starts, outcome.starts
        );
        fraction
    });
    let fractions = fractions.collect();
    println!(
        "booked {:.2}, busy {:?}, {} calls, {} speed changes",
        world.booked(),
        world.busy,
        world.calls,
        world.speed_changes.len()
    );
    fractions
}

/// Urgent jobs go to the slow quarter as often as others if nothing knows of it.
#[test]
fn slow_quarter() {
    let world = simulate(&[0.55, 1.2, 1.2, 1.2], 0.6);
    let urgent = fractions(&world)[2];
    let outcome = &world.outcomes[2];
    // Without regard to speed, 0.95 were on time, and a fifth of the tasks ran on slow workers.
    assert!(urgent >= 0.97, "{urgent:.3} of the urgent jobs on time");
    assert!(outcome.slow_starts * 10 < outcome.starts, "{outcome:?}");
}

/// Best fit decides alone as long as no worker is clearly different.
#[test]
fn like_workers() {
    let world = simulate(&[1.0], 0.6);
    fractions(&world);
    assert_eq!(world.speed_changes, Vec::<String>::new());
}
