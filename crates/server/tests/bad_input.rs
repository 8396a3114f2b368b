//! Input from callers that is truncated, too large or not HTTP.

mod support;

use std::net::SocketAddr;

use support::{AUDIT, Process, TestEnv, get, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const SETTINGS: &str = "[timing]\nlinger = 0s\ninstances = 100ms\n[limits]\nbody = 1KiB\n";

/// Sends bytes, closes the sending half and returns the answer.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> anyhow::Result<String> {
    let mut socket = TcpStream::connect(address).await?;
    socket.write_all(bytes).await?;
    socket.shutdown().await?;
    let mut answer = Vec::new();
    // A reset instead of an end of the stream is accepted as well.
    let _ = socket.read_to_end(&mut answer).await;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

async fn start(env: &TestEnv) -> anyhow::Result<Process> {
    let server = env.server_with("s1", "zrh-a", "ch-north", SETTINGS).await?;
    server.ready().await?;
    Ok(server)
}

fn begun(env: &TestEnv) -> usize {
    let records = env.fleet.records();
    records.iter().map(|(_, record)| record.begun.len()).sum()
}

#[tokio::test]
async fn large_body() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = start(&env).await?;
    let key = format!("Bearer {AUDIT}");
    let headers = [("authorization", key.as_str())];
    let fits = server
        .submit("pairing", &"x".repeat(1024), &headers)
        .await?;
    assert_eq!(fits.status, 200, "{}", fits.text());
    let large = server
        .submit("pairing", &"x".repeat(1025), &headers)
        .await?;
    assert_eq!(large.status, 413);
    assert_eq!(large.json()["kind"], "payload_too_long");
    assert_eq!(large.json()["ran"], "not_run");
    assert_eq!(begun(&env), 1);
    Ok(())
}

#[tokio::test]
async fn malformed_requests() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = start(&env).await?;
    let head = format!(
        "POST /v1/queues/pairing/requests HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {AUDIT}\r\n"
    );
    let cases = [
        "\0\0\0".to_owned(),
        "GET".to_owned(),
        head.clone(),
        format!("{head}content-length: 10\r\n\r\nabc"),
        format!("{head}content-length: ten\r\n\r\nabc"),
        format!("{head}transfer-encoding: chunked\r\n\r\nffffffffffffffffff\r\nabc"),
        format!("{head}{}: x\r\n\r\n", "h".repeat(100_000)),
    ];
    for case in &cases {
        let answer = send_raw(server.http, case.as_bytes()).await?;
        assert!(!answer.starts_with("HTTP/1.1 2"), "{case:.60}: {answer}");
    }
    assert_eq!(begun(&env), 0);
    assert_eq!(get(server.http, "/healthz").await?.status, 200);
    Ok(())
}

#[tokio::test]
async fn unknown_path() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = start(&env).await?;
    let answer = get(server.http, "/v2/anything").await?;
    assert_eq!(answer.status, 404);
    assert_eq!(answer.json()["kind"], "path");
    Ok(())
}

#[tokio::test]
async fn disconnected_caller() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = start(&env).await?;
    let request = format!(
        "POST /v1/queues/pairing/requests HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {AUDIT}\r\n\
         content-length: 16\r\n\r\n{{\"run_ms\":60000}}"
    );
    let mut socket = TcpStream::connect(server.http).await?;
    socket.write_all(request.as_bytes()).await?;
    until(async || begun(&env) == 1).await;
    drop(socket);
    until(async || {
        server
            .dump()
            .await
            .is_ok_and(|dump| dump["router"]["in_flight"] == 0)
    })
    .await;
    Ok(())
}
