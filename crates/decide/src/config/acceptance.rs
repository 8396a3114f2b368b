//! When a written change may be called accepted.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::name::Name;
use crate::time::Time;

/// Waits until a change is in force on every server that could still act on an older revision.
///
/// A server acts on the older revision only with evidence asked for after the change was written,
/// from more than half of the servers, none of which had the change. Once more than half have it,
/// no such evidence can be had, and what was asked for before ends with the window.
#[derive(Debug)]
pub struct Acceptance {
    window: Duration,
    servers: usize,
    waiting: BTreeSet<Name>,
    majority: Option<Time>,
}

impl Acceptance {
    /// Begins to wait for `others`, all servers last known but this one, which has the change.
    ///
    /// `window` is that of the servers' evidence with what clocks may drift apart in that time.
    pub fn new(now: Time, window: Duration, others: BTreeSet<Name>) -> Acceptance {
        let mut acceptance = Acceptance {
            window,
            servers: others.len() + 1,
            waiting: others,
            majority: None,
        };
        acceptance.count(now);
        acceptance
    }

    /// Takes a server's word that it has the change in force.
    pub fn acknowledge(&mut self, now: Time, server: &str) {
        self.waiting.remove(server);
        self.count(now);
    }

    fn count(&mut self, now: Time) {
        let have = self.servers - self.waiting.len();
        if self.majority.is_none() && have * 2 > self.servers {
            self.majority = Some(now);
        }
    }

    /// Returns the servers that have not said that they have the change.
    pub fn waiting(&self) -> &BTreeSet<Name> {
        &self.waiting
    }

    /// Tells whether the change is accepted.
    pub fn is_accepted(&self, now: Time) -> bool {
        let lapsed = self
            .majority
            .is_some_and(|since| now >= since.after(self.window));
        self.waiting.is_empty() || lapsed
    }
}
