//! Whether a server may act on the configuration that it has.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::name::Name;
use crate::time::Time;

/// What a server may do with the configuration that it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing newer is accepted before this time, which more evidence puts off.
    Current {
        /// When the evidence ends.
        until: Time,
    },
    /// There is something newer, and the earlier evidence has ended.
    Behind {
        /// The newest revision that was heard of.
        newest: u64,
    },
    /// There is no recent evidence.
    Isolated,
}

/// A server's word that it knew nothing newer.
#[derive(Clone, Copy, Debug)]
struct Word {
    asked: Time,
    revision: u64,
}

/// The evidence of one server, on its own clock only.
///
/// Evidence counts from the moment at which it was asked for, so an answer that was held up says
/// nothing about the time of its arrival. Either the table has named the newest revision, or more
/// than half of the servers last known, this one among them, have said that they know nothing
/// newer than what this server has.
#[derive(Debug)]
pub struct Evidence {
    window: Duration,
    applied: u64,
    newest: u64,
    loaded: bool,
    table: Option<Word>,
    others: Option<BTreeSet<Name>>,
    words: BTreeMap<Name, Word>,
}

impl Evidence {
    /// Makes an empty set of evidence; each piece counts for `window` after it was asked for.
    pub fn new(window: Duration) -> Evidence {
        Evidence {
            window,
            applied: 0,
            newest: 0,
            loaded: false,
            table: None,
            others: None,
            words: BTreeMap::new(),
        }
    }

    /// Takes the names of all other servers last known.
    pub fn set_peers(&mut self, others: BTreeSet<Name>) {
        self.words.retain(|name, _| others.contains(name));
        self.others = Some(others);
    }

    /// Takes the revision that this server has in force.
    pub fn set_applied(&mut self, revision: u64) {
        self.loaded = true;
        self.applied = self.applied.max(revision);
        self.newest = self.newest.max(revision);
    }

    /// Takes a revision that was heard of, which alone is evidence of nothing else.
    pub fn note_revision(&mut self, revision: u64) {
        self.newest = self.newest.max(revision);
    }

    /// Takes the table's answer to a reading of the head that began at `asked`.
    pub fn record_head(&mut self, asked: Time, revision: u64) {
        self.newest = self.newest.max(revision);
        // What was asked for earlier still counts until its window ends.
        if revision <= self.applied && self.table.is_none_or(|word| word.asked <= asked) {
            self.table = Some(Word { asked, revision });
        }
    }

    /// Takes a server's word, asked for at `asked`, on the newest revision that it knows; none
    /// where it has not read the configuration since it started.
    pub fn record_peer(&mut self, server: &Name, asked: Time, revision: Option<u64>) {
        let Some(revision) = revision else {
            return;
        };
        self.newest = self.newest.max(revision);
        let earlier = self.words.get(server).map_or(Time(0), |word| word.asked);
        if self.is_known(server) && asked >= earlier {
            self.words.insert(server.clone(), Word { asked, revision });
        }
    }

    /// Returns the newest revision that this server has heard of; none before it has read the
    /// configuration.
    pub fn newest(&self) -> Option<u64> {
        self.loaded.then_some(self.newest)
    }

    /// Returns what the server may do at `now`.
    pub fn standing(&self, now: Time) -> Standing {
        if !self.loaded {
            return Standing::Isolated;
        }
        match self.by_table().max(self.by_majority()) {
            Some(until) if now < until => Standing::Current { until },
            _ if self.newest > self.applied => Standing::Behind {
                newest: self.newest,
            },
            _ => Standing::Isolated,
        }
    }

    fn is_known(&self, server: &Name) -> bool {
        self.others
            .as_ref()
            .is_some_and(|others| others.contains(server))
    }

    fn by_table(&self) -> Option<Time> {
        let word = self.table.filter(|word| word.revision <= self.applied)?;
        Some(word.asked.after(self.window))
    }

    /// Returns until when more than half of the servers vouch for the revision.
    fn by_majority(&self) -> Option<Time> {
        let needed = self.others.as_ref()?.len().div_ceil(2);
        if needed == 0 {
            return (self.newest <= self.applied).then_some(Time::MAX);
        }
        let mut asked: Vec<Time> = self
            .words
            .values()
            .filter(|word| word.revision <= self.applied)
            .map(|word| word.asked)
            .collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        let last = asked.get(needed - 1)?;
        Some(last.after(self.window))
    }
}
