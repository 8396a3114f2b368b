//! The `usage` command.

use std::net::SocketAddr;

use azurepath_decide::usage::Period;
use azurepath_services::usage::Record;
use azurepath_services::{object, table, usage};
use serde_json::{Value, json};

use crate::cli;
use crate::exit::{Exit, Failure};
use crate::output::{self, Format};

/// The environment variable with the address of the platform's services.
const PLATFORM_VARIABLE: &str = "AZUREPATH_PLATFORM";

/// Verifies the sealed segments and prints the bill that is computed from them.
pub(crate) async fn run(format: Format, options: &cli::Usage) -> Result<Exit, Failure> {
    let verify = match options.words.as_slice() {
        [] => false,
        [word] if word == "verify" => true,
        _ => {
            return Err(Failure::usage(
                "type azurectl usage or azurectl usage verify",
            ));
        }
    };
    let platform = platform(options)?;
    let (objects, table) = (object::Client::new(platform), table::Client::new(platform));
    let record = usage::read(&objects, &table)
        .await
        .map_err(|error| Failure::new(Exit::Unavailable, error.to_string()))?;
    for fault in &record.faults {
        eprintln!("azurectl: {fault}");
    }
    if verify {
        println!(
            "{} segments, {} faults",
            record.segments,
            record.faults.len()
        );
    } else {
        print(format, &record, options);
    }
    Ok(if record.faults.is_empty() {
        Exit::Done
    } else {
        Exit::Faulty
    })
}

fn print(format: Format, record: &Record, options: &cli::Usage) {
    let period = Period {
        from_ms: options.from.map_or(0, |day| day.begin_ms),
        to_ms: options.to.map_or(u64::MAX, |day| day.begin_ms),
    };
    let teams = record.bill.teams(period).into_iter();
    let rows: Vec<Value> = teams
        .filter(|(team, _)| options.team.as_deref().is_none_or(|only| *only == **team))
        .map(|(team, amount)| {
            let mut row = json!({"team": team});
            if let (Some(row), Value::Object(amount)) = (row.as_object_mut(), json!(amount)) {
                row.extend(amount);
            }
            row
        })
        .collect();
    match format {
        Format::Table => print!("{}", output::table(&rows)),
        Format::Json => rows.iter().for_each(|row| println!("{row}")),
    }
}

fn platform(options: &cli::Usage) -> Result<SocketAddr, Failure> {
    let address = options.platform.clone();
    let address = address.or_else(|| std::env::var(PLATFORM_VARIABLE).ok());
    let invalid = || {
        Failure::usage(format!(
            "no valid platform address specified; type --platform 10.0.0.9:9000 or set {PLATFORM_VARIABLE}"
        ))
    };
    address.ok_or_else(invalid)?.parse().map_err(|_| invalid())
}
