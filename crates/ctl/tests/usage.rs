//! The bill printed by the command line.

mod support;

use anyhow::Result;
use azurepath_services::object::{self, Store};
use support::TestEnv;

const DOCUMENTS: &str = r#"
{"kind": "team", "name": "dispatch", "account": "barafu-pwani", "share": 3,
 "limit": {"millicores": 8000, "memory_mib": 16000, "slots": 8}}
{"kind": "queue", "name": "orders", "class": "urgent", "open_to": "dispatch",
 "size": {"millicores": 500, "slots": 1}, "estimate_ms": 20, "idempotent": true}
"#;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bill_and_tampering() -> Result<()> {
    let mut env = TestEnv::start().await?;
    let file = env.file("all.json", DOCUMENTS)?;
    assert_eq!(env.run(&["apply", "-f", &file]).await?.code, 0);
    let work = r#"{"run_ms":50,"answer":"ok"}"#;
    let run = env.run_with(&["submit", "orders"], "", work).await?;
    assert_eq!(run.code, 0, "{run:?}");
    env.stop_server().await?;

    let platform = env.fleet.address();
    let address = platform.to_string();
    let bill = env
        .run(&["usage", "--platform", &address, "--team", "dispatch"])
        .await?;
    assert_eq!(bill.code, 0, "{bill:?}");
    assert!(bill.out.contains("dispatch"), "{bill:?}");
    let other = env
        .run(&["usage", "--platform", &address, "--to", "2026-01-01"])
        .await?;
    assert!(
        !other.out.contains("dispatch"),
        "nothing ran before that day: {other:?}"
    );
    let verified = env
        .run(&["usage", "verify", "--platform", &address])
        .await?;
    assert_eq!(verified.code, 0, "{verified:?}");

    let objects = object::Client::new(platform);
    for name in objects.list("usage/").await? {
        let text = String::from_utf8(objects.get(&name).await?.to_vec())?;
        let changed = text.replace("dispatch", "somebody");
        objects.put(&name, changed.into_bytes().into()).await?;
    }
    let verified = env
        .run(&["usage", "verify", "--platform", &address])
        .await?;
    assert_eq!(verified.code, 6, "tampering is detected: {verified:?}");
    env.stop().await
}
