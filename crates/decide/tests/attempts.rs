//! A request runs on one worker at a time, and each caller gets one answer.

mod support;

use azurepath_decide::attempt::{Outcome, Refusal};
use azurepath_decide::event::Event;
use azurepath_decide::request::Id;
use azurepath_decide::time::Time;
use azurepath_decide::verdict::{Reason, Verdict};
use support::*;

#[test]
fn refused_goes_elsewhere() {
    let mut bench = Bench::ready(2, machine());
    let sent = starts(&bench.submit(request(1, "a", cores(1))));
    let refused = bench.refused(sent[0].0, &sent[0].1, Refusal::NoRoom);
    assert_eq!(claims(&refused).len(), 1);
    let again = starts(&bench.wait(100));
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].0, attempt(1, 2));
    assert_ne!(again[0].1, sent[0].1);
}

#[test]
fn lost_keeps_room() {
    let mut bench = Bench::ready(1, machine());
    bench.submit(request(1, "a", cores(20)));
    let lost = bench.lost(attempt(1, 1), "w0");
    assert_eq!(claims(&lost), [("w0".to_owned(), 1)]);
    bench.submit(request(2, "a", cores(20)));
    assert!(starts(&bench.claimed("w0", 1)).is_empty());
    let again = bench.wait(1_000);
    assert_eq!(starts(&again), [(attempt(1, 1), "w0".to_owned())]);
}

#[test]
fn lost_found_running() {
    let mut bench = Bench::ready(1, machine());
    let mut non_idempotent = request(1, "a", cores(20));
    non_idempotent.idempotent = false;
    bench.submit(non_idempotent.clone());
    assert!(answers(&bench.lost(attempt(1, 1), "w0")).is_empty());
    let mut found = inventory("w0", 1);
    found.running.push(running(&non_idempotent, 1));
    let claimed = bench.send(Event::Claimed(found));
    assert_eq!(attached(&claimed), [attempt(1, 1)]);
    assert!(answers(&claimed).is_empty());
}

#[test]
fn lost_non_idempotent_unknown() {
    let mut bench = Bench::ready(2, machine());
    let mut non_idempotent = request(1, "a", cores(20));
    non_idempotent.idempotent = false;
    let sent = starts(&bench.submit(non_idempotent.clone()));
    bench.lost(sent[0].0, &sent[0].1);
    let claimed = bench.claimed(&sent[0].1, 1);
    let unknown = Verdict::Unknown {
        attempt: attempt(1, 1),
    };
    assert_eq!(answers(&claimed), [(1, unknown.clone())]);
    assert!(starts(&bench.wait(5_000)).is_empty());
    assert!(starts(&bench.submit(non_idempotent)).is_empty());
}

#[test]
fn gone_worker_retries() {
    let mut bench = Bench::ready(2, machine());
    let mut non_idempotent = request(2, "a", cores(1));
    non_idempotent.idempotent = false;
    let first = starts(&bench.submit(request(1, "a", cores(1))));
    let second = starts(&bench.submit(non_idempotent));
    assert_eq!(first[0].1, second[0].1);
    let gone = bench.send(Event::Gone {
        worker: first[0].1.as_str().into(),
    });
    let unknown = Verdict::Unknown {
        attempt: attempt(2, 1),
    };
    assert_eq!(answers(&gone), [(2, unknown)]);
    let again = starts(&bench.wait(100));
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].0, attempt(1, 2));
}

#[test]
fn duplicate_replaced_by_known() {
    let mut bench = Bench::ready(1, machine());
    bench.submit(request(1, "a", cores(1)));
    let refused = bench.refused(attempt(1, 1), "w0", Refusal::Duplicate);
    assert!(answers(&refused).is_empty());
    let mut found = inventory("w0", 1);
    found.ended.push(attempt(1, 4));
    let claimed = bench.send(Event::Claimed(found));
    assert_eq!(attached(&claimed), [attempt(1, 4)]);
    let ended = bench.ended(attempt(1, 4), "w0", Outcome::Done);
    assert_eq!(
        answers(&ended),
        [(1, ran(attempt(1, 4), "w0", Outcome::Done))]
    );
}

#[test]
fn late_answers_dropped() {
    let mut bench = Bench::ready(2, machine());
    bench.submit(request(1, "a", cores(1)));
    assert!(bench.ended(attempt(1, 1), "w1", Outcome::Done).is_empty());
    assert!(bench.ended(attempt(1, 2), "w0", Outcome::Done).is_empty());
    assert_eq!(
        answers(&bench.ended(attempt(1, 1), "w0", Outcome::Done)).len(),
        1
    );
    assert!(bench.ended(attempt(1, 1), "w0", Outcome::Done).is_empty());
    assert!(
        bench
            .refused(attempt(1, 1), "w0", Refusal::NoRoom)
            .is_empty()
    );
}

#[test]
fn second_caller_attaches() {
    let mut bench = Bench::ready(1, machine());
    let mut non_idempotent = request(1, "a", cores(1));
    non_idempotent.idempotent = false;
    bench.submit(non_idempotent.clone());
    assert!(bench.submit(non_idempotent.clone()).is_empty());
    bench.ended(attempt(1, 1), "w0", Outcome::Done);
    let again = bench.submit(non_idempotent);
    assert_eq!(attached(&again), [attempt(1, 1)]);
    assert!(starts(&again).is_empty());
    assert_eq!(
        answers(&bench.ended(attempt(1, 1), "w0", Outcome::Done)).len(),
        1
    );
}

#[test]
fn cancel_stops() {
    let mut bench = Bench::ready(1, machine());
    bench.submit(request(1, "a", cores(20)));
    bench.submit(request(2, "a", cores(20)));
    let queued = bench.send(Event::Cancel { request: Id(2) });
    assert_eq!(answers(&queued), [(2, not_run(Reason::Cancelled))]);
    let placed = bench.send(Event::Cancel { request: Id(1) });
    assert!(answers(&placed).is_empty());
    assert_eq!(placed.len(), 1);
    let ended = bench.ended(attempt(1, 1), "w0", Outcome::Stopped);
    assert_eq!(
        answers(&ended),
        [(1, ran(attempt(1, 1), "w0", Outcome::Stopped))]
    );
}

#[test]
fn deadline_passes() {
    let mut bench = Bench::ready(1, machine());
    let mut first = request(1, "a", cores(20));
    first.deadline = Time::from_millis(2_000);
    let mut second = request(2, "a", cores(20));
    second.deadline = Time::from_millis(2_000);
    second.estimate = std::time::Duration::ZERO;
    bench.submit(first);
    bench.submit(second);
    let expired = bench.wait(1_000);
    let unknown = Verdict::Unknown {
        attempt: attempt(1, 1),
    };
    assert_eq!(
        answers(&expired),
        [(1, unknown), (2, not_run(Reason::Expired))]
    );
    let ended = bench.ended(attempt(1, 1), "w0", Outcome::Done);
    assert!(answers(&ended).is_empty());
}
