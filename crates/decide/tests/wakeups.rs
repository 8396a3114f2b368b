//! A waiting step goes on as soon as what it waits for is there, not only with the next full pass.

#[path = "support/batch/bench.rs"]
mod bench;

use std::time::Duration;

use azurepath_decide::batch::advice::{Advice, Question};
use azurepath_decide::batch::config::{Account, AdviceTiming, Queue};
use azurepath_decide::batch::report::{End, Outcome};
use azurepath_decide::batch::{Action, Attempt, JobId, StartOutcome};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use bench::{Bench, queue, single};

const TEAM: &str = "team";

/// The jobs that wait for each other. Full passes come every 100 ms, and a round takes 10 ms.
const JOBS: u64 = 8;

/// The tasks that fit onto the worker, and rounds in which they all have started.
const WORKER_TASKS: usize = 8;
const ROUNDS: usize = 40;

fn submit(bench: &mut Bench, id: u64) {
    let (checks, team) = (Name::from("checks"), Some(Name::from(TEAM)));
    bench
        .scheduler
        .submit(1, JobId(id), &checks, team, single());
    bench.store();
}

/// Confirms the start of a task and reports its end.
fn finish(bench: &mut Bench, number: u64, attempt: Attempt) {
    bench
        .scheduler
        .handle_start(0, attempt, StartOutcome::Running, 0);
    bench.report(vec![End {
        number,
        attempt,
        outcome: Outcome::Done,
        checkpoint: None,
    }]);
}

/// Answers a question: the worker is eligible.
fn advise(bench: &mut Bench, question: &Question) {
    let advice = Advice {
        tickets: vec![(Name::from("w"), Name::from("ticket"))],
    };
    bench.scheduler.handle_advice(question.step, Some(&advice));
}

fn advised_queue(base: Duration) -> Queue {
    Queue {
        advice: Some(AdviceTiming {
            base,
            per_worker: Duration::from_millis(1),
            validity: Duration::from_secs(60),
        }),
        ..queue()
    }
}

fn started(actions: &[Action]) -> Option<Attempt> {
    actions.iter().find_map(|action| match action {
        Action::Start { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

fn asked(actions: &[Action]) -> Option<Question> {
    actions.iter().find_map(|action| match action {
        Action::Ask(question) => Some(question.clone()),
        _ => None,
    })
}

#[test]
fn freed_limit_stays_unused() {
    let account = Account {
        name: Name::from(TEAM),
        keys: Vec::new(),
        weight: 0.0,
        limit: Size {
            millicores: 1_000,
            ..Size::MAX
        },
    };
    let patient = Queue {
        // Long enough that no job is refused because it waits for the others.
        objective: Duration::from_secs(60),
        ..queue()
    };
    let mut bench = Bench::with(vec![patient], vec![account]);
    for id in 1..=JOBS {
        submit(&mut bench, id);
    }
    let mut attempt = started(&bench.advance()).expect("the first job starts");
    for number in 1..JOBS {
        finish(&mut bench, number, attempt);
        attempt = started(&bench.advance()).expect("the next job starts at once");
    }
}

#[test]
fn freed_question_stays_unused() {
    let slow = advised_queue(Duration::from_millis(500));
    // One instance asks one slow question at a time.
    let mut bench = Bench::with(vec![slow], Vec::new());
    for id in 1..=JOBS {
        submit(&mut bench, id);
    }
    let mut question = asked(&bench.advance()).expect("the first job asks");
    for _ in 1..JOBS {
        assert_eq!(asked(&bench.advance()), None);
        advise(&mut bench, &question);
        question = asked(&bench.advance()).expect("the next job asks at once");
    }
}

#[test]
fn freed_room_stays_unused() {
    let quick = advised_queue(Duration::from_millis(10));
    let mut bench = Bench::with(vec![quick], Vec::new());
    bench.scheduler.set_advice_instances(4 * WORKER_TASKS);
    for id in 1..=4 * WORKER_TASKS as u64 {
        submit(&mut bench, id);
    }
    let mut running = Vec::new();
    for _ in 0..ROUNDS {
        for action in bench.advance() {
            match action {
                Action::Ask(question) => advise(&mut bench, &question),
                Action::Start { attempt, .. } => running.push(attempt),
                _ => {}
            }
        }
    }
    assert_eq!(running.len(), WORKER_TASKS, "the worker is full");
    for (number, attempt) in (1..).zip(running) {
        finish(&mut bench, number, attempt);
        assert!(
            started(&bench.advance()).is_some(),
            "the next job starts at once"
        );
    }
}
