//! The graceful stop.

use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal as listen};
use tokio::sync::watch;

/// The phase of a process between its start and its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// The process does not serve yet.
    #[default]
    Starting,
    /// The process serves.
    Serving,
    /// The process is unready, but still serves while it hands its racks over.
    Leaving,
    /// The racks are handed over; new requests are refused and those in flight are answered.
    Closing,
}

/// Counts requests and other work in flight by kind.
#[derive(Clone, Debug)]
pub struct Inflight {
    counts: Arc<watch::Sender<Counts>>,
}

/// The counts that are not zero, by kind.
type Counts = BTreeMap<&'static str, usize>;

/// Counts as one piece of work in flight until it is dropped.
#[derive(Debug)]
pub struct Guard {
    counts: Arc<watch::Sender<Counts>>,
    kind: &'static str,
}

impl Default for Inflight {
    fn default() -> Inflight {
        Inflight {
            counts: Arc::new(watch::Sender::new(Counts::new())),
        }
    }
}

impl Inflight {
    /// Adds one to the count of a kind until the guard is dropped.
    pub fn enter(&self, kind: &'static str) -> Guard {
        self.counts
            .send_modify(|counts| *counts.entry(kind).or_default() += 1);
        Guard {
            counts: self.counts.clone(),
            kind,
        }
    }

    /// Returns the current count of all kinds.
    pub fn count(&self) -> usize {
        self.counts.borrow().values().sum()
    }

    /// Waits without a time limit until nothing is in flight.
    pub async fn drained(&self) {
        let mut counts = self.counts.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        let _ = counts.wait_for(Counts::is_empty).await;
    }
}

impl fmt::Display for Inflight {
    /// Writes the counts like `GET 1, POST 3`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (kind, count)) in self.counts.borrow().iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(formatter, "{separator}{kind} {count}")?;
        }
        Ok(())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.counts.send_modify(|counts| {
            if let Some(count) = counts.get_mut(self.kind) {
                *count -= 1;
                if *count == 0 {
                    counts.remove(self.kind);
                }
            }
        });
    }
}

/// Drains a process before it stops.
///
/// The process becomes unready, but serves until all racks are handed over and `linger` has passed.
/// Then it refuses new requests, and this waits without a time limit until nothing is in flight.
pub async fn drain(
    phase: &watch::Sender<Phase>,
    handed_over: &mut watch::Receiver<bool>,
    inflight: &Inflight,
    linger: Duration,
) {
    phase.send_replace(Phase::Leaving);
    let handover = async {
        // If the membership task has ended, no racks are left to hand over.
        let _ = handed_over.wait_for(|done| *done).await;
    };
    tokio::join!(tokio::time::sleep(linger), handover);
    phase.send_replace(Phase::Closing);
    inflight.drained().await;
}

/// Returns the stream of SIGHUP signals. While it exists, the signal does not end the process.
///
/// # Errors
///
/// Returns an error if the signal handler can't be installed.
pub fn hangups() -> std::io::Result<Signal> {
    listen(SignalKind::hangup())
}

/// Returns a future that ends when the process gets SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if a signal handler can't be installed.
pub fn signal() -> std::io::Result<impl Future<Output = ()>> {
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
