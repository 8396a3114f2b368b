//! The `watch` command.

use std::time::Duration;

use http::StatusCode;
use http_body_util::BodyExt;
use serde_json::Value;

use crate::cli;
use crate::client::{self, Call};
use crate::config::Config;
use crate::document;
use crate::exit::{Exit, Failure};
use crate::output::Format;

/// The time without data after which a watch is restarted; the server writes a line every two
/// seconds.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(6);

/// The delay before a watch is resumed.
const RESUME_DELAY: Duration = Duration::from_millis(500);

/// The progress of a watch.
struct Progress {
    after_revision: u64,
    remaining: Option<u64>,
}

/// Prints changes as they happen, and resumes the watch when it is interrupted.
pub(crate) async fn run(config: &Config, options: &cli::Watch) -> Result<Exit, Failure> {
    let kind = options.target.first().map_or("resources", String::as_str);
    let collection = document::collection(kind)?;
    let after_revision = match options.from {
        Some(from) => from,
        None => newest_revision(config, &collection).await?,
    };
    let mut progress = Progress {
        after_revision,
        remaining: options.count,
    };
    while progress.remaining != Some(0) {
        follow(config, &collection, &mut progress).await?;
        if progress.remaining != Some(0) {
            tokio::time::sleep(RESUME_DELAY).await;
        }
    }
    Ok(Exit::Done)
}

async fn newest_revision(config: &Config, collection: &str) -> Result<u64, Failure> {
    let reply = client::call(config, Call::get(format!("/v1/{collection}?limit=1"))).await?;
    let revision = reply.json()["revision"].as_u64();
    revision.ok_or_else(|| reply.failure())
}

/// Reads one watch until it is interrupted.
async fn follow(config: &Config, collection: &str, progress: &mut Progress) -> Result<(), Failure> {
    let path = format!("/v1/{collection}?watch={}", progress.after_revision);
    let response = match client::open(config, Call::get(path)).await {
        Ok(response) => response,
        Err(failure) => {
            failure.report();
            return Ok(());
        }
    };
    let status = response.status();
    let mut body = response.into_body();
    if status != StatusCode::OK {
        let bytes = body.collect().await.map(|body| body.to_bytes());
        let body = bytes.unwrap_or_default();
        let reply = client::Reply { status, body };
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return Err(reply.failure());
        }
        reply.failure().report();
        return Ok(());
    }
    let mut text = Vec::new();
    while progress.remaining != Some(0) {
        let Ok(Some(Ok(frame))) = tokio::time::timeout(SILENCE_TIMEOUT, body.frame()).await else {
            return Ok(());
        };
        text.extend_from_slice(&frame.into_data().unwrap_or_default());
        while let Some(end) = text.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = text.drain(..=end).collect();
            handle_line(config, progress, &line);
        }
    }
    Ok(())
}

fn handle_line(config: &Config, progress: &mut Progress, line: &[u8]) {
    let Ok(change) = serde_json::from_slice::<Value>(line) else {
        return;
    };
    let revision = change["revision"].as_u64().unwrap_or_default();
    progress.after_revision = progress.after_revision.max(revision);
    if change.get("name").is_none() || progress.remaining == Some(0) {
        return;
    }
    progress.remaining = progress.remaining.map(|remaining| remaining - 1);
    match config.format {
        Format::Json => println!("{change}"),
        Format::Table => {
            let field = |name: &str| change[name].as_str().unwrap_or_default().to_owned();
            let action = if change["resource"].is_null() {
                "deleted"
            } else {
                "changed"
            };
            println!("{revision} {}/{} {action}", field("kind"), field("name"));
        }
    }
}
