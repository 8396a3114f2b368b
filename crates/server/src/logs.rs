//! Logs as JSON lines.

use std::io::Write;

use slog::{Drain, Logger, o};

use crate::settings::Server;

const QUEUE_LINES: usize = 4096;

/// Where lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// The standard output stream.
    Stdout,
    /// The standard error stream.
    Stderr,
}

/// Makes the root logger of a server.
///
/// Lines that can't be written are dropped rather than holding up the server.
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
        .chan_size(QUEUE_LINES)
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

/// Writes the error that ends the process.
pub fn fatal(error: &anyhow::Error) {
    let line = serde_json::json!({"level": "CRIT", "msg": format!("{error:#}")});
    // Nothing is left to report a failing standard error stream to.
    let _ = writeln!(std::io::stderr(), "{line}");
}
