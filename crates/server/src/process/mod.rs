//! The tasks and state that live as long as the process.

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

/// State and handles that the tasks of a server share.
#[derive(Clone)]
pub struct Process {
    /// The settings.
    pub settings: Arc<Settings>,
    /// A random number that identifies this run of the process.
    pub incarnation: u64,
    /// The addresses that the server listens on.
    pub addresses: Addresses,
    /// The root logger.
    pub log: Logger,
    /// The clock.
    pub clock: clock::Clock,
    /// The clients of the platform.
    pub platform: Platform,
    /// Schedules requests on the racks that this server owns.
    pub engine: engine::Handle,
    /// Tracks which servers are alive and which server owns which rack.
    pub membership: membership::Handle,
    /// Changes the configuration and checks that it is current.
    pub config: crate::version::Handle,
    /// Sends requests to the owners of racks.
    pub router: router::Handle,
    /// Runs the jobs whose home is this server.
    pub jobs: jobs::Handle,
    /// Connections to other servers.
    pub peers: pool::Handle,
    /// Writes intents to the table.
    pub intents: intent::Handle,
    /// The configuration that this server has applied.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// The servers and racks of the fleet, as last read.
    pub view: watch::Receiver<Arc<View>>,
    /// The instance list as last read; empty before the first read.
    pub instances: watch::Receiver<Arc<Vec<Instance>>>,
    /// The phase between start and stop.
    pub phase: watch::Receiver<stop::Phase>,
    /// Counts requests and other work in flight.
    pub inflight: stop::Inflight,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

/// The addresses that a server listens on, with the ports that the kernel chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers and operators.
    pub http: SocketAddr,
    /// For other servers.
    pub peers: SocketAddr,
}

/// A control frame from another server, which gets exactly one reply.
///
/// These are `Change`, `Heartbeat` and `Handover` frames.
#[derive(Debug)]
pub struct Control {
    /// The frame.
    pub frame: Frame,
    /// Receives the reply.
    pub reply: oneshot::Sender<Frame>,
}
