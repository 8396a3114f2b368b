//! A clock that keeps running while the instance is suspended, and the leader's authority based on
//! it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use azurepath_decide::time::Time;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine was booted, including time in suspension.
pub(super) fn now() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let micros = u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000;
    Time(seconds * 1_000_000 + micros)
}

/// Returns the wall clock time in milliseconds since 1970.
pub(super) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// The time until which this instance may give orders as the leader.
#[derive(Debug)]
pub(super) struct Authority {
    until: AtomicU64,
    duration: Duration,
}

impl Authority {
    /// Creates an authority that lasts for `duration` after a write that was sent at `sent`.
    pub(super) fn new(sent: Time, duration: Duration) -> Authority {
        Authority {
            until: AtomicU64::new(sent.after(duration).0),
            duration,
        }
    }

    /// Extends the authority after a write that was sent at `sent` confirmed that this instance
    /// leads.
    pub(super) fn extend(&self, sent: Time) {
        self.extend_by(sent, self.duration);
    }

    /// Extends the authority until `duration` after `sent`.
    pub(super) fn extend_by(&self, sent: Time, duration: Duration) {
        self.until
            .fetch_max(sent.after(duration).0, Ordering::Relaxed);
    }

    /// Returns how long orders may still be given.
    pub(super) fn remaining(&self) -> Duration {
        Time(self.until.load(Ordering::Relaxed)).since(now())
    }

    /// Returns how long ago the write was sent that confirmed this instance as the leader last.
    pub(super) fn unconfirmed_for(&self) -> Duration {
        let until = Time(self.until.load(Ordering::Relaxed));
        now().since(until.before(self.duration))
    }

    /// Tells whether orders may be given now.
    pub(super) fn holds(&self) -> bool {
        now().0 < self.until.load(Ordering::Relaxed)
    }

    /// Ends the authority.
    pub(super) fn end(&self) {
        self.until.store(0, Ordering::Relaxed);
    }
}
