//! Summaries of owners, sent whole or as the difference to a summary that the peer already has.

use std::collections::BTreeMap;
use std::time::Duration;

use azurepath_decide::name::Name;
use azurepath_decide::share;
use azurepath_decide::size::Size;
use serde::{Deserialize, Serialize};

/// The base's sequence number in a summary that is sent whole.
const NO_BASE: u64 = 0;

/// A summary, or its difference to an earlier one of the same server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The owner.
    pub server: String,
    /// The sequence number, which grows with each summary of the owner.
    pub sequence: u64,
    /// The sequence number of the base, which is the summary that this one differs from; 0 if this
    /// summary is whole.
    pub base: u64,
    /// The racks, if they differ from the base.
    pub racks: Option<Vec<String>>,
    /// The resources, if they differ from the base.
    pub resources: Option<Resources>,
    /// The expected wait of a new request, in microseconds.
    pub wait_us: u64,
    /// The tallies that differ from the base.
    pub teams: Vec<Tally>,
    /// The teams of the base that have no tally any more.
    pub gone: Vec<String>,
}

/// The resources of all workers of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// The total capacity of the workers.
    pub capacity: Size,
    /// The total free capacity of the workers.
    pub free: Size,
    /// The largest free capacity on one worker.
    pub largest: Size,
    /// The capacity of the largest worker.
    pub ceiling: Size,
}

/// The resources of one team at an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The team.
    pub team: String,
    /// The size of the running requests.
    pub running: Size,
    /// The size of the waiting requests.
    pub waiting: Size,
    /// The part of the team's limit that is allotted to the owner's racks.
    pub allotted: Size,
}

/// A difference could not be applied because its base is missing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the summary of {server} builds on {base}, which is not at hand; send it whole")]
pub struct MissingBase {
    /// The owner.
    pub server: String,
    /// The sequence number of the missing base.
    pub base: u64,
}

impl From<&share::Summary> for Resources {
    fn from(summary: &share::Summary) -> Resources {
        Resources {
            capacity: summary.capacity,
            free: summary.free,
            largest: summary.largest,
            ceiling: summary.ceiling,
        }
    }
}

impl From<&share::Summary> for Summary {
    fn from(summary: &share::Summary) -> Summary {
        Summary::since(summary, None)
    }
}

impl Summary {
    /// Creates the difference to a base that the peer has, or the whole summary without a base.
    pub fn since(summary: &share::Summary, base: Option<&share::Summary>) -> Summary {
        let base_tally = |name: &Name| base.and_then(|base| base.teams.get(name));
        let changed = |team: &&Name| base_tally(team) != summary.teams.get(*team);
        let teams = summary.teams.keys().filter(changed);
        let gone = base.iter().flat_map(|base| base.teams.keys());
        let resources = Resources::from(summary);
        Summary {
            server: summary.server.to_string(),
            sequence: summary.sequence,
            base: base.map_or(NO_BASE, |base| base.sequence),
            racks: base
                .is_none_or(|base| base.racks != summary.racks)
                .then(|| summary.racks.iter().map(ToString::to_string).collect()),
            resources: base
                .is_none_or(|base| Resources::from(base) != resources)
                .then_some(resources),
            wait_us: u64::try_from(summary.wait.as_micros()).unwrap_or(u64::MAX),
            teams: teams
                .map(|team| tally(team, &summary.teams[team]))
                .collect(),
            gone: gone
                .filter(|team| !summary.teams.contains_key(*team))
                .map(ToString::to_string)
                .collect(),
        }
    }

    /// Rebuilds the whole summary by applying the difference to `base`.
    ///
    /// # Errors
    ///
    /// Returns [`MissingBase`] if this is a difference to another summary than `base`.
    pub fn rebuild(self, base: Option<&share::Summary>) -> Result<share::Summary, MissingBase> {
        let base = base.filter(|base| base.sequence == self.base && self.base != NO_BASE);
        if base.is_none() && self.base != NO_BASE {
            return Err(self.missing_base());
        }
        let racks = self.racks.as_ref().map(|racks| names(racks));
        let racks = racks.or_else(|| base.map(|base| base.racks.clone()));
        let resources = self.resources.or_else(|| base.map(Resources::from));
        let (Some(racks), Some(resources)) = (racks, resources) else {
            return Err(self.missing_base());
        };
        let mut teams = base.map_or_else(BTreeMap::new, |base| base.teams.clone());
        teams.retain(|team, _| !self.gone.iter().any(|gone| **gone == **team));
        teams.extend(self.teams.into_iter().map(Tally::into_entry));
        Ok(share::Summary {
            server: self.server.into(),
            sequence: self.sequence,
            racks,
            capacity: resources.capacity,
            free: resources.free,
            largest: resources.largest,
            ceiling: resources.ceiling,
            wait: Duration::from_micros(self.wait_us),
            teams,
        })
    }

    fn missing_base(&self) -> MissingBase {
        MissingBase {
            server: self.server.clone(),
            base: self.base,
        }
    }
}

impl Tally {
    fn into_entry(self) -> (Name, share::Tally) {
        let tally = share::Tally {
            running: self.running,
            waiting: self.waiting,
            allotted: self.allotted,
        };
        (self.team.into(), tally)
    }
}

fn tally(team: &Name, tally: &share::Tally) -> Tally {
    Tally {
        team: team.to_string(),
        running: tally.running,
        waiting: tally.waiting,
        allotted: tally.allotted,
    }
}

fn names(texts: &[String]) -> Vec<Name> {
    texts.iter().map(|text| Name::from(text.as_str())).collect()
}
