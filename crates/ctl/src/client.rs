//! HTTP client for a server.

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use serde_json::Value;
use volo_http::body::Body;
use volo_http::client::ClientBuilder;
use volo_http::response::Response;

use crate::config::Config;
use crate::exit::{Exit, Failure};

/// A request to the server.
#[derive(Debug)]
pub(crate) struct Call<'a> {
    /// The method.
    pub(crate) method: Method,
    /// The path with its query.
    pub(crate) path: String,
    /// Headers in addition to the key.
    pub(crate) headers: Vec<(&'static str, String)>,
    /// The body.
    pub(crate) body: &'a [u8],
}

impl Call<'_> {
    /// Creates a `GET` request.
    pub(crate) fn get(path: impl Into<String>) -> Call<'static> {
        Call {
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: &[],
        }
    }
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct Reply {
    /// The status.
    pub(crate) status: StatusCode,
    /// The body.
    pub(crate) body: Bytes,
}

impl Reply {
    /// Parses the body as JSON; returns `Null` if it is invalid.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Converts an error response to a failure, including all faults of a document.
    pub(crate) fn failure(&self) -> Failure {
        let document = self.json();
        let message = document["message"].as_str();
        let mut text = match message {
            Some(message) => message.to_owned(),
            None => format!("the server answered {}; see its log", self.status),
        };
        for fault in document["faults"].as_array().into_iter().flatten() {
            let field = |name: &str| fault[name].as_str().unwrap_or_default().to_owned();
            text.push_str(&format!("\n  {}: {}", field("path"), field("message")));
        }
        Failure::new(Exit::from_status(self.status), text)
    }
}

/// Sends a request and waits for the complete response.
///
/// # Errors
///
/// Returns a [`Failure`] if the server can't be reached or the response is cut off.
pub(crate) async fn call(config: &Config, call: Call<'_>) -> Result<Reply, Failure> {
    let response = open(config, call).await?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|error| {
        Failure::new(
            Exit::Unknown,
            format!("the response was cut off ({error}); check whether the request took effect"),
        )
    })?;
    let body = body.to_bytes();
    Ok(Reply { status, body })
}

/// Sends a request and returns the response before its body has arrived.
///
/// # Errors
///
/// Returns a [`Failure`] if the server can't be reached.
pub(crate) async fn open(config: &Config, call: Call<'_>) -> Result<Response, Failure> {
    let server = config.server;
    let unreachable = |error: &dyn std::fmt::Display| {
        Failure::new(
            Exit::Unavailable,
            format!("{server} can't be reached ({error}); give another server with --server"),
        )
    };
    let client = ClientBuilder::new()
        .build()
        .map_err(|error| unreachable(&error))?;
    let uri = format!("http://{server}{}", call.path);
    let mut request = client.request(call.method, uri);
    if let Some(key) = &config.key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    for (name, value) in call.headers {
        request = request.header(name, value);
    }
    let body = Body::from(Bytes::copy_from_slice(call.body));
    let sent = request.body(body).send().await;
    sent.map_err(|error| unreachable(&error))
}
