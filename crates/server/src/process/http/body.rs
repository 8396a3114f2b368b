//! Bodies of requests: what arrives is counted, and kept in one buffer of bounded length.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use volo_http::body::Body;

use super::gate::{Connection, Full, Gate};

/// Why a body can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is longer than the limit.
    TooLong,
    /// It ended early.
    Cut,
    /// There is no memory for it now.
    Full,
}

/// Reads a body of at most `limit` bytes.
///
/// A body that comes as many small chunks is copied, since each part that the HTTP library returns
/// keeps the whole buffer alive that it was read into.
///
/// # Errors
///
/// Returns [`Fault`] if the body can't be used.
pub async fn read(mut body: Body, limit: usize) -> Result<Bytes, Fault> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match error.is::<Full>() {
            true => Fault::Full,
            false => Fault::Cut,
        })?;
        // Trailers are of no use here.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > limit {
            return Err(Fault::TooLong);
        }
        if length > bytes.capacity() {
            let capacity = length.max(2 * bytes.capacity()).min(limit);
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Bytes::from(bytes))
}

/// The body of a request, whose bytes count until the call is answered.
pub(super) struct Counted {
    body: Incoming,
    gate: Gate,
    connection: Arc<Connection>,
}

impl Counted {
    pub(super) fn new(body: Incoming, gate: &Gate, connection: &Arc<Connection>) -> Counted {
        connection.begin_body();
        Counted {
            body,
            gate: gate.clone(),
            connection: connection.clone(),
        }
    }
}

impl http_body::Body for Counted {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(cx));
        let result = match frame {
            Some(Ok(frame)) => {
                let length = frame.data_ref().map_or(0, Bytes::len);
                let taken = self.gate.take(&self.connection, length);
                Some(taken.map(|()| frame).map_err(Into::into))
            }
            Some(Err(error)) => Some(Err(error.into())),
            None => {
                self.connection.complete();
                None
            }
        };
        Poll::Ready(result)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The body of an answer. The connection is at rest when it is dropped.
pub(super) struct Answer {
    body: Body,
    gate: Gate,
    connection: Arc<Connection>,
}

impl Answer {
    pub(super) fn new(body: Body, gate: &Gate, connection: &Arc<Connection>) -> Answer {
        Answer {
            body,
            gate: gate.clone(),
            connection: connection.clone(),
        }
    }
}

impl http_body::Body for Answer {
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

impl Drop for Answer {
    fn drop(&mut self) {
        self.gate.answered(&self.connection);
    }
}
