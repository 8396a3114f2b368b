//! Which server owns which rack.
//!
//! Each server runs one [`Member`]. It writes a heartbeat to its own row once per interval, reads
//! the rows of all servers and racks, and changes rack rows by compare-and-set only, each time
//! with a higher epoch. No two clocks are compared: another server is taken to be dead when its
//! row has not moved while this server's own row has moved several times.

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

/// What a member is made with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setup {
    /// The server itself.
    pub server: Server,
    /// The time between two heartbeats.
    pub interval: Duration,
    /// How many of its own heartbeats a member sees in the table while another's row stands still
    /// before it takes that server to be dead.
    pub max_missed_heartbeats: u32,
    /// How many of its own heartbeats a member sees before it takes up racks.
    pub settle_heartbeats: u32,
    /// How many racks a member hands over at a time.
    pub max_handovers: usize,
}

/// All rows of servers and racks, as read at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rows {
    /// The servers' rows by name.
    pub servers: BTreeMap<Name, Stored<Heartbeat>>,
    /// The racks' rows by name.
    pub racks: BTreeMap<Name, Stored<Rack>>,
}

/// A row that a member writes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// The row of a server.
    Server(Name),
    /// The row of a rack.
    Rack(Name),
}

/// A compare-and-set of one row.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Writes a server's row, or deletes it.
    Server {
        /// The server.
        name: Name,
        /// The revision that the row must have; 0 if it must not exist.
        revision: u64,
        /// The new row; none deletes it.
        row: Option<Heartbeat>,
    },
    /// Writes a rack's row.
    Rack {
        /// The rack.
        name: Name,
        /// The revision that the row must have; 0 if it must not exist.
        revision: u64,
        /// The new row.
        row: Rack,
    },
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect.
    Done {
        /// The row's revision.
        revision: u64,
    },
    /// The row had another revision; nothing was written.
    Conflict,
    /// It surely took no effect.
    Failed,
    /// It may have taken effect, or may do so yet.
    Lost,
}

/// One input of a member.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The racks of the instance list; replaces all earlier ones.
    Racks(BTreeMap<Name, Place>),
    /// The answer to [`Action::Read`]; none where the table could not be read.
    Read(Option<Rows>),
    /// The answer to [`Action::Write`].
    Wrote {
        /// The row.
        key: Key,
        /// How the write ended.
        outcome: Outcome,
    },
    /// New allotments of an owned rack have been written beside the member.
    Allotted {
        /// The rack.
        rack: Name,
        /// The row's revision.
        revision: u64,
        /// All that the rack now holds.
        allotments: Allotments,
    },
    /// All workers of an owned rack have answered the claim or are gone.
    Claimed {
        /// The rack.
        rack: Name,
        /// The epoch of the claim.
        epoch: u64,
    },
    /// A peer or a worker has shown that rows have changed.
    Hint,
    /// The process is about to stop.
    Stop,
    /// Time has passed.
    Tick,
}

/// One output of a member.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read all rows; answered by one [`Event::Read`].
    Read,
    /// Write one row; answered by one [`Event::Wrote`].
    Write(Write),
    /// The process owns a rack.
    Gain(Grant),
    /// The process owns a rack no more.
    Lose {
        /// The rack.
        rack: Name,
    },
    /// The allotments of an owned rack have changed.
    Allot(Allotted),
    /// The fleet looks different.
    View(View),
    /// Tell a server that a rack's row concerns it.
    Notify {
        /// The server.
        server: Name,
        /// The rack.
        rack: Name,
        /// The epoch in the row.
        epoch: u64,
    },
    /// Another process runs under this server's name; this one must stop.
    Superseded,
    /// Every rack has been handed over; the process may stop.
    Stopped,
}
