//! Instruments, and their text for a scraper.

use anyhow::Context;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider, UpDownCounter};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

const SCOPE: &str = "azurepath";

const LATENCY_BOUNDS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.9, 16.0, 60.0,
];

/// The instruments of a server.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    /// Requests of callers that have been answered, by queue and by whether they ran.
    pub requests: Counter<u64>,
    /// From the arrival of a request to its answer, in seconds, by class.
    pub latency: Histogram<f64>,
    /// Requests of callers in flight.
    pub inflight: UpDownCounter<i64>,
    /// Attempts that workers were asked to start.
    pub attempts: Counter<u64>,
    /// Answers that were dropped since they belong to another attempt.
    pub stray_answers: Counter<u64>,
    /// Renewals of workers that failed.
    pub renewal_failures: Counter<u64>,
    /// Connections to peers that were made.
    pub peer_connections: Counter<u64>,
    /// Connections to peers that were closed since a ping stayed unanswered.
    pub silent_connections: Counter<u64>,
    /// Frames of peers that could not be served.
    pub peer_faults: Counter<u64>,
    /// Transactions of intents.
    pub intent_writes: Counter<u64>,
}

/// The instruments of an instance on the users' platform.
#[derive(Debug)]
pub struct Cluster {
    /// Jobs by what became of them: accepted, refused, completed, failed, cancelled.
    pub jobs: Counter<u64>,
    /// Tasks that were ordered to start.
    pub starts: Counter<u64>,
    /// Runs that ended without doing their work, by how.
    pub ends: Counter<u64>,
    /// From a job's acceptance to the start of a step, in seconds.
    pub start_age: Histogram<f64>,
    /// From a job's acceptance to its end, in seconds.
    pub job_age: Histogram<f64>,
    /// From a client's call to its answer, in seconds, by method and status.
    pub calls: Histogram<f64>,
    /// From the begin of a write to the store's answer, in seconds, with all its tries.
    pub writes: Histogram<f64>,
    /// From a question to the advice service to its answer, in seconds.
    pub advice: Histogram<f64>,
    /// Orders to start that got no answer.
    pub lost_orders: Counter<u64>,
    /// Renewals of workers that failed first in a row.
    pub silent_workers: Counter<u64>,
    /// Times that this instance took the lead.
    pub leads: Counter<u64>,
}

impl Metrics {
    /// Makes the instruments of an instance on the users' platform.
    pub fn cluster(&self) -> Cluster {
        let meter = self.provider.meter(SCOPE);
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
            starts: counter("azurepath.task.starts"),
            ends: counter("azurepath.task.ends"),
            start_age: histogram("azurepath.start.age"),
            job_age: histogram("azurepath.job.age"),
            calls: histogram("azurepath.calls"),
            writes: histogram("azurepath.store.writes"),
            advice: histogram("azurepath.advice"),
            lost_orders: counter("azurepath.orders.lost"),
            silent_workers: counter("azurepath.workers.silent"),
            leads: counter("azurepath.leads"),
        }
    }

    /// Makes the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error where the exporter can't be registered.
    pub fn new() -> anyhow::Result<Metrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context("the exporter of metrics could not be made")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(SCOPE);
        let counter = |name: &'static str| meter.u64_counter(name).build();
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
            registry,
            provider,
        })
    }

    /// Returns the provider, for instruments that live elsewhere.
    pub fn provider(&self) -> &SdkMeterProvider {
        &self.provider
    }

    /// Returns all values in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Returns an error where they can't be encoded.
    pub fn text(&self) -> anyhow::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
