//! The choice of a rack for a request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::fleet::{Server, View};
use crate::known::{Fit, Known, UNKNOWN_WAIT};
use crate::name::Name;
use crate::request::{Request, Target};
use crate::share::Summary;
use crate::time::Time;

/// How long an owner that could not be reached is only taken when there is no other.
const SHUNNED: Duration = Duration::from_secs(2);

/// Where a rack or a server stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Site {
    /// The failure domain.
    pub failure_domain: Name,
    /// The region of the failure domain.
    pub region: Name,
}

/// How far a rack is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the own failure domain.
    SameDomain,
    /// In the own region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// A rack that a request may be sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The rack with the epoch of its ownership.
    pub target: Target,
    /// The server that owns it.
    pub server: Name,
    /// How far it is.
    pub distance: Distance,
    /// The wait that is expected there.
    pub wait: Duration,
}

/// The racks of the fleet and what is known of their owners.
#[derive(Debug)]
pub struct Directory {
    site: Site,
    view: View,
    sites: BTreeMap<Name, Site>,
    known: BTreeMap<Name, Known>,
    owners: Vec<Name>,
    places: Vec<Place>,
}

/// A rack with a live owner.
#[derive(Clone, Debug)]
struct Place {
    target: Target,
    /// The owner's index.
    owner: usize,
    leaving: bool,
    distance: Distance,
}

/// How an owner suits a request.
#[derive(Clone, Copy, Debug)]
struct Suit {
    /// Whether its workers could never hold the request.
    too_small: bool,
    shunned: bool,
    fit: Fit,
    wait: Duration,
}

/// What came of looking for a rack.
#[derive(Debug)]
pub enum Choice {
    /// The rack to send to.
    Rack(Candidate),
    /// No rack with a live owner is left.
    None,
    /// Every owner is known, and none has a worker that could ever hold the request.
    TooLarge,
}

impl Directory {
    /// Makes a field as seen from `site`, with no rack.
    pub fn new(site: Site) -> Directory {
        Directory {
            site,
            view: View::default(),
            sites: BTreeMap::new(),
            known: BTreeMap::new(),
            owners: Vec::new(),
            places: Vec::new(),
        }
    }

    /// Takes a new view; forgets what was known of servers that are gone or were restarted.
    pub fn set_view(&mut self, view: View) {
        let old = std::mem::replace(&mut self.view, view);
        let same = |name: &Name| {
            let before = old.servers.get(name).map(|server| server.incarnation);
            let after = self.view.servers.get(name).map(|server| server.incarnation);
            before.is_some() && before == after
        };
        self.known.retain(|name, _| same(name));
        self.place();
    }

    /// Takes the places of the racks.
    pub fn set_sites(&mut self, sites: BTreeMap<Name, Site>) {
        self.sites = sites;
        self.place();
    }

    /// Works out anew which racks have a live owner and how far they are.
    fn place(&mut self) {
        let owners: BTreeSet<&Name> = self
            .view
            .racks
            .values()
            .map(|owner| &owner.server)
            .collect();
        let owners: Vec<Name> = owners.into_iter().cloned().collect();
        let place = |rack: &Name| {
            let (target, server) = self.owner(rack)?;
            Some(Place {
                target,
                owner: owners.binary_search(&server.name).ok()?,
                leaving: server.leaving,
                distance: self.distance(rack, server),
            })
        };
        let places = self.view.racks.keys().filter_map(place).collect();
        self.places = places;
        self.owners = owners;
    }

    /// Takes an owner's summary; one that is older than the last is ignored.
    pub fn set_summary(&mut self, now: Time, summary: Summary) {
        let known = self.known.entry(summary.server.clone()).or_default();
        known.set_summary(now, summary);
    }

    /// Notes that a request was sent to an owner.
    pub fn note_sent(&mut self, now: Time, server: &Name, request: &Request) {
        let known = self.known.entry(server.clone()).or_default();
        known.note_sent(now, request);
    }

    /// Notes that an owner could not be reached.
    pub fn shun(&mut self, now: Time, server: &Name) {
        let known = self.known.entry(server.clone()).or_default();
        known.shun(now.after(SHUNNED));
    }

    /// Returns the ownership of a rack with its live server.
    pub fn owner(&self, rack: &Name) -> Option<(Target, &Server)> {
        let server = self.view.owner(rack)?;
        let target = Target {
            rack: rack.clone(),
            epoch: self.view.racks.get(rack)?.epoch,
        };
        Some((target, server))
    }

    /// Tells whether an owner has room for a request but too little of its team's limit.
    pub fn lacks_allotment(&self, server: &Name, request: &Request) -> bool {
        let known = self.known.get(server);
        known.is_some_and(|known| known.lacks_allotment(request))
    }

    /// Returns how far a rack is, by its own place or else its owner's.
    pub fn distance(&self, rack: &Name, server: &Server) -> Distance {
        let site = self.sites.get(rack);
        let region = site.map_or(&server.region, |site| &site.region);
        let domain = site.map_or(&server.failure_domain, |site| &site.failure_domain);
        if *region != self.site.region {
            Distance::OtherRegion
        } else if *domain != self.site.failure_domain {
            Distance::SameRegion
        } else {
            Distance::SameDomain
        }
    }

    /// Chooses a rack: of two drawn at random among the best, the one with the shorter wait.
    ///
    /// Two choices avoid both the herd that the least loaded draws and the tail of one random
    /// choice; see Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001).
    pub fn choose(
        &self,
        now: Time,
        request: &Request,
        tried: &BTreeSet<Name>,
        beyond: bool,
        rng: &mut impl Rng,
    ) -> Choice {
        let suits: Vec<Suit> = self
            .owners
            .iter()
            .map(|owner| self.suit(now, owner, request))
            .collect();
        let mut best = Vec::new();
        let mut best_rank = None;
        let mut fitting = false;
        for place in &self.places {
            let suit = suits[place.owner];
            if suit.too_small {
                continue;
            }
            fitting = true;
            let excluded = place.leaving || tried.contains(&place.target.rack);
            if excluded || (place.distance == Distance::OtherRegion && !beyond) {
                continue;
            }
            let rank = Some((suit.shunned, suit.fit, place.distance));
            if best_rank.is_some() && rank > best_rank {
                continue;
            }
            if rank != best_rank {
                best.clear();
                best_rank = rank;
            }
            best.push((place, suit.wait));
        }
        if !self.places.is_empty() && !fitting {
            return Choice::TooLarge;
        }
        pick(best, rng).map_or(Choice::None, |(place, wait)| {
            Choice::Rack(Candidate {
                target: place.target.clone(),
                server: self.owners[place.owner].clone(),
                distance: place.distance,
                wait,
            })
        })
    }

    fn suit(&self, now: Time, owner: &Name, request: &Request) -> Suit {
        match self.known.get(owner) {
            Some(known) => Suit {
                too_small: known.too_small(&request.size),
                shunned: known.is_shunned(now),
                fit: known.fit(request),
                wait: known.wait(),
            },
            None => Suit {
                too_small: false,
                shunned: false,
                fit: Fit::Room,
                wait: UNKNOWN_WAIT,
            },
        }
    }
}

/// Draws two racks and returns the one with the shorter wait.
fn pick<'a>(
    mut best: Vec<(&'a Place, Duration)>,
    rng: &mut impl Rng,
) -> Option<(&'a Place, Duration)> {
    if best.is_empty() {
        return None;
    }
    let first = best.swap_remove(rng.random_range(0..best.len()));
    if best.is_empty() {
        return Some(first);
    }
    let second = best.swap_remove(rng.random_range(0..best.len()));
    Some(if second.1 < first.1 { second } else { first })
}
