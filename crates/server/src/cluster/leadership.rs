//! Which instance leads: the one whose name stands in the leader's row of the store.

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::config::Config;
use azurepath_decide::time::Time;
use azurepath_platform::store::{Error, Page};
use rand::Rng;
use slog::{info, warn};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::leader::Leader;
use super::peer::{self, Standing};
use super::watch::{READ_TIMEOUT, read_all};
use super::writer::{self, JOBS, LEADER, Seat, TABLE, Writer};
use super::{Context, clock};

/// How often the leader's row is read.
const INTERVAL: Duration = Duration::from_millis(400);

/// How long the leader's row stands still before the leader counts as dead: several of its beats.
const DEAD: Duration = Duration::from_millis(1_800);

/// The same where the leader can't be reached over the network either.
const UNREACHABLE: Duration = Duration::from_millis(900);

/// A claim waits for this many times the duration of a call to the store, so that instances near
/// the store lead.
const DISTANCE: u32 = 4;

/// What is added at random to the wait before a claim, so that claims rarely collide.
const JITTER: Duration = Duration::from_millis(60);

/// How often a claim reads the stored jobs before it gives the seat back.
const READS: u32 = 20;

/// The leader's row as last read.
#[derive(Clone, Debug)]
struct View {
    seat: Option<Seat>,
    version: u64,
    /// When this version was first seen.
    since: Time,
}

/// The task that follows the leader's row and leads in its turn.
pub(super) struct Election {
    context: Context,
    standing: watch::Sender<Standing>,
    incarnation: u64,
    view: View,
    /// How long a call to the store takes.
    distance: Duration,
    /// When the store was last read.
    read_at: Option<Time>,
}

impl Election {
    /// Makes the task.
    pub(super) fn new(context: Context, standing: watch::Sender<Standing>) -> Election {
        Election {
            context,
            standing,
            incarnation: rand::rng().random(),
            view: View {
                seat: None,
                version: u64::MAX,
                since: clock::now(),
            },
            distance: Duration::ZERO,
            read_at: None,
        }
    }

    /// Follows and leads until `leaving`; then follows on until the process ends.
    pub(super) async fn run(mut self, leaving: CancellationToken) {
        while !leaving.is_cancelled() {
            let read = self.read().await;
            if read
                && self.is_free()
                && let Some(config) = self.config()
            {
                self.lead(config, &leaving).await;
                continue;
            }
            tokio::select! {
                () = leaving.cancelled() => {}
                () = tokio::time::sleep(INTERVAL) => {}
            }
        }
        // Calls that still come go to the next leader.
        while self.context.inflight.count() > 0 || !self.standing.is_closed() {
            if !self.read().await {
                tokio::time::sleep(INTERVAL).await;
            }
            if matches!(&*self.standing.borrow(), Standing::There(_)) {
                return;
            }
            tokio::time::sleep(INTERVAL / 4).await;
        }
    }

    fn config(&self) -> Option<Arc<Config>> {
        self.context.config.borrow().clone()
    }

    /// Reads the leader's row; returns whether it could be read.
    async fn read(&mut self) -> bool {
        let before = clock::now();
        let read = self.context.store.read(TABLE, "", READ_TIMEOUT).await;
        let now = clock::now();
        let Ok(Page { rows, .. }) = read else {
            return false;
        };
        self.distance = now.since(before);
        let row = rows.iter().find(|row| row.key == LEADER);
        let version = row.map_or(0, |row| row.version);
        // Time in which the store could not be read says nothing of the leader.
        let gap = self.read_at.is_none_or(|at| now.since(at) > DEAD / 2);
        self.read_at = Some(now);
        if version != self.view.version || gap {
            self.view = View {
                seat: row.and_then(Seat::read),
                version,
                since: now,
            };
        }
        self.follow();
        true
    }

    /// Tells the others in the process who leads.
    fn follow(&self) {
        let standing = match &self.view.seat {
            Some(seat) if !seat.released && !self.is_own(seat) => Some(peer::Leader {
                name: seat.name.clone(),
                address: seat.address,
                epoch: seat.epoch,
            }),
            Some(_) | None => None,
        };
        self.standing
            .send_if_modified(|known| match (&*known, standing) {
                (Standing::There(known), Some(leader)) if *known == leader => false,
                (Standing::None, None) => false,
                (_, Some(leader)) => {
                    *known = Standing::There(leader);
                    true
                }
                (_, None) => {
                    *known = Standing::None;
                    true
                }
            });
    }

    fn is_own(&self, seat: &Seat) -> bool {
        seat.name == self.context.name
    }

    /// Tells whether the seat may be claimed.
    fn is_free(&self) -> bool {
        let Some(seat) = &self.view.seat else {
            return true;
        };
        if seat.released || self.is_own(seat) {
            return true;
        }
        let still = clock::now().since(self.view.since);
        still >= DEAD || (still >= UNREACHABLE && !self.context.route.is_open())
    }

    /// Claims the seat and leads until that ends.
    async fn lead(&mut self, config: Arc<Config>, leaving: &CancellationToken) {
        let part: f64 = rand::rng().random();
        tokio::time::sleep(self.distance * DISTANCE + JITTER.mul_f64(part)).await;
        let version = self.view.version;
        if !self.read().await || self.view.version != version {
            return;
        }
        let Some((writer, sent)) = self.claim().await else {
            return;
        };
        let epoch = writer.seat().epoch;
        info!(self.context.log, "seat taken"; "epoch" => epoch, "before" => version);
        let Some(records) = self.records().await else {
            writer.release().await;
            return;
        };
        info!(self.context.log, "leading"; "epoch" => epoch, "jobs" => records.len());
        let (leader, handle, receiver) =
            Leader::new(self.context.clone(), writer, sent, config, records);
        self.standing.send_replace(Standing::Here(handle));
        let ended = leader.run(receiver, leaving).await;
        self.standing.send_replace(Standing::None);
        info!(self.context.log, "leading no more"; "epoch" => epoch, "reason" => %ended);
        self.view.since = clock::now();
    }

    async fn claim(&self) -> Option<(Writer, Time)> {
        let epoch = self.view.seat.as_ref().map_or(0, |seat| seat.epoch);
        let seat = Seat {
            name: self.context.name.clone(),
            incarnation: self.incarnation,
            address: self.context.settings.server.peers,
            epoch: epoch + 1,
            write: 0,
            released: false,
        };
        Writer::claim(
            &self.context.store,
            seat,
            self.view.version,
            &self.context.log,
        )
        .await
    }

    /// Reads all stored jobs.
    async fn records(
        &self,
    ) -> Option<
        Vec<(
            azurepath_decide::batch::JobId,
            azurepath_decide::batch::record::Record,
        )>,
    > {
        for _ in 0..READS {
            match read_all(&self.context.store, JOBS).await {
                Ok(page) => {
                    let decoded = page.rows.iter().map(writer::decode);
                    let good = decoded.filter_map(|row| {
                        let unreadable = |error: &String| {
                            warn!(self.context.log, "a stored job can't be read"; "error" => error);
                        };
                        row.inspect_err(unreadable).ok()
                    });
                    return Some(good.collect());
                }
                Err(Error::HistoryGone | Error::Conflict(_)) => return None,
                Err(error) => {
                    warn!(self.context.log, "stored jobs can't be read"; "error" => %error);
                    tokio::time::sleep(INTERVAL / 4).await;
                }
            }
        }
        None
    }
}
