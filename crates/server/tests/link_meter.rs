//! Which direction of a link is reported as busy, and which kinds of calls fill it.

use std::time::Duration;

use azurepath_server::metrics::link::{Change, Direction, Meter};

const SECOND: Duration = Duration::from_secs(1);

/// The speed of the link in kbit/s. A second carries 250,000 bytes; a direction gets busy at 75% of
/// them and idle at 50%.
const LINK_KBPS: u64 = 2_000;

#[test]
fn busy_once_and_idle_once() {
    let meter = Meter::default();
    meter.add("submit", 10_000, 180_000);
    meter.add("relay", 20_000, 20_000);
    let busy = Change {
        direction: Direction::Received,
        busy: true,
        kbps: 1_600,
        kinds: vec![("submit".to_owned(), 1_440), ("relay".to_owned(), 160)],
    };
    assert_eq!(meter.end_interval(SECOND, LINK_KBPS), vec![busy]);
    // A little below the threshold the direction stays busy.
    meter.add("submit", 0, 150_000);
    assert_eq!(meter.end_interval(SECOND, LINK_KBPS), vec![]);
    let changes = meter.end_interval(SECOND, LINK_KBPS);
    assert_eq!(changes.len(), 1);
    assert!(!changes[0].busy);
    assert_eq!(meter.end_interval(SECOND, LINK_KBPS), vec![]);
}

#[test]
fn each_direction_by_its_own_bytes() {
    let meter = Meter::default();
    meter.add("/api/run-start", 150_000, 100);
    meter.add("/api/rows-feed", 100, 150_000);
    assert_eq!(meter.end_interval(SECOND, LINK_KBPS), vec![]);
}

/// Late timers make an interval longer than a second.
#[test]
fn rate_over_the_elapsed_time() {
    let meter = Meter::default();
    meter.add("submit", 250_000, 0);
    assert_eq!(meter.end_interval(3 * SECOND, LINK_KBPS), vec![]);
}

#[test]
fn few_kinds_with_the_highest_rates() {
    let meter = Meter::default();
    for number in 1..=9 {
        meter.add(&format!("kind-{number}"), number * 10_000, 0);
    }
    let changes = meter.end_interval(SECOND, LINK_KBPS);
    let kinds: Vec<&str> = changes[0]
        .kinds
        .iter()
        .map(|(kind, _)| kind.as_str())
        .collect();
    assert_eq!(kinds, ["kind-9", "kind-8", "kind-7", "kind-6", "kind-5"]);
}
