//! A clock that goes on while the instance is suspended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use azurepath_decide::time::Time;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the instance was started, suspended or not.
pub(super) fn now() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let micros = u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000;
    Time(seconds * 1_000_000 + micros)
}

/// Returns the milliseconds since 1970.
pub(super) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// Until when this instance may give orders as the leader.
#[derive(Debug)]
pub(super) struct Authority {
    until: AtomicU64,
    span: Duration,
}

impl Authority {
    /// Makes an authority that begins with a write sent at `sent`.
    pub(super) fn new(sent: Time, span: Duration) -> Authority {
        Authority {
            until: AtomicU64::new(sent.after(span).0),
            span,
        }
    }

    /// Extends it, since a write sent at `sent` found that this instance leads.
    pub(super) fn extend(&self, sent: Time) {
        let until = sent.after(self.span).0;
        self.until.fetch_max(until, Ordering::Relaxed);
    }

    /// Tells whether orders may be given now.
    pub(super) fn holds(&self) -> bool {
        now().0 < self.until.load(Ordering::Relaxed)
    }

    /// Ends it.
    pub(super) fn end(&self) {
        self.until.store(0, Ordering::Relaxed);
    }
}
