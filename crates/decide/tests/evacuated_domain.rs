//! Nothing is started on the workers of an evacuated failure domain, and what runs there continues.

#[path = "support/batch/bench.rs"]
mod bench;

use std::collections::BTreeSet;
use std::time::Duration;

use azurepath_decide::batch::advice::Question;
use azurepath_decide::batch::config::{AdviceTiming, Queue};
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::record::Stored;
use azurepath_decide::batch::report::{End, Outcome, Report};
use azurepath_decide::batch::spec::Spec;
use azurepath_decide::batch::{Action, Answer, Attempt, JobId, StartOutcome};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use bench::{Bench, approve, entry, gang, numbered, queue, single, starts, successor};

/// The evacuated failure domain.
const EVACUATED: &str = "b";

/// The workers 0 and 1 of the registry are in this domain.
const SOUND: &str = "a";

/// The indices of the workers of the evacuated domain. The first index is that of the bench's own
/// worker, which is no longer registered.
const EVACUATED_WORKERS: [usize; 2] = [3, 4];

/// The steps of 10 ms in which a task that can start does: 1 s.
const STEPS: usize = 100;

fn entries() -> Vec<Entry> {
    let worker = |number| Entry {
        failure_domain: Name::from(if number < 2 { SOUND } else { EVACUATED }),
        ..numbered(number)
    };
    (0..4).map(worker).collect()
}

fn domains(names: &[&str]) -> BTreeSet<Name> {
    names.iter().copied().map(Name::from).collect()
}

/// Four workers, two of them in each domain.
fn bench(queue: Queue) -> Bench {
    let mut bench = Bench::with_queue(queue);
    bench.scheduler.update_registry(entries());
    bench.store();
    for worker in 1..=entries().len() {
        bench.report_idle(worker);
    }
    bench
}

fn submit(bench: &mut Bench, number: u64, spec: Spec) {
    let checks = queue().name;
    bench
        .scheduler
        .submit(number, JobId(number), &checks, None, spec);
    bench.store();
}

/// Advances for a second and returns the starts. The workers carry them out.
fn run(bench: &mut Bench) -> Vec<(usize, Attempt)> {
    let mut all = Vec::new();
    for _ in 0..STEPS {
        for (worker, attempt) in starts(&bench.advance()) {
            let running = StartOutcome::Running;
            bench.scheduler.handle_start(worker, attempt, running, 0);
            all.push((worker, attempt));
        }
    }
    all
}

fn on_evacuated(starts: &[(usize, Attempt)]) -> usize {
    let on = |(worker, _): &&(usize, Attempt)| EVACUATED_WORKERS.contains(worker);
    starts.iter().filter(on).count()
}

/// Returns jobs that fill all four workers of eight cores.
fn fill(bench: &mut Bench) {
    for number in 0..32 {
        submit(bench, number, single());
    }
}

#[test]
fn evacuated_workers_get_tasks() {
    let mut bench = bench(queue());
    bench.scheduler.evacuate(&domains(&[EVACUATED]));
    fill(&mut bench);
    let during = run(&mut bench);
    assert_eq!((during.len(), on_evacuated(&during)), (16, 0));
    bench.scheduler.evacuate(&domains(&[]));
    let after = run(&mut bench);
    assert_eq!((after.len(), on_evacuated(&after)), (16, 16));
}

/// A worker that registers while its domain is evacuated.
#[test]
fn new_worker_gets_tasks() {
    let mut bench = Bench::new();
    bench.scheduler.evacuate(&domains(&[EVACUATED]));
    bench.scheduler.update_registry(entries());
    bench.store();
    for worker in 1..=entries().len() {
        bench.report_idle(worker);
    }
    fill(&mut bench);
    assert_eq!(on_evacuated(&run(&mut bench)), 0);
}

#[test]
fn evacuation_stops_running_tasks() {
    let mut bench = bench(queue());
    fill(&mut bench);
    let started = run(&mut bench);
    assert_eq!(on_evacuated(&started), 16);
    bench.scheduler.evacuate(&domains(&[EVACUATED]));
    let mut actions: Vec<Action> = (0..STEPS).flat_map(|_| bench.advance()).collect();
    // The end of a task there is processed as before.
    let ended = started
        .iter()
        .find(|(worker, _)| EVACUATED_WORKERS.contains(worker));
    let (worker, attempt) = *ended.expect("a task runs there");
    let report = Report {
        clock_ms: bench.clock_ms(),
        born_ms: entry().born_ms,
        ended: vec![End {
            number: 1,
            attempt,
            outcome: Outcome::Done,
            checkpoint: None,
        }],
        ..Report::default()
    };
    bench.scheduler.report(worker, &report);
    bench.store();
    actions.extend(bench.advance());
    let is_end = |action: &&Action| matches!(action, Action::Stop { .. } | Action::Detach { .. });
    // The bench's own worker has gone.
    let ends = actions.iter().filter(is_end).filter(
        |action| !matches!(action, Action::Detach { worker } if !EVACUATED_WORKERS.contains(worker)),
    );
    assert_eq!(ends.count(), 0);
    let acknowledged = |action: &Action| *action == Action::Acknowledge { worker, number: 1 };
    assert!(actions.iter().any(acknowledged));
}

/// An order from before the evacuation that is not answered.
#[test]
fn lost_order_is_repeated() {
    let mut bench = bench(queue());
    fill(&mut bench);
    let mut orders = Vec::new();
    for _ in 0..STEPS {
        orders.extend(starts(&bench.advance()));
    }
    assert_eq!(on_evacuated(&orders), 16);
    bench.scheduler.evacuate(&domains(&[EVACUATED]));
    let expires_ms = bench.clock_ms() + 1_500;
    for (worker, attempt) in orders {
        let lost = StartOutcome::Lost;
        bench
            .scheduler
            .handle_start(worker, attempt, lost, expires_ms);
    }
    let repeated = starts(&bench.advance());
    assert_eq!((repeated.len(), on_evacuated(&repeated)), (16, 0));
}

/// A queue whose tickets expire while its gang waits for capacity.
fn advised() -> Queue {
    Queue {
        advice: Some(AdviceTiming {
            base: Duration::from_millis(10),
            per_worker: Duration::from_millis(1),
            validity: Duration::from_millis(500),
        }),
        ..queue()
    }
}

fn questions(actions: &[Action]) -> Vec<Question> {
    let question = |action: &Action| match action {
        Action::Ask(question) => Some(question.clone()),
        _ => None,
    };
    actions.iter().filter_map(question).collect()
}

/// Advances until the gang asks the advice service.
fn asked(bench: &mut Bench) -> Vec<Question> {
    (0..STEPS)
        .map(|_| questions(&bench.advance()))
        .find(|asked| !asked.is_empty())
        .expect("the gang asks for advice")
}

/// Returns for how many tasks of the gang capacity is reserved.
fn reserved(bench: &Bench) -> usize {
    let pending = bench.scheduler.dump().pending;
    pending.iter().map(|step| step.reserved).sum()
}

/// A gang whose tickets are asked for again has reserved the workers of the domain.
#[test]
fn reservation_outlasts_evacuation() {
    let mut bench = bench(advised());
    // It gets tickets for the workers of this domain only.
    bench.scheduler.evacuate(&domains(&[SOUND]));
    submit(&mut bench, 1, gang(2, 8_000));
    let first = asked(&mut bench);
    bench.scheduler.suspend(true);
    for question in &first {
        approve(&mut bench.scheduler, question);
    }
    // The tickets expire.
    for _ in 0..STEPS {
        bench.advance();
    }
    bench.scheduler.suspend(false);
    let second = asked(&mut bench);
    assert_eq!(reserved(&bench), 2);
    bench.scheduler.evacuate(&domains(&[EVACUATED]));
    assert_eq!(reserved(&bench), 0);
    for question in &second {
        approve(&mut bench.scheduler, question);
    }
    let mut started = Vec::new();
    for _ in 0..STEPS {
        let actions = bench.advance();
        for question in questions(&actions) {
            approve(&mut bench.scheduler, &question);
        }
        started.extend(starts(&actions));
    }
    assert_eq!((started.len(), on_evacuated(&started)), (2, 0));
}

/// Submits jobs until one is refused, and returns how many were accepted.
fn accepted(bench: &mut Bench) -> u64 {
    run(bench);
    (100..1_000)
        .take_while(|&number| {
            submit(bench, number, single());
            let refused = |action: &Action| {
                matches!(
                    action,
                    Action::Answer {
                        answer: Answer::Refused(_),
                        ..
                    }
                )
            };
            !bench.advance().iter().any(refused)
        })
        .count() as u64
}

/// The backlog that is accepted is that of the other workers.
#[test]
fn evacuated_capacity_admits_jobs() {
    let all = {
        let mut bench = bench(queue());
        accepted(&mut bench)
    };
    let mut evacuated = bench(queue());
    evacuated.scheduler.evacuate(&domains(&[EVACUATED]));
    let half = accepted(&mut evacuated);
    assert!(half * 4 < all * 3, "{half} of {all}");
}

/// A successor whose stored workers are in the domain, before they answer.
#[test]
fn successor_counts_evacuated_workers() {
    let stored = Stored {
        roster: entries(),
        ..Stored::default()
    };
    let now = Time::from_millis(1_000);
    let mut scheduler = successor(now, Duration::from_secs(8), Vec::new(), stored);
    scheduler.evacuate(&domains(&[SOUND, EVACUATED]));
    scheduler.update_registry(entries());
    for worker in 0..entries().len() {
        let report = Report {
            clock_ms: 1_000,
            born_ms: entry().born_ms,
            ..Report::default()
        };
        scheduler.report(worker, &report);
    }
    for number in 0..10 {
        scheduler.submit(number, JobId(number), &queue().name, None, single());
        while scheduler.next_batch(|_| azurepath_decide::batch::record::Fit::Taken) {
            scheduler.batch_stored();
        }
    }
    let mut actions = Vec::new();
    for step in 0..STEPS as u64 {
        scheduler.advance(Time::from_millis(1_010 + 10 * step), &mut actions);
    }
    assert_eq!(starts(&actions), Vec::new());
}
