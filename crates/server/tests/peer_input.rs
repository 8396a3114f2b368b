//! Malformed input from other servers.

#[path = "support/peer.rs"]
mod peer;
mod support;

use azurepath_wire::codec;
use azurepath_wire::frame::{Chunk, End, Frame, Hello, Task};
use bytes::Bytes;
use peer::exchange;
use support::{AUDIT, Process, TestEnv, get};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn task(id: u128) -> Frame {
    Frame::Submit(Task {
        rack: String::new(),
        epoch: 0,
        id,
        team: "audit".to_owned(),
        kind: "pairing".to_owned(),
        class: 0,
        size: azurepath_decide::size::Size {
            millicores: 100,
            memory_mib: 10,
            accelerators: 0,
            slots: 1,
        },
        estimate_us: 1_000,
        patience_us: 5_000_000,
        idempotent: true,
        gang: None,
    })
}

fn chunk(id: u128, attempt: u32, data: &'static str) -> Frame {
    let data = Bytes::from_static(data.as_bytes());
    Frame::Chunk(Chunk { id, attempt, data })
}

fn end(id: u128, data: &str) -> Frame {
    Frame::End(End {
        id,
        attempt: 0,
        length: data.len() as u64,
        checksum: crc32fast::hash(data.as_bytes()),
    })
}

fn encode(frames: &[Frame]) -> anyhow::Result<Vec<Bytes>> {
    Ok(frames.iter().map(codec::encode).collect::<Result<_, _>>()?)
}

async fn start(env: &TestEnv) -> anyhow::Result<Process> {
    let server = env.server("s1", "zrh-a", "ch-north").await?;
    server.ready().await?;
    Ok(server)
}

/// Asserts that the server still serves requests and has run none before.
async fn assert_unaffected(env: &TestEnv, server: &Process) -> anyhow::Result<()> {
    let records = env.fleet.records();
    assert!(records.iter().all(|(_, record)| record.begun.is_empty()));
    assert_eq!(get(server.http, "/healthz").await?.status, 200);
    let key = format!("Bearer {AUDIT}");
    let answer = server
        .submit("pairing", "still", &[("authorization", key.as_str())])
        .await?;
    assert_eq!(answer.text(), "still");
    Ok(())
}

#[tokio::test]
async fn malformed_streams() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = start(&env).await?;
    let mut version = codec::encode(&task(1))?.to_vec();
    version[5] = 9;
    let mut length = codec::encode(&task(1))?.to_vec();
    length[6..10].copy_from_slice(&u32::MAX.to_be_bytes());
    let mut checksum = codec::encode(&task(1))?.to_vec();
    checksum[12] ^= 1;
    let hello = Frame::Hello(Hello {
        version: 1,
        server: "s2".to_owned(),
        incarnation: 1,
    });
    let cases: [(&str, Vec<Bytes>); 10] = [
        ("speaks version 9", vec![Bytes::from(version)]),
        ("longer than", vec![Bytes::from(length)]),
        ("checksum is wrong", vec![Bytes::from(checksum)]),
        (
            "are no frame",
            vec![Bytes::from_static(b"GET / HTTP/1.1\r\n\r\n")],
        ),
        ("before its last frame", vec![]),
        ("before its last frame", encode(&[task(1)])?),
        ("does not belong", encode(&[hello])?),
        (
            "another request",
            encode(&[task(1), chunk(2, 0, "x"), end(1, "x")])?,
        ),
        (
            "another request",
            encode(&[task(1), chunk(1, 3, "x"), end(1, "x")])?,
        ),
        (
            "cut or changed",
            encode(&[task(1), chunk(1, 0, "x"), end(1, "xy")])?,
        ),
    ];
    for (message, parts) in cases {
        let (status, frames) = exchange(server.peers, "/azurepath", parts).await?;
        assert_eq!(status, 200);
        let [Frame::Fault(fault)] = frames.as_slice() else {
            panic!("{message}: {frames:?}");
        };
        assert!(fault.remedy.contains(message), "{message}: {fault}");
    }
    assert_unaffected(&env, &server).await
}

#[tokio::test]
async fn truncated_frame() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = start(&env).await?;
    let frame = codec::encode(&task(1))?;
    for end in [1, 13, frame.len() - 1] {
        let parts = vec![frame.slice(..end)];
        let (_, frames) = exchange(server.peers, "/azurepath", parts).await?;
        assert!(matches!(frames.as_slice(), [Frame::Fault(_)]), "{frames:?}");
    }
    assert_unaffected(&env, &server).await
}

#[tokio::test]
async fn unknown_path() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = start(&env).await?;
    let (status, frames) = exchange(server.peers, "/other", vec![]).await?;
    assert_eq!(status, 404);
    assert!(frames.is_empty());
    assert_unaffected(&env, &server).await
}

#[tokio::test]
async fn invalid_http2() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = start(&env).await?;
    for bytes in [
        &b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"[..],
        &[0; 64],
        &[255; 64],
    ] {
        let mut socket = TcpStream::connect(server.peers).await?;
        socket.write_all(bytes).await?;
        let mut answer = Vec::new();
        // The server closes the connection; a reset is accepted as well.
        let _ = socket.read_to_end(&mut answer).await;
    }
    assert_unaffected(&env, &server).await
}

#[tokio::test]
async fn id_of_other_team() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = start(&env).await?;
    let slow = r#"{"run_ms": 500, "answer": "secret"}"#;
    let first = [task(9), chunk(9, 0, slow), end(9, slow)];
    let Frame::Submit(mut other_team) = task(9) else {
        unreachable!("task() returns a submission");
    };
    other_team.team = "ice".to_owned();
    let second = [Frame::Submit(other_team), end(9, "")];
    let (first, second) = tokio::join!(
        exchange(server.peers, "/azurepath", encode(&first)?),
        exchange(server.peers, "/azurepath", encode(&second)?),
    );
    let answers = [first?.1, second?.1];
    let with_secret = |frames: &Vec<Frame>| {
        let holds = |frame: &Frame| matches!(frame, Frame::Chunk(chunk) if chunk.data == "secret");
        frames.iter().any(holds)
    };
    // Whichever request came first, the other team's stream must not carry the answer.
    assert!(!with_secret(&answers[1]), "{answers:?}");
    Ok(())
}
