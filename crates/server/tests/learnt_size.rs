//! Sizes that were declared too small are learnt and booked.

mod support;

use azurepath_decide::size::Size;
use support::{AUDIT, TestEnv, until};

/// What a task of the queue declares and what it uses, in MiB of memory.
const DECLARED_MIB: u64 = 512;
const USED_MIB: u64 = 3_072;

/// The largest memory with which a worker was told to start an attempt.
fn largest_start(env: &TestEnv) -> Size {
    let records = env.fleet.records();
    let begun = records.iter().flat_map(|(_, record)| &record.begun);
    begun.fold(Size::ZERO, |most, begun| Size::max(&most, &begun.size))
}

#[tokio::test]
async fn booked_at_worker() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let server = env.server("s1", "zrh-a", "ch-north").await?;
    server.ready().await?;
    let key = format!("Bearer {AUDIT}");
    let declared = DECLARED_MIB.to_string();
    let headers = [
        ("authorization", key.as_str()),
        ("azurepath-memory-mib", declared.as_str()),
    ];
    let body =
        format!(r#"{{"run_ms": 2500, "answer": "done", "use": {{"memory_mib": {USED_MIB}}}}}"#);
    until(async || {
        let batch = (0..6).map(|_| server.submit("audits", &body, &headers));
        futures::future::join_all(batch).await;
        // The next owner adopts what a worker was told, so it must be what is booked.
        largest_start(&env).memory_mib >= USED_MIB
    })
    .await;
    Ok(())
}
