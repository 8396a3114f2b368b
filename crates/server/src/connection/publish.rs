//! Tells one peer what the own racks hold, within a budget of bytes.

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::fleet::{Server, View};
use azurepath_decide::name::Name;
use azurepath_decide::share::Summary;
use azurepath_wire::codec;
use azurepath_wire::frame::Frame;
use azurepath_wire::summary as wire;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::{call, link};

/// How long a summary may take to a peer.
const WAIT: Duration = Duration::from_secs(2);

/// The shortest pause between two summaries to the same peer.
const LEAST_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause between two summaries to the same peer.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);

/// What summaries to all peers may take together, in bytes a second.
const BYTES_PER_SECOND: f64 = 1_000.0;

/// What `h2` and TCP add to a summary and its reply, in bytes.
const OVERHEAD_BYTES: usize = 160;

/// The weight of a peer in the own failure domain.
const NEAR: f64 = 8.0;

/// The weight of a peer in the own region.
const REGIONAL: f64 = 4.0;

/// The weight of any other peer.
const FAR: f64 = 1.0;

/// Divides the bytes among peers, those of the own failure domain first.
#[derive(Clone, Debug)]
pub struct Budget {
    /// The own name.
    pub name: Name,
    /// The own failure domain.
    pub failure_domain: Name,
    /// The own region.
    pub region: Name,
    /// The fleet as last seen.
    pub view: watch::Receiver<Arc<View>>,
}

impl Budget {
    /// Returns how long to wait after `bytes` were sent to a peer.
    pub fn pause(&self, peer: &Server, bytes: usize) -> Duration {
        let view = self.view.borrow();
        let others = view
            .servers
            .values()
            .filter(|server| server.name != self.name);
        let all: f64 = others.map(|server| self.weight(server)).sum();
        let part = self.weight(peer) / all.max(self.weight(peer));
        let seconds = bytes as f64 / (BYTES_PER_SECOND * part);
        Duration::from_secs_f64(seconds).clamp(LEAST_PAUSE, LONGEST_PAUSE)
    }

    fn weight(&self, peer: &Server) -> f64 {
        if peer.failure_domain == self.failure_domain {
            NEAR
        } else if peer.region == self.region {
            REGIONAL
        } else {
            FAR
        }
    }
}

/// Tells one peer each summary, skipping those that a newer one has replaced.
pub(super) struct Publisher {
    /// The link to the peer.
    pub(super) link: link::Handle,
    /// The newest summary of the own racks.
    pub(super) summary: watch::Receiver<Option<Arc<Summary>>>,
    /// What summaries may cost.
    pub(super) budget: Budget,
    /// The peer.
    pub(super) peer: Server,
}

impl Publisher {
    /// Tells the peer until `halt`.
    pub(super) async fn run(mut self, halt: CancellationToken) {
        let mut known = None;
        self.summary.mark_changed();
        loop {
            tokio::select! {
                () = halt.cancelled() => return,
                changed = self.summary.changed() => if changed.is_err() { return },
            }
            let newest = self.summary.borrow_and_update().clone();
            let Some(newest) = newest else {
                continue;
            };
            let bytes = self.tell(&newest, &mut known).await;
            if known.is_none() {
                self.summary.mark_changed();
            }
            tokio::select! {
                () = halt.cancelled() => return,
                () = tokio::time::sleep(self.budget.pause(&self.peer, bytes)) => {}
            }
        }
    }

    /// Tells one summary and returns the bytes that it took.
    ///
    /// After one that may be lost the next is sent whole, since the peer may have either.
    async fn tell(&self, newest: &Arc<Summary>, known: &mut Option<Arc<Summary>>) -> usize {
        let frame = Frame::Summary(wire::Summary::since(newest, known.as_deref()));
        let bytes = codec::encode(&frame).map_or(0, |bytes| bytes.len()) + OVERHEAD_BYTES;
        match call::control(&self.link, &frame, WAIT).await {
            Ok(Frame::Done) => *known = Some(newest.clone()),
            Ok(_) | Err(_) => *known = None,
        }
        bytes
    }
}
