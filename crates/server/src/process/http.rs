//! The HTTP server with bounds for its clients and a graceful stop.

pub mod body;
pub mod gate;
pub mod socket;

use std::convert::Infallible;
use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use futures::FutureExt as _;
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use slog::{Logger, debug, error, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, MissedTickBehavior};
use volo::Service as _;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::response::Response;
use volo_http::server::route::Router;

use self::body::{Answer, Counted};
use self::gate::{Connection, Gate, Reason};
use self::socket::Socket;
use super::stop::Inflight;

/// The pause after an accept has failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long the first call of a connection may take that is opened just before the server stops: a few round
/// trips between two regions.
const FIRST_CALL_TIME: Duration = Duration::from_millis(150);

/// How often connections are checked for time limits.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// The answer to a connection that is refused: its calls had no effect.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// The HTTP server as a task.
///
/// The server of `volo-http` closes idle connections only 3 s after it was told to stop, serves new
/// calls on them until then, and does not end the connections that last longer.
pub struct HttpServer {
    task: JoinHandle<()>,
    stop: oneshot::Sender<Instant>,
}

/// The part of a server that its connections share.
#[derive(Clone)]
struct Service {
    router: Arc<Router>,
    gate: Gate,
    log: Logger,
}

impl HttpServer {
    /// Starts serving on a listener. Its open connections are counted as `name`, and bounded by
    /// `gate` together with those of the other servers of the process.
    pub fn start(
        router: Router,
        listener: TcpListener,
        name: &'static str,
        connections: &Inflight,
        gate: &Gate,
        log: &Logger,
    ) -> HttpServer {
        let (stop, stopped) = oneshot::channel();
        let service = Service {
            router: Arc::new(router),
            gate: gate.clone(),
            log: log.clone(),
        };
        let task = tokio::spawn(serve(service, listener, name, connections.clone(), stopped));
        HttpServer { task, stop }
    }

    /// Accepts no more connections, closes those that are idle, and waits until the others have got
    /// the answer to their present call, new ones to their first. At `deadline` the rest is cut.
    ///
    /// # Errors
    ///
    /// Returns an error if the server has failed.
    pub async fn stop(self, deadline: Instant) -> anyhow::Result<()> {
        // A server without a receiver has ended, which the join tells.
        let _ = self.stop.send(deadline);
        self.task.await.context("the HTTP server failed")
    }
}

async fn serve(
    service: Service,
    listener: TcpListener,
    name: &'static str,
    open: Inflight,
    mut stopped: oneshot::Receiver<Instant>,
) {
    let graceful = GracefulShutdown::new();
    let mut connections = JoinSet::new();
    let mut last_opened = None;
    let mut open_connection = |connections: &mut JoinSet<()>, socket, peer| {
        let Some(connection) = service.gate.enter(name) else {
            refuse(socket);
            return;
        };
        last_opened = Some(Instant::now());
        let guard = open.enter(name);
        let watcher = graceful.watcher();
        let task = service
            .clone()
            .connection(socket, peer, connection, watcher);
        connections.spawn(async move {
            let _guard = guard;
            task.await;
        });
    };
    let mut sweeps = tokio::time::interval(SWEEP_INTERVAL);
    sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut swept = Instant::now();
    let deadline = loop {
        tokio::select! {
            stopped = &mut stopped => break stopped,
            accepted = listener.accept() => match accepted {
                Ok((socket, peer)) => open_connection(&mut connections, socket, peer),
                Err(error) => {
                    debug!(service.log, "accept failed"; "error" => %error);
                    service.gate.free_descriptor();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            _ = sweeps.tick() => {
                // After a pause of the process, bytes that have arrived meanwhile are read first.
                if swept.elapsed() < 2 * SWEEP_INTERVAL {
                    service.gate.sweep(name, None);
                }
                swept = Instant::now();
            }
            Some(joined) = connections.join_next(), if !connections.is_empty() => {
                if let Err(error) = joined {
                    error!(service.log, "connection failed"; "server" => name, "error" => %error);
                }
            }
        }
    };
    // Those that the kernel has accepted may hold calls already.
    while let Some(Ok((socket, peer))) = listener.accept().now_or_never() {
        open_connection(&mut connections, socket, peer);
    }
    drop(listener);
    // Without a sender nobody waits for the answers.
    let deadline = deadline.unwrap_or_else(|_| Instant::now());
    if let Some(opened) = last_opened {
        // The library closes connections at once on which nothing has arrived yet.
        tokio::time::sleep_until(deadline.min(opened + FIRST_CALL_TIME)).await;
    }
    let stopped = Instant::now();
    let closed = async {
        let closed = graceful.shutdown();
        tokio::pin!(closed);
        loop {
            tokio::select! {
                () = &mut closed => return,
                _ = sweeps.tick() => service.gate.sweep(name, Some(stopped)),
            }
        }
    };
    if tokio::time::timeout_at(deadline, closed).await.is_err() {
        warn!(service.log, "connections cut"; "server" => name, "connections" => connections.len());
    }
    connections.shutdown().await;
}

/// Tells a client that its connection is refused, as far as the kernel takes the answer at once.
fn refuse(socket: TcpStream) {
    if let Ok(mut socket) = socket.into_std() {
        // A client that gets no answer sees that its connection is closed.
        let _ = socket.write_all(REFUSAL);
    }
}

/// Removes a connection from the bounds when it is dropped.
struct Place {
    gate: Gate,
    connection: Arc<Connection>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.gate.leave(&self.connection);
    }
}

impl Service {
    /// Serves a connection until it is closed.
    async fn connection(
        self,
        socket: TcpStream,
        peer: SocketAddr,
        connection: Arc<Connection>,
        watcher: Watcher,
    ) {
        // The socket also works without `TCP_NODELAY`, only slower.
        let _ = socket.set_nodelay(true);
        let Service { router, gate, log } = self;
        let place = Place {
            gate: gate.clone(),
            connection: connection.clone(),
        };
        let socket = TokioIo::new(Socket::new(socket, &connection));
        let head_bytes = gate.head_bytes();
        let calls = connection.clone();
        let handle = service_fn(move |request: http::Request<Incoming>| {
            let router = router.clone();
            let connection = calls.clone();
            let gate = gate.clone();
            let request = request.map(|body| {
                if body.is_end_stream() {
                    connection.complete();
                    return Body::from_incoming(body);
                }
                Body::from_body(Counted::new(body, &gate, &connection))
            });
            async move {
                let mut context = ServerContext::new(peer.into());
                let response: Result<Response, Infallible> =
                    router.call(&mut context, request).await;
                response.map(|response| response.map(|body| Answer::new(body, &gate, &connection)))
            }
        });
        let mut builder = http1::Builder::new();
        // A head is kept until it is complete, and so are empty lines before it.
        builder.max_buf_size(head_bytes);
        let served = watcher.watch(builder.serve_connection(socket, handle));
        tokio::select! {
            served = served => if let Err(error) = served {
                debug!(log, "connection ended"; "error" => %error);
                if error.is_parse_too_large() {
                    place.gate.fault(&connection, Reason::HeadBytes);
                }
            },
            () = connection.closing.cancelled() => {}
        }
    }
}
