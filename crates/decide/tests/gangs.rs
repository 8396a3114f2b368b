//! Members of a gang start together or not at all.

mod support;

use std::time::Duration;

use azurepath_decide::action::Action;
use azurepath_decide::attempt::{Outcome, Refusal};
use azurepath_decide::event::Event;
use azurepath_decide::gang::HoldRequest;
use azurepath_decide::request::{Id, Request};
use azurepath_decide::verdict::Reason;
use azurepath_decide::worker::Interrupt;
use support::*;

fn reserve(bench: &mut Bench, gang: u128, count: u128, size: u64) -> Vec<Action> {
    let member = |index| Request {
        gang: Some(Id(gang)),
        ..request(gang * 100 + index, "a", cores(size))
    };
    let expires = bench.now.after(Duration::from_secs(10));
    bench.send(Event::Reserve(HoldRequest {
        gang: Id(gang),
        members: (0..count).map(member).collect(),
        expires,
    }))
}

#[test]
fn held_then_started() {
    let mut bench = Bench::ready(2, machine());
    let reserved = reserve(&mut bench, 1, 4, 16);
    assert_eq!(held(&reserved), [(1, vec![100, 101, 102, 103])]);
    assert!(starts(&reserved).is_empty());
    assert!(starts(&bench.submit(request(9, "a", cores(1)))).is_empty());
    let committed = bench.send(Event::Commit { gang: Id(1) });
    assert_eq!(starts(&committed).len(), 4);
    for (attempt, worker) in starts(&committed) {
        let ended = bench.ended(attempt, &worker, Outcome::Done);
        assert_eq!(
            answers(&ended),
            [(attempt.request.0, ran(attempt, &worker, Outcome::Done))]
        );
    }
}

#[test]
fn expiry_releases_places() {
    let mut bench = Bench::ready(1, machine());
    reserve(&mut bench, 1, 2, 16);
    bench.submit(request(9, "a", cores(32)));
    let expired = bench.wait(10_000);
    assert_eq!(starts(&expired), [(attempt(9, 1), "w0".to_owned())]);
    assert_eq!(held(&expired), [(1, vec![])]);
    assert!(answers(&expired).is_empty());
    let late = bench.send(Event::Commit { gang: Id(1) });
    assert!(starts(&late).is_empty());
    assert_eq!(held(&late), [(1, vec![])]);
}

#[test]
fn release_frees_places() {
    let mut bench = Bench::ready(1, machine());
    reserve(&mut bench, 1, 3, 16);
    bench.submit(request(9, "a", cores(32)));
    let released = bench.send(Event::Release { gang: Id(1) });
    assert_eq!(starts(&released), [(attempt(9, 1), "w0".to_owned())]);
    assert!(answers(&released).is_empty());
    assert_eq!(bench.cell.dump().queued, 0);
}

#[test]
fn refused_member_stops_gang() {
    let mut bench = Bench::ready(2, machine());
    reserve(&mut bench, 1, 3, 16);
    let sent = starts(&bench.send(Event::Commit { gang: Id(1) }));
    bench.started(sent[0].0, &sent[0].1);
    let refused = bench.refused(sent[1].0, &sent[1].1, Refusal::Broken);
    assert_eq!(
        answers(&refused),
        [(sent[1].0.request.0, not_run(Reason::Gang))]
    );
    let mut interrupted = interrupts(&refused);
    interrupted.sort_by_key(|(attempt, _)| *attempt);
    assert_eq!(
        interrupted,
        [(sent[0].0, Interrupt::Stop), (sent[2].0, Interrupt::Stop)]
    );
    let stopped = bench.ended(sent[0].0, &sent[0].1, Outcome::Stopped);
    let verdict = ran(sent[0].0, &sent[0].1, Outcome::Stopped);
    assert_eq!(answers(&stopped), [(sent[0].0.request.0, verdict)]);
    let other = bench.refused(sent[2].0, &sent[2].1, Refusal::Leaving);
    assert_eq!(
        answers(&other),
        [(sent[2].0.request.0, not_run(Reason::Gang))]
    );
    assert!(starts(&bench.wait(60_000)).is_empty());
}

#[test]
fn lower_gang_takes_over() {
    let mut bench = Bench::ready(2, machine());
    assert_eq!(held(&reserve(&mut bench, 7, 1, 32)).len(), 1);
    assert_eq!(held(&reserve(&mut bench, 3, 1, 32)), [(3, vec![300])]);
    let both = reserve(&mut bench, 3, 2, 32);
    assert_eq!(held(&both), [(3, vec![300, 301]), (7, vec![])]);
    assert_eq!(held(&reserve(&mut bench, 7, 2, 32)), [(7, vec![])]);
    assert_eq!(starts(&bench.send(Event::Commit { gang: Id(3) })).len(), 2);
    let ended = bench.ended(attempt(300, 1), "w1", Outcome::Done);
    assert!(starts(&ended).is_empty());
    assert_eq!(held(&ended), [(7, vec![700])]);
}

#[test]
fn started_gang_stays() {
    let mut bench = Bench::ready(1, machine());
    reserve(&mut bench, 7, 1, 32);
    bench.send(Event::Commit { gang: Id(7) });
    assert_eq!(held(&reserve(&mut bench, 3, 1, 32)), [(3, vec![])]);
    let ended = bench.ended(attempt(700, 1), "w0", Outcome::Done);
    assert_eq!(held(&ended), [(3, vec![300])]);
}

#[test]
fn leaving_worker_releases_places() {
    let mut bench = Bench::ready(1, machine());
    reserve(&mut bench, 1, 1, 16);
    let left = bench.send(Event::Leave {
        worker: "w0".into(),
    });
    assert_eq!(held(&left), [(1, vec![])]);
    let joined = bench.add("w1", "r1", machine());
    assert_eq!(held(&joined), [(1, vec![100])]);
}
