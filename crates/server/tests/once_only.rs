//! Non-idempotent requests, which must not run twice.

mod support;

use azurepath_standin::fault;
use serde_json::Value;
use support::{AUDIT, Answer, ICE, Process, TestEnv, until};

const ID: &str = "00000000000000000000000000abc123";

async fn send(server: &Process, token: &str, body: &str) -> anyhow::Result<Answer> {
    let key = format!("Bearer {token}");
    let headers = [
        ("authorization", key.as_str()),
        ("azurepath-request-id", ID),
    ];
    server.submit("sweep", body, &headers).await
}

fn begun(env: &TestEnv) -> usize {
    let records = env.fleet.records();
    records.iter().map(|(_, record)| record.begun.len()).sum()
}

fn table_faults(injection: fault::Injection) -> fault::Platform {
    fault::Platform {
        table: Some(injection),
        ..fault::Platform::default()
    }
}

fn assert_duplicate(answer: &Answer, ran: &str) {
    assert_eq!(answer.status, 409, "{}", answer.text());
    let document: Value = answer.json();
    assert_eq!(document["kind"], "duplicate");
    assert_eq!(document["ran"], ran);
}

#[tokio::test]
async fn repeat_after_answer() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = env.server("s1", "zrh-a", "ch-north").await?;
    server.ready().await?;
    let first = send(&server, AUDIT, "sweep 1").await?;
    assert_eq!(first.text(), "sweep 1");
    until(async || {
        send(&server, AUDIT, "sweep 1")
            .await
            .is_ok_and(|again| again.json()["ran"] == "ran")
    })
    .await;
    assert_duplicate(&send(&server, AUDIT, "sweep 1").await?, "ran");
    // Another team does not learn whether the request ran.
    assert_duplicate(&send(&server, ICE, "sweep 1").await?, "unknown");
    assert_eq!(begun(&env), 1);
    Ok(())
}

#[tokio::test]
async fn repeat_while_running() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = env.server("s1", "zrh-a", "ch-north").await?;
    server.ready().await?;
    let body = r#"{"run_ms": 1000, "answer": "swept"}"#;
    let second = async {
        until(async || begun(&env) == 1).await;
        send(&server, AUDIT, body).await
    };
    let (first, second) = tokio::join!(send(&server, AUDIT, body), second);
    assert_eq!(first?.text(), "swept");
    assert_duplicate(&second?, "unknown");
    assert_eq!(begun(&env), 1);
    Ok(())
}

#[tokio::test]
async fn table_down() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = env.server("s1", "zrh-a", "ch-north").await?;
    server.ready().await?;
    env.fleet
        .platform
        .set_faults(&table_faults(fault::Injection {
            down: true,
            ..fault::Injection::default()
        }));
    let key = format!("Bearer {AUDIT}");
    let fresh = [("authorization", key.as_str())];
    let refused = server.submit("sweep", "sweep 1", &fresh).await?;
    assert_eq!(refused.status, 503, "{}", refused.text());
    assert_eq!(refused.json()["kind"], "table_unavailable");
    assert_eq!(refused.json()["ran"], "not_run");
    assert!(refused.header("retry-after").is_some());
    assert_eq!(begun(&env), 0);

    env.fleet
        .platform
        .set_faults(&table_faults(fault::Injection::default()));
    let first = send(&server, AUDIT, "sweep 1").await?;
    assert_eq!(first.text(), "sweep 1");
    assert_eq!(begun(&env), 1);
    Ok(())
}

#[tokio::test]
async fn repeat_in_outage() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = env.server("s1", "zrh-a", "ch-north").await?;
    server.ready().await?;
    assert_eq!(send(&server, AUDIT, "sweep 1").await?.text(), "sweep 1");
    env.fleet
        .platform
        .set_faults(&table_faults(fault::Injection {
            down: true,
            ..fault::Injection::default()
        }));
    let again = send(&server, AUDIT, "sweep 1").await?;
    assert_eq!(again.status, 503, "{}", again.text());
    assert_eq!(again.json()["kind"], "table_unavailable");
    assert_eq!(again.json()["ran"], "unknown", "the first request ran");
    assert!(again.header("retry-after").is_some());
    assert_eq!(begun(&env), 1);
    Ok(())
}

#[tokio::test]
async fn lost_write_answer() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = env.server("s1", "zrh-a", "ch-north").await?;
    server.ready().await?;
    env.fleet
        .platform
        .set_faults(&table_faults(fault::Injection {
            lose_answers: 1,
            ..fault::Injection::default()
        }));
    let answer = send(&server, AUDIT, "sweep 1").await?;
    assert_eq!(answer.text(), "sweep 1");
    assert_eq!(begun(&env), 1);
    Ok(())
}

#[tokio::test]
async fn repeat_after_refusal() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = env.server("s1", "zrh-a", "ch-north").await?;
    server.ready().await?;
    let key = format!("Bearer {AUDIT}");
    let large = [
        ("authorization", key.as_str()),
        ("azurepath-request-id", ID),
        ("azurepath-millicores", "64000"),
    ];
    let refused = server.submit("sweep", "sweep 1", &large).await?;
    assert_eq!(refused.json()["kind"], "too_large");
    // The refused request did not run, so its id can be used again once the refusal is recorded.
    until(async || {
        send(&server, AUDIT, "sweep 1")
            .await
            .is_ok_and(|answer| answer.text() == "sweep 1")
    })
    .await;
    assert_eq!(begun(&env), 1);
    Ok(())
}
