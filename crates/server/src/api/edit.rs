//! Creates, replaces and deletes resources.

use azurepath_decide::config::{Condition, Proposal};
use azurepath_decide::resource::{Kind, Resource};
use http::{HeaderMap, StatusCode, header};
use rand::Rng;
use serde_json::{Value, json};
use volo_http::body::Body;
use volo_http::response::Response;

use super::problem::Problem;
use super::{Call, check, item, query};
use crate::process::Process;
use crate::process::http::body::{Fault, read};
use crate::version::Rollout;
use crate::version::key;

/// The maximum length of a document in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Creates or replaces a resource.
pub(super) async fn put(
    process: &Process,
    kind: Kind,
    name: String,
    call: Call,
) -> Result<Response, Problem> {
    let condition = condition(&call.headers)?;
    let dry_run = query(&call.uri, "dry_run").is_some_and(|value| value == "true");
    let mut document = body(call.body).await?;
    let snapshot = process.snapshot.borrow().clone();
    let token = match kind {
        Kind::Key => complete_key(&snapshot, &name, &mut document),
        _ => None,
    };
    let resource = check::read(&snapshot, kind, &name, document).map_err(Problem::Faulty)?;
    if dry_run {
        return preview(&snapshot, condition, &resource);
    }
    let rollout = propose(process, kind, &name, Some(resource), condition).await?;
    Ok(answer(&rollout, token))
}

/// Deletes a resource.
pub(super) async fn delete(
    process: &Process,
    kind: Kind,
    name: String,
    call: Call,
) -> Result<Response, Problem> {
    let condition = condition(&call.headers)?;
    if kind == Kind::Team {
        check_unreferenced(process, &name)?;
    }
    let rollout = propose(process, kind, &name, None, condition).await?;
    Ok(answer(&rollout, None))
}

/// Proposes a change and waits, for a bounded time, until it is in force.
async fn propose(
    process: &Process,
    kind: Kind,
    name: &str,
    resource: Option<Resource>,
    condition: Condition,
) -> Result<Rollout, Problem> {
    let proposal = Proposal {
        write: format!("{:032x}", rand::rng().random::<u128>()).into(),
        kind,
        name: name.into(),
        resource,
        condition,
    };
    Ok(process.config.edit(proposal).await?)
}

/// Builds the response to a change that is accepted or still pending.
fn answer(rollout: &Rollout, token: Option<String>) -> Response {
    let state = if rollout.is_complete() {
        "accepted"
    } else {
        "pending"
    };
    let change = &rollout.change;
    let mut document = json!({
        "revision": change.revision,
        "state": state,
        "resource": change.resource.as_ref().map(item::redacted),
    });
    if !rollout.waiting.is_empty() {
        document["waiting"] = json!(rollout.waiting);
    }
    if rollout.reclaiming {
        document["reclaiming"] = json!(true);
    }
    if let Some(token) = token {
        document["token"] = json!(token);
    }
    let status = if rollout.is_complete() {
        StatusCode::OK
    } else {
        StatusCode::ACCEPTED
    };
    let mut response = super::json(status, &document);
    item::set_etag(&mut response, change.revision);
    response
}

/// Builds the response to a dry run, which tells what the change would do.
fn preview(
    snapshot: &azurepath_decide::config::Snapshot,
    condition: Condition,
    resource: &Resource,
) -> Result<Response, Problem> {
    let known = snapshot.get(resource.kind(), resource.name());
    let current = known.map_or(0, |entry| entry.revision);
    let condition_holds = match condition {
        Condition::Any => true,
        Condition::Absent => current == 0,
        Condition::Revision(revision) => revision == current,
    };
    if !condition_holds {
        let refusal = azurepath_decide::config::Refusal::Stale { current };
        return Err(Problem::Refused(refusal));
    }
    let effect = match known {
        None => "create",
        Some(entry) if entry.resource == *resource => "nothing",
        Some(_) => "replace",
    };
    let document = json!({
        "state": "dry_run",
        "does": effect,
        "current": current,
        "resource": item::redacted(resource),
    });
    Ok(super::json(StatusCode::OK, &document))
}

/// Adds the hash to the document of a key that has none.
///
/// An existing key keeps its hash. A new key gets a random token, which is returned because it is
/// shown only in this response.
fn complete_key(
    snapshot: &azurepath_decide::config::Snapshot,
    name: &str,
    document: &mut Value,
) -> Option<String> {
    let map = document.as_object_mut()?;
    if map.contains_key("hash") {
        return None;
    }
    if let Some(known) = snapshot.key(name) {
        map.insert("hash".to_owned(), Value::String(known.hash.clone()));
        return None;
    }
    let token = format!("{name}.{:032x}", rand::rng().random::<u128>());
    map.insert("hash".to_owned(), Value::String(key::hash(&token)));
    Some(token)
}

/// Rejects the deletion of a team that other resources refer to.
fn check_unreferenced(process: &Process, team: &str) -> Result<(), Problem> {
    let snapshot = process.snapshot.borrow().clone();
    let entries = snapshot.entries.values().flat_map(|kind| kind.values());
    let faults: Vec<check::Fault> = entries
        .map(|entry| &entry.resource)
        .filter(|resource| refers_to_team(resource, team))
        .map(|resource| check::Fault {
            path: format!("{}s/{}", resource.kind(), resource.name()),
            message: "names the team; delete or change it first".to_owned(),
        })
        .collect();
    if faults.is_empty() {
        return Ok(());
    }
    Err(Problem::Faulty(faults))
}

fn refers_to_team(resource: &Resource, team: &str) -> bool {
    let owner = match resource {
        Resource::Team(_) | Resource::Drain(_) => None,
        Resource::Key(key) => key.team.as_ref(),
        Resource::Queue(queue) => queue.open_to.as_ref(),
        Resource::Service(service) => Some(&service.team),
        Resource::Job(job) => Some(&job.team),
    };
    owner.is_some_and(|name| **name == *team)
}

/// Returns the condition that `If-Match` or `If-None-Match` sets.
fn condition(headers: &HeaderMap) -> Result<Condition, Problem> {
    let text = |name| {
        headers
            .get(name)
            .and_then(|value: &http::HeaderValue| value.to_str().ok())
    };
    if text(header::IF_NONE_MATCH) == Some("*") {
        return Ok(Condition::Absent);
    }
    let Some(tag) = text(header::IF_MATCH) else {
        return Ok(Condition::Any);
    };
    let revision = tag.trim().trim_matches('"').parse().ok();
    revision.map(Condition::Revision).ok_or(Problem::Parameter {
        name: "If-Match",
        remedy: "send the revision that you have read, such as If-Match: \"17\"",
    })
}

/// Reads a body as a JSON document.
async fn body(body: Body) -> Result<Value, Problem> {
    let problem = |detail: String| Problem::Body { detail };
    let bytes = read(body, MAX_BODY_BYTES).await;
    let bytes = bytes.map_err(|fault| match fault {
        Fault::TooLong => problem(format!("it is longer than {MAX_BODY_BYTES} bytes")),
        Fault::Cut => problem("it ended early".to_owned()),
        Fault::Full => Problem::Busy,
    })?;
    serde_json::from_slice(&bytes).map_err(|error| problem(error.to_string()))
}
