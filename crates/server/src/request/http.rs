//! The HTTP interface for callers.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Instant;

use azurepath_decide::request::{Id, Request as Task};
use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use http_body::{Frame, SizeHint};
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
use super::problem::{Problem, Ran, insert_if_valid};
use super::submit::{self, Answer};
use crate::api;
use crate::process::http::body::{self, Fault};
use crate::process::stop::{Guard, Phase};
use crate::process::{Process, dump};

/// The queue under which requests to queues that don't exist are counted.
const UNKNOWN_QUEUE: &str = "unknown";

/// Builds the routes for callers, operators and monitoring.
pub fn routes(process: Process) -> Router {
    api::routes(Router::new())
        .route("/v1/queues/{queue}/requests", post(post_request))
        .route("/healthz", get(health))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .route("/dump", get(dump_state))
        .fallback(not_found)
        .layer(Extension(process))
}

async fn post_request(
    Extension(process): Extension<Process>,
    PathParams(queue): PathParams<String>,
    request: Request,
) -> Response {
    let guard = process.inflight.enter("request");
    let received_at = Instant::now();
    process.metrics.inflight.add(1, &[]);
    let outcome = serve(&process, &queue, request).await;
    process.metrics.inflight.add(-1, &[]);
    let ran: &'static str = outcome.ran().into();
    // Callers may send any name, and each would be a value of its own.
    let is_known = process.snapshot.borrow().queue(&queue).is_some();
    let label = if is_known {
        queue
    } else {
        UNKNOWN_QUEUE.to_owned()
    };
    process.metrics.requests.add(
        1,
        &[KeyValue::new("queue", label), KeyValue::new("ran", ran)],
    );
    if let Some(task) = &outcome.task {
        let seconds = received_at.elapsed().as_secs_f64();
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
        Body::from_body(InflightBody {
            body,
            _guard: guard,
        })
    })
}

/// A response body that counts as in flight until it is dropped.
struct InflightBody {
    body: Body,
    _guard: Guard,
}

impl http_body::Body for InflightBody {
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

/// The outcome of a request.
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
        insert_if_valid(map, headers::WORKER, &answer.worker);
        if let Some(id) = self.id {
            insert_if_valid(map, headers::REQUEST_ID, &id.to_string());
        }
        response
    }
}

async fn serve(process: &Process, queue: &str, request: Request) -> Outcome {
    let (parts, body) = request.into_parts();
    let headers = match Headers::read(&parts.headers) {
        Ok(headers) => headers,
        Err(problem) => return rejected(None, problem),
    };
    let id = headers.id;
    let id_is_generated = id.is_none();
    let task = match admission::admit(process, queue, &headers) {
        Ok(task) => task,
        Err(problem) => return rejected(id, problem),
    };
    let id = Some(task.id);
    let payload = match payload(process, body).await {
        Ok(payload) => payload,
        Err(problem) => return rejected(id, problem),
    };
    let result = submit::submit(process, task.clone(), payload, id_is_generated).await;
    Outcome {
        id,
        task: Some(task),
        result,
    }
}

fn rejected(id: Option<Id>, problem: Problem) -> Outcome {
    Outcome {
        id,
        task: None,
        result: Err(problem),
    }
}

/// Reads the payload of a request. A server that stops does not wait for it.
async fn payload(process: &Process, body: Body) -> Result<Bytes, Problem> {
    let limit = process.settings.limits.body;
    let mut phase = process.phase.clone();
    let read = tokio::select! {
        read = body::read(body, usize::try_from(limit).unwrap_or(usize::MAX)) => read,
        _ = phase.wait_for(|phase| *phase >= Phase::Closing) => return Err(Problem::Stopping),
    };
    read.map_err(|fault| match fault {
        Fault::TooLong => Problem::TooLong { limit },
        Fault::Cut => Problem::Truncated,
        Fault::Full => Problem::Busy,
    })
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

async fn dump_state(Extension(process): Extension<Process>) -> Response {
    let dump = dump::dump(&process).await;
    let mut response = Response::new(Body::from(dump.to_string()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

async fn not_found() -> Response {
    Problem::Path.response(None)
}

/// Binds a listener for peers; port 0 lets the kernel choose a free port.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub async fn bind(address: SocketAddr) -> anyhow::Result<tokio::net::TcpListener> {
    use anyhow::Context;
    tokio::net::TcpListener::bind(address)
        .await
        .with_context(|| format!("can't listen on {address}; set another address in [server]"))
}
