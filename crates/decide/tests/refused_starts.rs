//! Jobs whose orders to start are refused have not begun.

#[path = "support/batch/bench.rs"]
mod bench;

use azurepath_decide::batch::report::{Report, Running};
use azurepath_decide::batch::{Action, Attempt, Refusal, StartOutcome, State};
use bench::{Bench, JOB, single};

/// Advances the scheduler until it orders the task to start.
fn next_start(bench: &mut Bench) -> Attempt {
    let start = |bench: &mut Bench| {
        bench.advance().into_iter().find_map(|action| match action {
            Action::Start { attempt, .. } => Some(attempt),
            _ => None,
        })
    };
    (0..500)
        .find_map(|_| start(bench))
        .expect("the task is ordered to start")
}

fn shown(bench: &Bench) -> (Option<State>, u64) {
    let scheduler = &bench.scheduler;
    (scheduler.state(JOB), scheduler.pending("checks"))
}

#[test]
fn refused_job_counts_as_begun() {
    let mut bench = Bench::new();
    bench.submit(single());
    for refusal in [
        Refusal::Unhealthy,
        Refusal::NoRoom,
        Refusal::Late,
        Refusal::Unreachable,
    ] {
        let attempt = next_start(&mut bench);
        assert_eq!(shown(&bench), (Some(State::Queued), 1));
        let refused = StartOutcome::Refused(refusal);
        bench.scheduler.handle_start(0, attempt, refused, 0);
        assert_eq!(shown(&bench), (Some(State::Queued), 1), "{refusal}");
        bench.report_idle(0);
    }
    let attempt = next_start(&mut bench);
    let running = StartOutcome::Running;
    bench.scheduler.handle_start(0, attempt, running, 0);
    assert_eq!(shown(&bench), (Some(State::Running), 0));
}

#[test]
fn unanswered_job_that_runs_counts_as_waiting() {
    let mut bench = Bench::new();
    bench.submit(single());
    let attempt = next_start(&mut bench);
    let expires_ms = bench.clock_ms() + 1_500;
    let lost = StartOutcome::Lost;
    bench.scheduler.handle_start(0, attempt, lost, expires_ms);
    let running = Running {
        attempt,
        checkpoint: None,
        progress: 0.0,
    };
    let report = Report {
        clock_ms: bench.clock_ms(),
        born_ms: 1,
        running: vec![running],
        ended: Vec::new(),
    };
    bench.scheduler.report(0, &report);
    assert_eq!(shown(&bench), (Some(State::Running), 0));
}
