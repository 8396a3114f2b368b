//! The azurepath server as a library, so that one process can run several servers.

pub mod api;
pub mod cli;
pub mod cluster;
pub mod connection;
pub mod logs;
pub mod metrics;
pub mod process;
pub mod request;
pub mod settings;
pub mod version;

use std::future::Future;

use settings::Settings;

pub use process::Server;

/// Runs a server until `shutdown` is ready, then stops it gracefully.
///
/// # Errors
///
/// Returns an error if an address can't be listened on or a task of the server has failed.
pub async fn run(settings: Settings, shutdown: impl Future<Output = ()>) -> anyhow::Result<()> {
    let server = Server::start(settings).await?;
    shutdown.await;
    server.stop().await
}
