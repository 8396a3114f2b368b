//! Measures the requests per second through a server and the latency that it adds to a worker's.
//!
//! Run it with `cargo run --release -p azurepath-server --example bench`. Stand-ins and server
//! run in this process, and all traffic stays on the loopback device. Absolute figures depend on
//! the machine, so only figures of the same run can be compared.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use azurepath_decide::attempt::{Attempt, Running};
use azurepath_decide::class::Class;
use azurepath_decide::config::{Condition, Proposal};
use azurepath_decide::request::Id;
use azurepath_decide::resource::{Queue, Resource, Team};
use azurepath_decide::size::Size;
use azurepath_server::Server;
use azurepath_server::settings::Settings;
use azurepath_server::version::store;
use azurepath_services::table;
use azurepath_services::worker::{self, Claim, Order, Worker};
use azurepath_standin::fleet::{Fleet, Rack};
use azurepath_standin::worker::{Settings as StandinSettings, Standin};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use tokio::task::JoinSet;
use volo_http::client::{Client, ClientBuilder};

/// The number of sequential calls in a latency measurement.
const CALL_COUNT: u128 = 2_000;

/// The number of calls before a latency measurement.
const WARM_UP_CALLS: u128 = 200;

/// The number of concurrent callers in the throughput measurement.
const CALLER_COUNT: u128 = 64;

/// The duration of the throughput measurement.
const THROUGHPUT_DURATION: Duration = Duration::from_secs(5);

const PAYLOAD: &str = "which dimmer suits lamp 4711?";

const SIZE: Size = Size {
    millicores: 1_000,
    memory_mib: 256,
    accelerators: 0,
    slots: 1,
};

/// A worker that is called directly.
#[derive(Clone)]
struct Direct {
    client: worker::Client,
    address: SocketAddr,
}

impl Direct {
    async fn call(&self, id: u128) -> Result<()> {
        let order = Order {
            epoch: 1,
            running: Running {
                attempt: Attempt {
                    request: Id(id),
                    number: 1,
                },
                team: "bench".into(),
                kind: "bench".into(),
                class: Class::Urgent,
                size: SIZE,
                gang: None,
                idempotent: true,
            },
            detached: false,
        };
        let payload = Bytes::from_static(PAYLOAD.as_bytes());
        let patience = Duration::from_secs(10);
        let answer = self
            .client
            .start(self.address, order, payload, patience)
            .await?;
        ensure!(
            answer.payload == PAYLOAD,
            "the answer differs from the payload"
        );
        Ok(())
    }
}

/// A server that is called over HTTP, as callers do.
#[derive(Clone)]
struct Entry {
    client: Client,
    uri: String,
}

impl Entry {
    fn new(address: SocketAddr) -> Result<Entry> {
        let mut builder = ClientBuilder::new();
        builder.set_max_idle_per_host(CALLER_COUNT as usize);
        Ok(Entry {
            client: builder.build()?,
            uri: format!("http://{address}/v1/queues/bench/requests"),
        })
    }

    async fn call(&self, _id: u128) -> Result<()> {
        let request = self.client.post(self.uri.as_str()).data(PAYLOAD);
        let response = request.send().await?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| anyhow::anyhow!("{error}"))?.to_bytes();
        ensure!(status == 200 && body == PAYLOAD, "{status}: {body:?}");
        Ok(())
    }
}

/// Makes sequential calls and returns their latencies in microseconds.
async fn latency(base: u128, call: impl AsyncFn(u128) -> Result<()>) -> Result<Histogram<u64>> {
    let mut latencies = Histogram::new(3)?;
    for number in 0..WARM_UP_CALLS {
        call(base + number).await?;
    }
    for number in WARM_UP_CALLS..WARM_UP_CALLS + CALL_COUNT {
        let started_at = Instant::now();
        call(base + number).await?;
        latencies.record(u64::try_from(started_at.elapsed().as_micros())?)?;
    }
    Ok(latencies)
}

/// Makes calls from concurrent callers and returns the calls per second.
async fn throughput<F, C>(call: C) -> Result<f64>
where
    C: Fn(u128) -> F + Clone + Send + 'static,
    F: Future<Output = Result<()>> + Send,
{
    let done = Arc::new(AtomicU64::new(0));
    let started_at = Instant::now();
    let mut callers = JoinSet::new();
    for caller in 0..CALLER_COUNT {
        let (call, done) = (call.clone(), done.clone());
        callers.spawn(async move {
            let mut id = (caller + 1) << 64;
            while started_at.elapsed() < THROUGHPUT_DURATION {
                call(id).await?;
                id += 1;
                done.fetch_add(1, Ordering::Relaxed);
            }
            anyhow::Ok(())
        });
    }
    while let Some(joined) = callers.join_next().await {
        joined??;
    }
    Ok(done.load(Ordering::Relaxed) as f64 / started_at.elapsed().as_secs_f64())
}

async fn prepare(fleet: &Fleet) -> Result<()> {
    let team = Resource::Team(Team {
        name: "bench".into(),
        account: "bench".into(),
        share: 1,
        limit: SIZE.times(1_000),
    });
    let queue = Resource::Queue(Queue {
        name: "bench".into(),
        open_to: Some("bench".into()),
        class: Class::Urgent,
        size: SIZE,
        estimate_ms: 1,
        idempotent: true,
    });
    let table = table::Client::new(fleet.address());
    for resource in [team, queue] {
        let proposal = Proposal {
            write: resource.name().clone(),
            kind: resource.kind(),
            name: resource.name().clone(),
            resource: Some(resource),
            condition: Condition::Any,
        };
        store::edit(&table, proposal).await?;
    }
    Ok(())
}

async fn start(fleet: &Fleet) -> Result<Server> {
    let platform = fleet.address();
    let text = format!(
        "[server]\nname = bench\nregion = ch-north\nfailure_domain = zrh-a\n\
         http = 127.0.0.1:0\npeers = 127.0.0.1:0\n[platform]\ntable = {platform}\n\
         objects = {platform}\ninstances = {platform}\n[timing]\nlinger = 0s\n"
    );
    let server = Server::start(Settings::parse("bench", &text)?).await?;
    let entry = Entry::new(server.addresses().http)?;
    let started_at = Instant::now();
    while entry.call(0).await.is_err() {
        let waited = started_at.elapsed();
        ensure!(
            waited < Duration::from_secs(30),
            "the server accepts no requests"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(server)
}

async fn start_worker() -> Result<(Standin, Direct)> {
    let rack = Rack::new("straight", "zrh-a", "ch-north");
    let standin = Standin::start(StandinSettings {
        name: "straight-w1".into(),
        capacity: rack.capacity,
        usage_lag: Duration::from_millis(500),
    })?;
    let client = worker::Client::new();
    let claim = Claim {
        epoch: 1,
        lease_ms: 600_000,
    };
    client.claim(standin.address(), claim).await?;
    let address = standin.address();
    Ok((standin, Direct { client, address }))
}

#[tokio::main]
async fn main() -> Result<()> {
    let fleet = Fleet::start(&Rack::both_owners())?;
    prepare(&fleet).await?;
    let (standin, worker) = start_worker().await?;
    let server = start(&fleet).await.context("the server did not start")?;
    let entry = Entry::new(server.addresses().http)?;

    let direct = latency(1, |id| worker.call(id)).await?;
    let total = latency(1, |id| entry.call(id)).await?;
    println!("latency of {CALL_COUNT} calls, one after another, in microseconds");
    println!("{:>22} {:>8} {:>8}", "", "p50", "p99");
    let row = |name: &str, p50: u64, p99: u64| println!("{name:>22} {p50:>8} {p99:>8}");
    let at = |latencies: &Histogram<u64>, part| latencies.value_at_quantile(part);
    row("worker directly", at(&direct, 0.5), at(&direct, 0.99));
    row("through the server", at(&total, 0.5), at(&total, 0.99));
    row(
        "added",
        at(&total, 0.5).saturating_sub(at(&direct, 0.5)),
        at(&total, 0.99).saturating_sub(at(&direct, 0.99)),
    );

    let rate = throughput(move |id| {
        let entry = entry.clone();
        async move { entry.call(id).await }
    });
    println!(
        "{:.0} requests per second end to end from {CALLER_COUNT} callers over {} workers",
        rate.await?,
        fleet.workers.len()
    );
    server.stop().await?;
    standin.stop().await?;
    fleet.stop().await
}
