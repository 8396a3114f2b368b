//! Rows of the store that another writer has left, in all tables that instances read.

mod support;

use anyhow::Result;
use azurepath_standin::cluster::store::encode;
use azurepath_standin::cluster::{KEY, configuration};
use serde_json::json;
use support::cluster::{Cluster, id, job_body, submit_until};
use support::{Process, until};

/// The number of bytes of the text that follows, 2^64 - 1, as the first bytes of a row.
const ENDLESS_TEXT: &[u8] = b"\xfd\xff\xff\xff\xff\xff\xff\xff\xff";

/// The same as the number of bits of a block of tasks.
const ENDLESS_BITS: &[u8] = b"\xfd\xff\xff\xff\xff\xff\xff\xff\xff\x08\0\0\0\0\0\0\0\0\0";

/// How many entries there are that are no workers.
const MANY: usize = 2_000;

async fn runs_a_job(cluster: &Cluster, instance: &Process, number: u64) {
    submit_until(&[instance], &id(number), &job_body(2, 10, false)).await;
    cluster
        .wait_until_completed(&[instance], &[id(number)])
        .await;
}

/// Registers workers and waits until an instance has claimed them.
async fn join(cluster: &mut Cluster, instance: &Process, ids: [&str; 2]) -> Result<()> {
    for id in ids {
        cluster.fleet.join(id)?;
        until(async || {
            let events = instance.log();
            let mut claimed = events
                .iter()
                .filter(|event| event["msg"] == "worker claimed");
            claimed.any(|event| event["worker"] == id)
        })
        .await;
    }
    Ok(())
}

#[tokio::test]
async fn malformed_row_stops_registry() -> Result<()> {
    let mut cluster = Cluster::start(2)?;
    let instance = cluster.instance("a").await?;
    runs_a_job(&cluster, &instance, 1).await;
    let store = &cluster.fleet.store;
    for row in [
        json!({"table": "servers", "part": "", "key": "x1", "value": 7, "ver": 3}),
        json!({"table": "servers", "part": "", "key": "x2", "value": "e30=", "ver": 1e300}),
        json!({"table": "servers", "part": "", "key": "x3", "value": {"a": [[]]}, "ver": 3}),
        json!({"table": "servers", "part": 5, "key": "x4", "value": "e30=", "ver": 3}),
        json!({"table": "servers", "key": ["x5"], "value": "e30=", "ver": 3}),
        json!("x6"),
        json!(null),
    ] {
        store.add_raw_row("servers", row);
    }
    join(&mut cluster, &instance, ["w2", "w3"]).await?;
    for id in ["w0", "w1"] {
        cluster.fleet.store.remove("servers", id);
    }
    runs_a_job(&cluster, &instance, 2).await;
    Ok(())
}

#[tokio::test]
async fn other_part_replaces_worker() -> Result<()> {
    let mut cluster = Cluster::start(2)?;
    let instance = cluster.instance("a").await?;
    let mut entry = cluster.fleet.workers[0].entry();
    entry["addr"] = "127.0.0.1:9".into();
    entry["born"] = (entry["born"].as_u64().unwrap_or(0) + 1).into();
    let store = &cluster.fleet.store;
    let value = encode(&entry);
    let row = json!({"table": "servers", "part": "p", "key": "w0", "value": value, "ver": 9});
    store.add_raw_row("servers", row);
    join(&mut cluster, &instance, ["w2", "w3"]).await?;
    let renewals = cluster.fleet.workers[0].renewals();
    until(async || cluster.fleet.workers[0].renewals() > renewals + 1).await;
    Ok(())
}

#[tokio::test]
async fn malformed_leader_row_ends_instances() -> Result<()> {
    let cluster = Cluster::start(2)?;
    let mut instances = [cluster.instance("a").await?, cluster.instance("b").await?];
    runs_a_job(&cluster, &instances[0], 1).await;
    for (number, bytes) in (2..).zip([ENDLESS_TEXT, b"", b"\xff\xff", &[7; 100]]) {
        cluster.fleet.store.put_bytes("azurepath", "leader", bytes);
        runs_a_job(&cluster, &instances[0], number).await;
    }
    for instance in &mut instances {
        assert!(instance.is_running()?);
    }
    Ok(())
}

#[tokio::test]
async fn malformed_stored_rows_end_recovery() -> Result<()> {
    let cluster = Cluster::start(2)?;
    let store = &cluster.fleet.store;
    for table in ["jobs", "roster", "progress"] {
        for (number, bytes) in (0..).zip([ENDLESS_TEXT, b"", b"\xff\xff", &[7; 100]]) {
            store.put_bytes(table, &id(number), bytes);
            store.put_bytes(table, &format!("{}.0.0", id(number)), bytes);
        }
    }
    store.put_bytes("progress", &format!("{}.0.0", id(9)), ENDLESS_BITS);
    store.put_bytes("progress", &format!("{}.0.4294967295", id(9)), ENDLESS_BITS);
    let instance = cluster.instance("a").await?;
    runs_a_job(&cluster, &instance, 20).await;
    Ok(())
}

#[tokio::test]
async fn many_malformed_entries_fill_log() -> Result<()> {
    let mut cluster = Cluster::start(2)?;
    for number in 0..MANY {
        let value = json!({"backend": number});
        cluster
            .fleet
            .store
            .put("servers", &format!("x{number}"), &value);
    }
    let instance = cluster.instance("a").await?;
    runs_a_job(&cluster, &instance, 1).await;
    // After a compaction the instance reads all rows again.
    for ids in [["w2", "w3"], ["w4", "w5"]] {
        cluster.fleet.store.compact();
        join(&mut cluster, &instance, ids).await?;
    }
    let events = instance.log();
    let lines = events
        .iter()
        .filter(|event| event["msg"] == "entry of a worker can't be read" && event["worker"] != "");
    assert!(lines.count() <= MANY);
    Ok(())
}

#[tokio::test]
async fn malformed_operator_rows_stop_configuration() -> Result<()> {
    let cluster = Cluster::start(2)?;
    let instance = cluster.instance("a").await?;
    let store = &cluster.fleet.store;
    store.add_raw_row("op", json!({"table": "op", "key": "config", "value": 7}));
    store.add_raw_row("op", json!([]));
    store.put("op", "config", &configuration(2, &[KEY, "key-2"]));
    until(async || {
        let events = instance.log();
        let mut applied = events
            .iter()
            .filter(|event| event["msg"] == "configuration applied");
        applied.any(|event| event["version"] == 2)
    })
    .await;
    Ok(())
}
