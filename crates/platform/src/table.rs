//! The transactional table service.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A row as read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The revision of the transaction that last wrote it; grows over the whole table.
    pub revision: u64,
    /// The document.
    pub value: Value,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The key.
    pub key: String,
    /// The revision that the row must have; 0 if it must not exist.
    pub revision: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new document; none deletes the row.
    pub value: Option<Value>,
}

/// Conditions and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions.
    pub checks: Vec<Check>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// A transaction that took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// The revision that its writes carry.
    pub revision: u64,
}

/// A part of a scan.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The rows in the order of their keys.
    pub rows: Vec<Row>,
    /// The key to go on after, if there is more.
    pub next: Option<String>,
}

/// Why a call to the table failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// A condition did not hold; nothing was written.
    #[error("the row {key} has changed (revision {revision}); read it again and retry")]
    Conflict {
        /// The first key whose condition failed.
        key: String,
        /// The revision that it has now.
        revision: u64,
    },
    /// The table surely did not take the call.
    #[error("the table service did not take the call ({detail}); retry with backoff")]
    Unavailable {
        /// What was seen.
        detail: String,
    },
    /// The call may have taken effect.
    #[error("the table's answer was lost ({detail}); read the row back before writing again")]
    Unknown {
        /// What was seen.
        detail: String,
    },
    /// The table does not understand the call.
    #[error(
        "the table service refused the call ({detail}); check that its protocol is that of docs/PLATFORM.md"
    )]
    Invalid {
        /// What was seen.
        detail: String,
    },
}

/// The table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] where the transaction may have taken effect.
    async fn transact(&self, transaction: Transaction) -> Result<Commit, Error>;

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] where the table can't be read.
    async fn read(&self, key: &str) -> Result<Option<Row>, Error>;

    /// Reads rows by prefix, `limit` at most, after the key `after`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] where the table can't be read.
    async fn scan(&self, prefix: &str, after: Option<&str>, limit: u32) -> Result<Page, Error>;
}
