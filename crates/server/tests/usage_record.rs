//! The usage record, as each owner can recompute it from the platform.

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

/// Sends requests through one server and stops it while the object store loses an answer.
async fn run_requests(env: &TestEnv, requests: u64) -> anyhow::Result<()> {
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
    let lost_answer = Injection {
        lose_answers: 1,
        ..Injection::default()
    };
    env.fleet.platform.set_faults(&fault::Platform {
        objects: Some(lost_answer),
        ..fault::Platform::default()
    });
    assert!(server.stop().await?.success());
    Ok(())
}

#[tokio::test]
async fn both_owners_agree() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    run_requests(&env, 5).await?;
    let first = read(&env).await?;
    let second = read(&env).await?;
    assert_eq!(first.faults, []);
    assert_eq!(first.bill.teams(ALL), second.bill.teams(ALL));
    let begun: usize = env
        .fleet
        .records()
        .iter()
        .map(|(_, record)| record.begun.len())
        .sum();
    let billed = amount(&first.bill, "audit");
    assert_eq!(billed.attempts, begun as u64);
    assert!(billed.millicore_ms > 0);
    Ok(())
}

#[tokio::test]
async fn tampering_detected() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    run_requests(&env, 1).await?;
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
