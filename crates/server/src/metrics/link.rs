//! Detects when the calls of an instance fill its network link.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// The percentage of the link's speed from which a direction counts as busy. The bytes of packet
/// headers and retransmissions are not counted and take the rest.
const BUSY_PERCENT: u64 = 75;

/// The percentage of the link's speed below which a busy direction counts as idle again.
const IDLE_PERCENT: u64 = 50;

/// The number of kinds of calls that are named.
const MAX_KINDS: usize = 5;

/// A direction of the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Direction {
    /// From this instance.
    Sent,
    /// To this instance.
    Received,
}

/// A change of a direction between busy and idle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The direction.
    pub direction: Direction,
    /// Whether it is busy now.
    pub busy: bool,
    /// The rate of all counted calls in the last interval, in kbit/s.
    pub kbps: u64,
    /// The kinds of calls with the highest rates in kbit/s, in descending order.
    pub kinds: Vec<(String, u64)>,
}

/// Bytes by kind of call.
type Bytes = BTreeMap<String, u64>;

/// Measures the bytes of calls in both directions of the link.
#[derive(Debug, Default)]
pub struct Meter {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    sent: Side,
    received: Side,
}

#[derive(Debug, Default)]
struct Side {
    bytes: Bytes,
    busy: bool,
}

impl Meter {
    /// Adds the bytes of a call.
    pub fn add(&self, kind: &str, sent: u64, received: u64) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.sent.add(kind, sent);
        state.received.add(kind, received);
    }

    /// Ends an interval that has lasted `elapsed` and returns which directions have become busy or
    /// idle, for a link of `link_kbps` kbit/s.
    pub fn end_interval(&self, elapsed: Duration, link_kbps: u64) -> Vec<Change> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let State { sent, received } = &mut *state;
        let sides = [(Direction::Sent, sent), (Direction::Received, received)];
        sides
            .into_iter()
            .filter_map(|(direction, side)| side.end_interval(direction, elapsed, link_kbps))
            .collect()
    }
}

impl Side {
    fn add(&mut self, kind: &str, bytes: u64) {
        match self.bytes.get_mut(kind) {
            Some(sum) => *sum += bytes,
            None => drop(self.bytes.insert(kind.to_owned(), bytes)),
        }
    }

    fn end_interval(
        &mut self,
        direction: Direction,
        elapsed: Duration,
        link_kbps: u64,
    ) -> Option<Change> {
        let bytes = std::mem::take(&mut self.bytes);
        let kbps = rate_kbps(bytes.values().sum(), elapsed);
        let percent = if self.busy {
            IDLE_PERCENT
        } else {
            BUSY_PERCENT
        };
        let busy = kbps * 100 >= link_kbps * percent;
        if busy == self.busy {
            return None;
        }
        self.busy = busy;
        let mut kinds: Vec<(String, u64)> = bytes
            .into_iter()
            .map(|(kind, bytes)| (kind, rate_kbps(bytes, elapsed)))
            .collect();
        kinds.sort_by(|(_, a), (_, b)| b.cmp(a));
        kinds.truncate(MAX_KINDS);
        Some(Change {
            direction,
            busy,
            kbps,
            kinds,
        })
    }
}

/// Returns the rate of bytes in kbit/s.
fn rate_kbps(bytes: u64, elapsed: Duration) -> u64 {
    let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    bytes * 8 / millis.max(1)
}
