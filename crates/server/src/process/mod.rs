//! What lives as long as the process.

pub mod allotment;
pub mod backoff;
pub mod clock;
pub mod dump;
pub mod engine;
pub mod http;
pub mod instances;
pub mod jobs;
pub mod ledger;
pub mod membership;
pub mod platform;
pub mod recorder;
pub mod renewal;
pub mod router;
pub mod rows;
pub mod server;
pub mod stop;

use std::net::SocketAddr;
use std::sync::Arc;

use azurepath_decide::config::Snapshot;
use azurepath_decide::fleet::View;
use azurepath_services::instance::Instance;
use azurepath_wire::frame::Frame;
use slog::Logger;
use tokio::sync::{oneshot, watch};

use crate::connection::pool;
use crate::metrics::Metrics;
use crate::request::intent;
use crate::settings::Settings;

pub use platform::Platform;
pub use server::Server;

/// What the tasks of a server share: handles by which they talk to each other.
#[derive(Clone)]
pub struct Process {
    /// The settings.
    pub settings: Arc<Settings>,
    /// Differs between two starts of the process.
    pub incarnation: u64,
    /// Where the server listens.
    pub addresses: Addresses,
    /// The root logger.
    pub log: Logger,
    /// The clock.
    pub clock: clock::Clock,
    /// The clients of the platform.
    pub platform: Platform,
    /// The owner's machine.
    pub engine: engine::Handle,
    /// Which servers live and who owns which rack.
    pub membership: membership::Handle,
    /// Changes of the configuration and the evidence for it.
    pub config: crate::version::Handle,
    /// Where requests are sent.
    pub router: router::Handle,
    /// The jobs that this server is home to.
    pub jobs: jobs::Handle,
    /// Connections to other servers.
    pub peers: pool::Handle,
    /// The writer of intents.
    pub intents: intent::Handle,
    /// The configuration in force here.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// The fleet as last seen.
    pub view: watch::Receiver<Arc<View>>,
    /// The instance list as last read; empty before the first reading.
    pub instances: watch::Receiver<Arc<Vec<Instance>>>,
    /// How far the process is with starting or stopping.
    pub phase: watch::Receiver<stop::Phase>,
    /// Counts what is in flight.
    pub inflight: stop::Inflight,
    /// The instruments.
    pub metrics: Arc<Metrics>,
}

/// Where a server listens, after the kernel has chosen free ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers and operators.
    pub http: SocketAddr,
    /// For other servers.
    pub peers: SocketAddr,
}

/// A control frame from another server that waits for its one reply.
///
/// `Change`, `Beat` and `Handover` come this way.
#[derive(Debug)]
pub struct Control {
    /// The frame.
    pub frame: Frame,
    /// Takes the reply.
    pub reply: oneshot::Sender<Frame>,
}
