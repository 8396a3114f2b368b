//! Pings that find connections which have gone silent.

use std::sync::Arc;
use std::time::Duration;

use h2::{Ping, PingPong};
use tokio::sync::Notify;
use tokio::time::timeout;

/// How a connection is pinged.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
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

/// Pings until one stays unanswered or the connection closes; `hurry` asks for a ping at once.
pub async fn watch(mut pings: PingPong, pace: Pace, hurry: Arc<Notify>) -> Ended {
    loop {
        tokio::select! {
            () = tokio::time::sleep(pace.interval) => {}
            () = hurry.notified() => {}
        }
        match timeout(pace.timeout, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) => return Ended::Closed,
            Err(_) => return Ended::Silent,
        }
    }
}
