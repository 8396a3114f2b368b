//! Polls the leader for questions and asks them of the advice service.

use std::time::Duration;

use azurepath_wire::batch::{Call, Reply};
use slog::{info, warn};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Context;

/// How long a poll for a question may take; the leader answers within half of it.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// The pause after a failed poll.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How long an answer may take beyond the expected time.
const ANSWER_SLACK: Duration = Duration::from_millis(600);

/// Asks one question after the other until `halt` is cancelled.
pub(super) async fn run(context: Context, halt: CancellationToken) {
    let Some(advisor) = context.advisor.clone() else {
        return;
    };
    let mut answered = None;
    loop {
        let call = Call::Poll {
            instance: context.name.to_string(),
            answered: answered.take(),
        };
        let reply = tokio::select! {
            () = halt.cancelled() => return,
            reply = context.route.call(call, POLL_TIMEOUT) => reply,
        };
        match reply {
            Ok(Reply::Question(Some(question))) => {
                let begun = Instant::now();
                let advice = tokio::select! {
                    () = halt.cancelled() => return,
                    advice = advisor.ask(&question, question.takes + ANSWER_SLACK) => advice,
                };
                let seconds = begun.elapsed().as_secs_f64();
                context.counts.advice.record(seconds, &[]);
                let micros = begun.elapsed().as_micros() as u64;
                match &advice {
                    Ok(advice) if question.is_slow() => info!(context.log, "advice received";
                        "step" => %question.step, "workers" => question.workers.len(),
                        "eligible" => advice.tickets.len(), "micros" => micros),
                    Ok(_) => {}
                    Err(error) => warn!(context.log, "advice query failed";
                        "step" => %question.step, "workers" => question.workers.len(),
                        "micros" => micros, "error" => error),
                }
                answered = Some((question.step, advice.ok()));
            }
            Ok(Reply::Question(None)) => {}
            Ok(_) | Err(_) => tokio::select! {
                () = halt.cancelled() => return,
                () = tokio::time::sleep(RETRY_PAUSE) => {}
            },
        }
    }
}
