//! Single resources.

use azurepath_decide::config::Entry;
use azurepath_decide::resource::{Kind, Resource};
use http::{HeaderValue, StatusCode, header};
use serde_json::{Value, json};
use volo_http::response::Response;

use super::problem::Problem;
use crate::process::Process;

/// Builds the response with a resource.
pub(super) fn get(process: &Process, kind: Kind, name: &str) -> Result<Response, Problem> {
    let snapshot = process.snapshot.borrow().clone();
    let entry = snapshot.get(kind, name).ok_or(Problem::Missing)?;
    let mut response = super::json(StatusCode::OK, &document(entry));
    set_etag(&mut response, entry.revision);
    Ok(response)
}

/// Returns a resource with its revision.
pub(super) fn document(entry: &Entry) -> Value {
    json!({"revision": entry.revision, "resource": redacted(&entry.resource)})
}

/// Returns a resource as callers see it, which is without the hash if it is a key.
pub(super) fn redacted(resource: &Resource) -> Value {
    let mut value = serde_json::to_value(resource).unwrap_or_default();
    if let (Resource::Key(_), Some(map)) = (resource, value.as_object_mut()) {
        map.remove("hash");
    }
    value
}

/// Sets the header `ETag` to a revision.
pub(super) fn set_etag(response: &mut Response, revision: u64) {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        response.headers_mut().insert(header::ETAG, value);
    }
}
