//! One resource.

use azurepath_decide::config::Entry;
use azurepath_decide::resource::{Kind, Resource};
use http::{HeaderValue, StatusCode, header};
use serde_json::{Value, json};
use volo_http::response::Response;

use super::problem::Problem;
use crate::process::Process;

/// Answers with a resource.
pub(super) fn get(process: &Process, kind: Kind, name: &str) -> Result<Response, Problem> {
    let snapshot = process.snapshot.borrow().clone();
    let entry = snapshot.get(kind, name).ok_or(Problem::Missing)?;
    let mut response = super::json(StatusCode::OK, &document(entry));
    tag(&mut response, entry.revision);
    Ok(response)
}

/// Returns the document of a resource.
pub(super) fn document(entry: &Entry) -> Value {
    json!({"revision": entry.revision, "resource": shown(&entry.resource)})
}

/// Returns a resource as it is shown: without the hash of a key.
pub(super) fn shown(resource: &Resource) -> Value {
    let mut value = serde_json::to_value(resource).unwrap_or_default();
    if let (Resource::Key(_), Some(map)) = (resource, value.as_object_mut()) {
        map.remove("hash");
    }
    value
}

/// Adds the revision as `ETag`.
pub(super) fn tag(response: &mut Response, revision: u64) {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        response.headers_mut().insert(header::ETAG, value);
    }
}
