//! Logs as JSON lines on the standard error stream.

use std::io::Write;

use slog::{Drain, Logger, o};

use crate::settings::Server;

const QUEUE_LINES: usize = 4096;

/// Makes the root logger of a server.
///
/// Lines that can't be written are dropped rather than holding up the server.
pub fn logger(server: &Server) -> Logger {
    let json = slog_json::Json::new(std::io::stderr())
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
