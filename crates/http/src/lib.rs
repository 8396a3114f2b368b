//! HTTP/1.1 client that distinguishes calls that were certainly not sent from calls that may have
//! been sent.
//!
//! A call that times out closes its connection, so an unresponsive connection fails only one call.
//! If the call allows it, a response may take longer than the timeout while its bytes keep arriving.
//! Otherwise a response longer than the link carries within the timeout would never complete.

mod connection;

use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::response::Parts;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::client;
use volo_http::error::ClientError;
use volo_http::error::client::ErrorKind;

pub use connection::Connection;

/// The maximum length of a response body in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The length of a request's head without its path and the headers of the call: the request line
/// and the headers that the client library adds.
const HEAD_BYTES: usize = 90;

/// The length of a response's status line and the empty line after its headers.
const STATUS_BYTES: usize = "HTTP/1.1 200 OK\r\n\r\n".len();

/// The bytes of a header line beside its name and value.
const LINE_FRAME_BYTES: usize = ": \r\n".len();

/// The header with the CRC-32 of a response's body, in hexadecimal.
pub const CHECKSUM_HEADER: &str = "azurepath-checksum";

/// Why a call received no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request was not sent.
    NotSent(String),
    /// The request may have been sent and processed.
    Lost(String),
}

impl Failure {
    /// Returns the cause.
    pub fn into_detail(self) -> String {
        match self {
            Failure::NotSent(detail) | Failure::Lost(detail) => detail,
        }
    }
}

/// A request to a server.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// Headers in addition to those that the client sets.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// How long the call may take.
    pub timeout: Duration,
    /// How much longer it may take while bytes of the response keep arriving.
    pub transfer: Duration,
}

impl Call {
    /// Creates a call without a body.
    pub fn new(method: Method, path: impl Into<String>, timeout: Duration) -> Call {
        Call {
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            timeout,
            transfer: Duration::ZERO,
        }
    }

    /// Creates a `POST` call with a JSON document.
    pub fn post(path: impl Into<String>, body: &impl Serialize, timeout: Duration) -> Call {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Call {
            body: Bytes::from(body),
            ..Call::new(Method::POST, path, timeout)
        }
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// Returns the value of a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Lost`] if the body is not a valid document of the type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Failure::Lost(format!("the response body is invalid: {error}")))
    }

    /// Returns the status and the beginning of the body for an error message.
    pub fn describe(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        let beginning: String = text.chars().take(200).collect();
        format!("status {}: {beginning}", self.status.as_u16())
    }
}

/// The bytes of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Traffic<'a> {
    /// The path of the call, without its query.
    pub path: &'a str,
    /// The length of the request in bytes. What the client library adds to the head is estimated.
    pub sent: usize,
    /// The length of the response in bytes; 0 if none arrived.
    pub received: usize,
}

/// Is told the bytes of each call.
pub type Observer = Arc<dyn Fn(Traffic<'_>) + Send + Sync>;

/// A pool of connections to any number of addresses.
#[derive(Clone)]
pub struct Pool {
    client: client::Client,
    observer: Option<Observer>,
}

impl Pool {
    /// Creates an empty pool that keeps at most `max_idle` idle connections per address.
    pub fn new(max_idle: usize) -> Pool {
        let mut builder = client::Client::builder();
        builder.set_pool_idle_timeout(IDLE_TIMEOUT);
        builder.set_max_idle_per_host(max_idle);
        let client = builder.build().unwrap_or_default();
        Pool {
            client,
            observer: None,
        }
    }

    /// Tells `observer` the bytes of each call.
    #[must_use]
    pub fn with_observer(self, observer: Observer) -> Pool {
        Pool {
            observer: Some(observer),
            ..self
        }
    }

    /// Sends a call and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`Failure`], which tells whether the request may have been sent.
    pub async fn call(&self, address: SocketAddr, call: Call) -> Result<Reply, Failure> {
        observe(self.observer.as_ref(), call, |call| {
            self.call_within(address, call)
        })
        .await
    }

    async fn call_within(&self, address: SocketAddr, call: Call) -> Result<Reply, Failure> {
        let limit = call.timeout + call.transfer;
        within(limit, self.exchange(address, call)).await?
    }

    async fn exchange(&self, address: SocketAddr, call: Call) -> Result<Reply, Failure> {
        let timeout = call.timeout;
        let uri = format!("http://{address}{}", call.path);
        let mut request = self
            .client
            .request(call.method, uri)
            .body(Body::from(call.body));
        request.headers_mut().extend(call.headers);
        let response = within(timeout, request.send()).await?;
        let (parts, body) = response.map_err(|error| classify(&error))?.into_parts();
        collect(parts, body, timeout).await
    }
}

/// Reads the body of a response, each part of it within `timeout`.
async fn collect<B>(parts: Parts, body: B, timeout: Duration) -> Result<Reply, Failure>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    let mut bytes = BytesMut::new();
    while let Some(frame) = within(timeout, body.frame()).await? {
        let frame =
            frame.map_err(|error| Failure::Lost(format!("the response was cut off: {error}")))?;
        // Trailers are of no use here.
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    let reply = Reply {
        status: parts.status,
        headers: parts.headers,
        body: bytes.freeze(),
    };
    verify(&reply)?;
    Ok(reply)
}

/// Makes a call and tells an observer its bytes.
///
/// # Errors
///
/// Returns the failure of the call.
pub async fn observe<F>(
    observer: Option<&Observer>,
    call: Call,
    exchange: impl FnOnce(Call) -> F,
) -> Result<Reply, Failure>
where
    F: Future<Output = Result<Reply, Failure>>,
{
    let Some(observer) = observer else {
        return exchange(call).await;
    };
    let path = call.path.clone();
    let sent = HEAD_BYTES + path.len() + head_bytes(&call.headers) + call.body.len();
    let result = exchange(call).await;
    let received = |reply: &Reply| STATUS_BYTES + head_bytes(&reply.headers) + reply.body.len();
    observer(Traffic {
        path: path.split('?').next().unwrap_or_default(),
        sent,
        received: result.as_ref().map_or(0, received),
    });
    result
}

/// Waits for a part of a response.
async fn within<T>(limit: Duration, part: impl Future<Output = T>) -> Result<T, Failure> {
    let elapsed = |_| Failure::Lost(format!("no response within {limit:?}"));
    tokio::time::timeout(limit, part).await.map_err(elapsed)
}

fn head_bytes(headers: &HeaderMap) -> usize {
    let lines = headers.iter();
    lines
        .map(|(name, value)| name.as_str().len() + value.len() + LINE_FRAME_BYTES)
        .sum()
}

/// Distinguishes errors that occurred before the request was sent from later errors.
fn classify(error: &ClientError) -> Failure {
    let detail = error.to_string();
    let before_send = matches!(error.kind(), ErrorKind::Connect | ErrorKind::Builder);
    // The library reports errors during connection set-up with the kind of a sent request. Only
    // those errors have a plain I/O error as their source.
    let no_connection = error
        .source()
        .is_some_and(<dyn Error>::is::<std::io::Error>);
    if before_send || no_connection || never_written(error) {
        Failure::NotSent(detail)
    } else {
        Failure::Lost(detail)
    }
}

/// Tells whether a reused connection closed before the request was written to it.
///
/// `hyper` reports only such requests as cancelled; a request that the connection has started to
/// send ends with another error.
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

/// Rejects a response whose length or checksum does not match its headers.
fn verify(reply: &Reply) -> Result<(), Failure> {
    let length = reply
        .header("content-length")
        .and_then(|text| text.parse::<usize>().ok());
    if length.is_some_and(|length| length != reply.body.len()) {
        return Err(Failure::Lost(
            "the response does not match its content length".to_owned(),
        ));
    }
    let checksum = reply.header(CHECKSUM_HEADER);
    let valid = checksum.is_none_or(|text| {
        u32::from_str_radix(text, 16).is_ok_and(|sum| sum == crc32fast::hash(&reply.body))
    });
    if !valid {
        return Err(Failure::Lost(
            "the checksum of the response does not match".to_owned(),
        ));
    }
    Ok(())
}

/// Percent-encodes a text for the query of a path.
pub fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        let unreserved = byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte);
        if unreserved {
            escaped.push(char::from(byte));
        } else {
            escaped.push_str(&format!("%{byte:02X}"));
        }
    }
    escaped
}
