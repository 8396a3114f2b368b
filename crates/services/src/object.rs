//! The object store.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, StatusCode};

use azurepath_http::{Call, Failure, Pool, Reply, escape};

/// How long a call to the object store may take.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Unused connections that are kept.
const IDLE: usize = 4;

/// Why a call to the object store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// There is no such object.
    #[error("there is no object {name}; list the prefix to see which there are")]
    Missing {
        /// The name that was asked for.
        name: String,
    },
    /// The store failed; a put may be repeated, since it is idempotent.
    #[error("the object store failed ({detail}); retry with backoff")]
    Unavailable {
        /// What was seen.
        detail: String,
    },
}

/// The object store.
#[async_trait]
pub trait Store: Send + Sync {
    /// Writes an object, whole or not at all.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] where it may not have been written.
    async fn put(&self, name: &str, data: Bytes) -> Result<(), Error>;

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] or [`Error::Unavailable`].
    async fn get(&self, name: &str) -> Result<Bytes, Error>;

    /// Lists the names that begin with `prefix`, in order.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`].
    async fn list(&self, prefix: &str) -> Result<Vec<String>, Error>;
}

/// A client of the object store over HTTP.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    pool: Pool,
}

impl Client {
    /// Makes a client of the object store at an address.
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            pool: Pool::new(IDLE),
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
