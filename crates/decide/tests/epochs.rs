//! Workers accept starts from one owner at a time.

mod support;

use std::time::Duration;

use azurepath_decide::attempt::{Outcome, Refusal};
use azurepath_decide::event::Event;
use azurepath_decide::policy::Policy;
use azurepath_decide::request::{Id, Request, Target};
use azurepath_decide::verdict::Reason;
use support::*;

#[test]
fn unclaimed_worker_idle() {
    let mut bench = Bench::new(Policy::Fair);
    bench.teams(&[team("a", 1)]);
    bench.gain("r1", 3, LARGE_LIMIT);
    let joined = bench.join("w0", "r1", machine());
    assert_eq!(claims(&joined), [("w0".to_owned(), 3)]);
    assert!(starts(&bench.submit(request(1, "a", cores(1)))).is_empty());
    assert!(starts(&bench.claimed("w0", 2)).is_empty());
    let claimed = bench.claimed("w0", 3);
    assert_eq!(starts(&claimed), [(attempt(1, 1), "w0".to_owned())]);
}

#[test]
fn lost_rack_idle() {
    let mut bench = Bench::ready(1, machine());
    bench.submit(request(1, "a", cores(20)));
    bench.submit(request(2, "a", cores(20)));
    let lost = bench.send(Event::Lose { rack: "r1".into() });
    assert_eq!(answers(&lost), [(2, not_run(Reason::Leaving))]);
    let ended = bench.ended(attempt(1, 1), "w0", Outcome::Done);
    assert_eq!(
        answers(&ended),
        [(1, ran(attempt(1, 1), "w0", Outcome::Done))]
    );
    let late = bench.submit(request(3, "a", cores(1)));
    assert_eq!(answers(&late), [(3, not_run(Reason::NoOwner))]);
}

#[test]
fn stale_owner_stops() {
    let mut bench = Bench::ready(2, machine());
    let sent = starts(&bench.submit(request(1, "a", cores(1))));
    let refused = bench.refused(sent[0].0, &sent[0].1, Refusal::StaleEpoch);
    assert_eq!(answers(&refused), [(1, not_run(Reason::Leaving))]);
    assert!(starts(&bench.submit(request(2, "a", cores(1)))).is_empty());
}

#[test]
fn old_refusal_harmless() {
    let mut bench = Bench::ready(1, machine());
    bench.submit(request(1, "a", cores(1)));
    bench.gain("r1", 2, LARGE_LIMIT);
    bench.claimed("w0", 2);
    bench.refused(attempt(1, 1), "w0", Refusal::StaleEpoch);
    let again = bench.wait(100);
    assert_eq!(starts(&again), [(attempt(1, 2), "w0".to_owned())]);
}

#[test]
fn adopted_work_booked() {
    let mut bench = Bench::new(Policy::Fair);
    bench.teams(&[team("a", 1)]);
    bench.gain("r1", 2, cores(8));
    bench.join("w0", "r1", machine());
    let mut found = inventory("w0", 2);
    found.running.push(running(&request(9, "a", cores(30)), 1));
    let claimed = bench.send(Event::Claimed(found));
    assert_eq!(attached(&claimed), [attempt(9, 1)]);
    assert!(starts(&bench.submit(request(1, "a", cores(1)))).is_empty());
    assert!(starts(&bench.submit(request(2, "b", cores(4)))).is_empty());
    let ended = bench.ended(attempt(9, 1), "w0", Outcome::Done);
    assert_eq!(starts(&ended).len(), 2);
}

#[test]
fn resume_attaches() {
    let mut bench = Bench::new(Policy::Fair);
    bench.teams(&[team("a", 1)]);
    bench.gain("r1", 2, LARGE_LIMIT);
    bench.join("w0", "r1", machine());
    bench.join("w1", "r1", machine());
    assert!(
        bench
            .send(Event::Resume(request(9, "a", cores(1))))
            .is_empty()
    );
    assert!(
        bench
            .send(Event::Resume(request(8, "a", cores(1))))
            .is_empty()
    );
    let mut found = inventory("w0", 2);
    found.running.push(running(&request(9, "a", cores(1)), 1));
    let claimed = bench.send(Event::Claimed(found));
    assert_eq!(attached(&claimed), [attempt(9, 1)]);
    assert!(answers(&claimed).is_empty());
    let all = bench.claimed("w1", 2);
    assert_eq!(answers(&all), [(8, not_run(Reason::Refused))]);
    let ended = bench.ended(attempt(9, 1), "w0", Outcome::Done);
    assert_eq!(answers(&ended).len(), 1);
}

#[test]
fn ruled_out_stays_out() {
    let mut bench = Bench::ready(1, machine());
    let target = Some(Target {
        rack: "r1".into(),
        epoch: 1,
    });
    let request = Request {
        target,
        ..request(9, "a", cores(1))
    };
    let resumed = bench.send(Event::Resume(request.clone()));
    assert_eq!(answers(&resumed), [(9, not_run(Reason::Refused))]);
    let late = bench.submit(request);
    assert_eq!(answers(&late), [(9, not_run(Reason::Refused))]);
    assert!(starts(&late).is_empty());
}

#[test]
fn ruled_out_on_two_racks() {
    let mut bench = Bench::ready(1, machine());
    bench.gain("r2", 1, LARGE_LIMIT);
    bench.add("w1", "r2", machine());
    let at = |rack: &str| Request {
        target: Some(Target {
            rack: rack.into(),
            epoch: 1,
        }),
        ..request(9, "a", cores(1))
    };
    for rack in ["r1", "r2"] {
        let resumed = bench.send(Event::Resume(at(rack)));
        assert_eq!(answers(&resumed), [(9, not_run(Reason::Refused))]);
    }
    for rack in ["r1", "r2"] {
        assert!(starts(&bench.submit(at(rack))).is_empty(), "{rack}");
    }
}

#[test]
fn resume_finds_ended() {
    let mut bench = Bench::new(Policy::Fair);
    bench.gain("r1", 2, LARGE_LIMIT);
    bench.join("w0", "r1", machine());
    let mut found = inventory("w0", 2);
    found.ended.push(attempt(9, 2));
    bench.send(Event::Claimed(found));
    let resumed = bench.send(Event::Resume(request(9, "a", cores(1))));
    assert_eq!(attached(&resumed), [attempt(9, 2)]);
    let ended = bench.ended(attempt(9, 2), "w0", Outcome::Failed);
    assert_eq!(
        answers(&ended),
        [(9, ran(attempt(9, 2), "w0", Outcome::Failed))]
    );
}

#[test]
fn silent_worker_reclaimed() {
    let mut bench = Bench::ready(1, machine());
    bench.send(Event::Unreachable {
        worker: "w0".into(),
    });
    assert!(starts(&bench.submit(request(1, "a", cores(1)))).is_empty());
    assert_eq!(claims(&bench.wait(600)).len(), 1);
    assert_eq!(starts(&bench.claimed("w0", 1)).len(), 1);
    assert_eq!(Id(1).to_string().len(), 32);
}

#[test]
fn paused_owner_catches_up_first() {
    let mut bench = Bench::ready(1, machine());
    bench.now = bench.now.after(Duration::from_secs(30));
    assert!(starts(&bench.submit(request(1, "a", cores(1)))).is_empty());
    bench.send(Event::Leave {
        worker: "w0".into(),
    });
    assert!(starts(&bench.wait(2_000)).is_empty());
    let mut joined = bench.add("w1", "r1", machine());
    joined.extend(bench.wait(1_500));
    assert_eq!(starts(&joined).len(), 1);
}
