//! The listeners of the process.

use azurepath_platform::entry::READY;
use http::StatusCode;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use volo_http::server::route::{Router, get};
use volo_http::utils::Extension;

use super::{Context, front, peer};
use crate::connection::listener;
use crate::process::entry::Entry;
use crate::process::stop::Phase;
use crate::request::http::bind;

/// The HTTP servers of the process.
pub(super) struct Servers {
    entries: Vec<Entry>,
}

impl Servers {
    /// Ends them once everything in flight has been answered.
    ///
    /// # Errors
    ///
    /// Returns an error where one of them has failed.
    pub(super) async fn stop(self) -> anyhow::Result<()> {
        for entry in self.entries {
            entry.stop().await?;
        }
        Ok(())
    }
}

/// Begins to listen for clients, the balancer, peers and readers of metrics.
///
/// # Errors
///
/// Returns an error where an address can't be listened on.
pub(super) async fn start(
    context: &Context,
    halt: &CancellationToken,
    tasks: &mut JoinSet<()>,
) -> anyhow::Result<Servers> {
    let settings = &context.settings;
    let clients = bind(settings.server.http).await?;
    let balancer = bind(settings.ready).await?;
    let watchers = bind(settings.metrics).await?;
    let peers = bind(settings.server.peers).await?;
    let service = peer::Service {
        route: context.route.clone(),
        faults: context.metrics.peer_faults.clone(),
        log: context.log.clone(),
    };
    tasks.spawn(listener::run(peers, service, halt.clone()));
    let ready_routes = Router::new()
        .route(READY, get(ready))
        .layer(Extension(context.clone()));
    let metrics_routes = Router::new()
        .route("/metrics", get(metrics))
        .layer(Extension(context.clone()));
    let entries = vec![
        Entry::start(front::routes(context.clone()), clients),
        Entry::start(ready_routes, balancer),
        Entry::start(metrics_routes, watchers),
    ];
    Ok(Servers { entries })
}

/// Ready is an instance that has a configuration and does not stop. Whether it reaches the leader
/// is left out: after the leader's death nobody does, and all would be taken out at once.
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
