//! What the leader knows of one worker and of who renews it.

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use azurepath_platform::worker::Endpoint;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::order::ORDER_VALIDITY;
use crate::cluster::clock;
use crate::cluster::renewal::{self, LeaseEnd, MAX_CLOCK_DRIFT};

/// A worker whose lease is renewed.
pub(super) struct Link {
    pub(super) endpoint: Endpoint,
    pub(super) failure_domain: Name,
    /// The number under which it is renewed; a new one with each change of who renews it.
    pub(super) serial: u64,
    /// The number of the last event under this serial that was handled.
    pub(super) last_event: u64,
    pub(super) renewal: Renewal,
    /// The number up to which its ends are stored.
    pub(super) acknowledged: u64,
    /// The worker's clock in milliseconds, and when it was read.
    pub(super) clock: Option<(u64, Instant)>,
    /// Until when leases may last that others have renewed before.
    pub(super) inherited_until: Time,
    /// When an order to start was last sent, or handed to another instance.
    pub(super) ordered: Option<Time>,
}

impl Link {
    /// Tells whether all leases had expired if the renewer's own had at that time. An order to start
    /// extends them as well.
    pub(super) fn surely_lapsed(&self, at: Time) -> bool {
        let bound = renewal::expiry_bound(ORDER_VALIDITY);
        self.ordered
            .is_none_or(|ordered| ordered.after(bound) <= at)
    }

    /// Returns how long leases may last that others have renewed before.
    pub(super) fn inherited_lease(&self) -> Duration {
        self.inherited_until.since(clock::now())
    }

    /// Begins a renewal under a new number.
    pub(super) fn begin(&mut self, serial: u64) {
        self.serial = serial;
        self.last_event = 0;
    }

    /// Notes the worker's clock in a report. A report that was long under way shows less than the
    /// clock has by now, so the earlier reading counts if it leads to a later time.
    pub(super) fn read_clock(&mut self, millis: u64) {
        let now = Instant::now();
        if self.clock_at(now).is_none_or(|expected| millis >= expected) {
            self.clock = Some((millis, now));
        }
    }

    /// Returns what the worker's clock surely shows.
    pub(super) fn clock_at(&self, now: Instant) -> Option<u64> {
        let (millis, at) = self.clock?;
        let elapsed = now.saturating_duration_since(at).div_f64(MAX_CLOCK_DRIFT);
        Some(millis + u64::try_from(elapsed.as_millis()).unwrap_or(0))
    }
}

/// Who renews a worker.
pub(super) enum Renewal {
    /// Nobody yet.
    None,
    /// The leader.
    Own {
        stop: CancellationToken,
        acknowledged: watch::Sender<u64>,
        lease_end: Arc<LeaseEnd>,
    },
    /// Another instance.
    Carried(Name),
}
