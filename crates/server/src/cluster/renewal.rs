//! Claims one worker and renews what runs there.

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::report::Report;
use azurepath_decide::time::Time;
use azurepath_platform::worker::{Endpoint, Renewal, Renewed, Workers};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::clock::{self, Authority};
use super::leader::Message;

/// How long a worker may wait for a task to end before it answers. An answer that is lost hides
/// ends for as long.
const WAIT: Duration = Duration::from_millis(700);

/// How long an answer may take beyond that: several round trips between two regions.
const SLACK: Duration = Duration::from_millis(400);

/// How long the next renewal waits for ends to be stored, so that it acknowledges them.
const STORE_WAIT: Duration = Duration::from_millis(60);

/// The pause after a renewal that failed.
const PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after renewals that failed.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// How much slower than ours a worker's clock may run.
const DRIFT: f64 = 1.02;

/// What is added to a lease for timers that fire late.
const MARGIN: Duration = Duration::from_millis(150);

/// A worker that is renewed.
pub(super) struct Renewer {
    pub(super) worker: usize,
    pub(super) endpoint: Endpoint,
    pub(super) workers: Workers,
    pub(super) epoch: u64,
    pub(super) lease: Duration,
    /// How long tasks may run there that were renewed before this scheduler began.
    pub(super) inherited: Duration,
    pub(super) authority: Arc<Authority>,
    /// The number up to which ends are stored.
    pub(super) acknowledged: watch::Receiver<u64>,
    pub(super) leader: mpsc::UnboundedSender<Message>,
}

/// Returns how long after it was sent a lease has surely expired.
pub(super) fn surely(lease: Duration) -> Duration {
    lease.mul_f64(DRIFT) + MARGIN
}

impl Renewer {
    /// Renews until `halt`.
    pub(super) async fn run(mut self, halt: CancellationToken) {
        let mut clock: Option<(u64, Instant)> = None;
        let mut lapses = clock::now().after(self.inherited);
        let mut failures = 0;
        let mut lapsed = false;
        while !halt.is_cancelled() {
            let extend = failures == 0 && self.authority.holds();
            let expires_ms = clock.filter(|_| extend).map(|(millis, at)| {
                let now = millis + u64::try_from(at.elapsed().as_millis()).unwrap_or(0);
                now + u64::try_from(self.lease.as_millis()).unwrap_or(0)
            });
            if expires_ms.is_some() {
                lapses = lapses.max(clock::now().after(surely(self.lease)));
            }
            let acknowledged = *self.acknowledged.borrow_and_update();
            let renewal = Renewal {
                epoch: self.epoch,
                acknowledged,
                expires_ms,
                // The first call only asks for the clock and for what runs.
                wait: if clock.is_some() && failures == 0 {
                    WAIT
                } else {
                    Duration::ZERO
                },
            };
            let renewed = tokio::select! {
                () = halt.cancelled() => return,
                renewed = self.workers.renew(&self.endpoint, &renewal, SLACK) => renewed,
            };
            match renewed {
                Ok(Renewed::Report(report)) => {
                    clock = Some((report.clock_ms, Instant::now()));
                    failures = 0;
                    lapsed = false;
                    let news = highest(&report) > acknowledged;
                    self.tell(Message::Report(self.worker, report));
                    if news {
                        self.wait_stored(&halt).await;
                    }
                    continue;
                }
                Ok(Renewed::Superseded) => self.tell(Message::Superseded),
                Ok(Renewed::Replaced) => {
                    self.tell(Message::Replaced(self.worker));
                    return;
                }
                Err(error) => {
                    if failures == 0 {
                        self.tell(Message::Silent(self.worker, error));
                    }
                }
            }
            failures += 1;
            if !lapsed && clock::now() >= lapses {
                lapsed = true;
                self.tell(Message::Lapsed(self.worker));
            }
            self.pause(failures, lapses, &halt).await;
        }
    }

    /// Waits until the ends that were just told are stored, a short time at most.
    async fn wait_stored(&mut self, halt: &CancellationToken) {
        tokio::select! {
            () = halt.cancelled() => {}
            // Without a sender the leader has ended, and this task is about to be halted.
            _ = self.acknowledged.changed() => {}
            () = tokio::time::sleep(STORE_WAIT) => {}
        }
    }

    async fn pause(&self, failures: u32, lapses: Time, halt: &CancellationToken) {
        let mut pause = PAUSE.saturating_mul(failures).min(LONGEST_PAUSE);
        let left = lapses.since(clock::now());
        if !left.is_zero() {
            pause = pause.min(left);
        }
        tokio::select! {
            () = halt.cancelled() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }

    fn tell(&self, message: Message) {
        // Where the leader has ended, this task is about to be halted.
        let _ = self.leader.send(message);
    }
}

fn highest(report: &Report) -> u64 {
    report.ended.iter().map(|end| end.number).max().unwrap_or(0)
}
