//! Changes to what racks hold of teams' limits.
//!
//! This form takes demands and changes nothing.

use azurepath_decide::rack::Demand;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::Process;

/// Runs until `halt`.
pub async fn run(
    _process: Process,
    mut demands: mpsc::UnboundedReceiver<Vec<Demand>>,
    halt: CancellationToken,
) {
    loop {
        tokio::select! {
            () = halt.cancelled() => return,
            demand = demands.recv() => if demand.is_none() { return },
        }
    }
}
