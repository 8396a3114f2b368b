//! Streams changes of resources as JSON lines.

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::config::{Change, Snapshot};
use azurepath_decide::resource::Kind;
use bytes::Bytes;
use futures::stream;
use http::{HeaderValue, StatusCode, header};
use http_body::Frame;
use serde_json::json;
use tokio::sync::watch;
use volo_http::body::Body;
use volo_http::response::Response;

use super::item;
use super::problem::Problem;
use crate::process::Process;
use crate::process::stop::Phase;
use crate::version::store::Missing;

/// After how long without changes a watch sends a line with only the revision.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// The error type of a streamed body; a watch never returns one.
type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The state of one watch.
struct Watcher {
    process: Process,
    kind: Option<Kind>,
    after: u64,
    ready: Vec<Change>,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    phase: watch::Receiver<Phase>,
}

/// Builds the response that streams the changes after a revision and all later ones.
pub(super) async fn stream(
    process: &Process,
    kind: Option<Kind>,
    from: &str,
) -> Result<Response, Problem> {
    let after: u64 = from.parse().map_err(|_| Problem::Parameter {
        name: "watch",
        remedy: "send the revision of the list, or of the last line that you have read",
    })?;
    let snapshot = process.snapshot.clone();
    let ready = process
        .config
        .changes_after(after)
        .await
        .map_err(|error| match error {
            Missing::TooOld { .. } => Problem::TooOld,
            Missing::Table(_) => Problem::Table,
        })?;
    let watcher = Watcher {
        process: process.clone(),
        kind,
        after,
        ready,
        snapshot,
        phase: process.phase.clone(),
    };
    let lines = stream::unfold(watcher, Watcher::next);
    let mut response = Response::new(Body::from_stream(lines));
    *response.status_mut() = StatusCode::OK;
    let value = HeaderValue::from_static("application/jsonl");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    Ok(response)
}

impl Watcher {
    /// Waits for the next lines.
    ///
    /// Returns `None`, which ends the stream, if the process is stopping or the next changes can't
    /// be read.
    async fn next(mut self) -> Option<(Result<Frame<Bytes>, BoxError>, Watcher)> {
        let mut text = self.lines();
        while text.is_empty() {
            if *self.phase.borrow() >= Phase::Leaving {
                return None;
            }
            tokio::select! {
                changed = self.snapshot.changed() => {
                    changed.ok()?;
                    self.snapshot.borrow_and_update();
                    self.ready = self.process.config.changes_after(self.after).await.ok()?;
                    text = self.lines();
                }
                changed = self.phase.changed() => changed.ok()?,
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {
                    text = format!("{}\n", json!({"revision": self.after}));
                }
            }
        }
        Some((Ok(Frame::data(Bytes::from(text))), self))
    }

    /// Formats the changes that are ready and skips revisions that were sent before.
    fn lines(&mut self) -> String {
        let mut text = String::new();
        for change in std::mem::take(&mut self.ready) {
            if change.revision <= self.after {
                continue;
            }
            self.after = change.revision;
            if self.kind.is_none_or(|kind| kind == change.kind) {
                text.push_str(&line(&change));
            }
        }
        text
    }
}

fn line(change: &Change) -> String {
    let document = json!({
        "revision": change.revision,
        "kind": change.kind,
        "name": change.name,
        "resource": change.resource.as_ref().map(item::redacted),
    });
    format!("{document}\n")
}
