//! Rows of the store that another writer has left, in all tables that instances read.

mod support;

use anyhow::Result;
use support::cluster::{Cluster, id, job_body, submit_until};
use support::{Process, until};

/// The number of bytes of the text that follows, 2^64 - 1, as the first bytes of a row.
const ENDLESS_TEXT: &[u8] = b"\xfd\xff\xff\xff\xff\xff\xff\xff\xff";

/// The same as the number of bits of a block of tasks.
const ENDLESS_BITS: &[u8] = b"\xfd\xff\xff\xff\xff\xff\xff\xff\xff\x08\0\0\0\0\0\0\0\0\0";

async fn runs_a_job(cluster: &Cluster, instance: &Process, number: u64) {
    submit_until(&[instance], &id(number), &job_body(2, 10, false)).await;
    cluster
        .wait_until_completed(&[instance], &[id(number)])
        .await;
}

#[tokio::test]
async fn odd_leader_row_ends_instances() -> Result<()> {
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
async fn odd_stored_rows_end_recovery() -> Result<()> {
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
