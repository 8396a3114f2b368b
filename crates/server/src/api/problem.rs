//! Error responses of the API.

use azurepath_decide::config::Refusal;
use http::{HeaderValue, StatusCode, header};
use serde::{Deserialize, Serialize};
use volo_http::response::Response;

use super::check::Fault;
use crate::version::Denied;

/// The body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The kind of error, to be read by programs.
    pub kind: String,
    /// What happened and what to do, to be read by people.
    pub message: String,
    /// The current revision of the resource; 0 if it does not exist.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub current: Option<u64>,
    /// The faults of the sent document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Problem {
    /// The path does not exist.
    #[error("there is nothing here; see docs/API.md for the paths")]
    Path,
    /// The path does not support the method.
    #[error("the path does not take this method; see docs/API.md")]
    Method,
    /// The key is missing, invalid or not allowed to do this, or can't be checked.
    #[error("{}", denied(*.0))]
    Denied(Denied),
    /// A parameter or a header is invalid.
    #[error("{name} is wrong: {remedy}")]
    Parameter {
        /// Its name.
        name: &'static str,
        /// What to send.
        remedy: &'static str,
    },
    /// The body is not a JSON document or is too long.
    #[error("the body is no JSON document of at most 1 MiB ({detail}); send one")]
    Body {
        /// The error of the parser or of the transport.
        detail: String,
    },
    /// There is no memory for the body now.
    #[error("too many bodies arrive at once; send the call again")]
    Busy,
    /// The document has faults.
    #[error("the document has faults; mend them all and send it again")]
    Faulty(Vec<Fault>),
    /// The resource does not exist.
    #[error("there is no such resource; list the kind to see which there are")]
    Missing,
    /// The changes after the requested revision are no longer kept.
    #[error(
        "changes after this revision are no longer kept; list the resources again and watch from \
         the revision of the list"
    )]
    TooOld,
    /// The change was refused.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The table can't be read.
    #[error("the table service is down; retry later")]
    Table,
}

fn denied(denied: Denied) -> &'static str {
    match denied {
        Denied::Missing => "operators only; send the header `Authorization: Bearer KEY`",
        Denied::Invalid => "the key is not valid; ask another operator for a new one",
        Denied::Forbidden => "the key is a team's; send an operator's key",
        Denied::Isolated => "this server is cut off and can't check the key; ask another server",
    }
}

impl Problem {
    /// Returns the status code.
    pub fn status(&self) -> StatusCode {
        match self {
            Problem::Path | Problem::Missing | Problem::Refused(Refusal::Missing) => {
                StatusCode::NOT_FOUND
            }
            Problem::Method => StatusCode::METHOD_NOT_ALLOWED,
            Problem::Denied(Denied::Missing | Denied::Invalid) => StatusCode::UNAUTHORIZED,
            Problem::Denied(Denied::Forbidden) => StatusCode::FORBIDDEN,
            Problem::Denied(Denied::Isolated)
            | Problem::Busy
            | Problem::Table
            | Problem::Refused(Refusal::Unavailable) => StatusCode::SERVICE_UNAVAILABLE,
            Problem::Parameter { .. } | Problem::Body { .. } => StatusCode::BAD_REQUEST,
            Problem::Faulty(_) => StatusCode::UNPROCESSABLE_ENTITY,
            Problem::TooOld => StatusCode::GONE,
            Problem::Refused(Refusal::Stale { .. }) => StatusCode::CONFLICT,
            Problem::Refused(Refusal::Unknown) => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn kind(&self) -> &'static str {
        match self {
            Problem::Path => "path",
            Problem::Method => "method",
            Problem::Denied(Denied::Missing) => "key_missing",
            Problem::Denied(Denied::Invalid) => "key_invalid",
            Problem::Denied(Denied::Forbidden) => "key_forbidden",
            Problem::Denied(Denied::Isolated) => "isolated",
            Problem::Parameter { .. } => "parameter",
            Problem::Body { .. } => "body",
            Problem::Busy => "busy",
            Problem::Faulty(_) => "faulty",
            Problem::Missing | Problem::Refused(Refusal::Missing) => "missing",
            Problem::TooOld => "too_old",
            Problem::Refused(Refusal::Stale { .. }) => "stale",
            Problem::Refused(Refusal::Unavailable) | Problem::Table => "table_unavailable",
            Problem::Refused(Refusal::Unknown) => "unknown",
        }
    }

    /// Builds the response.
    pub fn response(self) -> Response {
        let status = self.status();
        let current = match &self {
            Problem::Refused(Refusal::Stale { current }) => Some(*current),
            _ => None,
        };
        let mut document = Document {
            kind: self.kind().to_owned(),
            message: self.to_string(),
            current,
            faults: Vec::new(),
        };
        if let Problem::Faulty(faults) = self {
            document.faults = faults;
        }
        let mut response = super::json(status, &document);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            let second = HeaderValue::from_static("1");
            response.headers_mut().insert(header::RETRY_AFTER, second);
        }
        response
    }
}
