//! Runs three servers on embedded stand-ins with four racks of two owners and eight workers.
//! Submits requests, a batch job and a gang, and prints which worker ran which tasks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use azurepath_decide::job::State;
use azurepath_decide::name::Name;
use azurepath_decide::usage::Period;
use azurepath_server::Server;
use azurepath_server::settings::Settings;
use azurepath_server::version::key;
use azurepath_services::table::Table;
use azurepath_services::{object, table, usage};
use azurepath_standin::fleet::{Fleet, Rack};
use serde_json::{Value, json};
use volo_http::body::BodyConversion;
use volo_http::client::Client;

/// How long the fleet may take to start, and each job to finish.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The pause between two attempts or two reads of a job's state.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The servers with their failure domains and regions.
const SERVERS: [(&str, &str, &str); 3] = [
    ("entry-1", "zrh-a", "ch-north"),
    ("entry-2", "zrh-a", "ch-north"),
    ("entry-3", "dar-kariakoo", "dar"),
];

/// The key of each team; the part before the dot is the key's name.
const KEYS: [(&str, &str); 2] = [
    ("pairing", "pairing-1.c4f1a0b7"),
    ("plans", "plans-1.9be2d355"),
];

/// The key of the operator that submits the documents.
const OPERATOR: &str = "operator.5d41402abc4b2a76";

#[tokio::main]
async fn main() -> Result<()> {
    let fleet = Fleet::start(&Rack::both_owners())?;
    println!(
        "platform at {}, {} workers",
        fleet.address(),
        fleet.workers.len()
    );
    let mut servers = Vec::new();
    for (name, failure_domain, region) in SERVERS {
        let settings = settings(name, failure_domain, region, fleet.address())?;
        let server = Server::start(settings).await?;
        println!("{name} in {failure_domain} at {}", server.addresses().http);
        servers.push(server);
    }
    let client = Client::default();
    let entries: Vec<SocketAddr> = servers.iter().map(|it| it.addresses().http).collect();
    for (number, (path, document)) in documents().into_iter().enumerate() {
        apply(&client, entries[number % entries.len()], path, &document).await?;
    }
    send_requests(&client, &entries).await?;
    apply(&client, entries[0], "jobs/dawn-plans", &job(6, false)).await?;
    apply(&client, entries[1], "jobs/load-sheets", &job(4, true)).await?;
    let table = table::Client::new(fleet.address());
    for name in ["dawn-plans", "load-sheets"] {
        wait_until_finished(&table, name).await?;
    }
    print_tasks(&fleet);
    for server in servers {
        server.stop().await?;
    }
    print_usage(&fleet).await?;
    fleet.stop().await?;
    println!("stopped");
    Ok(())
}

fn settings(name: &str, domain: &str, region: &str, platform: SocketAddr) -> Result<Settings> {
    let text = format!(
        "[server]\nname = {name}\nregion = {region}\nfailure_domain = {domain}\n\
         http = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
         [platform]\ntable = {platform}\nobjects = {platform}\ninstances = {platform}\n\
         [operator]\nhash = {}\n[timing]\nlinger = 200ms\n",
        key::hash(OPERATOR)
    );
    Settings::parse("quickstart", &text).context("invalid settings of the quickstart")
}

/// Returns the teams, their keys and a queue.
fn documents() -> Vec<(&'static str, Value)> {
    let team = |account: &str, share: u32| {
        let limit = json!({
            "millicores": 128_000, "memory_mib": 262_144, "accelerators": 8, "slots": 32,
        });
        json!({"account": account, "share": share, "limit": limit})
    };
    let [pairing, plans] =
        KEYS.map(|(team, token)| json!({"team": team, "hash": key::hash(token)}));
    let queue = json!({
        "class": "urgent", "estimate_ms": 20, "idempotent": true,
        "size": {"millicores": 1_000, "memory_mib": 256, "slots": 1},
    });
    vec![
        ("teams/pairing", team("lumenbruecke", 60)),
        ("teams/plans", team("barafu-pwani", 40)),
        ("keys/pairing-1", pairing),
        ("keys/plans-1", plans),
        ("queues/checks", queue),
    ]
}

fn job(tasks: u32, gang: bool) -> Value {
    json!({
        "team": "plans", "tasks": tasks, "gang": gang, "estimate_ms": 300, "retries": 1,
        "size": {"millicores": 4_000, "memory_mib": 4_096, "slots": 1},
    })
}

/// Submits a document, and retries while the fleet starts.
async fn apply(client: &Client, entry: SocketAddr, path: &str, document: &Value) -> Result<()> {
    let started_at = Instant::now();
    loop {
        let response = client
            .put(format!("http://{entry}/v1/{path}"))
            .header("authorization", format!("Bearer {OPERATOR}"))
            .data(document.to_string())
            .send()
            .await?;
        let status = response.status();
        let body = response.into_string().await?;
        if status.is_success() {
            println!("{path} is accepted");
            return Ok(());
        }
        ensure!(
            started_at.elapsed() < TIMEOUT,
            "{path}: status {status}: {body}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends requests of both teams through all servers.
async fn send_requests(client: &Client, entries: &[SocketAddr]) -> Result<()> {
    for number in 0..12 {
        let (team, token) = KEYS[number % KEYS.len()];
        let entry = entries[number % entries.len()];
        let text = format!("answer {number}");
        let (worker, answer) = send_request(client, entry, token, &text).await?;
        ensure!(answer == text, "request {number} got {answer:?}");
        println!("request {number} of {team} through {entry} ran on {worker}");
    }
    Ok(())
}

/// Sends one request, and retries while the fleet starts.
async fn send_request(
    client: &Client,
    entry: SocketAddr,
    token: &str,
    text: &str,
) -> Result<(String, String)> {
    let started_at = Instant::now();
    loop {
        let payload = json!({"run_ms": 20, "answer": text}).to_string();
        let response = client
            .post(format!("http://{entry}/v1/queues/checks/requests"))
            .header("authorization", format!("Bearer {token}"))
            .header("azurepath-patience", "5s")
            .data(payload)
            .send()
            .await?;
        let status = response.status();
        let worker = response.headers().get("azurepath-worker").cloned();
        let body = response.into_string().await?;
        if status.is_success() {
            let worker = worker.context("the answer names no worker")?;
            return Ok((worker.to_str()?.to_owned(), body));
        }
        ensure!(started_at.elapsed() < TIMEOUT, "status {status}: {body}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a job has finished, and prints its result.
async fn wait_until_finished(table: &table::Client, name: &str) -> Result<()> {
    let started_at = Instant::now();
    loop {
        let row = table.read(&format!("job/batch/{name}")).await?;
        let state = row.map(|row| serde_json::from_value::<State>(row.value));
        let state = state.transpose()?.unwrap_or_default();
        if state.finished {
            println!("job {name}: {} done, {} failed", state.done, state.failed);
            return Ok(());
        }
        ensure!(
            started_at.elapsed() < TIMEOUT,
            "job {name} has not finished: {state:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Prints the usage of each team, which both owners can recompute from the platform.
async fn print_usage(fleet: &Fleet) -> Result<()> {
    let objects = object::Client::new(fleet.address());
    let table = table::Client::new(fleet.address());
    let record = usage::read(&objects, &table).await?;
    ensure!(record.faults.is_empty(), "{:?}", record.faults);
    let period = Period {
        from_ms: 0,
        to_ms: u64::MAX,
    };
    for (team, amount) in record.bill.teams(period) {
        let core_seconds = amount.millicore_ms as f64 / 1_000_000.0;
        println!(
            "{team}: {} attempts, {core_seconds:.1} core seconds",
            amount.attempts
        );
    }
    Ok(())
}

/// Prints how many tasks of which team and kind each worker ran.
fn print_tasks(fleet: &Fleet) {
    println!("{:<22} {:<10} {:<14} tasks", "worker", "team", "what");
    for (worker, record) in fleet.records() {
        let mut counts: BTreeMap<(Name, Name), u32> = BTreeMap::new();
        for begun in record.begun {
            *counts.entry((begun.team, begun.kind)).or_default() += 1;
        }
        for ((team, kind), count) in counts {
            println!("{worker:<22} {team:<10} {kind:<14} {count}");
        }
    }
}
