//! Error responses to callers: what happened and what to do about it.

use azurepath_decide::request::Id;
use azurepath_decide::verdict::Reason;
use http::{HeaderName, HeaderValue, StatusCode, header};
use serde::{Deserialize, Serialize};
use volo_http::body::Body;
use volo_http::response::Response;

use super::headers;
use crate::version::Denied;

/// Whether the work of a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Ran {
    /// It did not run and will not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Ran,
}

/// The body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The kind of error, to be read by programs.
    pub kind: String,
    /// Whether the work ran.
    pub ran: Ran,
    /// The request, if known.
    pub request: Option<Id>,
    /// What happened and what to do, to be read by people.
    pub message: String,
}

/// Why a request has no successful answer of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// A header is invalid.
    Header {
        /// The header.
        name: HeaderName,
        /// What to send.
        remedy: String,
    },
    /// There is no such path or method.
    Path,
    /// There is no such queue.
    Queue {
        /// The requested name.
        name: String,
    },
    /// The key is missing, invalid or not allowed to do this, or can't be checked.
    Denied(Denied),
    /// The payload is too long.
    TooLong {
        /// The limit in bytes.
        limit: u64,
    },
    /// The payload ended early.
    Truncated,
    /// The server is stopping.
    Stopping,
    /// There is no memory for the payload now.
    Busy,
    /// The request did not run.
    NotRun {
        /// The reason.
        reason: Reason,
        /// After how many seconds a retry may succeed.
        retry_after: Option<u64>,
    },
    /// The request may have run.
    Unknown {
        /// The attempt.
        attempt: u32,
    },
    /// The table can't be read, so it is not known whether a request with the id that the caller
    /// gave was accepted before. Nothing was started by this call.
    Unverified,
    /// A worker ran it and it failed.
    Failed {
        /// The name of the outcome.
        outcome: String,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: String,
    },
    /// A request with the same id was accepted before.
    Duplicate {
        /// Whether the earlier request ran.
        ran: Ran,
    },
}

/// The default of the `Retry-After` header, in seconds.
const RETRY_SECONDS: u64 = 1;

impl Problem {
    /// Returns the status code.
    pub fn status(&self) -> StatusCode {
        match self {
            Problem::Header { .. } | Problem::Truncated => StatusCode::BAD_REQUEST,
            Problem::Path | Problem::Queue { .. } => StatusCode::NOT_FOUND,
            Problem::Denied(Denied::Missing | Denied::Invalid) => StatusCode::UNAUTHORIZED,
            Problem::Denied(Denied::Forbidden) => StatusCode::FORBIDDEN,
            Problem::Denied(Denied::Isolated)
            | Problem::Stopping
            | Problem::Busy
            | Problem::Unverified => StatusCode::SERVICE_UNAVAILABLE,
            Problem::TooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Problem::NotRun { reason, .. } => status_of(*reason),
            Problem::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
            Problem::Failed { .. } => StatusCode::BAD_GATEWAY,
            Problem::Duplicate { .. } => StatusCode::CONFLICT,
        }
    }

    /// Returns whether the work ran.
    pub fn ran(&self) -> Ran {
        match self {
            Problem::Unknown { .. } | Problem::Unverified => Ran::Unknown,
            Problem::Failed { .. } => Ran::Ran,
            Problem::Duplicate { ran } => *ran,
            Problem::Header { .. }
            | Problem::Path
            | Problem::Queue { .. }
            | Problem::Denied(_)
            | Problem::TooLong { .. }
            | Problem::Truncated
            | Problem::Stopping
            | Problem::Busy
            | Problem::NotRun { .. } => Ran::NotRun,
        }
    }

    /// Returns the kind, to be read by programs.
    pub fn kind(&self) -> String {
        match self {
            Problem::Header { .. } => "header".to_owned(),
            Problem::Path => "path".to_owned(),
            Problem::Queue { .. } => "queue".to_owned(),
            Problem::Denied(Denied::Missing) => "key_missing".to_owned(),
            Problem::Denied(Denied::Invalid) => "key_invalid".to_owned(),
            Problem::Denied(Denied::Forbidden) => "key_forbidden".to_owned(),
            Problem::Denied(Denied::Isolated) => Reason::Isolated.to_string(),
            Problem::TooLong { .. } => "payload_too_long".to_owned(),
            Problem::Truncated => "payload_cut".to_owned(),
            Problem::Stopping => "stopping".to_owned(),
            Problem::Busy => "busy".to_owned(),
            Problem::NotRun { reason, .. } => reason.to_string(),
            Problem::Unknown { .. } => "unknown".to_owned(),
            Problem::Unverified => Reason::TableUnavailable.to_string(),
            Problem::Failed { outcome, .. } => outcome.clone(),
            Problem::Duplicate { .. } => Reason::Duplicate.to_string(),
        }
    }

    /// Returns what happened and what to do.
    pub fn message(&self) -> String {
        match self {
            Problem::Header { name, remedy } => format!("the header {name} is wrong: {remedy}"),
            Problem::Path => {
                "there is nothing here; send POST /v1/queues/QUEUE/requests".to_owned()
            }
            Problem::Queue { name } => {
                format!("there is no queue {name:?}; ask an operator which there are")
            }
            Problem::Denied(denied) => denied.to_string(),
            Problem::TooLong { limit } => {
                format!("the payload is longer than {limit} bytes; send less")
            }
            Problem::Truncated => "the payload ended early; send the request again".to_owned(),
            Problem::Stopping => "this server is about to stop; send the request again, \
                                  another server will take it"
                .to_owned(),
            Problem::Busy => "too many payloads arrive at once; send the request again".to_owned(),
            Problem::NotRun { reason, .. } => remedy_of(*reason).to_owned(),
            Problem::Unknown { attempt } => format!(
                "attempt {attempt} may have run and its answer is lost; check its effects before \
                 sending the work again"
            ),
            Problem::Unverified => "the table service can't be read, so nothing was started now; \
                                whether it ran before under this id is not known; send it again \
                                with the same id"
                .to_owned(),
            Problem::Failed {
                outcome,
                attempt,
                worker,
            } => format!(
                "attempt {attempt} ended as {outcome} on {worker}; see the work's own logs there"
            ),
            Problem::Duplicate { ran } => duplicate_message(*ran).to_owned(),
        }
    }

    /// Builds the response.
    pub fn response(&self, request: Option<Id>) -> Response {
        let document = Document {
            kind: self.kind(),
            ran: self.ran(),
            request,
            message: self.message(),
        };
        // Serializing a document of strings can't fail.
        let body = serde_json::to_vec(&document).unwrap_or_default();
        let mut response = Response::new(Body::from(body));
        *response.status_mut() = self.status();
        let ran: &'static str = self.ran().into();
        let map = response.headers_mut();
        map.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        map.insert(headers::RAN, HeaderValue::from_static(ran));
        if let Some(id) = request {
            insert_if_valid(map, headers::REQUEST_ID, &id.to_string());
        }
        if let Some(seconds) = self.retry_after() {
            map.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.status() == StatusCode::UNAUTHORIZED {
            map.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        match self {
            Problem::Unknown { attempt } => {
                map.insert(headers::ATTEMPT, HeaderValue::from(*attempt));
            }
            Problem::Failed {
                attempt, worker, ..
            } => {
                map.insert(headers::ATTEMPT, HeaderValue::from(*attempt));
                insert_if_valid(map, headers::WORKER, worker);
            }
            _ => {}
        }
        response
    }

    fn retry_after(&self) -> Option<u64> {
        let overload = matches!(
            self.status(),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        match self {
            Problem::NotRun { retry_after, .. } if overload => {
                Some(retry_after.unwrap_or(RETRY_SECONDS))
            }
            _ if overload => Some(RETRY_SECONDS),
            _ => None,
        }
    }
}

/// Inserts a header unless its value has characters that are not allowed in headers.
pub(super) fn insert_if_valid(map: &mut http::HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        map.insert(name, value);
    }
}

fn duplicate_message(ran: Ran) -> &'static str {
    match ran {
        Ran::Ran => {
            "a request with this id has run; its answer went to its first caller, and the work is \
             not repeated"
        }
        Ran::Unknown => {
            "a request with this id is running or may have run; wait for the first answer, or check \
             its effects before sending the work under a new id"
        }
        Ran::NotRun => "a request with this id did not run; send it under a new id",
    }
}

fn status_of(reason: Reason) -> StatusCode {
    match reason {
        Reason::TooLarge => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::Limit => StatusCode::TOO_MANY_REQUESTS,
        Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        Reason::Cancelled | Reason::Duplicate => StatusCode::CONFLICT,
        Reason::Overload
        | Reason::Expired
        | Reason::NoOwner
        | Reason::Leaving
        | Reason::Refused
        | Reason::Preempted
        | Reason::TableUnavailable
        | Reason::Isolated
        | Reason::Gang => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn remedy_of(reason: Reason) -> &'static str {
    match reason {
        Reason::TooLarge => "no worker of the fleet could ever hold it; ask for less",
        Reason::Overload => "the work ahead takes longer than its patience; retry later",
        Reason::Expired => "its patience ended while it was queued; retry with more patience",
        Reason::Unauthorized => "its team has no valid key; ask an operator for a new one",
        Reason::Limit => "its team is at its upper limit; retry when some of its work has ended",
        Reason::NoOwner => "no server owns a rack for it now; retry",
        Reason::Leaving => "the owner of its rack is about to stop; retry",
        Reason::Cancelled => "it was cancelled; send it again if it is still wanted",
        Reason::Refused => "no worker could start it in time; retry later",
        Reason::Preempted => "it made room for urgent work and found no other place; retry",
        Reason::TableUnavailable => {
            "the table service is down and a request that must not run twice needs it; retry"
        }
        Reason::Isolated => "this server can't reach its peers; retry, another one will take it",
        Reason::Gang => "a member of its gang could not start; submit the gang again",
        Reason::Duplicate => "a request with this id was taken up before; use a new id",
    }
}
