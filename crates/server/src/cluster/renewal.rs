//! Claims one worker, renews the lease of its tasks and receives its reports.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use azurepath_decide::batch::report::Report;
use azurepath_decide::time::Time;
use azurepath_platform::worker::{Endpoint, Renewal, RenewalOutcome, Workers};
use azurepath_wire::batch::{self as wire, News};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::clock::{self, Authority};

/// How long a worker may wait for a task to end before it answers. A lost answer delays the report
/// of ends by as much.
const END_WAIT: Duration = Duration::from_millis(700);

/// The same while no task runs on the worker.
const IDLE_WAIT: Duration = Duration::from_millis(1_400);

/// How long an answer may take beyond the worker's wait: several round trips between two regions.
const ANSWER_SLACK: Duration = Duration::from_millis(400);

/// How long the leader's next renewal waits until new ends are stored, so that it can acknowledge
/// them.
pub(super) const STORE_WAIT: Duration = Duration::from_millis(60);

/// How often it is reported that the leases of a silent worker have expired. A report is void if
/// tasks were ordered to start there just before.
const LAPSE_INTERVAL: Duration = Duration::from_secs(1);

/// The pause after the first failed renewal.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after failed renewals.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// The factor by which a worker's clock may run slower than the leader's.
pub(super) const MAX_CLOCK_DRIFT: f64 = 1.02;

/// The time that is added to a lease for timers that fire late.
const TIMER_MARGIN: Duration = Duration::from_millis(150);

/// An event of a worker.
#[derive(Clone, Debug)]
pub(super) struct Event {
    /// The number under which the worker is renewed.
    pub(super) serial: u64,
    /// The number of the event among those of this serial, counted from 1.
    pub(super) number: u64,
    /// When it has happened, at the latest.
    pub(super) at: Time,
    /// What has happened.
    pub(super) news: News,
}

impl From<&Event> for wire::Event {
    /// Converts an event that is sent now.
    fn from(event: &Event) -> wire::Event {
        wire::Event {
            serial: event.serial,
            number: event.number,
            age: clock::now().since(event.at),
            news: event.news.clone(),
        }
    }
}

/// The time until which tasks may run on a worker by the leases that it was given.
#[derive(Debug)]
pub(super) struct LeaseEnd(AtomicU64);

impl LeaseEnd {
    /// Creates the end of leases that others have given.
    pub(super) fn new(until: Time) -> LeaseEnd {
        LeaseEnd(AtomicU64::new(until.0))
    }

    /// Returns the time.
    pub(super) fn get(&self) -> Time {
        Time(self.0.load(Ordering::Relaxed))
    }

    fn extend(&self, until: Time) {
        self.0.fetch_max(until.0, Ordering::Relaxed);
    }
}

/// The task that claims and renews one worker.
pub(super) struct Renewer {
    pub(super) serial: u64,
    pub(super) endpoint: Endpoint,
    pub(super) workers: Workers,
    pub(super) epoch: u64,
    pub(super) lease: Duration,
    /// Until when tasks may run on the worker.
    pub(super) lease_end: Arc<LeaseEnd>,
    pub(super) authority: Arc<Authority>,
    /// How long the next renewal waits until new ends are stored.
    pub(super) store_wait: Duration,
    /// The number up to which ends are stored.
    pub(super) acknowledged: watch::Receiver<u64>,
    pub(super) events: mpsc::UnboundedSender<Event>,
    /// How many events have been sent.
    pub(super) sent: u64,
}

/// Returns the time after which a lease has expired for certain, counted from when it was sent.
pub(super) fn expiry_bound(lease: Duration) -> Duration {
    lease.mul_f64(MAX_CLOCK_DRIFT) + TIMER_MARGIN
}

impl Renewer {
    /// Renews the worker until `halt` is cancelled or another worker has replaced it.
    pub(super) async fn run(mut self, halt: CancellationToken) {
        let mut clock: Option<(u64, Instant)> = None;
        let mut failures = 0;
        let mut lapse_reported = None;
        let mut idle = false;
        while !halt.is_cancelled() {
            let extend = failures == 0 && self.authority.holds();
            let expires_ms = clock.filter(|_| extend).map(|(millis, at)| {
                let now = millis + u64::try_from(at.elapsed().as_millis()).unwrap_or(0);
                now + u64::try_from(self.lease.as_millis()).unwrap_or(0)
            });
            if expires_ms.is_some() {
                // Before the call, which may take effect without an answer.
                self.lease_end
                    .extend(clock::now().after(expiry_bound(self.lease)));
            }
            let acknowledged = *self.acknowledged.borrow_and_update();
            let renewal = Renewal {
                epoch: self.epoch,
                acknowledged,
                expires_ms,
                // The first call only reads the clock and the running tasks.
                wait: match (clock, failures, idle) {
                    (None, _, _) | (_, 1.., _) => Duration::ZERO,
                    (Some(_), 0, false) => END_WAIT,
                    (Some(_), 0, true) => IDLE_WAIT,
                },
            };
            let outcome = tokio::select! {
                () = halt.cancelled() => return,
                outcome = self.workers.renew(&self.endpoint, &renewal, ANSWER_SLACK) => outcome,
            };
            match outcome {
                Ok(RenewalOutcome::Report(report)) => {
                    clock = Some((report.clock_ms, Instant::now()));
                    failures = 0;
                    lapse_reported = None;
                    idle = report.running.is_empty();
                    let has_new_ends = highest_end(&report) > acknowledged;
                    self.send(News::Report(report));
                    if has_new_ends {
                        self.wait_stored(&halt).await;
                    }
                    continue;
                }
                Ok(RenewalOutcome::Superseded) => self.send(News::Superseded),
                Ok(RenewalOutcome::Replaced) => {
                    self.send(News::Replaced);
                    return;
                }
                Err(error) => {
                    if failures == 0 {
                        self.send(News::Silent(error));
                    }
                }
            }
            failures += 1;
            let (now, lease_end) = (clock::now(), self.lease_end.get());
            let is_reported = lapse_reported.is_some_and(|at| now.since(at) < LAPSE_INTERVAL);
            if !is_reported && now >= lease_end {
                lapse_reported = Some(now);
                self.send(News::Lapsed);
            }
            self.pause(failures, lease_end, &halt).await;
        }
    }

    /// Waits until the ends that were just reported are stored, at most for the configured time.
    async fn wait_stored(&mut self, halt: &CancellationToken) {
        tokio::select! {
            () = halt.cancelled() => {}
            // Without a sender the leader has ended, and this task is about to be stopped.
            _ = self.acknowledged.changed() => {}
            () = tokio::time::sleep(self.store_wait) => {}
        }
    }

    async fn pause(&self, failures: u32, lease_end: Time, halt: &CancellationToken) {
        let mut pause = MIN_PAUSE.saturating_mul(failures).min(MAX_PAUSE);
        let left = lease_end.since(clock::now());
        if !left.is_zero() {
            pause = pause.min(left);
        }
        tokio::select! {
            () = halt.cancelled() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }

    fn send(&mut self, news: News) {
        self.sent += 1;
        let event = Event {
            serial: self.serial,
            number: self.sent,
            at: clock::now(),
            news,
        };
        // If the receiver has ended, this task is about to be stopped.
        let _ = self.events.send(event);
    }
}

/// Returns the highest number of an end in a report, or 0 if it has none.
pub(super) fn highest_end(report: &Report) -> u64 {
    report.ended.iter().map(|end| end.number).max().unwrap_or(0)
}
