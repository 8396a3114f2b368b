//! What a leader spends its time on, and when it counts as busy.

use std::time::Duration;

use azurepath_server::metrics::load::{Activity, Meter, Usage};

const SECOND: Duration = Duration::from_secs(1);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn time_of(usage: &Usage, activity: Activity) -> Option<u64> {
    let found = usage.activities.iter().find(|(each, _)| *each == activity);
    found.map(|(_, ms)| *ms)
}

#[test]
fn times_by_activity() {
    let mut meter = Meter::default();
    meter.add(Activity::Placement, millis(300));
    meter.add(Activity::Placement, millis(200));
    meter.add(Activity::Writes, millis(20));
    let usage = meter.end_interval(millis(800), SECOND);
    assert_eq!(time_of(&usage, Activity::Placement), Some(500));
    assert_eq!(time_of(&usage, Activity::Writes), Some(20));
    assert_eq!(time_of(&usage, Activity::Calls), Some(0));
    assert_eq!(usage.rest_ms, 280);
    assert_eq!(usage.percent, 80);
    assert!(usage.is_busy());
}

#[test]
fn each_interval_anew() {
    let mut meter = Meter::default();
    meter.add(Activity::Placement, millis(900));
    meter.add_call("submit", millis(40), true);
    assert!(meter.end_interval(millis(900), SECOND).is_busy());
    let usage = meter.end_interval(millis(100), SECOND);
    assert!(!usage.is_busy());
    assert_eq!((usage.longest_wait_ms, usage.abandoned), (0, 0));
    assert_eq!(time_of(&usage, Activity::Placement), Some(0));
}

/// Late timers make an interval longer than a second.
#[test]
fn share_of_the_elapsed_time() {
    let mut meter = Meter::default();
    let usage = meter.end_interval(millis(900), 3 * SECOND);
    assert_eq!(usage.percent, 30);
    assert!(!usage.is_busy());
}

#[test]
fn longest_wait_and_abandoned_calls() {
    let mut meter = Meter::default();
    meter.add_call("submit", millis(5), false);
    meter.add_call("submit", millis(70), true);
    meter.add_call("submit", millis(30), true);
    let usage = meter.end_interval(millis(100), SECOND);
    assert_eq!((usage.longest_wait_ms, usage.abandoned), (70, 2));
}

#[test]
fn calls_by_kind() {
    let mut meter = Meter::default();
    meter.add_call("submit", millis(5), false);
    meter.add_call("relay", millis(1), false);
    meter.add_call("relay", millis(1), false);
    let usage = meter.end_interval(millis(100), SECOND);
    assert_eq!(usage.calls, [("relay", 2), ("submit", 1)]);
    assert_eq!(meter.end_interval(millis(100), SECOND).calls, []);
}

#[test]
fn longest_and_mean_delay() {
    let mut meter = Meter::default();
    meter.add_delay(millis(30));
    meter.add_delay(millis(10));
    let usage = meter.end_interval(millis(100), SECOND);
    assert_eq!((usage.longest_delay_ms, usage.mean_delay_ms), (30, 20));
    let usage = meter.end_interval(millis(100), SECOND);
    assert_eq!((usage.longest_delay_ms, usage.mean_delay_ms), (0, 0));
}
