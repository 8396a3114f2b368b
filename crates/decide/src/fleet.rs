//! The fleet as one process sees it: its servers and the owners of its racks.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// A server of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The server's name.
    pub name: Name,
    /// A number that differs between any two starts of the server's process.
    pub incarnation: u64,
    /// The address on which it listens for other servers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Name,
    /// The region of the failure domain.
    pub region: Name,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// Who owns a rack.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The owning server.
    pub server: Name,
    /// The owner's incarnation.
    pub incarnation: u64,
    /// The epoch of the ownership.
    pub epoch: u64,
}

/// The fleet as last seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The servers that are considered live, by name.
    pub servers: BTreeMap<Name, Server>,
    /// The owners, by rack.
    pub racks: BTreeMap<Name, Owner>,
}

impl View {
    /// Returns the server that owns a rack, if it is live.
    pub fn owner(&self, rack: &str) -> Option<&Server> {
        let owner = self.racks.get(rack)?;
        self.servers
            .get(&owner.server)
            .filter(|server| server.incarnation == owner.incarnation)
    }
}
