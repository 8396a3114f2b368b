//! An instance on the users' platform: one of them leads and schedules, all take calls of clients.

mod asker;
mod clock;
mod front;
mod leader;
mod leadership;
mod listen;
mod note;
mod peer;
mod renewal;
mod watch;
mod writer;

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::config::Config;
use azurepath_decide::name::Name;
use azurepath_platform::Pool;
use azurepath_platform::advice::Advisor;
use azurepath_platform::store::Store;
use azurepath_platform::worker::Workers;
use slog::{Logger, info};
use tokio::sync::watch as cell;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::logs;
use crate::metrics::{Cluster, Metrics};
use crate::process::stop::{Inflight, Phase};
use crate::settings::cluster::Settings;

/// The connections to one address that are kept while they are unused.
const IDLE_CONNECTIONS: usize = 8;

/// What is left of the grace period when the last calls are answered, for ending the process.
const LAST_CALLS: Duration = Duration::from_millis(900);

/// How long a process that stops takes new connections: two questions of the balancer, a second
/// apart, and the time of an answer.
const LINGER: Duration = Duration::from_millis(2_300);

/// How long it takes to write an answer.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// What all tasks of the process share.
#[derive(Clone)]
pub(crate) struct Context {
    settings: Arc<Settings>,
    name: Name,
    /// Where this instance listens for its peers.
    peers: SocketAddr,
    store: Store,
    workers: Workers,
    advisor: Option<Advisor>,
    config: cell::Receiver<Option<Arc<Config>>>,
    phase: cell::Receiver<Phase>,
    /// When the last calls of clients are answered, while the process stops.
    end: cell::Receiver<Option<Instant>>,
    route: peer::Route,
    inflight: Inflight,
    metrics: Arc<Metrics>,
    counts: Arc<Cluster>,
    log: Logger,
}

/// Runs an instance until `shutdown` is ready, then stops it gracefully.
///
/// # Errors
///
/// Returns an error where an address can't be listened on or a task has failed.
pub async fn run(settings: Settings, shutdown: impl Future<Output = ()>) -> anyhow::Result<()> {
    let log = logs::logger(&settings.server, logs::Output::Standard);
    let listeners = listen::Listeners::bind(&settings).await?;
    let pool = Pool::new(IDLE_CONNECTIONS);
    let (config_sender, config) = cell::channel(None);
    let (phase_sender, phase) = cell::channel(Phase::Serving);
    let (end_sender, end) = cell::channel(None);
    let (standing_sender, standing) = cell::channel(peer::Standing::None);
    let halt = CancellationToken::new();
    let mut tasks = JoinSet::new();
    let metrics = Arc::new(Metrics::new()?);
    let route = peer::connect(standing, &log, &metrics, &halt, &mut tasks);
    let context = Context {
        name: settings.server.name.clone(),
        peers: listeners.peers_address,
        store: Store::new(pool.clone(), settings.store),
        workers: Workers::new(pool.clone()),
        advisor: settings
            .advice
            .map(|address| Advisor::new(pool.clone(), address)),
        config,
        phase,
        end,
        route,
        inflight: Inflight::default(),
        counts: Arc::new(metrics.cluster()),
        metrics,
        log: log.clone(),
        settings: Arc::new(settings),
    };
    let servers = listeners.serve(&context, &halt, &mut tasks)?;
    tasks.spawn(watch::configuration(
        context.clone(),
        config_sender,
        halt.clone(),
    ));
    tasks.spawn(asker::run(context.clone(), halt.clone()));
    let leaving = CancellationToken::new();
    let election = leadership::Election::new(context.clone(), standing_sender);
    let election = tokio::spawn(election.run(leaving.clone(), halt.clone()));
    info!(log, "started"; "version" => env!("CARGO_PKG_VERSION"));
    shutdown.await;
    let end = Instant::now() + context.settings.grace.saturating_sub(LAST_CALLS);
    info!(log, "stopping"; "in_flight" => context.inflight.count());
    phase_sender.send_replace(Phase::Leaving);
    end_sender.send_replace(Some(end));
    leaving.cancel();
    // The balancer takes two misses to send new connections elsewhere.
    tokio::time::sleep(LINGER).await;
    // Calls end at `end` at the latest, so a longer wait would change nothing.
    let _ = tokio::time::timeout_at(end + ANSWER_TIME, context.inflight.drained()).await;
    info!(log, "drained"; "in_flight" => context.inflight.count());
    servers.stop().await?;
    halt.cancel();
    election.await?;
    while let Some(joined) = tasks.join_next().await {
        joined?;
    }
    info!(log, "stopped");
    Ok(())
}
