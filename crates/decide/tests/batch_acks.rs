//! The end of an attempt is acknowledged to its worker only once the effect is stored.

#[path = "support/batch/bench.rs"]
mod bench;

use std::time::Duration;

use azurepath_decide::batch::record::{Fit, Record, Stored, Submission};
use azurepath_decide::batch::report::{End, Outcome, Report};
use azurepath_decide::batch::{Action, Answer, Attempt, State};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use bench::{Bench, JOB, numbered, single, successor};

/// How long after a takeover tasks may run on workers that have not reported.
const GRACE: Duration = Duration::from_secs(8);

fn end(attempt: Attempt, outcome: Outcome) -> End {
    End {
        number: 1,
        attempt,
        outcome,
        checkpoint: None,
    }
}

#[test]
fn done() {
    let mut bench = Bench::new();
    let attempt = bench.start();
    bench.report(vec![end(attempt, Outcome::Done)]);
    assert_eq!(bench.acknowledged(), 0);
    // The final state is not shown before either, since a successor could run the job again.
    assert_eq!(bench.scheduler.state(JOB), Some(State::Running));
    bench.store();
    assert_eq!(bench.acknowledged(), 1);
    assert_eq!(bench.scheduler.state(JOB), Some(State::Completed));
}

#[test]
fn failed() {
    let mut bench = Bench::new();
    let attempt = bench.start();
    bench.report(vec![end(attempt, Outcome::Failed)]);
    assert_eq!(bench.acknowledged(), 0);
    bench.store();
    assert_eq!(bench.acknowledged(), 1);
    assert_eq!(bench.scheduler.state(JOB), Some(State::Failed));
}

#[test]
fn cancelled() {
    let mut bench = Bench::new();
    let attempt = bench.start();
    bench.scheduler.cancel(2, JOB);
    // The cancellation is not stored yet: if the end were acknowledged now, a successor would run
    // the task again.
    assert!(bench.scheduler.next_batch(|_| Fit::Taken));
    bench.report(vec![end(attempt, Outcome::Done)]);
    assert_eq!(bench.acknowledged(), 0);
    bench.scheduler.batch_stored();
    bench.store();
    let answered = Action::Answer {
        call: 2,
        answer: Answer::Cancelled,
    };
    let actions = bench.advance();
    assert!(actions.contains(&answered));
    let acknowledged = Action::Acknowledge {
        worker: 0,
        number: 1,
    };
    assert!(actions.contains(&acknowledged));
}

/// A failure that comes once the task runs again counts, so it must not be forgotten before it is stored.
#[test]
fn late_failure_is_lost() {
    let submission = Submission {
        queue: Name::from("checks"),
        account: None,
        accepted_ms: 0,
        spec: single(),
    };
    let stored = Stored {
        jobs: vec![(JOB, Record::Open(submission))],
        blocks: Vec::new(),
        roster: vec![numbered(0), numbered(1)],
    };
    let mut scheduler = successor(Time::from_millis(1_000), GRACE, Vec::new(), stored);
    scheduler.update_registry(vec![numbered(0), numbered(1)]);
    let report = |ended: Vec<End>| Report {
        clock_ms: 1_000,
        born_ms: 1,
        running: Vec::new(),
        ended,
    };
    scheduler.report(0, &report(Vec::new()));
    let after = Time::from_millis(1_010).after(GRACE);
    scheduler.confirm(after);
    let mut actions = Vec::new();
    scheduler.advance(after, &mut actions);
    let start = actions.iter().find_map(|action| match action {
        Action::Start { attempt, .. } => Some(*attempt),
        _ => None,
    });
    let mut attempt = start.expect("the task starts on the other worker");
    attempt.run = 5;
    scheduler.report(1, &report(vec![end(attempt, Outcome::Failed)]));
    actions.clear();
    scheduler.advance(after.after(GRACE), &mut actions);
    let acknowledged = |number| Action::Acknowledge { worker: 1, number };
    assert!(!actions.contains(&acknowledged(1)));
    while scheduler.next_batch(|_| Fit::Taken) {
        scheduler.batch_stored();
    }
    scheduler.advance(after.after(GRACE), &mut actions);
    assert!(actions.contains(&acknowledged(1)));
}
