//! Measures the policies on generated workloads.
//!
//!     cargo run --release -p azurepath-decide --example measure -- [lumen|barafu|letter] [SECONDS]
//!
//! Without a workload, it measures all three. With `record-lumen`, `record-barafu` or
//! `record-faults`, it prints a trace instead.

#[path = "../tests/support/drive.rs"]
mod drive;
#[path = "../tests/support/faults/mod.rs"]
mod faults;
#[path = "../tests/support/workload.rs"]
mod workload;

use std::env;
use std::time::Duration;

use anyhow::{Context, bail};
use azurepath_decide::cell::Setup;
use azurepath_decide::policy::Policy;
use azurepath_decide::time::Time;
use azurepath_decide::trace::{self, Header, Record, Writer};
use strum::IntoEnumIterator;

use drive::{Driver, Measurement as Run};
use workload::Workload;

/// The seed of all workloads.
const SEED: u64 = 2_026;

fn main() -> anyhow::Result<()> {
    let mut args = env::args().skip(1);
    let name = args.next();
    let seconds = args
        .next()
        .map(|text| text.parse().context("SECONDS is not a number like 600"))
        .transpose()?;
    match name.as_deref() {
        None => {
            client_workloads("lumen", workload::lumen, seconds.unwrap_or(600));
            client_workloads("barafu", workload::barafu, seconds.unwrap_or(600));
            large_fleet(seconds.unwrap_or(300));
        }
        Some("lumen") => client_workloads("lumen", workload::lumen, seconds.unwrap_or(600)),
        Some("barafu") => client_workloads("barafu", workload::barafu, seconds.unwrap_or(600)),
        Some("record-lumen") => record(workload::lumen, seconds.unwrap_or(5))?,
        Some("record-barafu") => record(workload::barafu, seconds.unwrap_or(5))?,
        Some("record-faults") => record_faults(seconds.unwrap_or(SEED))?,
        Some("letter") => large_fleet(seconds.unwrap_or(300)),
        Some(other) => bail!("unknown workload {other:?}; use lumen, barafu or letter"),
    }
    Ok(())
}

/// The maximum size of a trace, in bytes.
const MAX_TRACE_BYTES: u64 = 1 << 20;

fn record(generate: impl Fn(u64, f64, u64) -> Workload, seconds: u64) -> anyhow::Result<()> {
    // One rack with more work than it can handle.
    let mut work = generate(SEED, 1.1, seconds);
    work.workers.truncate(8);
    let setup = drive::setup(Policy::Fair);
    let end = Time::from_millis(seconds * 1_000);
    let run = Driver::run(work, setup.clone(), end, true);
    write(setup, &run.records)
}

fn record_faults(seed: u64) -> anyhow::Result<()> {
    let plan = faults::Plan {
        record: true,
        ..faults::Plan::FAULTS
    };
    let mut world = faults::World::new(seed, plan);
    if let Err(text) = world.run() {
        bail!("{text}");
    }
    let recorded = world.records();
    let (setup, records) = recorded.context("the first process died, try another seed")?;
    write(setup, &records)
}

fn write(setup: Setup, records: &[Record]) -> anyhow::Result<()> {
    let header = Header {
        version: trace::VERSION,
        cell: Some(setup),
        router: None,
    };
    let mut writer = Writer::new(std::io::stdout().lock(), MAX_TRACE_BYTES, &header)?;
    for record in records {
        writer.write(record)?;
    }
    writer.flush()?;
    eprintln!("{} records, {} dropped", records.len(), writer.dropped());
    Ok(())
}

fn client_workloads(name: &str, generate: impl Fn(u64, f64, u64) -> Workload, seconds: u64) {
    for load in [0.70, 0.95, 1.10] {
        for policy in Policy::iter() {
            let work = generate(SEED, load, seconds);
            let end = Time::from_millis(seconds * 1_000);
            let run = Driver::run(work, drive::setup(policy), end, false);
            print(&format!("{name} {:.0}% {policy}", load * 100.0), run);
        }
    }
}

fn large_fleet(seconds: u64) {
    for load in [1.0, 1.1] {
        for policy in Policy::iter() {
            let work = workload::large_fleet(SEED, load, seconds);
            let from = Time::from_millis(60_000);
            let end = Time::from_millis(seconds * 1_000);
            let run = Driver::run_from(work, drive::setup(policy), from, end, false);
            print(&format!("letter {:.0}% {policy}", load * 100.0), run);
        }
    }
}

fn print(title: &str, mut run: Run) {
    println!("## {title}");
    for (class, waits) in run.meter.waits() {
        println!("wait {class}: {waits}");
    }
    let percent = |part: Option<f64>| {
        part.map_or("none waited".to_owned(), |part| {
            format!("{:.2}%", part * 100.0)
        })
    };
    println!("packing {}", percent(run.meter.packing()));
    println!("distance to share {}", percent(run.meter.distance()));
    let spent: Duration = run.latencies.iter().sum();
    run.latencies.sort_unstable();
    let quantile = |part: f64| run.latencies[((run.latencies.len() - 1) as f64 * part) as usize];
    println!(
        "inputs {} actions {} starts {} most running {}",
        run.events, run.actions, run.starts, run.max_running
    );
    println!(
        "inputs timed {} per second {:.0} p50 {:?} p99 {:?} p99.9 {:?} longest {:?}",
        run.latencies.len(),
        run.latencies.len() as f64 / spent.as_secs_f64(),
        quantile(0.5),
        quantile(0.99),
        quantile(0.999),
        quantile(1.0)
    );
    for (verdict, count) in &run.verdicts {
        println!("{verdict} {count}");
    }
    if let Some(fault) = run.violations.first() {
        println!("FAULTS {}: first {fault}", run.violations.len());
    }
    println!();
}
