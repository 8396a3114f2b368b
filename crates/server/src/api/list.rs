//! Lists of resources, split into pages.

use azurepath_decide::config::Entry;
use azurepath_decide::resource::Kind;
use http::{StatusCode, Uri};
use serde_json::{Value, json};
use volo_http::response::Response;

use super::problem::Problem;
use super::{item, query};
use crate::process::Process;

/// The maximum and the default number of resources on a page.
const MAX_PAGE_SIZE: usize = 500;

/// Builds the response with a page of the resources that match `selector`.
///
/// The page starts after the name `after` and has at most `limit` resources.
pub(super) fn list(process: &Process, kind: Option<Kind>, uri: &Uri) -> Result<Response, Problem> {
    let limit = limit(uri)?;
    let after = query(uri, "after").unwrap_or_default();
    let selector = selector(uri)?;
    let snapshot = process.snapshot.borrow().clone();
    let kinds = snapshot.entries.iter();
    let mut matching = kinds
        .filter(|(entry_kind, _)| kind.is_none_or(|kind| kind == **entry_kind))
        .flat_map(|(entry_kind, entries)| entries.iter().map(move |entry| (entry_kind, entry)))
        .map(|(entry_kind, (name, entry))| {
            let key = if kind.is_some() {
                name.to_string()
            } else {
                format!("{entry_kind}:{name}")
            };
            (key, entry)
        })
        .filter(|(key, _)| *key > after)
        .filter(|(_, entry)| matches(entry, &selector));
    let page: Vec<(String, &Entry)> = matching.by_ref().take(limit).collect();
    let more = matching.next().is_some();
    let next = page.last().filter(|_| more).map(|(key, _)| key.clone());
    let items: Vec<Value> = page
        .iter()
        .map(|(_, entry)| item::document(entry))
        .collect();
    let document = json!({"revision": snapshot.revision, "items": items, "next": next});
    Ok(super::json(StatusCode::OK, &document))
}

/// Returns the parameter `limit`.
fn limit(uri: &Uri) -> Result<usize, Problem> {
    let Some(text) = query(uri, "limit") else {
        return Ok(MAX_PAGE_SIZE);
    };
    let limit = text
        .parse()
        .ok()
        .filter(|limit| (1..=MAX_PAGE_SIZE).contains(limit));
    limit.ok_or(Problem::Parameter {
        name: "limit",
        remedy: "send a whole number from 1 to 500",
    })
}

/// The path of a field and the value that it must have.
type Term = (String, String);

/// Returns the terms of the parameter `selector`.
fn selector(uri: &Uri) -> Result<Vec<Term>, Problem> {
    let text = query(uri, "selector").unwrap_or_default();
    let terms = text.split(',').filter(|term| !term.is_empty());
    terms
        .map(|term| {
            let pair = term.split_once('=');
            let (field, value) = pair.ok_or(Problem::Parameter {
                name: "selector",
                remedy: "send field=value, several of them joined by commas",
            })?;
            Ok((field.to_owned(), value.to_owned()))
        })
        .collect()
}

/// Tells whether a resource matches all terms of a selector.
fn matches(entry: &Entry, selector: &[Term]) -> bool {
    if selector.is_empty() {
        return true;
    }
    let document = item::redacted(&entry.resource);
    selector.iter().all(|(field, value)| {
        let mut actual = &document;
        for part in field.split('.') {
            actual = &actual[part];
        }
        match actual {
            Value::String(text) => text == value,
            Value::Null => value == "null",
            other => serde_json::from_str::<Value>(value).is_ok_and(|value| value == *other),
        }
    })
}
