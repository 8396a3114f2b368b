//! Rendezvous hashing of racks to servers.

use serde::{Deserialize, Serialize};

use crate::fleet::Server;

use crate::name::Name;

/// The location of a rack.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The failure domain of the rack.
    pub failure_domain: Name,
    /// The region of the failure domain.
    pub region: Name,
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the preferred owner of a rack: the server with the highest weight among those in the
/// rack's failure domain, else among those in its region, else among all.
///
/// Uses rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit
/// rates", 1998), so that a server that joins or leaves moves only its own racks.
pub fn preferred_owner<'a>(
    rack: &str,
    place: Option<&Place>,
    servers: impl Iterator<Item = &'a Server>,
) -> Option<&'a Server> {
    servers.max_by_key(|server| (nearness(place, server), weight(rack, &server.name)))
}

fn nearness(place: Option<&Place>, server: &Server) -> u8 {
    match place {
        Some(place) if place.failure_domain == server.failure_domain => 2,
        Some(place) if place.region == server.region => 1,
        _ => 0,
    }
}

/// Hashes both names with FNV-1a and the finaliser of SplitMix64, which give the same weight in
/// every build and on every machine.
fn weight(rack: &str, server: &str) -> u64 {
    let bytes = rack.bytes().chain([0]).chain(server.bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
