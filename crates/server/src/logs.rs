//! Logging of JSON lines.

use std::io::Write;

use slog::{Drain, Logger, o};

use crate::settings::Server;

/// The maximum number of log lines that wait to be written.
const MAX_QUEUED_LINES: usize = 4096;

/// The stream that log lines are written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// The standard output stream.
    Stdout,
    /// The standard error stream.
    Stderr,
}

/// Creates the root logger of a server.
///
/// Lines that can't be written, or don't fit into the queue, are dropped so that logging never
/// blocks the server.
pub fn logger(server: &Server, output: Output) -> Logger {
    let stream: Box<dyn Write + Send> = match output {
        Output::Stdout => Box::new(std::io::stdout()),
        Output::Stderr => Box::new(std::io::stderr()),
    };
    let json = slog_json::Json::new(stream)
        .add_default_keys()
        .build()
        .ignore_res();
    let drain = slog_async::Async::new(json)
        .chan_size(MAX_QUEUED_LINES)
        .build()
        .fuse();
    Logger::root(
        drain,
        o!(
            "instance" => server.name.to_string(),
            "failure_domain" => server.failure_domain.to_string(),
            "region" => server.region.to_string(),
        ),
    )
}

/// Writes the error that ends the process to the standard error stream.
pub fn fatal(error: &anyhow::Error) {
    let line = serde_json::json!({"level": "CRIT", "msg": format!("{error:#}")});
    // A failure of the standard error stream can't be reported anywhere.
    let _ = writeln!(std::io::stderr(), "{line}");
}
