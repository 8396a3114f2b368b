//! Sends summaries of this server's racks to a peer, within a bandwidth budget.

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

/// The timeout of sending a summary.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// The shortest pause between two summaries to the same peer.
const MIN_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause between two summaries to the same peer.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// The bandwidth of the summaries to all peers together, in bytes per second.
const BUDGET_BYTES_PER_SECOND: f64 = 1_000.0;

/// The bytes that `h2` and TCP add to a summary and its reply.
const OVERHEAD_BYTES: usize = 160;

/// The weight of a peer in the same failure domain.
const SAME_DOMAIN_WEIGHT: f64 = 8.0;

/// The weight of a peer in the same region but another failure domain.
const SAME_REGION_WEIGHT: f64 = 4.0;

/// The weight of a peer in another region.
const OTHER_REGION_WEIGHT: f64 = 1.0;

/// Divides the bandwidth among peers by weight, with the largest part for those of the same failure
/// domain.
#[derive(Clone, Debug)]
pub struct Budget {
    /// The name of this server.
    pub name: Name,
    /// The failure domain of this server.
    pub failure_domain: Name,
    /// The region of this server.
    pub region: Name,
    /// The current view of the fleet.
    pub view: watch::Receiver<Arc<View>>,
}

impl Budget {
    /// Returns how long to wait after sending `bytes` to a peer.
    pub fn pause(&self, peer: &Server, bytes: usize) -> Duration {
        let view = self.view.borrow();
        let others = view
            .servers
            .values()
            .filter(|server| server.name != self.name);
        let total: f64 = others.map(|server| self.weight(server)).sum();
        let share = self.weight(peer) / total.max(self.weight(peer));
        let seconds = bytes as f64 / (BUDGET_BYTES_PER_SECOND * share);
        Duration::from_secs_f64(seconds).clamp(MIN_PAUSE, MAX_PAUSE)
    }

    fn weight(&self, peer: &Server) -> f64 {
        if peer.failure_domain == self.failure_domain {
            SAME_DOMAIN_WEIGHT
        } else if peer.region == self.region {
            SAME_REGION_WEIGHT
        } else {
            OTHER_REGION_WEIGHT
        }
    }
}

/// Sends each new summary to one peer and skips those that a newer one has replaced.
pub(super) struct Publisher {
    /// The link to the peer.
    pub(super) link: link::Handle,
    /// The newest summary of the racks of this server.
    pub(super) summary: watch::Receiver<Option<Arc<Summary>>>,
    /// The bandwidth budget.
    pub(super) budget: Budget,
    /// The peer.
    pub(super) peer: Server,
}

impl Publisher {
    /// Sends summaries until `halt`.
    pub(super) async fn run(mut self, halt: CancellationToken) {
        let mut acknowledged = None;
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
            let bytes = self.send(&newest, &mut acknowledged).await;
            if acknowledged.is_none() {
                self.summary.mark_changed();
            }
            tokio::select! {
                () = halt.cancelled() => return,
                () = tokio::time::sleep(self.budget.pause(&self.peer, bytes)) => {}
            }
        }
    }

    /// Sends one summary and returns the bytes that it took.
    ///
    /// Only the changes since the last acknowledged summary are sent. After a summary that may be
    /// lost, it is not known which one the peer has, so the next is sent in full.
    async fn send(&self, newest: &Arc<Summary>, acknowledged: &mut Option<Arc<Summary>>) -> usize {
        let frame = Frame::Summary(wire::Summary::since(newest, acknowledged.as_deref()));
        let bytes = codec::encode(&frame).map_or(0, |bytes| bytes.len()) + OVERHEAD_BYTES;
        match call::control(&self.link, &frame, SEND_TIMEOUT).await {
            Ok(Frame::Done) => *acknowledged = Some(newest.clone()),
            Ok(_) | Err(_) => *acknowledged = None,
        }
        bytes
    }
}
