//! When a leader makes way because its machine is too slow.

use std::time::Duration;

use azurepath_decide::batch::tenure::Tenure;
use azurepath_decide::time::Time;

/// The time between two timers that fire in time.
const INTERVAL: Duration = Duration::from_millis(20);

const BEGIN: Time = Time::from_millis(1_000);

/// How long a leader works off what has piled up.
const SETTLED: Duration = Duration::from_secs(4);

/// Lets timers be late by `delay` for a time. Returns when the leader makes way.
fn run(tenure: &mut Tenure, from: Time, time: Duration, delay: Duration) -> Option<Time> {
    let mut now = from;
    while now < from.after(time) {
        now = now.after(INTERVAL + delay);
        if tenure.record(delay, now) {
            return Some(now);
        }
    }
    None
}

#[test]
fn slow_machine_keeps_leading() {
    let mut tenure = Tenure::new(BEGIN, false);
    let slow_from = BEGIN.after(SETTLED);
    run(&mut tenure, BEGIN, SETTLED, Duration::from_millis(5));
    for delay_ms in [60, 350] {
        let mut tenure = tenure.clone();
        let delay = Duration::from_millis(delay_ms);
        let yielded = run(&mut tenure, slow_from, Duration::from_secs(6), delay);
        let took = yielded.map(|at| at.since(slow_from));
        assert!(took.is_some_and(|took| took <= Duration::from_secs(2)));
    }
}

#[test]
fn busy_machine_makes_way() {
    let mut tenure = Tenure::new(BEGIN, false);
    let delay = Duration::from_millis(20);
    assert_eq!(
        run(&mut tenure, BEGIN, Duration::from_secs(60), delay),
        None
    );
}

#[test]
fn suspended_machine_makes_way() {
    for before in 0..60 {
        let mut tenure = Tenure::new(BEGIN, false);
        let from = BEGIN.after(SETTLED);
        assert_eq!(
            run(&mut tenure, from, INTERVAL * before, Duration::ZERO),
            None
        );
        let woken = from.after(INTERVAL * before + Duration::from_secs(3));
        assert!(!tenure.record(Duration::from_secs(3), woken));
        assert_eq!(run(&mut tenure, woken, SETTLED, Duration::ZERO), None);
    }
}

/// If the successor of a slow leader is as slow, the load is the cause.
#[test]
fn leadership_goes_round() {
    let mut tenure = Tenure::new(BEGIN, true);
    let delay = Duration::from_millis(350);
    assert_eq!(
        run(&mut tenure, BEGIN, Duration::from_secs(15), delay),
        None
    );
    let mut first = Tenure::new(BEGIN, false);
    assert!(run(&mut first, BEGIN, Duration::from_secs(15), delay).is_some());
}
