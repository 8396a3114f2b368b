//! Workers of a question that was lost are asked about again.

#[path = "support/batch/bench.rs"]
mod bench;

use std::time::Duration;

use azurepath_decide::batch::Action;
use azurepath_decide::batch::advice::{Advice, Question};
use azurepath_decide::batch::config::Advised;
use azurepath_decide::name::Name;
use bench::{Bench, JOB, entry, gang, queue};

fn questions(actions: &[Action]) -> Vec<Question> {
    let asks = |action: &Action| match action {
        Action::Ask(question) => Some(question.clone()),
        _ => None,
    };
    actions.iter().filter_map(asks).collect()
}

/// Lets time pass until the scheduler asks.
fn next_question(bench: &mut Bench) -> Option<Question> {
    (0..500).find_map(|_| questions(&bench.advance()).pop())
}

fn named(question: &Question) -> Advice {
    let ticket = |worker: &Name| (worker.clone(), Name::from("t"));
    Advice {
        tickets: question.workers.iter().map(ticket).collect(),
    }
}

#[test]
fn second_worker() {
    let mut bench = Bench::with_queue(azurepath_decide::batch::config::Queue {
        advice: Some(Advised {
            base: Duration::from_millis(1),
            each: Duration::from_millis(1),
            validity: Duration::from_secs(1),
        }),
        ..queue()
    });
    // Two tasks of five cores each: both workers are needed.
    bench.submit(gang(2, 5_000));
    let first = next_question(&mut bench).expect("it asks about the only worker");
    bench.scheduler.advised(first.step, Some(&named(&first)));

    let mut other = entry();
    other.id = Name::from("x");
    bench.scheduler.list(vec![entry(), other]);
    bench.store();
    bench.report_of(1);
    let lost = next_question(&mut bench).expect("it asks about the other worker");
    assert_eq!(lost.workers, [Name::from("x")]);
    bench.scheduler.advised(lost.step, None);

    let mut starts = 0;
    for _ in 0..1_000 {
        let actions = bench.advance();
        for question in questions(&actions) {
            bench
                .scheduler
                .advised(question.step, Some(&named(&question)));
        }
        let is_start = |action: &&Action| matches!(action, Action::Start { .. });
        starts += actions.iter().filter(is_start).count();
    }
    assert_eq!(starts, 2, "{JOB} has started");
}
