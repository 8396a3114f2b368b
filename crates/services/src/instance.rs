//! Client of the platform's instance list, which contains live and leaving instances and may lag.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use azurepath_decide::worker;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use azurepath_http::{Call, Pool};

/// How long a call to the instance list may take.
const TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum number of idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// An instance of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's name.
    pub name: Name,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Whether it is a server or a worker.
    pub role: Role,
    /// Its failure domain.
    pub failure_domain: Name,
    /// The region of the failure domain.
    pub region: Name,
    /// Whether it is live or leaving.
    pub state: State,
}

/// The role of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "is")]
pub enum Role {
    /// An entry instance that runs a server.
    Server,
    /// A worker.
    Worker {
        /// Its rack.
        rack: Name,
        /// Its capacity.
        capacity: Size,
    },
}

/// Whether an instance is live or leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The instance is live.
    Live,
    /// The instance is about to stop.
    Leaving,
}

impl Instance {
    /// Returns the description of the worker, or `None` for a server.
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

/// The instance list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the instance list could not be read ({detail}); the previous list stays in use")]
pub struct Error {
    /// The cause.
    pub detail: String,
}

/// Access to the instance list.
#[async_trait]
pub trait List: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the list can't be read.
    async fn instances(&self) -> Result<Vec<Instance>, Error>;
}

/// A client of the instance list over HTTP.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    pool: Pool,
}

impl Client {
    /// Creates a client of the instance list at an address.
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            pool: Pool::new(MAX_IDLE_CONNECTIONS),
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
