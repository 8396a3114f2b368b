//! Admission of a request: finds its queue, its team and its size.

use azurepath_decide::name::Name;
use azurepath_decide::request::{Id, Request};
use azurepath_decide::resource::Queue;
use rand::Rng;

use super::headers::Headers;
use super::problem::Problem;
use crate::process::Process;
use crate::process::stop::Phase;
use crate::version;

/// Admits a request to a queue.
///
/// # Errors
///
/// Returns a [`Problem`] if the request is rejected, in which case it has not run.
pub fn admit(process: &Process, queue: &str, headers: &Headers) -> Result<Request, Problem> {
    if *process.phase.borrow() == Phase::Closing {
        return Err(Problem::Stopping);
    }
    version::check_standing(process).map_err(Problem::Denied)?;
    let found = process.snapshot.borrow().queue(queue).cloned();
    let queue = found.ok_or_else(|| Problem::Queue {
        name: queue.to_owned(),
    })?;
    let team = team(process, &queue, headers)?;
    let limits = &process.settings.limits;
    let patience = headers.patience.unwrap_or(limits.patience);
    let now = process.clock.now();
    Ok(Request {
        id: headers.id.unwrap_or_else(|| Id(rand::rng().random())),
        team,
        kind: queue.name.clone(),
        class: queue.class,
        size: headers.size.or_defaults(queue.size),
        estimate: queue.estimate(),
        deadline: now.after(patience.min(limits.max_patience)),
        idempotent: queue.idempotent,
        gang: None,
        target: None,
    })
}

/// Returns the team that the request is charged to.
///
/// It is the team of the key. A request without a key to an open queue is charged to the queue's
/// team.
fn team(process: &Process, queue: &Queue, headers: &Headers) -> Result<Name, Problem> {
    if let (Some(team), None) = (&queue.open_to, &headers.token) {
        return Ok(team.clone());
    }
    version::authorize(process, headers.token.as_deref()).map_err(Problem::Denied)
}
