//! The `replay` command.

use std::fs::File;
use std::io::BufReader;

use crate::cli;
use crate::exit::{Exit, Failure};

/// Replays a recorded trace and prints the outcome.
pub(crate) fn run(options: &cli::Replay) -> Result<Exit, Failure> {
    let [trace] = options.trace.as_slice() else {
        return Err(Failure::usage(
            "expected one trace; type azurectl replay TRACE",
        ));
    };
    let file = File::open(trace).map_err(|error| {
        Failure::usage(format!(
            "{trace}: {error}; TRACE must be the path of a trace file"
        ))
    })?;
    let outcome = azurepath_decide::replay::run(BufReader::new(file))
        .map_err(|error| Failure::new(Exit::Faulty, format!("{trace}: {error}")))?;
    println!("{outcome}");
    Ok(Exit::Done)
}
