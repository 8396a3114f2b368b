//! Plays a case: starts instances of azurepath on stand-ins, and checks a rule from what clients and
//! workers see. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod cases;
mod deployment;
mod http;
mod json;
mod platform;
mod record;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, directory, output] = arguments.as_slice() else {
        eprintln!("usage: standin CASE PROGRAM DIRECTORY RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(output)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{output}: {error}");
            return ExitCode::from(2);
        }
    };
    record.note(&format!(
        "case {case}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    let setting = deployment::Setting {
        program: program.into(),
        directory: directory.into(),
        record: record.clone(),
        trouble,
    };
    let outcome = match case.as_str() {
        "service" => cases::service(&setting),
        "pending" => cases::pending(&setting),
        "carried" => cases::carried(&setting),
        "kept" => cases::kept(&setting),
        "route" => cases::route(&setting),
        "quota" => cases::quota(&setting),
        _ => Err(format!("no case {case}")),
    };
    match outcome {
        Ok(None) => {
            record.note("the rule held");
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Some(broken)) => {
            record.note(&format!("BROKEN: {broken}"));
            println!("broken: {broken}");
            ExitCode::from(1)
        }
        Err(error) => {
            record.note(&format!("could not run: {error}"));
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
