//! Steps that can't be placed hold back no later step of their queue for good.

#[path = "support/batch/bench.rs"]
mod bench;

use std::time::Duration;

use azurepath_decide::batch::config::{Account, Queue};
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::report::{End, Outcome};
use azurepath_decide::batch::spec::{Purpose, Spec};
use azurepath_decide::batch::{Action, Attempt, JobId, StartOutcome};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use bench::{Bench, JOB, advised, approve, entry, gang, numbered, queue, single};

/// How many steps wait that can't be placed, more than a pass visits.
const WAITING: u64 = 40;

/// Within this time a step is started for which there is room.
const START_MS: u64 = 3_000;

/// The client account of all jobs.
const TEAM: &str = "team";

/// An account with a limit of two workers.
fn account() -> Account {
    Account {
        name: Name::from(TEAM),
        keys: Vec::new(),
        weight: 0.0,
        limit: entry().capacity.times(2),
    }
}

fn of_size(millicores: u64) -> Spec {
    let mut spec = single();
    spec.steps[0].size.millicores = millicores;
    spec
}

fn labelled(mut spec: Spec) -> Spec {
    spec.steps[0].label = Some(Name::from("lost"));
    spec
}

fn submit(bench: &mut Bench, id: JobId, spec: Spec) {
    let (checks, team) = (Name::from("checks"), Some(Name::from(TEAM)));
    bench.scheduler.submit(1, id, &checks, team, spec);
    bench.store();
}

/// Advances the scheduler by a number of milliseconds: confirms its orders, and answers its questions
/// with tickets for all workers. Returns the attempts that were started.
fn advance(bench: &mut Bench, millis: u64) -> Vec<Attempt> {
    let mut started = Vec::new();
    let end = bench.clock_ms() + millis;
    while bench.clock_ms() < end {
        for action in bench.advance() {
            match action {
                Action::Start {
                    worker, attempt, ..
                } => {
                    let running = StartOutcome::Running;
                    bench.scheduler.handle_start(worker, attempt, running, 0);
                    started.push(attempt);
                }
                Action::Ask(question) => {
                    approve(&mut bench.scheduler, &question);
                }
                _ => {}
            }
        }
    }
    started
}

/// Fills the worker with two tasks, submits `waiting` and then a small job, ends one of the two tasks,
/// and expects that the small job starts.
fn expect_start_behind(queue: Queue, waiting: &Spec) {
    let mut bench = Bench::with(vec![queue], vec![account()]);
    let first = [JobId(1), JobId(2)];
    for id in first {
        submit(&mut bench, id, of_size(4_000));
    }
    let fillers = advance(&mut bench, 200);
    assert_eq!(fillers.len(), 2, "the worker is full");
    for id in 0..WAITING {
        submit(&mut bench, JobId(100 + id), waiting.clone());
    }
    advance(&mut bench, 200);
    submit(&mut bench, JOB, single());
    advance(&mut bench, 200);
    bench.report(vec![End {
        number: 1,
        attempt: fillers[0],
        outcome: Outcome::Done,
        checkpoint: None,
    }]);
    bench.store();
    let started = advance(&mut bench, START_MS);
    assert!(
        started.iter().any(|attempt| attempt.task.step.job == JOB),
        "the small job is not started although half of the worker is free"
    );
}

/// A queue whose jobs may wait for so long that none is refused.
fn patient_queue() -> Queue {
    Queue {
        objective: Duration::from_secs(3_600),
        ..queue()
    }
}

#[test]
fn lost_kind_holds_back_queue() {
    let mut lasting = labelled(single());
    lasting.steps[0].purpose = Purpose::Serve;
    expect_start_behind(patient_queue(), &lasting);
    expect_start_behind(advised(patient_queue()), &lasting);
}

#[test]
fn too_large_tasks_hold_back_queue() {
    expect_start_behind(patient_queue(), &of_size(9_000));
    expect_start_behind(advised(patient_queue()), &of_size(9_000));
}

#[test]
fn tasks_that_need_more_room_hold_back_queue() {
    expect_start_behind(patient_queue(), &of_size(6_000));
    expect_start_behind(advised(patient_queue()), &of_size(6_000));
}

/// Each of the gangs needs the whole limit of the account.
#[test]
fn gangs_of_lost_kind_hold_back_account() {
    let wide = labelled(gang(2, 8_000));
    expect_start_behind(patient_queue(), &wide);
    expect_start_behind(advised(patient_queue()), &wide);
}

#[test]
fn too_wide_gangs_hold_back_account() {
    let wide = gang(2, 8_000);
    assert!(wide.steps[0].size.times(2).fits(&account().limit));
    expect_start_behind(patient_queue(), &wide);
    expect_start_behind(advised(patient_queue()), &wide);
}

/// A step that nothing could run is placed as soon as a worker that can run it has joined.
#[test]
fn step_of_lost_kind_starts_on_new_worker() {
    let mut bench = Bench::with(vec![queue()], vec![account()]);
    submit(&mut bench, JOB, of_size(9_000));
    assert!(advance(&mut bench, 500).is_empty());
    let mut large = bench::numbered(1);
    large.capacity = Size {
        millicores: 16_000,
        ..large.capacity
    };
    bench.scheduler.update_registry(vec![entry(), large]);
    bench.store();
    bench.report_idle(1);
    assert_eq!(advance(&mut bench, 200).len(), 1);
}

#[test]
fn jobs_of_lost_kind_refuse_others() {
    let mut bench = Bench::with(vec![queue()], vec![account()]);
    for id in 0..WAITING {
        submit(&mut bench, JobId(100 + id), labelled(single()));
    }
    advance(&mut bench, 200);
    submit(&mut bench, JOB, single());
    assert_eq!(advance(&mut bench, 200).len(), 1, "the worker is empty");
}

/// The workers of a fleet of which few are of the gang's kind.
const FLEET: usize = 12;

/// A queue of lower priority.
const LOWER: &str = "lower";

/// A job that could use the workers that a gang waits for.
const LATER: JobId = JobId(500);

/// Submits a gang that lacks a worker of its kind, although the two that there are have room for it
/// together. Returns whether a job of lower priority starts on them.
fn starts_beside(mut gang: Spec) -> bool {
    // It is not late while the test runs.
    gang.steps[0].estimate = Duration::from_secs(60);
    let lower = Queue {
        name: Name::from(LOWER),
        priority: 1,
        ..queue()
    };
    let mut bench = Bench::with(vec![advised(queue()), lower], vec![account()]);
    let labels = |number: usize| match number {
        0 | 1 => vec![Name::from("lost")],
        _ => Vec::new(),
    };
    let worker = |number| Entry {
        labels: labels(number),
        ..numbered(number)
    };
    let workers = (0..FLEET).map(worker).collect();
    bench.scheduler.update_registry(workers);
    bench.store();
    (0..=FLEET).for_each(|worker| bench.report_idle(worker));
    submit(&mut bench, JOB, labelled(gang));
    advance(&mut bench, 100);
    let lower = Name::from(LOWER);
    let later = labelled(of_size(8_000));
    bench.scheduler.submit(2, LATER, &lower, None, later);
    bench.store();
    let started = advance(&mut bench, START_MS);
    started.iter().any(|attempt| attempt.task.step.job == LATER)
}

#[test]
fn gang_spread_over_missing_worker() {
    let mut spread = gang(3, 1_000);
    spread.steps[0].most_on_worker = Some(1);
    assert!(starts_beside(spread));
}

#[test]
fn gang_of_large_tasks_lacks_worker() {
    // Two workers of eight cores have enough for three such tasks together, and room for one each.
    assert!(starts_beside(gang(3, 5_000)));
}
