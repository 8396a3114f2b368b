//! The rows of the configuration in the table.

use azurepath_decide::allotment::Limit;
use azurepath_decide::config::{Change, Entry, Head, Rows};
use azurepath_decide::ownership::Stored;
use azurepath_decide::resource::Kind;
use azurepath_services::table::{Check, Error, Row, Transaction, Write};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// The key of the row with the revision of the last change.
pub const HEAD_KEY: &str = "config/head";

/// The key prefix of the rows of changes.
pub const CHANGE_PREFIX: &str = "change/";

/// The key prefix of the rows of resources.
pub const RESOURCE_PREFIX: &str = "resource/";

/// The number of changes kept in the table.
pub const MAX_STORED_CHANGES: u64 = 10_000;

/// Returns the key of a change's row.
///
/// Keys sort in the order of revisions.
pub fn change(revision: u64) -> String {
    format!("{CHANGE_PREFIX}{revision:020}")
}

/// Returns the key of a resource's row.
pub fn resource(kind: Kind, name: &str) -> String {
    format!("{RESOURCE_PREFIX}{kind}/{name}")
}

/// Returns the key of the row with a team's limit.
pub fn limit(team: &str) -> String {
    format!("limit/{team}")
}

/// Parses the document of a row.
///
/// # Errors
///
/// Returns [`Error::Invalid`] if the document can't be parsed.
pub fn parse<T: DeserializeOwned>(row: Row) -> Result<Stored<T>, Error> {
    let revision = row.revision;
    let parsed = serde_json::from_value(row.value);
    let row = parsed.map_err(|error| Error::Invalid {
        detail: format!("the row {}: {error}", row.key),
    })?;
    Ok(Stored { revision, row })
}

/// Returns the transaction that writes a change and deletes the one that is too old to be kept.
pub fn transaction(rows: &Rows) -> Transaction {
    let change_key = change(rows.change.revision);
    let resource_key = resource(rows.change.kind, &rows.change.name);
    let mut transaction = Transaction::default();
    put::<Head>(
        &mut transaction,
        HEAD_KEY.to_owned(),
        rows.head.revision,
        Some(&rows.head.row),
    );
    put::<Change>(&mut transaction, change_key, 0, Some(&rows.change));
    let entry = rows.resource.row.as_ref();
    put::<Entry>(
        &mut transaction,
        resource_key,
        rows.resource.revision,
        entry,
    );
    if let Some(stored) = &rows.limit {
        let key = limit(&rows.change.name);
        put::<Limit>(&mut transaction, key, stored.revision, stored.row.as_ref());
    }
    if let Some(old) = rows
        .change
        .revision
        .checked_sub(MAX_STORED_CHANGES)
        .filter(|old| *old > 0)
    {
        transaction.writes.push(Write {
            key: change(old),
            value: None,
        });
    }
    transaction
}

/// Adds the write of a row to a transaction, if the row still has `revision`.
pub fn put<T: Serialize>(
    transaction: &mut Transaction,
    key: String,
    revision: u64,
    row: Option<&T>,
) {
    transaction.checks.push(Check {
        key: key.clone(),
        revision,
    });
    // All row types can be serialized as JSON.
    let value = row.map(|row| serde_json::to_value(row).unwrap_or(Value::Null));
    transaction.writes.push(Write { key, value });
}
