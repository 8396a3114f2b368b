//! The connection to one other server: made, pinged and made anew.

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
use super::tuning;
use crate::metrics::Metrics;

/// How long the set-up of a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The first pause before another try; it doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(10);

/// The longest pause before another try.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Sends requests over the connection that is in use now.
pub(crate) type Sender = SendRequest<Bytes>;

/// A way to use a link.
#[derive(Clone, Debug)]
pub struct Handle {
    /// The connection in use; none while there is none.
    pub(crate) sender: watch::Receiver<Option<Sender>>,
    /// Asks for a ping at once.
    pub(crate) ping_now: Arc<Notify>,
}

/// The task of a link.
pub(crate) struct Link {
    pub(crate) server: Server,
    pub(crate) ping_timing: Timing,
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
                self.hold(connection, &halt).await;
                self.sender.send_replace(None);
            } else {
                failures += 1;
            }
            tokio::select! {
                () = halt.cancelled() => return,
                () = tokio::time::sleep(pause(failures)) => {}
            }
        }
    }

    async fn connect(&self) -> anyhow::Result<(Sender, Connection<TcpStream, Bytes>)> {
        let socket = TcpStream::connect(self.server.address).await?;
        socket.set_nodelay(true)?;
        let opened = Builder::new()
            .initial_window_size(tuning::STREAM_WINDOW)
            .initial_connection_window_size(tuning::CONNECTION_WINDOW)
            .initial_max_send_streams(tuning::STREAMS as usize)
            .max_frame_size(tuning::FRAME_BYTES)
            .max_header_list_size(tuning::HEADER_BYTES)
            .enable_push(false)
            .handshake(socket)
            .await?;
        Ok(opened)
    }

    /// Drives the connection until it ends; dropping it ends every stream on it.
    async fn hold(&self, mut connection: Connection<TcpStream, Bytes>, halt: &CancellationToken) {
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

/// Full jitter: a random pause up to a bound that doubles with each failure.
///
/// See Brooker, "Exponential Backoff and Jitter" (AWS Architecture Blog, 2015).
fn pause(failures: u32) -> Duration {
    if failures == 0 {
        return Duration::ZERO;
    }
    let factor = 1 << failures.min(10);
    let bound = FIRST_PAUSE.saturating_mul(factor).min(LONGEST_PAUSE);
    bound.mul_f64(rand::rng().random())
}
