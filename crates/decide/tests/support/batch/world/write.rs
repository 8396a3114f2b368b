//! The leaders' writes, one of each at a time, which are repeated until they are answered.

use std::ops::Range;
use std::time::Duration;

use azurepath_decide::batch::record::{Change, Fit};
use azurepath_decide::time::Time;
use rand::Rng;

use super::World;
use super::calendar::Event;

/// The most changes that are written at a time.
const MAX_BATCH: usize = 50;

/// The time until a write has reached the store, and until the leader knows it.
const WRITE_DELAY: Duration = Duration::from_millis(5);
const WRITE_ANSWER_DELAY: Duration = Duration::from_millis(4);

/// The time until a write without an answer is given up and repeated.
const WRITE_TIMEOUT: Duration = Duration::from_millis(700);

/// The probability that a write of a leader without the store arrives nevertheless, and when.
const LATE_WRITE: f64 = 0.3;
const LATE_WRITE_MS: Range<u64> = 10..4_000;

/// The longest time between two writes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// A leader's write.
#[derive(Clone, Debug)]
pub(super) struct Write {
    pub(super) epoch: u64,
    /// The number of the write among those of the epoch.
    pub(super) number: u64,
    /// When it was sent first, and last.
    pub(super) first_sent: Time,
    pub(super) sent: Time,
    /// Empty if it is only a heartbeat.
    pub(super) batch: Vec<Change>,
    is_answered: bool,
}

impl World {
    /// Begins a leader's write if rows have changed, a heartbeat is due or the scheduler awaits a
    /// confirmation.
    pub(super) fn begin_write(&mut self, epoch: u64) {
        let Some(leader) = self.leaders.get_mut(&epoch) else {
            return;
        };
        if leader.writing.is_some() {
            return;
        }
        let mut batch = Vec::new();
        let changed = leader.scheduler.next_batch(|change| {
            if batch.len() == MAX_BATCH {
                return Fit::Full;
            }
            batch.push(change.clone());
            Fit::Taken
        });
        let is_due = leader.scheduler.awaits_confirmation()
            || self.now.since(leader.write_begun) >= HEARTBEAT_INTERVAL;
        if !changed && !is_due {
            return;
        }
        leader.write_begun = self.now;
        leader.write_number += 1;
        leader.writing = Some(Write {
            epoch,
            number: leader.write_number,
            first_sent: self.now,
            sent: self.now,
            batch,
            is_answered: true,
        });
        self.send_write(epoch);
    }

    fn send_write(&mut self, epoch: u64) {
        let now = self.now;
        let leader = self.leaders.get_mut(&epoch);
        let Some(write) = leader.and_then(|leader| leader.writing.as_mut()) else {
            return;
        };
        write.sent = now;
        let write = write.clone();
        if !self.has_lost_store(epoch) {
            self.schedule(WRITE_DELAY, Event::Stored(write));
            return;
        }
        self.schedule(WRITE_TIMEOUT, Event::Unwritten(epoch, write.number));
        if self.rng.random_bool(LATE_WRITE) {
            let late = self.span(LATE_WRITE_MS);
            let write = Write {
                is_answered: false,
                ..write
            };
            self.schedule(late, Event::Stored(write));
        }
    }

    pub(super) fn deliver_write(&mut self, write: &Write) {
        let (epoch, number) = (write.epoch, write.number);
        let stored = self.store.write(self.now, write);
        if !write.is_answered {
            return;
        }
        if self.has_lost_store(epoch) {
            self.schedule(WRITE_TIMEOUT, Event::Unwritten(epoch, number));
            return;
        }
        let answer = match stored {
            Some(sent) => Event::Written(epoch, number, sent),
            None => Event::Superseded(epoch),
        };
        self.schedule(WRITE_ANSWER_DELAY, answer);
    }

    pub(super) fn deliver_written(&mut self, epoch: u64, number: u64, sent: Time) {
        let Some(leader) = self.leaders.get_mut(&epoch) else {
            return;
        };
        let Some(write) = leader.writing.take_if(|write| write.number == number) else {
            return;
        };
        leader.confirmed = leader.confirmed.max(sent);
        leader.scheduler.confirm(sent);
        if !write.batch.is_empty() {
            leader.scheduler.batch_stored();
        }
    }

    /// Sends a write again that got no answer.
    pub(super) fn repeat_write(&mut self, epoch: u64, number: u64) {
        let writing = self
            .leaders
            .get(&epoch)
            .and_then(|leader| leader.writing.as_ref());
        if writing.is_some_and(|write| write.number == number) {
            self.send_write(epoch);
        }
    }
}
