//! An evacuated failure domain while the leader dies, and while the end of the evacuation falls into a
//! gap of the store's history.

mod support;

use std::time::Instant;

use anyhow::Result;
use azurepath_standin::cluster::worker;
use serde_json::json;
use support::cluster::{Cluster, id, job_body, leading_epoch, submit_until};
use support::{Process, until};

/// The key of the row that evacuates a domain.
const ROW: &str = "evacuate/b";

/// The number of workers. Those with an odd number are in the evacuated domain.
const WORKERS: usize = 4;

/// The tasks of each job: they fill a third of a worker's 16 cores, so that none is too small for
/// them.
const TASKS: u32 = 10;

/// A cluster whose workers are in two failure domains.
fn start() -> Result<Cluster> {
    let cluster = Cluster::start(WORKERS)?;
    for (number, worker) in cluster.fleet.workers.iter().enumerate() {
        if number % 2 == 1 {
            let mut entry = worker.entry();
            entry["zone"] = "b".into();
            let id = format!("w{number}");
            cluster.fleet.store.put("servers", &id, &entry);
        }
    }
    Ok(cluster)
}

/// Returns the tasks that have started in the evacuated domain after a time.
fn started_there(cluster: &Cluster, after: Instant) -> Vec<String> {
    let there = cluster.fleet.workers.iter().skip(1).step_by(2);
    let runs = there.flat_map(worker::Standin::runs);
    let late = runs.filter(|run| run.started > after);
    late.map(|run| run.task).collect()
}

/// Waits until an instance has applied an evacuation of these domains.
async fn applied(instance: &Process, domains: &str) {
    until(async || {
        let events = instance.log();
        let mut evacuations = events
            .iter()
            .filter(|event| event["msg"] == "evacuation applied");
        evacuations
            .next_back()
            .is_some_and(|event| event["domains"] == domains)
    })
    .await;
}

/// Runs jobs one after the other, each of which would spread over all workers if they were used.
async fn run_jobs(cluster: &Cluster, instance: &Process, numbers: std::ops::Range<u64>) {
    for number in numbers {
        submit_until(&[instance], &id(number), &job_body(TASKS, 20, false)).await;
        cluster
            .wait_until_completed(&[instance], &[id(number)])
            .await;
    }
}

/// A successor that doesn't read the evacuations before it places tasks.
#[tokio::test]
async fn successor_starts_in_evacuated_domain() -> Result<()> {
    let cluster = start()?;
    let mut first = cluster.instance("a").await?;
    let second = cluster.instance("b").await?;
    run_jobs(&cluster, &first, 0..5).await;
    cluster.fleet.store.put("op", ROW, &json!({}));
    applied(&first, "b").await;
    applied(&second, "b").await;
    first.kill()?;
    let evacuated_at = Instant::now();
    until(async || leading_epoch(&second).is_some()).await;
    run_jobs(&cluster, &second, 5..15).await;
    assert_eq!(started_there(&cluster, evacuated_at), Vec::<String>::new());
    Ok(())
}

/// A feed that reports changes only, whose reader keeps what it doesn't hear of.
#[tokio::test]
async fn removal_in_history_gap_is_missed() -> Result<()> {
    let cluster = start()?;
    cluster.fleet.store.put("op", ROW, &json!({}));
    cluster.fleet.store.put("op", "evacuate/", &json!({}));
    let instance = cluster.instance("a").await?;
    applied(&instance, "b").await;
    let evacuated_at = Instant::now();
    run_jobs(&cluster, &instance, 0..5).await;
    assert_eq!(started_there(&cluster, evacuated_at), Vec::<String>::new());
    cluster.fleet.store.remove_unseen("op", ROW);
    applied(&instance, "").await;
    let mut number = 5;
    until(async || {
        number += 1;
        run_jobs(&cluster, &instance, number..number + 1).await;
        !started_there(&cluster, evacuated_at).is_empty()
    })
    .await;
    let events = instance.log();
    let unreadable = events
        .iter()
        .filter(|event| event["msg"] == "evacuation can't be read");
    assert_eq!(unreadable.count(), 1);
    Ok(())
}
