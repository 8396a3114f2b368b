//! The listeners of the process.

use std::net::SocketAddr;

use azurepath_platform::entry::READY_PATH;
use http::StatusCode;
use slog::info;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use volo_http::server::route::{Router, get};
use volo_http::utils::Extension;

use super::stop::Tasks;
use super::{Context, RECEIVE_BYTES, client, peer};
use crate::connection::listener;
use crate::process::http::{HttpServer, socket};
use crate::process::stop::Phase;
use crate::request::http::bind;
use crate::settings::cluster::Settings;

/// The HTTP servers of the process.
pub(super) struct Servers {
    servers: Vec<HttpServer>,
}

impl Servers {
    /// Stops the servers. Calls in flight are answered until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them has failed.
    pub(super) async fn stop(self, deadline: Instant) -> anyhow::Result<()> {
        let stops = self.servers.into_iter().map(|server| server.stop(deadline));
        futures::future::try_join_all(stops).await?;
        Ok(())
    }
}

/// The bound listeners of the process.
pub(super) struct Listeners {
    clients: TcpListener,
    balancer: TcpListener,
    monitoring: TcpListener,
    peers: TcpListener,
    /// The address that peers connect to.
    pub(super) peers_address: SocketAddr,
}

impl Listeners {
    /// Binds all addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on.
    pub(super) async fn bind(settings: &Settings) -> anyhow::Result<Listeners> {
        let peers = bind(settings.server.peers).await?;
        Ok(Listeners {
            clients: socket::bind(settings.server.http, RECEIVE_BYTES)?,
            balancer: socket::bind(settings.ready, RECEIVE_BYTES)?,
            monitoring: socket::bind(settings.metrics, RECEIVE_BYTES)?,
            peers_address: peers.local_addr()?,
            peers,
        })
    }

    /// Starts to serve clients, the balancer, peers and readers of metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if the address of a listener can't be determined.
    pub(super) fn serve(
        self,
        context: &Context,
        halt: &CancellationToken,
        tasks: &mut Tasks,
    ) -> anyhow::Result<Servers> {
        info!(context.log, "listening";
            "http" => %self.clients.local_addr()?, "ready" => %self.balancer.local_addr()?,
            "metrics" => %self.monitoring.local_addr()?, "peers" => %self.peers_address);
        let service = peer::Service {
            route: context.route.clone(),
            counts: context.counts.clone(),
        };
        let setup = listener::Setup {
            ping_timing: peer::PING_TIMING,
            connections: context.pending.connections.clone(),
            faults: context.metrics.peer_faults.clone(),
            log: context.log.clone(),
        };
        let peers = listener::run(self.peers, service, setup, halt.clone());
        tasks.spawn("peers", peers);
        let ready_routes = Router::new()
            .route(READY_PATH, get(ready))
            .layer(Extension(context.clone()));
        let metrics_routes = Router::new()
            .route("/metrics", get(metrics))
            .route("/dump", get(dump))
            .layer(Extension(context.clone()));
        let start = |routes, listener, name| {
            let connections = &context.pending.connections;
            HttpServer::start(
                routes,
                listener,
                name,
                connections,
                &context.gate,
                &context.log,
            )
        };
        let servers = vec![
            start(client::routes(context.clone()), self.clients, "clients"),
            start(ready_routes, self.balancer, "balancer"),
            start(metrics_routes, self.monitoring, "monitoring"),
        ];
        Ok(Servers { servers })
    }
}

/// Answers whether the instance is ready: it has a configuration and is not stopping.
///
/// Its connection to the leader does not count. After the leader's death no instance is connected,
/// and the balancer would remove all of them at once.
async fn ready(Extension(context): Extension<Context>) -> StatusCode {
    let configured = context.config.borrow().is_some();
    if configured && *context.phase.borrow() == Phase::Serving {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn metrics(Extension(context): Extension<Context>) -> Result<Vec<u8>, StatusCode> {
    context
        .metrics
        .text()
        .map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

async fn dump(Extension(context): Extension<Context>) -> String {
    let state = match context.route.local_leader() {
        Some(leader) => leader.dump().await,
        None => None,
    };
    let config = context
        .config
        .borrow()
        .as_ref()
        .map(|config| config.version);
    serde_json::json!({
        "instance": &*context.name,
        "phase": context.phase.borrow().to_string(),
        "configuration": config,
        "leader_connected": context.route.is_connected(),
        "in_flight": context.pending.calls.count(),
        "scheduler": state,
    })
    .to_string()
}
