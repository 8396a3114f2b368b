//! Applies changed settings while the process runs.

use std::sync::Arc;

use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::settings::cluster::{Settings, Source};

/// Reads the settings file after each signal until `halt` is cancelled.
///
/// Invalid settings are ignored. Names and addresses apply from the next start.
pub(super) async fn run(
    mut source: Source,
    settings: watch::Sender<Arc<Settings>>,
    log: Logger,
    halt: CancellationToken,
) {
    loop {
        let signal = tokio::select! {
            () = halt.cancelled() => return,
            signal = source.hangups.recv() => signal,
        };
        if signal.is_none() {
            return;
        }
        match Settings::load(&source.path) {
            Ok(Some(changed)) => {
                let restart = settings.borrow().needs_restart(&changed);
                info!(log, "settings applied"; "needs_restart" => restart);
                settings.send_replace(Arc::new(changed));
            }
            Ok(None) => {
                warn!(log, "settings not applied"; "error" => "the section [cluster] is missing");
            }
            Err(error) => warn!(log, "settings not applied"; "error" => %error),
        }
    }
}
