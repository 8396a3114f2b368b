//! Measures the policies on generated workloads.
//!
//!     cargo run --release -p azurepath-decide --example measure -- [lumen|barafu|letter] [SECONDS]
//!
//! With `record-lumen`, `record-barafu` or `record-faults` it prints a trace instead.

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

use drive::{Drive, Result as Run};
use workload::Workload;

/// The seed of all workloads.
const SEED: u64 = 2_026;

fn main() -> anyhow::Result<()> {
    let mut args = env::args().skip(1);
    let which = args.next();
    let seconds = args
        .next()
        .map(|text| text.parse().context("SECONDS is no number; give 600"))
        .transpose()?;
    match which.as_deref() {
        None => {
            owners("lumen", workload::lumen, seconds.unwrap_or(600));
            owners("barafu", workload::barafu, seconds.unwrap_or(600));
            letter(seconds.unwrap_or(300));
        }
        Some("lumen") => owners("lumen", workload::lumen, seconds.unwrap_or(600)),
        Some("barafu") => owners("barafu", workload::barafu, seconds.unwrap_or(600)),
        Some("record-lumen") => record(workload::lumen, seconds.unwrap_or(5))?,
        Some("record-barafu") => record(workload::barafu, seconds.unwrap_or(5))?,
        Some("record-faults") => record_faults(seconds.unwrap_or(SEED))?,
        Some("letter") => letter(seconds.unwrap_or(300)),
        Some(other) => bail!("no workload {other:?}; give lumen, barafu or letter"),
    }
    Ok(())
}

/// The longest trace, in bytes.
const TRACE_LIMIT: u64 = 1 << 20;

fn record(draw: impl Fn(u64, f64, u64) -> Workload, seconds: u64) -> anyhow::Result<()> {
    // One rack with more work than it can take.
    let mut work = draw(SEED, 1.1, seconds);
    work.workers.truncate(8);
    let setup = drive::setup(Policy::Fair);
    let end = Time::from_millis(seconds * 1_000);
    let run = Drive::run(work, setup.clone(), end, true);
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
    let (setup, records) = recorded.context("the first process died; take another seed")?;
    write(setup, &records)
}

fn write(setup: Setup, records: &[Record]) -> anyhow::Result<()> {
    let header = Header {
        version: trace::VERSION,
        cell: Some(setup),
        router: None,
    };
    let mut writer = Writer::new(std::io::stdout().lock(), TRACE_LIMIT, &header)?;
    for record in records {
        writer.write(record)?;
    }
    writer.flush()?;
    eprintln!("{} records, {} dropped", records.len(), writer.dropped());
    Ok(())
}

fn owners(name: &str, draw: impl Fn(u64, f64, u64) -> Workload, seconds: u64) {
    for load in [0.70, 0.95, 1.10] {
        for policy in Policy::iter() {
            let work = draw(SEED, load, seconds);
            let end = Time::from_millis(seconds * 1_000);
            let run = Drive::run(work, drive::setup(policy), end, false);
            show(&format!("{name} {:.0}% {policy}", load * 100.0), run);
        }
    }
}

fn letter(seconds: u64) {
    for load in [1.0, 1.1] {
        for policy in Policy::iter() {
            let work = workload::letter(SEED, load, seconds);
            let from = Time::from_millis(60_000);
            let end = Time::from_millis(seconds * 1_000);
            let run = Drive::run_from(work, drive::setup(policy), from, end, false);
            show(&format!("letter {:.0}% {policy}", load * 100.0), run);
        }
    }
}

fn show(title: &str, mut run: Run) {
    println!("## {title}");
    for (class, spread) in run.meter.waits() {
        println!("wait {class}: {spread}");
    }
    let percent = |part: Option<f64>| {
        part.map_or("none waited".to_owned(), |part| {
            format!("{:.2}%", part * 100.0)
        })
    };
    println!("packing {}", percent(run.meter.packing()));
    println!("distance to share {}", percent(run.meter.distance()));
    let spent: Duration = run.times.iter().sum();
    run.times.sort_unstable();
    let at = |part: f64| run.times[((run.times.len() - 1) as f64 * part) as usize];
    println!(
        "inputs {} actions {} starts {} most running {}",
        run.events, run.actions, run.starts, run.most_running
    );
    println!(
        "inputs timed {} per second {:.0} p50 {:?} p99 {:?} p99.9 {:?} longest {:?}",
        run.times.len(),
        run.times.len() as f64 / spent.as_secs_f64(),
        at(0.5),
        at(0.99),
        at(0.999),
        at(1.0)
    );
    for (verdict, count) in &run.verdicts {
        println!("{verdict} {count}");
    }
    if let Some(fault) = run.faults.first() {
        println!("FAULTS {}: first {fault}", run.faults.len());
    }
    println!();
}
