//! Instances whose links carry little.

#[path = "support/proxy.rs"]
mod proxy;
mod support;

use anyhow::Result;
use proxy::Proxy;
use support::cluster::{Cluster, id, state, submit_until};

use support::{Process, until};

/// The speed of a link of 2 Mbit/s.
const LINK_BYTES_PER_S: f64 = 250_000.0;

/// The same for the settings of an instance.
const NARROW: &str = "link = 2\n";

/// Jobs that take three seconds and more on the link.
const JOBS: u64 = 160;

/// Accepts jobs with long payloads that wait for workers.
async fn submit_all(instance: &Process) -> Vec<String> {
    let body = serde_json::json!({
        "spec": "x".repeat(3_900),
        "phases": [{"count": 2, "cpu": 500, "memMb": 256, "estMs": 1_000}],
    });
    let ids: Vec<String> = (0..JOBS).map(id).collect();
    for id in &ids {
        submit_until(&[instance], id, &body.to_string()).await;
    }
    ids
}

fn claims(instance: &Process) -> usize {
    let is_claim = |event: &&serde_json::Value| event["msg"] == "leadership claimed";
    instance.log().iter().filter(is_claim).count()
}

#[tokio::test]
async fn endless_takeover() -> Result<()> {
    let cluster = Cluster::start(0)?;
    let mut leader = cluster.instance("a").await?;
    let ids = submit_all(&leader).await;
    let store = cluster.fleet.store.address();
    let links = [
        Proxy::start_narrow(store, LINK_BYTES_PER_S).await?,
        Proxy::start_narrow(store, LINK_BYTES_PER_S).await?,
    ];
    let others = [
        cluster.instance_via("b", links[0].address, NARROW).await?,
        cluster.instance_via("c", links[1].address, NARROW).await?,
    ];
    leader.kill()?;
    for id in &ids {
        for instance in &others {
            until(async || state(instance.http, id).await.as_deref() == Some("queued")).await;
        }
    }
    let claims: usize = others.iter().map(claims).sum();
    assert_eq!(claims, 1, "the other instance claims while this one reads");
    Ok(())
}
