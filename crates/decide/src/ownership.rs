//! Assignment of racks to servers.
//!
//! Each server runs one [`Member`]. Once per interval it writes a heartbeat to its own row and
//! reads the rows of all servers and racks. It changes rack rows by compare-and-set only, and each
//! claim raises the epoch. Clocks are never compared: a server is considered dead when its row has
//! not changed while this server's own row has changed several times.

mod member;
mod peer;
mod rendezvous;
mod row;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fleet::{Server, View};
use crate::name::Name;
use crate::rack::{Allotments, Allotted, Grant};

pub use member::Member;
pub use rendezvous::{Place, preferred_owner};
pub use row::{Heartbeat, Rack, Stored};

/// The settings of a [`Member`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setup {
    /// The server that runs the member.
    pub server: Server,
    /// The time between two heartbeats.
    pub interval: Duration,
    /// The number of its own heartbeats that a member reads back while the row of another server
    /// does not change before it considers that server dead.
    pub max_missed_heartbeats: u32,
    /// The number of its own heartbeats that a member reads back before it claims racks that were
    /// not handed over to it.
    pub settle_heartbeats: u32,
    /// The maximum number of racks that a member hands over at a time.
    pub max_handovers: usize,
}

/// All rows of servers and racks, from one read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rows {
    /// The servers' rows by name.
    pub servers: BTreeMap<Name, Stored<Heartbeat>>,
    /// The racks' rows by name.
    pub racks: BTreeMap<Name, Stored<Rack>>,
}

/// The key of a row that a member writes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// The row of a server.
    Server(Name),
    /// The row of a rack.
    Rack(Name),
}

/// A compare-and-set write of one row.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Writes a server's row, or deletes it.
    Server {
        /// The server.
        name: Name,
        /// The expected revision of the row; 0 if the row must not exist.
        revision: u64,
        /// The new row; `None` deletes it.
        row: Option<Heartbeat>,
    },
    /// Writes a rack's row.
    Rack {
        /// The rack.
        name: Name,
        /// The expected revision of the row; 0 if the row must not exist.
        revision: u64,
        /// The new row.
        row: Rack,
    },
}

/// The result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The write took effect.
    Done {
        /// The new revision of the row.
        revision: u64,
    },
    /// The row had a different revision; nothing was written.
    Conflict,
    /// The write took no effect and will not take any.
    Failed,
    /// The write may have taken effect or may still do so.
    Lost,
}

/// An input of [`Member::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The racks of the instance list; replaces all earlier ones.
    Racks(BTreeMap<Name, Place>),
    /// The answer to [`Action::Read`]; `None` if the table could not be read.
    Read(Option<Rows>),
    /// The answer to [`Action::Write`].
    Wrote {
        /// The row.
        key: Key,
        /// The result.
        outcome: Outcome,
    },
    /// Another part of the process has written new allotments of an owned rack.
    Allotted {
        /// The rack.
        rack: Name,
        /// The row's revision.
        revision: u64,
        /// All allotments that the rack now holds.
        allotments: Allotments,
    },
    /// All workers of an owned rack have acknowledged the claim or are gone.
    Claimed {
        /// The rack.
        rack: Name,
        /// The epoch of the claim.
        epoch: u64,
    },
    /// A peer or a worker has indicated that rows have changed.
    Hint,
    /// A planned stop of the process has begun.
    Stop,
    /// Only time has passed.
    Tick,
}

/// An output of [`Member::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read all rows. Answered by one [`Event::Read`].
    Read,
    /// Write one row. Answered by one [`Event::Wrote`].
    Write(Write),
    /// The process has become the owner of a rack.
    Gain(Grant),
    /// The process no longer owns a rack.
    Lose {
        /// The rack.
        rack: Name,
    },
    /// The allotments of an owned rack have changed.
    Allot(Allotted),
    /// The view of the fleet has changed.
    View(View),
    /// Notify a server of a change to a rack's row that concerns it.
    Notify {
        /// The server.
        server: Name,
        /// The rack.
        rack: Name,
        /// The epoch in the row.
        epoch: u64,
    },
    /// Another process runs under the name of this server, so this one must stop.
    Superseded,
    /// The planned stop is complete, and the process may exit.
    Stopped,
}
