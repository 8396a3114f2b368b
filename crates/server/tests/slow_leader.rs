//! A leader whose machine has become slow, though its heartbeats come in time.

mod support;

use std::time::Duration;

use anyhow::Result;
use support::cluster::{Cluster, id, job_body, submit_until};
use support::{Process, until};

/// How long the process stands still each time, and how long it runs in between.
const STILL: Duration = Duration::from_millis(150);
const RUNNING: Duration = Duration::from_millis(15);

/// How long a new leader works off what has piled up.
const SETTLING: Duration = Duration::from_secs(3);

fn has_ended(process: &Process) -> bool {
    let events = process.log();
    let mut ends = events
        .iter()
        .filter(|event| event["msg"] == "leading no more");
    ends.any(|event| event["reason"] == "slow")
}

#[tokio::test]
async fn slow_machine_keeps_leading() -> Result<()> {
    let cluster = Cluster::start(4)?;
    let leader = cluster.instance("a").await?;
    let other = cluster.instance("b").await?;
    submit_until(&[&other], &id(1), &job_body(2, 10, false)).await;
    tokio::time::sleep(SETTLING).await;
    until(async || {
        let stopped = leader.signal("STOP");
        tokio::time::sleep(STILL).await;
        let resumed = leader.signal("CONT");
        tokio::time::sleep(RUNNING).await;
        stopped.is_err() || resumed.is_err() || has_ended(&leader)
    })
    .await;
    assert!(has_ended(&leader));
    until(async || other.logged("leading").is_some()).await;
    submit_until(&[&leader], &id(2), &job_body(2, 10, false)).await;
    cluster
        .wait_until_completed(&[&leader, &other], &[id(1), id(2)])
        .await;
    assert_eq!(cluster.fleet.duplicate_runs(), 0);
    Ok(())
}

#[tokio::test]
async fn only_instance_makes_way() -> Result<()> {
    let cluster = Cluster::start(2)?;
    let leader = cluster.instance("a").await?;
    tokio::time::sleep(SETTLING).await;
    for _ in 0..20 {
        leader.signal("STOP")?;
        tokio::time::sleep(STILL).await;
        leader.signal("CONT")?;
        tokio::time::sleep(RUNNING).await;
    }
    submit_until(&[&leader], &id(1), &job_body(2, 10, false)).await;
    assert!(!has_ended(&leader));
    Ok(())
}
