//! The transactional table service.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use azurepath_http::{Call, Failure, Pool, escape};

/// How long a call to the table may take.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Unused connections that are kept.
const IDLE: usize = 16;

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

/// A client of the table service over HTTP.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    pool: Pool,
}

impl Client {
    /// Makes a client of the table service at an address.
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            pool: Pool::new(IDLE),
        }
    }

    async fn get(&self, path: String) -> Result<azurepath_http::Reply, Error> {
        let call = Call::new(Method::GET, path, TIMEOUT);
        let unavailable = |failure: Failure| Error::Unavailable {
            detail: failure.into_detail(),
        };
        self.pool
            .call(self.address, call)
            .await
            .map_err(unavailable)
    }
}

/// The body of a `409`.
#[derive(Deserialize)]
struct Conflict {
    key: String,
    revision: u64,
}

#[async_trait]
impl Table for Client {
    async fn transact(&self, transaction: Transaction) -> Result<Commit, Error> {
        let call = Call::post("/table/transact", &transaction, TIMEOUT);
        let reply = self
            .pool
            .call(self.address, call)
            .await
            .map_err(|failure| match failure {
                Failure::NotSent(detail) => Error::Unavailable { detail },
                Failure::Lost(detail) => Error::Unknown { detail },
            })?;
        let unknown = |failure: Failure| Error::Unknown {
            detail: failure.into_detail(),
        };
        match reply.status {
            StatusCode::OK => reply.json().map_err(unknown),
            StatusCode::CONFLICT => {
                let Conflict { key, revision } = reply.json().map_err(unknown)?;
                Err(Error::Conflict { key, revision })
            }
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unavailable {
                detail: reply.describe(),
            }),
            status if status.is_client_error() => Err(Error::Invalid {
                detail: reply.describe(),
            }),
            _ => Err(Error::Unknown {
                detail: reply.describe(),
            }),
        }
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        let reply = self.get(format!("/table/row?key={}", escape(key))).await?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        found(&reply).map(Some)
    }

    async fn scan(&self, prefix: &str, after: Option<&str>, limit: u32) -> Result<Page, Error> {
        let mut path = format!("/table/scan?prefix={}&limit={limit}", escape(prefix));
        if let Some(after) = after {
            path.push_str("&after=");
            path.push_str(&escape(after));
        }
        found(&self.get(path).await?)
    }
}

/// Reads the document of a successful read.
fn found<T: serde::de::DeserializeOwned>(reply: &azurepath_http::Reply) -> Result<T, Error> {
    match reply.status {
        StatusCode::OK => reply.json().map_err(|failure| Error::Unavailable {
            detail: failure.into_detail(),
        }),
        status if status.is_client_error() => Err(Error::Invalid {
            detail: reply.describe(),
        }),
        _ => Err(Error::Unavailable {
            detail: reply.describe(),
        }),
    }
}
