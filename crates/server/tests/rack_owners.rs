//! Racks change owners only when server processes die, pause or stop.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::Result;
use azurepath_standin::fault::{Injection, Platform};
use support::{AUDIT, Process, TestEnv, until};

/// Returns the owner and the epoch of each rack, as a server sees them.
async fn owners(server: &Process) -> Result<BTreeMap<String, (String, u64)>> {
    let dump = server.dump().await?;
    let racks = dump["view"]["racks"]
        .as_object()
        .cloned()
        .unwrap_or_default();
    let owner = |value: &serde_json::Value| {
        let name = value["server"].as_str().unwrap_or_default().to_owned();
        (name, value["epoch"].as_u64().unwrap_or_default())
    };
    Ok(racks
        .iter()
        .map(|(rack, value)| (rack.clone(), owner(value)))
        .collect())
}

/// Waits until exactly these servers own the four racks.
async fn wait_until_owned_by(server: &Process, names: &[&str]) {
    until(async || {
        let Ok(owners) = owners(server).await else {
            return false;
        };
        let expected = owners
            .values()
            .all(|(name, _)| names.contains(&name.as_str()));
        let all = names
            .iter()
            .all(|name| owners.values().any(|(owner, _)| owner == name));
        owners.len() == 4 && expected && all
    })
    .await;
}

/// Submits a request until it succeeds, and checks that every refusal says that it did not run.
async fn submit_until_accepted(server: &Process) -> Result<()> {
    let key = format!("Bearer {AUDIT}");
    loop {
        let answer = server
            .submit("pairing", "x", &[("authorization", &key)])
            .await?;
        if answer.status == 200 {
            assert_eq!(answer.text(), "x");
            return Ok(());
        }
        assert_eq!(answer.json()["ran"], "not_run", "{}", answer.text());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn start_two(env: &TestEnv) -> Result<(Process, Process)> {
    let one = env.server("s1", "zrh-a", "ch-north").await?;
    let two = env.server("s2", "dar-kariakoo", "dar").await?;
    for server in [&one, &two] {
        server.ready().await?;
        wait_until_owned_by(server, &["s1", "s2"]).await;
        submit_until_accepted(server).await?;
    }
    Ok((one, two))
}

#[tokio::test]
async fn killed_owner() -> Result<()> {
    let env = TestEnv::start().await?;
    let (mut one, two) = start_two(&env).await?;
    let before = owners(&two).await?;
    one.kill()?;
    wait_until_owned_by(&two, &["s2"]).await;
    for (rack, (_, epoch)) in owners(&two).await? {
        let (owner, earlier) = &before[&rack];
        assert_eq!(
            epoch,
            earlier + u64::from(owner == "s1"),
            "only the racks of the dead server change owners"
        );
    }
    submit_until_accepted(&two).await
}

#[tokio::test]
async fn paused_owner() -> Result<()> {
    let env = TestEnv::start().await?;
    let (one, two) = start_two(&env).await?;
    one.signal("STOP")?;
    wait_until_owned_by(&two, &["s2"]).await;
    submit_until_accepted(&two).await?;
    one.signal("CONT")?;
    // The resumed server counts as live again and gets its racks back, under higher epochs.
    wait_until_owned_by(&one, &["s1", "s2"]).await;
    submit_until_accepted(&one).await?;
    submit_until_accepted(&two).await
}

#[tokio::test]
async fn stopped_owner() -> Result<()> {
    let env = TestEnv::start().await?;
    let (mut one, two) = start_two(&env).await?;
    assert!(one.stop().await?.success());
    let after = owners(&two).await?;
    assert!(
        after.values().all(|(owner, _)| owner == "s2"),
        "the racks are handed over before the exit: {after:?}"
    );
    submit_until_accepted(&two).await
}

#[tokio::test]
async fn table_outage() -> Result<()> {
    let env = TestEnv::start().await?;
    let (one, two) = start_two(&env).await?;
    let before = owners(&one).await?;
    let table = |down| Platform {
        table: Some(Injection {
            down,
            ..Injection::default()
        }),
        ..Platform::default()
    };
    env.fleet.platform.set_faults(&table(true));
    // Much longer than the time without heartbeats after which a server counts as dead, and longer
    // than a read of the table counts.
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_millis(250)).await;
        for server in [&one, &two] {
            let key = format!("Bearer {AUDIT}");
            let answer = server
                .submit("pairing", "x", &[("authorization", &key)])
                .await?;
            assert_eq!(
                answer.status,
                200,
                "requests succeed during an outage: {}",
                answer.text()
            );
        }
    }
    env.fleet.platform.set_faults(&table(false));
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(
        owners(&one).await?,
        before,
        "no rack changes owners during an outage"
    );
    submit_until_accepted(&one).await
}

#[tokio::test]
async fn lost_claims() -> Result<()> {
    let env = TestEnv::start().await?;
    env.fleet.platform.set_faults(&Platform {
        table: Some(Injection {
            lose_answers: 12,
            ..Injection::default()
        }),
        ..Platform::default()
    });
    let (one, two) = start_two(&env).await?;
    // The two are asked one after the other, and a claim may be on its way between them.
    until(async || {
        let (Ok(first), Ok(second)) = (owners(&one).await, owners(&two).await) else {
            return false;
        };
        for (rack, (owner, epoch)) in &first {
            if let Some((other, same)) = second.get(rack).filter(|(_, other)| other == epoch) {
                assert_eq!(owner, other, "two owners of {rack} under epoch {same}");
            }
        }
        first == second
    })
    .await;
    submit_until_accepted(&one).await
}
