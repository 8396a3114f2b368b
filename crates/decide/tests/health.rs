//! Faulty workers are distinguished from faulty kinds of work.

mod support;

use azurepath_decide::action::Action;
use azurepath_decide::attempt::{Attempt, Outcome, Refusal};
use azurepath_decide::event::Event;
use azurepath_decide::health::Circuit;
use azurepath_decide::request::Request;
use azurepath_decide::size::Size;
use azurepath_decide::verdict::{Reason, Verdict};
use support::*;

/// Ends the started attempts with `outcome` in each of 400 rounds, after which nothing more is
/// started. Returns all actions.
fn run_attempts(
    bench: &mut Bench,
    mut actions: Vec<Action>,
    outcome: impl Fn(Attempt, &str) -> Outcome,
) -> Vec<Action> {
    let mut all = actions.clone();
    for _ in 0..400 {
        let mut next = Vec::new();
        for (attempt, worker) in starts(&actions) {
            next.extend(bench.ended(attempt, &worker, outcome(attempt, &worker)));
        }
        next.extend(bench.wait(10));
        all.extend(next.clone());
        actions = next;
    }
    all
}

fn kind(id: u128) -> Request {
    let kinds = ["audit", "sweep", "plan"];
    Request {
        kind: kinds[(id % 3) as usize].into(),
        ..request(id, "a", cores(1))
    }
}

fn bad_first_worker(_: Attempt, worker: &str) -> Outcome {
    if worker == "w0" {
        Outcome::Failed
    } else {
        Outcome::Done
    }
}

#[test]
fn bad_worker_quarantined() {
    let mut bench = Bench::ready(3, machine());
    let mut failed = 0;
    let mut seen = Vec::new();
    for id in 0..60 {
        let actions = bench.submit(kind(id));
        let all = run_attempts(&mut bench, actions, bad_first_worker);
        failed += starts(&all)
            .iter()
            .filter(|(_, worker)| worker == "w0")
            .count();
        for (_, verdict) in answers(&all) {
            assert!(
                matches!(
                    verdict,
                    Verdict::Ran {
                        outcome: Outcome::Done,
                        ..
                    }
                ),
                "{verdict:?}"
            );
        }
        seen.extend(probes(&all));
    }
    assert!(failed <= 6, "{failed} started on the bad worker");
    assert!(seen.contains(&"w0".to_owned()));
    assert!(!seen.contains(&"w1".to_owned()));
}

#[test]
fn bad_kind_quarantines_no_worker() {
    let mut bench = Bench::ready(3, machine());
    for id in 0..60 {
        let request = Request {
            kind: "broken".into(),
            ..request(id, "a", cores(1))
        };
        let actions = bench.submit(request);
        let all = run_attempts(&mut bench, actions, |_, _| Outcome::Failed);
        assert_eq!(answers(&all).len(), 1);
        let workers = bench.cell.dump().workers;
        assert!(
            workers
                .iter()
                .all(|worker| worker.circuit == Circuit::Closed)
        );
        for worker in probes(&all) {
            bench.send(Event::Probed {
                worker: worker.as_str().into(),
                healthy: true,
            });
        }
    }
}

#[test]
fn lone_worker_probed() {
    let mut bench = Bench::ready(1, machine());
    let mut probed = Vec::new();
    for id in 0..6 {
        let request = Request {
            idempotent: false,
            ..request(id, "a", cores(1))
        };
        bench.submit(request);
        probed.extend(probes(&bench.ended(attempt(id, 1), "w0", Outcome::Failed)));
    }
    assert_eq!(probed, ["w0"]);
    assert!(bench.cell.dump().workers[0].open);
    let worker = "w0".into();
    bench.send(Event::Probed {
        worker,
        healthy: false,
    });
    assert!(!bench.cell.dump().workers[0].open);
}

#[test]
fn probes_back_off() {
    let mut bench = Bench::ready(2, machine());
    for id in 0..30 {
        let actions = bench.submit(kind(id));
        run_attempts(&mut bench, actions, bad_first_worker);
    }
    let mut probed = Vec::new();
    for second in 0..600 {
        for worker in probes(&bench.wait(1_000)) {
            probed.push(second);
            bench.send(Event::Probed {
                worker: worker.as_str().into(),
                healthy: false,
            });
        }
    }
    assert!((3..=14).contains(&probed.len()), "{probed:?}");
    assert!(
        starts(&bench.submit(kind(90)))
            .iter()
            .all(|(_, worker)| worker == "w1")
    );
}

#[test]
fn trial_runs_one_at_a_time() {
    let mut bench = Bench::ready(2, machine());
    for id in 0..30 {
        let actions = bench.submit(kind(id));
        run_attempts(&mut bench, actions, bad_first_worker);
    }
    bench.replenish();
    let other = Size {
        slots: 8,
        ..cores(32)
    };
    assert_eq!(starts(&bench.submit(request(50, "a", other)))[0].1, "w1");
    for id in 60..64 {
        assert!(starts(&bench.submit(kind(id))).is_empty());
    }
    let healthy = bench.send(Event::Probed {
        worker: "w0".into(),
        healthy: true,
    });
    assert_eq!(starts(&healthy).len(), 1);
    let done = bench.ended(starts(&healthy)[0].0, "w0", Outcome::Done);
    assert_eq!(starts(&done).len(), 3);
}

#[test]
fn broken_refusal_counts_as_failure() {
    let mut bench = Bench::ready(2, machine());
    let mut refused = 0;
    for id in 0..20 {
        let mut actions = bench.submit(kind(id));
        for _ in 0..100 {
            for (attempt, worker) in starts(&actions) {
                if worker == "w0" {
                    refused += 1;
                    bench.refused(attempt, &worker, Refusal::Broken);
                } else {
                    bench.ended(attempt, &worker, Outcome::Done);
                }
            }
            actions = bench.wait(20);
        }
    }
    assert!((1..=4).contains(&refused), "{refused}");
}

#[test]
fn retry_budget_exhausted() {
    let mut bench = Bench::ready(2, machine());
    let mut started = 0;
    let mut answered = Vec::new();
    for id in 0..200 {
        let mut actions = bench.submit(request(id, "a", cores(1)));
        for _ in 0..20 {
            for (attempt, worker) in starts(&actions) {
                started += 1;
                let refused = bench.refused(attempt, &worker, Refusal::NoRoom);
                answered.extend(answers(&refused));
                bench.claimed(&worker, 1);
            }
            actions = bench.wait(1);
        }
    }
    assert!(started < 300, "{started}");
    assert!(answered.contains(&(199, not_run(Reason::Refused))));
}
