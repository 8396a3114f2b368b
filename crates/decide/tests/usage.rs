//! Usage counts once even if records are repeated or lost, and tampering with records is detected.

use azurepath_decide::attempt::{Attempt, Running};
use azurepath_decide::class::Class;
use azurepath_decide::name::Name;
use azurepath_decide::request::Id;
use azurepath_decide::size::Size;
use azurepath_decide::usage::{
    Amount, Bill, Chain, Corruption, Entry, Head, INTERVAL_MS, Ledger, Period, Segment,
};

const ALL: Period = Period {
    from_ms: 0,
    to_ms: u64::MAX,
};

fn running(id: u128, team: &str) -> Running {
    Running {
        attempt: Attempt {
            request: Id(id),
            number: 1,
        },
        team: team.into(),
        kind: "checks".into(),
        class: Class::Urgent,
        size: Size {
            millicores: 1_000,
            memory_mib: 10,
            accelerators: 0,
            slots: 1,
        },
        gang: None,
        idempotent: true,
    }
}

fn bill<'a>(entries: impl IntoIterator<Item = &'a Entry>, period: Period) -> Amount {
    let mut bill = Bill::default();
    entries.into_iter().for_each(|entry| bill.add(entry));
    bill.teams(period).get("plans").copied().unwrap_or_default()
}

/// Returns the entries of one attempt that ran from 30 s to 200 s and was sealed twice meanwhile.
fn entries() -> Vec<Entry> {
    let mut ledger = Ledger::default();
    let worker: Name = "w1".into();
    let run = running(1, "plans");
    ledger.begin(30_000, &worker, &run);
    let mut entries = ledger.take(70_000);
    entries.extend(ledger.take(100_000));
    ledger.begin(110_000, &worker, &run);
    ledger.end(200_000, run.attempt);
    ledger.end(210_000, run.attempt);
    entries.extend(ledger.take(220_000));
    entries
}

#[test]
fn repeats_count_once() {
    let entries = entries();
    let once = bill(&entries, ALL);
    let expected = Amount {
        attempts: 1,
        millicore_ms: 170_000 * 1_000,
        memory_mib_ms: 170_000 * 10,
        accelerator_ms: 0,
    };
    assert_eq!(once, expected);
    let repeated = entries.iter().rev().chain(&entries).chain(&entries);
    assert_eq!(bill(repeated, ALL), once);
}

#[test]
fn seals_within_interval() {
    let worker: Name = "w1".into();
    let run = running(1, "plans");
    let mut ledger = Ledger::default();
    ledger.begin(1_000, &worker, &run);
    let mut entries = ledger.take(5_000);
    ledger.end(9_000, run.attempt);
    entries.extend(ledger.take(10_000));
    assert_eq!(bill(&entries, ALL).millicore_ms, 8_000 * 1_000);
    assert_eq!(bill(entries.iter().rev(), ALL).millicore_ms, 8_000 * 1_000);
}

#[test]
fn entries_split_at_intervals() {
    for entry in entries() {
        assert_eq!(entry.from_ms / INTERVAL_MS, entry.key.interval);
        assert!(entry.to_ms <= (entry.key.interval + 1) * INTERVAL_MS);
    }
}

#[test]
fn periods_add_up() {
    let entries = entries();
    let part = |from_ms, to_ms| bill(&entries, Period { from_ms, to_ms }).millicore_ms;
    let all = bill(&entries, ALL).millicore_ms;
    assert_eq!(part(0, 95_000) + part(95_000, 1_000_000), all);
    assert_eq!(part(300_000, 400_000), 0);
}

#[test]
fn owner_dies() {
    let worker: Name = "w1".into();
    let run = running(1, "plans");
    let mut first = Ledger::default();
    first.begin(10_000, &worker, &run);
    let mut entries = first.take(60_000);
    first.take(120_000);
    let mut second = Ledger::default();
    second.reconcile(150_000, &worker, std::slice::from_ref(&run));
    second.end(160_000, run.attempt);
    entries.extend(second.take(180_000));
    let amount = bill(&entries, ALL);
    assert_eq!(
        amount.millicore_ms,
        150_000 * 1_000,
        "the gap is billed too"
    );
    assert_eq!(amount.attempts, 1);
}

#[test]
fn unstarted_attempt_not_billed() {
    let worker: Name = "w1".into();
    let run = running(1, "plans");
    let mut ledger = Ledger::default();
    ledger.begin(10_000, &worker, &run);
    ledger.cancel(run.attempt);
    assert_eq!(ledger.take(60_000), []);
    ledger.begin(70_000, &worker, &run);
    ledger.reconcile(75_000, &worker, &[]);
    let entries = ledger.take(90_000);
    assert_eq!(bill(&entries, ALL).millicore_ms, 5_000 * 1_000);
}

/// Returns a chain of three segments.
fn chain() -> Vec<Segment> {
    let mut head = Head::default();
    let mut segments = Vec::new();
    for entry in entries().into_iter().take(3) {
        let segment = Segment::seal("s1-7", &head, vec![entry]);
        head = segment.head();
        segments.push(segment);
    }
    segments
}

fn follow(segments: &[Segment], head: &Head) -> Result<(), Corruption> {
    let mut chain = Chain::new("s1-7", head.clone());
    for segment in segments {
        chain.follow(segment)?;
    }
    chain.finish()
}

#[test]
fn segment_round_trip() {
    let segments = chain();
    for segment in &segments {
        let read = Segment::parse(&segment.name(), &segment.text()).unwrap();
        assert_eq!(read, *segment);
    }
    follow(&segments, &segments[2].head()).unwrap();
    follow(&segments, &segments[1].head()).unwrap();
}

#[test]
fn tampering_detected() {
    let segments = chain();
    let name = segments[1].name();
    let text = segments[1].text();
    for (from, to) in [
        ("plans", "other"),
        ("\"millicores\":1000", "\"millicores\":1"),
    ] {
        assert!(text.contains(from));
        let broken = Segment::parse(&name, &text.replace(from, to)).unwrap_err();
        let changed = Corruption::Changed { name: name.clone() };
        assert_eq!(broken, changed);
    }
    let cut = Segment::parse(&name, &text[..text.len() / 2]);
    assert!(cut.is_err());

    let head = segments[2].head();
    let missing = follow(&[segments[0].clone(), segments[2].clone()], &head);
    assert!(matches!(missing, Err(Corruption::Gap { .. })));
    let short = follow(&segments[..2], &head);
    assert!(matches!(short, Err(Corruption::Short { .. })));
    let mut entry = segments[1].entries[0].clone();
    entry.team = "other".into();
    let resealed = Segment::seal("s1-7", &segments[0].head(), vec![entry]);
    let replaced = [segments[0].clone(), resealed, segments[2].clone()];
    assert!(matches!(
        follow(&replaced, &head),
        Err(Corruption::Gap { .. })
    ));
    let last = Segment::seal("s1-7", &segments[1].head(), Vec::new());
    let replaced = [segments[0].clone(), segments[1].clone(), last];
    assert!(matches!(
        follow(&replaced, &head),
        Err(Corruption::Changed { .. })
    ));
}
