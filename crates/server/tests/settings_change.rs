//! Changed settings files and SIGHUP while an instance serves.

mod support;

use anyhow::Result;
use support::cluster::{Cluster, id, job_body, submit_until};
use support::until;

#[tokio::test]
async fn hangup() -> Result<()> {
    let cluster = Cluster::start(2)?;
    let instance = cluster.instance("a").await?;
    submit_until(&[&instance], &id(1), &job_body(2, 400, false)).await;
    cluster.write_settings("a", "cores = 0.5\n")?;
    instance.signal("HUP")?;
    until(async || instance.logged("settings applied").is_some()).await;
    submit_until(&[&instance], &id(2), &job_body(2, 10, false)).await;
    cluster
        .wait_until_completed(&[&instance], &[id(1), id(2)])
        .await;
    assert_eq!(cluster.fleet.started_runs(), 4);
    let applied = instance.logged("settings applied").unwrap_or_default();
    assert_eq!(applied["needs_restart"], false);
    Ok(())
}

#[tokio::test]
async fn invalid_file() -> Result<()> {
    let cluster = Cluster::start(2)?;
    let instance = cluster.instance("a").await?;
    cluster.write_settings("a", "cores = none\n")?;
    instance.signal("HUP")?;
    until(async || instance.logged("settings not applied").is_some()).await;
    submit_until(&[&instance], &id(1), &job_body(2, 10, false)).await;
    cluster.wait_until_completed(&[&instance], &[id(1)]).await;
    Ok(())
}
