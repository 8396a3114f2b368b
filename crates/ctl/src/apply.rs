//! The `apply` command.

use std::io::Read;

use azurepath_decide::resource::Kind;
use http::Method;
use serde_json::Value;

use crate::cli;
use crate::client::{Call, call};
use crate::config::Config;
use crate::exit::{Exit, Failure};
use crate::output::Format;

/// A resource document of the input file.
struct Document {
    kind: Kind,
    name: String,
    revision: Option<u64>,
    body: Value,
}

/// Creates or replaces the resources of a file in order.
///
/// All documents are checked before the first one is written, so that nothing is written if one of
/// them is invalid.
pub(crate) async fn run(config: &Config, options: &cli::Apply) -> Result<Exit, Failure> {
    let documents = documents(&options.file)?;
    let mut exit = Exit::Done;
    if documents.len() > 1 || options.dry_run {
        for document in &documents {
            put(config, document, true, options.dry_run).await?;
        }
    }
    if !options.dry_run {
        for document in &documents {
            let result = put(config, document, false, true).await?;
            exit = if result == Exit::Done { exit } else { result };
        }
    }
    Ok(exit)
}

async fn put(
    config: &Config,
    document: &Document,
    dry_run: bool,
    show: bool,
) -> Result<Exit, Failure> {
    let Document { kind, name, .. } = document;
    let query = if dry_run { "?dry_run=true" } else { "" };
    let tag = document.revision.map(|revision| format!("\"{revision}\""));
    let body = document.body.to_string();
    let reply = call(
        config,
        Call {
            method: Method::PUT,
            path: format!("/v1/{kind}s/{name}{query}"),
            headers: tag.into_iter().map(|tag| ("if-match", tag)).collect(),
            body: body.as_bytes(),
        },
    )
    .await?;
    // During the check, a team may be missing because another document of the file creates it.
    let rejected_in_check =
        dry_run && !show && reply.status == http::StatusCode::UNPROCESSABLE_ENTITY;
    if rejected_in_check && only_missing_teams(&reply.json()) {
        return Ok(Exit::Done);
    }
    if !reply.status.is_success() {
        eprintln!("azurectl: {kind}/{name}:");
        return Err(reply.failure());
    }
    if show {
        print(config, document, &reply.json());
    }
    Ok(Exit::from_status(reply.status))
}

fn only_missing_teams(problem: &Value) -> bool {
    let faults = problem["faults"].as_array();
    faults.is_some_and(|faults| {
        faults.iter().all(|fault| {
            let message = fault["message"].as_str().unwrap_or_default();
            message.starts_with("there is no team")
        })
    })
}

fn print(config: &Config, document: &Document, reply: &Value) {
    let Document { kind, name, .. } = document;
    if config.format == Format::Json {
        println!("{reply}");
        return;
    }
    let state = reply["state"].as_str().unwrap_or_default();
    match reply["does"].as_str() {
        Some(does) => println!("{kind}/{name} {state}: {does}"),
        None => println!("{kind}/{name} {state} at revision {}", reply["revision"]),
    }
    if let Some(token) = reply["token"].as_str() {
        println!("key, shown only now: {token}");
    }
    if let Some(waiting) = reply["waiting"].as_array() {
        let names: Vec<&str> = waiting.iter().filter_map(Value::as_str).collect();
        println!("not yet in force on {}", names.join(", "));
    }
}

/// Reads the documents of a file, which holds any sequence of documents and arrays of documents.
fn documents(file: &str) -> Result<Vec<Document>, Failure> {
    let text = read(file)?;
    let mut documents = Vec::new();
    for value in serde_json::Deserializer::from_str(&text).into_iter::<Value>() {
        let value = value.map_err(|error| {
            Failure::new(
                Exit::Faulty,
                format!("{file}: {error}; the file must contain JSON documents"),
            )
        })?;
        match value {
            Value::Array(values) => documents.extend(values),
            other => documents.push(other),
        }
    }
    let numbered = documents.into_iter().enumerate();
    numbered
        .map(|(index, value)| document(file, index + 1, value))
        .collect()
}

fn document(file: &str, number: usize, mut value: Value) -> Result<Document, Failure> {
    let invalid =
        |what: &str| Failure::new(Exit::Faulty, format!("{file}: document {number}: {what}"));
    let kind = value["kind"].as_str().and_then(|kind| kind.parse().ok());
    let name = value["name"].as_str().map(str::to_owned);
    let revision = value.as_object_mut().and_then(|map| map.remove("revision"));
    Ok(Document {
        kind: kind.ok_or_else(|| invalid("write \"kind\": team, key, queue, service or job"))?,
        name: name.ok_or_else(|| invalid("write \"name\""))?,
        revision: revision.and_then(|revision| revision.as_u64()),
        body: value,
    })
}

fn read(file: &str) -> Result<String, Failure> {
    let read = if file == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    read.map_err(|error| Failure::usage(format!("{file}: {error}; give the path of a file")))
}
