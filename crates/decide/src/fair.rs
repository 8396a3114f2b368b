//! Weighted dominant-resource fairness between teams.
//!
//! After Ghodsi et al., "Dominant Resource Fairness: Fair Allocation of Multiple Resource Types"
//! (NSDI 2011): the team whose dominant share, divided by its weight, is smallest goes first.

use std::collections::{BTreeMap, BTreeSet};

use crate::name::{Map, Name};
use crate::resource;
use crate::share::Summary;
use crate::size::Size;

/// A team with its weight, limit and usage.
#[derive(Clone, Debug)]
pub struct Team {
    /// Its name.
    pub name: Name,
    /// Its weight.
    pub share: u32,
    /// Its upper limit over the whole fleet, if one is configured.
    pub limit: Option<Size>,
    /// The size that it runs on this server's racks.
    pub running: Size,
    /// The size that it runs at other owners, by their last summaries.
    running_elsewhere: Size,
    /// The size that waits for it at other owners, by their last summaries.
    waiting_elsewhere: Size,
    /// The part of the size waiting elsewhere whose owners hold none of its limit.
    starved_elsewhere: Size,
    /// The part of its limit that other owners hold.
    allotted_elsewhere: Size,
    /// Its sort key in the order of service.
    rank: u64,
}

/// All teams, in the order in which they are served.
#[derive(Debug, Default)]
pub struct Teams {
    teams: Vec<Team>,
    names: Map<Name, usize>,
    order: BTreeSet<(u64, usize)>,
    own_capacity: Size,
    peers: BTreeMap<Name, Summary>,
}

impl Teams {
    /// Returns the index of a team, which is added if it is not known.
    pub fn index(&mut self, name: &Name) -> usize {
        if let Some(&team) = self.names.get(name) {
            return team;
        }
        let team = self.teams.len();
        self.names.insert(name.clone(), team);
        self.teams.push(Team {
            name: name.clone(),
            share: 1,
            limit: None,
            running: Size::ZERO,
            running_elsewhere: Size::ZERO,
            waiting_elsewhere: Size::ZERO,
            starved_elsewhere: Size::ZERO,
            allotted_elsewhere: Size::ZERO,
            rank: 0,
        });
        self.order.insert((0, team));
        team
    }

    /// Returns a team.
    pub fn get(&self, team: usize) -> &Team {
        &self.teams[team]
    }

    /// Returns the number of known teams.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Tells whether no team is known.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Returns the teams in the order in which they are served.
    pub fn order(&self) -> impl Iterator<Item = usize> + '_ {
        self.order.iter().map(|&(_, team)| team)
    }

    /// Returns the last summaries of other owners.
    pub fn peers(&self) -> &BTreeMap<Name, Summary> {
        &self.peers
    }

    /// Sets the weights and limits of the teams in force; all other teams lose their limit.
    pub fn configure(&mut self, teams: &[resource::Team]) {
        for team in &mut self.teams {
            team.limit = None;
        }
        for team in teams {
            let index = self.index(&team.name);
            self.teams[index].share = team.share.max(1);
            self.teams[index].limit = Some(team.limit);
        }
        self.rank_all();
    }

    /// Sets the total capacity of this server's workers.
    pub fn set_own_capacity(&mut self, capacity: Size) {
        if self.own_capacity != capacity {
            self.own_capacity = capacity;
            self.rank_all();
        }
    }

    /// Returns the total capacity of this server's workers.
    pub fn own_capacity(&self) -> Size {
        self.own_capacity
    }

    /// Records another owner's summary, unless one as new or newer is known.
    pub fn update_peer(&mut self, summary: Summary) {
        let known = self.peers.get(&summary.server);
        if known.is_some_and(|known| known.sequence >= summary.sequence) {
            return;
        }
        self.peers.insert(summary.server.clone(), summary);
        self.add_peers();
        self.rank_all();
    }

    /// Adds to the size that a team runs on this server's racks.
    pub fn add_running(&mut self, team: usize, size: &Size) {
        self.teams[team].running = self.teams[team].running.plus(size);
        self.rank(team);
    }

    /// Subtracts from the size that a team runs on this server's racks.
    pub fn remove_running(&mut self, team: usize, size: &Size) {
        self.teams[team].running = self.teams[team].running.minus(size);
        self.rank(team);
    }

    /// Returns a team's dominant share of the whole fleet, divided by the team's weight.
    pub fn weighted_share(&self, team: usize) -> f64 {
        let total = self.total_capacity();
        let team = &self.teams[team];
        team.running
            .plus(&team.running_elsewhere)
            .dominant_share(&total)
            / f64::from(team.share)
    }

    /// Tells whether work of a team waits at other owners.
    pub fn waits_elsewhere(&self, team: usize) -> bool {
        !self.teams[team].waiting_elsewhere.is_zero()
    }

    /// Returns the size that waits at owners and racks that hold none of a team's limit, if the
    /// part of the limit that nobody holds doesn't cover it; otherwise zero.
    ///
    /// `own` is the part of the limit that this server holds, `own_starved` the size that waits on
    /// those of its racks that hold none of it.
    pub fn starved(&self, team: usize, own: &Size, own_starved: &Size) -> Size {
        let team = &self.teams[team];
        let starved = team.starved_elsewhere.plus(own_starved);
        let held = own.plus(&team.allotted_elsewhere);
        let exhausted = team
            .limit
            .is_some_and(|limit| !held.plus(&starved).fits(&limit));
        if exhausted { starved } else { Size::ZERO }
    }

    /// Returns the capacity of the whole fleet, as far as it is known.
    pub fn total_capacity(&self) -> Size {
        let peers = self.peers.values().map(|summary| summary.capacity);
        peers.fold(self.own_capacity, |sum, capacity| sum.plus(&capacity))
    }

    fn add_peers(&mut self) {
        for team in &mut self.teams {
            team.running_elsewhere = Size::ZERO;
            team.waiting_elsewhere = Size::ZERO;
            team.starved_elsewhere = Size::ZERO;
            team.allotted_elsewhere = Size::ZERO;
        }
        let peers: Vec<_> = self.peers.values().cloned().collect();
        for (name, tally) in peers.iter().flat_map(|summary| &summary.teams) {
            let team = self.index(name);
            let team = &mut self.teams[team];
            team.running_elsewhere = team.running_elsewhere.plus(&tally.running);
            team.waiting_elsewhere = team.waiting_elsewhere.plus(&tally.waiting);
            team.allotted_elsewhere = team.allotted_elsewhere.plus(&tally.allotted);
            if tally.allotted.is_zero() {
                team.starved_elsewhere = team.starved_elsewhere.plus(&tally.waiting);
            }
        }
    }

    fn rank_all(&mut self) {
        for team in 0..self.teams.len() {
            self.rank(team);
        }
    }

    fn rank(&mut self, team: usize) {
        // The bit patterns of floats that are not negative sort in the same order as the floats.
        let rank = self.weighted_share(team).to_bits();
        let old = std::mem::replace(&mut self.teams[team].rank, rank);
        if old != rank {
            self.order.remove(&(old, team));
            self.order.insert((rank, team));
        }
    }
}
