//! The rows of servers and racks in the table.

use serde::{Deserialize, Serialize};

use crate::fleet::{Owner, Server};
use crate::name::Name;
use crate::rack::Allotments;

/// A row and its revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Stored<T> {
    /// The revision that the table gave the row.
    pub revision: u64,
    /// The row.
    pub row: T,
}

/// The row `server/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The server.
    pub server: Server,
    /// The number of the heartbeat, which grows with each write.
    #[serde(rename = "beat")]
    pub number: u64,
}

/// The row `rack/NAME`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rack {
    /// The owner.
    pub owner: Owner,
    /// The server that the rack is being handed over to.
    pub successor: Option<Name>,
    /// The server that handed the rack over and waits until the new owner has claimed its workers.
    pub predecessor: Option<Name>,
    /// The parts of the teams' limits that are allotted to the rack.
    pub allotments: Allotments,
}

impl Rack {
    /// Returns the row with which a server claims the rack.
    ///
    /// The epoch is one higher than before, and the allotments are kept.
    #[must_use]
    pub fn claimed_by(previous: Option<&Rack>, server: &Server) -> Rack {
        let handed_over = previous.filter(|row| row.successor.as_ref() == Some(&server.name));
        Rack {
            owner: Owner {
                server: server.name.clone(),
                incarnation: server.incarnation,
                epoch: previous.map_or(0, |row| row.owner.epoch) + 1,
            },
            successor: None,
            predecessor: handed_over.map(|row| row.owner.server.clone()),
            allotments: previous.map_or_else(Allotments::new, |row| row.allotments.clone()),
        }
    }

    /// Tells whether a process owns the rack.
    pub fn is_owned_by(&self, server: &Server) -> bool {
        self.owner.server == server.name && self.owner.incarnation == server.incarnation
    }
}
