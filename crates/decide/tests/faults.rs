//! Servers, workers and the table together under random faults, simulated from a seed.

#[path = "support/faults/mod.rs"]
mod faults;

use std::thread;
use std::time::Duration;

use azurepath_decide::action::Action;
use azurepath_decide::cell::{Cell, Setup};
use azurepath_decide::class::Class;
use azurepath_decide::event::Event;
use azurepath_decide::policy::Policy;
use azurepath_decide::rack::Grant;
use azurepath_decide::request::{Id, Request};
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use azurepath_decide::worker::{Inventory, Spec};
use faults::{Plan, World};

const THREADS: u64 = 4;

/// Runs the seeds on several threads and returns the failures in the order of the seeds.
fn failures(seeds: std::ops::Range<u64>, plan: Plan) -> Vec<String> {
    let run = |first: u64| {
        let seeds = seeds.clone().skip(first as usize).step_by(THREADS as usize);
        let results = seeds.map(|seed| (seed, World::new(seed, plan).run()));
        results
            .filter_map(|(seed, result)| result.err().map(|text| (seed, text)))
            .collect::<Vec<(u64, String)>>()
    };
    let mut failed: Vec<(u64, String)> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|first| scope.spawn(move || run(first)))
            .collect();
        let joined = threads.into_iter().map(|thread| thread.join());
        joined
            .flat_map(|failed| failed.expect("a seed panicked"))
            .collect()
    });
    failed.sort();
    failed.into_iter().map(|(_, text)| text).collect()
}

fn assert_none(failed: &[String]) {
    let seeds = failed.iter().filter_map(|text| text.lines().last());
    let seeds: Vec<&str> = seeds.collect();
    assert!(failed.is_empty(), "{}\n\nall: {seeds:#?}", failed[0]);
}

#[test]
fn random_faults() {
    assert_none(&failures(0..50, Plan::FAULTS));
}

#[test]
fn planned_stops() {
    assert_none(&failures(0..20, Plan::STOPS));
}

#[test]
fn no_faults() {
    let plan = Plan {
        faults: None,
        bad_messages: 0.0,
        ..Plan::STOPS
    };
    assert_none(&failures(0..5, plan));
}

/// Seeds that failed in the past. The commits that fixed them describe the failures.
#[test]
fn regression_seeds() {
    for seed in [4, 98, 242, 20_911, 21_185] {
        assert_none(&failures(seed..seed + 1, Plan::FAULTS));
    }
    for seed in [0, 2, 8, 18, 19] {
        assert_none(&failures(seed..seed + 1, Plan::STOPS));
    }
}

/// Returns a cell that owns the rack `r1` at an epoch, with one worker and an allotment of one slot
/// for the team.
fn owner_of_one_slot(epoch: u64, worker: &str) -> Cell {
    let slot = size(1);
    let setup = Setup {
        server: "s0".into(),
        seed: 1,
        policy: Policy::Fair,
        region: None,
    };
    let mut cell = Cell::new(setup);
    let grant = Grant {
        rack: "r1".into(),
        epoch,
        allotments: [("few".into(), slot)].into(),
    };
    send(&mut cell, Event::Gain(grant));
    join(&mut cell, epoch, worker);
    cell
}

fn size(cores: u64) -> Size {
    Size {
        millicores: cores * 1_000,
        memory_mib: cores * 1_024,
        accelerators: 0,
        slots: cores,
    }
}

/// Sends an event to a cell and returns how many attempts it starts.
fn send(cell: &mut Cell, event: Event) -> usize {
    let mut actions = Vec::new();
    cell.handle(Time::from_millis(1_000), event, &mut actions);
    let starts = |action: &&Action| matches!(action, Action::Start { .. });
    actions.iter().filter(starts).count()
}

fn join(cell: &mut Cell, epoch: u64, worker: &str) {
    let spec = Spec {
        name: worker.into(),
        rack: "r1".into(),
        failure_domain: "zrh-a".into(),
        region: "ch-north".into(),
        capacity: size(8),
    };
    send(cell, Event::Join(spec));
    let inventory = Inventory {
        worker: worker.into(),
        epoch,
        running: Vec::new(),
        ended: Vec::new(),
    };
    send(cell, Event::Claimed(inventory));
}

fn submit(cell: &mut Cell, id: u128) -> usize {
    let request = Request {
        id: Id(id),
        team: "few".into(),
        kind: "audit".into(),
        class: Class::Batch,
        size: size(1),
        estimate: Duration::from_secs(1),
        deadline: Time::MAX,
        idempotent: true,
        gang: None,
        target: None,
    };
    send(cell, Event::Submit(request))
}

/// A former owner that does not know yet that it lost the rack claims a worker that the next owner
/// has not seen. Both then use the same allotment of the rack, so the team exceeds its limit.
#[test]
fn new_worker_of_former_owner() {
    let mut next = owner_of_one_slot(2, "w0");
    assert_eq!(submit(&mut next, 1), 1);
    let mut former = owner_of_one_slot(1, "w9");
    assert_eq!(submit(&mut former, 2), 0, "the team has one slot");
}
