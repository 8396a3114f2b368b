//! The edit of one resource, from its proposal until the change is written or refused.

use super::{Change, Entry, Head};
use crate::allotment::Limit;
use crate::name::Name;
use crate::ownership::{Outcome, Stored};
use crate::resource::{Kind, Resource};
use crate::size::Size;

/// The number of tries to write a change if other changes come first or answers are lost.
const MAX_ATTEMPTS: u32 = 8;

/// The precondition of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// None.
    Any,
    /// The resource must not exist.
    Absent,
    /// The resource must have this revision.
    Revision(u64),
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// The unique id of the write.
    pub write: Name,
    /// The kind of the resource.
    pub kind: Kind,
    /// The name of the resource.
    pub name: Name,
    /// The new resource, or `None` to delete it.
    pub resource: Option<Resource>,
    /// The precondition.
    pub condition: Condition,
}

/// The rows that a change depends on, read at once or in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Known {
    /// The head of the log.
    pub head: Option<Stored<Head>>,
    /// The resource.
    pub resource: Option<Stored<Entry>>,
    /// The limit of the team, if the resource is a team.
    pub limit: Option<Stored<Limit>>,
    /// The change with the revision that was last tried, if its row exists.
    ///
    /// It is read last, so that it shows a write that takes effect while the other rows are read.
    pub tried: Option<Change>,
}

/// The rows of one transaction, each with the revision that the stored row must have.
#[derive(Clone, Debug, PartialEq)]
pub struct Rows {
    /// The head of the log.
    pub head: Stored<Head>,
    /// The change, whose row must not exist.
    pub change: Change,
    /// The resource; `None` deletes it.
    pub resource: Stored<Option<Entry>>,
    /// The limit of the team, if the resource is a team; `None` deletes it.
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
        /// The current revision of the resource; 0 if it does not exist.
        current: u64,
    },
    /// The resource does not exist.
    #[error("there is no such resource; list the kind to see which there are")]
    Missing,
    /// The table could not be read, or is sure not to have written the change.
    #[error("the table service is down and nothing was changed; retry later")]
    Unavailable,
    /// It is unknown whether the change was written.
    #[error("the table's answer was lost; read the resource back before changing it again")]
    Unknown,
}

/// One input of an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The answer to [`Action::Read`]; `None` if the table could not be read.
    Read(Option<Box<Known>>),
    /// The answer to [`Action::Write`].
    Wrote(Outcome),
}

/// One output of an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the rows, and last the change with the revision `tried`, if there is one.
    Read {
        /// The revision of the change that was last tried.
        tried: Option<u64>,
    },
    /// Write the rows in one transaction.
    Write(Box<Rows>),
    /// The change was written or refused.
    Done(Result<Change, Refusal>),
}

/// The state machine of one change.
///
/// It reads the rows, writes them if they are unchanged, and reads again after a conflict or a lost
/// answer. After a lost answer, the row of the change under the revision that was tried shows what
/// happened: it has this edit's write id if the write took effect, it belongs to another change if
/// the write can no longer take effect, or it is missing and the change is written again under the
/// same revision.
#[derive(Debug)]
pub struct Edit {
    proposal: Proposal,
    tried: Option<u64>,
    /// Whether a write may have taken effect although its answer was lost.
    in_doubt: bool,
    attempts: u32,
}

impl Edit {
    /// Begins an edit and returns its first action, which is to read the rows.
    pub fn begin(proposal: Proposal) -> (Edit, Action) {
        let edit = Edit {
            proposal,
            tried: None,
            in_doubt: false,
            attempts: 0,
        };
        let action = Action::Read { tried: None };
        (edit, action)
    }

    /// Handles one event and returns the next action.
    pub fn handle(&mut self, event: Event) -> Action {
        match event {
            Event::Read(Some(known)) => self.read(*known),
            Event::Read(None) => self.retry(),
            Event::Wrote(Outcome::Done { .. }) => self.written(),
            // This tells nothing about an earlier write whose answer was lost, so `in_doubt` stays.
            Event::Wrote(Outcome::Conflict | Outcome::Failed) => self.retry(),
            Event::Wrote(Outcome::Lost) => {
                self.in_doubt = true;
                self.retry()
            }
        }
    }

    fn retry(&mut self) -> Action {
        self.attempts += 1;
        if self.attempts < MAX_ATTEMPTS {
            return Action::Read { tried: self.tried };
        }
        let refusal = if self.in_doubt {
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
            self.in_doubt = false;
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

    /// Returns the new row of the team's limit. The row of a deleted team stays, with a limit of
    /// zero, until racks hold nothing of it.
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
        let is_obsolete = self.proposal.resource.is_none() && held.is_zero();
        let row = (!is_obsolete).then_some(Limit {
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
