//! The object store.

use async_trait::async_trait;
use bytes::Bytes;

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
