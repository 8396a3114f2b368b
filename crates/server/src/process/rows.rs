//! The rows of servers and racks in the table.

use std::collections::BTreeMap;
use std::time::Duration;

use azurepath_decide::name::Name;
use azurepath_decide::ownership::{Heartbeat, Key, Outcome, Rack, Rows, Stored, Write};
use azurepath_services::table::{Error, Table, Transaction};
use serde::de::DeserializeOwned;

use crate::version::{rows, store};

/// The key prefix of the rows of servers.
pub const SERVER_PREFIX: &str = "server/";

/// The key prefix of the rows of racks.
pub const RACK_PREFIX: &str = "rack/";

/// The number of rows in a page of a scan.
const PAGE_ROWS: u32 = 500;

/// The timeout of a write, and of reading all rows.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the rows of all servers and racks.
///
/// # Errors
///
/// Returns [`Error`] if the table can't be read in time.
pub async fn read(table: &dyn Table) -> Result<Rows, Error> {
    let both = async {
        Ok(Rows {
            servers: scan::<Heartbeat>(table, SERVER_PREFIX).await?,
            racks: scan::<Rack>(table, RACK_PREFIX).await?,
        })
    };
    let timed_out = |_| Error::Unavailable {
        detail: "no answer in time".to_owned(),
    };
    tokio::time::timeout(CALL_TIMEOUT, both)
        .await
        .map_err(timed_out)?
}

async fn scan<T: DeserializeOwned>(
    table: &dyn Table,
    prefix: &str,
) -> Result<BTreeMap<Name, Stored<T>>, Error> {
    let mut parsed = BTreeMap::new();
    let mut after: Option<String> = None;
    loop {
        let page = table.scan(prefix, after.as_deref(), PAGE_ROWS).await?;
        for row in page.rows {
            let name = Name::from(row.key.strip_prefix(prefix).unwrap_or(&row.key));
            parsed.insert(name, rows::parse(row)?);
        }
        after = page.next;
        if after.is_none() {
            return Ok(parsed);
        }
    }
}

/// Writes one row.
pub async fn write(table: &dyn Table, write: Write) -> (Key, Outcome) {
    let mut transaction = Transaction::default();
    let key = match write {
        Write::Server {
            name,
            revision,
            row,
        } => {
            let key = format!("{SERVER_PREFIX}{name}");
            rows::put(&mut transaction, key, revision, row.as_ref());
            Key::Server(name)
        }
        Write::Rack {
            name,
            revision,
            row,
        } => {
            let key = format!("{RACK_PREFIX}{name}");
            rows::put(&mut transaction, key, revision, Some(&row));
            Key::Rack(name)
        }
    };
    (key, transact(table, transaction).await)
}

/// Writes a transaction; a timeout is reported as [`Outcome::Lost`].
pub async fn transact(table: &dyn Table, transaction: Transaction) -> Outcome {
    match tokio::time::timeout(CALL_TIMEOUT, table.transact(transaction)).await {
        Ok(result) => store::outcome(&result.map(|commit| commit.revision)),
        Err(_) => Outcome::Lost,
    }
}
