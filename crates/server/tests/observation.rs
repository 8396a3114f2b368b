//! The metrics, dump and logs of a server process.

mod support;

use support::{AUDIT, TestEnv, get, until};

#[tokio::test]
async fn metrics_text() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = env.server("s1", "zrh-a", "ch-north").await?;
    server.ready().await?;
    let key = format!("Bearer {AUDIT}");
    server
        .submit("pairing", "x", &[("authorization", key.as_str())])
        .await?;
    let text = get(server.http, "/metrics").await?.text();
    let counted = |line: &str| {
        line.starts_with("azurepath_requests_total{")
            && line.contains(r#"queue="pairing""#)
            && line.contains(r#"ran="ran""#)
            && line.ends_with(" 1")
    };
    assert!(text.lines().any(counted), "{text}");
    assert!(text.contains("azurepath_latency_seconds_bucket{"), "{text}");
    Ok(())
}

#[tokio::test]
async fn complete_dump() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = env.server("s1", "zrh-a", "ch-north").await?;
    server.ready().await?;
    let dump = server.dump().await?;
    assert_eq!(dump["server"], "s1");
    assert_eq!(dump["phase"], "serving");
    assert_eq!(dump["instances"], 8);
    for part in ["engine", "router", "peers", "view"] {
        assert!(dump[part].is_object(), "{part}: {}", dump[part]);
    }
    Ok(())
}

#[tokio::test]
async fn log_fields() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = env.server("s1", "zrh-a", "ch-north").await?;
    server.ready().await?;
    let key = format!("Bearer {AUDIT}");
    let headers = [
        ("authorization", key.as_str()),
        ("azurepath-request-id", "abc"),
    ];
    server.submit("pairing", "x", &headers).await?;
    until(async || server.logged("request answered").is_some()).await;
    let line = server
        .logged("request answered")
        .expect("the line was logged before");
    assert_eq!(line["request"], format!("{:032x}", 0xabc));
    assert_eq!(line["team"], "audit");
    assert_eq!(line["instance"], "s1");
    assert_eq!(line["failure_domain"], "zrh-a");
    let secret = AUDIT.split('.').nth(1).expect("a token has two parts");
    let text = format!("{:?}", server.log());
    assert!(!text.contains(secret), "a key is in the log");
    Ok(())
}
