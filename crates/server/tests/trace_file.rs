//! The trace file that a server records.

mod support;

use std::fs::File;
use std::io::BufReader;

use azurepath_decide::trace::{Input, Reader, Record};
use azurepath_decide::{event, replay};
use support::{AUDIT, TestEnv};

/// A recorded trace.
struct Trace {
    length: u64,
    records: Vec<Record>,
    replayed: replay::Outcome,
}

/// Runs five requests on a server whose trace is limited to `max_size` and returns the trace.
async fn record(env: &TestEnv, max_size: &str) -> anyhow::Result<Trace> {
    let path = std::env::temp_dir().join(format!(
        "azurepath-trace-{}-{}.jsonl",
        std::process::id(),
        env.fleet.address().port()
    ));
    let more = format!(
        "[timing]\nlinger = 0s\ninstances = 100ms\n[trace]\nfile = {}\nmax_size = {max_size}\n",
        path.display()
    );
    let mut server = env.server_with("s1", "zrh-a", "ch-north", &more).await?;
    server.ready().await?;
    let key = format!("Bearer {AUDIT}");
    for number in 0..5 {
        let body = format!("check {number}");
        let headers = [("authorization", key.as_str())];
        let answer = server.submit("pairing", &body, &headers).await?;
        assert_eq!(answer.text(), body);
    }
    assert!(server.stop().await?.success());
    let length = std::fs::metadata(&path)?.len();
    let reader = Reader::new(BufReader::new(File::open(&path)?))?;
    let records = reader.collect::<Result<_, _>>()?;
    let replayed = replay::run(BufReader::new(File::open(&path)?))?;
    std::fs::remove_file(path)?;
    Ok(Trace {
        length,
        records,
        replayed,
    })
}

#[tokio::test]
async fn complete_trace() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let Trace {
        records, replayed, ..
    } = record(&env, "64MiB").await?;
    let submitted = records
        .iter()
        .filter(|record| matches!(record.input, Input::Cell(event::Event::Submit(_))));
    assert_eq!(submitted.count(), 5);
    let ended = records
        .iter()
        .filter(|record| matches!(record.input, Input::Cell(event::Event::Ended { .. })));
    assert_eq!(ended.count(), 5);
    assert_eq!(replayed.starts, 5);
    assert_eq!(replayed.answers.get("ran done"), Some(&5), "{replayed:?}");
    Ok(())
}

#[tokio::test]
async fn bounded_trace() -> anyhow::Result<()> {
    let env = TestEnv::start().await?;
    let Trace {
        length, records, ..
    } = record(&env, "2KiB").await?;
    assert!(length <= 2048, "{length} bytes");
    assert!(!records.is_empty());
    Ok(())
}
