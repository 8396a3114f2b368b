//! Requests end to end through a server process.

mod support;

use support::{AUDIT, ICE, TestEnv};

fn bearer(token: &str) -> String {
    format!("Bearer {token}")
}

#[tokio::test]
async fn complete_answer() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let mut server = env.server("s1", "zrh-a", "ch-north").await?;
    server.ready().await?;

    let key = bearer(AUDIT);
    let answer = server
        .submit("pairing", "dimmer 7, lamp 3", &[("authorization", &key)])
        .await?;

    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(answer.text(), "dimmer 7, lamp 3");
    assert_eq!(answer.header("azurepath-ran"), Some("ran"));
    assert_eq!(answer.header("azurepath-attempt"), Some("1"));
    assert!(answer.header("azurepath-worker").is_some());
    assert!(server.stop().await?.success());
    Ok(())
}

/// A queue, the request headers, and the status and kind of the expected refusal.
type Case<'a> = (&'a str, &'a [(&'a str, &'a str)], u16, &'a str);

#[tokio::test]
async fn typed_refusals() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = env.server("s1", "zrh-a", "ch-north").await?;
    server.ready().await?;
    let key = bearer(ICE);
    let wrong = bearer("ice-1.wrong");
    let cases: [Case<'_>; 6] = [
        ("pairing", &[], 401, "key_missing"),
        ("pairing", &[("authorization", &wrong)], 401, "key_invalid"),
        ("nowhere", &[("authorization", &key)], 404, "queue"),
        (
            "pairing",
            &[("authorization", &key), ("azurepath-patience", "soon")],
            400,
            "header",
        ),
        (
            "pairing",
            &[("authorization", &key), ("azurepath-request-id", "xyz")],
            400,
            "header",
        ),
        (
            "pairing",
            &[("authorization", &key), ("azurepath-millicores", "64000")],
            422,
            "too_large",
        ),
    ];
    for (queue, headers, status, kind) in cases {
        let answer = server.submit(queue, "x", headers).await?;
        assert_eq!(answer.status.as_u16(), status, "{kind}: {}", answer.text());
        let document = answer.json();
        assert_eq!(document["kind"], kind);
        assert_eq!(document["ran"], "not_run");
        assert_eq!(answer.header("azurepath-ran"), Some("not_run"));
        assert!(
            document["message"]
                .as_str()
                .is_some_and(|text| !text.is_empty())
        );
    }
    Ok(())
}

#[tokio::test]
async fn open_queue() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = env.server("s1", "zrh-a", "ch-north").await?;
    server.ready().await?;
    let answer = server.submit("open", "check", &[]).await?;
    assert_eq!(answer.status, 200, "{}", answer.text());
    Ok(())
}
