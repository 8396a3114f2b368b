//! The HTTP server with a graceful stop.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use futures::FutureExt as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use slog::{Logger, debug, error, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;
use volo::Service as _;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::response::Response;
use volo_http::server::route::Router;

use super::stop::Inflight;

/// The pause after an accept has failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long the first call of a connection may take that is opened just before the server stops: a few round
/// trips between two regions.
const FIRST_CALL_TIME: Duration = Duration::from_millis(150);

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
    log: Logger,
}

impl HttpServer {
    /// Starts serving on a listener. Its open connections are counted as `name`.
    pub fn start(
        router: Router,
        listener: TcpListener,
        name: &'static str,
        connections: &Inflight,
        log: &Logger,
    ) -> HttpServer {
        let (stop, stopped) = oneshot::channel();
        let service = Service {
            router: Arc::new(router),
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
        last_opened = Some(Instant::now());
        let guard = open.enter(name);
        let connection = service.clone().connection(socket, peer, graceful.watcher());
        connections.spawn(async move {
            let _guard = guard;
            connection.await;
        });
    };
    let deadline = loop {
        tokio::select! {
            stopped = &mut stopped => break stopped,
            accepted = listener.accept() => match accepted {
                Ok((socket, peer)) => open_connection(&mut connections, socket, peer),
                Err(error) => {
                    debug!(service.log, "accept failed"; "error" => %error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
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
    if tokio::time::timeout_at(deadline, graceful.shutdown())
        .await
        .is_err()
    {
        warn!(service.log, "connections cut"; "server" => name, "connections" => connections.len());
    }
    connections.shutdown().await;
}

impl Service {
    /// Serves a connection until it is closed.
    async fn connection(self, socket: TcpStream, peer: SocketAddr, watcher: Watcher) {
        // The socket also works without `TCP_NODELAY`, only slower.
        let _ = socket.set_nodelay(true);
        let Service { router, log } = self;
        let handle = service_fn(move |request: http::Request<Incoming>| {
            let router = router.clone();
            async move {
                let mut context = ServerContext::new(peer.into());
                let request = request.map(Body::from_incoming);
                let response: Result<Response, Infallible> =
                    router.call(&mut context, request).await;
                response
            }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), handle);
        if let Err(error) = watcher.watch(connection).await {
            debug!(log, "connection ended"; "error" => %error);
        }
    }
}
