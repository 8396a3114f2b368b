//! A wide gang is not starved of its account's limit by a stream of smaller jobs.

#[path = "support/batch/bench.rs"]
mod bench;

use azurepath_decide::batch::config::{Account, Queue};
use azurepath_decide::batch::report::{End, Outcome};
use azurepath_decide::batch::{Action, Attempt, JobId, StartOutcome};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use bench::{Bench, JOB, gang, queue, single};

/// Simulates 100 rounds with one small job submitted in each, and the gang in round 10. Returns
/// whether the gang has started.
fn gang_starts() -> bool {
    let account = Account {
        name: Name::from("team"),
        keys: Vec::new(),
        weight: 0.0,
        limit: Size {
            millicores: 4_000,
            ..Size::MAX
        },
    };
    let small = Queue {
        name: Name::from("small"),
        priority: 1,
        ..queue()
    };
    let mut bench = Bench::with(vec![queue(), small], vec![account]);
    let team = || Some(Name::from("team"));
    let mut running: Vec<Attempt> = Vec::new();
    let mut ends = 0;
    let mut gang_has_started = false;
    for round in 0..100 {
        let id = JobId(100 + round);
        let small = Name::from("small");
        bench.scheduler.submit(1, id, &small, team(), single());
        if round == 10 {
            // The gang needs four cores at once, which is the account's whole limit.
            let wide = gang(4, 1_000);
            let checks = Name::from("checks");
            bench.scheduler.submit(1, JOB, &checks, team(), wide);
        }
        bench.store();
        let mut actions = bench.advance();
        actions.extend(bench.advance());
        for action in actions {
            if let Action::Start { attempt, .. } = action {
                bench
                    .scheduler
                    .handle_start(0, attempt, StartOutcome::Running, 0);
                gang_has_started |= attempt.task.step.job == JOB;
                running.push(attempt);
            }
        }
        // From round 20 on the limit is used up, and one task ends in each round.
        if round >= 20 && !running.is_empty() {
            ends += 1;
            let end = End {
                number: ends,
                attempt: running.remove(0),
                outcome: Outcome::Done,
                checkpoint: None,
            };
            bench.report(vec![end]);
        }
    }
    gang_has_started
}

#[test]
fn whole_limit() {
    assert!(gang_starts());
}
