//! A task whose order to start was not answered is started elsewhere only once the order has expired.

#[path = "support/batch/bench.rs"]
mod bench;

use azurepath_decide::batch::{Action, Attempt, Refusal, StartOutcome};
use bench::{Bench, single};

/// How long the worker may carry out an order, in milliseconds.
const VALIDITY_MS: u64 = 1_500;

/// Advances the scheduler and returns the attempt that it orders to start, if any.
fn ordered(bench: &mut Bench) -> Option<Attempt> {
    bench.advance().into_iter().find_map(|action| match action {
        Action::Start { attempt, .. } => Some(attempt),
        _ => None,
    })
}

/// Sends the first order, which is not answered, and the second one with an outcome. Returns when the
/// task is ordered to start under another run, in milliseconds after the first order was sent.
fn restart_ms(second: StartOutcome, second_expiry: u64) -> u64 {
    let mut bench = Bench::new();
    bench.submit(single());
    let attempt = ordered(&mut bench).expect("the task is ordered to start");
    let sent = bench.clock_ms();
    let lost = StartOutcome::Lost;
    let expiry = sent + VALIDITY_MS;
    bench.scheduler.handle_start(0, attempt, lost, expiry);
    assert_eq!(ordered(&mut bench), Some(attempt), "the order is repeated");
    bench
        .scheduler
        .handle_start(0, attempt, second, second_expiry);
    loop {
        // The worker does not know the task yet.
        bench.report_idle(0);
        if ordered(&mut bench).is_some_and(|next| next.run != attempt.run) {
            return bench.clock_ms() - sent;
        }
    }
}

#[test]
fn unsent_repetition_ends_first_order() {
    let not_sent = StartOutcome::Refused(Refusal::Late);
    assert!(restart_ms(not_sent, 0) > VALIDITY_MS);
}

#[test]
fn refused_repetition_ends_first_order() {
    let refused = StartOutcome::Refused(Refusal::NoRoom);
    assert!(restart_ms(refused, 0) > VALIDITY_MS);
}
