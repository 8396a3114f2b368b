//! A link: keeps one connection to another server open, and reconnects when it is lost.

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::fleet::Server;
use bytes::Bytes;
use h2::client::{Builder, Connection, SendRequest};
use rand::Rng;
use slog::{Logger, info};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::ping::{self, Ended, Timing};
use super::transport::{self, Transport};
use super::tuning;
use crate::metrics::Metrics;

/// The longest time to set up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The base of the backoff between connection attempts, whose bound doubles with each failure.
const BACKOFF_BASE: Duration = Duration::from_millis(10);

/// The upper bound of the backoff between connection attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Opens streams on one connection.
pub(crate) type Sender = SendRequest<Bytes>;

/// Gives access to the connection of a link.
#[derive(Clone, Debug)]
pub struct Handle {
    /// The current connection; `None` while the link is not connected.
    pub(crate) sender: watch::Receiver<Option<Sender>>,
    /// Asks for an immediate ping.
    pub(crate) ping_now: Arc<Notify>,
}

/// The task that keeps the connection to one server open.
pub(crate) struct Link {
    pub(crate) server: Server,
    pub(crate) ping_timing: Timing,
    /// Whether the connection is compressed.
    pub(crate) compress: bool,
    pub(crate) sender: watch::Sender<Option<Sender>>,
    pub(crate) ping_now: Arc<Notify>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Logger,
}

impl Link {
    /// Runs until `halt`.
    pub(crate) async fn run(self, halt: CancellationToken) {
        let mut failures = 0;
        loop {
            let attempt = tokio::select! {
                () = halt.cancelled() => return,
                attempt = timeout(CONNECT_TIMEOUT, self.connect()) => attempt,
            };
            if let Ok(Ok((sender, connection))) = attempt {
                failures = 0;
                self.metrics.peer_connections.add(1, &[]);
                self.sender.send_replace(Some(sender));
                self.drive(connection, &halt).await;
                self.sender.send_replace(None);
            } else {
                failures += 1;
            }
            tokio::select! {
                () = halt.cancelled() => return,
                () = tokio::time::sleep(backoff(failures)) => {}
            }
        }
    }

    async fn connect(&self) -> anyhow::Result<(Sender, Connection<Transport, Bytes>)> {
        let socket = TcpStream::connect(self.server.address).await?;
        socket.set_nodelay(true)?;
        let transport = transport::connected(socket, self.compress).await?;
        let opened = Builder::new()
            .initial_window_size(tuning::STREAM_WINDOW_BYTES)
            .initial_connection_window_size(tuning::CONNECTION_WINDOW_BYTES)
            .initial_max_send_streams(tuning::MAX_STREAMS as usize)
            .max_frame_size(tuning::MAX_FRAME_BYTES)
            .max_header_list_size(tuning::MAX_HEADER_LIST_BYTES)
            .enable_push(false)
            .handshake(transport)
            .await?;
        Ok(opened)
    }

    /// Drives the connection until it ends; dropping it ends every stream on it.
    async fn drive(&self, mut connection: Connection<Transport, Bytes>, halt: &CancellationToken) {
        let Some(pings) = connection.ping_pong() else {
            return;
        };
        let ended = tokio::select! {
            () = halt.cancelled() => return,
            _ = connection => Ended::Closed,
            ended = ping::watch(pings, self.ping_timing, self.ping_now.clone()) => ended,
        };
        if ended == Ended::Silent {
            self.metrics.silent_connections.add(1, &[]);
        }
        info!(self.log, "connection to peer ended";
            "peer" => %self.server.name, "silent" => ended == Ended::Silent);
    }
}

/// Returns a random pause up to a bound that doubles with each failure (full jitter).
///
/// See Brooker, "Exponential Backoff and Jitter" (AWS Architecture Blog, 2015).
fn backoff(failures: u32) -> Duration {
    if failures == 0 {
        return Duration::ZERO;
    }
    let factor = 1 << failures.min(10);
    let bound = BACKOFF_BASE.saturating_mul(factor).min(MAX_BACKOFF);
    bound.mul_f64(rand::rng().random())
}
