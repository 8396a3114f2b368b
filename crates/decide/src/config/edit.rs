//! One change of one resource, until it is written or refused.

use super::{Change, Entry, Head};
use crate::allotment::Limit;
use crate::name::Name;
use crate::ownership::{Outcome, Stored};
use crate::resource::{Kind, Resource};
use crate::size::Size;

/// How often a change is written again after other changes came first or answers were lost.
const ATTEMPTS: u32 = 8;

/// What must hold of the resource for it to be changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Nothing.
    Any,
    /// It must not exist.
    Absent,
    /// It must have this revision.
    Revision(u64),
}

/// What an operator wants.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// Identifies the write.
    pub write: Name,
    /// The kind of the resource.
    pub kind: Kind,
    /// The name of the resource.
    pub name: Name,
    /// The new resource; none to delete it.
    pub resource: Option<Resource>,
    /// What must hold.
    pub condition: Condition,
}

/// The rows that a change depends on, as read at one time or in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Known {
    /// The head of the log.
    pub head: Option<Stored<Head>>,
    /// The resource.
    pub resource: Option<Stored<Entry>>,
    /// The limit of the team, where the resource is a team.
    pub limit: Option<Stored<Limit>>,
    /// The change that was last tried, if its row exists; read last, so that a write which takes
    /// effect meanwhile is seen there.
    pub tried: Option<Change>,
}

/// The rows of one transaction, each with the revision that it must have.
#[derive(Clone, Debug, PartialEq)]
pub struct Rows {
    /// The head of the log.
    pub head: Stored<Head>,
    /// The change; its row must not exist.
    pub change: Change,
    /// The resource; none deletes it.
    pub resource: Stored<Option<Entry>>,
    /// The limit of the team, where the resource is a team; none deletes it.
    pub limit: Option<Stored<Option<Limit>>>,
}

/// Why a change was not written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The resource has another revision.
    #[error(
        "it has revision {current} now; read it again, merge your change and send If-Match: \"{current}\""
    )]
    Stale {
        /// The revision that the resource has; 0 if it does not exist.
        current: u64,
    },
    /// The resource does not exist.
    #[error("there is no such resource; list the kind to see which there are")]
    Missing,
    /// The table could not be read or surely did not take the change.
    #[error("the table service is down and nothing was changed; retry later")]
    Unavailable,
    /// Whether the change was written can't be known now.
    #[error("the table's answer was lost; read the resource back before changing it again")]
    Unknown,
}

/// One input of an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The answer to [`Action::Read`]; none where the table could not be read.
    Read(Option<Box<Known>>),
    /// The answer to [`Action::Write`].
    Wrote(Outcome),
}

/// One output of an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the rows, the change with this revision last if one is named.
    Read {
        /// The change that was tried.
        tried: Option<u64>,
    },
    /// Write the rows in one transaction.
    Write(Box<Rows>),
    /// The change is written, or refused.
    Done(Result<Change, Refusal>),
}

/// The machine of one change.
///
/// It reads, writes with conditions, and after a conflict or a lost answer reads again. A change
/// whose answer was lost is known again by its write id under the revision that it was tried with:
/// that row is either its own, or another's and its own can't be written there any more, or still
/// missing and it is written again there.
#[derive(Debug)]
pub struct Edit {
    proposal: Proposal,
    tried: Option<u64>,
    /// Whether a write's fate is open.
    open: bool,
    attempts: u32,
}

impl Edit {
    /// Begins a change by reading.
    pub fn begin(proposal: Proposal) -> (Edit, Action) {
        let edit = Edit {
            proposal,
            tried: None,
            open: false,
            attempts: 0,
        };
        let action = Action::Read { tried: None };
        (edit, action)
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, event: Event) -> Action {
        match event {
            Event::Read(Some(known)) => self.read(*known),
            Event::Read(None) => self.again(),
            Event::Wrote(Outcome::Done { .. }) => self.written(),
            // An earlier write whose answer was lost stays open.
            Event::Wrote(Outcome::Conflict | Outcome::Failed) => self.again(),
            Event::Wrote(Outcome::Lost) => {
                self.open = true;
                self.again()
            }
        }
    }

    fn again(&mut self) -> Action {
        self.attempts += 1;
        if self.attempts < ATTEMPTS {
            return Action::Read { tried: self.tried };
        }
        let refusal = if self.open {
            Refusal::Unknown
        } else {
            Refusal::Unavailable
        };
        Action::Done(Err(refusal))
    }

    fn read(&mut self, known: Known) -> Action {
        if let (Some(change), Some(tried)) = (&known.tried, self.tried)
            && change.revision == tried
        {
            if change.write == self.proposal.write {
                return Action::Done(Ok(change.clone()));
            }
            self.open = false;
        }
        let current = known
            .resource
            .as_ref()
            .map_or(0, |stored| stored.row.revision);
        if let Some(refusal) = self.refusal(current) {
            return Action::Done(Err(refusal));
        }
        let rows = self.rows(known);
        self.tried = Some(rows.change.revision);
        Action::Write(Box::new(rows))
    }

    fn refusal(&self, current: u64) -> Option<Refusal> {
        if self.proposal.resource.is_none() && current == 0 {
            return Some(Refusal::Missing);
        }
        let holds = match self.proposal.condition {
            Condition::Any => true,
            Condition::Absent => current == 0,
            Condition::Revision(revision) => current == revision,
        };
        (!holds).then_some(Refusal::Stale { current })
    }

    fn rows(&self, known: Known) -> Rows {
        let head = known.head.unwrap_or(Stored {
            revision: 0,
            row: Head::default(),
        });
        let change = self.change(head.row.revision + 1);
        let entry = change.resource.clone().map(|resource| Entry {
            revision: change.revision,
            resource,
        });
        Rows {
            head: Stored {
                revision: head.revision,
                row: Head {
                    revision: change.revision,
                },
            },
            resource: Stored {
                revision: known.resource.map_or(0, |stored| stored.revision),
                row: entry,
            },
            limit: self.limit(known.limit),
            change,
        }
    }

    fn change(&self, revision: u64) -> Change {
        Change {
            revision,
            write: self.proposal.write.clone(),
            kind: self.proposal.kind,
            name: self.proposal.name.clone(),
            resource: self.proposal.resource.clone(),
        }
    }

    /// Returns the limit's new row; that of a deleted team stays until its racks hold nothing.
    fn limit(&self, known: Option<Stored<Limit>>) -> Option<Stored<Option<Limit>>> {
        if self.proposal.kind != Kind::Team {
            return None;
        }
        let revision = known.as_ref().map_or(0, |stored| stored.revision);
        let (held, pressed) = known.map_or((Size::ZERO, false), |stored| {
            (stored.row.held, stored.row.pressed)
        });
        let limit = match &self.proposal.resource {
            Some(Resource::Team(team)) => team.limit,
            _ => Size::ZERO,
        };
        let gone = self.proposal.resource.is_none() && held.is_zero();
        let row = (!gone).then_some(Limit {
            limit,
            held,
            pressed,
        });
        Some(Stored { revision, row })
    }

    fn written(&self) -> Action {
        let revision = self.tried.unwrap_or_default();
        Action::Done(Ok(self.change(revision)))
    }
}
