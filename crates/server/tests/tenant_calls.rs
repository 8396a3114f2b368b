//! Calls about a job with the key of another client account.

mod support;

use std::net::SocketAddr;

use anyhow::Result;
use azurepath_standin::cluster::{KEY, PATH_PREFIX, configuration};
use http::Method;
use serde_json::{Value, json};
use support::cluster::{Cluster, id, job_body, leader};
use support::{Answer, Process, call, until};

/// The key of the other account.
const OTHER_KEY: &str = "key-other";

/// The path prefix of a queue that is open to all.
const OPEN_PREFIX: &str = "/open/";

/// A job that runs for longer than a test looks at it, in milliseconds.
const LONG_MS: u64 = 60_000;

/// Returns a configuration with two accounts, a queue that needs a key and an open one.
fn two_accounts(version: u64, keys: &[&str]) -> Value {
    let mut config = configuration(version, keys);
    let mut open = config["routes"][0].clone();
    open["name"] = json!("open");
    open["pathPrefix"] = json!(OPEN_PREFIX);
    open["public"] = json!(true);
    let mut other = config["tenants"][0].clone();
    other["name"] = json!("other");
    other["apiKeys"] = json!([OTHER_KEY]);
    let add = |list: &mut Value, item| list.as_array_mut().expect("it is a list").push(item);
    add(&mut config["routes"], open);
    add(&mut config["tenants"], other);
    config
}

async fn cluster() -> Result<(Cluster, Vec<Process>)> {
    let cluster = Cluster::start(4)?;
    let config = two_accounts(2, &[KEY]);
    cluster.fleet.store.put("op", "config", &config);
    let instances = vec![cluster.instance("a").await?, cluster.instance("b").await?];
    Ok((cluster, instances))
}

async fn send(at: SocketAddr, method: Method, path: &str, body: &str, key: &str) -> Result<Answer> {
    let headers = [("credential", key)];
    let headers = if key.is_empty() { &[][..] } else { &headers };
    call(at, method, path, body, headers).await
}

/// Submits a job and waits until it is accepted.
async fn accept(at: SocketAddr, path: &str, millis: u64, key: &str) {
    let body = job_body(1, millis, false);
    until(async || {
        let answer = send(at, Method::POST, path, &body, key).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
}

async fn state(at: SocketAddr, path: &str, key: &str) -> Result<(u16, Value)> {
    let answer = send(at, Method::GET, path, "", key).await?;
    Ok((answer.status.as_u16(), answer.json()))
}

/// Waits until a job is shown in a state to its own account.
async fn wait_for_state(at: SocketAddr, path: &str, key: &str, expected: &str) {
    until(async || {
        let shown = state(at, path, key).await;
        shown.is_ok_and(|(_, body)| body["state"] == expected)
    })
    .await;
}

/// Asserts that a key gets the same answers about a job as about one that does not exist.
async fn assert_hidden(at: SocketAddr, path: &str, prefix: &str, key: &str) -> Result<()> {
    let missing = format!("{prefix}{}", id(999));
    let (shown, unknown) = (state(at, path, key).await?, state(at, &missing, key).await?);
    assert_eq!(shown, unknown);
    assert_eq!(shown.0, 410);
    let cancelled = send(at, Method::DELETE, path, "", key).await?;
    assert_eq!(cancelled.status, 410);
    Ok(())
}

#[tokio::test]
async fn other_account_reads_and_cancels() -> Result<()> {
    let (_cluster, instances) = cluster().await?;
    let path = format!("{PATH_PREFIX}{}", id(1));
    accept(instances[0].http, &path, LONG_MS, KEY).await;
    for instance in &instances {
        assert_hidden(instance.http, &path, PATH_PREFIX, OTHER_KEY).await?;
        // Nor by way of a queue that is open to all.
        let open = format!("{OPEN_PREFIX}{}", id(1));
        assert_hidden(instance.http, &open, OPEN_PREFIX, OTHER_KEY).await?;
        assert_hidden(instance.http, &open, OPEN_PREFIX, "").await?;
        wait_for_state(instance.http, &path, KEY, "running").await;
    }
    Ok(())
}

#[tokio::test]
async fn other_account_submits_used_id() -> Result<()> {
    let (_cluster, instances) = cluster().await?;
    let path = format!("{PATH_PREFIX}{}", id(1));
    accept(instances[0].http, &path, 10, KEY).await;
    let body = job_body(1, 10, false);
    for instance in &instances {
        let answer = send(instance.http, Method::POST, &path, &body, OTHER_KEY).await?;
        assert_eq!(answer.status, 409);
        let again = send(instance.http, Method::POST, &path, &body, KEY).await?;
        assert_eq!(again.status, 200);
    }
    wait_for_state(instances[0].http, &path, KEY, "completed").await;
    Ok(())
}

/// What a successor reads from the store tells whose job it is, also once the job has ended.
#[tokio::test]
async fn successor_forgets_owner() -> Result<()> {
    let (_cluster, mut instances) = cluster().await?;
    let running = format!("{PATH_PREFIX}{}", id(1));
    let ended = format!("{PATH_PREFIX}{}", id(2));
    accept(instances[0].http, &running, LONG_MS, KEY).await;
    accept(instances[0].http, &ended, 10, KEY).await;
    wait_for_state(instances[0].http, &ended, KEY, "completed").await;
    let leader = leader(&instances);
    instances[leader].kill()?;
    let at = instances[1 - leader].http;
    wait_for_state(at, &ended, KEY, "completed").await;
    for path in [&running, &ended] {
        assert_hidden(at, path, PATH_PREFIX, OTHER_KEY).await?;
    }
    Ok(())
}

#[tokio::test]
async fn new_key_of_account() -> Result<()> {
    let (cluster, instances) = cluster().await?;
    let path = format!("{PATH_PREFIX}{}", id(1));
    accept(instances[0].http, &path, LONG_MS, KEY).await;
    let config = two_accounts(3, &["key-new"]);
    cluster.fleet.store.put("op", "config", &config);
    for instance in &instances {
        wait_for_state(instance.http, &path, "key-new", "running").await;
        until(async || {
            let shown = state(instance.http, &path, KEY).await;
            shown.is_ok_and(|(status, _)| status == 401)
        })
        .await;
    }
    Ok(())
}

#[tokio::test]
async fn open_queue() -> Result<()> {
    let (_cluster, instances) = cluster().await?;
    for (number, key) in (1..).zip(["", KEY]) {
        let path = format!("{OPEN_PREFIX}{}", id(number));
        accept(instances[0].http, &path, LONG_MS, key).await;
        for instance in &instances {
            wait_for_state(instance.http, &path, "", "running").await;
            wait_for_state(instance.http, &path, OTHER_KEY, "running").await;
        }
        let cancelled = send(instances[1].http, Method::DELETE, &path, "", "").await?;
        assert_eq!(cancelled.status, 200);
    }
    Ok(())
}

/// A row of an earlier build, which does not tell whose job has ended, must not pass for a malformed one.
#[tokio::test]
async fn earlier_end_is_forgotten() -> Result<()> {
    let cluster = Cluster::start(1)?;
    // The job has ended, as completed.
    let row = [1, 2];
    cluster.fleet.store.put_bytes("jobs", &id(1), &row);
    let instance = cluster.instance("a").await?;
    let path = format!("{PATH_PREFIX}{}", id(1));
    wait_for_state(instance.http, &path, KEY, "completed").await;
    Ok(())
}
