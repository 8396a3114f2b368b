//! A leader that is cut off from the store, alone or with some of the workers.

#[path = "support/proxy.rs"]
mod proxy;
mod support;

use std::time::Duration;

use anyhow::{Context, Result};
use azurepath_standin::cluster::worker::Standin;
use azurepath_standin::cluster::{KEY, PATH_PREFIX};
use futures::future::join_all;
use http::{Method, StatusCode};
use proxy::{Fault, Proxy};
use support::cluster::{Cluster, id, job_body, leader, leading_epoch, submit_until};
use support::{Process, call, until};
use tokio::time::Instant;

/// The number of workers.
const WORKERS: usize = 12;

/// The number of jobs under way at the moment of the cut.
const JOBS: usize = 8;

/// The number of tasks of each job.
const TASKS: usize = 3;

/// How long a task runs that ends after the cut and before a successor leads.
const SHORT_TASK_MS: u64 = 200;

/// How long a task runs that ends after the leases have expired that the cut-off leader extended.
const LONG_TASK_MS: u64 = 6_000;

/// How long the workers are idle before the cut. The leader's renewals wait on them longer, so it
/// last extended their leases so long ago.
const IDLE_TIME: Duration = Duration::from_millis(800);

/// How long a leader may give orders after its last write.
const AUTHORITY: Duration = Duration::from_secs(4);

/// The number of the job that a successor accepts.
const SUCCESSORS_JOB: u64 = 1;

/// The time between two calls to a former leader.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// How long the leader is cut off.
const CUT_DURATION: Duration = Duration::from_secs(10);

/// Three instances, each of which reaches the store through a relay of its own.
struct Site {
    cluster: Cluster,
    stores: Vec<Proxy>,
    instances: Vec<Process>,
}

impl Site {
    async fn start(workers: usize) -> Result<Site> {
        let cluster = Cluster::start(workers)?;
        let store = cluster.fleet.store.address();
        let (mut stores, mut instances) = (Vec::new(), Vec::new());
        for name in ["a", "b", "c"] {
            let proxy = Proxy::start(store).await?;
            let instance = cluster.instance_through(name, proxy.address, store).await?;
            stores.push(proxy);
            instances.push(instance);
        }
        until(async || instances.iter().any(|one| leading_epoch(one).is_some())).await;
        Ok(Site {
            cluster,
            stores,
            instances,
        })
    }

    fn all(&self) -> Vec<&Process> {
        self.instances.iter().collect()
    }

    /// Waits until another instance than the former leader leads, and returns it.
    async fn successor(&self, former: &Process) -> &Process {
        let leads =
            |instance: &&Process| instance.id() != former.id() && leading_epoch(instance).is_some();
        until(async || self.instances.iter().any(|instance| leads(&instance))).await;
        let successor = self.instances.iter().find(leads);
        successor.expect("an instance leads")
    }

    /// Submits jobs to an instance at the same time, and returns their ids.
    async fn submit_jobs(&self, instance: &Process, first: usize, task_ms: u64) -> Vec<String> {
        let ids: Vec<String> = (first..first + JOBS)
            .map(|number| id(number as u64))
            .collect();
        let body = job_body(TASKS as u32, task_ms, false);
        let instance = [instance];
        join_all(ids.iter().map(|id| submit_until(&instance, id, &body))).await;
        ids
    }

    /// Cuts the leader off from the store and from all workers that run tasks; only the leader
    /// reaches the others.
    fn cut(&self, leader: usize) -> Result<()> {
        let epoch = leading_epoch(&self.instances[leader]).context("the instance does not lead")?;
        let is_busy = |worker: &&Standin| worker.runs().iter().any(|run| run.ended.is_none());
        let workers = &self.cluster.fleet.workers;
        let (busy, idle): (Vec<&Standin>, Vec<&Standin>) = workers.iter().partition(is_busy);
        assert!(!idle.is_empty(), "the leader reaches no worker");
        for worker in busy {
            worker.set_reachable_epochs(epoch + 1..=u64::MAX);
        }
        for worker in idle {
            worker.set_reachable_epochs(0..=epoch);
        }
        self.stores[leader].set_fault(Fault::Silence);
        Ok(())
    }

    fn heal(&self) {
        for store in &self.stores {
            store.set_fault(Fault::None);
        }
        for worker in &self.cluster.fleet.workers {
            worker.set_reachable_epochs(0..=u64::MAX);
        }
    }
}

/// Cuts a leader off while tasks run for `task_ms` milliseconds. Returns how many runs were started
/// although another one went on or had completed the task.
async fn duplicate_runs(task_ms: u64) -> Result<usize> {
    let site = Site::start(WORKERS).await?;
    let fleet = &site.cluster.fleet;
    let leader = leader(&site.instances);
    let instance = &site.instances[leader];
    let earlier = site.submit_jobs(instance, 0, SHORT_TASK_MS).await;
    site.cluster
        .wait_until_completed(&site.all(), &earlier)
        .await;
    tokio::time::sleep(IDLE_TIME).await;
    let jobs = site.submit_jobs(instance, JOBS, task_ms).await;
    until(async || fleet.started_runs() == 2 * JOBS * TASKS).await;
    site.cut(leader)?;
    tokio::time::sleep(CUT_DURATION).await;
    site.heal();
    site.cluster.wait_until_completed(&site.all(), &jobs).await;
    Ok(fleet.duplicate_runs())
}

/// A successor has acknowledged the ends that the cut-off leader did not hear of.
#[tokio::test]
async fn cut_off_leader_repeats_completed_tasks() -> Result<()> {
    assert_eq!(duplicate_runs(SHORT_TASK_MS).await?, 0);
    Ok(())
}

/// A successor has extended the leases that the cut-off leader takes for expired.
#[tokio::test]
async fn cut_off_leader_repeats_running_tasks() -> Result<()> {
    assert_eq!(duplicate_runs(LONG_TASK_MS).await?, 0);
    Ok(())
}

/// Cuts a leader off from the store alone, and calls it about a job that its successor has accepted
/// until its authority ends. Returns the answers.
async fn call_former_leader(method: Method) -> Result<Vec<StatusCode>> {
    let site = Site::start(WORKERS).await?;
    let former = leader(&site.instances);
    site.stores[former].set_fault(Fault::Silence);
    let cut_at = Instant::now();
    let (former, job) = (&site.instances[former], id(SUCCESSORS_JOB));
    let successor = site.successor(former).await;
    submit_until(&[successor], &job, &job_body(1, SHORT_TASK_MS, false)).await;
    assert!(cut_at.elapsed() < AUTHORITY, "the authority has ended");
    let path = format!("{PATH_PREFIX}{job}");
    let mut answers = Vec::new();
    while cut_at.elapsed() < AUTHORITY {
        let headers = [("credential", KEY)];
        let answer = call(former.http, method.clone(), &path, "", &headers).await?;
        answers.push(answer.status);
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    site.heal();
    site.cluster.wait_until_completed(&site.all(), &[job]).await;
    Ok(answers)
}

#[tokio::test]
async fn cut_off_leader_denies_accepted_job() -> Result<()> {
    let answers = call_former_leader(Method::GET).await?;
    assert!(!answers.contains(&StatusCode::GONE), "{answers:?}");
    Ok(())
}

#[tokio::test]
async fn cut_off_leader_confirms_cancel_of_accepted_job() -> Result<()> {
    let answers = call_former_leader(Method::DELETE).await?;
    assert!(!answers.contains(&StatusCode::GONE), "{answers:?}");
    Ok(())
}
