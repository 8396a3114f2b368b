//! The graceful stop of a server.

mod support;

use std::time::Duration;

use azurepath_server::process::stop::{Inflight, Phase, drain};
use support::{AUDIT, Process, TestEnv, get, until};
use tokio::sync::watch;
use tokio::time::Instant;

const LINGER: Duration = Duration::from_secs(2);

/// Much longer than the graceful stop of the HTTP library, which gives up after about 30 s.
const LONG_DELAY: Duration = Duration::from_secs(3_600);

#[tokio::test(start_paused = true)]
async fn long_request() {
    let phase = watch::Sender::new(Phase::Serving);
    let (_membership, mut handed_over) = watch::channel(true);
    let inflight = Inflight::default();
    let guard = inflight.enter("request");
    let started_at = Instant::now();
    let request = tokio::spawn(async move {
        tokio::time::sleep(LONG_DELAY).await;
        drop(guard);
    });
    drain(&phase, &mut handed_over, &inflight, LINGER).await;
    assert_eq!(started_at.elapsed(), LONG_DELAY);
    assert_eq!(*phase.borrow(), Phase::Closing);
    request.await.expect("the request task panicked");
}

#[tokio::test(start_paused = true)]
async fn slow_handover() {
    let phase = watch::Sender::new(Phase::Serving);
    let mut seen = phase.subscribe();
    let (membership, mut handed_over) = watch::channel(false);
    let inflight = Inflight::default();
    let started_at = Instant::now();
    let handover = tokio::spawn(async move {
        tokio::time::sleep(LONG_DELAY).await;
        let before = *seen.borrow_and_update();
        membership.send_replace(true);
        before
    });
    drain(&phase, &mut handed_over, &inflight, LINGER).await;
    assert_eq!(started_at.elapsed(), LONG_DELAY);
    assert_eq!(
        handover.await.expect("the handover task panicked"),
        Phase::Leaving
    );
}

/// Stops a server while a request that runs for `run_ms` is in flight, and checks that the request
/// is answered completely before the process exits.
async fn stops_after_answer(env: &TestEnv, mut server: Process, run_ms: u64) -> anyhow::Result<()> {
    assert_eq!(get(server.http, "/readyz").await?.status, 200);

    let key = format!("Bearer {AUDIT}");
    let headers = [("authorization", key.as_str())];
    let body = format!(r#"{{"run_ms": {run_ms}, "answer": "late but whole"}}"#);
    let request = server.submit("audits", &body, &headers);
    let stop = async {
        until(async || {
            env.fleet
                .records()
                .iter()
                .any(|(_, record)| !record.begun.is_empty())
        })
        .await;
        server.signal("TERM")?;
        until(async || server.logged("stopping").is_some()).await;
        get(server.http, "/readyz").await
    };
    let (answer, ready) = tokio::join!(request, stop);

    assert_eq!(ready?.status, 503);
    let answer = answer?;
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(answer.text(), "late but whole");
    assert!(server.wait().await?.success());
    assert!(server.logged("stopped").is_some());
    Ok(())
}

#[tokio::test]
async fn answer_before_exit() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = env.server("s1", "zrh-a", "ch-north").await?;
    server.ready().await?;
    stops_after_answer(&env, server, 1_500).await
}

/// Settings with leases that need several renewals while the request runs.
const SHORT_LEASE_SETTINGS: &str =
    "[timing]\nlinger = 100ms\ninstances = 100ms\nlease = 1s\nrenewal = 200ms\n";

#[tokio::test]
async fn answer_past_lease() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = env
        .server_with("s1", "zrh-a", "ch-north", SHORT_LEASE_SETTINGS)
        .await?;
    server.ready().await?;
    stops_after_answer(&env, server, 2_500).await
}

#[tokio::test]
async fn hangup_ignored() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let mut server = env.server("s1", "zrh-a", "ch-north").await?;
    server.ready().await?;
    let key = format!("Bearer {AUDIT}");
    let headers = [("authorization", key.as_str())];
    server.signal("HUP")?;
    for _ in 0..20 {
        let answer = server.submit("pairing", "still here", &headers).await?;
        assert_eq!(answer.text(), "still here");
    }
    assert!(server.stop().await?.success());
    Ok(())
}
