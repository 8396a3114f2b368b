//! The choice of a rack for a request.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::fleet::{Server, View};
use crate::name::Name;
use crate::request::{Request, Target};
use crate::share::Summary;
use crate::size::Size;
use crate::time::Time;

/// How long a summary may be on its way, so that requests sent before are not yet in it.
const SUMMARY_LAG: Duration = Duration::from_millis(200);

/// The wait that is expected of an owner whose summary is unknown.
const UNKNOWN_WAIT: Duration = Duration::from_millis(100);

/// A wait that counts as room.
const SHORT_WAIT: Duration = Duration::from_millis(50);

/// How long an owner that could not be reached is only taken when there is no other.
const SHUNNED: Duration = Duration::from_secs(2);

/// Requests that are remembered at most as sent to an owner since its last summary.
const SENT_KEPT: usize = 1_024;

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
    Near,
    /// In the own region.
    Region,
    /// In another region.
    Beyond,
}

/// How well an owner suits a request, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fit {
    /// It has allotment for the team and room or hardly a wait.
    Room,
    /// It has allotment for the team, and the request would queue.
    Queue,
    /// It has allotment for the team that is in use.
    Spent,
    /// It has no allotment for the team.
    Bare,
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

/// What was sent to an owner and may be missing in its summary.
#[derive(Clone, Debug)]
struct Sent {
    at: Time,
    team: Name,
    size: Size,
    estimate: Duration,
}

/// What is known of one owner.
#[derive(Clone, Debug, Default)]
struct Known {
    summary: Option<Summary>,
    sent: VecDeque<Sent>,
    shunned_until: Time,
}

impl Known {
    fn sent(&self) -> Size {
        let sizes = self.sent.iter().map(|sent| &sent.size);
        sizes.fold(Size::ZERO, |sum, size| sum.plus(size))
    }

    fn sent_for(&self, team: &str) -> Size {
        let of_team = self.sent.iter().filter(|sent| &*sent.team == team);
        of_team.fold(Size::ZERO, |sum, sent| sum.plus(&sent.size))
    }

    fn wait(&self) -> Duration {
        let Some(summary) = &self.summary else {
            return UNKNOWN_WAIT;
        };
        let ahead = |sent: &Sent| {
            let part = sent.size.dominant(&summary.capacity).min(1.0);
            sent.estimate.min(Duration::from_secs(60)).mul_f64(part)
        };
        summary
            .wait
            .saturating_add(self.sent.iter().map(ahead).sum())
    }

    fn fit(&self, request: &Request) -> Fit {
        let Some(summary) = &self.summary else {
            return Fit::Room;
        };
        let Some(tally) = summary.teams.get(&request.team) else {
            return Fit::Bare;
        };
        if !request.size.fits(&tally.allotted) {
            return Fit::Bare;
        }
        let used = tally.running.plus(&tally.waiting);
        let used = used.plus(&self.sent_for(&request.team));
        if !request.size.plus(&used).fits(&tally.allotted) {
            return Fit::Spent;
        }
        let free = summary.free.minus(&self.sent());
        let room = request.size.fits(&summary.largest) && request.size.fits(&free);
        if room || self.wait() <= SHORT_WAIT {
            Fit::Room
        } else {
            Fit::Queue
        }
    }

    /// Tells whether the owner's workers could never hold a size; an owner that knows none of them
    /// yet can't say.
    fn too_small(&self, size: &Size) -> bool {
        let ceiling = self.summary.as_ref().map(|summary| summary.ceiling);
        ceiling.is_some_and(|ceiling| !ceiling.is_zero() && !size.fits(&ceiling))
    }
}

/// The racks of the fleet and what is known of their owners.
#[derive(Debug)]
pub struct Field {
    site: Site,
    view: View,
    sites: BTreeMap<Name, Site>,
    known: BTreeMap<Name, Known>,
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

impl Field {
    /// Makes a field as seen from `site`, with no rack.
    pub fn new(site: Site) -> Field {
        Field {
            site,
            view: View::default(),
            sites: BTreeMap::new(),
            known: BTreeMap::new(),
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
    }

    /// Takes the places of the racks.
    pub fn set_sites(&mut self, sites: BTreeMap<Name, Site>) {
        self.sites = sites;
    }

    /// Takes an owner's summary; one that is older than the last is ignored.
    pub fn set_summary(&mut self, now: Time, summary: Summary) {
        let known = self.known.entry(summary.server.clone()).or_default();
        let last = known.summary.as_ref().map_or(0, |last| last.sequence);
        if summary.sequence <= last {
            return;
        }
        known.summary = Some(summary);
        known.sent.retain(|sent| now.since(sent.at) < SUMMARY_LAG);
    }

    /// Notes that a request was sent to an owner.
    pub fn note_sent(&mut self, now: Time, server: &Name, request: &Request) {
        let known = self.known.entry(server.clone()).or_default();
        if known.sent.len() == SENT_KEPT {
            known.sent.pop_front();
        }
        known.sent.push_back(Sent {
            at: now,
            team: request.team.clone(),
            size: request.size,
            estimate: request.estimate,
        });
    }

    /// Notes that an owner could not be reached.
    pub fn shun(&mut self, now: Time, server: &Name) {
        let known = self.known.entry(server.clone()).or_default();
        known.shunned_until = now.after(SHUNNED);
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
        known.is_some_and(|known| {
            let largest = known.summary.as_ref().map(|summary| summary.largest);
            let room = largest.is_some_and(|largest| request.size.fits(&largest));
            room && matches!(known.fit(request), Fit::Spent | Fit::Bare)
        })
    }

    /// Returns how far a rack is, by its own place or else its owner's.
    pub fn distance(&self, rack: &Name, server: &Server) -> Distance {
        let site = self.sites.get(rack);
        let region = site.map_or(&server.region, |site| &site.region);
        let domain = site.map_or(&server.failure_domain, |site| &site.failure_domain);
        if *region != self.site.region {
            Distance::Beyond
        } else if *domain != self.site.failure_domain {
            Distance::Region
        } else {
            Distance::Near
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
        let mut best = Vec::new();
        let mut best_rank = None;
        let mut fitting = false;
        let mut owned = false;
        let mut fits: BTreeMap<&Name, (Fit, Duration)> = BTreeMap::new();
        for rack in self.view.racks.keys() {
            let Some((target, server)) = self.owner(rack) else {
                continue;
            };
            owned = true;
            let known = self.known.get(&server.name);
            if known.is_some_and(|known| known.too_small(&request.size)) {
                continue;
            }
            fitting = true;
            let distance = self.distance(rack, server);
            let excluded = tried.contains(rack) || server.leaving;
            if excluded || (distance == Distance::Beyond && !beyond) {
                continue;
            }
            let (fit, wait) = *fits.entry(&server.name).or_insert_with(|| match known {
                Some(known) => (known.fit(request), known.wait()),
                None => (Fit::Room, UNKNOWN_WAIT),
            });
            let shunned = known.is_some_and(|known| now < known.shunned_until);
            let rank = Some((shunned, fit, distance));
            if best_rank.is_some() && rank > best_rank {
                continue;
            }
            if rank != best_rank {
                best.clear();
                best_rank = rank;
            }
            best.push(Candidate {
                target,
                server: server.name.clone(),
                distance,
                wait,
            });
        }
        if owned && !fitting {
            return Choice::TooLarge;
        }
        pick(best, rng).map_or(Choice::None, Choice::Rack)
    }
}

fn pick(mut best: Vec<Candidate>, rng: &mut impl Rng) -> Option<Candidate> {
    if best.is_empty() {
        return None;
    }
    let first = best.swap_remove(rng.random_range(0..best.len()));
    if best.is_empty() {
        return Some(first);
    }
    let second = best.swap_remove(rng.random_range(0..best.len()));
    Some(if second.wait < first.wait {
        second
    } else {
        first
    })
}
