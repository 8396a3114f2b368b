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

/// Locks a mutex, also after a thread panicked with it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A call that has arrived, with its whole payload.
pub(crate) struct Call {
    /// The method.
    pub(crate) method: Method,
    /// The path.
    pub(crate) path: String,
    /// The parameters of the path's query.
    pub(crate) query: Parameters,
    /// The headers.
    pub(crate) headers: HeaderMap,
    /// The payload.
    pub(crate) body: Bytes,
}

/// The parameters that the protocol knows.
#[derive(Default, serde::Deserialize)]
#[serde(default)]
pub(crate) struct Parameters {
    /// A row's key.
    pub(crate) key: String,
    /// The beginning of the names that are asked for.
    pub(crate) prefix: String,
    /// The key to go on after.
    pub(crate) after: Option<String>,
    /// The most rows to answer.
    pub(crate) limit: Option<usize>,
    /// The table of rows.
    pub(crate) table: String,
    /// The first key of a range.
    pub(crate) from: String,
    /// How long a feed waits for a change, in milliseconds.
    #[serde(rename = "waitMs")]
    pub(crate) wait_ms: u64,
}

impl Call {
    /// Reads the payload as a document.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Reply::text(StatusCode::BAD_REQUEST, error.to_string()))
    }
}

/// An answer.
pub(crate) struct Reply {
    /// The status.
    pub(crate) status: StatusCode,
    /// Headers besides the length.
    pub(crate) headers: Vec<(&'static str, HeaderValue)>,
    /// The payload.
    pub(crate) body: Bytes,
    /// Whether the connection breaks before the payload's end.
    pub(crate) cut: bool,
}

impl Reply {
    /// Makes an answer without a payload.
    pub(crate) fn empty(status: StatusCode) -> Reply {
        Reply {
            status,
            headers: Vec::new(),
            body: Bytes::new(),
            cut: false,
        }
    }

    /// Makes an answer with a text.
    pub(crate) fn text(status: StatusCode, text: impl Into<String>) -> Reply {
        Reply {
            body: Bytes::from(text.into()),
            ..Reply::empty(status)
        }
    }

    /// Makes an answer with a document.
    pub(crate) fn json(status: StatusCode, document: &impl Serialize) -> Reply {
        Reply {
            body: Bytes::from(serde_json::to_vec(document).unwrap_or_default()),
            ..Reply::empty(status)
        }
    }

    /// Cuts the answer short: it breaks off before its end.
    pub(crate) fn lost(mut self) -> Reply {
        self.cut = true;
        self
    }

    fn into_response(self) -> Response<Body> {
        let length = self.body.len();
        let sum = format!("{:08x}", crc32fast::hash(&self.body));
        let mut response = Response::new(Body::empty());
        *response.status_mut() = self.status;
        response.headers_mut().extend(
            self.headers
                .into_iter()
                .map(|(name, value)| (HeaderName::from_static(name), value)),
        );
        if let Ok(value) = HeaderValue::from_str(&sum) {
            response
                .headers_mut()
                .insert(azurepath_services::CHECKSUM, value);
        }
        if self.cut {
            let declared = HeaderValue::from(length.max(1));
            response.headers_mut().insert("content-length", declared);
            let half = self.body.slice(..length / 2);
            let broken = std::io::Error::other("the answer is cut");
            let parts = [Ok(Frame::data(half)), Err(broken.into())];
            *response.body_mut() = Body::from_stream(futures::stream::iter(parts));
        } else {
            *response.body_mut() = Body::from(self.body);
        }
        response
    }
}

/// What a host serves.
pub(crate) trait Site: Send + Sync + 'static {
    /// Returns the gate that calls to a path pass; none for the switch of faults.
    fn gate(&self, path: &str) -> Option<Injection>;

    /// Answers a call.
    fn answer(&self, call: Call) -> impl Future<Output = Reply> + Send;
}

/// The service that a host's connections share.
struct Service<S> {
    site: Arc<S>,
    peers: Mutex<Peers>,
}

/// The connections that have been seen and those that have gone silent.
#[derive(Default)]
struct Peers {
    seen: HashSet<String>,
    silent: HashSet<String>,
    cuts: u64,
}

impl<S: Site> Service<S> {
    /// Tells whether a connection has gone silent for good.
    fn silenced(&self, peer: &str, gate: &Injection) -> bool {
        let mut peers = lock(&self.peers);
        if peers.cuts != gate.silence_open {
            peers.cuts = gate.silence_open;
            let seen = std::mem::take(&mut peers.seen);
            peers.silent.extend(seen);
        }
        peers.seen.insert(peer.to_owned());
        peers.silent.contains(peer)
    }

    /// Holds a call back as the gate in force says.
    async fn pass(&self, peer: &str, path: &str) -> Result<(), Reply> {
        let Some(gate) = self.site.gate(path) else {
            return Ok(());
        };
        if gate.silent || self.silenced(peer, &gate) {
            std::future::pending::<()>().await;
        }
        if gate.down {
            return Err(Reply::text(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        Ok(())
    }

    async fn serve(&self, peer: String, call: Call) -> Reply {
        let path = call.path.clone();
        if let Err(reply) = self.pass(&peer, &path).await {
            return reply;
        }
        if let Some(gate) = self.site.gate(&path) {
            tokio::time::sleep(gate.latency()).await;
        }
        let reply = self.site.answer(call).await;
        if let Some(gate) = self.site.gate(&path)
            && (gate.silent || self.silenced(&peer, &gate))
        {
            std::future::pending::<()>().await;
        }
        reply
    }
}

impl<S: Site> volo::Service<ServerContext, Request> for Service<S> {
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

/// A thread that serves a site; dropping it stops the thread without waiting.
#[derive(Debug)]
pub(crate) struct Host {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Host {
    /// Starts a thread that serves `site`, and `also` beside it, on a port of the kernel's choice.
    pub(crate) fn start<S: Site>(
        site: Arc<S>,
        also: impl Future<Output = ()> + Send + 'static,
    ) -> Result<Host> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .context("no port of 127.0.0.1 could be bound")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = oneshot::channel();
        let service = Service {
            site,
            peers: Mutex::default(),
        };
        let work = async move {
            let Ok(listener) = TcpListener::from_std(listener) else {
                return;
            };
            let server = Server::new(service).run(DefaultIncoming::from(listener));
            tokio::select! {
                _ = server => {}
                () = also => {}
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

    /// Stops the thread and waits for its end; calls in flight break off.
    pub(crate) async fn stop(mut self) -> Result<()> {
        drop(self.stop.take());
        let Some(thread) = self.thread.take() else {
            return Ok(());
        };
        let joined = tokio::task::spawn_blocking(move || thread.join()).await?;
        joined.map_err(|_| anyhow!("the stand-in at {} panicked", self.address))
    }
}
