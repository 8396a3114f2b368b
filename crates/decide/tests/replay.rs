//! Replayed traces give their recorded outcomes.
//!
//! `traces/NAME.outcome` is the output of `azurectl replay` for `traces/NAME.jsonl`.

use std::fs::{self, File};
use std::io::BufReader;
use std::path::PathBuf;

use azurepath_decide::cell::Setup;
use azurepath_decide::event::Event;
use azurepath_decide::policy::Policy;
use azurepath_decide::replay;
use azurepath_decide::route;
use azurepath_decide::time::Time;
use azurepath_decide::trace::{self, Header, Input, Reader, Record, Writer};

fn traces() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces")
}

fn check(name: &str) {
    let path = traces().join(name);
    let file = File::open(path.with_extension("jsonl")).expect("the trace is there");
    let outcome = replay::run(BufReader::new(file)).expect("the trace replays");
    let recorded = fs::read_to_string(path.with_extension("outcome"));
    assert_eq!(outcome.to_string(), recorded.expect("the outcome is there"));
}

fn header() -> Header {
    Header {
        version: trace::VERSION,
        cell: Some(Setup {
            server: "s0".into(),
            seed: 1,
            policy: Policy::Fair,
            region: None,
        }),
        router: None,
    }
}

fn tick(millis: u64) -> Record {
    Record {
        at: Time::from_millis(millis),
        input: Input::Cell(Event::Tick),
    }
}

fn written(header: &Header, records: &[Record], limit: u64) -> (Vec<u8>, u64) {
    let mut out = Vec::new();
    let mut writer = Writer::new(&mut out, limit, header).expect("the header fits");
    for record in records {
        writer.write(record).expect("a write to memory succeeds");
    }
    let dropped = writer.dropped();
    (out, dropped)
}

#[test]
fn lumen() {
    check("lumen");
}

#[test]
fn barafu() {
    check("barafu");
}

#[test]
fn faults() {
    check("faults");
}

#[test]
fn round_trip() {
    let records = [tick(1), tick(2)];
    let (text, dropped) = written(&header(), &records, 10_000);
    assert_eq!(dropped, 0);
    let reader = Reader::new(text.as_slice()).expect("the header is valid");
    assert_eq!(reader.header(), &header());
    let read: Vec<Record> = reader.map(|record| record.expect("a record")).collect();
    assert_eq!(read, records);
}

#[test]
fn bounded_size() {
    let records: Vec<Record> = (0..1_000).map(tick).collect();
    let (text, dropped) = written(&header(), &records, 1_000);
    assert!(text.len() <= 1_000);
    assert!(dropped > 900);
    let outcome = replay::run(text.as_slice()).expect("the truncated trace replays");
    assert_eq!(outcome.events + dropped, 1_000);
}

#[test]
fn bad_traces() {
    let old = Header {
        version: trace::VERSION + 1,
        ..header()
    };
    let (of_router, _) = {
        let record = Record {
            at: Time(0),
            input: Input::Router(route::Event::Tick),
        };
        written(&header(), &[record], 10_000)
    };
    let mut broken = written(&header(), &[tick(1)], 10_000).0;
    broken.extend_from_slice(b"{\"at\":1}\n");
    for (text, expected) in [
        (Vec::new(), "record one with the server's setting"),
        (written(&old, &[], 10_000).0, "record the trace again"),
        (of_router, "record both"),
        (broken, "line 3 is not a record"),
    ] {
        let error = replay::run(text.as_slice()).expect_err("a bad trace");
        assert!(error.to_string().contains(expected), "{error}");
    }
}
