//! Workers of an unanswered question are asked about again, those of an answered one are not.

#[path = "support/batch/bench.rs"]
mod bench;

use std::time::Duration;

use azurepath_decide::batch::Action;
use azurepath_decide::batch::advice::{Advice, Question};
use azurepath_decide::batch::config::AdviceTiming;
use azurepath_decide::name::Name;
use bench::{Bench, JOB, entry, gang, queue};

/// The duration of a question and the validity of its tickets.
const ADVICE_TIMING: AdviceTiming = AdviceTiming {
    base: Duration::from_millis(1),
    per_worker: Duration::from_millis(1),
    validity: Duration::from_secs(1),
};

/// Returns the questions among actions.
fn questions(actions: &[Action]) -> Vec<Question> {
    let question = |action: &Action| match action {
        Action::Ask(question) => Some(question.clone()),
        _ => None,
    };
    actions.iter().filter_map(question).collect()
}

/// Advances the scheduler until it asks a question.
fn next_question(bench: &mut Bench) -> Option<Question> {
    (0..500).find_map(|_| questions(&bench.advance()).pop())
}

/// Returns an answer with a ticket for every worker of a question.
fn approval(question: &Question) -> Advice {
    let ticket = |worker: &Name| (worker.clone(), Name::from("t"));
    Advice {
        tickets: question.workers.iter().map(ticket).collect(),
    }
}

#[test]
fn second_worker() {
    let mut bench = Bench::with_queue(azurepath_decide::batch::config::Queue {
        advice: Some(ADVICE_TIMING),
        ..queue()
    });
    // Two tasks of five cores each: both workers are needed.
    bench.submit(gang(2, 5_000));
    let first = next_question(&mut bench).expect("no question about the only worker");
    bench
        .scheduler
        .handle_advice(first.step, Some(&approval(&first)));

    let mut other = entry();
    other.id = Name::from("x");
    bench.scheduler.update_registry(vec![entry(), other]);
    bench.store();
    bench.report_idle(1);
    let lost = next_question(&mut bench).expect("no question about the other worker");
    assert_eq!(lost.workers, [Name::from("x")]);
    bench.scheduler.handle_advice(lost.step, None);

    let mut starts = 0;
    for _ in 0..1_000 {
        let actions = bench.advance();
        for question in questions(&actions) {
            bench
                .scheduler
                .handle_advice(question.step, Some(&approval(&question)));
        }
        let is_start = |action: &&Action| matches!(action, Action::Start { .. });
        starts += actions.iter().filter(is_start).count();
    }
    assert_eq!(starts, 2, "start orders of {JOB}");
}

#[test]
fn none_eligible() {
    let mut bench = Bench::with_queue(azurepath_decide::batch::config::Queue {
        advice: Some(ADVICE_TIMING),
        ..queue()
    });
    // More workers than one question covers, all with the same free capacity.
    let worker = |number: usize| {
        let mut entry = entry();
        entry.id = Name::from(format!("w{number}"));
        entry
    };
    bench
        .scheduler
        .update_registry((0..60).map(worker).collect());
    bench.store();
    (0..60).for_each(|worker| bench.report_idle(worker));
    bench.submit(gang(1, 5_000));
    let first = next_question(&mut bench).expect("no first question");
    bench
        .scheduler
        .handle_advice(first.step, Some(&Advice::default()));
    let second = next_question(&mut bench).expect("no second question");
    let again = second
        .workers
        .iter()
        .any(|worker| first.workers.contains(worker));
    assert!(!again, "{first:?} {second:?}");
}
