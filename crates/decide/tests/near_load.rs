//! What callers get of waits for a near rack, under loads that differ in how much room there is
//! elsewhere.

#[path = "support/near.rs"]
mod near;

use std::time::Duration;

use azurepath_decide::batch::JobId;
use azurepath_decide::batch::event::Cause;
use near::{Load, Policy, RACK_WORKERS, RACKS, Results, World};

/// How long a job may stay without a running task although there is room.
const MAX_IDLE: Duration = Duration::from_millis(2_500);

const SPAN: Duration = Duration::from_secs(12);

/// How many series of arrivals are played. The results of a single one vary by about 0.1.
const SERIES: u64 = 6;

/// Plays a load with several series of arrivals and returns the averages.
fn play(policy: Policy, load: Load) -> Results {
    let mut sum = Results::default();
    for seed in 0..SERIES {
        let mut world = World::new(policy, load);
        world.seed(seed);
        world.run(SPAN);
        let results = world.finish();
        sum.on_time += results.on_time / SERIES as f64;
        sum.mean_age += results.mean_age / SERIES as u32;
        sum.longest_start = sum.longest_start.max(results.longest_start);
        for (name, value) in results.details {
            *sum.details.entry(name).or_default() += value / SERIES as f64;
        }
    }
    sum
}

/// Racks with data are busy while others have room: running elsewhere at once makes jobs late that
/// a short wait would have served, and waiting without a bound keeps some jobs for long.
#[test]
fn fleet_with_room() {
    let at_once = play(Policy::AtOnce, Load::ROOM);
    let decided = play(Policy::Decided, Load::ROOM);
    let always = play(Policy::Always, Load::ROOM);
    let line = format!("at once {at_once:?}\ndecided {decided:?}\nalways {always:?}");
    println!("{line}");
    assert!(decided.on_time > at_once.on_time + 0.2, "{line}");
    assert!(decided.on_time >= always.on_time - 0.02, "{line}");
    assert!(decided.mean_age < at_once.mean_age, "{line}");
    assert!(decided.mean_age < always.mean_age, "{line}");
    assert!(decided.longest_start <= MAX_IDLE, "{line}");
}

/// With hardly any room anywhere, each task that runs elsewhere takes capacity from others for
/// longer. Waiting without a bound spends the least capacity and may have more jobs on time, but
/// the others wait for long.
#[test]
fn busy_fleet() {
    let at_once = play(Policy::AtOnce, Load::BUSY);
    let decided = play(Policy::Decided, Load::BUSY);
    let always = play(Policy::Always, Load::BUSY);
    let line = format!("at once {at_once:?}\ndecided {decided:?}\nalways {always:?}");
    println!("{line}");
    assert!(decided.on_time > at_once.on_time + 0.2, "{line}");
    assert!(decided.on_time >= always.on_time - 0.08, "{line}");
    assert!(decided.mean_age < at_once.mean_age, "{line}");
    assert!(decided.mean_age < always.mean_age, "{line}");
}

/// Returns a world in which a rack is full for long, and a job that waits for it.
fn waiting_job() -> (World, JobId) {
    let mut world = World::new(Policy::Decided, Load::NONE);
    let filler = world.submit_filler("r0", RACK_WORKERS, 6_000);
    world.run(Duration::from_millis(100));
    assert!(world.started(filler).is_some());
    let job = world.submit_near("r0", 1);
    world.run(Duration::from_millis(300));
    assert_eq!(world.started(job), None, "the job waits for its rack");
    assert_eq!(world.waits(Cause::Near), 1);
    (world, job)
}

/// A rack that is gone is waited for until the end of the wait.
#[test]
fn lost_rack() {
    let (mut world, job) = waiting_job();
    world.lose("r0");
    world.run(Duration::from_millis(150));
    assert!(world.started(job).is_some(), "the job starts elsewhere");
}

/// A rack whose workers take no new tasks is waited for until the end of the wait.
#[test]
fn draining_rack() {
    let (mut world, job) = waiting_job();
    world.drain("r0");
    world.run(Duration::from_millis(150));
    assert!(world.started(job).is_some(), "the job starts elsewhere");
}

/// A wait that has ended begins again, so that a step is never started.
#[test]
fn second_wait() {
    let (mut world, job) = waiting_job();
    world.run(Duration::from_millis(500));
    assert!(world.started(job).is_some());
    assert!(!world.ran_near(job));
    assert_eq!(world.waits(Cause::Near), 1);
}

/// A new scheduler counts a wait from its own beginning. Of 640 ms, 300 ms are over by then.
#[test]
fn takeover_doubles_wait() {
    let (mut world, job) = waiting_job();
    world.take_over();
    world.run(Duration::from_millis(500));
    assert!(world.started(job).is_some());
}

/// Tickets that expire during the wait are asked for only once there is a place.
#[test]
fn expired_tickets() {
    let validity = Duration::from_millis(450);
    let mut world = World::with_tickets(Policy::Decided, Load::NONE, validity);
    let filler = world.submit_filler("r0", RACK_WORKERS, 700);
    world.run(Duration::from_millis(100));
    let job = world.submit_near("r0", 1);
    world.run(Duration::from_secs(1));
    let (freed, started) = (world.first_end(filler), world.started(job));
    assert!(world.ran_near(job), "freed {freed:?}, started {started:?}");
    assert_eq!(started, freed, "it starts as soon as there is a place");
}

/// Tasks that want one rack are spread over several although one has room for all soon; or all of
/// them wait although some could start there.
#[test]
fn spread_group() {
    for gang in [false, true] {
        let mut world = World::new(Policy::Decided, Load::NONE);
        for rack in 0..RACKS {
            world.submit_filler(&format!("r{rack}"), RACK_WORKERS - 1, 600);
        }
        world.run(Duration::from_millis(100));
        let job = world.submit_grouped(0, gang);
        world.run(Duration::from_millis(200));
        assert_eq!(world.started(job).is_some(), !gang);
        world.run(Duration::from_millis(1_300));
        assert_eq!(world.racks(job), 1);
        assert_eq!(world.running(job), 4);
    }
}

/// Placement changes although the setting is missing, or for steps that want no rack.
#[test]
fn unchanged_without_setting() {
    let mut world = World::new(Policy::AtOnce, Load::ROOM);
    world.run(Duration::from_secs(5));
    assert_eq!(world.digest(), BASELINE);
    let starts = |policy| {
        let mut world = World::new(policy, Load::PLAIN);
        world.run(Duration::from_secs(5));
        world.digest()
    };
    assert_eq!(starts(Policy::AtOnce), starts(Policy::Decided));
}

/// The digest of the starts of the scheduler before it had the setting.
const BASELINE: u64 = 1_626_756_719_383_100_225;
