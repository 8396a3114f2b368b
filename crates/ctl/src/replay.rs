//! `replay`.

use std::fs::File;
use std::io::BufReader;

use crate::cli;
use crate::exit::{Exit, Failure};

/// Feeds a recorded trace to the machine and prints what came of it.
pub(crate) fn run(options: &cli::Replay) -> Result<Exit, Failure> {
    let [trace] = options.trace.as_slice() else {
        return Err(Failure::usage(
            "one trace is meant; type azurectl replay TRACE",
        ));
    };
    let file = File::open(trace)
        .map_err(|error| Failure::usage(format!("{trace}: {error}; give the path of a trace")))?;
    let outcome = azurepath_decide::replay::run(BufReader::new(file))
        .map_err(|error| Failure::new(Exit::Faulty, format!("{trace}: {error}")))?;
    println!("{outcome}");
    Ok(Exit::Done)
}
