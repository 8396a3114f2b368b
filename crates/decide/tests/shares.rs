//! Teams get resources by weighted dominant-resource fairness.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use azurepath_decide::attempt::{Attempt, Outcome};
use azurepath_decide::event::Event;
use azurepath_decide::policy::Policy;
use azurepath_decide::share::{Summary, Tally};
use azurepath_decide::size::Size;
use support::*;

fn summary(sequence: u64, running: Size) -> Summary {
    let tally = Tally {
        running,
        ..Tally::default()
    };
    Summary {
        server: "entry-2".into(),
        sequence,
        racks: vec!["r2".into()],
        capacity: machine(),
        free: Size::ZERO,
        largest: Size::ZERO,
        ceiling: machine(),
        wait: Duration::ZERO,
        teams: BTreeMap::from([("a".into(), tally)]),
    }
}

/// Fills a fleet, lets attempts end one after another, and returns the running size of each team.
fn settle(policy: Policy, shares: [(&str, u32, Size); 2]) -> BTreeMap<String, Size> {
    let mut bench = Bench::new(policy);
    let teams: Vec<_> = shares
        .iter()
        .map(|(name, share, _)| team(name, *share))
        .collect();
    bench.teams(&teams);
    bench.gain("r1", 1, LARGE_LIMIT);
    let capacity = Size {
        slots: 64,
        ..machine()
    };
    for index in 0..4 {
        bench.add(&format!("w{index}"), "r1", capacity);
    }
    let mut live: Vec<(Attempt, String, &str, Size)> = Vec::new();
    let owner = |attempt: Attempt| shares[(attempt.request.0 / 10_000) as usize];
    let record = |live: &mut Vec<_>, started: Vec<(Attempt, String)>| {
        for (attempt, worker) in started {
            let (name, _, size) = owner(attempt);
            live.push((attempt, worker, name, size));
        }
    };
    for (index, (name, _, size)) in shares.iter().enumerate() {
        for id in 0..600 {
            let id = (index as u128) * 10_000 + id;
            let started = starts(&bench.submit(request(id, name, *size)));
            record(&mut live, started);
        }
    }
    for _ in 0..500 {
        let (attempt, worker, _, _) = live.remove(0);
        let started = starts(&bench.ended(attempt, &worker, Outcome::Done));
        record(&mut live, started);
    }
    let mut sums: BTreeMap<String, Size> = BTreeMap::new();
    for (_, _, name, size) in live {
        let sum = sums.entry(name.to_owned()).or_default();
        *sum = sum.plus(&size);
    }
    sums
}

#[test]
fn weights_hold() {
    let sums = settle(Policy::Fair, [("a", 3, cores(1)), ("b", 1, cores(1))]);
    let total = sums["a"].millicores + sums["b"].millicores;
    let part = sums["a"].millicores as f64 / total as f64;
    assert!((part - 0.75).abs() < 0.02, "{sums:?}");
}

#[test]
fn dominant_share_counts() {
    let cpu_heavy = Size {
        memory_mib: 256,
        ..cores(1)
    };
    let memory_heavy = Size {
        millicores: 250,
        memory_mib: 2_048,
        accelerators: 0,
        slots: 1,
    };
    let sums = settle(Policy::Fair, [("a", 1, cpu_heavy), ("b", 1, memory_heavy)]);
    let total = machine().times(4);
    let (a, b) = (
        sums["a"].dominant_share(&total),
        sums["b"].dominant_share(&total),
    );
    assert!((a - b).abs() < 0.02, "{a} against {b}");
    assert!(a > 0.7, "{a}");
}

#[test]
fn other_owners_count() {
    let mut bench = Bench::ready(1, machine());
    bench.submit(request(1, "c", cores(32)));
    bench.submit(request(2, "a", cores(32)));
    bench.submit(request(3, "b", cores(32)));
    bench.send(Event::Peer(summary(2, cores(30))));
    bench.send(Event::Peer(summary(1, Size::ZERO)));
    let ended = bench.ended(attempt(1, 1), "w0", Outcome::Done);
    assert_eq!(starts(&ended), [(attempt(3, 1), "w0".to_owned())]);
}

#[test]
fn baseline_in_arrival_order() {
    let mut bench = Bench::new(Policy::FirstFit);
    bench.teams(&[team("a", 1), team("b", 100)]);
    bench.gain("r1", 1, LARGE_LIMIT);
    bench.add("w0", "r1", machine());
    bench.add("w1", "r1", machine());
    for (id, name) in [(1, "a"), (0, "a"), (2, "a"), (3, "b")] {
        bench.submit(request(id, name, cores(32)));
    }
    let ended = bench.ended(attempt(1, 1), "w0", Outcome::Done);
    assert_eq!(starts(&ended), [(attempt(2, 1), "w0".to_owned())]);
}
