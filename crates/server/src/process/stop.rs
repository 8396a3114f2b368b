//! The graceful stop.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal as listen};
use tokio::sync::watch;

/// How far a process is with starting or stopping.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// It does not serve yet.
    #[default]
    Starting,
    /// It serves.
    Serving,
    /// It is unready, serves on and hands its racks over.
    Leaving,
    /// Its racks are handed over; it takes nothing new and answers what is in flight.
    Closing,
}

/// Counts what is in flight.
#[derive(Clone, Debug)]
pub struct Inflight {
    count: Arc<watch::Sender<usize>>,
}

/// One thing in flight, until it is dropped.
#[derive(Debug)]
pub struct Guard {
    count: Arc<watch::Sender<usize>>,
}

impl Default for Inflight {
    fn default() -> Inflight {
        Inflight {
            count: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl Inflight {
    /// Counts one more until the guard is dropped.
    pub fn enter(&self) -> Guard {
        self.count.send_modify(|count| *count += 1);
        Guard {
            count: self.count.clone(),
        }
    }

    /// Returns how many are in flight.
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until nothing is in flight, however long that takes.
    pub async fn drained(&self) {
        let mut count = self.count.subscribe();
        // The sender lives as long as `self`, so waiting can't fail.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}

/// Turns unready, serves on until all racks are handed over and `linger` has passed, then takes
/// nothing new and waits until nothing is in flight, however long that takes.
pub async fn drain(
    phase: &watch::Sender<Phase>,
    handed_over: &mut watch::Receiver<bool>,
    inflight: &Inflight,
    linger: Duration,
) {
    phase.send_replace(Phase::Leaving);
    let handover = async {
        // Where membership has ended, there is nothing left to hand over.
        let _ = handed_over.wait_for(|done| *done).await;
    };
    tokio::join!(tokio::time::sleep(linger), handover);
    phase.send_replace(Phase::Closing);
    inflight.drained().await;
}

/// Listens for the signals that ask the process to stop.
///
/// # Errors
///
/// Returns an error where the signals can't be listened for.
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
