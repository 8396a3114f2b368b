//! In which order the work of one account uses its limit.

#[path = "support/batch/bench.rs"]
mod bench;
#[path = "support/batch/team.rs"]
mod team;

use std::time::Duration;

use team::{Kind, Play};

/// The smallest part of the limit that must be in use under overload. Gangs of an eighth of the limit leave
/// up to one part of their size unused.
const MIN_USED: f64 = 0.85;

fn overload(load: f64) {
    let mut play = Play::new(0.0);
    play.run(load, Duration::from_secs(20));
    let used = play.used();
    play.run(0.0, Duration::from_secs(10));
    let urgent = play.tally(Kind::Urgent);
    let submitted = urgent.accepted + urgent.refused;
    assert!(urgent.in_time * 100 >= submitted * 97, "{urgent:?}");
    assert!(used >= MIN_USED, "{used}");
}

/// The account's large jobs held the limit for seconds, and urgent jobs waited for it.
#[test]
fn urgent_behind_large() {
    overload(1.5);
}

/// The urgent jobs alone need two fifths of the limit.
#[test]
fn many_urgent_behind_large() {
    overload(3.0);
}

/// Without urgent work the others use the whole limit.
#[test]
fn limit_stays_unused() {
    let mut play = Play::new(0.0);
    play.run_kinds(&[Kind::Large, Kind::Medium], 3.0, Duration::from_secs(20));
    assert!(play.used() >= MIN_USED, "{}", play.used());
}

/// Urgent work that has stopped arriving keeps nothing free for long.
#[test]
fn headroom_after_urgent() {
    let mut play = Play::new(0.0);
    play.run_kinds(&[Kind::Urgent], 3.0, Duration::from_secs(5));
    play.run_kinds(&[Kind::Large, Kind::Medium], 3.0, Duration::from_secs(4));
    play.reset_used();
    play.run_kinds(&[Kind::Large, Kind::Medium], 3.0, Duration::from_secs(10));
    assert!(play.used() >= MIN_USED, "{}", play.used());
}
