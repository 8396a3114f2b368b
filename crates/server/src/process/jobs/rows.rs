//! The rows of jobs in the table.

use std::sync::Arc;

use azurepath_decide::job::{Event, Row, State, WriteResult};
use azurepath_decide::name::Name;
use azurepath_services::table::{self, Check, Error, Table, Transaction, Write};
use slog::{Logger, warn};

/// The prefix of the rows' keys.
const KEY_PREFIX: &str = "job/";

/// The number of rows in a page of a scan.
const PAGE_ROWS: u32 = 500;

/// Reads and writes rows.
#[derive(Clone)]
pub(super) struct Rows {
    table: Arc<dyn Table>,
    log: Logger,
}

impl Rows {
    /// Makes a reader and writer of the rows in a table.
    pub(super) fn new(table: Arc<dyn Table>, log: Logger) -> Rows {
        Rows { table, log }
    }

    /// Reads one row.
    pub(super) async fn load(self, job: Name) -> Vec<Event> {
        let event = match self.table.read(&key(&job)).await {
            Ok(Some(row)) => self.parse(row),
            Ok(None) => Some(Event::Loaded {
                job: job.clone(),
                revision: 0,
                state: None,
            }),
            Err(error) => {
                warn!(self.log, "row of a job can't be read"; "job" => %job, "error" => %error);
                None
            }
        };
        vec![event.unwrap_or(Event::LoadFailed { job })]
    }

    /// Reads all rows.
    pub(super) async fn scan(self) -> Vec<Event> {
        let mut events = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let page = self
                .table
                .scan(KEY_PREFIX, after.as_deref(), PAGE_ROWS)
                .await;
            let Ok(page) = page else {
                return events;
            };
            events.extend(page.rows.into_iter().filter_map(|row| self.parse(row)));
            after = page.next;
            if after.is_none() {
                return events;
            }
        }
    }

    fn parse(&self, row: table::Row) -> Option<Event> {
        let job = row.key.strip_prefix(KEY_PREFIX)?;
        match serde_json::from_value::<State>(row.value) {
            Ok(state) => Some(Event::Loaded {
                job: job.into(),
                revision: row.revision,
                state: Some(state),
            }),
            Err(error) => {
                // No `Loaded` event, because a job whose row can't be parsed must not be started
                // again.
                warn!(self.log, "row of a job can't be parsed; run the same release on all servers";
                    "job" => job, "error" => %error);
                None
            }
        }
    }

    /// Writes rows in one transaction.
    pub(super) async fn write(self, write: u64, rows: Vec<Row>) -> Vec<Event> {
        let checks = rows.iter().map(|row| Check {
            key: key(&row.job),
            revision: row.revision,
        });
        let writes = rows.iter().map(|row| Write {
            key: key(&row.job),
            value: row.state.as_ref().map(|state| serde_json::json!(state)),
        });
        let transaction = Transaction {
            checks: checks.collect(),
            writes: writes.collect(),
        };
        let result = match self.table.transact(transaction).await {
            Ok(commit) => WriteResult::Written {
                revision: commit.revision,
            },
            Err(Error::Conflict { key, .. }) => WriteResult::Conflict {
                job: key.strip_prefix(KEY_PREFIX).unwrap_or(&key).into(),
            },
            Err(Error::Unavailable { .. } | Error::Invalid { .. }) => WriteResult::Unwritten,
            Err(Error::Unknown { .. }) => WriteResult::Unknown,
        };
        vec![Event::Wrote { write, result }]
    }
}

fn key(job: &str) -> String {
    format!("{KEY_PREFIX}{job}")
}
