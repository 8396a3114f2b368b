//! Capacity that was reserved for a step which can't start any more.

#[path = "support/batch/bench.rs"]
mod bench;

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::advice::Question;
use azurepath_decide::batch::config::{Account, AdviceTiming, Config, Queue};
use azurepath_decide::batch::report::{End, Outcome};
use azurepath_decide::batch::spec::Spec;
use azurepath_decide::batch::{Action, Attempt, JobId, StartOutcome};
use azurepath_decide::name::Name;
use bench::{Bench, JOB, account, approve, gang, queue, single};

/// The account of the step that holds the reservation.
const TEAM: &str = "team";

/// The queue of the other jobs, which need no advice.
const OTHER: &str = "other";

/// A job that fills the worker until the tickets of the step have expired.
const FILLING_JOB: JobId = JobId(98);

/// A job that comes later.
const LATER_JOB: JobId = JobId(99);

/// How long tickets are valid.
const VALIDITY: Duration = Duration::from_millis(500);

/// The steps of 10 ms after which the tickets have expired.
const STEPS_UNTIL_EXPIRED: usize = 100;

/// The steps of 10 ms in which the later job has to start: 3 s.
const STEPS: usize = 300;

fn advised_queue() -> Queue {
    Queue {
        advice: Some(AdviceTiming {
            base: Duration::from_millis(10),
            per_worker: Duration::from_millis(1),
            validity: VALIDITY,
        }),
        ..queue()
    }
}

fn other_queue() -> Queue {
    Queue {
        name: Name::from(OTHER),
        prefix: Name::from("/other/"),
        ..queue()
    }
}

/// Returns a job with tasks of half of the worker.
fn halves(is_gang: bool) -> Spec {
    let mut spec = gang(2, 4_000);
    spec.steps[0].gang = is_gang;
    spec
}

fn start_of(actions: &[Action], job: JobId) -> Option<Attempt> {
    actions.iter().find_map(|action| match action {
        Action::Start { attempt, .. } if attempt.task.step.job == job => Some(*attempt),
        _ => None,
    })
}

fn question(actions: &[Action]) -> Option<Question> {
    actions.iter().find_map(|action| match action {
        Action::Ask(question) => Some(question.clone()),
        _ => None,
    })
}

fn submit_other(bench: &mut Bench, job: JobId, spec: Spec) {
    let other = Name::from(OTHER);
    bench.scheduler.submit(job.0, job, &other, None, spec);
    bench.store();
}

/// A step for which the whole worker is reserved while its question is open.
fn reserved(spec: Spec) -> Bench {
    let queues = vec![advised_queue(), other_queue()];
    let mut bench = Bench::with(queues, vec![account(TEAM, 8_000)]);
    let mut filling = single();
    filling.steps[0].size.millicores = 8_000;
    submit_other(&mut bench, FILLING_JOB, filling);
    let attempt = start_of(&bench.advance(), FILLING_JOB).expect("the worker is free");
    let running = StartOutcome::Running;
    bench.scheduler.handle_start(0, attempt, running, 0);
    let (checks, team) = (Name::from("checks"), Some(Name::from(TEAM)));
    bench.scheduler.submit(1, JOB, &checks, team, spec);
    bench.store();
    for _ in 0..STEPS_UNTIL_EXPIRED {
        if let Some(question) = question(&bench.advance()) {
            approve(&mut bench.scheduler, &question);
        }
    }
    while question(&bench.advance()).is_some() {}
    bench.report(vec![End {
        number: 1,
        attempt,
        outcome: Outcome::Done,
        checkpoint: None,
    }]);
    bench.store();
    let asked = (0..STEPS).any(|_| question(&bench.advance()).is_some());
    assert!(asked, "the step asks for new tickets");
    bench
}

/// Applies a configuration, and asserts that a job of another account starts.
fn assert_released(mut bench: Bench, queues: Vec<Queue>, accounts: Vec<Account>) {
    let config = Config {
        version: 2,
        queues,
        accounts,
    };
    bench.scheduler.configure(Arc::new(config));
    submit_other(&mut bench, LATER_JOB, single());
    let starts = (0..STEPS).any(|_| start_of(&bench.advance(), LATER_JOB).is_some());
    assert!(starts);
}

#[test]
fn limit_lowered_for_gang() {
    let queues = vec![advised_queue(), other_queue()];
    assert_released(reserved(halves(true)), queues, vec![account(TEAM, 2_000)]);
}

#[test]
fn limit_lowered_for_tasks() {
    let queues = vec![advised_queue(), other_queue()];
    assert_released(reserved(halves(false)), queues, vec![account(TEAM, 2_000)]);
}

#[test]
fn queue_removed() {
    for is_gang in [true, false] {
        let bench = reserved(halves(is_gang));
        assert_released(bench, vec![other_queue()], vec![account(TEAM, 8_000)]);
    }
}
