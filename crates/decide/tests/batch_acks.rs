//! An end is acknowledged only once what it means is stored.

#[path = "support/batch/bench.rs"]
mod bench;

use azurepath_decide::batch::report::{End, How};
use azurepath_decide::batch::{Action, Answer, Attempt, State};
use bench::{Bench, JOB};

fn end(attempt: Attempt, how: How) -> End {
    End {
        number: 1,
        attempt,
        how,
        checkpoint: None,
    }
}

#[test]
fn done() {
    let mut bench = Bench::new();
    let attempt = bench.start();
    bench.report(vec![end(attempt, How::Done)]);
    assert_eq!(bench.acknowledged(), 0);
    // Nor is it shown: a successor could run the job again.
    assert_eq!(bench.scheduler.state(JOB), Some(State::Running));
    bench.store();
    assert_eq!(bench.acknowledged(), 1);
    assert_eq!(bench.scheduler.state(JOB), Some(State::Completed));
}

#[test]
fn failed() {
    let mut bench = Bench::new();
    let attempt = bench.start();
    bench.report(vec![end(attempt, How::Failed)]);
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
    // The cancelling is not stored yet, so a successor would run what it does not know to be done.
    assert!(bench.scheduler.next_batch(50).is_some());
    bench.report(vec![end(attempt, How::Done)]);
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
