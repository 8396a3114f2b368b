//! Runs the batch scheduler under a simulated load and prints its processor time and the results of
//! the jobs.
//!
//!     cargo run --release -p azurepath-decide --example schedule -- WORKERS INSTANCES LOAD SECONDS
//!
//! `LOAD` multiplies the usual arrivals. A load of 1 uses about two thirds of the workers'
//! capacity.

#[path = "../tests/support/load/mod.rs"]
mod load;

use std::time::Duration;

use load::{KINDS, World};

fn main() -> anyhow::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [workers, instances, load, seconds] = arguments.as_slice() else {
        anyhow::bail!("the arguments are WORKERS INSTANCES LOAD SECONDS, such as 350 29 1.0 30");
    };
    let (workers, instances) = (workers.parse()?, instances.parse()?);
    let (load, seconds) = (load.parse()?, seconds.parse()?);
    let mut world = World::new(workers, instances);
    world.run(load, Duration::from_secs(seconds));
    println!(
        "{workers} workers, load {load}, {seconds} s: {} starts",
        world.starts
    );
    let share = world.busy.as_secs_f64() / seconds as f64;
    let each = world.busy.as_micros() as f64 / world.calls as f64;
    println!("scheduler: {share:.3} of a core, {each:.1} us an event");
    println!("processors booked: {:.3}", world.booked());
    for (kind, outcome) in KINDS.iter().zip(&mut world.outcomes) {
        outcome.ages.sort();
        let count = outcome.ages.len();
        let at = |part: f64| outcome.ages.get((count as f64 * part) as usize).copied();
        println!(
            "{}: {} submitted, {} refused, {count} done, {} of {} on time, p50 {:?}, p95 {:?}, \
             {} questions that took {:?}",
            kind.name,
            outcome.submitted,
            outcome.refused,
            outcome.on_time,
            outcome.due,
            at(0.5).unwrap_or_default(),
            at(0.95).unwrap_or_default(),
            outcome.questions,
            outcome.question_time,
        );
    }
    Ok(())
}
