//! The other servers, as observed by a member.

use std::collections::BTreeMap;

use super::row::{Heartbeat, Stored};
use crate::fleet::{Owner, Server};
use crate::name::Name;

/// Another server, as observed by a member.
#[derive(Debug)]
struct Peer {
    stored: Stored<Heartbeat>,
    /// The number of the member's own heartbeats since the row last changed.
    missed: u32,
    /// The number of the member's own heartbeats since the process appeared.
    age: u32,
}

/// All other servers, as observed by a member.
#[derive(Debug)]
pub(super) struct Peers {
    max_missed_heartbeats: u32,
    peers: BTreeMap<Name, Peer>,
}

impl Peers {
    /// Creates an empty set. A server is dead after `max_missed_heartbeats` missed heartbeats.
    pub(super) fn new(max_missed_heartbeats: u32) -> Peers {
        Peers {
            max_missed_heartbeats,
            peers: BTreeMap::new(),
        }
    }

    /// Updates the set from the rows of all other servers. `advanced` tells whether the member's
    /// own heartbeat has advanced since the last call.
    pub(super) fn observe(&mut self, rows: BTreeMap<Name, Stored<Heartbeat>>, advanced: bool) {
        self.peers.retain(|name, _| rows.contains_key(name));
        for (name, stored) in rows {
            match self.peers.get_mut(&name) {
                Some(peer) => peer.observe(stored, advanced),
                None => {
                    let peer = Peer {
                        stored,
                        missed: 0,
                        age: 0,
                    };
                    self.peers.insert(name, peer);
                }
            }
        }
    }

    /// Returns the names of all servers that have a row.
    pub(super) fn names(&self) -> impl Iterator<Item = &Name> {
        self.peers.keys()
    }

    /// Returns the live servers.
    pub(super) fn live(&self) -> impl Iterator<Item = &Server> {
        self.peers
            .values()
            .filter(|peer| peer.missed < self.max_missed_heartbeats)
            .map(|peer| &peer.stored.row.server)
    }

    /// Tells whether the process that owns a rack is live.
    pub(super) fn is_live_owner(&self, owner: &Owner) -> bool {
        self.live()
            .any(|server| server.name == owner.server && server.incarnation == owner.incarnation)
    }

    /// Tells whether a server is live and not leaving.
    pub(super) fn is_staying(&self, name: &Name) -> bool {
        self.live()
            .any(|server| server.name == *name && !server.leaving)
    }

    /// Tells whether a server has been live for at least `heartbeats` of the member's heartbeats.
    pub(super) fn is_steady(&self, name: &Name, heartbeats: u32) -> bool {
        self.peers
            .get(name)
            .is_some_and(|peer| peer.missed < self.max_missed_heartbeats && peer.age >= heartbeats)
    }

    /// Returns the names and row revisions of servers that have been dead for at least `heartbeats`
    /// of the member's heartbeats.
    pub(super) fn long_dead(&self, heartbeats: u32) -> Vec<(Name, u64)> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.missed >= self.max_missed_heartbeats + heartbeats)
            .map(|(name, peer)| (name.clone(), peer.stored.revision))
            .collect()
    }
}

impl Peer {
    fn observe(&mut self, stored: Stored<Heartbeat>, advanced: bool) {
        if stored.revision < self.stored.revision {
            return;
        }
        let changed = stored.revision > self.stored.revision;
        if stored.row.server.incarnation != self.stored.row.server.incarnation {
            self.age = 0;
        }
        self.stored = stored;
        if changed {
            self.missed = 0;
        } else if advanced {
            self.missed = self.missed.saturating_add(1);
        }
        if advanced {
            self.age = self.age.saturating_add(1);
        }
    }
}
