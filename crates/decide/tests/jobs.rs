//! Jobs and services at their homes, with dying servers, lost answers and failing tasks.

use std::collections::BTreeSet;
use std::time::Duration;

use azurepath_decide::attempt::Outcome;
use azurepath_decide::job::Work;
use azurepath_decide::resource::{Job, Service};
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;

#[path = "jobs/world.rs"]
mod world;

use world::{Fault, World};

fn job(name: &str, tasks: u32, gang: bool) -> Work {
    Work::Job(Job {
        name: name.into(),
        team: "plans".into(),
        tasks,
        size: Size {
            slots: 1,
            ..Size::ZERO
        },
        estimate_ms: 2_000,
        gang,
        retries: 1,
        idempotent: true,
        payload: String::new(),
    })
}

fn service(name: &str, replicas: u32) -> Work {
    Work::Service(Service {
        name: name.into(),
        team: "plans".into(),
        replicas,
        size: Size {
            slots: 1,
            ..Size::ZERO
        },
        payload: String::new(),
    })
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn home_dies_while_running() {
    let mut world = World::new(8);
    world.configure(vec![job("dawn", 6, false)]);
    world.run_for(secs(1));
    assert_eq!(world.running(), 6);
    let home = world.home_of("batch/dawn");
    world.kill(&home);
    world.run_for(secs(10));
    assert_eq!(world.row("batch/dawn").done, 6);
    assert!(world.row("batch/dawn").finished);
    assert_eq!(world.starts.len(), 6, "no task ran twice");
    assert_eq!(world.duplicate_starts, []);
}

#[test]
fn home_dies_before_start() {
    let mut world = World::new(8);
    world.configure(vec![job("dawn", 6, false)]);
    world.die_on_write = true;
    world.run_for(secs(30));
    assert_eq!(world.homes.len(), 2);
    assert_eq!(world.row("batch/dawn").done, 6);
    assert_eq!(world.starts.len(), 6);
}

#[test]
fn home_dies_before_write_is_stored() {
    let mut world = World::new(8);
    world.configure(vec![job("dawn", 6, false)]);
    world.die_on_write = true;
    world.faults.push_back(Fault::LostBefore);
    world.run_for(secs(30));
    assert_eq!(world.homes.len(), 2);
    assert_eq!(world.row("batch/dawn").done, 6);
    assert_eq!(world.starts.len(), 6);
}

#[test]
fn gang_outlives_home() {
    let mut world = World::new(2);
    world.configure(vec![job("sheets", 5, true)]);
    world.run_for(secs(1));
    assert_eq!(world.running(), 5);
    let home = world.home_of("batch/sheets");
    world.kill(&home);
    world.run_for(secs(10));
    assert_eq!(world.row("batch/sheets").done, 5);
    assert_eq!(world.starts.len(), 5);
}

#[test]
fn lost_write_answers() {
    for fault in [Fault::LostAfter, Fault::LostBefore, Fault::Down] {
        let mut world = World::new(8);
        world.faults.extend([fault; 3]);
        world.configure(vec![job("dawn", 6, false), job("sheets", 4, true)]);
        world.run_for(secs(60));
        assert_eq!(world.row("batch/dawn").done, 6, "{fault:?}");
        assert_eq!(world.row("batch/sheets").done, 4, "{fault:?}");
        assert_eq!(world.starts.len(), 10, "{fault:?}");
    }
}

#[test]
fn two_gangs_run_in_turn() {
    let mut world = World::new(2);
    world.configure(vec![job("one", 6, true), job("two", 6, true)]);
    for _ in 0..600 {
        world.run_for(Duration::from_millis(50));
        assert!([0, 6].contains(&world.running()), "{}", world.running());
    }
    assert!(world.row("batch/one").finished);
    assert!(world.row("batch/two").finished);
    assert_eq!(world.starts.len(), 12);
}

#[test]
fn gangs_do_not_starve() {
    let mut world = World::new(2);
    world.hold_delays = vec![150, 50, 100];
    let names = ["one", "two", "three", "four"];
    world.configure(names.iter().map(|name| job(name, 6, true)).collect());
    world.run_for(secs(60));
    for name in names {
        assert!(world.row(&format!("batch/{name}")).finished, "{name}");
    }
}

#[test]
fn failed_round_releases_places() {
    let mut world = World::new(2);
    world.configure(vec![job("sheets", 7, true)]);
    world.run_for(secs(1));
    world.configure(vec![job("sheets", 7, true), job("dawn", 6, false)]);
    world.run_for(secs(2));
    assert_eq!(
        world.running(),
        6,
        "no places are held for a gang that cannot start"
    );
}

#[test]
fn member_cannot_start() {
    let mut world = World::new(2);
    world.failing_starts = 1;
    world.configure(vec![job("sheets", 6, true)]);
    world.run_for(secs(1));
    assert!([0, 6].contains(&world.running()), "{}", world.running());
    world.run_for(secs(30));
    assert!(world.row("batch/sheets").finished);
    assert_eq!(world.row("batch/sheets").done, 6);
    assert_eq!(
        world.starts.len(),
        5 + 6,
        "the five members that started were stopped"
    );
    assert_eq!(world.duplicate_starts, []);
}

#[test]
fn gang_waits_for_allotment() {
    let mut world = World::new(2);
    world.configure(vec![job("sheets", 2, true)]);
    world.report_no_allotments();
    world.run_for(secs(30));
    assert!(world.row("batch/sheets").finished);
    assert_eq!(world.starts.len(), 2);
}

#[test]
fn lost_commit() {
    let mut world = World::new(2);
    world.lose_commit = true;
    world.configure(vec![job("sheets", 6, true)]);
    world.run_for(secs(30));
    assert!(world.row("batch/sheets").finished);
    assert_eq!(world.row("batch/sheets").done, 6);
    assert_eq!(world.duplicate_starts, []);
}

#[test]
fn failing_gang_ends() {
    let mut world = World::new(2);
    world.outcome = Outcome::Failed;
    world.configure(vec![job("sheets", 6, true)]);
    world.run_for(secs(60));
    assert!(world.row("batch/sheets").finished);
    assert_eq!(world.starts.len(), 12, "one retry");
    assert_eq!(world.running(), 0);
}

#[test]
fn service_backs_off() {
    let mut world = World::new(8);
    world.outcome = Outcome::Failed;
    world.run_time = Duration::from_millis(50);
    world.configure(vec![service("audit", 1)]);
    world.run_for(secs(600));
    let starts = world.starts.len();
    assert!((10..60).contains(&starts), "{starts} starts");
    world.outcome = Outcome::Done;
    world.run_time = secs(3_600);
    world.run_for(secs(120));
    assert_eq!(world.running(), 1, "the service runs once it stops failing");
}

#[test]
fn service_shrinks_and_is_deleted() {
    let mut world = World::new(8);
    world.run_time = secs(100_000);
    world.configure(vec![service("audit", 4)]);
    world.run_for(secs(2));
    let racks: BTreeSet<_> = world.starts.iter().map(|(_, _, rack)| rack).collect();
    assert_eq!(racks.len(), 3, "the service is spread over the racks");
    world.configure(vec![service("audit", 2)]);
    world.run_for(secs(2));
    assert_eq!(world.running(), 2);
    let home = world.home_of("service/audit");
    world.kill(&home);
    world.configure(vec![]);
    world.run_for(secs(10));
    assert_eq!(world.running(), 0);
    assert!(world.table.is_empty());
}

#[test]
fn service_without_document_is_stopped() {
    let mut world = World::new(8);
    world.run_time = secs(100_000);
    world.configure(vec![service("audit", 2)]);
    world.run_for(secs(2));
    world.configure(vec![]);
    let home = world.home_of("service/audit");
    world.kill(&home);
    world.run_for(secs(10));
    assert_eq!(world.running(), 2, "the new home does not know the row yet");
    world.scan();
    world.run_for(secs(10));
    assert_eq!(world.running(), 0);
    assert!(world.table.is_empty());
}

#[test]
fn writes_are_batched() {
    let mut world = World::new(1_000);
    world.run_time = secs(3);
    let jobs = (0..100).map(|number| job(&format!("j{number}"), 12, false));
    world.configure(jobs.collect());
    world.run_for(secs(15));
    assert_eq!(world.starts.len(), 1_200);
    let first = world.writes[0];
    let early = |time: &&Time| time.since(first) < secs(10);
    let writes = world.writes.iter().filter(early).count();
    assert!(writes <= 3 * 40, "{writes} writes of three homes in 10 s");
}

#[test]
fn backs_off_during_table_outage() {
    let mut world = World::new(8);
    world.faults.extend([Fault::Down; 1_000]);
    world.configure(vec![job("dawn", 6, false)]);
    world.run_for(secs(120));
    let writes = world.writes.len();
    assert!(writes < 60, "{writes} writes in two minutes of outage");
    assert_eq!(world.starts.len(), 0);
}
