//! The state of a cell as a serializable document.

use serde::Serialize;

use crate::health::Circuit;
use crate::name::Name;
use crate::request;
use crate::size::Size;

use super::Cell;
use super::job::{Phase, State};

/// The state of a cell.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Dump {
    /// The revision of the teams in force.
    pub revision: Option<u64>,
    /// The racks that are owned.
    pub racks: Vec<RackDump>,
    /// All known workers.
    pub workers: Vec<WorkerDump>,
    /// All known teams, in the order in which they are served.
    pub teams: Vec<TeamDump>,
    /// Number of requests in the queue.
    pub queued: usize,
    /// Waiting requests that fit on no worker of the owned racks, even an empty one.
    pub waits_for_larger: Vec<request::Id>,
    /// Number of resumed requests that wait for workers to be claimed.
    pub sought: usize,
}

/// The state of a rack.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RackDump {
    /// The rack.
    pub name: Name,
    /// The epoch of the ownership.
    pub epoch: u64,
}

/// The state of a worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorkerDump {
    /// The worker.
    pub name: Name,
    /// Whether attempts may be started there.
    pub open: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The state of its circuit breaker.
    pub circuit: Circuit,
    /// The free resources.
    pub free: Size,
    /// The attempts that are booked.
    pub attempts: Vec<AttemptDump>,
}

/// The state of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AttemptDump {
    /// The attempt.
    pub attempt: String,
    /// Its team.
    pub team: Name,
    /// The booked size.
    pub size: Size,
    /// Its state.
    pub state: State,
}

/// The state of a team.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TeamDump {
    /// The team.
    pub name: Name,
    /// Its dominant share divided by its weight.
    pub weighted: f64,
    /// The total size that it runs on this server's racks.
    pub running: Size,
    /// The total size of its requests in the queue.
    pub waiting: Size,
    /// The part of its limit that is allotted to the owned racks.
    pub allotted: Size,
}

impl Cell {
    /// Returns the state of the cell as a serializable document.
    pub fn dump(&self) -> Dump {
        let racks = self.ledger.owned().map(|rack| self.ledger.rack(rack));
        Dump {
            revision: self.revision,
            racks: racks
                .map(|rack| RackDump {
                    name: rack.name.clone(),
                    epoch: rack.epoch,
                })
                .collect(),
            workers: self.dump_workers(),
            teams: self
                .teams
                .order()
                .map(|team| self.dump_team(team))
                .collect(),
            queued: self.queue.len(),
            waits_for_larger: self.waits_for_larger(),
            sought: self.resuming.len(),
        }
    }

    fn waits_for_larger(&self) -> Vec<request::Id> {
        let mut ids = self.queue.ids();
        ids.retain(|id| {
            let item = self.queue.get(*id);
            let placed = matches!(self.jobs[id].phase, Phase::Placed(_));
            !placed && item.is_some_and(|item| !self.could_hold(&item.size, item.rack))
        });
        ids
    }

    fn dump_workers(&self) -> Vec<WorkerDump> {
        let dump = |(index, worker): (usize, &crate::workers::Worker)| WorkerDump {
            name: worker.spec.name.clone(),
            open: worker.is_open(),
            leaving: worker.leaving,
            circuit: self.health.circuit(index),
            free: worker.free(),
            attempts: self.dump_attempts(worker),
        };
        self.workers.iter().map(dump).collect()
    }

    fn dump_attempts(&self, worker: &crate::workers::Worker) -> Vec<AttemptDump> {
        let dump = |attempt: &crate::attempt::Attempt| {
            let booking = &self.bookings[attempt];
            AttemptDump {
                attempt: attempt.to_string(),
                team: self.teams.get(booking.team).name.clone(),
                size: booking.size,
                state: booking.state,
            }
        };
        worker.attempts.iter().map(dump).collect()
    }

    fn dump_team(&self, team: usize) -> TeamDump {
        TeamDump {
            name: self.teams.get(team).name.clone(),
            weighted: self.teams.weighted_share(team),
            running: self.teams.get(team).running,
            waiting: self.queue.waiting_size(team),
            allotted: self.ledger.allotted(team),
        }
    }
}
