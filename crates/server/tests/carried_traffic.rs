//! A leader that is small for its workers lets other instances renew them and carry its orders.

mod support;

use anyhow::Result;
use azurepath_standin::fault::Injection;
use support::cluster::{Cluster, address, id, job_body, submit_until};
use support::{Process, get, until};

/// Settings of a leader that needs others for more than three workers.
const SMALL: &str = "cores = 0.004\n";

const WORKERS: usize = 8;

const JOBS: u64 = 12;

const TASKS_PER_JOB: u32 = 3;

/// The runs if each task is started once.
const RUNS: usize = JOBS as usize * TASKS_PER_JOB as usize;

/// Links so narrow that connections between instances are compressed.
const LEADER_LINK: &str = "link = 0.1\n";
const OTHER_LINK: &str = "link = 2\n";

/// Starts a small instance, which leads, and two others.
async fn start_three(cluster: &Cluster) -> Result<Vec<Process>> {
    let leader = cluster.instance_with("a", SMALL).await?;
    let others = [cluster.instance("b").await?, cluster.instance("c").await?];
    until(async || {
        let mut carry = 0;
        for other in &others {
            carry += usize::from(renews(other).await.unwrap_or(false));
        }
        carry > 0
    })
    .await;
    Ok([leader].into_iter().chain(others).collect())
}

/// Tells whether an instance has called workers to renew leases.
async fn renews(instance: &Process) -> Result<bool> {
    let metrics = get(address(instance, "metrics")?, "/metrics").await?;
    Ok(String::from_utf8_lossy(&metrics.body).contains("/api/hold"))
}

async fn submit_all(instances: &[Process], millis: u64) -> Vec<String> {
    let ids: Vec<String> = (0..JOBS).map(id).collect();
    let all: Vec<&Process> = instances.iter().collect();
    for (number, id) in ids.iter().enumerate() {
        submit_until(&all, id, &job_body(TASKS_PER_JOB, millis, number % 3 == 0)).await;
    }
    ids
}

#[tokio::test]
async fn no_faults() -> Result<()> {
    let cluster = Cluster::start(WORKERS)?;
    let instances = start_three(&cluster).await?;
    let ids = submit_all(&instances, 40).await;
    let all: Vec<&Process> = instances.iter().collect();
    cluster.wait_until_completed(&all, &ids).await;
    assert_eq!(cluster.fleet.started_runs(), RUNS);
    assert_eq!(cluster.fleet.duplicate_runs(), 0);
    let metrics = get(address(&instances[0], "metrics")?, "/metrics").await?;
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(metrics.contains("carried"), "no order was carried");
    assert!(!metrics.contains("azurepath_orders_lost"), "{metrics}");
    Ok(())
}

#[tokio::test]
async fn narrow_links() -> Result<()> {
    let cluster = Cluster::start(WORKERS)?;
    let leader = cluster.instance_with("a", LEADER_LINK).await?;
    let other = cluster.instance_with("b", OTHER_LINK).await?;
    until(async || renews(&other).await.unwrap_or(false)).await;
    let instances = [leader, other];
    let ids = submit_all(&instances, 40).await;
    let all: Vec<&Process> = instances.iter().collect();
    cluster.wait_until_completed(&all, &ids).await;
    assert_eq!(cluster.fleet.started_runs(), RUNS);
    assert_eq!(cluster.fleet.duplicate_runs(), 0);
    Ok(())
}

/// What runs on the workers of an instance that dies goes on.
#[tokio::test]
async fn killed_carrier() -> Result<()> {
    let cluster = Cluster::start(WORKERS)?;
    let mut instances = start_three(&cluster).await?;
    let ids = submit_all(&instances, 2_500).await;
    until(async || cluster.fleet.started_runs() == RUNS).await;
    instances[1].kill()?;
    instances.remove(1);
    let all: Vec<&Process> = instances.iter().collect();
    cluster.wait_until_completed(&all, &ids).await;
    assert_eq!(cluster.fleet.started_runs(), RUNS);
    assert_eq!(cluster.fleet.duplicate_runs(), 0);
    Ok(())
}

/// An instance that was paused finds that others renew its workers by now.
#[tokio::test]
async fn paused_carrier() -> Result<()> {
    let cluster = Cluster::start(WORKERS)?;
    let instances = start_three(&cluster).await?;
    let ids = submit_all(&instances, 3_500).await;
    until(async || cluster.fleet.started_runs() == RUNS).await;
    instances[1].signal("STOP")?;
    until(async || instances[0].logged("workers taken back").is_some()).await;
    tokio::time::sleep(std::time::Duration::from_millis(800)).await;
    instances[1].signal("CONT")?;
    let all: Vec<&Process> = instances.iter().collect();
    cluster.wait_until_completed(&all, &ids).await;
    assert_eq!(cluster.fleet.started_runs(), RUNS);
    assert_eq!(cluster.fleet.duplicate_runs(), 0);
    Ok(())
}

#[tokio::test]
async fn killed_leader() -> Result<()> {
    let cluster = Cluster::start(WORKERS)?;
    let mut instances = start_three(&cluster).await?;
    let ids = submit_all(&instances, 2_500).await;
    until(async || cluster.fleet.started_runs() == RUNS).await;
    instances[0].kill()?;
    instances.remove(0);
    let all: Vec<&Process> = instances.iter().collect();
    cluster.wait_until_completed(&all, &ids).await;
    assert_eq!(cluster.fleet.started_runs(), RUNS);
    assert_eq!(cluster.fleet.duplicate_runs(), 0);
    Ok(())
}

#[tokio::test]
async fn stopped_leader() -> Result<()> {
    let cluster = Cluster::start(WORKERS)?;
    let mut instances = start_three(&cluster).await?;
    let ids = submit_all(&instances, 2_500).await;
    until(async || cluster.fleet.started_runs() == RUNS).await;
    let mut leader = instances.remove(0);
    leader.signal("TERM")?;
    let all: Vec<&Process> = instances.iter().collect();
    cluster.wait_until_completed(&all, &ids).await;
    assert!(leader.wait().await?.success());
    assert_eq!(cluster.fleet.started_runs(), RUNS);
    assert_eq!(cluster.fleet.duplicate_runs(), 0);
    Ok(())
}

/// Returns how many calls of a kind a leader has taken.
async fn calls(leader: &Process, kind: &str) -> Result<u64> {
    let metrics = get(address(leader, "metrics")?, "/metrics").await?;
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    let labels = format!("kind=\"{kind}\"");
    let mut lines = metrics.lines().filter(|line| {
        line.starts_with("azurepath_leader_wait_seconds_count") && line.contains(&labels)
    });
    let value = lines.next().and_then(|line| line.rsplit(' ').next());
    Ok(value.and_then(|value| value.parse().ok()).unwrap_or(0))
}

/// The workers answer the orders of a step one after the other.
#[tokio::test]
async fn each_outcome_takes_a_call() -> Result<()> {
    let cluster = Cluster::start(WORKERS)?;
    let leader = cluster.instance_with("a", SMALL).await?;
    let carrier = cluster.instance("b").await?;
    until(async || renews(&carrier).await.unwrap_or(false)).await;
    for (number, worker) in cluster.fleet.workers.iter().enumerate() {
        worker.set_faults(Injection {
            latency_ms: number as u64 * 4,
            ..Injection::default()
        });
    }
    submit_until(&[&leader], &id(1), &whole_workers_body(WORKERS)).await;
    until(async || cluster.fleet.started_runs() == WORKERS).await;
    cluster.wait_until_completed(&[&leader], &[id(1)]).await;
    let carried = calls(&leader, "carried").await?;
    assert!(carried > 0, "no order was carried");
    assert!(carried <= WORKERS as u64 / 2, "{carried} calls");
    Ok(())
}

/// Returns the body of a job of which each task takes a whole worker.
fn whole_workers_body(count: usize) -> String {
    let phase = serde_json::json!({"count": count, "cpu": 16_000, "memMb": 256, "estMs": 300});
    serde_json::json!({"spec": "300 16000", "phases": [phase]}).to_string()
}
