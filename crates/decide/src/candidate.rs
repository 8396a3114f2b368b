//! Selection of a rack for a request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::fleet::{Server, View};
use crate::load::{Fit, Load, UNKNOWN_WAIT};
use crate::name::Name;
use crate::request::{Request, Target};
use crate::share::Summary;
use crate::time::Time;

/// How long an owner that could not be reached is chosen only if there is no other.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// The location of a rack or a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Site {
    /// The failure domain.
    pub failure_domain: Name,
    /// The region of the failure domain.
    pub region: Name,
}

/// How far a rack is from this server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same failure domain.
    SameDomain,
    /// In another failure domain of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// A rack that a request may be sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The rack and the epoch of its ownership.
    pub target: Target,
    /// The server that owns it.
    pub server: Name,
    /// The distance from this server.
    pub distance: Distance,
    /// The expected wait before the request starts there.
    pub wait: Duration,
}

/// The racks of the fleet and the load of their owners, as seen from one server.
#[derive(Debug)]
pub struct Directory {
    site: Site,
    view: View,
    sites: BTreeMap<Name, Site>,
    loads: BTreeMap<Name, Load>,
    owners: Vec<Name>,
    entries: Vec<Entry>,
}

/// A rack with a live owner.
#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    /// The owner's index.
    owner: usize,
    leaving: bool,
    distance: Distance,
}

/// How well an owner suits a request.
#[derive(Clone, Copy, Debug)]
struct Rating {
    /// Whether none of its workers could ever hold the request.
    too_small: bool,
    avoided: bool,
    fit: Fit,
    wait: Duration,
}

/// The result of choosing a rack.
#[derive(Debug)]
pub enum Choice {
    /// The rack to send to.
    Rack(Candidate),
    /// No rack with a live owner is left to try.
    None,
    /// No owner has a worker that could ever hold the request, and all owners have sent summaries.
    TooLarge,
}

impl Directory {
    /// Returns a directory without racks, as seen from `site`.
    pub fn new(site: Site) -> Directory {
        Directory {
            site,
            view: View::default(),
            sites: BTreeMap::new(),
            loads: BTreeMap::new(),
            owners: Vec::new(),
            entries: Vec::new(),
        }
    }

    /// Sets a new view of the fleet and forgets the load of servers that are gone or were
    /// restarted.
    pub fn set_view(&mut self, view: View) {
        let old = std::mem::replace(&mut self.view, view);
        let is_same_process = |name: &Name| {
            let before = old.servers.get(name).map(|server| server.incarnation);
            let after = self.view.servers.get(name).map(|server| server.incarnation);
            before.is_some() && before == after
        };
        self.loads.retain(|name, _| is_same_process(name));
        self.refresh();
    }

    /// Sets the sites of the racks.
    pub fn set_sites(&mut self, sites: BTreeMap<Name, Site>) {
        self.sites = sites;
        self.refresh();
    }

    /// Recomputes the racks that have a live owner, and their distances.
    fn refresh(&mut self) {
        let owners: BTreeSet<&Name> = self
            .view
            .racks
            .values()
            .map(|owner| &owner.server)
            .collect();
        let owners: Vec<Name> = owners.into_iter().cloned().collect();
        let entry = |rack: &Name| {
            let (target, server) = self.owner(rack)?;
            Some(Entry {
                target,
                owner: owners.binary_search(&server.name).ok()?,
                leaving: server.leaving,
                distance: self.distance(rack, server),
            })
        };
        let entries = self.view.racks.keys().filter_map(entry).collect();
        self.entries = entries;
        self.owners = owners;
    }

    /// Sets an owner's summary, unless it is older than the last one.
    pub fn set_summary(&mut self, now: Time, summary: Summary) {
        let load = self.loads.entry(summary.server.clone()).or_default();
        load.set_summary(now, summary);
    }

    /// Records that a request was sent to an owner.
    pub fn note_sent(&mut self, now: Time, server: &Name, request: &Request) {
        let load = self.loads.entry(server.clone()).or_default();
        load.note_sent(now, request);
    }

    /// Records that an owner could not be reached, so that others are preferred for a while.
    pub fn avoid(&mut self, now: Time, server: &Name) {
        let load = self.loads.entry(server.clone()).or_default();
        load.avoid(now.after(AVOID_TIME));
    }

    /// Returns the target for a rack and its live owner, if there is one.
    pub fn owner(&self, rack: &Name) -> Option<(Target, &Server)> {
        let server = self.view.owner(rack)?;
        let target = Target {
            rack: rack.clone(),
            epoch: self.view.racks.get(rack)?.epoch,
        };
        Some((target, server))
    }

    /// Tells whether an owner has capacity for a request but too little allotment for its team.
    pub fn lacks_allotment(&self, server: &Name, request: &Request) -> bool {
        let load = self.loads.get(server);
        load.is_some_and(|load| load.lacks_allotment(request))
    }

    /// Returns the distance of a rack, by its own site or else by its owner's.
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

    /// Chooses a rack: of two picked at random among the best ones, the one with the shorter wait.
    ///
    /// Racks in `tried` are excluded, and so are racks in other regions unless `other_regions` is
    /// set.
    ///
    /// Two choices avoid both the herding of all servers on the least loaded rack and the long tail
    /// of a single random choice; see Mitzenmacher, "The Power of Two Choices in Randomized Load
    /// Balancing" (2001).
    pub fn choose(
        &self,
        now: Time,
        request: &Request,
        tried: &BTreeSet<Name>,
        other_regions: bool,
        rng: &mut impl Rng,
    ) -> Choice {
        let ratings: Vec<Rating> = self
            .owners
            .iter()
            .map(|owner| self.rate(now, owner, request))
            .collect();
        let mut best = Vec::new();
        let mut best_rank = None;
        let mut any_fits = false;
        for entry in &self.entries {
            let rating = ratings[entry.owner];
            if rating.too_small {
                continue;
            }
            any_fits = true;
            let excluded = entry.leaving || tried.contains(&entry.target.rack);
            if excluded || (entry.distance == Distance::OtherRegion && !other_regions) {
                continue;
            }
            let rank = Some((rating.avoided, rating.fit, entry.distance));
            if best_rank.is_some() && rank > best_rank {
                continue;
            }
            if rank != best_rank {
                best.clear();
                best_rank = rank;
            }
            best.push((entry, rating.wait));
        }
        if !self.entries.is_empty() && !any_fits {
            return Choice::TooLarge;
        }
        pick(best, rng).map_or(Choice::None, |(entry, wait)| {
            Choice::Rack(Candidate {
                target: entry.target.clone(),
                server: self.owners[entry.owner].clone(),
                distance: entry.distance,
                wait,
            })
        })
    }

    fn rate(&self, now: Time, owner: &Name, request: &Request) -> Rating {
        match self.loads.get(owner) {
            Some(load) => Rating {
                too_small: load.too_small(&request.size),
                avoided: load.is_avoided(now),
                fit: load.fit(request),
                wait: load.wait(),
            },
            None => Rating {
                too_small: false,
                avoided: false,
                fit: Fit::Immediate,
                wait: UNKNOWN_WAIT,
            },
        }
    }
}

/// Picks two racks at random and returns the one with the shorter wait.
fn pick<'a>(
    mut best: Vec<(&'a Entry, Duration)>,
    rng: &mut impl Rng,
) -> Option<(&'a Entry, Duration)> {
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
