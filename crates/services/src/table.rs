//! Client of the transactional table service.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use azurepath_http::{Call, Failure, Pool, escape};

/// How long a call to the table may take.
const TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum number of idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The revision of the transaction that last wrote the row; revisions grow across the table.
    pub revision: u64,
    /// The document.
    pub value: Value,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The key.
    pub key: String,
    /// The required revision of the row; 0 if the row must not exist.
    pub revision: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new document; `None` deletes the row.
    pub value: Option<Value>,
}

/// Conditions and writes that are applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions; all must hold.
    pub checks: Vec<Check>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// The result of a transaction that took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// The revision of the written rows.
    pub revision: u64,
}

/// A page of a scan.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The rows, ordered by key.
    pub rows: Vec<Row>,
    /// The key after which to continue, if there are more rows.
    pub next: Option<String>,
}

/// Why a call to the table failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// A condition failed; nothing was written.
    #[error("the row {key} has changed (revision {revision}); read it again and retry")]
    Conflict {
        /// The first key whose condition failed.
        key: String,
        /// The current revision of the row.
        revision: u64,
    },
    /// The call had no effect.
    #[error("the table service did not accept the call ({detail}); retry with backoff")]
    Unavailable {
        /// The cause.
        detail: String,
    },
    /// The call may have taken effect.
    #[error("the table's response was lost ({detail}); read the row back before writing again")]
    Unknown {
        /// The cause.
        detail: String,
    },
    /// The table rejected the call as invalid.
    #[error(
        "the table service rejected the call ({detail}); check that it implements the protocol of docs/PLATFORM.md"
    )]
    Invalid {
        /// The cause.
        detail: String,
    },
}

/// Access to the table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the transaction may have taken effect.
    async fn transact(&self, transaction: Transaction) -> Result<Commit, Error>;

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if the table can't be read.
    async fn read(&self, key: &str) -> Result<Option<Row>, Error>;

    /// Reads at most `limit` rows whose keys begin with `prefix` and come after `after`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if the table can't be read.
    async fn scan(&self, prefix: &str, after: Option<&str>, limit: u32) -> Result<Page, Error>;
}

/// A client of the table service over HTTP.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    pool: Pool,
}

impl Client {
    /// Creates a client of the table service at an address.
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            pool: Pool::new(MAX_IDLE_CONNECTIONS),
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

/// The body of a `409` response.
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
        parse(&reply).map(Some)
    }

    async fn scan(&self, prefix: &str, after: Option<&str>, limit: u32) -> Result<Page, Error> {
        let mut path = format!("/table/scan?prefix={}&limit={limit}", escape(prefix));
        if let Some(after) = after {
            path.push_str("&after=");
            path.push_str(&escape(after));
        }
        parse(&self.get(path).await?)
    }
}

/// Parses the response to a read.
fn parse<T: serde::de::DeserializeOwned>(reply: &azurepath_http::Reply) -> Result<T, Error> {
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
