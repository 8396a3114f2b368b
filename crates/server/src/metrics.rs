//! Metrics of the process and their text format for a scraper.

pub mod link;
pub mod load;

use anyhow::Context;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider, UpDownCounter};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

const METER_NAME: &str = "azurepath";

/// The bucket boundaries of all histograms.
const LATENCY_BOUNDS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.9, 16.0, 60.0,
];

/// The metrics of a server.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    /// Answered requests of callers, by queue and by whether they ran.
    pub requests: Counter<u64>,
    /// The time from the arrival of a request to its answer, in seconds, by class.
    pub latency: Histogram<f64>,
    /// Requests of callers in flight.
    pub inflight: UpDownCounter<i64>,
    /// Attempts that workers were asked to start.
    pub attempts: Counter<u64>,
    /// Answers of workers that were dropped because they belong to another attempt.
    pub stray_answers: Counter<u64>,
    /// Failed renewals of workers' leases.
    pub renewal_failures: Counter<u64>,
    /// Established connections to peers.
    pub peer_connections: Counter<u64>,
    /// Connections to peers that were closed because a ping was not answered in time.
    pub silent_connections: Counter<u64>,
    /// Calls of peers that could not be served.
    pub peer_faults: Counter<u64>,
    /// Transactions that write intents.
    pub intent_writes: Counter<u64>,
    /// Connections of clients that were closed or refused for a bound, by server and reason.
    pub closed_connections: Counter<u64>,
    /// Open connections of clients.
    pub client_connections: Gauge<u64>,
    /// The bytes of bodies whose calls are not answered.
    pub body_bytes: Gauge<u64>,
}

/// The metrics of an instance on the users' platform.
#[derive(Debug)]
pub struct Cluster {
    /// Job events: accepted, refused, completed, failed, cancelled.
    pub jobs: Counter<u64>,
    /// Refused jobs by the bound that caused it.
    pub refused_jobs: Counter<u64>,
    /// Orders to start a task, by whether the leader was confirmed recently.
    pub starts: Counter<u64>,
    /// Started tasks that run faster in some racks, by whether they run in one.
    pub located: Counter<u64>,
    /// Task runs that ended without completing their work, by outcome.
    pub ends: Counter<u64>,
    /// The time from a job's acceptance to the start of a step, in seconds.
    pub start_age: Histogram<f64>,
    /// The time from a job's acceptance to its end, in seconds.
    pub job_age: Histogram<f64>,
    /// The time from a client's call to its answer, in seconds, by method and status.
    pub calls: Histogram<f64>,
    /// The time from the start of a write to the store's answer, in seconds, including retries.
    pub writes: Histogram<f64>,
    /// The time from a question to the advice service to its answer, in seconds.
    pub advice: Histogram<f64>,
    /// Orders to start a task that were not answered.
    pub lost_orders: Counter<u64>,
    /// Orders to start a task that were not carried out, by reason.
    pub refused_orders: Counter<u64>,
    /// Renewals of workers' leases that failed after a successful one.
    pub silent_workers: Counter<u64>,
    /// Workers that were found slow, fast or average again, by kind.
    pub speed_changes: Counter<u64>,
    /// Submissions that were not sent to the leader, since others wait before them.
    pub limited_submissions: Counter<u64>,
    /// The time from a call to the leader until its task takes the call, in seconds, by kind.
    pub leader_wait: Histogram<f64>,
    /// Calls whose callers had given up before the leader's task took them.
    pub abandoned_calls: Counter<u64>,
    /// The time of the leader's task in milliseconds, by activity.
    pub leader_busy_ms: Counter<u64>,
    /// How often this instance became the leader.
    pub leads: Counter<u64>,
    /// The failure domains that are evacuated, as far as this instance knows.
    pub evacuated_domains: Gauge<u64>,
    /// Bytes sent and received, by kind of call and direction.
    pub bytes: Counter<u64>,
    /// The same bytes for the detection of a busy link.
    pub link: link::Meter,
}

impl Cluster {
    /// Counts the bytes of a call.
    pub fn count_bytes(&self, kind: &str, sent: u64, received: u64) {
        self.link.add(kind, sent, received);
        for (direction, bytes) in [("sent", sent), ("received", received)] {
            let labels = [
                KeyValue::new("kind", kind.to_owned()),
                KeyValue::new("direction", direction),
            ];
            self.bytes.add(bytes, &labels);
        }
    }
}

impl Metrics {
    /// Creates the metrics of an instance on the users' platform.
    pub fn cluster(&self) -> Cluster {
        let meter = self.provider.meter(METER_NAME);
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let histogram = |name: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_boundaries(LATENCY_BOUNDS_SECONDS.to_vec())
                .build()
        };
        Cluster {
            jobs: counter("azurepath.jobs"),
            refused_jobs: counter("azurepath.jobs.refused"),
            starts: counter("azurepath.task.starts"),
            located: counter("azurepath.tasks.located"),
            ends: counter("azurepath.task.ends"),
            start_age: histogram("azurepath.start.age"),
            job_age: histogram("azurepath.job.age"),
            calls: histogram("azurepath.calls"),
            writes: histogram("azurepath.store.writes"),
            advice: histogram("azurepath.advice"),
            lost_orders: counter("azurepath.orders.lost"),
            refused_orders: counter("azurepath.orders.refused"),
            silent_workers: counter("azurepath.workers.silent"),
            speed_changes: counter("azurepath.worker.speed.changes"),
            limited_submissions: counter("azurepath.submissions.limited"),
            leader_wait: histogram("azurepath.leader.wait"),
            abandoned_calls: counter("azurepath.calls.abandoned"),
            leader_busy_ms: counter("azurepath.leader.busy.ms"),
            leads: counter("azurepath.leads"),
            evacuated_domains: meter.u64_gauge("azurepath.evacuated.domains").build(),
            bytes: counter("azurepath.bytes"),
            link: link::Meter::default(),
        }
    }

    /// Creates the metrics of a server.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be registered.
    pub fn new() -> anyhow::Result<Metrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context("can't create the metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(METER_NAME);
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let gauge = |name: &'static str| meter.u64_gauge(name).build();
        Ok(Metrics {
            requests: counter("azurepath.requests"),
            latency: meter
                .f64_histogram("azurepath.latency")
                .with_unit("s")
                .with_boundaries(LATENCY_BOUNDS_SECONDS.to_vec())
                .build(),
            inflight: meter.i64_up_down_counter("azurepath.inflight").build(),
            attempts: counter("azurepath.attempts"),
            stray_answers: counter("azurepath.stray.answers"),
            renewal_failures: counter("azurepath.renewal.failures"),
            peer_connections: counter("azurepath.peer.connections"),
            silent_connections: counter("azurepath.silent.connections"),
            peer_faults: counter("azurepath.peer.faults"),
            intent_writes: counter("azurepath.intent.writes"),
            closed_connections: counter("azurepath.client.connections.closed"),
            client_connections: gauge("azurepath.client.connections"),
            body_bytes: gauge("azurepath.client.body.bytes"),
            registry,
            provider,
        })
    }

    /// Returns the provider, to define more metrics elsewhere.
    pub fn provider(&self) -> &SdkMeterProvider {
        &self.provider
    }

    /// Returns all values in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Returns an error if they can't be encoded.
    pub fn text(&self) -> anyhow::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
