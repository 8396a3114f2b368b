//! The HTTP interface for clients.

use std::time::Duration;

use azurepath_decide::batch::JobId;
use azurepath_decide::batch::caller::Caller;
use azurepath_decide::batch::concurrency;
use azurepath_decide::batch::config::{Config, Queue};
use azurepath_decide::batch::spec::Spec;
use azurepath_platform::{entry, job};
use azurepath_wire::batch::{Call, Reply};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use opentelemetry::KeyValue;
use slog::info;
use tokio::sync::watch;
use tokio::time::Instant;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::Router;
use volo_http::utils::Extension;

use super::Context;
use crate::connection::call::Failure;
use crate::process::http::body::{self, Fault};
use crate::process::stop::Phase;

/// How long a client waits for an answer, unless its request says otherwise.
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The fraction of a client's timeout after which it gets a timeout error.
const TIMEOUT_FRACTION: f64 = 0.9;

/// How long a call waits for a leader before it is refused: longer than a planned change of the
/// leader takes.
const LEADER_WAIT: Duration = Duration::from_millis(1_200);

/// How long one try of a call to the leader may take.
const TRY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The pause between two tries.
const TRY_PAUSE: Duration = Duration::from_millis(50);

/// The time after which clients may retry if there is no leader, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// The kind under which the bytes of clients' calls are counted.
const CLIENT_KIND: &str = "client";

/// The length of the head of a call and of an answer without the headers that are counted.
const HEAD_BYTES: u64 = 150;

/// How much of a path is logged. Lines wait in a queue of 4,096, and a path may be as long as a head.
const LOGGED_PATH_CHARS: usize = 256;

/// The answer to a client.
struct Outcome {
    status: StatusCode,
    body: String,
    retry_after_s: Option<u64>,
}

/// The command in a client's request.
enum Command {
    Submit(JobId, Spec),
    Cancel(JobId),
    State(JobId),
    Pending,
}

/// Creates the routes for clients.
pub(super) fn routes(context: Context) -> Router {
    Router::new().fallback(handle).layer(Extension(context))
}

async fn handle(Extension(context): Extension<Context>, request: Request) -> Response {
    let method = kind(request.method());
    let _guard = context.pending.calls.enter(method);
    let begun = Instant::now();
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let outcome = serve(&context, &parts.method, &path, &parts.headers, body).await;
    let outcome = outcome.unwrap_or_else(|refusal| refusal);
    let received = HEAD_BYTES + path.len() as u64 + content_length(&parts.headers);
    let sent = HEAD_BYTES + outcome.body.len() as u64;
    context.counts.count_bytes(CLIENT_KIND, sent, received);
    let labels = [
        KeyValue::new("method", method),
        KeyValue::new("status", i64::from(outcome.status.as_u16())),
    ];
    let seconds = begun.elapsed().as_secs_f64();
    context.counts.calls.record(seconds, &labels);
    // Reads of states are not logged: they come many times per second and change nothing.
    if parts.method != Method::GET || outcome.status.is_server_error() {
        let version = context
            .config
            .borrow()
            .as_ref()
            .map(|config| config.version);
        let path: String = path.chars().take(LOGGED_PATH_CHARS).collect();
        info!(context.log, "call answered";
            "path" => path, "method" => method, "status" => outcome.status.as_u16(),
            "configuration" => version, "micros" => begun.elapsed().as_micros() as u64);
    }
    let leaving = *context.phase.borrow() >= Phase::Leaving;
    respond(outcome, leaving)
}

/// Returns the method of a call as it is counted. Clients may send any word as a method, and each would
/// be a value of its own.
fn kind(method: &Method) -> &'static str {
    match *method {
        Method::GET => "GET",
        Method::POST => "POST",
        Method::DELETE => "DELETE",
        _ => "other",
    }
}

/// Returns the length of a body, or 0 if it is not known beforehand.
fn content_length(headers: &HeaderMap) -> u64 {
    let length = headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
    length.unwrap_or(0)
}

fn respond(outcome: Outcome, leaving: bool) -> Response {
    let mut response = Response::new(Body::from(outcome.body));
    *response.status_mut() = outcome.status;
    let headers = response.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    if let Some(seconds) = outcome.retry_after_s {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if leaving {
        let close = HeaderValue::from_static("close");
        headers.insert(header::CONNECTION, close);
    }
    response
}

impl Outcome {
    fn new(status: StatusCode) -> Outcome {
        Outcome {
            status,
            body: "{}".to_owned(),
            retry_after_s: None,
        }
    }

    fn invalid(detail: &str) -> Outcome {
        Outcome {
            body: serde_json::json!({ "error": detail }).to_string(),
            ..Outcome::new(StatusCode::BAD_REQUEST)
        }
    }

    /// Creates the refusal of a call that had no effect.
    fn unavailable(retry_after_s: u64) -> Outcome {
        Outcome {
            retry_after_s: Some(retry_after_s),
            ..Outcome::new(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

async fn serve(
    context: &Context,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    body: Body,
) -> Result<Outcome, Outcome> {
    let timeout = entry::timeout_ms(headers).map_or(DEFAULT_TIMEOUT, Duration::from_millis);
    let deadline = Instant::now() + timeout.mul_f64(TIMEOUT_FRACTION);
    let body = body::read(body, context.gate.limits().body_bytes).await;
    if body == Err(Fault::Full) {
        return Err(Outcome::unavailable(RETRY_AFTER_S));
    }
    let config = context.config.borrow().clone();
    let config = config.ok_or_else(|| Outcome::unavailable(RETRY_AFTER_S))?;
    let (queue, caller) = authorize(&config, path, headers)?;
    let body =
        body.map_err(|_| Outcome::invalid("the body is too long or was cut; send it anew"))?;
    let command = parse(method, &path[queue.prefix.len()..], &body)?;
    let call = match &command {
        Command::Submit(job, spec) => Call::Submit {
            job: *job,
            caller,
            spec: spec.clone(),
        },
        Command::Cancel(job) => Call::Cancel { job: *job, caller },
        Command::State(job) => Call::State { job: *job, caller },
        Command::Pending => Call::Pending {
            queue: queue.name.to_string(),
        },
    };
    let reply = forward(context, &call, deadline).await?;
    Ok(outcome(&command, reply))
}

/// Finds the queue of a call and who makes it.
fn authorize<'a>(
    config: &'a Config,
    path: &str,
    headers: &HeaderMap,
) -> Result<(&'a Queue, Caller), Outcome> {
    let host = headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    // The host header may include a port.
    let host = host
        .unwrap_or_default()
        .split(':')
        .next()
        .unwrap_or_default();
    let queue = config.route(host, path);
    let queue = queue.ok_or_else(|| Outcome::new(StatusCode::NOT_FOUND))?;
    let account = entry::key(headers).and_then(|key| config.account_of(key));
    if account.is_none() && !queue.open {
        return Err(Outcome::new(StatusCode::UNAUTHORIZED));
    }
    let caller = Caller {
        queue: queue.name.clone(),
        account: account.map(|account| account.name.clone()),
        open: queue.open,
    };
    Ok((queue, caller))
}

fn parse(method: &Method, suffix: &str, body: &[u8]) -> Result<Command, Outcome> {
    if *method == Method::GET && suffix.is_empty() {
        return Ok(Command::Pending);
    }
    let id = suffix
        .parse::<JobId>()
        .map_err(|error| Outcome::invalid(&error.to_string()))?;
    match *method {
        Method::GET => Ok(Command::State(id)),
        Method::DELETE => Ok(Command::Cancel(id)),
        Method::POST => {
            let spec = job::read(body).map_err(|error| Outcome::invalid(&error))?;
            Ok(Command::Submit(id, spec))
        }
        _ => Err(Outcome::new(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

/// Calls the leader and retries if necessary; all calls may be repeated.
async fn forward(context: &Context, call: &Call, deadline: Instant) -> Result<Reply, Outcome> {
    let mut end = context.answer_deadline.clone();
    tokio::select! {
        result = call_leader(context, call, deadline) => result,
        // The process stops before the call's own deadline.
        () = ended(&mut end) => Err(Outcome::new(StatusCode::GATEWAY_TIMEOUT)),
    }
}

/// Waits until the time by which all calls are answered while the process stops.
async fn ended(end: &mut watch::Receiver<Option<Instant>>) {
    match end.wait_for(Option::is_some).await.map(|end| *end) {
        Ok(Some(end)) => tokio::time::sleep_until(end).await,
        // Without a sender the process is ending already.
        Ok(None) | Err(_) => std::future::pending().await,
    }
}

async fn call_leader(context: &Context, call: &Call, deadline: Instant) -> Result<Reply, Outcome> {
    let give_up = deadline.min(Instant::now() + LEADER_WAIT);
    let mut sent = false;
    let mut route = context.route.clone();
    loop {
        let until = if sent { deadline } else { give_up };
        match try_leader(context, call, until, deadline).await {
            Try::Replied(Reply::NotLeading) | Try::Failed(Failure::Unsent) => {}
            // An earlier try may still arrive and be accepted, so the job may run.
            Try::Replied(Reply::Refused { .. } | Reply::TooLarge) if sent => {
                return Err(Outcome::new(StatusCode::GATEWAY_TIMEOUT));
            }
            Try::Replied(reply) => return Ok(reply),
            Try::Failed(Failure::Lost) => sent = true,
            Try::Limited(_) if sent => return Err(Outcome::new(StatusCode::GATEWAY_TIMEOUT)),
            Try::Limited(wait) => {
                return Err(Outcome::unavailable(wait.as_secs().max(RETRY_AFTER_S)));
            }
        }
        let now = Instant::now();
        if sent && now >= deadline {
            return Err(Outcome::new(StatusCode::GATEWAY_TIMEOUT));
        }
        if !sent && now >= give_up {
            return Err(Outcome::unavailable(RETRY_AFTER_S));
        }
        tokio::select! {
            () = route.changed() => {}
            () = tokio::time::sleep(TRY_PAUSE) => {}
        }
    }
}

/// What came of one try to call the leader.
enum Try {
    Replied(Reply),
    Failed(Failure),
    /// The submission was not sent, since others wait before it, probably for this time.
    Limited(Duration),
}

/// Calls the leader once. A submission to another instance waits for a permit until `until`.
async fn try_leader(context: &Context, call: &Call, until: Instant, deadline: Instant) -> Try {
    let mut permit = None;
    if let Call::Submit { job, .. } = call
        && context.route.is_remote()
    {
        match context.limiter.acquire(until).await {
            Ok(granted) => permit = Some(granted),
            Err(wait) => {
                context.counts.limited_submissions.add(1, &[]);
                info!(context.log, "submission limited"; "job" => %job,
                    "wait_ms" => wait.as_millis() as u64);
                return Try::Limited(wait);
            }
        }
    }
    let begun = Instant::now();
    let wait = deadline.saturating_duration_since(begun).min(TRY_TIMEOUT);
    let result = context.route.call(call.clone(), wait).await;
    if let Some(permit) = permit {
        permit.release(match &result {
            Ok(_) => concurrency::Outcome::Answered(begun.elapsed()),
            Err(Failure::Unsent) => concurrency::Outcome::Abandoned,
            Err(Failure::Lost) => concurrency::Outcome::Lost,
        });
    }
    match result {
        Ok(reply) => Try::Replied(reply),
        Err(failure) => Try::Failed(failure),
    }
}

fn outcome(command: &Command, reply: Reply) -> Outcome {
    match (command, reply) {
        (Command::Submit(..), Reply::Accepted | Reply::Cancelled) => Outcome::new(StatusCode::OK),
        (Command::Cancel(_), Reply::Cancelled | Reply::Accepted) => Outcome::new(StatusCode::OK),
        (Command::Submit(..), Reply::Refused { retry_after_ms }) => Outcome {
            retry_after_s: Some(retry_after_ms.div_ceil(1_000)),
            ..Outcome::new(StatusCode::TOO_MANY_REQUESTS)
        },
        (Command::Submit(..), Reply::TooLarge) => Outcome {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            ..Outcome::invalid(
                "the job is larger than the store accepts; send fewer or shorter steps",
            )
        },
        (Command::Submit(..), Reply::Taken) => Outcome {
            status: StatusCode::CONFLICT,
            ..Outcome::invalid("the id is in use; send the job under a new one")
        },
        (Command::State(_), Reply::State(state)) => Outcome {
            body: entry::state_body(state),
            ..Outcome::new(StatusCode::OK)
        },
        (Command::Pending, Reply::Pending(count)) => Outcome {
            body: entry::pending_body(count),
            ..Outcome::new(StatusCode::OK)
        },
        (Command::State(_) | Command::Cancel(_), Reply::Unknown) => Outcome::new(StatusCode::GONE),
        // The reply does not match the call, so the outcome is unknown.
        (_, _) => Outcome::new(StatusCode::BAD_GATEWAY),
    }
}
