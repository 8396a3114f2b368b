//! The platform's lagging list of live and leaving instances.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use azurepath_decide::worker;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use azurepath_http::{Call, Pool};

/// How long the reading of the list may take.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Unused connections that are kept.
const IDLE: usize = 2;

/// An instance as listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's name.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it is.
    pub role: Role,
    /// Its failure domain.
    pub failure_domain: Name,
    /// The region of the failure domain.
    pub region: Name,
    /// Whether it is live or leaving.
    pub state: State,
}

/// What an instance is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "is")]
pub enum Role {
    /// An entry instance that runs a server.
    Server,
    /// A worker.
    Worker {
        /// Its rack.
        rack: Name,
        /// All that it holds.
        capacity: Size,
    },
}

/// Whether an instance is live or leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It is live.
    Live,
    /// It is about to go.
    Leaving,
}

impl Instance {
    /// Returns the worker that the instance is, if it is one.
    pub fn worker(&self) -> Option<worker::Spec> {
        match &self.role {
            Role::Server => None,
            Role::Worker { rack, capacity } => Some(worker::Spec {
                name: self.name.clone(),
                rack: rack.clone(),
                failure_domain: self.failure_domain.clone(),
                region: self.region.clone(),
                capacity: *capacity,
            }),
        }
    }
}

/// The list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the instance list could not be read ({detail}); the last one stays in use")]
pub struct Error {
    /// What was seen.
    pub detail: String,
}

/// The instance list.
#[async_trait]
pub trait List: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] where the list can't be read.
    async fn instances(&self) -> Result<Vec<Instance>, Error>;
}

/// A client of the instance list over HTTP.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    pool: Pool,
}

impl Client {
    /// Makes a client of the instance list at an address.
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            pool: Pool::new(IDLE),
        }
    }
}

#[async_trait]
impl List for Client {
    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        let call = Call::new(Method::GET, "/instances", TIMEOUT);
        let error = |detail: String| Error { detail };
        let reply = self.pool.call(self.address, call).await;
        let reply = reply.map_err(|failure| error(failure.into_detail()))?;
        if reply.status != StatusCode::OK {
            return Err(error(reply.describe()));
        }
        reply.json().map_err(|failure| error(failure.into_detail()))
    }
}
