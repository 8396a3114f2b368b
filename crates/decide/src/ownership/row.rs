//! The rows that servers share.

use serde::{Deserialize, Serialize};

use crate::fleet::{Owner, Server};
use crate::name::Name;
use crate::rack::Allotments;

/// A row with the revision that the table gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct Stored<T> {
    /// The table's revision.
    pub revision: u64,
    /// The row.
    pub row: T,
}

/// The row `server/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The server.
    pub server: Server,
    /// Grows with each heartbeat.
    pub beat: u64,
}

/// The row `rack/NAME`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rack {
    /// The owner.
    pub owner: Owner,
    /// The server that is to claim the rack next.
    pub successor: Option<Name>,
    /// The server that handed the rack over and waits until its workers are claimed.
    pub predecessor: Option<Name>,
    /// The parts of the upper limits of teams that the rack holds.
    pub allotments: Allotments,
}

impl Rack {
    /// Returns the row as a server that claims the rack writes it.
    ///
    /// The epoch grows, and the allotments move with the rack.
    #[must_use]
    pub fn claimed_by(earlier: Option<&Rack>, server: &Server) -> Rack {
        let handed_over = earlier.filter(|row| row.successor.as_ref() == Some(&server.name));
        Rack {
            owner: Owner {
                server: server.name.clone(),
                incarnation: server.incarnation,
                epoch: earlier.map_or(0, |row| row.owner.epoch) + 1,
            },
            successor: None,
            predecessor: handed_over.map(|row| row.owner.server.clone()),
            allotments: earlier.map_or_else(Allotments::new, |row| row.allotments.clone()),
        }
    }

    /// Tells whether a process owns the rack.
    pub fn is_owned_by(&self, server: &Server) -> bool {
        self.owner.server == server.name && self.owner.incarnation == server.incarnation
    }
}
