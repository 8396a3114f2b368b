//! The graceful stop of an instance on the users' platform.

#[path = "support/proxy.rs"]
mod proxy;
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use azurepath_standin::cluster::{KEY, PATH_PREFIX, configuration};
use azurepath_standin::fault::Injection;
use proxy::{Fault, Proxy};
use support::cluster::{Cluster, address, id, job_body, submit, submit_until};
use support::{Process, get, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// How long a stop may take, as in the settings of the instances.
const GRACE: Duration = Duration::from_secs(6);

/// How long after the request to stop a client submits a job, which is refused by then.
const LATE_CALL_AFTER: Duration = Duration::from_millis(2_100);

/// How long after the request to stop a peer connects, late in the grace period.
const LATE_PEER_AFTER: Duration = Duration::from_millis(4_800);

/// How long clients call before one of their instances is asked to stop.
const CALLS_BEFORE_STOP: Duration = Duration::from_millis(500);

/// How long the advice service may take, in milliseconds: longer than the grace period.
const SLOW_ADVICE_MS: u64 = 10_000;

/// Stored jobs that take a new leader long to read through a slow link.
const ROWS: u64 = 100;
const ROW_BYTES: usize = 30_000;
const LINK_DELAY: Duration = Duration::from_millis(200);

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

/// Sends a submission whose client waits longer than the grace period.
async fn begin_long_call(at: SocketAddr) -> Result<TcpStream> {
    let mut stream = TcpStream::connect(at).await?;
    let body = job_body(1, 10, false);
    let request = format!(
        "POST {PATH_PREFIX}{} HTTP/1.1\r\nhost: x\r\ncredential: {KEY}\r\ntimeout-ms: 20000\r\n\
         content-length: {}\r\n\r\n{body}",
        id(1),
        body.len()
    );
    stream.write_all(request.as_bytes()).await?;
    Ok(stream)
}

/// Starts an instance with a call whose body does not come.
async fn with_unfinished_call(cluster: &Cluster) -> Result<(Process, TcpStream)> {
    let instance = cluster.instance("a").await?;
    let call = begin_call(instance.http, 1).await?;
    until(async || calls_in_flight(&instance).await == Some(1)).await;
    Ok((instance, call))
}

async fn calls_in_flight(instance: &Process) -> Option<u64> {
    let metrics = address(instance, "metrics").ok()?;
    get(metrics, "/dump").await.ok()?.json()["in_flight"].as_u64()
}

/// Asks an instance to stop and returns the time.
fn stop(instance: &Process) -> Result<Instant> {
    let asked = Instant::now();
    instance.signal("TERM")?;
    Ok(asked)
}

/// Waits until a stop that was asked for at `asked` has ended, and checks that it took less than
/// the grace period.
async fn stops_in_time(instance: &mut Process, asked: Instant) -> Result<()> {
    let status = instance.wait().await?;
    let took = asked.elapsed();
    assert!(took < GRACE, "{took:?}: {:?}", instance.log());
    assert!(status.success(), "{:?}", instance.log());
    Ok(())
}

#[tokio::test]
async fn unfinished_call_not_in_log() -> Result<()> {
    let cluster = Cluster::start(1)?;
    let (instance, _call) = with_unfinished_call(&cluster).await?;
    instance.signal("TERM")?;
    until(async || {
        let events = instance.log();
        let mut waits = events.iter().filter(|event| event["msg"] == "stop waits");
        waits.any(|event| event["step"] == "calls" && event["calls"] == "POST 1")
    })
    .await;
    Ok(())
}

#[tokio::test]
async fn late_call_past_grace() -> Result<()> {
    let cluster = Cluster::start(1)?;
    let mut instance = cluster.instance("a").await?;
    let mut idle = TcpStream::connect(instance.http).await?;
    let asked = stop(&instance)?;
    tokio::time::sleep(LATE_CALL_AFTER).await;
    let answer = submit(instance.http, &id(1), &job_body(1, 10, false)).await?;
    assert_eq!(answer.status, 503);
    stops_in_time(&mut instance, asked).await?;
    assert_eq!(idle.read(&mut [0]).await?, 0);
    Ok(())
}

#[tokio::test]
async fn unfinished_call_past_grace() -> Result<()> {
    let cluster = Cluster::start(1)?;
    let (mut instance, _call) = with_unfinished_call(&cluster).await?;
    let asked = stop(&instance)?;
    stops_in_time(&mut instance, asked).await
}

/// Guards against a stop that waits for calls that never arrive until it cuts all connections.
#[tokio::test]
async fn unfinished_call_until_cut() -> Result<()> {
    let cluster = Cluster::start(1)?;
    let (mut instance, _call) = with_unfinished_call(&cluster).await?;
    let asked = stop(&instance)?;
    stops_in_time(&mut instance, asked).await?;
    assert!(instance.logged("connections cut").is_none());
    Ok(())
}

#[tokio::test]
async fn advice_past_grace() -> Result<()> {
    let cluster = Cluster::start(1)?;
    let advice = TcpListener::bind("127.0.0.1:0").await?;
    let store = cluster.fleet.store.address();
    let mut slow = configuration(2, &[KEY]);
    slow["routes"][0]["hint"]["decideMs"] = SLOW_ADVICE_MS.into();
    cluster.fleet.store.put("op", "config", &slow);
    let mut instance = cluster
        .instance_through("a", store, advice.local_addr()?)
        .await?;
    submit_until(&[&instance], &id(1), &job_body(1, 10, false)).await;
    let _question = advice.accept().await?;
    let asked = stop(&instance)?;
    stops_in_time(&mut instance, asked).await
}

#[tokio::test]
async fn silent_peer_past_grace() -> Result<()> {
    let cluster = Cluster::start(1)?;
    let mut instance = cluster.instance("a").await?;
    cluster.fleet.store.set_faults(Injection {
        silent: true,
        ..Injection::default()
    });
    let _call = begin_long_call(instance.http).await?;
    until(async || calls_in_flight(&instance).await == Some(1)).await;
    let asked = stop(&instance)?;
    tokio::time::sleep(LATE_PEER_AFTER).await;
    let _peer = TcpStream::connect(instance.peers).await?;
    stops_in_time(&mut instance, asked).await
}

/// Calls wait for a write that is never answered when the leader is stopped.
#[tokio::test]
async fn silent_store_past_grace() -> Result<()> {
    let cluster = Cluster::start(1)?;
    let mut instance = cluster.instance("a").await?;
    let at = instance.http;
    let _idle = TcpStream::connect(at).await?;
    cluster.fleet.store.set_faults(Injection {
        silent: true,
        ..Injection::default()
    });
    let body = job_body(1, 10, false);
    let ids: Vec<String> = (0..8).map(id).collect();
    let calls = futures::future::join_all(ids.iter().map(|id| submit(at, id, &body)));
    let stopped = async {
        until(async || calls_in_flight(&instance).await > Some(0)).await;
        stop(&instance)
    };
    let (answers, asked) = tokio::join!(calls, stopped);
    for answer in answers {
        assert!([429, 503, 504].contains(&answer?.status.as_u16()));
    }
    stops_in_time(&mut instance, asked?).await
}

#[tokio::test]
async fn takeover_past_grace() -> Result<()> {
    let cluster = Cluster::start(1)?;
    for number in 0..ROWS {
        let row = [0; ROW_BYTES];
        cluster.fleet.store.put_bytes("jobs", &id(number), &row);
    }
    let store = Proxy::start(cluster.fleet.store.address()).await?;
    store.set_fault(Fault::Delay(LINK_DELAY));
    let mut instance = cluster
        .instance_through("a", store.address, store.address)
        .await?;
    until(async || instance.logged("leadership claimed").is_some()).await;
    let asked = stop(&instance)?;
    stops_in_time(&mut instance, asked).await
}

/// The clients keep their connections and send on them until they are told to close.
#[tokio::test]
async fn answer_cut_on_open_connection() -> Result<()> {
    let cluster = Cluster::start(4)?;
    let mut instances = [cluster.instance("a").await?, cluster.instance("b").await?];
    let [leader, follower] = &mut instances;
    let clients = (0..8).map(|client| keep_calling(follower.http, client));
    let clients = futures::future::join_all(clients);
    let stopped = async {
        tokio::time::sleep(CALLS_BEFORE_STOP).await;
        stop(follower)
    };
    let (answered, asked) = tokio::join!(clients, stopped);
    for answered in answered {
        assert!(answered? > 1);
    }
    stops_in_time(follower, asked?).await?;
    assert_eq!(cluster.fleet.duplicate_runs(), 0);
    assert!(leader.logged("leading no more").is_none());
    Ok(())
}

/// Sends calls on one connection until an answer says that it is closed. Returns how many were
/// answered.
async fn keep_calling(at: SocketAddr, client: u64) -> Result<u64> {
    let mut stream = TcpStream::connect(at).await?;
    let body = job_body(1, 10, false);
    let mut answered = 0;
    loop {
        let request = format!(
            "POST {PATH_PREFIX}{} HTTP/1.1\r\nhost: x\r\ncredential: {KEY}\r\n\
             content-length: {}\r\n\r\n{body}",
            id(client * 10_000 + answered),
            body.len()
        );
        stream.write_all(request.as_bytes()).await?;
        let mut answer = Vec::new();
        while !answer.ends_with(b"{}") {
            let read = stream.read_buf(&mut answer).await?;
            anyhow::ensure!(read > 0, "cut after {answered} answers");
        }
        answered += 1;
        let answer = String::from_utf8(answer)?.to_ascii_lowercase();
        if answer.contains("connection: close") {
            return Ok(answered);
        }
    }
}
