//! Pings that detect connections whose peer no longer answers.

use std::sync::Arc;
use std::time::Duration;

use h2::{Ping, PingPong};
use tokio::sync::Notify;
use tokio::time::timeout;

/// The timing of pings on a connection.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The pause between two pings.
    pub interval: Duration,
    /// How long to wait for the answer to a ping.
    pub timeout: Duration,
}

/// Why pinging has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// A ping was not answered in time.
    Silent,
    /// The connection is closed.
    Closed,
}

/// Sends pings until one is not answered in time or the connection closes.
///
/// `ping_now` asks for an immediate ping.
pub async fn watch(mut pings: PingPong, timing: Timing, ping_now: Arc<Notify>) -> Ended {
    loop {
        tokio::select! {
            () = tokio::time::sleep(timing.interval) => {}
            () = ping_now.notified() => {}
        }
        match timeout(timing.timeout, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) => return Ended::Closed,
            Err(_) => return Ended::Silent,
        }
    }
}
