//! Summaries of owners as wire types: whole, or what changed since one that the peer has.

use std::collections::BTreeMap;
use std::time::Duration;

use azurepath_decide::name::Name;
use azurepath_decide::share;
use azurepath_decide::size::Size;
use serde::{Deserialize, Serialize};

/// The sequence that stands for no earlier summary.
const NONE: u64 = 0;

/// A summary, or its difference to an earlier one of the same server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The owner.
    pub server: String,
    /// Grows with each summary of the owner.
    pub sequence: u64,
    /// The sequence of the summary that this one builds on; 0 for none.
    pub base: u64,
    /// The racks, where they differ from the base.
    pub racks: Option<Vec<String>>,
    /// The resources, where it differs from the base.
    pub resources: Option<Resources>,
    /// The wait that a new request would expect, in microseconds.
    pub wait_us: u64,
    /// The teams that differ from the base.
    pub teams: Vec<Tally>,
    /// The teams of the base that have nothing any more.
    pub gone: Vec<String>,
}

/// The resources of all workers of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// All that the workers hold.
    pub capacity: Size,
    /// What is free over all workers.
    pub free: Size,
    /// The largest resources on one worker.
    pub largest: Size,
    /// The largest worker.
    pub ceiling: Size,
}

/// What one team has at an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The team.
    pub team: String,
    /// What runs.
    pub running: Size,
    /// What waits.
    pub waiting: Size,
    /// What the owner's racks hold of the team's limit.
    pub allotted: Size,
}

/// A difference to a summary that is not at hand.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the summary of {server} builds on {base}, which is not at hand; send it whole")]
pub struct MissingBase {
    /// The owner.
    pub server: String,
    /// The sequence that is missing.
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
    /// Makes the difference between a summary and one that the peer has, or the whole summary.
    pub fn since(summary: &share::Summary, base: Option<&share::Summary>) -> Summary {
        let had = |name: &Name| base.and_then(|base| base.teams.get(name));
        let changed = |part: &&Name| had(part) != summary.teams.get(*part);
        let teams = summary.teams.keys().filter(changed);
        let gone = base.iter().flat_map(|base| base.teams.keys());
        let resources = Resources::from(summary);
        Summary {
            server: summary.server.to_string(),
            sequence: summary.sequence,
            base: base.map_or(NONE, |base| base.sequence),
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

    /// Builds the whole summary again.
    ///
    /// # Errors
    ///
    /// Returns [`MissingBase`] where this is a difference to another summary than `base`.
    pub fn rebuild(self, base: Option<&share::Summary>) -> Result<share::Summary, MissingBase> {
        let base = base.filter(|base| base.sequence == self.base && self.base != NONE);
        if base.is_none() && self.base != NONE {
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
