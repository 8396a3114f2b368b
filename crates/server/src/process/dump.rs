//! The state of the whole process as JSON.

use serde_json::{Value, json};

use super::Process;

/// Returns the state of the process and its tasks.
pub async fn dump(process: &Process) -> Value {
    let engine = process.engine.dump().await.unwrap_or_default();
    let router = process.router.dump().await.unwrap_or_default();
    let jobs = process.jobs.dump().await.unwrap_or_default();
    let peers = process.peers.dump().await.unwrap_or_default();
    let config = process.config.dump().await;
    let server = &process.settings.server;
    json!({
        "server": server.name,
        "failure_domain": server.failure_domain,
        "region": server.region,
        "incarnation": process.incarnation,
        "version": env!("CARGO_PKG_VERSION"),
        "http": process.addresses.http,
        "peers_address": process.addresses.peers,
        "phase": process.phase.borrow().to_string(),
        "in_flight": process.inflight.count(),
        "revision": process.snapshot.borrow().revision,
        "view": **process.view.borrow(),
        "instances": process.instances.borrow().len(),
        "config": config,
        "engine": engine,
        "router": router,
        "jobs": jobs,
        "peers": peers,
    })
}
