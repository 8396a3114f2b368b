//! The start and the graceful stop of a server.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use azurepath_decide::candidate::Site;
use azurepath_decide::cell;
use azurepath_decide::config::Snapshot;
use azurepath_decide::fleet::View;
use azurepath_decide::{route, trace};
use azurepath_services::{instance, object, table, worker};
use rand::Rng;
use slog::{Logger, info};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::clock::Clock;
use super::engine::{self, Engine};
use super::http::gate::{Bounds, Gate, Limits};
use super::recorder::{self, Recorder};
use super::stop::{self, Inflight, Phase};
use super::{
    Addresses, Platform, Process, allotment, instances, jobs, ledger, membership, platform, router,
};
use crate::connection::ping::Timing;
use crate::connection::publish::Budget;
use crate::connection::{listener, pool};
use crate::metrics::Metrics;
use crate::request::{http as http_entry, intent};
use crate::settings::Settings;
use crate::{logs, version};

/// The capacity of the queue of control frames.
const CONTROL_QUEUE_FRAMES: usize = 256;

/// How much of a connection's bytes the kernel keeps for the process to read: the longest payload of the
/// default settings arrives in 64 round trips.
const RECEIVE_BYTES: u32 = 128 * 1_024;

/// The part of the memory for payloads, which are kept until their requests are answered. A buffer may
/// be twice as long as what has arrived.
const BODY_SHARE: u64 = 12;

/// How long the connections of callers may take to close once all requests are answered.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(30);

/// A running server.
pub struct Server {
    process: Process,
    phase: watch::Sender<Phase>,
    handed_over: watch::Receiver<bool>,
    http_server: super::http::HttpServer,
    tasks: JoinSet<()>,
    writers: JoinSet<()>,
    halt: CancellationToken,
}

impl Server {
    /// Starts a server; on return, it accepts requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the server can't listen on an address.
    pub async fn start(settings: Settings) -> anyhow::Result<Server> {
        let platform = Platform {
            table: Arc::new(table::Client::new(settings.platform.table)),
            objects: Arc::new(object::Client::new(settings.platform.objects)),
            instances: Arc::new(instance::Client::new(settings.platform.instances)),
            workers: Arc::new(worker::Client::new()),
        };
        Server::start_on(settings, platform).await
    }

    /// Starts a server on given clients of the platform.
    ///
    /// # Errors
    ///
    /// See [`Server::start`].
    pub async fn start_on(
        settings: Settings,
        platform: platform::Platform,
    ) -> anyhow::Result<Server> {
        let http = super::http::socket::bind(settings.server.http, RECEIVE_BYTES)?;
        let peers = http_entry::bind(settings.server.peers).await?;
        let addresses = Addresses {
            http: http.local_addr().context("the address is unknown")?,
            peers: peers.local_addr().context("the address is unknown")?,
        };
        let log = logs::logger(&settings.server, logs::Output::Stderr);
        let metrics = Arc::new(Metrics::new()?);
        let channels = Channels::new(&settings);
        let process = channels.process(settings, addresses, platform, log, metrics);
        channels.spawn(process, http, peers)
    }

    /// Returns the state and handles that the tasks of the server share.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// Returns the addresses that the server listens on.
    pub fn addresses(&self) -> Addresses {
        self.process.addresses
    }

    /// Stops the server gracefully.
    ///
    /// The server becomes unready and serves on until its racks are handed over. Then it answers
    /// all requests in flight, without a time limit, and joins all tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if a task has failed.
    pub async fn stop(mut self) -> anyhow::Result<()> {
        info!(self.process.log, "stopping");
        let linger = self.process.settings.timing.linger;
        let inflight = &self.process.inflight;
        stop::drain(&self.phase, &mut self.handed_over, inflight, linger).await;
        info!(self.process.log, "drained");
        self.http_server
            .stop(Instant::now() + CLOSE_TIMEOUT)
            .await?;
        self.halt.cancel();
        join(&mut self.tasks).await?;
        join(&mut self.writers).await?;
        info!(self.process.log, "stopped");
        Ok(())
    }
}

async fn join(tasks: &mut JoinSet<()>) -> anyhow::Result<()> {
    while let Some(joined) = tasks.join_next().await {
        joined.context("a task of the server has failed")?;
    }
    Ok(())
}

/// The clock and all channels between the tasks.
struct Channels {
    clock: Clock,
    engine: (engine::Handle, mpsc::UnboundedReceiver<engine::Message>),
    router: (router::Handle, mpsc::UnboundedReceiver<router::Message>),
    jobs: (jobs::Handle, mpsc::UnboundedReceiver<jobs::Message>),
    usage: (ledger::Updates, mpsc::UnboundedReceiver<ledger::Update>),
    peers: (pool::Handle, pool::Inbox),
    intents: (intent::Handle, intent::Inbox),
    membership: (membership::Handle, membership::Inbox),
    config: (version::Handle, version::Inbox),
    snapshot: watch::Sender<Arc<Snapshot>>,
    view: watch::Sender<Arc<View>>,
    instances: watch::Sender<Arc<Vec<instance::Instance>>>,
    phase: watch::Sender<Phase>,
    handed_over: watch::Sender<bool>,
}

impl Channels {
    fn new(settings: &Settings) -> Channels {
        Channels {
            clock: Clock::start(),
            engine: engine::Handle::channel(),
            router: router::Handle::channel(),
            jobs: jobs::Handle::channel(),
            usage: mpsc::unbounded_channel(),
            peers: pool::channel(settings.limits.body),
            intents: intent::channel(),
            membership: membership::channel(),
            config: version::channel(),
            snapshot: watch::Sender::new(Arc::default()),
            view: watch::Sender::new(Arc::default()),
            instances: watch::Sender::new(Arc::default()),
            phase: watch::Sender::new(Phase::Starting),
            handed_over: watch::Sender::new(false),
        }
    }

    fn process(
        &self,
        settings: Settings,
        addresses: Addresses,
        platform: Platform,
        log: Logger,
        metrics: Arc<Metrics>,
    ) -> Process {
        Process {
            settings: Arc::new(settings),
            incarnation: rand::rng().random::<u64>() >> 1,
            addresses,
            log,
            clock: self.clock,
            platform,
            engine: self.engine.0.clone(),
            router: self.router.0.clone(),
            jobs: self.jobs.0.clone(),
            peers: self.peers.0.clone(),
            intents: self.intents.0.clone(),
            membership: self.membership.0.clone(),
            config: self.config.0.clone(),
            snapshot: self.snapshot.subscribe(),
            view: self.view.subscribe(),
            instances: self.instances.subscribe(),
            phase: self.phase.subscribe(),
            inflight: Inflight::default(),
            metrics,
        }
    }

    fn spawn(
        self,
        process: Process,
        http: tokio::net::TcpListener,
        peers: tokio::net::TcpListener,
    ) -> anyhow::Result<Server> {
        let halt = CancellationToken::new();
        let mut tasks = JoinSet::new();
        let mut writers = JoinSet::new();
        let timing = process.settings.timing;
        let payload_limit = process.settings.limits.body;
        let ping_timing = Timing {
            interval: timing.ping,
            timeout: timing.ping_timeout,
        };
        let (demands, demand_rx) = mpsc::unbounded_channel();
        let summary = watch::Sender::new(None);
        let (control, control_rx) = mpsc::channel(CONTROL_QUEUE_FRAMES);
        let name = process.settings.server.name.clone();
        let seed = rand::rng().random();

        let router_setup = route::Setup {
            server: name.clone(),
            site: Site {
                failure_domain: process.settings.server.failure_domain.clone(),
                region: process.settings.server.region.clone(),
            },
            seed,
        };
        let cell_setup = cell::Setup {
            server: name.clone(),
            seed,
            policy: azurepath_decide::policy::Policy::Fair,
            region: Some(process.settings.server.region.clone()),
        };
        let header = trace::Header {
            version: trace::VERSION,
            cell: Some(cell_setup.clone()),
            router: Some(router_setup.clone()),
        };
        let recorder = match &process.settings.trace {
            Some(settings) => {
                let (handle, recorder) = Recorder::open(settings, &header, process.log.clone())?;
                tasks.spawn_blocking(|| recorder.run());
                handle
            }
            None => recorder::Handle::default(),
        };
        let router = router::Task {
            setup: router_setup,
            recorder: recorder.clone(),
            clock: process.clock,
            engine: process.engine.clone(),
            peers: process.peers.clone(),
            view: process.view.clone(),
            instances: process.instances.clone(),
            snapshot: process.snapshot.clone(),
            summary: summary.subscribe(),
        };
        tasks.spawn(router.run(self.router.1, halt.clone()));
        let jobs = jobs::Task {
            process: process.clone(),
            summary: summary.subscribe(),
            seed: rand::rng().random(),
        };
        tasks.spawn(jobs.run(self.jobs.1, halt.clone()));
        let pool = pool::Pool {
            name: name.clone(),
            ping_timing,
            view: process.view.clone(),
            summary: summary.subscribe(),
            budget: Budget {
                name: name.clone(),
                failure_domain: process.settings.server.failure_domain.clone(),
                region: process.settings.server.region.clone(),
                view: process.view.clone(),
            },
            log: process.log.clone(),
            metrics: process.metrics.clone(),
        };
        tasks.spawn(pool.run(self.peers.1, halt.clone()));
        let engine = Engine {
            setup: cell_setup,
            recorder,
            clock: process.clock,
            timing,
            workers: process.platform.workers.clone(),
            instances: process.instances.clone(),
            outputs: engine::Outputs {
                demands,
                summary,
                membership: process.membership.clone(),
                usage: self.usage.0,
            },
            handle: process.engine.clone(),
            log: process.log.clone(),
            metrics: process.metrics.clone(),
        };
        tasks.spawn(engine.run(self.engine.1, halt.clone()));
        let ledger = ledger::Task::new(&process);
        writers.spawn(ledger.run(self.usage.1));
        let service = listener::Service {
            clock: process.clock,
            engine: process.engine.clone(),
            router: process.router.clone(),
            jobs: process.jobs.clone(),
            control,
            inflight: process.inflight.clone(),
            payload_limit,
            last_summary: Arc::default(),
        };
        let setup = listener::Setup {
            ping_timing,
            connections: Inflight::default(),
            faults: process.metrics.peer_faults.clone(),
            log: process.log.clone(),
        };
        tasks.spawn(listener::run(peers, service, setup, halt.clone()));
        let reader = instances::Reader {
            list: process.platform.instances.clone(),
            sender: self.instances,
            engine: process.engine.clone(),
            timing,
            log: process.log.clone(),
        };
        tasks.spawn(reader.run(halt.clone()));
        let handed_over = self.handed_over.subscribe();
        let outputs = membership::Outputs {
            view: self.view,
            handed_over: self.handed_over,
        };
        tasks.spawn(membership::run(
            process.clone(),
            self.membership.1,
            outputs,
            halt.clone(),
        ));
        tasks.spawn(allotment::run(process.clone(), demand_rx, halt.clone()));
        tasks.spawn(version::run(
            process.clone(),
            self.snapshot,
            self.config.1,
            control_rx,
            halt.clone(),
        ));
        let intents = intent::Writer {
            table: process.platform.table.clone(),
            metrics: process.metrics.clone(),
        };
        writers.spawn(intents.run(self.intents.1, halt.clone()));
        let limits = process.settings.limits;
        let bounds = Bounds::new(
            limits.memory,
            limits.descriptors,
            (limits.memory / BODY_SHARE).max(limits.body),
            RECEIVE_BYTES,
        );
        let gate = Gate::new(bounds, Limits::default(), &process.metrics, &process.log);
        let http_server = super::http::HttpServer::start(
            http_entry::routes(process.clone()),
            http,
            "clients",
            &Inflight::default(),
            &gate,
            &process.log,
        );
        self.phase.send_replace(Phase::Serving);
        info!(process.log, "listening";
            "http" => %process.addresses.http, "peers" => %process.addresses.peers);
        Ok(Server {
            process,
            phase: self.phase,
            handed_over,
            http_server,
            tasks,
            writers,
            halt,
        })
    }
}
