//! Elects the leader: the instance whose name is in the leader's row of the store.

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::config::Config;
use azurepath_decide::batch::tenure::{REST_TIME, Tenure};
use azurepath_decide::time::Time;
use azurepath_platform::store::Page;
use rand::Rng;
use slog::{error, info};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::leader::{AUTHORITY_DURATION, EndReason, Leader};
use super::peer::{self, Leadership};
use super::recovery::Recovery;
use super::relay::MAX_GRANT;
use super::watch::READ_TIMEOUT;
use super::writer::{LEADER, LeaderRow, TABLE, Term, Writer};
use super::{Context, clock};

/// How often the leader's row is read.
const READ_INTERVAL: Duration = Duration::from_millis(400);

/// How often a stopping instance reads the leader's row, since it has calls for the next leader.
const LEAVING_READ_INTERVAL: Duration = Duration::from_millis(100);

/// How long the leader's row may stay unchanged before the leader counts as dead: several of its
/// heartbeats.
pub(super) const LEADER_TIMEOUT: Duration = Duration::from_millis(1_400);

/// The same if the leader can't be reached over the network either: one of its heartbeats. A leader
/// that is deposed by mistake loses only the leadership.
pub(super) const UNREACHABLE_LEADER_TIMEOUT: Duration = Duration::from_millis(450);

/// How often the leader's row is read while the leader can't be reached or its heartbeat is overdue.
const FAST_READ_INTERVAL: Duration = Duration::from_millis(150);

/// How long the leader's row may stay unchanged before an instance that was too slow to lead claims it
/// all the same, since nobody else does.
const ABANDONED_TIMEOUT: Duration = Duration::from_millis(2_800);

/// A claim waits for this multiple of the latency of the store, so that instances in the store's
/// region become the leader. From another region, each job and each start takes several more round
/// trips.
const LATENCY_FACTOR: u32 = 25;

/// The longest wait before a claim because of the store's latency.
const MAX_LATENCY_WAIT: Duration = Duration::from_millis(1_200);

/// An instance with a higher latency to the store is in another region. It leads only long enough
/// for a nearer instance to notice that the leadership is free.
const REMOTE_LATENCY: Duration = Duration::from_millis(20);

/// How long an instance in another region leads the first time. Each further term is four times as
/// long, since nearer instances may be out of reach.
const REMOTE_TERM: Duration = Duration::from_secs(3);

/// The wait of an instance with a full core before a claim. It grows with the inverse square of the
/// cores, so that small instances lead only if no large one is left: 50 ms at half a core, 190 ms
/// at a quarter, 830 ms at an eighth.
const FULL_CORE_WAIT: Duration = Duration::from_millis(12);

/// The lower bound of the cores in this computation.
const MIN_CORES: f64 = 0.1;

/// The upper bound of the random wait that is added, so that claims rarely collide.
const MAX_JITTER: Duration = Duration::from_millis(60);

/// The leader's row as last read.
#[derive(Clone, Debug)]
struct View {
    leader: Option<LeaderRow>,
    version: u64,
    /// When this version was first seen.
    since: Time,
}

/// What a new leader knows of the one before it.
#[derive(Clone, Copy, Debug)]
struct Predecessor {
    /// How long it may still give orders.
    authority_left: Duration,
    /// Whether it made way because it was too slow.
    was_slow: bool,
}

/// The task that follows the leader's row and leads when this instance is elected.
pub(super) struct Election {
    context: Context,
    leadership: watch::Sender<Leadership>,
    incarnation: u64,
    view: View,
    /// The latency of the fastest call to the store.
    store_latency: Duration,
    /// How many times this instance has released the leadership for a nearer one.
    yield_count: u32,
    /// When the store was last read.
    read_at: Option<Time>,
    /// Until when this instance leaves the leadership to others, since it was too slow.
    rests_until: Time,
}

impl Election {
    /// Creates the task.
    pub(super) fn new(context: Context, leadership: watch::Sender<Leadership>) -> Election {
        Election {
            context,
            leadership,
            incarnation: rand::rng().random(),
            view: View {
                leader: None,
                version: u64::MAX,
                since: clock::now(),
            },
            store_latency: Duration::MAX,
            yield_count: 0,
            read_at: None,
            rests_until: Time::default(),
        }
    }

    /// Follows the leader and leads if elected until `leaving` is cancelled. Then it only follows
    /// until `halt` is cancelled, for the calls that still arrive.
    pub(super) async fn run(mut self, leaving: CancellationToken, halt: CancellationToken) {
        while !halt.is_cancelled() {
            let read = self.read().await;
            if read
                && !leaving.is_cancelled()
                && self.is_claimable()
                && let Some(config) = self.config()
            {
                self.lead(config, &leaving).await;
                continue;
            }
            let pause = if leaving.is_cancelled() {
                LEAVING_READ_INTERVAL
            } else if self.context.route.is_connected() && !(read && self.is_overdue()) {
                READ_INTERVAL
            } else {
                FAST_READ_INTERVAL
            };
            let mut route = self.context.route.clone();
            tokio::select! {
                () = halt.cancelled() => {}
                () = route.disconnected() => {}
                () = self.context.route.not_leading() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    fn config(&self) -> Option<Arc<Config>> {
        self.context.config.borrow().clone()
    }

    /// Reads the leader's row. Returns whether it could be read.
    async fn read(&mut self) -> bool {
        let before = clock::now();
        let read = self.context.store.get(TABLE, LEADER, READ_TIMEOUT).await;
        let now = clock::now();
        let Ok(Page { rows, .. }) = read else {
            return false;
        };
        self.store_latency = self.store_latency.min(now.since(before));
        let row = rows.iter().find(|row| row.key == LEADER);
        let version = row.map_or(0, |row| row.version);
        // Time during which the store could not be read does not count against the leader.
        let gap = self
            .read_at
            .is_none_or(|at| now.since(at) > LEADER_TIMEOUT / 2);
        self.read_at = Some(now);
        if version != self.view.version || gap {
            self.view = View {
                leader: row.and_then(LeaderRow::read),
                version,
                since: now,
            };
        }
        self.follow();
        true
    }

    /// Publishes to the other tasks of the process who leads.
    fn follow(&self) {
        let leadership = match &self.view.leader {
            // A recovering leader can't answer calls.
            Some(row) if row.term == Term::Leading && !self.is_own(row) => Some(peer::Leader {
                name: row.name.clone(),
                address: row.address,
                epoch: row.epoch,
            }),
            Some(_) | None => None,
        };
        self.leadership
            .send_if_modified(|known| match (&*known, leadership) {
                (Leadership::Remote(known), Some(leader)) if *known == leader => false,
                (Leadership::Unknown, None) => false,
                (_, Some(leader)) => {
                    *known = Leadership::Remote(leader);
                    true
                }
                (_, None) => {
                    *known = Leadership::Unknown;
                    true
                }
            });
    }

    fn is_own(&self, row: &LeaderRow) -> bool {
        row.name == self.context.name
    }

    /// Tells whether the leader's row has been unchanged for longer than one of its heartbeats.
    fn is_overdue(&self) -> bool {
        clock::now().since(self.view.since) >= READ_INTERVAL
    }

    /// Tells whether this instance may claim the leadership.
    fn is_claimable(&self) -> bool {
        let Some(row) = &self.view.leader else {
            return true;
        };
        let now = clock::now();
        let unchanged_for = now.since(self.view.since);
        let timeout = match row.term {
            _ if now < self.rests_until => ABANDONED_TIMEOUT,
            _ if self.is_own(row) => return true,
            Term::Released | Term::Yielded | Term::Aborted => return true,
            // Instances don't connect to a recovering leader.
            Term::Recovering => LEADER_TIMEOUT,
            Term::Leading if self.context.route.is_connected() => LEADER_TIMEOUT,
            Term::Leading => UNREACHABLE_LEADER_TIMEOUT,
        };
        unchanged_for >= timeout
    }

    /// Claims the leadership and leads until it ends.
    async fn lead(&mut self, config: Arc<Config>, leaving: &CancellationToken) {
        let random: f64 = rand::rng().random();
        let cores = self.context.settings().millicores as f64 / 1_000.0;
        let size_wait = FULL_CORE_WAIT.div_f64(cores.clamp(MIN_CORES, 1.0).powi(2));
        let latency_wait = self
            .store_latency
            .saturating_mul(LATENCY_FACTOR)
            .min(MAX_LATENCY_WAIT);
        let wait = latency_wait + size_wait + MAX_JITTER.mul_f64(random);
        if !self.wait_unclaimed(wait, leaving).await {
            return;
        }
        let version = self.view.version;
        let predecessor = Predecessor {
            authority_left: self.authority_left(),
            was_slow: matches!(&self.view.leader, Some(row) if row.term == Term::Yielded),
        };
        let inherited_until = clock::now().after(predecessor.authority_left);
        let Some((writer, sent)) = self.claim(inherited_until).await else {
            return;
        };
        let epoch = writer.row().epoch;
        info!(self.context.log, "leadership claimed"; "epoch" => epoch, "before" => version,
            "inherited_ms" => predecessor.authority_left.as_millis() as u64);
        self.leadership.send_replace(Leadership::Unknown);
        let reason = self
            .serve_term(writer, sent, predecessor, config, leaving)
            .await;
        match reason {
            EndReason::Yielded => self.yield_count += 1,
            EndReason::Slow => self.rests_until = clock::now().after(REST_TIME),
            EndReason::Deposed | EndReason::Released | EndReason::Stalled | EndReason::Failed => {}
        }
        self.leadership.send_replace(Leadership::Unknown);
        info!(self.context.log, "leading no more"; "epoch" => epoch, "reason" => %reason);
        self.view.since = clock::now();
    }

    /// Waits before a claim. Returns `false` as soon as another instance has claimed the leadership,
    /// the row can't be read or this instance stops.
    async fn wait_unclaimed(&mut self, wait: Duration, leaving: &CancellationToken) -> bool {
        let version = self.view.version;
        let end = clock::now().after(wait);
        loop {
            let left = end.since(clock::now());
            tokio::select! {
                () = leaving.cancelled() => return false,
                () = tokio::time::sleep(left.min(FAST_READ_INTERVAL)) => {}
            }
            if !self.read().await || self.view.version != version {
                return false;
            }
            if left <= FAST_READ_INTERVAL {
                return true;
            }
        }
    }

    /// Reads what is stored and leads. The leadership was claimed by a write sent at `sent`;
    /// `predecessor` is as it was just before.
    async fn serve_term(
        &self,
        mut writer: Writer,
        sent: Time,
        predecessor: Predecessor,
        config: Arc<Config>,
        leaving: &CancellationToken,
    ) -> EndReason {
        let recovery = Recovery::new(&self.context);
        let (recovered, announced) = match recovery.run(&mut writer, leaving).await {
            Ok(recovered) => recovered,
            Err(reason) => {
                if reason != EndReason::Deposed {
                    writer.release().await;
                }
                return reason;
            }
        };
        info!(self.context.log, "leading"; "epoch" => writer.row().epoch,
            "jobs" => recovered.stored.jobs.len(), "workers" => recovered.stored.roster.len());
        self.context.counts.leads.add(1, &[]);
        let context = self.context.clone();
        let leadership = self.leadership.clone();
        let (leaving, max_term) = (leaving.clone(), self.max_term());
        // A task of its own, so that a failure does not end the election, nor one while the stored
        // jobs are taken over.
        let mut task = JoinSet::new();
        task.spawn(async move {
            let (leader, handle, receiver) = Leader::new(
                context,
                writer,
                announced,
                predecessor
                    .authority_left
                    .saturating_sub(clock::now().since(sent)),
                Tenure::new(clock::now(), predecessor.was_slow),
                config,
                recovered,
            );
            leadership.send_replace(Leadership::Local(handle));
            leader.run(receiver, leaving, max_term).await
        });
        match task.join_next().await {
            Some(Ok(reason)) => reason,
            Some(Err(error)) => {
                error!(self.context.log, "leader failed"; "error" => %error);
                EndReason::Failed
            }
            None => EndReason::Failed,
        }
    }

    /// Returns how long the leader in the row as last read, or one before it, may still give orders.
    fn authority_left(&self) -> Duration {
        let Some(row) = &self.view.leader else {
            return Duration::ZERO;
        };
        // No leader has more, whatever another writer's row states.
        let inherited = Duration::from_millis(row.inherited_ms).min(AUTHORITY_DURATION);
        let inherited = inherited.saturating_sub(clock::now().since(self.view.since));
        self.own_authority_left(row).max(inherited)
    }

    /// Returns how long the leader in the row may still give orders.
    fn own_authority_left(&self, row: &LeaderRow) -> Duration {
        match row.term {
            // It released its authority, or it was an earlier process of this instance, which is
            // dead. Instances that renew workers for it may still do so for a moment.
            Term::Released | Term::Yielded => MAX_GRANT,
            Term::Leading if self.is_previous_process(row) => MAX_GRANT,
            // A claimant that took no calls says nothing of the leader before it, whose last write is
            // older than this version.
            // Its last write was stored before this version of the row was first seen.
            Term::Leading | Term::Recovering | Term::Aborted => {
                AUTHORITY_DURATION.saturating_sub(clock::now().since(self.view.since))
            }
        }
    }

    fn is_previous_process(&self, row: &LeaderRow) -> bool {
        self.is_own(row) && row.address == self.context.peers_address
    }

    /// Returns the longest time for which this instance leads, or `None` if it is not limited.
    fn max_term(&self) -> Option<Duration> {
        let factor = 4_u32.saturating_pow(self.yield_count);
        (self.store_latency >= REMOTE_LATENCY).then(|| REMOTE_TERM.saturating_mul(factor))
    }

    async fn claim(&self, inherited_until: Time) -> Option<(Writer, Time)> {
        // Each epoch took a write, so no leader before a row that can't be read had a later one than
        // its version.
        let before = self.view.leader.as_ref();
        let epoch = before.map_or(self.view.version, |row| row.epoch);
        let row = LeaderRow {
            name: self.context.name.clone(),
            incarnation: self.incarnation,
            address: self.context.peers_address,
            epoch: epoch + 1,
            write: 0,
            term: Term::Recovering,
            inherited_ms: 0,
        };
        Writer::claim(
            &self.context.store,
            row,
            self.view.version,
            inherited_until,
            &self.context.log,
        )
        .await
    }
}
