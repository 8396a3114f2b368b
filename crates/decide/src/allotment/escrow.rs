//! The state machine that turns the demands of one server's racks into transactions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::base::Base;
use super::{Limit, Plan, plan};
use crate::name::Name;
use crate::ownership::{Outcome, Rack, Stored};
use crate::rack::Demand;
use crate::size::Size;
use crate::time::Time;

/// The intervals of an escrow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Setup {
    /// The minimum time between two transactions.
    pub interval: Duration,
    /// The time after which a demand that exceeded the free part of the limit is tried again.
    pub retry: Duration,
    /// The time between two checks whether limits that the racks hold parts of were lowered.
    pub review: Duration,
}

/// One input of an escrow.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The number of all racks and the limits of all teams, which replace the earlier ones.
    Fleet {
        /// The number of all racks.
        racks: usize,
        /// The limits by team.
        limits: BTreeMap<Name, Size>,
    },
    /// The owner's state machine wants racks to hold other amounts.
    Demand(Vec<Demand>),
    /// The answer to [`Action::Read`]; `None` if the table could not be read.
    Read(Option<BTreeMap<Name, Stored<Limit>>>),
    /// The answer to [`Action::Write`].
    Wrote(Outcome),
    /// The limits of teams have changed.
    Changed,
    /// Only time has passed.
    Tick,
}

/// One output of an escrow.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the rows of limits; answered by one [`Event::Read`].
    Read {
        /// The teams.
        teams: BTreeSet<Name>,
    },
    /// Write rows; answered by one [`Event::Wrote`].
    Write(Plan),
    /// Lower what a rack holds to its share of a limit that was lowered.
    Reclaim(Demand),
    /// Tell a rack that it keeps what it holds, since it offered to go below its base part.
    Keep(Demand),
}

/// The answer that the escrow waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Idle,
    Reading,
    Writing,
}

/// The amount of one team's limit that a rack wants to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Want {
    /// The epoch of the rack's ownership at the time of the demand.
    epoch: u64,
    size: Size,
    /// Whether the rack wanted more than it held. Such a demand never gives anything back.
    raise: bool,
}

/// Holds the open demands of one server's racks and moves parts of limits in rounds.
///
/// A round reads the rows of the limits that it needs and writes one [`Plan`].
#[derive(Debug)]
pub struct Escrow {
    setup: Setup,
    stage: Stage,
    base: Base,
    /// The open demands by rack and team.
    wants: BTreeMap<(Name, Name), Want>,
    /// Whether the next round waits for the interval only, not for the retry time.
    due_early: bool,
    /// When the last round ended.
    last_round: Option<Time>,
    /// When the limits are next checked for having been lowered.
    review: Time,
}

impl Escrow {
    /// Returns an escrow without demands.
    pub fn new(setup: Setup) -> Escrow {
        Escrow {
            setup,
            stage: Stage::Idle,
            base: Base::default(),
            wants: BTreeMap::new(),
            due_early: false,
            last_round: None,
            review: Time(0),
        }
    }

    /// Handles one event and appends the resulting actions.
    ///
    /// `racks` are the rows of the racks that this process owns, as last read or written.
    pub fn handle(
        &mut self,
        now: Time,
        event: Event,
        racks: &BTreeMap<Name, Stored<Rack>>,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::Fleet { racks, limits } => self.base.set_fleet(racks, &limits),
            Event::Demand(demands) => self.demand(demands, racks, actions),
            Event::Read(limits) => self.read(now, limits.as_ref(), racks, actions),
            Event::Wrote(outcome) => self.wrote(now, outcome),
            Event::Changed => {
                self.review = now;
                self.due_early = true;
            }
            Event::Tick => {}
        }
        self.begin(now, racks, actions);
    }

    fn demand(
        &mut self,
        demands: Vec<Demand>,
        racks: &BTreeMap<Name, Stored<Rack>>,
        actions: &mut Vec<Action>,
    ) {
        for demand in demands {
            let Some(rack) = racks.get(&demand.rack) else {
                continue;
            };
            // A rack keeps its base part even if it does not use it.
            let size = Size::max(&demand.want, &self.base.part(&demand.team));
            let have = held(rack, &demand.team);
            // The rack may only keep it if no plan is being written that could still take it away.
            if size == have && demand.want != have && self.stage != Stage::Writing {
                self.wants
                    .remove(&(demand.rack.clone(), demand.team.clone()));
                actions.push(Action::Keep(Demand {
                    want: have,
                    ..demand
                }));
                continue;
            }
            let want = Want {
                epoch: rack.row.owner.epoch,
                size,
                raise: !size.fits(&have),
            };
            let earlier = self.wants.insert((demand.rack, demand.team), want);
            self.due_early |= earlier != Some(want);
        }
    }

    /// Begins a round if one is due and some team's limit has to be read.
    fn begin(
        &mut self,
        now: Time,
        racks: &BTreeMap<Name, Stored<Rack>>,
        actions: &mut Vec<Action>,
    ) {
        if self.stage != Stage::Idle || now < self.due() {
            return;
        }
        self.drop_met(racks);
        let mut teams: BTreeSet<Name> = self.wants.keys().map(|(_, team)| team.clone()).collect();
        teams.extend(self.missing(racks).into_iter().map(|demand| demand.team));
        if now >= self.review {
            let held = racks.values().flat_map(|rack| rack.row.allotments.keys());
            teams.extend(held.cloned());
        }
        if teams.is_empty() {
            return;
        }
        self.stage = Stage::Reading;
        self.due_early = false;
        actions.push(Action::Read { teams });
    }

    /// Returns when the next round may begin.
    fn due(&self) -> Time {
        let wait = if self.due_early {
            self.setup.interval
        } else {
            self.setup.retry
        };
        self.last_round
            .map_or(Time(0), |last_round| last_round.after(wait))
    }

    /// Returns demands for base parts that racks do not hold yet and have no other demand for.
    fn missing(&self, racks: &BTreeMap<Name, Stored<Rack>>) -> Vec<Demand> {
        let mut demands = Vec::new();
        for (rack, stored) in racks {
            for team in self.base.teams() {
                let part = self.base.part(team);
                let have = stored.row.allotments.get(team).copied().unwrap_or_default();
                let has_demand = self.wants.contains_key(&(rack.clone(), team.clone()));
                if !has_demand && !part.fits(&have) {
                    demands.push(Demand {
                        rack: rack.clone(),
                        team: team.clone(),
                        want: Size::max(&part, &have),
                    });
                }
            }
        }
        demands
    }

    /// Drops demands that are met, and those of racks that are no longer owned or owned under a
    /// later epoch.
    ///
    /// A demand reflects what ran on the rack when it was made, which a new epoch may have changed.
    fn drop_met(&mut self, racks: &BTreeMap<Name, Stored<Rack>>) {
        self.wants.retain(|(rack, team), want| {
            racks.get(rack).is_some_and(|stored| {
                let have = held(stored, team);
                let met = have == want.size || (want.raise && want.size.fits(&have));
                !met && stored.row.owner.epoch == want.epoch
            })
        });
    }

    fn read(
        &mut self,
        now: Time,
        limits: Option<&BTreeMap<Name, Stored<Limit>>>,
        racks: &BTreeMap<Name, Stored<Rack>>,
        actions: &mut Vec<Action>,
    ) {
        self.stage = Stage::Idle;
        self.last_round = Some(now);
        self.drop_met(racks);
        let Some(limits) = limits else {
            return;
        };
        for (team, limit) in limits {
            let pressed = limit.row.pressed || !limit.row.is_respected();
            self.base.set_pressed(team, pressed);
        }
        if now >= self.review {
            self.review = now.after(self.setup.review);
            self.reclaim(limits, racks, actions);
        }
        let mut demands: Vec<Demand> = self
            .wants
            .iter()
            .map(|((rack, team), want)| {
                let have = racks.get(rack).map(|stored| held(stored, team));
                let have = have.filter(|_| want.raise).unwrap_or_default();
                Demand {
                    rack: rack.clone(),
                    team: team.clone(),
                    want: Size::max(&want.size, &have),
                }
            })
            .collect();
        demands.extend(self.missing(racks));
        let plan = plan(&demands, limits, racks);
        if !plan.is_empty() {
            self.stage = Stage::Writing;
            actions.push(Action::Write(plan));
        }
    }

    /// Asks racks to give back their share of what is held above a lowered limit.
    fn reclaim(
        &self,
        limits: &BTreeMap<Name, Stored<Limit>>,
        racks: &BTreeMap<Name, Stored<Rack>>,
        actions: &mut Vec<Action>,
    ) {
        for (team, limit) in limits.iter().filter(|(_, limit)| !limit.row.is_respected()) {
            for (rack, stored) in racks {
                let Some(have) = stored.row.allotments.get(team) else {
                    continue;
                };
                let want = scale_to(have, &limit.row);
                if want != *have {
                    actions.push(Action::Reclaim(Demand {
                        rack: rack.clone(),
                        team: team.clone(),
                        want,
                    }));
                }
            }
        }
    }

    fn wrote(&mut self, now: Time, outcome: Outcome) {
        self.stage = Stage::Idle;
        self.last_round = Some(now);
        // After a failed or lost write the next round waits for the retry time.
        self.due_early |= matches!(outcome, Outcome::Done { .. } | Outcome::Conflict);
    }
}

/// Returns the amount that a rack holds of a team's limit.
fn held(rack: &Stored<Rack>, team: &Name) -> Size {
    let allotments = &rack.row.allotments;
    allotments.get(team).copied().unwrap_or_default()
}

/// Returns a rack's share of a lowered limit, in proportion to what it holds of the total.
fn scale_to(have: &Size, limit: &Limit) -> Size {
    let scale = |have: u64, limit: u64, held: u64| {
        if held <= limit {
            return have;
        }
        let part = u128::from(have) * u128::from(limit) / u128::from(held);
        u64::try_from(part).unwrap_or(u64::MAX)
    };
    let Limit { limit, held, .. } = limit;
    Size {
        millicores: scale(have.millicores, limit.millicores, held.millicores),
        memory_mib: scale(have.memory_mib, limit.memory_mib, held.memory_mib),
        accelerators: scale(have.accelerators, limit.accelerators, held.accelerators),
        slots: scale(have.slots, limit.slots, held.slots),
    }
}
