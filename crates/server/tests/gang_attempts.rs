//! Gangs of which several members end a run as failed: the run counts once.

mod support;

use std::collections::BTreeSet;

use anyhow::Result;
use azurepath_standin::cluster::worker::FAILS;
use serde_json::json;
use support::cluster::{Cluster, id, state, submit_until};
use support::{Process, until};

/// The number of workers.
const WORKERS: usize = 12;

/// The number of members of each gang.
const MEMBERS: usize = 4;

/// How often a gang of the only queue may fail.
const ATTEMPTS: usize = 3;

/// Returns a job with a gang whose members all fail after so many milliseconds, each of which needs this
/// many thousandths of a core.
fn failing_gang(millis: u64, millicores: u64) -> String {
    json!({
        "spec": format!("{millis} {millicores} {FAILS}"),
        "phases": [
            {"count": MEMBERS, "cpu": millicores, "memMb": 256, "estMs": millis, "gang": true},
        ],
    })
    .to_string()
}

/// Submits such a gang. Returns its runs, each with the number of its members, once the job has failed.
async fn failed_runs(millicores: u64) -> Result<Vec<usize>> {
    let cluster = Cluster::start(WORKERS)?;
    let instance = cluster.instance("a").await?;
    let job = id(1);
    submit_until(&[&instance], &job, &failing_gang(200, millicores)).await;
    wait_until_failed(&instance, &job).await;
    Ok(runs(&cluster))
}

async fn wait_until_failed(instance: &Process, job: &str) {
    until(async || state(instance.http, job).await.as_deref() == Some("failed")).await;
}

/// Returns the runs that the workers have started, each with the number of its members.
fn runs(cluster: &Cluster) -> Vec<usize> {
    let workers = cluster.fleet.workers.iter();
    let started = workers.flat_map(|worker| worker.runs());
    let started: Vec<u64> = started.map(|run| run.run).collect();
    let runs: BTreeSet<u64> = started.iter().copied().collect();
    let members = |run: &u64| started.iter().filter(|other| *other == run).count();
    runs.iter().map(members).collect()
}

#[tokio::test]
async fn members_on_one_worker_fail_together() -> Result<()> {
    assert_eq!(failed_runs(500).await?, [MEMBERS; ATTEMPTS]);
    Ok(())
}

#[tokio::test]
async fn members_on_many_workers_fail_together() -> Result<()> {
    assert_eq!(failed_runs(9_000).await?, [MEMBERS; ATTEMPTS]);
    Ok(())
}

/// A row of an earlier build, which does not tell the failed runs apart, must not pass for a malformed one.
#[tokio::test]
async fn earlier_row_is_forgotten() -> Result<()> {
    let cluster = Cluster::start(WORKERS)?;
    let mut first = cluster.instance("a").await?;
    let job = id(1);
    submit_until(&[&first], &job, &failing_gang(2_000, 500)).await;
    until(async || runs(&cluster) == [MEMBERS]).await;
    first.kill()?;
    let done = (MEMBERS as u64, vec![0_u8; 8]);
    let failed = (2_u32, vec![1_u64, 2], None::<String>);
    let tasks = (0..MEMBERS as u32).map(|index| (index, failed.clone()));
    let row = (done, tasks.collect::<Vec<_>>());
    let bytes = bincode::serde::encode_to_vec(row, bincode::config::standard())?;
    let store = &cluster.fleet.store;
    store.put_bytes("progress", &format!("{job}.0.0"), &bytes);
    let second = cluster.instance("b").await?;
    wait_until_failed(&second, &job).await;
    assert_eq!(runs(&cluster), [MEMBERS]);
    Ok(())
}
