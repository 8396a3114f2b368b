//! The record of usage as an owner reads it from the platform.

mod support;

use azurepath_decide::usage::{Amount, Bill, Period};
use azurepath_services::object::{self, Store};
use azurepath_services::table;
use azurepath_services::usage::{self, Record};
use azurepath_standin::fault::{self, Injection};
use bytes::Bytes;
use support::{AUDIT, TestEnv};

const ALL: Period = Period {
    from_ms: 0,
    to_ms: u64::MAX,
};

fn amount(bill: &Bill, team: &str) -> Amount {
    bill.teams(ALL).get(team).copied().unwrap_or_default()
}

async fn read(env: &TestEnv) -> anyhow::Result<Record> {
    let objects = object::Client::new(env.fleet.address());
    let table = table::Client::new(env.fleet.address());
    Ok(usage::read(&objects, &table).await?)
}

/// Runs requests through one server until it has stopped, with lost answers of the platform.
async fn run(env: &TestEnv, requests: u64) -> anyhow::Result<()> {
    let mut server = env.server("s1", "zrh-a", "ch-north").await?;
    server.ready().await?;
    let key = format!("Bearer {AUDIT}");
    for _ in 0..requests {
        let body = r#"{"run_ms":30,"answer":"fits"}"#;
        let answer = server
            .submit("pairing", body, &[("authorization", &key)])
            .await?;
        assert_eq!(answer.text(), "fits");
    }
    let losing = Injection {
        lose_answers: 1,
        ..Injection::default()
    };
    env.fleet.platform.set_faults(&fault::Platform {
        objects: Some(losing),
        ..fault::Platform::default()
    });
    assert!(server.stop().await?.success());
    Ok(())
}

#[tokio::test]
async fn both_owners_agree() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    run(&env, 5).await?;
    let one = read(&env).await?;
    let two = read(&env).await?;
    assert_eq!(one.faults, []);
    assert_eq!(one.bill.teams(ALL), two.bill.teams(ALL));
    let ran: usize = env
        .fleet
        .records()
        .iter()
        .map(|(_, record)| record.begun.len())
        .sum();
    let billed = amount(&one.bill, "audit");
    assert_eq!(billed.attempts, ran as u64);
    assert!(billed.millicore_ms > 0);
    Ok(())
}

#[tokio::test]
async fn tampering_shows() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    run(&env, 1).await?;
    let objects = object::Client::new(env.fleet.address());
    let names = objects.list("usage/").await?;
    let text = objects.get(&names[0]).await?;
    let text = String::from_utf8_lossy(&text).replace("audit", "other");
    objects.put(&names[0], Bytes::from(text)).await?;
    let record = read(&env).await?;
    assert!(!record.faults.is_empty());
    assert_eq!(amount(&record.bill, "other"), Amount::default());
    Ok(())
}
