//! Asks the advice service what the leader wants to know.

use std::time::Duration;

use azurepath_wire::batch::{Call, Reply};
use slog::{info, warn};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Context;

/// How long a request for work may take; the leader answers within half of it.
const WORK_WAIT: Duration = Duration::from_secs(2);

/// The pause after a request for work that failed.
const PAUSE: Duration = Duration::from_millis(200);

/// How long an answer is waited for beyond what the question is expected to take.
const SLACK: Duration = Duration::from_millis(600);

/// Asks one question after the other until `halt`.
pub(super) async fn run(context: Context, halt: CancellationToken) {
    let Some(advisor) = context.advisor.clone() else {
        return;
    };
    let mut answered = None;
    loop {
        let call = Call::Work {
            instance: context.name.to_string(),
            answered: answered.take(),
        };
        let reply = tokio::select! {
            () = halt.cancelled() => return,
            reply = context.route.call(call, WORK_WAIT) => reply,
        };
        match reply {
            Ok(Reply::Work(Some(question))) => {
                let begun = Instant::now();
                let advice = advisor.ask(&question, question.takes + SLACK).await;
                let seconds = begun.elapsed().as_secs_f64();
                context.counts.advice.record(seconds, &[]);
                let micros = begun.elapsed().as_micros() as u64;
                match &advice {
                    Ok(advice) if question.is_slow() => info!(context.log, "advice given";
                        "step" => %question.step, "workers" => question.workers.len(),
                        "eligible" => advice.tickets.len(), "micros" => micros),
                    Ok(_) => {}
                    Err(error) => warn!(context.log, "no advice";
                        "step" => %question.step, "workers" => question.workers.len(),
                        "micros" => micros, "error" => error),
                }
                answered = Some((question.step, advice.ok()));
            }
            Ok(Reply::Work(None)) => {}
            Ok(_) | Err(_) => tokio::select! {
                () = halt.cancelled() => return,
                () = tokio::time::sleep(PAUSE) => {}
            },
        }
    }
}
