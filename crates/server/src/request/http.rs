//! The HTTP entry of callers.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Instant;

use azurepath_decide::request::{Id, Request as Task};
use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use http_body::{Frame, SizeHint};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use opentelemetry::KeyValue;
use slog::info;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::param::PathParams;
use volo_http::server::route::{Router, get, post};
use volo_http::utils::Extension;

use super::admission;
use super::headers::{self, Headers};
use super::problem::{Problem, Ran, insert};
use super::submit::{self, Answer};
use crate::api;
use crate::process::stop::{Guard, Phase};
use crate::process::{Process, dump};

/// The routes of callers and of those who watch the process.
pub fn routes(process: Process) -> Router {
    api::routes(Router::new())
        .route("/v1/queues/{queue}/requests", post(take))
        .route("/healthz", get(health))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .route("/dump", get(state))
        .fallback(nothing)
        .layer(Extension(process))
}

async fn take(
    Extension(process): Extension<Process>,
    PathParams(queue): PathParams<String>,
    request: Request,
) -> Response {
    let guard = process.inflight.enter();
    let arrival = Instant::now();
    process.metrics.inflight.add(1, &[]);
    let outcome = serve(&process, &queue, request).await;
    process.metrics.inflight.add(-1, &[]);
    let ran: &'static str = outcome.ran().into();
    process.metrics.requests.add(
        1,
        &[
            KeyValue::new("queue", queue.clone()),
            KeyValue::new("ran", ran),
        ],
    );
    if let Some(task) = &outcome.task {
        let seconds = arrival.elapsed().as_secs_f64();
        let class = KeyValue::new("class", task.class.to_string());
        process.metrics.latency.record(seconds, &[class]);
    }
    outcome.log(&process);
    let mut response = outcome.response();
    if *process.phase.borrow() >= Phase::Leaving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response.map(|body| {
        Body::from_body(Counted {
            body,
            _guard: guard,
        })
    })
}

/// A body that counts as in flight until it has been taken.
struct Counted {
    body: Body,
    _guard: Guard,
}

impl http_body::Body for Counted {
    type Data = Bytes;
    type Error = <Body as http_body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// What became of a request.
struct Outcome {
    id: Option<Id>,
    task: Option<Task>,
    result: Result<Answer, Problem>,
}

impl Outcome {
    fn ran(&self) -> Ran {
        match &self.result {
            Ok(_) => Ran::Ran,
            Err(problem) => problem.ran(),
        }
    }

    fn log(&self, process: &Process) {
        let team = self.task.as_ref().map(|task| task.team.to_string());
        let kind = match &self.result {
            Ok(_) => "done".to_owned(),
            Err(problem) => problem.kind(),
        };
        let ran: &'static str = self.ran().into();
        info!(process.log, "request answered";
            "request" => self.id.map(|id| id.to_string()),
            "team" => team,
            "kind" => kind,
            "ran" => ran);
    }

    fn response(self) -> Response {
        let answer = match self.result {
            Ok(answer) => answer,
            Err(problem) => return problem.response(self.id),
        };
        let mut response = Response::new(Body::from(answer.payload));
        let map = response.headers_mut();
        map.insert(headers::RAN, HeaderValue::from_static("ran"));
        map.insert(headers::ATTEMPT, HeaderValue::from(answer.attempt));
        insert(map, headers::WORKER, &answer.worker);
        if let Some(id) = self.id {
            insert(map, headers::REQUEST_ID, &id.to_string());
        }
        response
    }
}

async fn serve(process: &Process, queue: &str, request: Request) -> Outcome {
    let (parts, body) = request.into_parts();
    let headers = match Headers::read(&parts.headers) {
        Ok(headers) => headers,
        Err(problem) => return failed(None, problem),
    };
    let id = headers.id;
    let fresh = id.is_none();
    let task = match admission::admit(process, queue, &headers) {
        Ok(task) => task,
        Err(problem) => return failed(id, problem),
    };
    let id = Some(task.id);
    let payload = match payload(body, process.settings.limits.body).await {
        Ok(payload) => payload,
        Err(problem) => return failed(id, problem),
    };
    let result = submit::submit(process, task.clone(), payload, fresh).await;
    Outcome {
        id,
        task: Some(task),
        result,
    }
}

fn failed(id: Option<Id>, problem: Problem) -> Outcome {
    Outcome {
        id,
        task: None,
        result: Err(problem),
    }
}

async fn payload(body: Body, limit: u64) -> Result<Bytes, Problem> {
    let limited = Limited::new(body, usize::try_from(limit).unwrap_or(usize::MAX));
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Problem::TooLong { limit }),
        Err(_) => Err(Problem::Cut),
    }
}

async fn health() -> &'static str {
    "ok\n"
}

async fn ready(Extension(process): Extension<Process>) -> (StatusCode, String) {
    let phase = *process.phase.borrow();
    let status = match phase {
        Phase::Serving => StatusCode::OK,
        Phase::Starting | Phase::Leaving | Phase::Closing => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, format!("{phase}\n"))
}

async fn metrics(Extension(process): Extension<Process>) -> Result<Vec<u8>, StatusCode> {
    process
        .metrics
        .text()
        .map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

async fn state(Extension(process): Extension<Process>) -> Response {
    let dump = dump::dump(&process).await;
    let mut response = Response::new(Body::from(dump.to_string()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

async fn nothing() -> Response {
    Problem::Path.response(None)
}

/// Makes a listener with a bound address, where a port of 0 has been replaced.
///
/// # Errors
///
/// Returns an error where the address can't be listened on.
pub async fn bind(address: SocketAddr) -> anyhow::Result<tokio::net::TcpListener> {
    use anyhow::Context;
    tokio::net::TcpListener::bind(address)
        .await
        .with_context(|| format!("{address} can't be listened on; give another in [server]"))
}
