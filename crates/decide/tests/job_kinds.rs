//! Scheduled jobs, jobs that run until they are cancelled, and filler jobs on unused capacity.

#[path = "support/batch/bench.rs"]
mod bench;

use std::time::Duration;

use azurepath_decide::batch::config::Account;
use azurepath_decide::batch::record::{Record, Stored, Submission};
use azurepath_decide::batch::report::{End, Outcome};
use azurepath_decide::batch::spec::{Purpose, Schedule, Spec};
use azurepath_decide::batch::{Action, Answer, Attempt, JobId, StartOutcome, State, TaskId};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use bench::{Bench, JOB, entry, single, successor};

/// Advances the scheduler by a number of steps and confirms its start orders; returns the started
/// attempts.
fn advance(bench: &mut Bench, steps: u64) -> Vec<Attempt> {
    let mut started = Vec::new();
    for _ in 0..steps {
        for action in bench.advance() {
            if let Action::Start { attempt, .. } = action {
                bench
                    .scheduler
                    .handle_start(0, attempt, StartOutcome::Running, 0);
                started.push(attempt);
            }
        }
    }
    started
}

fn end(number: u64, attempt: Attempt, outcome: Outcome) -> End {
    End {
        number,
        attempt,
        outcome,
        checkpoint: None,
    }
}

fn spec(purpose: Purpose, count: u32, millicores: u64) -> Spec {
    let mut spec = single();
    spec.steps[0].purpose = purpose;
    spec.steps[0].count = count;
    spec.steps[0].size.millicores = millicores;
    spec
}

/// Returns a job whose only step runs twice, half a second apart.
fn repeating() -> Spec {
    Spec {
        schedule: Some(Schedule {
            occurrences: 2,
            first_ms: 2_000,
            interval: Duration::from_millis(500),
        }),
        ..single()
    }
}

#[test]
fn occurrences() {
    let mut bench = Bench::new();
    // The clock is at 1 s when the job is submitted and advances by 10 ms with each step.
    bench.submit(repeating());
    assert!(
        advance(&mut bench, 95).is_empty(),
        "the job started before its time"
    );
    let first = advance(&mut bench, 20);
    let names: Vec<String> = first.iter().map(|run| run.task.to_string()).collect();
    assert_eq!(names, [format!("{JOB}.0.0.0")]);
    bench.report(vec![end(1, first[0], Outcome::Done)]);
    bench.store();
    assert_eq!(bench.scheduler.state(JOB), Some(State::Running));

    let second = advance(&mut bench, 60);
    let names: Vec<String> = second.iter().map(|run| run.task.to_string()).collect();
    assert_eq!(names, [format!("{JOB}.1.0.0")]);
    assert_eq!(names[0].parse::<TaskId>(), Ok(second[0].task));
    bench.report(vec![end(2, second[0], Outcome::Done)]);
    bench.store();
    assert_eq!(bench.scheduler.state(JOB), Some(State::Completed));
}

#[test]
fn serving() {
    let mut bench = Bench::new();
    bench.submit(spec(Purpose::Serve, 1, 1_000));
    let mut number = 0;
    // A service starts again after each end, also after more failures than the queue has attempts.
    for outcome in [
        Outcome::Failed,
        Outcome::Done,
        Outcome::Failed,
        Outcome::Lapsed,
        Outcome::Failed,
    ] {
        let started = advance(&mut bench, 20);
        assert_eq!(started.len(), 1, "after {number} ends");
        number += 1;
        bench.report(vec![end(number, started[0], outcome)]);
        bench.store();
        assert_eq!(bench.scheduler.state(JOB), Some(State::Running));
    }
    let started = advance(&mut bench, 20);
    bench.scheduler.cancel(9, JOB);
    bench.store();
    let actions = bench.advance();
    let answer = Action::Answer {
        call: 9,
        answer: Answer::Cancelled,
    };
    assert!(actions.contains(&answer));
    let stops =
        |action: &Action| matches!(action, Action::Stop { attempt, .. } if *attempt == started[0]);
    assert!(actions.iter().any(stops));
    assert!(advance(&mut bench, 20).is_empty());
}

#[test]
fn filling() {
    let mut bench = Bench::new();
    // The worker has 8 cores; filler tasks book none of them.
    bench.submit(spec(Purpose::Fill, 3, 6_000));
    assert_eq!(advance(&mut bench, 20).len(), 3);
    // A service task is not placed next to filler tasks.
    let serving = spec(Purpose::Serve, 1, 1_000);
    let queue = Name::from("checks");
    bench.scheduler.submit(2, JobId(8), &queue, None, serving);
    bench.store();
    assert!(advance(&mut bench, 60).is_empty());
    // Ordinary work is.
    bench.scheduler.submit(3, JobId(9), &queue, None, single());
    bench.store();
    assert_eq!(advance(&mut bench, 20).len(), 1);
}

#[test]
fn stored_repeating_job_ends_each_leader() {
    let account = Name::from("team");
    let record = Record::Open(Submission {
        queue: Name::from("checks"),
        account: Some(account.clone()),
        accepted_ms: 0,
        spec: repeating(),
    });
    let stored = Stored {
        jobs: vec![(JOB, record)],
        blocks: Vec::new(),
        roster: vec![entry()],
    };
    let limit = Account {
        name: account,
        keys: Vec::new(),
        weight: 0.0,
        limit: entry().capacity,
    };
    let now = Time::from_millis(3_000);
    let scheduler = successor(now, Duration::from_secs(8), vec![limit], stored);
    assert_eq!(scheduler.state(JOB), Some(State::Queued));
}

#[test]
fn cancelled_repeating_job_ends_leader() {
    let mut bench = Bench::new();
    bench.submit(repeating());
    bench.scheduler.cancel(2, JOB);
    bench.store();
    assert_eq!(bench.scheduler.state(JOB), Some(State::Cancelled));
}

#[test]
fn failed_repeating_job_ends_leader() {
    let mut bench = Bench::new();
    bench.submit(repeating());
    let first = advance(&mut bench, 120);
    bench.report(vec![end(1, first[0], Outcome::Failed)]);
    bench.store();
    assert_eq!(bench.scheduler.state(JOB), Some(State::Failed));
}

#[test]
fn endless_estimate_ends_leader() {
    let mut bench = Bench::new();
    let mut spec = single();
    spec.steps[0].estimate = Duration::MAX;
    spec.steps.push(spec.steps[0].clone());
    spec.steps[1].after = vec![0];
    bench.submit(spec.clone());
    for id in 100..120 {
        let queue = Name::from("checks");
        bench
            .scheduler
            .submit(1, JobId(id), &queue, None, spec.clone());
    }
    bench.store();
    assert_eq!(advance(&mut bench, 20).len(), 8);
}
