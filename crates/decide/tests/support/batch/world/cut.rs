//! Leaders that are cut off from the store and some workers.

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use azurepath_decide::time::Time;
use rand::Rng;

use super::calendar::Event;
use super::{WORKERS, World};

/// How long a leader is cut off.
const CUT_MS: Range<u64> = 2_000..10_000;

/// How long the leader's row is unchanged before another instance claims, if that one is connected
/// to the leader and if it is not.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_400);
const UNREACHABLE_LEADER_TIMEOUT: Duration = Duration::from_millis(450);

/// The time from the end of this timeout to the claim.
const CLAIM_DELAY_MS: Range<u64> = 0..1_600;

/// A leader that reaches neither the store nor the workers on the other side.
#[derive(Debug)]
pub(super) struct Cut {
    /// When it ends.
    pub(super) until: Time,
    /// The workers that only this leader reaches.
    own_side: BTreeSet<usize>,
    /// Whether the leader still sees the registry.
    pub(super) sees_registry: bool,
    /// How long its row is unchanged before a successor claims.
    timeout: Duration,
}

impl World {
    /// Cuts the present leader off, unless there is none or it is cut off already. Workers on the
    /// side of a former leader stay there.
    pub(super) fn cut_leader(&mut self) {
        let epoch = self.store.epoch;
        if !self.leaders.contains_key(&epoch) || self.cuts.contains_key(&epoch) {
            return;
        }
        let span = self.span(CUT_MS);
        let free: Vec<usize> = (0..WORKERS)
            .filter(|node| !self.is_cut(epoch, *node))
            .collect();
        let is_connected = self.rng.random();
        let cut = Cut {
            until: self.now.after(span),
            own_side: free.into_iter().filter(|_| self.rng.random()).collect(),
            sees_registry: self.rng.random(),
            timeout: if is_connected {
                LEADER_TIMEOUT
            } else {
                UNREACHABLE_LEADER_TIMEOUT
            },
        };
        self.await_claim(epoch, cut.timeout);
        self.cuts.insert(epoch, cut);
    }

    fn await_claim(&mut self, epoch: u64, timeout: Duration) {
        let delay = self.span(CLAIM_DELAY_MS);
        self.schedule(timeout + delay, Event::Takeover(epoch));
    }

    /// Tells whether a successor may claim: the leader of this epoch has ended, or its row was
    /// unchanged for long enough. Waits longer if a late write has reached the store.
    pub(super) fn may_claim(&mut self, epoch: u64) -> bool {
        if self.store.epoch != epoch {
            return false;
        }
        if !self.leaders.contains_key(&epoch) {
            return true;
        }
        let Some(timeout) = self.cuts.get(&epoch).map(|cut| cut.timeout) else {
            // The cut is over.
            return self.now.since(self.store.changed) >= LEADER_TIMEOUT;
        };
        let unchanged = self.now.since(self.store.changed);
        if unchanged < timeout {
            self.await_claim(epoch, timeout.saturating_sub(unchanged));
        }
        unchanged >= timeout
    }

    /// Tells whether a leader can't reach the store.
    pub(super) fn has_lost_store(&self, epoch: u64) -> bool {
        self.cuts.contains_key(&epoch)
    }

    /// Tells whether a cut lies between a leader and a worker.
    pub(super) fn is_cut(&self, epoch: u64, node: usize) -> bool {
        let cuts = &mut self.cuts.iter();
        cuts.any(|(cut_off, cut)| cut.own_side.contains(&node) != (*cut_off == epoch))
    }

    /// Tells whether a leader reaches a worker.
    pub(super) fn reaches(&self, epoch: u64, node: usize) -> bool {
        !self.partitioned.contains_key(&node) && !self.is_cut(epoch, node)
    }
}
