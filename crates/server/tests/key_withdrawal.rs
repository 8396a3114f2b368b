//! A withdrawn key is refused by every server, even by one that was cut off or paused.

#[path = "support/proxy.rs"]
mod proxy;
mod support;

use std::time::Duration;

use anyhow::Result;
use azurepath_server::version::key;
use http::Method;
use proxy::Proxy;
use serde_json::{Value, json};
use support::{AUDIT, Answer, Process, TestEnv, call, until};

const OPERATOR: &str = "root.0123456789abcdef";

async fn server(env: &TestEnv, name: &str, table: Option<&Proxy>) -> Result<Process> {
    let timing = "[timing]\nlinger = 100ms\ninstances = 100ms\nheartbeat = 100ms\n";
    let more = format!("{timing}[operator]\nhash = {}\n", key::hash(OPERATOR));
    let mut settings = env.settings(name, "zrh-a", "ch-north", &more);
    if let Some(proxy) = table {
        let platform = env.fleet.address();
        let (from, to) = (
            format!("table = {platform}"),
            format!("table = {}", proxy.address),
        );
        settings = settings.replace(&from, &to);
    }
    env.server_from(name, &settings).await
}

async fn submit(server: &Process) -> Result<Answer> {
    let key = format!("Bearer {AUDIT}");
    server
        .submit("pairing", "x", &[("authorization", &key)])
        .await
}

/// Waits until a server knows `count` servers and accepts requests with a key.
async fn wait_until_serving(server: &Process, count: usize) {
    until(async || {
        let Ok(dump) = server.dump().await else {
            return false;
        };
        let servers = dump["view"]["servers"]
            .as_object()
            .map_or(0, |servers| servers.len());
        servers == count
            && submit(server)
                .await
                .is_ok_and(|answer| answer.status == 200)
    })
    .await;
}

async fn withdraw(server: &Process) -> Result<Value> {
    let bearer = format!("Bearer {OPERATOR}");
    let document = json!({"team": "audit", "withdrawn": true}).to_string();
    let headers = [("authorization", bearer.as_str())];
    let answer = call(
        server.http,
        Method::PUT,
        "/v1/keys/audit-1",
        &document,
        &headers,
    )
    .await?;
    Ok(answer.json())
}

#[tokio::test]
async fn accepted_on_all_servers() -> Result<()> {
    let env = TestEnv::start().await?;
    let one = server(&env, "s1", None).await?;
    let two = server(&env, "s2", None).await?;
    wait_until_serving(&one, 2).await;
    wait_until_serving(&two, 2).await;
    assert_eq!(withdraw(&one).await?["state"], "accepted");
    for server in [&one, &two] {
        let answer = submit(server).await?;
        assert_eq!(
            (answer.status.as_u16(), answer.json()["ran"].clone()),
            (401, json!("not_run"))
        );
    }
    Ok(())
}

#[tokio::test]
async fn cut_from_table() -> Result<()> {
    let env = TestEnv::start().await?;
    let proxy = Proxy::start(env.fleet.address()).await?;
    let one = server(&env, "s1", None).await?;
    let two = server(&env, "s2", None).await?;
    let cut = server(&env, "s3", Some(&proxy)).await?;
    for server in [&one, &two, &cut] {
        wait_until_serving(server, 3).await;
    }
    drop(proxy);
    // Its peers confirm its configuration even after its last read of the table no longer counts.
    for _ in 0..10 {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let dump = cut.dump().await?;
        let standing = dump["config"]["standing"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        assert!(standing.starts_with("Current"), "{standing}");
    }
    assert_eq!(withdraw(&one).await?["state"], "accepted");
    assert_eq!(submit(&cut).await?.status, 401);
    Ok(())
}

#[tokio::test]
async fn paused_server() -> Result<()> {
    let env = TestEnv::start().await?;
    let one = server(&env, "s1", None).await?;
    let two = server(&env, "s2", None).await?;
    let paused = server(&env, "s3", None).await?;
    for server in [&one, &two, &paused] {
        wait_until_serving(server, 3).await;
    }
    paused.signal("STOP")?;
    let answer = withdraw(&one).await?;
    assert_eq!(
        answer["state"], "accepted",
        "the paused server's evidence has expired, so it is not waited for: {answer}"
    );
    paused.signal("CONT")?;
    for _ in 0..20 {
        let answer = submit(&paused).await?;
        assert_eq!(answer.json()["ran"], "not_run", "{}", answer.text());
        assert_ne!(answer.status, 200);
    }
    Ok(())
}

#[tokio::test]
async fn pending_without_majority() -> Result<()> {
    // One of two servers is paused, so the change has no majority and stays pending.
    let env = TestEnv::start().await?;
    let one = server(&env, "s1", None).await?;
    let two = server(&env, "s2", None).await?;
    wait_until_serving(&one, 2).await;
    wait_until_serving(&two, 2).await;
    two.signal("STOP")?;
    let answer = withdraw(&one).await?;
    assert_eq!(
        (&answer["state"], &answer["waiting"]),
        (&json!("pending"), &json!(["s2"]))
    );
    two.signal("CONT")?;
    until(async || submit(&two).await.is_ok_and(|answer| answer.status == 401)).await;
    Ok(())
}
