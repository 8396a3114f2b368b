//! Measures how long a configuration change takes to be in force on nine servers, and the
//! background traffic of an idle fleet.
//!
//! Run it with `cargo run --release -p azurepath-server --example in_force`.

use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use azurepath_decide::config::{Condition, Proposal};
use azurepath_decide::resource::{Kind, Resource, Team};
use azurepath_decide::size::Size;
use azurepath_server::Server;
use azurepath_server::settings::Settings;
use azurepath_standin::fleet::{Fleet, Rack};

const DOMAINS: [(&str, &str); 3] = [
    ("zrh-a", "ch-north"),
    ("zrh-b", "ch-north"),
    ("gva-a", "ch-west"),
];
const SERVER_COUNT: usize = 9;
const RACK_COUNT: usize = 7;
const WORKERS_PER_RACK: u32 = 8;
const CHANGE_COUNT: usize = 200;
const IDLE_DURATION: Duration = Duration::from_secs(20);

/// Totals since the start.
struct Totals {
    reads: u64,
    writes: u64,
    loopback_bytes: u64,
}

#[tokio::main]
async fn main() -> Result<()> {
    let racks: Vec<Rack> = (0..RACK_COUNT)
        .map(|index| {
            let (domain, region) = DOMAINS[index % DOMAINS.len()];
            let mut rack = Rack::new(&format!("{domain}-r{index}"), domain, region);
            rack.workers = WORKERS_PER_RACK;
            rack
        })
        .collect();
    let fleet = Fleet::start(&racks)?;
    let mut servers = Vec::new();
    for index in 0..SERVER_COUNT {
        servers.push(Server::start(settings(&fleet, index)?).await?);
    }
    wait_until_settled(&servers).await;
    measure_idle(&fleet).await?;
    measure_changes(&servers).await?;
    for server in servers {
        server.stop().await?;
    }
    fleet.stop().await
}

fn settings(fleet: &Fleet, index: usize) -> Result<Settings> {
    let (domain, region) = DOMAINS[index % DOMAINS.len()];
    let platform = fleet.address();
    let text = format!(
        "[server]\nname = s{index}\nregion = {region}\nfailure_domain = {domain}\n\
         http = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
         [platform]\ntable = {platform}\nobjects = {platform}\ninstances = {platform}\n"
    );
    Ok(Settings::parse("in_force.ini", &text)?)
}

/// Waits until every server knows all others and all racks have owners.
async fn wait_until_settled(servers: &[Server]) {
    let settled = |server: &Server| {
        let view = server.process().view.borrow().clone();
        let now = server.process().clock.now();
        let owned = view.racks.keys().all(|rack| view.owner(rack).is_some());
        let current = server.process().config.is_current(now);
        view.servers.len() == SERVER_COUNT && view.racks.len() == RACK_COUNT && owned && current
    };
    while !servers.iter().all(settled) {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // Racks that were claimed before all servers had started move to their preferred owners.
    tokio::time::sleep(IDLE_DURATION).await;
}

async fn measure_idle(fleet: &Fleet) -> Result<()> {
    let before = totals(fleet)?;
    tokio::time::sleep(IDLE_DURATION).await;
    let after = totals(fleet)?;
    let rate = |before: u64, after: u64| (after - before) as f64 / IDLE_DURATION.as_secs_f64();
    let reads = rate(before.reads, after.reads);
    let writes = rate(before.writes, after.writes);
    let bytes = rate(before.loopback_bytes, after.loopback_bytes) / SERVER_COUNT as f64;
    println!("at rest: {reads:.1} table reads/s, {writes:.1} table writes/s");
    println!("at rest: {bytes:.0} B/s per server on the loopback, all traffic of all kinds");
    Ok(())
}

fn totals(fleet: &Fleet) -> Result<Totals> {
    let record = fleet.platform.record();
    let interfaces = std::fs::read_to_string("/proc/net/dev")?;
    let line = interfaces
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let first = line.and_then(|line| line.split_whitespace().next());
    Ok(Totals {
        reads: record.reads,
        writes: record.writes,
        loopback_bytes: first.and_then(|text| text.parse().ok()).unwrap_or(0),
    })
}

async fn measure_changes(servers: &[Server]) -> Result<()> {
    let mut durations = Vec::new();
    for number in 0..CHANGE_COUNT {
        let start = Instant::now();
        let accepted = servers[number % SERVER_COUNT]
            .process()
            .config
            .edit(proposal(number))
            .await?;
        durations.push(start.elapsed());
        ensure!(
            accepted.is_complete(),
            "change {number} is pending: {accepted:?}"
        );
        for server in servers {
            let revision = server.process().snapshot.borrow().revision;
            ensure!(
                revision >= accepted.change.revision,
                "change {number} is accepted but not in force"
            );
        }
    }
    durations.sort_unstable();
    let at = |part: f64| durations[((durations.len() - 1) as f64 * part) as usize];
    println!(
        "in force on {SERVER_COUNT} servers, {CHANGE_COUNT} changes: p50 {:?}, p99 {:?}, max {:?}",
        at(0.5),
        at(0.99),
        at(1.0)
    );
    Ok(())
}

fn proposal(number: usize) -> Proposal {
    let team = Team {
        name: "dispatch".into(),
        account: "barafu-pwani".into(),
        share: 1 + u32::try_from(number).unwrap_or(0),
        limit: Size {
            millicores: 8_000,
            memory_mib: 16_000,
            accelerators: 0,
            slots: 8,
        },
    };
    Proposal {
        write: format!("measure-{number}").into(),
        kind: Kind::Team,
        name: "dispatch".into(),
        resource: Some(Resource::Team(team)),
        condition: Condition::Any,
    }
}
