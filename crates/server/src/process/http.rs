//! The HTTP server and its end.

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

/// A listener that can be closed from within the process.
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

/// What the library's accept loop is unwound with; it has no other end within the process.
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
    /// Starts to serve.
    pub fn start(router: Router, listener: TcpListener) -> HttpServer {
        let close = CancellationToken::new();
        let listener = Listener {
            incoming: DefaultIncoming::from(listener),
            close: close.clone(),
        };
        let drained = close.clone();
        let server = Server::new(router)
            // On a signal the library would wait some 30 s and give up. The hook holds it back
            // until everything in flight has been answered, and it accepts meanwhile.
            .register_shutdown_hook(move || Box::pin(async move { drained.cancelled().await }));
        let task = tokio::spawn(async move {
            server
                .run(listener)
                .await
                .map_err(|error| error.to_string())
        });
        HttpServer { task, close }
    }

    /// Ends the server once everything in flight has been answered, and joins it.
    ///
    /// # Errors
    ///
    /// Returns an error where the server has failed.
    pub async fn stop(self) -> anyhow::Result<()> {
        self.close.cancel();
        self.task
            .await?
            .map_err(|error| anyhow!("the HTTP server failed: {error}"))
    }
}
