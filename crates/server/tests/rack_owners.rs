//! Racks change owners when server processes die, pause and stop, and only then.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::Result;
use azurepath_standin::fault::{Injection, Platform};
use support::{AUDIT, Process, TestEnv, until};

/// The owner and the epoch of each rack, as a server sees it.
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

/// Waits until the owners of all four racks are just these servers.
async fn owned_by(server: &Process, names: &[&str]) {
    until(async || {
        let Ok(owners) = owners(server).await else {
            return false;
        };
        let known = owners
            .values()
            .all(|(name, _)| names.contains(&name.as_str()));
        let all = names
            .iter()
            .all(|name| owners.values().any(|(owner, _)| owner == name));
        owners.len() == 4 && known && all
    })
    .await;
}

/// Submits until a server takes it, and checks that every refusal is one that did not run.
async fn works(server: &Process) -> Result<()> {
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

async fn two(env: &TestEnv) -> Result<(Process, Process)> {
    let one = env.server("s1", "zrh-a", "ch-north").await?;
    let two = env.server("s2", "dar-kariakoo", "dar").await?;
    for server in [&one, &two] {
        server.ready().await?;
        owned_by(server, &["s1", "s2"]).await;
        works(server).await?;
    }
    Ok((one, two))
}

#[tokio::test]
async fn killed_owner() -> Result<()> {
    let env = TestEnv::start().await?;
    let (mut one, two) = two(&env).await?;
    let before = owners(&two).await?;
    one.kill()?;
    owned_by(&two, &["s2"]).await;
    for (rack, (_, epoch)) in owners(&two).await? {
        let (owner, earlier) = &before[&rack];
        assert_eq!(
            epoch,
            earlier + u64::from(owner == "s1"),
            "only the dead server's racks move"
        );
    }
    works(&two).await
}

#[tokio::test]
async fn paused_owner() -> Result<()> {
    let env = TestEnv::start().await?;
    let (one, two) = two(&env).await?;
    one.signal("STOP")?;
    owned_by(&two, &["s2"]).await;
    works(&two).await?;
    one.signal("CONT")?;
    // It comes back as a live server and is handed its own racks again, under higher epochs.
    owned_by(&one, &["s1", "s2"]).await;
    works(&one).await?;
    works(&two).await
}

#[tokio::test]
async fn stopped_owner() -> Result<()> {
    let env = TestEnv::start().await?;
    let (mut one, two) = two(&env).await?;
    assert!(one.stop().await?.success());
    let after = owners(&two).await?;
    assert!(
        after.values().all(|(owner, _)| owner == "s2"),
        "handed over before the end: {after:?}"
    );
    works(&two).await
}

#[tokio::test]
async fn table_outage() -> Result<()> {
    let env = TestEnv::start().await?;
    let (one, two) = two(&env).await?;
    let before = owners(&one).await?;
    let table = |down| Platform {
        table: Some(Injection {
            down,
            ..Injection::default()
        }),
        ..Platform::default()
    };
    env.fleet.platform.set_faults(&table(true));
    // Many times what makes a server dead, and longer than evidence counts.
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
                "an outage stops nobody: {}",
                answer.text()
            );
        }
    }
    env.fleet.platform.set_faults(&table(false));
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(owners(&one).await?, before, "an outage moves nothing");
    works(&one).await
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
    let (one, two) = two(&env).await?;
    assert_eq!(owners(&one).await?, owners(&two).await?);
    works(&one).await
}
