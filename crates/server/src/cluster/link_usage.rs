//! Logs when calls begin and cease to fill the instance's network link.

use std::time::Duration;

use slog::{info, warn};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Context;
use crate::metrics::link::Change;

/// The interval over which the rate of calls is measured.
const INTERVAL: Duration = Duration::from_secs(1);

/// Watches the link until `halt` is cancelled.
pub(super) async fn run(context: Context, halt: CancellationToken) {
    let mut begun = Instant::now();
    loop {
        tokio::select! {
            () = halt.cancelled() => return,
            () = tokio::time::sleep(INTERVAL) => {}
        }
        let elapsed = begun.elapsed();
        begun = Instant::now();
        let link_kbps = context.settings().link_kbps;
        for change in context.counts.link.end_interval(elapsed, link_kbps) {
            log(&context, &change, link_kbps);
        }
    }
}

fn log(context: &Context, change: &Change, link_kbps: u64) {
    let direction = change.direction.to_string();
    if !change.busy {
        info!(context.log, "link no longer busy";
            "direction" => direction, "kbps" => change.kbps, "link_kbps" => link_kbps);
        return;
    }
    let kinds = change.kinds.iter();
    let kinds: Vec<String> = kinds.map(|(kind, kbps)| format!("{kind}={kbps}")).collect();
    warn!(context.log, "link busy";
        "direction" => direction, "kbps" => change.kbps, "link_kbps" => link_kbps,
        "kinds" => kinds.join(" "));
}
