//! The HTTP server with a graceful stop.

use std::panic::resume_unwind;

use anyhow::anyhow;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use volo::net::conn::Conn;
use volo::net::incoming::{DefaultIncoming, Incoming, MakeIncoming};
use volo_http::server::Server;
use volo_http::server::route::Router;

/// The HTTP server as a task.
pub struct HttpServer {
    task: JoinHandle<Result<(), String>>,
    close: CancellationToken,
}

/// A listener that the process can close.
#[derive(Debug)]
struct Listener {
    incoming: DefaultIncoming,
    close: CancellationToken,
}

impl MakeIncoming for Listener {
    type Incoming = Listener;

    async fn make_incoming(self) -> std::io::Result<Listener> {
        Ok(self)
    }
}

/// The panic payload that ends the accept loop of the HTTP library.
///
/// The process has no other way to end the loop.
struct Closed;

impl Incoming for Listener {
    async fn accept(&mut self) -> std::io::Result<Option<Conn>> {
        tokio::select! {
            () = self.close.cancelled() => resume_unwind(Box::new(Closed)),
            accepted = self.incoming.accept() => accepted,
        }
    }
}

impl HttpServer {
    /// Starts serving on a listener.
    pub fn start(router: Router, listener: TcpListener) -> HttpServer {
        let close = CancellationToken::new();
        let listener = Listener {
            incoming: DefaultIncoming::from(listener),
            close: close.clone(),
        };
        let drained = close.clone();
        let server = Server::new(router)
            // On a signal the library would wait about 30 s and then give up. The hook delays its
            // shutdown until all requests in flight are answered; new connections are accepted
            // until then.
            .register_shutdown_hook(move || Box::pin(async move { drained.cancelled().await }));
        let task = tokio::spawn(async move {
            server
                .run(listener)
                .await
                .map_err(|error| error.to_string())
        });
        HttpServer { task, close }
    }

    /// Ends the server once all requests in flight are answered, and joins its task.
    ///
    /// # Errors
    ///
    /// Returns an error if the server has failed.
    pub async fn stop(self) -> anyhow::Result<()> {
        self.close.cancel();
        self.task
            .await?
            .map_err(|error| anyhow!("the HTTP server failed: {error}"))
    }
}
