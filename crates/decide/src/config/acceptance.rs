//! Acceptance of a written change: when it is sure to be in force everywhere.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::name::Name;
use crate::time::Time;

/// Tracks a written change until no server acts on an older revision any more.
///
/// To act on an older revision, a server needs recent evidence from more than half of the servers,
/// none of which has the change. Once more than half have it, no server can get new evidence for an
/// older revision, and evidence requested before expires at the end of the window.
#[derive(Debug)]
pub struct Acceptance {
    window: Duration,
    servers: usize,
    waiting: BTreeSet<Name>,
    majority: Option<Time>,
}

impl Acceptance {
    /// Returns an acceptance that waits for `others`: all known servers except this one, which has
    /// the change.
    ///
    /// `window` is how long the servers' evidence counts, plus the clock drift possible in that
    /// time.
    pub fn new(now: Time, window: Duration, others: BTreeSet<Name>) -> Acceptance {
        let mut acceptance = Acceptance {
            window,
            servers: others.len() + 1,
            waiting: others,
            majority: None,
        };
        acceptance.update_majority(now);
        acceptance
    }

    /// Records that a server has the change in force.
    pub fn acknowledge(&mut self, now: Time, server: &str) {
        self.waiting.remove(server);
        self.update_majority(now);
    }

    fn update_majority(&mut self, now: Time) {
        let have = self.servers - self.waiting.len();
        if self.majority.is_none() && have * 2 > self.servers {
            self.majority = Some(now);
        }
    }

    /// Returns the servers that have not acknowledged the change.
    pub fn waiting(&self) -> &BTreeSet<Name> {
        &self.waiting
    }

    /// Tells whether the change is accepted: all servers have it, or a majority has had it for the
    /// window.
    pub fn is_accepted(&self, now: Time) -> bool {
        let expired = self
            .majority
            .is_some_and(|since| now >= since.after(self.window));
        self.waiting.is_empty() || expired
    }
}
