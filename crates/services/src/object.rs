//! Client of the object store.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, StatusCode};

use azurepath_http::{Call, Failure, Pool, Reply, escape};

/// How long a call to the object store may take.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum number of idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Why a call to the object store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The object does not exist.
    #[error("the object {name} does not exist; list its prefix to see which objects exist")]
    Missing {
        /// The requested name.
        name: String,
    },
    /// The store failed. A put may be repeated because it is idempotent.
    #[error("the object store failed ({detail}); retry with backoff")]
    Unavailable {
        /// The cause.
        detail: String,
    },
}

/// Access to the object store.
#[async_trait]
pub trait Store: Send + Sync {
    /// Writes an object atomically.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if the object may not have been written.
    async fn put(&self, name: &str, data: Bytes) -> Result<(), Error>;

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] if the object does not exist and [`Error::Unavailable`] if the
    /// store failed.
    async fn get(&self, name: &str) -> Result<Bytes, Error>;

    /// Lists the names that begin with `prefix`, in ascending order.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if the store failed.
    async fn list(&self, prefix: &str) -> Result<Vec<String>, Error>;
}

/// A client of the object store over HTTP.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    pool: Pool,
}

impl Client {
    /// Creates a client of the object store at an address.
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            pool: Pool::new(MAX_IDLE_CONNECTIONS),
        }
    }

    async fn call(&self, call: Call) -> Result<Reply, Error> {
        self.pool
            .call(self.address, call)
            .await
            .map_err(unavailable)
    }
}

fn unavailable(failure: Failure) -> Error {
    Error::Unavailable {
        detail: failure.into_detail(),
    }
}

fn failed(reply: &Reply) -> Error {
    Error::Unavailable {
        detail: reply.describe(),
    }
}

#[async_trait]
impl Store for Client {
    async fn put(&self, name: &str, data: Bytes) -> Result<(), Error> {
        let call = Call {
            body: data,
            ..Call::new(Method::PUT, format!("/objects/{}", escape(name)), TIMEOUT)
        };
        let reply = self.call(call).await?;
        if reply.status.is_success() {
            Ok(())
        } else {
            Err(failed(&reply))
        }
    }

    async fn get(&self, name: &str) -> Result<Bytes, Error> {
        let path = format!("/objects/{}", escape(name));
        let reply = self.call(Call::new(Method::GET, path, TIMEOUT)).await?;
        match reply.status {
            StatusCode::OK => Ok(reply.body),
            StatusCode::NOT_FOUND => Err(Error::Missing {
                name: name.to_owned(),
            }),
            _ => Err(failed(&reply)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, Error> {
        let path = format!("/objects?prefix={}", escape(prefix));
        let reply = self.call(Call::new(Method::GET, path, TIMEOUT)).await?;
        match reply.status {
            StatusCode::OK => reply.json().map_err(unavailable),
            _ => Err(failed(&reply)),
        }
    }
}
