//! A wide gang gets its account's limit in the end, though smaller jobs keep coming.

#[path = "support/batch/bench.rs"]
mod bench;

use azurepath_decide::batch::config::{Account, Queue};
use azurepath_decide::batch::report::{End, How};
use azurepath_decide::batch::{Action, Attempt, JobId, Started};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use bench::{Bench, JOB, gang, queue, single};

/// Plays a load in which a small task comes for each one that ends, for 100 rounds; returns whether
/// the gang has started.
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
            // Four cores at once: all that the account may have.
            let wide = gang(4, 1_000);
            let checks = Name::from("checks");
            bench.scheduler.submit(1, JOB, &checks, team(), wide);
        }
        bench.store();
        let mut drained = bench.advance();
        drained.extend(bench.advance());
        for action in drained {
            if let Action::Start { attempt, .. } = action {
                bench
                    .scheduler
                    .handle_start(0, attempt, Started::Running, 0);
                gang_has_started |= attempt.task.step.job == JOB;
                running.push(attempt);
            }
        }
        // From the time when the limit is used up, one task ends in each round.
        if round >= 20 && !running.is_empty() {
            ends += 1;
            let end = End {
                number: ends,
                attempt: running.remove(0),
                how: How::Done,
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
