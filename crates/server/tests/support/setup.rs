//! The setup of listeners for the calls of peers.

use std::time::Duration;

use azurepath_server::connection::listener::Setup;
use azurepath_server::connection::ping::Timing;
use azurepath_server::metrics::Metrics;
use azurepath_server::process::stop::Inflight;
use slog::{Discard, Logger, o};

/// Returns the setup of a listener whose connections are not pinged during a test.
pub(crate) fn without_pings() -> anyhow::Result<Setup> {
    Ok(Setup {
        ping_timing: Timing {
            interval: Duration::from_secs(60),
            timeout: Duration::from_secs(60),
        },
        connections: Inflight::default(),
        faults: Metrics::new()?.peer_faults,
        log: Logger::root(Discard, o!()),
    })
}
