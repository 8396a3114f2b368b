//! Calls over HTTP/1.1 that tell "surely not sent" from "may have been sent".
//!
//! A call that runs out of time closes its connection, so a connection that has gone silent costs
//! one call.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::client;
use volo_http::error::ClientError;
use volo_http::error::client::ErrorKind;

/// The longest body of an answer in bytes.
const BODY_LIMIT: usize = 64 * 1024 * 1024;

/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The header with the CRC-32 of an answer's payload, as hexadecimal digits.
pub const CHECKSUM: &str = "azurepath-checksum";

/// Why a call gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent.
    NotSent(String),
    /// The call may have been taken.
    Lost(String),
}

impl Failure {
    /// Returns what was seen.
    pub fn into_detail(self) -> String {
        match self {
            Failure::NotSent(detail) | Failure::Lost(detail) => detail,
        }
    }
}

/// A call.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// Headers besides those that the client sets.
    pub headers: HeaderMap,
    /// The payload.
    pub body: Bytes,
    /// How long the whole call may take.
    pub timeout: Duration,
}

impl Call {
    /// Makes a call without a payload.
    pub fn new(method: Method, path: impl Into<String>, timeout: Duration) -> Call {
        Call {
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            timeout,
        }
    }

    /// Makes a `POST` of a JSON document.
    pub fn post(path: impl Into<String>, body: &impl Serialize, timeout: Duration) -> Call {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Call {
            body: Bytes::from(body),
            ..Call::new(Method::POST, path, timeout)
        }
    }
}

/// An answer, whole.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The payload.
    pub body: Bytes,
}

impl Reply {
    /// Returns a header's text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Reads the payload as a document.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Lost`] where the payload is another document.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Failure::Lost(format!("answer is not as agreed: {error}")))
    }

    /// Describes the reply for an error.
    pub fn describe(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        let short: String = text.chars().take(200).collect();
        format!("status {}: {short}", self.status.as_u16())
    }
}

/// A pool of connections to any number of addresses.
#[derive(Clone)]
pub struct Pool {
    client: client::Client,
}

impl Pool {
    /// Makes an empty pool that keeps `idle` unused connections to an address at most.
    pub fn new(idle: usize) -> Pool {
        let mut builder = client::Client::builder();
        builder.set_pool_idle_timeout(IDLE_TIMEOUT);
        builder.set_max_idle_per_host(idle);
        let client = builder.build().unwrap_or_default();
        Pool { client }
    }

    /// Calls and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`Failure`], which tells whether the call may have been taken.
    pub async fn call(&self, address: SocketAddr, call: Call) -> Result<Reply, Failure> {
        let timeout = call.timeout;
        match tokio::time::timeout(timeout, self.exchange(address, call)).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Lost(format!("no answer within {timeout:?}"))),
        }
    }

    async fn exchange(&self, address: SocketAddr, call: Call) -> Result<Reply, Failure> {
        let uri = format!("http://{address}{}", call.path);
        let mut request = self
            .client
            .request(call.method, uri)
            .body(Body::from(call.body));
        request.headers_mut().extend(call.headers);
        let response = request.send().await.map_err(|error| classify(&error))?;
        let (parts, body) = response.into_parts();
        let collected = Limited::new(body, BODY_LIMIT).collect().await;
        let body = collected
            .map_err(|error| Failure::Lost(format!("the answer broke off: {error}")))?
            .to_bytes();
        let reply = Reply {
            status: parts.status,
            headers: parts.headers,
            body,
        };
        check(&reply)?;
        Ok(reply)
    }
}

/// Tells an error before the request was sent from one after.
fn classify(error: &ClientError) -> Failure {
    let detail = error.to_string();
    let early = matches!(error.kind(), ErrorKind::Connect | ErrorKind::Builder);
    // The library gives the set-up of a connection the kind of a sent request, but only there is
    // the source a bare error of the socket.
    let no_connection = error
        .source()
        .is_some_and(<dyn Error>::is::<std::io::Error>);
    if early || no_connection || never_written(error) {
        Failure::NotSent(detail)
    } else {
        Failure::Lost(detail)
    }
}

/// Tells whether a kept connection closed before the request was written to it.
///
/// `hyper` calls only such requests cancelled; one that had been taken up by the connection ends
/// with another error.
fn never_written(error: &ClientError) -> bool {
    let mut source = error.source();
    while let Some(inner) = source {
        if inner
            .downcast_ref::<hyper::Error>()
            .is_some_and(hyper::Error::is_canceled)
        {
            return true;
        }
        source = inner.source();
    }
    false
}

/// Refuses an answer that is shorter than its length or does not match its checksum.
fn check(reply: &Reply) -> Result<(), Failure> {
    let length = reply
        .header("content-length")
        .and_then(|text| text.parse::<usize>().ok());
    if length.is_some_and(|length| length != reply.body.len()) {
        return Err(Failure::Lost("the answer is short".to_owned()));
    }
    let checksum = reply.header(CHECKSUM);
    let right = checksum.is_none_or(|text| {
        u32::from_str_radix(text, 16).is_ok_and(|sum| sum == crc32fast::hash(&reply.body))
    });
    if !right {
        return Err(Failure::Lost(
            "the answer's checksum is another's".to_owned(),
        ));
    }
    Ok(())
}

/// Escapes a text for the query part of a path.
pub fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        let plain = byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte);
        if plain {
            escaped.push(char::from(byte));
        } else {
            escaped.push_str(&format!("%{byte:02X}"));
        }
    }
    escaped
}
