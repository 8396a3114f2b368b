//! Instances whose links carry little.

#[path = "support/proxy.rs"]
mod proxy;
mod support;

use anyhow::Result;
use azurepath_standin::cluster::{KEY, configuration};
use proxy::Proxy;
use support::cluster::{Cluster, id, state, submit_until};
use support::{Process, until};

/// The speed of a link of 2 Mbit/s.
const LINK_BYTES_PER_S: f64 = 250_000.0;

/// The same for the settings of an instance.
const NARROW: &str = "link = 2\n";

/// The length of a configuration in bytes.
const CONFIGURATION_BYTES: usize = 262_144;

/// The speed of a link that carries the configuration, in base64, in two seconds.
const CONFIGURATION_LINK_BYTES_PER_S: f64 = CONFIGURATION_BYTES as f64 * 4.0 / 3.0 / 2.0;

/// The length of a job's payload in bytes.
const PAYLOAD_BYTES: usize = 3_900;

/// Jobs that take three seconds and more on the link.
const JOBS: u64 = 160;

/// Submits jobs with long payloads, which wait for workers, at the same time.
async fn submit_all(instance: &Process) -> Vec<String> {
    let body = serde_json::json!({
        "spec": "x".repeat(PAYLOAD_BYTES),
        "phases": [{"count": 2, "cpu": 500, "memMb": 256, "estMs": 1_000}],
    });
    let body = body.to_string();
    let ids: Vec<String> = (0..JOBS).map(id).collect();
    let submissions = ids.iter().map(|id| async {
        submit_until(&[instance], id, &body).await;
    });
    futures::future::join_all(submissions).await;
    ids
}

/// Returns how often an instance has claimed the leadership.
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

#[tokio::test]
async fn write_too_long_for_link() -> Result<()> {
    let cluster = Cluster::start(0)?;
    let link = Proxy::start_narrow(cluster.fleet.store.address(), LINK_BYTES_PER_S).await?;
    let leader = cluster.instance_via("a", link.address, NARROW).await?;
    submit_all(&leader).await;
    assert!(leader.logged("write failed").is_none());
    Ok(())
}

/// The longest configuration that the users announce.
#[tokio::test]
async fn configuration_too_long_for_link() -> Result<()> {
    let cluster = Cluster::start(0)?;
    let mut configuration = configuration(2, &[KEY]);
    let unused = "x".repeat(CONFIGURATION_BYTES);
    configuration["limits"] = serde_json::json!({ "unused": unused });
    cluster.fleet.store.put("op", "config", &configuration);
    let store = cluster.fleet.store.address();
    let link = Proxy::start_narrow(store, CONFIGURATION_LINK_BYTES_PER_S).await?;
    cluster.instance_via("a", link.address, NARROW).await?;
    Ok(())
}
