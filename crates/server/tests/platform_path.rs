//! Jobs on the users' platform: accepted, stored, run once and reported as completed.

mod support;

use anyhow::Result;
use azurepath_standin::cluster::{KEY, PATH_PREFIX, configuration};
use azurepath_standin::fault::Injection;
use http::Method;
use support::cluster::{
    Cluster, address, cancel, id, job_body, leader, state, status, submit, submit_until,
};
use support::{Process, call, get, until};

/// How long a leader may give orders after its last write.
const AUTHORITY: std::time::Duration = std::time::Duration::from_secs(4);

/// How long a task runs that ends after the leader's authority has, and within its lease.
const LONG_TASK_MS: u64 = 5_500;

/// How long the store stays down after the leader's authority has ended.
const OUTAGE_PAST_AUTHORITY: std::time::Duration = std::time::Duration::from_secs(3);

async fn start_three(cluster: &Cluster) -> Result<Vec<Process>> {
    Ok(vec![
        cluster.instance("a").await?,
        cluster.instance("b").await?,
        cluster.instance("c").await?,
    ])
}

#[tokio::test]
async fn no_faults() -> Result<()> {
    let cluster = Cluster::start(6)?;
    let instances = start_three(&cluster).await?;
    let all: Vec<&Process> = instances.iter().collect();
    let ids: Vec<String> = (0..12).map(id).collect();
    for (number, id) in ids.iter().enumerate() {
        let gang = number % 3 == 0;
        submit_until(&all[number % 3..=number % 3], id, &job_body(3, 40, gang)).await;
    }
    cluster.wait_until_completed(&all, &ids).await;
    assert_eq!(cluster.fleet.started_runs(), 36);
    assert_eq!(cluster.fleet.duplicate_runs(), 0);

    // A submission with a known id does not create a second job.
    assert_eq!(
        submit(all[0].http, &ids[0], &job_body(3, 40, true))
            .await?
            .status,
        200
    );
    assert_eq!(cluster.fleet.started_runs(), 36);
    let pending = call(
        all[1].http,
        Method::GET,
        PATH_PREFIX,
        "",
        &[("credential", KEY)],
    )
    .await?;
    assert_eq!(pending.json()["pending"], 0);

    for instance in &all {
        assert_eq!(
            status(address(instance, "ready")?, "/api/readyz").await,
            Some(200)
        );
        let metrics = address(instance, "metrics")?;
        assert_eq!(status(metrics, "/metrics").await, Some(200));
        assert_eq!(get(metrics, "/dump").await?.json()["configuration"], 1);
    }
    Ok(())
}

#[tokio::test]
async fn invalid_calls() -> Result<()> {
    let cluster = Cluster::start(1)?;
    let instance = cluster.instance("a").await?;
    let at = instance.http;
    let forward_dependency = r#"{"spec":"1","phases":[{"count":1,"after":[0]}]}"#;
    let long_spec = format!(
        r#"{{"spec":"{}","phases":[{{"count":1}}]}}"#,
        "x".repeat(4_001)
    );
    for wrong in [
        "",
        "{}",
        r#"{"spec":"1","phases":[]}"#,
        forward_dependency,
        &long_spec,
    ] {
        let answer = submit(at, &id(1), wrong).await?;
        assert_eq!(answer.status, 400, "{wrong}");
        assert!(answer.json()["error"].is_string(), "{wrong}");
    }
    for wrong in ["xyz", "5C0E000000000000", "5c0e00000000000"] {
        assert_eq!(
            submit(at, wrong, &job_body(1, 1, false)).await?.status,
            400,
            "{wrong}"
        );
    }
    let path = format!("{PATH_PREFIX}{}", id(1));
    let unknown_key = call(
        at,
        Method::POST,
        &path,
        &job_body(1, 1, false),
        &[("credential", "x")],
    )
    .await?;
    assert_eq!(unknown_key.status, 401);
    let unknown_path = call(at, Method::POST, "/other/1", "", &[("credential", KEY)]).await?;
    assert_eq!(unknown_path.status, 404);
    let unknown_job = call(at, Method::GET, &path, "", &[("credential", KEY)]).await?;
    assert_eq!(unknown_job.status, 410);
    assert!(cluster.fleet.store.value("jobs", &id(1)).is_none());
    Ok(())
}

#[tokio::test]
async fn killed_leader() -> Result<()> {
    let cluster = Cluster::start(4)?;
    let mut instances = start_three(&cluster).await?;
    let ids: Vec<String> = (0..10).map(id).collect();
    for id in &ids {
        let all: Vec<&Process> = instances.iter().collect();
        submit_until(&all, id, &job_body(2, 600, false)).await;
    }
    let leader = leader(&instances);
    instances[leader].kill()?;
    instances.remove(leader);
    let rest: Vec<&Process> = instances.iter().collect();
    cluster.wait_until_completed(&rest, &ids).await;
    assert_eq!(cluster.fleet.duplicate_runs(), 0);
    assert_eq!(
        cluster.fleet.started_runs(),
        20,
        "no completed task runs again"
    );
    Ok(())
}

#[tokio::test]
async fn all_killed() -> Result<()> {
    let cluster = Cluster::start(4)?;
    let instances = start_three(&cluster).await?;
    let ids: Vec<String> = (0..6).map(id).collect();
    let all: Vec<&Process> = instances.iter().collect();
    for id in &ids {
        submit_until(&all, id, &job_body(2, 300, false)).await;
    }
    drop(instances);
    let instance = cluster.instance("d").await?;
    cluster.wait_until_completed(&[&instance], &ids).await;
    assert_eq!(cluster.fleet.duplicate_runs(), 0);
    Ok(())
}

#[tokio::test]
async fn stopped_leader() -> Result<()> {
    let cluster = Cluster::start(4)?;
    let mut instances = start_three(&cluster).await?;
    let ids: Vec<String> = (0..6).map(id).collect();
    let all: Vec<&Process> = instances.iter().collect();
    for id in &ids {
        submit_until(&all, id, &job_body(2, 500, false)).await;
    }
    let leader = leader(&instances);
    let mut leaving = instances.remove(leader);
    leaving.signal("TERM")?;
    // The leaving instance accepts calls until it exits, and forwards them to the new leader.
    let late = id(99);
    submit_until(&[&leaving], &late, &job_body(1, 10, false)).await;
    assert!(leaving.wait().await?.success());
    assert_eq!(
        leaving.logged("leading no more").unwrap_or_default()["reason"],
        "released"
    );
    let rest: Vec<&Process> = instances.iter().collect();
    let ids: Vec<String> = ids.into_iter().chain([late]).collect();
    cluster.wait_until_completed(&rest, &ids).await;
    assert_eq!(cluster.fleet.duplicate_runs(), 0);
    Ok(())
}

#[tokio::test]
async fn lost_writes() -> Result<()> {
    let cluster = Cluster::start(4)?;
    let instance = cluster.instance("a").await?;
    cluster.fleet.store.set_faults(Injection {
        lose_answers: 5,
        ..Injection::default()
    });
    for worker in &cluster.fleet.workers {
        worker.set_faults(Injection {
            lose_answers: 1,
            ..Injection::default()
        });
    }
    let ids: Vec<String> = (0..4).map(id).collect();
    for id in &ids {
        submit_until(&[&instance], id, &job_body(2, 100, false)).await;
    }
    cluster.wait_until_completed(&[&instance], &ids).await;
    assert_eq!(cluster.fleet.duplicate_runs(), 0);
    assert_eq!(cluster.fleet.started_runs(), 8);
    Ok(())
}

#[tokio::test]
async fn store_outage() -> Result<()> {
    let cluster = Cluster::start(4)?;
    let instance = cluster.instance("a").await?;
    submit_until(&[&instance], &id(1), &job_body(2, 1_000, false)).await;
    let down = Injection {
        down: true,
        ..Injection::default()
    };
    cluster.fleet.store.set_faults(down);
    // A job that can't be stored is refused. The first ones may be part of a write whose result is
    // unknown, and get another answer.
    let mut number = 1;
    until(async || {
        number += 1;
        let refused = submit(instance.http, &id(number), &job_body(1, 10, false)).await;
        refused.is_ok_and(|answer| answer.status == 429 && answer.header("retry-after").is_some())
    })
    .await;
    cluster.fleet.store.set_faults(Injection::default());
    cluster.wait_until_completed(&[&instance], &[id(1)]).await;
    assert_eq!(cluster.fleet.duplicate_runs(), 0);
    // A refused job never runs.
    assert_eq!(state(instance.http, &id(number)).await, None);
    Ok(())
}

#[tokio::test]
async fn no_orders_without_authority() -> Result<()> {
    let cluster = Cluster::start(4)?;
    let instance = cluster.instance("a").await?;
    let phase = serde_json::json!({"count": 1, "cpu": 500, "memMb": 256, "estMs": LONG_TASK_MS});
    let mut next = phase.clone();
    next["after"] = serde_json::json!([0]);
    let job = serde_json::json!({"spec": LONG_TASK_MS.to_string(), "phases": [phase, next]});
    submit_until(&[&instance], &id(1), &job.to_string()).await;
    until(async || cluster.fleet.started_runs() == 1).await;
    let down = Injection {
        down: true,
        ..Injection::default()
    };
    cluster.fleet.store.set_faults(down);
    tokio::time::sleep(AUTHORITY + OUTAGE_PAST_AUTHORITY).await;
    cluster.fleet.store.set_faults(Injection::default());
    cluster.wait_until_completed(&[&instance], &[id(1)]).await;
    let events = instance.log();
    let starts = events
        .iter()
        .filter(|event| event["msg"] == "tasks started");
    assert_eq!(starts.count(), 2);
    assert_eq!(cluster.fleet.started_runs(), 2);
    Ok(())
}

#[tokio::test]
async fn withdrawn_key() -> Result<()> {
    let cluster = Cluster::start(2)?;
    let instances = vec![cluster.instance("a").await?, cluster.instance("b").await?];
    submit_until(&[&instances[0]], &id(1), &job_body(1, 10, false)).await;
    // The change history is dropped just before the change, so that instances read all rows again.
    cluster.fleet.store.compact();
    cluster
        .fleet
        .store
        .put("op", "config", &configuration(5, &["key-2"]));
    for instance in &instances {
        until(async || {
            let answer = submit(instance.http, &id(2), &job_body(1, 10, false)).await;
            answer.is_ok_and(|answer| answer.status == 401)
        })
        .await;
    }
    // Neither an older version nor an unreadable configuration replaces the current one.
    cluster
        .fleet
        .store
        .put("op", "config", &configuration(4, &[KEY]));
    cluster
        .fleet
        .store
        .put_bytes("op", "config", b"no configuration");
    for instance in &instances {
        until(async || instance.logged("configuration can't be read").is_some()).await;
        assert_eq!(
            submit(instance.http, &id(3), &job_body(1, 10, false))
                .await?
                .status,
            401
        );
    }
    Ok(())
}

#[tokio::test]
async fn cancelled_job() -> Result<()> {
    let cluster = Cluster::start(2)?;
    let instance = cluster.instance("a").await?;
    submit_until(&[&instance], &id(1), &job_body(2, 60_000, false)).await;
    until(async || cluster.fleet.started_runs() == 2).await;
    assert_eq!(cancel(instance.http, &id(1)).await?.status, 200);
    assert_eq!(
        state(instance.http, &id(1)).await.as_deref(),
        Some("cancelled")
    );
    until(async || {
        let runs = cluster
            .fleet
            .workers
            .iter()
            .flat_map(|worker| worker.runs());
        runs.into_iter().all(|run| run.ended.is_some())
    })
    .await;
    assert_eq!(cluster.fleet.started_runs(), 2);
    assert_eq!(cancel(instance.http, &id(2)).await?.status, 410);
    Ok(())
}

#[tokio::test]
async fn invalid_registry_entries() -> Result<()> {
    let cluster = Cluster::start(2)?;
    cluster.fleet.store.put_bytes("servers", "x1", b"\xff\xfe");
    let mut entry = cluster.fleet.workers[0].entry();
    entry["state"] = "asleep".into();
    cluster.fleet.store.put("servers", "x2", &entry);
    let instance = cluster.instance("a").await?;
    submit_until(&[&instance], &id(1), &job_body(2, 10, false)).await;
    cluster.wait_until_completed(&[&instance], &[id(1)]).await;
    until(async || instance.logged("entry of a worker can't be read").is_some()).await;
    Ok(())
}

/// A leader that was paused for longer than its authority knows nothing of what its successor has
/// accepted since, and does not deny it.
#[tokio::test]
async fn paused_leader() -> Result<()> {
    let cluster = Cluster::start(4)?;
    let instances = [cluster.instance("a").await?, cluster.instance("b").await?];
    let paused = leader(&instances);
    let (paused, successor) = (&instances[paused], &instances[1 - paused]);
    submit_until(&[paused], &id(1), &job_body(2, 8_000, false)).await;
    until(async || cluster.fleet.started_runs() == 2).await;
    paused.signal("STOP")?;
    until(async || successor.logged("leading").is_some()).await;
    submit_until(&[successor], &id(2), &job_body(1, 10, false)).await;
    tokio::time::sleep(AUTHORITY).await;
    // The calls wait in the sockets of the paused process and are its first work.
    let path = format!("{PATH_PREFIX}{}", id(2));
    let calls = (0..8).map(|_| call(paused.http, Method::GET, &path, "", &[("credential", KEY)]));
    let calls = futures::future::join_all(calls);
    let resume = async {
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        paused.signal("CONT")
    };
    let (answers, resumed) = tokio::join!(calls, resume);
    resumed?;
    for answer in answers {
        assert_ne!(answer?.status, 410);
    }
    cluster
        .wait_until_completed(&[paused, successor], &[id(1), id(2)])
        .await;
    assert_eq!(cluster.fleet.duplicate_runs(), 0);
    assert_eq!(cluster.fleet.started_runs(), 3);
    Ok(())
}
