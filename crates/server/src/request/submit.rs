//! Runs one admitted request and returns its answer.

use azurepath_decide::attempt::Outcome;
use azurepath_decide::request::{Id, Request};
use azurepath_decide::verdict::{Reason, Verdict};
use bytes::Bytes;

use super::intent;
use super::problem::{Problem, Ran};
use crate::process::engine::{Reply, Submission};
use crate::process::{Process, router};

/// The answer of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The attempt that ran.
    pub attempt: u32,
    /// The worker that ran it.
    pub worker: String,
    /// The payload of the answer.
    pub payload: Bytes,
}

/// Cancels a request whose caller goes away before the answer.
struct CancelOnDrop {
    router: router::Handle,
    request: Option<Id>,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.router.cancel(request);
        }
    }
}

/// Submits a request and waits for its answer.
///
/// `id_is_generated` says that the caller gave no id, so the request can't have been sent before.
///
/// # Errors
///
/// Returns the [`Problem`] to report to the caller.
pub async fn submit(
    process: &Process,
    request: Request,
    payload: Bytes,
    id_is_generated: bool,
) -> Result<Answer, Problem> {
    if request.idempotent {
        return into_result(run(process, request, payload).await);
    }
    let intent = process.intents.open(&request).await;
    let intent = intent.map_err(|refusal| refusal_problem(refusal, id_is_generated))?;
    let reply = run(process, request, payload).await;
    intent.close(ran(&reply.verdict));
    into_result(reply)
}

async fn run(process: &Process, request: Request, payload: Bytes) -> Reply {
    let mut cancel_on_drop = CancelOnDrop {
        router: process.router.clone(),
        request: None,
    };
    let id = request.id;
    let reply = process.router.submit(Submission {
        request,
        payload,
        detached: false,
        keep: false,
    });
    cancel_on_drop.request = Some(id);
    let reply = reply.await;
    cancel_on_drop.request = None;
    // The router ends only when nothing is in flight, so callers never see this verdict.
    reply.unwrap_or_else(|_| Reply {
        verdict: Verdict::Unknown {
            attempt: azurepath_decide::attempt::Attempt {
                request: id,
                number: 0,
            },
        },
        payload: Bytes::new(),
    })
}

fn refusal_problem(refusal: intent::Refusal, id_is_generated: bool) -> Problem {
    match refusal {
        intent::Refusal::Duplicate(ran) => Problem::Duplicate { ran },
        intent::Refusal::TableUnavailable if !id_is_generated => Problem::Unverified,
        intent::Refusal::TableUnavailable => Problem::NotRun {
            reason: Reason::TableUnavailable,
            retry_after: None,
        },
    }
}

fn ran(verdict: &Verdict) -> Ran {
    match verdict {
        Verdict::NotRun { .. } => Ran::NotRun,
        Verdict::Unknown { .. } => Ran::Unknown,
        Verdict::Ran { .. } => Ran::Ran,
    }
}

fn into_result(reply: Reply) -> Result<Answer, Problem> {
    match reply.verdict {
        Verdict::NotRun {
            reason: Reason::Duplicate,
            ..
        } => Err(Problem::Duplicate { ran: Ran::Unknown }),
        Verdict::NotRun {
            reason,
            retry_after,
        } => Err(Problem::NotRun {
            reason,
            retry_after: retry_after.map(|pause| pause.as_secs() + 1),
        }),
        Verdict::Unknown { attempt } => Err(Problem::Unknown {
            attempt: attempt.number,
        }),
        Verdict::Ran {
            attempt,
            worker,
            outcome: Outcome::Done,
        } => Ok(Answer {
            attempt: attempt.number,
            worker: worker.to_string(),
            payload: reply.payload,
        }),
        Verdict::Ran {
            attempt,
            worker,
            outcome,
        } => Err(Problem::Failed {
            outcome: outcome.to_string(),
            attempt: attempt.number,
            worker: worker.to_string(),
        }),
    }
}
