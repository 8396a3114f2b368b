//! A thread that serves HTTP until it is stopped.

use std::collections::HashSet;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

use anyhow::{Context, Result, anyhow};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode};
use http_body::Frame;
use http_body_util::BodyExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use volo::context::Context as _;
use volo::net::incoming::DefaultIncoming;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::server::Server;
use volo_http::server::extract::{FromContext, Query};

use crate::fault::Injection;

/// Locks a mutex, even if a thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A received call with its complete payload.
pub(crate) struct Call {
    /// The method.
    pub(crate) method: Method,
    /// The path.
    pub(crate) path: String,
    /// The query parameters.
    pub(crate) query: Parameters,
    /// The headers.
    pub(crate) headers: HeaderMap,
    /// The payload.
    pub(crate) body: Bytes,
}

/// The query parameters of the protocol.
#[derive(Default, serde::Deserialize)]
#[serde(default)]
pub(crate) struct Parameters {
    /// A row's key.
    pub(crate) key: String,
    /// The prefix of the requested names.
    pub(crate) prefix: String,
    /// The key after which a page starts, or the version after which a feed starts.
    pub(crate) after: Option<String>,
    /// The maximum number of rows to return.
    pub(crate) limit: Option<usize>,
    /// The name of the table.
    pub(crate) table: String,
    /// The first key of a range.
    pub(crate) from: String,
    /// The end of a range, which is excluded; empty if there is none.
    pub(crate) target: String,
    /// How long a feed waits for a change, in milliseconds.
    #[serde(rename = "waitMs")]
    pub(crate) wait_ms: u64,
}

impl Call {
    /// Parses the payload as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Reply::text(StatusCode::BAD_REQUEST, error.to_string()))
    }
}

/// A response.
pub(crate) struct Reply {
    /// The status.
    pub(crate) status: StatusCode,
    /// Headers other than the length.
    pub(crate) headers: Vec<(&'static str, HeaderValue)>,
    /// The payload.
    pub(crate) body: Bytes,
    /// Whether the connection is closed before the end of the payload.
    pub(crate) truncated: bool,
}

impl Reply {
    /// Returns a response without a payload.
    pub(crate) fn empty(status: StatusCode) -> Reply {
        Reply {
            status,
            headers: Vec::new(),
            body: Bytes::new(),
            truncated: false,
        }
    }

    /// Returns a response with a text.
    pub(crate) fn text(status: StatusCode, text: impl Into<String>) -> Reply {
        Reply {
            body: Bytes::from(text.into()),
            ..Reply::empty(status)
        }
    }

    /// Returns a response with a JSON document.
    pub(crate) fn json(status: StatusCode, document: &impl Serialize) -> Reply {
        Reply {
            body: Bytes::from(serde_json::to_vec(document).unwrap_or_default()),
            ..Reply::empty(status)
        }
    }

    /// Truncates the response: the connection is closed before its end.
    pub(crate) fn truncate(mut self) -> Reply {
        self.truncated = true;
        self
    }

    fn into_response(self) -> Response<Body> {
        let length = self.body.len();
        let checksum = format!("{:08x}", crc32fast::hash(&self.body));
        let mut response = Response::new(Body::empty());
        *response.status_mut() = self.status;
        response.headers_mut().extend(
            self.headers
                .into_iter()
                .map(|(name, value)| (HeaderName::from_static(name), value)),
        );
        if let Ok(value) = HeaderValue::from_str(&checksum) {
            response
                .headers_mut()
                .insert(azurepath_services::CHECKSUM_HEADER, value);
        }
        if self.truncated {
            let declared = HeaderValue::from(length.max(1));
            response.headers_mut().insert("content-length", declared);
            let half = self.body.slice(..length / 2);
            let error = std::io::Error::other("the answer is truncated");
            let parts = [Ok(Frame::data(half)), Err(error.into())];
            *response.body_mut() = Body::from_stream(futures::stream::iter(parts));
        } else {
            *response.body_mut() = Body::from(self.body);
        }
        response
    }
}

/// Handles the calls to a host.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Returns the faults of calls to a path; `None` if faults don't apply to it, as for `/fault`.
    fn faults(&self, path: &str) -> Option<Injection>;

    /// Answers a call.
    fn answer(&self, call: Call) -> impl Future<Output = Reply> + Send;
}

/// The service shared by the connections of a host.
struct Service<S> {
    handler: Arc<S>,
    connections: Mutex<Connections>,
}

/// The connections seen so far and those that have become silent.
#[derive(Default)]
struct Connections {
    seen: HashSet<String>,
    silent: HashSet<String>,
    silence_count: u64,
}

impl<S: Handler> Service<S> {
    /// Tells whether a connection has become silent for good.
    fn is_silenced(&self, peer: &str, faults: &Injection) -> bool {
        let mut connections = lock(&self.connections);
        if connections.silence_count != faults.silence_open {
            connections.silence_count = faults.silence_open;
            let seen = std::mem::take(&mut connections.seen);
            connections.silent.extend(seen);
        }
        connections.seen.insert(peer.to_owned());
        connections.silent.contains(peer)
    }

    /// Applies the current faults to a call before it is handled.
    async fn apply_faults(&self, peer: &str, path: &str) -> Result<(), Reply> {
        let Some(faults) = self.handler.faults(path) else {
            return Ok(());
        };
        if faults.silent || self.is_silenced(peer, &faults) {
            std::future::pending::<()>().await;
        }
        if faults.down {
            return Err(Reply::text(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        Ok(())
    }

    async fn serve(&self, peer: String, call: Call) -> Reply {
        let path = call.path.clone();
        if let Err(reply) = self.apply_faults(&peer, &path).await {
            return reply;
        }
        if let Some(faults) = self.handler.faults(&path) {
            tokio::time::sleep(faults.latency()).await;
        }
        let reply = self.handler.answer(call).await;
        if let Some(faults) = self.handler.faults(&path)
            && (faults.silent || self.is_silenced(&peer, &faults))
        {
            std::future::pending::<()>().await;
        }
        reply
    }
}

impl<S: Handler> volo::Service<ServerContext, Request> for Service<S> {
    type Response = Response<Body>;
    type Error = Infallible;

    async fn call(
        &self,
        cx: &mut ServerContext,
        request: Request,
    ) -> Result<Response<Body>, Infallible> {
        let peer = cx.rpc_info().caller().address();
        let peer = peer.map(|address| address.to_string()).unwrap_or_default();
        let (mut parts, body) = request.into_parts();
        let query = Query::from_context(cx, &mut parts).await;
        let Ok(collected) = body.collect().await else {
            return Ok(Reply::empty(StatusCode::BAD_REQUEST).into_response());
        };
        let call = Call {
            method: parts.method,
            path: parts.uri.path().to_owned(),
            query: query.map(|Query(query)| query).unwrap_or_default(),
            headers: parts.headers,
            body: collected.to_bytes(),
        };
        Ok(self.serve(peer, call).await.into_response())
    }
}

/// A thread that serves a handler; dropping it stops the thread without waiting.
#[derive(Debug)]
pub(crate) struct Host {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Host {
    /// Starts a thread that serves `handler` on a port chosen by the kernel, and runs `background`
    /// on the same thread.
    pub(crate) fn start<S: Handler>(
        handler: Arc<S>,
        background: impl Future<Output = ()> + Send + 'static,
    ) -> Result<Host> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .context("can't bind a port of 127.0.0.1")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = oneshot::channel();
        let service = Service {
            handler,
            connections: Mutex::default(),
        };
        let work = async move {
            let Ok(listener) = TcpListener::from_std(listener) else {
                return;
            };
            let server = Server::new(service).run(DefaultIncoming::from(listener));
            tokio::select! {
                _ = server => {}
                () = background => {}
                _ = stopped => {}
            }
        };
        // Dropping the runtime at the thread's end closes the port and every connection.
        let thread = std::thread::Builder::new()
            .name(format!("standin {}", address.port()))
            .spawn(move || runtime.block_on(work))?;
        Ok(Host {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address that the host listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the thread and waits for its end; calls in flight are aborted.
    pub(crate) async fn stop(mut self) -> Result<()> {
        drop(self.stop.take());
        let Some(thread) = self.thread.take() else {
            return Ok(());
        };
        let joined = tokio::task::spawn_blocking(move || thread.join()).await?;
        joined.map_err(|_| anyhow!("the stand-in at {} panicked", self.address))
    }
}
