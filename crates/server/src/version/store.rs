//! Reads and writes the configuration in the table.

use azurepath_decide::config::{
    Action, Change, Edit, Entry, Event, Head, Known, Proposal, Refusal, Snapshot,
};
use azurepath_decide::ownership::{Outcome, Stored};
use azurepath_decide::resource::Kind;
use azurepath_services::table::{Error, Table};
use serde::de::DeserializeOwned;

use super::rows;
use crate::process::backoff;

/// The number of rows in a page of a scan.
const PAGE_ROWS: u32 = 500;

/// The reason why the changes after a revision can't be read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Missing {
    /// The changes are no longer kept.
    #[error("changes after revision {after} are no longer kept")]
    TooOld {
        /// The requested revision.
        after: u64,
    },
    /// The table could not be read.
    #[error(transparent)]
    Table(#[from] Error),
}

/// Writes one change.
///
/// # Errors
///
/// Returns [`Refusal`], which says whether the change may have been written.
pub async fn edit(table: &dyn Table, proposal: Proposal) -> Result<Change, Refusal> {
    let (kind, name) = (proposal.kind, proposal.name.clone());
    let (mut edit, mut action) = Edit::begin(proposal);
    let mut failures = 0;
    loop {
        action = match action {
            Action::Read { tried } => {
                let known = read_known(table, kind, &name, tried).await.ok();
                if known.is_none() {
                    failures += 1;
                    backoff::pause(failures).await;
                }
                edit.handle(Event::Read(known.map(Box::new)))
            }
            Action::Write(rows) => {
                let written = table.transact(rows::transaction(&rows)).await;
                let outcome = outcome(&written.map(|commit| commit.revision));
                if !matches!(outcome, Outcome::Done { .. }) {
                    failures += 1;
                    backoff::pause(failures).await;
                }
                edit.handle(Event::Wrote(outcome))
            }
            Action::Done(result) => return result,
        };
    }
}

/// Returns the outcome of a transaction.
pub fn outcome(result: &Result<u64, Error>) -> Outcome {
    match result {
        Ok(revision) => Outcome::Done {
            revision: *revision,
        },
        Err(Error::Conflict { .. }) => Outcome::Conflict,
        Err(Error::Unavailable { .. } | Error::Invalid { .. }) => Outcome::Failed,
        Err(Error::Unknown { .. }) => Outcome::Lost,
    }
}

async fn read_known(
    table: &dyn Table,
    kind: Kind,
    name: &str,
    tried: Option<u64>,
) -> Result<Known, Error> {
    let mut known = Known {
        head: read(table, rows::HEAD_KEY).await?,
        resource: read(table, &rows::resource(kind, name)).await?,
        ..Known::default()
    };
    if kind == Kind::Team {
        known.limit = read(table, &rows::limit(name)).await?;
    }
    if let Some(revision) = tried {
        let stored: Option<Stored<Change>> = read(table, &rows::change(revision)).await?;
        known.tried = stored.map(|stored| stored.row);
    }
    Ok(known)
}

/// Reads one row.
///
/// # Errors
///
/// Returns [`Error`] if the table can't be read or the row can't be parsed.
pub async fn read<T: DeserializeOwned>(
    table: &dyn Table,
    key: &str,
) -> Result<Option<Stored<T>>, Error> {
    table.read(key).await?.map(rows::parse).transpose()
}

/// Reads the revision of the last change.
///
/// # Errors
///
/// Returns [`Error`] if the table can't be read.
pub async fn head(table: &dyn Table) -> Result<u64, Error> {
    let head: Option<Stored<Head>> = read(table, rows::HEAD_KEY).await?;
    Ok(head.map_or(0, |stored| stored.row.revision))
}

/// Reads all changes after a revision.
///
/// # Errors
///
/// Returns [`Missing`] if the changes are no longer kept or the table can't be read.
pub async fn changes(table: &dyn Table, after: u64) -> Result<Vec<Change>, Missing> {
    let mut changes: Vec<Change> = Vec::new();
    let mut from = Some(rows::change(after));
    while let Some(key) = from {
        let page = table
            .scan(rows::CHANGE_PREFIX, Some(&key), PAGE_ROWS)
            .await?;
        for row in page.rows {
            changes.push(rows::parse(row)?.row);
        }
        from = page.next;
    }
    let first = changes.first().map(|change| change.revision);
    let complete = match first {
        Some(first) => first == after + 1,
        None => head(table).await? <= after,
    };
    complete.then_some(changes).ok_or(Missing::TooOld { after })
}

/// Reads all resources as of one revision.
///
/// # Errors
///
/// See [`changes`].
pub async fn load(table: &dyn Table) -> Result<Snapshot, Missing> {
    let mut snapshot = Snapshot {
        revision: head(table).await?,
        ..Snapshot::default()
    };
    let mut after: Option<String> = None;
    loop {
        let page = table
            .scan(rows::RESOURCE_PREFIX, after.as_deref(), PAGE_ROWS)
            .await?;
        for row in page.rows {
            let stored: Stored<Entry> = rows::parse(row)?;
            snapshot.insert(stored.row);
        }
        after = page.next;
        if after.is_none() {
            break;
        }
    }
    // The pages were read one after another, so changes written meanwhile are applied from the log.
    for change in changes(table, snapshot.revision).await? {
        if snapshot.apply(&change).is_err() {
            let after = snapshot.revision;
            return Err(Missing::TooOld { after });
        }
    }
    Ok(snapshot)
}
