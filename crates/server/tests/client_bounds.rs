//! Clients that send requests without end, or leave them unfinished.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use azurepath_standin::cluster::{KEY, PATH_PREFIX};
use support::cluster::{Cluster, address, id, job_body, status, submit_until};
use support::{Process, TestEnv, get, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// Only one of these tests runs at a time, so that each process gets the time that it needs.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// How many clients there are.
const CROWD: usize = 200;

/// The memory of the processes, and the bound of what is resident.
const MEMORY_KIB: u64 = 48 * 1_024;
const MEMORY: &str = "memory = 48MiB\n";

/// The file descriptors of the processes, and the bound of those that are open: 200 of them are for
/// files.
const DESCRIPTORS: &str = "descriptors = 400\n";
const MAX_OPEN: usize = 200;

/// The longest legal body.
const BODY_BYTES: usize = 256 * 1_024;

/// The longest legal head.
const HEAD_BYTES: usize = 16 * 1_024;

/// What a client without a legal end sends, just under what the process took for one head before it
/// had a bound of its own.
const ENDLESS_BYTES: usize = 384 * 1_024;

/// How much a client that sends in pieces writes at once.
const PIECE_BYTES: usize = 8 * 1_024;

/// The pieces of a body that comes as very small chunks. A megabyte of them would only take longer.
const SMALL_CHUNKS: usize = 20_000;

/// How long a client waits for the process to take a piece before it only holds its connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Clients that hold their connections.
struct Crowd {
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Connects the clients, which send the pieces in turn. A client whose connection is closed
    /// stops.
    async fn send(at: &[SocketAddr], pieces: &[Vec<u8>]) -> Result<Crowd> {
        let mut clients = JoinSet::new();
        for number in 0..CROWD {
            clients.spawn(client(at[number % at.len()], pieces.to_vec()));
        }
        let mut streams = Vec::new();
        while let Some(stream) = clients.join_next().await {
            streams.extend(stream?);
        }
        all_read(at).await;
        Ok(Crowd { streams })
    }
}

async fn client(at: SocketAddr, pieces: Vec<Vec<u8>>) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(at).await.ok()?;
    for piece in pieces {
        let written = tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(&piece)).await;
        match written {
            Ok(Ok(())) => tokio::task::yield_now().await,
            Ok(Err(_)) => return None,
            Err(_) => return Some(stream),
        }
    }
    Some(stream)
}

/// Returns the head of a submission.
fn head(length: &str) -> Vec<u8> {
    let id = id(999);
    format!("POST {PATH_PREFIX}{id} HTTP/1.1\r\nhost: x\r\ncredential: {KEY}\r\n{length}\r\n\r\n")
        .into_bytes()
}

/// Returns a head and a body of legal length without its last byte, as `piece` bytes at a time.
fn withheld(piece: usize) -> Vec<Vec<u8>> {
    let mut pieces = vec![head(&format!("content-length: {BODY_BYTES}"))];
    let body = vec![b' '; BODY_BYTES - 1];
    pieces.extend(body.chunks(piece).map(<[u8]>::to_vec));
    pieces
}

/// Returns a head and a chunked body without its last chunk.
fn chunked(length: usize, count: usize) -> Vec<Vec<u8>> {
    let mut chunk = format!("{length:x}\r\n").into_bytes();
    chunk.extend(vec![b' '; length]);
    chunk.extend(b"\r\n");
    let body = chunk.repeat(count);
    let mut pieces = vec![head("transfer-encoding: chunked")];
    pieces.extend(body.chunks(PIECE_BYTES).map(<[u8]>::to_vec));
    pieces
}

/// Returns `line` again and again after `start`.
fn endless(start: &[u8], line: &[u8]) -> Vec<Vec<u8>> {
    let lines = line.repeat(ENDLESS_BYTES / line.len());
    let mut pieces = vec![start.to_vec()];
    pieces.extend(lines.chunks(PIECE_BYTES).map(<[u8]>::to_vec));
    pieces
}

/// Returns the most memory that was resident, in KiB.
fn peak_kib(process: &Process) -> Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id()))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let line = line.context("the peak is not known")?;
    Ok(line.trim().trim_end_matches(" kB").parse()?)
}

/// Waits until the process has read all that the kernel has received for these addresses.
async fn all_read(at: &[SocketAddr]) {
    until(async || unread_bytes(at).is_ok_and(|bytes| bytes == 0)).await;
}

fn unread_bytes(at: &[SocketAddr]) -> Result<u64> {
    let sockets = std::fs::read_to_string("/proc/net/tcp")?;
    let ports = at.iter().map(|address| format!(":{:04X}", address.port()));
    let ports: Vec<String> = ports.collect();
    let mut sum = 0;
    for line in sockets.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        if ports.iter().any(|port| fields[1].ends_with(port)) {
            let (_, received) = fields[4].split_once(':').context("no queues")?;
            sum += u64::from_str_radix(received, 16)?;
        }
    }
    Ok(sum)
}

fn open_descriptors(process: &Process) -> Result<usize> {
    Ok(std::fs::read_dir(format!("/proc/{}/fd", process.id()))?.count())
}

/// Waits until an ordinary submission is accepted beside a crowd, and checks the process.
async fn serves_within_memory(instance: &mut Process, crowd: &Crowd) -> Result<()> {
    submit_until(&[instance], &id(1), &job_body(1, 10, false)).await;
    let peak = peak_kib(instance)?;
    println!("peak {peak} KiB, {} clients connected", crowd.streams.len());
    assert!(instance.is_running()?, "{:?}", instance.log());
    assert!(peak < MEMORY_KIB, "{peak} KiB were resident");
    Ok(())
}

/// Sends the same pieces from all clients to an instance's address for callers.
async fn crowd_on_instance(pieces: &[Vec<u8>]) -> Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let cluster = Cluster::start(1)?;
    let mut instance = cluster.instance_with("a", MEMORY).await?;
    println!("before {} KiB", peak_kib(&instance)?);
    let crowd = Crowd::send(&[instance.http], pieces).await?;
    serves_within_memory(&mut instance, &crowd).await
}

#[tokio::test]
async fn endless_heads() -> Result<()> {
    let start = b"GET / HTTP/1.1\r\nhost: x\r\nlong: ";
    crowd_on_instance(&endless(start, b"a")).await
}

/// The bounds hold at the addresses `ready` and `metrics` too.
#[tokio::test]
async fn endless_lines() -> Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let cluster = Cluster::start(1)?;
    let mut instance = cluster.instance_with("a", MEMORY).await?;
    let addresses = [address(&instance, "ready")?, address(&instance, "metrics")?];
    let crowd = Crowd::send(&addresses, &endless(b"", b"\r\n")).await?;
    assert_eq!(status(addresses[1], "/dump").await, Some(200));
    serves_within_memory(&mut instance, &crowd).await
}

#[tokio::test]
async fn withheld_bodies() -> Result<()> {
    crowd_on_instance(&withheld(BODY_BYTES)).await
}

#[tokio::test]
async fn bodies_in_pieces() -> Result<()> {
    crowd_on_instance(&withheld(PIECE_BYTES)).await
}

#[tokio::test]
async fn large_chunks() -> Result<()> {
    crowd_on_instance(&chunked(4_096, BODY_BYTES / 4_096)).await
}

#[tokio::test]
async fn small_chunks() -> Result<()> {
    crowd_on_instance(&chunked(1, SMALL_CHUNKS)).await
}

/// Guards against connections that send nothing and take all descriptors.
#[tokio::test]
async fn silent_connections() -> Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let cluster = Cluster::start(1)?;
    let mut instance = cluster.instance_with("a", DESCRIPTORS).await?;
    let _crowd = Crowd::send(&[instance.http], &[]).await?;
    submit_until(&[&instance], &id(1), &job_body(1, 10, false)).await;
    let open = open_descriptors(&instance)?;
    println!("{open} descriptors open");
    assert!(instance.is_running()?, "{:?}", instance.log());
    assert!(open < MAX_OPEN, "{open} descriptors were open");
    Ok(())
}

/// Guards against payloads on a server that keeps its state in the table service.
#[tokio::test]
async fn withheld_payloads() -> Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let env = TestEnv::start().await?;
    let settings = env.settings("s1", "a", "r", &format!("[limits]\nbody = 1MiB\n{MEMORY}"));
    let mut server = env.server_from("s1", &settings).await?;
    server.ready().await?;
    println!("before {} KiB", peak_kib(&server)?);
    let mut pieces = withheld(PIECE_BYTES);
    let length = format!("content-length: {BODY_BYTES}");
    let head = format!("POST /v1/queues/open/requests HTTP/1.1\r\nhost: x\r\n{length}\r\n\r\n");
    pieces[0] = head.into_bytes();
    let crowd = Crowd::send(&[server.http], &pieces).await?;
    until(async || {
        let answer = server.submit("open", "x", &[]).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    let peak = peak_kib(&server)?;
    println!("peak {peak} KiB, {} clients connected", crowd.streams.len());
    assert!(server.is_running()?, "{:?}", server.log());
    assert!(peak < MEMORY_KIB, "{peak} KiB were resident");
    Ok(())
}

/// Guards against limits that refuse the longest legal head or body.
#[tokio::test]
async fn longest_legal_request() -> Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let cluster = Cluster::start(1)?;
    let instance = cluster.instance_with("a", "memory = 32MiB\n").await?;
    let mut body = job_body(1, 10, false);
    body.push_str(&" ".repeat(BODY_BYTES - body.len()));
    let head = |padding: usize| {
        let length = format!(
            "x: {}\r\ncontent-length: {}",
            "x".repeat(padding),
            body.len()
        );
        head(&length)
    };
    let padding = HEAD_BYTES - head(0).len();
    let mut stream = TcpStream::connect(instance.http).await?;
    stream.write_all(&head(padding)).await?;
    for piece in body.as_bytes().chunks(PIECE_BYTES) {
        stream.write_all(piece).await?;
        tokio::task::yield_now().await;
    }
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await?;
    assert_eq!(&answer, b"HTTP/1.1 200");
    Ok(())
}

/// Guards against words of callers that become values of a metric, each of which takes memory for good.
#[tokio::test]
async fn methods_in_metrics() -> Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let cluster = Cluster::start(1)?;
    let instance = cluster.instance("a").await?;
    let metrics = address(&instance, "metrics")?;
    let mut stream = TcpStream::connect(instance.http).await?;
    stream
        .write_all(b"STRANGE /checks/ HTTP/1.1\r\nhost: x\r\n\r\n")
        .await?;
    stream.read_exact(&mut [0; 12]).await?;
    let text = get(metrics, "/metrics").await?.text();
    assert!(text.contains("method=\"other\""), "{text}");
    assert!(!text.contains("STRANGE"), "{text}");
    Ok(())
}

#[tokio::test]
async fn queues_in_metrics() -> Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let env = TestEnv::start().await?;
    let server = env.server("s1", "a", "r").await?;
    server.ready().await?;
    let answer = server.submit("strange", "x", &[]).await?;
    assert_eq!(answer.status, 404);
    let text = get(server.http, "/metrics").await?.text();
    assert!(text.contains("queue=\"unknown\""), "{text}");
    assert!(!text.contains("strange"), "{text}");
    Ok(())
}
