//! Simulates servers, workers and the table under random faults for many seeds.
//!
//!     cargo run --release -p azurepath-decide --example faults -- \
//!         --seeds N --from S [--stops] [--log]

#[path = "../tests/support/faults/mod.rs"]
mod faults;

use std::collections::BTreeMap;
use std::env;
use std::process::ExitCode;

use anyhow::{Context, bail};
use faults::{Plan, World};

struct Options {
    seeds: u64,
    from: u64,
    plan: Plan,
    log: bool,
}

fn options() -> anyhow::Result<Options> {
    let mut options = Options {
        seeds: 100,
        from: 0,
        plan: Plan::FAULTS,
        log: false,
    };
    let mut args = env::args().skip(1);
    while let Some(arg) = args.next() {
        let mut number = || -> anyhow::Result<u64> {
            let text = args
                .next()
                .with_context(|| format!("{arg} needs a number"))?;
            text.parse()
                .with_context(|| format!("{arg} needs a number, not {text:?}"))
        };
        match arg.as_str() {
            "--seeds" => options.seeds = number()?,
            "--from" => options.from = number()?,
            "--stops" => options.plan = Plan::STOPS,
            "--log" => options.log = true,
            other => bail!("unknown option {other}; use --seeds N, --from S, --stops or --log"),
        }
    }
    Ok(options)
}

fn main() -> anyhow::Result<ExitCode> {
    let options = options()?;
    let mut failed = 0;
    let mut steps = 0;
    let mut verdicts: BTreeMap<String, u64> = BTreeMap::new();
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in options.from..options.from + options.seeds {
        let mut world = World::new(seed, options.plan);
        let result = world.run();
        steps += world.steps;
        for (label, count) in &world.verdicts {
            *verdicts.entry(label.clone()).or_default() += count;
        }
        for (name, count) in &world.faults {
            *counts.entry(name).or_default() += count;
        }
        if let Err(text) = result {
            failed += 1;
            let last = text.lines().last().unwrap_or_default();
            println!("{}", if options.log { &text } else { last });
        }
    }
    println!("seeds {} failed {failed} steps {steps}", options.seeds);
    println!("verdicts {verdicts:?}");
    println!("faults {counts:?}");
    if failed > 0 {
        println!("show the log of a failed seed with --seeds 1 --from SEED --log");
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}
