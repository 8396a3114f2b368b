//! An instance on the users' platform. All instances take calls of clients; one of them is the
//! leader and runs the scheduler.

mod advice;
mod carrier;
mod client;
mod clock;
mod decision;
mod election;
mod evacuation;
mod leader;
mod limiter;
mod link_usage;
mod links;
mod listen;
mod peer;
mod recovery;
mod relay;
mod reload;
mod renewal;
mod stop;
mod watch;
mod writer;

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context as _;
use azurepath_decide::batch::config::Config;
use azurepath_decide::name::Name;
use azurepath_platform::advice::Advisor;
use azurepath_platform::store::Store;
use azurepath_platform::worker::Workers;
use azurepath_platform::{Observer, Pool, Traffic};
use slog::{Logger, info};
use tokio::sync::watch as tokio_watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use self::stop::{Pending, Tasks};
use crate::logs;
use crate::metrics::{Cluster, Metrics};
use crate::process::http::gate::{Bounds, Gate, Limits};
use crate::process::stop::Phase;
use crate::settings::cluster::{Settings, Source};

/// The maximum number of idle connections to one address that are kept.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// The same for connections on which the orders of leaders are carried to a worker.
const MAX_IDLE_CARRIED: usize = 1;

/// How much of a connection's bytes the kernel keeps for the process to read. A call of usual length
/// arrives in one part, and one of the longest in a few round trips.
const RECEIVE_BYTES: u32 = 32 * 1_024;

/// The part of the memory for the bodies of calls: 40 bodies of the longest usual length in 120 MiB. A
/// buffer and the job that is read from it may take twice the length each.
const BODY_SHARE: u64 = 12;

/// The state that all tasks of the process share.
#[derive(Clone)]
pub(crate) struct Context {
    settings: tokio_watch::Receiver<Arc<Settings>>,
    name: Name,
    /// The address that this instance listens on for its peers.
    peers_address: SocketAddr,
    store: Store,
    workers: Workers,
    /// For the orders of leaders. Each worker may get them from many instances, and serves a limited
    /// number of connections.
    carried_workers: Workers,
    advisor: Option<Advisor>,
    config: tokio_watch::Receiver<Option<Arc<Config>>>,
    evacuation: tokio_watch::Receiver<Arc<evacuation::Evacuation>>,
    phase: tokio_watch::Receiver<Phase>,
    /// The time by which all calls of clients are answered, once the process stops.
    answer_deadline: tokio_watch::Receiver<Option<Instant>>,
    route: peer::Route,
    limiter: limiter::Limiter,
    /// The bounds for clients.
    gate: Gate,
    /// The work that the end of the process waits for.
    pending: Pending,
    metrics: Arc<Metrics>,
    counts: Arc<Cluster>,
    log: Logger,
}

impl Context {
    /// Returns the settings in force.
    fn settings(&self) -> Arc<Settings> {
        self.settings.borrow().clone()
    }
}

/// Runs an instance until `shutdown` is ready, then stops it gracefully.
///
/// # Errors
///
/// Returns an error if an address can't be listened on or a task has failed.
pub async fn run(
    settings: Settings,
    source: Source,
    shutdown: impl Future<Output = ()>,
) -> anyhow::Result<()> {
    let log = logs::logger(&settings.server, logs::Output::Stdout);
    let listeners = listen::Listeners::bind(&settings).await?;
    let (config_sender, config) = tokio_watch::channel(None);
    let (evacuation_sender, evacuation) = tokio_watch::channel(Arc::default());
    let (phase_sender, phase) = tokio_watch::channel(Phase::Serving);
    let (deadline_sender, answer_deadline) = tokio_watch::channel(None);
    let (leadership_sender, leadership) = tokio_watch::channel(peer::Leadership::Unknown);
    let halt = CancellationToken::new();
    let mut tasks = Tasks::default();
    let metrics = Arc::new(Metrics::new()?);
    let counts = Arc::new(metrics.cluster());
    let observer = observer(counts.clone());
    let pool = Pool::new(MAX_IDLE_CONNECTIONS).with_observer(observer.clone());
    let (settings_sender, settings_receiver) = tokio_watch::channel(Arc::new(settings.clone()));
    let route = peer::connect(
        leadership,
        settings_receiver.clone(),
        &log,
        &metrics,
        &halt,
        &mut tasks,
    );
    let reload = reload::run(source, settings_sender, log.clone(), halt.clone());
    tasks.spawn("settings", reload);
    let (limiter, permits) = limiter::channel();
    let limits = Limits::default();
    let bodies = settings.memory_bytes / BODY_SHARE;
    let bounds = Bounds::new(
        settings.memory_bytes,
        settings.descriptors,
        bodies,
        RECEIVE_BYTES,
    );
    let context = Context {
        gate: Gate::new(bounds, limits, &metrics, &log),
        limiter: limiter.clone(),
        name: settings.server.name.clone(),
        peers_address: listeners.peers_address,
        store: Store::new(pool.clone(), settings.store),
        workers: Workers::new(MAX_IDLE_CONNECTIONS, Some(observer.clone())),
        carried_workers: Workers::new(MAX_IDLE_CARRIED, Some(observer)).without_check(),
        advisor: settings
            .advice
            .map(|address| Advisor::new(pool.clone(), address)),
        config,
        evacuation,
        phase,
        answer_deadline,
        route,
        pending: tasks.pending().clone(),
        counts,
        metrics,
        log: log.clone(),
        settings: settings_receiver,
    };
    let servers = listeners.serve(&context, &halt, &mut tasks)?;
    let limiting = limiter::run(limiter, permits, context.route.clone(), halt.clone());
    tasks.spawn("limiter", limiting);
    let operator = watch::operator(
        context.clone(),
        config_sender,
        evacuation_sender,
        halt.clone(),
    );
    tasks.spawn("configuration", operator);
    tasks.spawn("advice", advice::run(context.clone(), halt.clone()));
    tasks.spawn("carrier", carrier::run(context.clone(), halt.clone()));
    tasks.spawn("relay", relay::run(context.clone(), halt.clone()));
    tasks.spawn("link usage", link_usage::run(context.clone(), halt.clone()));
    let leaving = CancellationToken::new();
    let election = election::Election::new(context.clone(), leadership_sender);
    let election = election.run(leaving.clone(), halt.clone());
    let mut election = tasks.spawn_apart("election", election);
    info!(log, "started"; "version" => env!("CARGO_PKG_VERSION"));
    tokio::select! {
        () = shutdown => {}
        // Without it this instance would never lead nor find a leader; a restart helps.
        ended = &mut election => {
            ended.context("the election failed")?;
            anyhow::bail!("the election ended early; this is a fault of the program");
        }
    }
    let stop = stop::Stop {
        context,
        phase: phase_sender,
        answer_deadline: deadline_sender,
        leaving,
        halt,
        servers,
        election,
        tasks,
    };
    stop.run().await
}

/// Counts the bytes of the calls to the store, the workers and the advice service.
fn observer(counts: Arc<Cluster>) -> Observer {
    Arc::new(move |traffic: Traffic<'_>| {
        counts.count_bytes(traffic.path, traffic.sent as u64, traffic.received as u64);
    })
}
