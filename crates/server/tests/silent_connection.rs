//! Connections between servers that become silent, large payloads and unreachable servers.

#[path = "support/proxy.rs"]
mod proxy;
mod support;

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::attempt::Attempt;
use azurepath_decide::class::Class;
use azurepath_decide::fleet::Server;
use azurepath_decide::request::{Id, Request};
use azurepath_decide::size::Size;
use azurepath_decide::verdict::Verdict;
use azurepath_server::connection::call::Failure;
use azurepath_server::connection::ping::Timing;
use azurepath_server::connection::pool::{self, Handle, Pool};
use azurepath_server::connection::publish::Budget;
use azurepath_server::metrics::Metrics;
use azurepath_server::process::clock::Clock;
use azurepath_server::process::engine::Submission;
use bytes::Bytes;
use proxy::Proxy;
use support::{Process, TestEnv, until};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

const PAYLOAD_LIMIT_BYTES: u64 = 8 << 20;

/// The connection pool of an entry server, without the rest of the server.
struct Entry {
    handle: Handle,
    metrics: Arc<Metrics>,
    clock: Clock,
    _task: JoinSet<()>,
}

impl Entry {
    fn start() -> anyhow::Result<Entry> {
        let metrics = Arc::new(Metrics::new()?);
        let (handle, inbox) = pool::channel(PAYLOAD_LIMIT_BYTES);
        let pool = Pool {
            name: "entry".into(),
            ping_timing: Timing {
                interval: Duration::from_millis(100),
                timeout: Duration::from_millis(300),
            },
            view: watch::Sender::new(Arc::default()).subscribe(),
            summary: watch::Sender::new(None).subscribe(),
            budget: Budget {
                name: "entry".into(),
                failure_domain: "zrh-a".into(),
                region: "ch-north".into(),
                view: watch::Sender::new(Arc::default()).subscribe(),
            },
            log: slog::Logger::root(slog::Discard, slog::o!()),
            metrics: metrics.clone(),
        };
        let mut task = JoinSet::new();
        task.spawn(pool.run(inbox, CancellationToken::new()));
        Ok(Entry {
            handle,
            metrics,
            clock: Clock::start(),
            _task: task,
        })
    }

    async fn send(
        &self,
        server: &Server,
        submission: &Submission,
        resume: bool,
    ) -> Result<(Verdict, Bytes), Failure> {
        let reply = self
            .handle
            .submit(server, submission, self.clock, resume)
            .await?;
        Ok((reply.verdict, reply.payload))
    }
}

fn submission(clock: Clock, id: u128, payload: impl Into<Bytes>) -> Submission {
    Submission {
        request: Request {
            id: Id(id),
            team: "audit".into(),
            kind: "audits".into(),
            class: Class::Batch,
            size: Size {
                millicores: 1_000,
                memory_mib: 256,
                accelerators: 0,
                slots: 1,
            },
            estimate: Duration::from_millis(20),
            deadline: clock.now().after(Duration::from_secs(60)),
            idempotent: false,
            gang: None,
            target: None,
        },
        payload: payload.into(),
        detached: false,
        keep: false,
    }
}

async fn start(env: &TestEnv) -> anyhow::Result<(Process, Proxy, Server)> {
    let process = env.server("s1", "zrh-a", "ch-north").await?;
    process.ready().await?;
    let proxy = Proxy::start(process.peers).await?;
    let server = Server {
        name: "s1".into(),
        incarnation: 1,
        address: proxy.address,
        failure_domain: "zrh-a".into(),
        region: "ch-north".into(),
        leaving: false,
    };
    Ok((process, proxy, server))
}

fn begun(env: &TestEnv) -> usize {
    let records = env.fleet.records();
    records.iter().map(|(_, record)| record.begun.len()).sum()
}

#[tokio::test]
async fn resume_while_running() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let (_process, proxy, server) = start(&env).await?;
    let entry = Entry::start()?;
    let work = submission(entry.clock, 5, r#"{"run_ms": 1500, "answer": "whole"}"#);
    let silence = async {
        until(async || begun(&env) == 1).await;
        proxy.silence_open();
    };
    let (sent, ()) = tokio::join!(entry.send(&server, &work, false), silence);
    assert_eq!(sent, Err(Failure::Lost));

    let (verdict, payload) = entry.send(&server, &work, true).await?;
    let attempt = Attempt {
        request: Id(5),
        number: 1,
    };
    assert!(
        matches!(&verdict, Verdict::Ran { attempt: ran, .. } if *ran == attempt),
        "{verdict:?}"
    );
    assert_eq!(payload, "whole");
    assert_eq!(begun(&env), 1);
    let metrics = String::from_utf8(entry.metrics.text()?)?;
    let silent = metrics
        .lines()
        .any(|line| line.starts_with("azurepath_silent_connections_total") && line.ends_with(" 1"));
    assert!(silent, "{metrics}");
    Ok(())
}

#[tokio::test]
async fn resume_after_end() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let (_process, proxy, server) = start(&env).await?;
    let entry = Entry::start()?;
    let work = submission(entry.clock, 6, r#"{"run_ms": 200, "answer": "whole"}"#);
    let silence = async {
        until(async || begun(&env) == 1).await;
        proxy.silence_open();
    };
    let (sent, ()) = tokio::join!(entry.send(&server, &work, false), silence);
    assert_eq!(sent, Err(Failure::Lost));
    // The owner already has the answer when the entry asks for it again.
    until(async || {
        env.fleet
            .records()
            .iter()
            .any(|(_, record)| !record.ended.is_empty())
    })
    .await;
    let (_, payload) = entry.send(&server, &work, true).await?;
    assert_eq!(payload, "whole");
    assert_eq!(begun(&env), 1);
    Ok(())
}

#[tokio::test]
async fn large_payloads() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let (_process, _proxy, server) = start(&env).await?;
    let entry = Entry::start()?;
    let entry = &entry;
    let server = &server;
    // The payloads together exceed the window of a connection, and each exceeds that of a stream.
    let calls = (1..=8_u8).map(|number| async move {
        let payload = Bytes::from(vec![number; 4 << 20]);
        let work = submission(entry.clock, u128::from(number), payload.clone());
        let (_, answer) = entry.send(server, &work, false).await?;
        anyhow::ensure!(
            answer == payload,
            "the answer to {number} belongs to another request"
        );
        Ok(())
    });
    for result in futures::future::join_all(calls).await {
        result?;
    }
    Ok(())
}

#[tokio::test]
async fn unreachable_server() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let (mut process, _proxy, server) = start(&env).await?;
    let closed = Server {
        address: process.peers,
        ..server
    };
    process.kill()?;
    let entry = Entry::start()?;
    let work = submission(entry.clock, 7, "x");
    assert_eq!(
        entry.send(&closed, &work, false).await,
        Err(Failure::Unsent)
    );
    Ok(())
}
