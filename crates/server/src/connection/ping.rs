//! Pings that find connections which have gone silent.

use std::sync::Arc;
use std::time::Duration;

use h2::{Ping, PingPong};
use tokio::sync::Notify;
use tokio::time::timeout;

/// How a connection is pinged.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The pause between two pings.
    pub interval: Duration,
    /// How long a ping may stay unanswered.
    pub timeout: Duration,
}

/// Why pinging has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// A ping stayed unanswered.
    Silent,
    /// The connection is closed.
    Closed,
}

/// Pings until one stays unanswered or the connection closes; `ping_now` asks for a ping at once.
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
