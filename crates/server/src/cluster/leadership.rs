//! Which instance leads: the one whose name stands in the leader's row of the store.

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::config::Config;
use azurepath_decide::batch::record::Stored;
use azurepath_decide::time::Time;
use azurepath_platform::store::{Error, Page};
use rand::Rng;
use slog::{info, warn};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::leader::{AUTHORITY, Ended, Leader};
use super::peer::{self, Standing};
use super::watch::{READ_TIMEOUT, read_all};
use super::writer::{self, JOBS, LEADER, ROSTER, Seat, TABLE, Writer};
use super::{Context, clock};

/// How often the leader's row is read.
const INTERVAL: Duration = Duration::from_millis(400);

/// How often it is read by an instance that stops and has calls for the next leader.
const LEAVING_INTERVAL: Duration = Duration::from_millis(100);

/// How long the leader's row stands still before the leader counts as dead: several of its beats.
const DEAD: Duration = Duration::from_millis(1_400);

/// The same where the leader can't be reached over the network either: one of its beats. A leader
/// that is deposed by mistake loses nothing but the lead.
const UNREACHABLE: Duration = Duration::from_millis(450);

/// How often the leader's row is read while the leader can't be reached.
const HURRIED_INTERVAL: Duration = Duration::from_millis(150);

/// A claim waits for this many times the duration of a call to the store, so that instances in the
/// store's region lead: from another one, each job and each start takes several trips longer.
const DISTANCE: u32 = 25;

/// The longest wait of that kind.
const LONGEST_WAIT: Duration = Duration::from_millis(1_200);

/// An instance whose calls to the store take longer stands in another region, and leads only until a
/// nearer one may have noticed that the seat is free.
const FAR: Duration = Duration::from_millis(20);

/// How long an instance in another region leads the first time; four times as long each next time,
/// since nearer instances may be out of reach.
const FAR_TERM: Duration = Duration::from_secs(3);

/// The wait before a claim of an instance with a whole core. It grows with the square of what an
/// instance has less, so that small ones lead only where no large one is left: 50 ms at half a core,
/// 190 ms at a quarter, 830 ms at an eighth.
const SIZE_WAIT: Duration = Duration::from_millis(12);

/// Instances with less than this wait no longer than with this.
const LEAST_CORES: f64 = 0.1;

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
    /// How long the fastest call to the store took.
    distance: Duration,
    /// How often this instance has given the seat up for a nearer one.
    yields: u32,
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
            distance: Duration::MAX,
            yields: 0,
            read_at: None,
        }
    }

    /// Follows and leads until `leaving`; then only follows until `halt`, for the calls that still
    /// come.
    pub(super) async fn run(mut self, leaving: CancellationToken, halt: CancellationToken) {
        while !halt.is_cancelled() {
            let read = self.read().await;
            if read
                && !leaving.is_cancelled()
                && self.is_free()
                && let Some(config) = self.config()
            {
                self.lead(config, &leaving).await;
                continue;
            }
            let pause = if leaving.is_cancelled() {
                LEAVING_INTERVAL
            } else if self.context.route.is_open() {
                INTERVAL
            } else {
                HURRIED_INTERVAL
            };
            let mut route = self.context.route.clone();
            tokio::select! {
                () = halt.cancelled() => {}
                () = route.lost() => {}
                () = self.context.route.not_leading() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    fn config(&self) -> Option<Arc<Config>> {
        self.context.config.borrow().clone()
    }

    /// Reads the leader's row; returns whether it could be read.
    async fn read(&mut self) -> bool {
        let before = clock::now();
        let read = self.context.store.get(TABLE, LEADER, READ_TIMEOUT).await;
        let now = clock::now();
        let Ok(Page { rows, .. }) = read else {
            return false;
        };
        self.distance = self.distance.min(now.since(before));
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
        let cores = self.context.settings.millicores as f64 / 1_000.0;
        let size_wait = SIZE_WAIT.div_f64(cores.clamp(LEAST_CORES, 1.0).powi(2));
        let distance_wait = self.distance.saturating_mul(DISTANCE).min(LONGEST_WAIT);
        let wait = distance_wait + size_wait + JITTER.mul_f64(part);
        tokio::time::sleep(wait).await;
        let version = self.view.version;
        if !self.read().await || self.view.version != version {
            return;
        }
        let authority_left = self.authority_left();
        let Some((writer, sent)) = self.claim().await else {
            return;
        };
        let epoch = writer.seat().epoch;
        info!(self.context.log, "seat taken"; "epoch" => epoch, "before" => version);
        let Some(stored) = self.stored().await else {
            writer.release().await;
            return;
        };
        info!(self.context.log, "leading"; "epoch" => epoch, "jobs" => stored.jobs.len(), "workers" => stored.roster.len());
        let (leader, handle, receiver) = Leader::new(
            self.context.clone(),
            writer,
            sent,
            authority_left,
            config,
            stored,
        );
        self.context.counts.leads.add(1, &[]);
        self.standing.send_replace(Standing::Here(handle));
        let ended = leader.run(receiver, leaving, self.term()).await;
        if ended == Ended::Yielded {
            self.yields += 1;
        }
        self.standing.send_replace(Standing::None);
        info!(self.context.log, "leading no more"; "epoch" => epoch, "reason" => %ended);
        self.view.since = clock::now();
    }

    /// Returns for how long the leader of the row as last read may still give orders.
    fn authority_left(&self) -> Duration {
        match &self.view.seat {
            // It gave its authority up, or was an earlier process of this instance, which is dead.
            Some(seat) if seat.released || self.is_earlier_self(seat) => Duration::ZERO,
            // Its last write was stored before the row was first seen as it is.
            Some(_) => AUTHORITY.saturating_sub(clock::now().since(self.view.since)),
            None => Duration::ZERO,
        }
    }

    fn is_earlier_self(&self, seat: &Seat) -> bool {
        self.is_own(seat) && seat.address == self.context.peers
    }

    /// Returns for how long this instance leads at most.
    fn term(&self) -> Option<Duration> {
        let factor = 4_u32.saturating_pow(self.yields);
        (self.distance >= FAR).then(|| FAR_TERM.saturating_mul(factor))
    }

    async fn claim(&self) -> Option<(Writer, Time)> {
        let epoch = self.view.seat.as_ref().map_or(0, |seat| seat.epoch);
        let seat = Seat {
            name: self.context.name.clone(),
            incarnation: self.incarnation,
            address: self.context.peers,
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

    /// Reads what earlier leaders have stored.
    async fn stored(&self) -> Option<Stored> {
        for _ in 0..READS {
            match self.read_stored().await {
                Ok(stored) => return Some(stored),
                Err(error) => {
                    warn!(self.context.log, "stored jobs can't be read"; "error" => %error);
                    tokio::time::sleep(INTERVAL / 4).await;
                }
            }
        }
        None
    }

    async fn read_stored(&self) -> Result<Stored, Error> {
        let store = &self.context.store;
        let unreadable = |error: &String| {
            warn!(self.context.log, "a stored row can't be read"; "error" => error);
        };
        let jobs = read_all(store, JOBS).await?;
        let jobs = jobs.rows.iter().map(writer::decode);
        let jobs = jobs.filter_map(|row| row.inspect_err(unreadable).ok());
        let own = read_all(store, TABLE).await?;
        let roster = own.rows.iter().find(|row| row.key == ROSTER);
        let roster = roster.map(writer::decode_roster);
        let roster = roster.and_then(|row| row.inspect_err(unreadable).ok());
        Ok(Stored {
            jobs: jobs.collect(),
            roster: roster.unwrap_or_default(),
        })
    }
}
