//! Fleets and jobs that are large for the store's limits on rows and calls.

mod support;

use anyhow::Result;
use azurepath_standin::cluster::PATH_PREFIX;
use http::Method;
use support::call;
use support::cluster::{Cluster, id, job_body, submit, submit_until};

use azurepath_standin::cluster::KEY;

/// The length of a payload that makes up most of its job's row, in bytes.
const PAYLOAD_BYTES: usize = 3_000;

/// How long the task with that payload runs.
const TASK_MS: u64 = 1_500;

/// Registers workers that can't be reached beside those that run.
fn register(cluster: &Cluster, count: usize) {
    let entry = cluster.fleet.workers[0].entry();
    for number in 0..count {
        let mut entry = entry.clone();
        entry["addr"] = format!("127.0.0.1:{}", 1 + number % 1_000).into();
        let id = format!("absent-{number}");
        cluster.fleet.store.put("servers", &id, &entry);
    }
}

#[tokio::test]
async fn many_workers() -> Result<()> {
    let cluster = Cluster::start(2)?;
    register(&cluster, 2_000);
    let instance = cluster.instance("a").await?;
    let ids: Vec<String> = (0..20).map(id).collect();
    for id in &ids {
        submit_until(&[&instance], id, &job_body(2, 10, false)).await;
    }
    cluster.wait_until_completed(&[&instance], &ids).await;
    assert_eq!(cluster.fleet.duplicate_runs(), 0);
    assert!(instance.logged("write rejected").is_none());
    assert!(instance.logged("leading no more").is_none());
    Ok(())
}

/// Two hundred tasks, and a payload and names as long as they may be.
#[tokio::test]
async fn wide_jobs() -> Result<()> {
    let cluster = Cluster::start(2)?;
    let instance = cluster.instance("a").await?;
    let mut body: serde_json::Value = serde_json::from_str(&job_body(200, 1, false))?;
    body["phases"][0]["cpu"] = 100.into();
    body["spec"] = format!("1{}", " ".repeat(3_999)).into();
    let ids: Vec<String> = (0..4).map(id).collect();
    for id in &ids {
        submit_until(&[&instance], id, &body.to_string()).await;
    }
    cluster.wait_until_completed(&[&instance], &ids).await;
    assert_eq!(cluster.fleet.started_runs(), 800);
    assert_eq!(cluster.fleet.duplicate_runs(), 0);
    Ok(())
}

#[tokio::test]
async fn oversized_job() -> Result<()> {
    let cluster = Cluster::start(2)?;
    let instance = cluster.instance("a").await?;
    let mut body: serde_json::Value = serde_json::from_str(&job_body(1, 10, false))?;
    body["phases"][0]["requires"] = "x".repeat(70_000).into();
    let answer = submit(instance.http, &id(1), &body.to_string()).await?;
    assert_eq!(answer.status, 413);
    let path = format!("{PATH_PREFIX}{}", id(1));
    let state = call(
        instance.http,
        Method::GET,
        &path,
        "",
        &[("credential", KEY)],
    );
    assert_eq!(state.await?.status, 410);
    submit_until(&[&instance], &id(2), &job_body(1, 10, false)).await;
    cluster.wait_until_completed(&[&instance], &[id(2)]).await;
    Ok(())
}

/// More tasks than an instance has memory for.
#[tokio::test]
async fn too_many_tasks() -> Result<()> {
    let cluster = Cluster::start(3)?;
    let instance = cluster.instance("a").await?;
    for body in [
        job_body(u32::MAX, 1, false),
        r#"{"spec":"1","phases":[{"count":1000}],"repeatCount":1000}"#.to_owned(),
    ] {
        assert_eq!(submit(instance.http, &id(1), &body).await?.status, 400);
    }
    submit_until(&[&instance], &id(2), &job_body(1, 10, false)).await;
    cluster.wait_until_completed(&[&instance], &[id(2)]).await;
    Ok(())
}

/// A payload is most of a job's row, and each accepted job is written through the leader's link.
#[tokio::test]
async fn long_payload_fills_the_leaders_link() -> Result<()> {
    let cluster = Cluster::start(2)?;
    let mut instance = cluster.instance("a").await?;
    let mut body: serde_json::Value = serde_json::from_str(&job_body(1, TASK_MS, false))?;
    let payload = format!("{TASK_MS}{}", " ".repeat(PAYLOAD_BYTES));
    body["spec"] = payload.clone().into();
    submit_until(&[&instance], &id(1), &body.to_string()).await;
    let row = cluster.fleet.store.value("jobs", &id(1));
    let length = row.expect("an accepted job is stored").len();
    assert!(length * 2 < payload.len(), "{length} bytes");
    instance.kill()?;
    let successor = cluster.instance("b").await?;
    cluster.wait_until_completed(&[&successor], &[id(1)]).await;
    assert_eq!(cluster.fleet.started_runs(), 1);
    Ok(())
}
