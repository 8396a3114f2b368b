//! Wide gangs and small jobs of one account share its limit: neither starves the other.

#[path = "support/batch/bench.rs"]
mod bench;

use std::time::Duration;

use azurepath_decide::batch::config::{AdviceTiming, Queue};
use azurepath_decide::batch::report::{End, Outcome};
use azurepath_decide::batch::{Action, Attempt, JobId, StartOutcome};
use azurepath_decide::name::Name;
use bench::{Bench, JOB, account, gang, queue, single};

/// The account of all jobs.
const TEAM: &str = "team";

/// The queue of small jobs, whose tasks come after gangs.
const SMALL: &str = "small";

/// The id of the small job that comes after gangs.
const SMALL_JOB: JobId = JobId(900);

/// Idle workers of eight cores each, more than the account may use.
const WORKERS: usize = 10;

/// The steps of 10 ms in which a small job has to start behind gangs: 3 s.
const STEPS: usize = 300;

fn small_queue() -> Queue {
    Queue {
        name: Name::from(SMALL),
        priority: 1,
        // Long enough that no small job is refused because of the gangs that wait before it.
        objective: Duration::from_secs(20),
        ..queue()
    }
}

fn submit_gang(bench: &mut Bench, id: JobId) {
    let (checks, team) = (Name::from("checks"), Some(Name::from(TEAM)));
    bench.scheduler.submit(1, id, &checks, team, gang(4, 1_000));
}

fn submit_small(bench: &mut Bench, id: JobId) {
    let (small, team) = (Name::from(SMALL), Some(Name::from(TEAM)));
    bench.scheduler.submit(1, id, &small, team, single());
}

/// Simulates 100 rounds with one small job submitted in each, and the gang in round 10. Returns
/// whether the gang has started.
fn gang_starts() -> bool {
    let mut bench = Bench::with(vec![queue(), small_queue()], vec![account(TEAM, 4_000)]);
    let mut running: Vec<Attempt> = Vec::new();
    let mut ends = 0;
    let mut gang_has_started = false;
    for round in 0..100 {
        submit_small(&mut bench, JobId(100 + round));
        if round == 10 {
            // The gang needs four cores at once, which is the account's whole limit.
            submit_gang(&mut bench, JOB);
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

/// Tells whether a small job starts within 3 s behind gangs of four cores each that wait for advice,
/// in an account with a limit of 16 cores.
fn small_job_starts(gangs: u64) -> bool {
    let advised = Queue {
        advice: Some(AdviceTiming {
            base: Duration::from_millis(540),
            per_worker: Duration::from_millis(8),
            validity: Duration::from_secs(2),
        }),
        ..queue()
    };
    let mut bench = Bench::with(vec![advised, small_queue()], vec![account(TEAM, 16_000)]);
    bench.scheduler.set_advice_instances(2);
    bench.register(WORKERS);
    for number in 0..gangs {
        submit_gang(&mut bench, JobId(100 + number));
    }
    submit_small(&mut bench, SMALL_JOB);
    bench.store();
    let is_small = |action: &Action| matches!(action, Action::Start { attempt, .. } if attempt.task.step.job == SMALL_JOB);
    (0..STEPS).any(|_| bench.advance().iter().any(is_small))
}

#[test]
fn whole_limit() {
    assert!(gang_starts());
}

#[test]
fn small_job_behind_one_gang() {
    assert!(small_job_starts(1));
}

/// The gangs need twice the limit together.
#[test]
fn small_job_behind_many_gangs() {
    assert!(small_job_starts(8));
}
