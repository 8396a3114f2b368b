//! Connections that are opened just before an HTTP server stops.

use std::time::Duration;

use anyhow::Result;
use azurepath_server::metrics::Metrics;
use azurepath_server::process::http::HttpServer;
use azurepath_server::process::http::gate::{Bounds, Gate, Limits};
use azurepath_server::process::stop::Inflight;
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use volo_http::server::route::{Router, get};

/// How often a server is stopped; the order in which it notices a connection and the stop varies.
const STOPS: usize = 40;

/// The time from a client's connection to its call: a round trip between two regions.
const FIRST_CALL_AFTER: Duration = Duration::from_millis(40);

/// How long the servers may take to stop.
const STOP_TIME: Duration = Duration::from_secs(60);

async fn hello() -> &'static str {
    "hello"
}

/// Opens a connection, stops the server, and returns what the server answers to a call after that.
async fn call_during_stop() -> Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let router = Router::new().route("/", get(hello));
    let log = Logger::root(Discard, o!());
    let bounds = Bounds::new(1 << 30, 1_024, 1_024, 1_024);
    let gate = Gate::new(bounds, Limits::default(), &Metrics::new()?, &log);
    let open = Inflight::default();
    let server = HttpServer::start(router, listener, "test", &open, &gate, &log);
    let mut client = TcpStream::connect(address).await?;
    let stopped = tokio::spawn(server.stop(Instant::now() + STOP_TIME));
    tokio::time::sleep(FIRST_CALL_AFTER).await;
    client
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .await?;
    let mut answer = String::new();
    client.read_to_string(&mut answer).await?;
    stopped.await??;
    Ok(answer)
}

#[tokio::test]
async fn late_connection_is_cut() -> Result<()> {
    for _ in 0..STOPS {
        let answer = call_during_stop().await?;
        assert!(answer.ends_with("hello"), "{answer:?}");
    }
    Ok(())
}
