//! A size that was declared too small is learnt from usage and reserved for later attempts.

mod support;

use azurepath_decide::size::Size;
use support::{AUDIT, TestEnv, until};

/// The memory that a task declares.
const DECLARED_MIB: u64 = 512;

/// The memory that the task uses.
const USED_MIB: u64 = 3_072;

/// Returns the largest amount of each resource with which an attempt was started on a worker.
fn largest_start(env: &TestEnv) -> Size {
    let records = env.fleet.records();
    let begun = records.iter().flat_map(|(_, record)| &record.begun);
    begun.fold(Size::ZERO, |max, begun| Size::max(&max, &begun.size))
}

#[tokio::test]
async fn reserved_on_worker() -> anyhow::Result<()> {
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
        let requests = (0..6).map(|_| server.submit("audits", &body, &headers));
        futures::future::join_all(requests).await;
        // The next owner adopts the sizes that workers report, so a worker must be given the learnt
        // size.
        largest_start(&env).memory_mib >= USED_MIB
    })
    .await;
    Ok(())
}
