//! The graceful stop of an instance on the users' platform.

mod support;

use std::net::SocketAddr;

use anyhow::Result;
use azurepath_standin::cluster::{KEY, PATH_PREFIX};
use support::cluster::{Cluster, address, id};
use support::{Process, get, until};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Sends the head of a submission and the first byte of its body.
async fn begin_call(at: SocketAddr, number: u64) -> Result<TcpStream> {
    let mut stream = TcpStream::connect(at).await?;
    let head = format!(
        "POST {PATH_PREFIX}{} HTTP/1.1\r\nhost: x\r\ncredential: {KEY}\r\ncontent-length: 100\r\n\r\n{{",
        id(number)
    );
    stream.write_all(head.as_bytes()).await?;
    Ok(stream)
}

async fn calls_in_flight(instance: &Process) -> Option<u64> {
    let metrics = address(instance, "metrics").ok()?;
    get(metrics, "/dump").await.ok()?.json()["in_flight"].as_u64()
}

#[tokio::test]
async fn unfinished_call_not_in_log() -> Result<()> {
    let cluster = Cluster::start(1)?;
    let instance = cluster.instance("a").await?;
    let _call = begin_call(instance.http, 1).await?;
    until(async || calls_in_flight(&instance).await == Some(1)).await;
    instance.signal("TERM")?;
    until(async || {
        let events = instance.log();
        let mut waits = events.iter().filter(|event| event["msg"] == "stop waits");
        waits.any(|event| event["step"] == "calls" && event["calls"] == "POST 1")
    })
    .await;
    Ok(())
}
