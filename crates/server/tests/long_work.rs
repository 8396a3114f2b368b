//! Batch jobs, gangs and services that run on a server.

mod support;

use std::collections::BTreeSet;

use azurepath_decide::job::State;
use azurepath_decide::resource::{Job, Resource, Service};
use azurepath_decide::size::Size;
use azurepath_services::table::{Client, Table};
use support::TestEnv;

const SIZE: Size = Size {
    millicores: 1_000,
    memory_mib: 256,
    accelerators: 0,
    slots: 1,
};

fn job(name: &str, gang: bool, payload: &str) -> Resource {
    Resource::Job(Job {
        name: name.into(),
        team: "ice".into(),
        tasks: 6,
        size: SIZE,
        estimate_ms: 50,
        gang,
        retries: 1,
        idempotent: true,
        payload: payload.to_owned(),
    })
}

async fn wait_until_finished(env: &TestEnv, name: &str) -> anyhow::Result<State> {
    let table = Client::new(env.fleet.address());
    loop {
        let row = table.read(&format!("job/batch/{name}")).await?;
        let state = row.map(|row| serde_json::from_value::<State>(row.value));
        if let Some(state) = state.transpose()?.filter(|state| state.finished) {
            return Ok(state);
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// Returns how many attempts of a job or service the workers began.
fn begun(env: &TestEnv, kind: &str) -> usize {
    let records = env.fleet.records();
    let begun = records.iter().flat_map(|(_, record)| &record.begun);
    begun.filter(|begun| &*begun.kind == kind).count()
}

/// Returns how many tries of a job's tasks began. A try counts once, even if an owner attempted it
/// again on another worker.
fn tries(env: &TestEnv, kind: &str) -> usize {
    let records = env.fleet.records();
    let begun = records.iter().flat_map(|(_, record)| &record.begun);
    let of_kind = begun.filter(|begun| &*begun.kind == kind);
    let ids: BTreeSet<_> = of_kind.map(|begun| begun.attempt.request).collect();
    ids.len()
}

#[tokio::test]
async fn batch_job() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let mut server = env.server("s1", "zrh-a", "ch-north").await?;
    env.write(&[job("dawn", false, "")]).await?;
    let state = wait_until_finished(&env, "dawn").await?;
    assert_eq!((state.done, state.failed), (6, 0));
    assert_eq!(begun(&env, "dawn"), 6);
    assert!(server.stop().await?.success());
    Ok(())
}

#[tokio::test]
async fn gang_job() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let mut server = env.server("s1", "zrh-a", "ch-north").await?;
    env.write(&[job("sheets", true, r#"{"run_ms":300}"#)])
        .await?;
    let state = wait_until_finished(&env, "sheets").await?;
    assert_eq!((state.done, state.failed), (6, 0));
    let records = env.fleet.records();
    let all = records.iter().map(|(_, record)| record);
    let begun = all.clone().flat_map(|record| &record.begun);
    let last = begun.map(|begun| begun.at_us).max();
    let ended = all.flat_map(|record| &record.ended);
    let first = ended.map(|ended| ended.at_us).min();
    assert!(last < first, "all tasks begin before the first one ends");
    assert!(server.stop().await?.success());
    Ok(())
}

#[tokio::test]
async fn failing_job() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = env.server("s1", "zrh-a", "ch-north").await?;
    env.write(&[job("broken", false, r#"{"run_ms":1,"fail":true}"#)])
        .await?;
    let state = wait_until_finished(&env, "broken").await?;
    assert_eq!((state.done, state.failed), (0, 6));
    assert_eq!(tries(&env, "broken"), 12, "each task is retried once");
    drop(server);
    Ok(())
}

/// Kills the home server of a job while its six tasks run, and checks that each task runs once.
async fn kill_home(gang: bool) -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let mut servers = vec![
        env.server("s1", "zrh-a", "ch-north").await?,
        env.server("s2", "dar-kariakoo", "dar").await?,
    ];
    for server in &servers {
        server.ready().await?;
    }
    env.write(&[job("dawn", gang, r#"{"run_ms":3000}"#)])
        .await?;
    while begun(&env, "dawn") < 6 {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let dump = servers[0].dump().await?;
    let home = usize::from(dump["jobs"]["home_to"].get("batch/dawn").is_none());
    servers[home].kill()?;
    let state = wait_until_finished(&env, "dawn").await?;
    assert_eq!((state.done, state.failed, state.unknown), (6, 0, 0));
    assert_eq!(begun(&env, "dawn"), 6, "no task runs a second time");
    Ok(())
}

#[tokio::test]
async fn home_killed() -> anyhow::Result<()> {
    kill_home(false).await
}

#[tokio::test]
async fn gang_home_killed() -> anyhow::Result<()> {
    kill_home(true).await
}

#[tokio::test]
async fn service_outlives_server() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let mut first = env.server("s1", "zrh-a", "ch-north").await?;
    let service = Service {
        name: "audits".into(),
        team: "ice".into(),
        replicas: 3,
        size: SIZE,
        payload: String::new(),
    };
    env.write(&[Resource::Service(service)]).await?;
    while begun(&env, "audits") < 3 {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    assert!(
        first.stop().await?.success(),
        "a stop does not wait for services"
    );
    Ok(())
}
