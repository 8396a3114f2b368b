//! Workers that start again under their id while tasks are started on them.

mod support;

use std::time::Duration;

use anyhow::Result;
use support::cluster::{Cluster, id, job_body, submit_until};
use support::until;

/// The number of workers.
const WORKERS: usize = 4;

/// The number of restarts.
const RESTARTS: u64 = 5;

/// The number of jobs that are submitted between two restarts.
const JOBS_PER_RESTART: u64 = 20;

/// The time between two jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(40);

/// How long the registry shows a worker as it was before it started again.
const REGISTRY_DELAY: Duration = Duration::from_millis(300);

/// Submits jobs whose tasks run for `millis` milliseconds while workers start again. Returns how many
/// runs of tasks were started although another one went on or had completed the task.
async fn duplicate_runs(millis: u64) -> Result<usize> {
    let cluster = Cluster::start(WORKERS)?;
    let instance = cluster.instance("a").await?;
    let jobs: Vec<String> = (0..RESTARTS * JOBS_PER_RESTART).map(id).collect();
    let mut submitted = jobs.iter();
    let mut restarted = None;
    for restart in 0..RESTARTS {
        for id in submitted.by_ref().take(JOBS_PER_RESTART as usize) {
            submit_until(&[&instance], id, &job_body(4, millis, false)).await;
            tokio::time::sleep(JOB_INTERVAL).await;
            if let Some((number, at)) = restarted
                && tokio::time::Instant::now() >= at + REGISTRY_DELAY
            {
                let worker: usize = number;
                let entry = cluster.fleet.workers[worker].entry();
                cluster
                    .fleet
                    .store
                    .put("servers", &format!("w{worker}"), &entry);
                restarted = None;
            }
        }
        let worker = restart as usize % WORKERS;
        cluster.fleet.workers[worker].restart();
        restarted = Some((worker, tokio::time::Instant::now()));
    }
    if let Some((worker, _)) = restarted {
        let entry = cluster.fleet.workers[worker].entry();
        cluster
            .fleet
            .store
            .put("servers", &format!("w{worker}"), &entry);
    }
    cluster.wait_until_completed(&[&instance], &jobs).await;
    until(async || cluster.fleet.workers[0].renewals() > 0).await;
    Ok(cluster.fleet.duplicate_runs())
}

#[tokio::test]
async fn restarted_worker_runs_tasks_twice() -> Result<()> {
    assert_eq!(duplicate_runs(600).await?, 0);
    Ok(())
}

/// An end that the new life has numbered must not pass for one that the old life had listed.
#[tokio::test]
async fn restarted_worker_forgets_ends() -> Result<()> {
    assert_eq!(duplicate_runs(30).await?, 0);
    Ok(())
}
