//! Changes as a stream of JSON lines.

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

/// The longest silence of a watch: a line that only names the revision follows.
const SILENCE: Duration = Duration::from_secs(2);

/// Any error, as a body wants it; a watch has none.
type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A watch of one operator.
struct Watcher {
    process: Process,
    kind: Option<Kind>,
    after: u64,
    ready: Vec<Change>,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    phase: watch::Receiver<Phase>,
}

/// Answers with the changes after a revision, and goes on with later ones as they come.
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
    /// Waits for the next lines; the stream ends when the process stops or lines were missed.
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
                () = tokio::time::sleep(SILENCE) => {
                    text = format!("{}\n", json!({"revision": self.after}));
                }
            }
        }
        Some((Ok(Frame::data(Bytes::from(text))), self))
    }

    /// Writes the changes that are ready, each revision once.
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
        "resource": change.resource.as_ref().map(item::shown),
    });
    format!("{document}\n")
}
