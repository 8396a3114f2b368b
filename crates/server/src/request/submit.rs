//! The way of one request from its admission to its answer.

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
    /// Its payload.
    pub payload: Bytes,
}

/// Withdraws a request whose caller goes before its answer.
struct Withdrawal {
    router: router::Handle,
    request: Option<Id>,
}

impl Drop for Withdrawal {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.router.cancel(request);
        }
    }
}

/// Sends a request on its way and waits for its answer.
///
/// `fresh` tells that the id was made here, so that the request can't have come before.
///
/// # Errors
///
/// Returns the [`Problem`] that the caller is told.
pub async fn submit(
    process: &Process,
    request: Request,
    payload: Bytes,
    fresh: bool,
) -> Result<Answer, Problem> {
    if request.idempotent {
        return verdict(run(process, request, payload).await);
    }
    let intent = process.intents.open(&request).await;
    let intent = intent.map_err(|refusal| refused(refusal, fresh))?;
    let reply = run(process, request, payload).await;
    intent.close(known(&reply.verdict));
    verdict(reply)
}

async fn run(process: &Process, request: Request, payload: Bytes) -> Reply {
    let mut withdrawal = Withdrawal {
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
    withdrawal.request = Some(id);
    let reply = reply.await;
    withdrawal.request = None;
    // The router ends only once nothing is in flight, so that this is not seen by callers.
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

fn refused(refusal: intent::Refusal, fresh: bool) -> Problem {
    match refusal {
        intent::Refusal::Duplicate(ran) => Problem::Duplicate { ran },
        intent::Refusal::TableUnavailable if !fresh => Problem::Unread,
        intent::Refusal::TableUnavailable => Problem::NotRun {
            reason: Reason::TableUnavailable,
            retry_after: None,
        },
    }
}

fn known(verdict: &Verdict) -> Ran {
    match verdict {
        Verdict::NotRun { .. } => Ran::NotRun,
        Verdict::Unknown { .. } => Ran::Unknown,
        Verdict::Ran { .. } => Ran::Ran,
    }
}

fn verdict(reply: Reply) -> Result<Answer, Problem> {
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
            retry_after: retry_after.map(|span| span.as_secs() + 1),
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
