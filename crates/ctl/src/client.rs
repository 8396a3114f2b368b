//! Calls to a server.

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use serde_json::Value;
use volo_http::body::Body;
use volo_http::client::ClientBuilder;
use volo_http::response::Response;

use crate::config::Config;
use crate::exit::{Exit, Failure};

/// A call.
#[derive(Debug)]
pub(crate) struct Call<'a> {
    /// The method.
    pub(crate) method: Method,
    /// The path with its query.
    pub(crate) path: String,
    /// Headers besides the key.
    pub(crate) headers: Vec<(&'static str, String)>,
    /// The payload.
    pub(crate) body: &'a [u8],
}

impl Call<'_> {
    /// Makes a call that reads.
    pub(crate) fn get(path: impl Into<String>) -> Call<'static> {
        Call {
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: &[],
        }
    }
}

/// An answer, whole.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The status.
    pub(crate) status: StatusCode,
    /// The payload.
    pub(crate) body: Bytes,
}

impl Answer {
    /// Reads the payload as a document.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the failure that the answer tells of, with all faults of a document.
    pub(crate) fn failure(&self) -> Failure {
        let document = self.json();
        let message = document["message"].as_str();
        let mut text = match message {
            Some(message) => message.to_owned(),
            None => format!("the server answered {}; see its log", self.status),
        };
        for fault in document["faults"].as_array().into_iter().flatten() {
            let part = |name: &str| fault[name].as_str().unwrap_or_default().to_owned();
            text.push_str(&format!("\n  {}: {}", part("path"), part("message")));
        }
        Failure::new(Exit::of(self.status), text)
    }
}

/// Calls and waits for the whole answer.
///
/// # Errors
///
/// Returns a [`Failure`] where the server can't be reached.
pub(crate) async fn call(config: &Config, call: Call<'_>) -> Result<Answer, Failure> {
    let response = open(config, call).await?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|error| {
        Failure::new(
            Exit::Unknown,
            format!("the answer broke off ({error}); look whether it took effect"),
        )
    })?;
    let body = body.to_bytes();
    Ok(Answer { status, body })
}

/// Calls and returns the answer while its payload is still coming.
///
/// # Errors
///
/// As for [`call`].
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
