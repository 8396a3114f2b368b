//! Measures what a leader spends its time on.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use strum::{EnumCount, IntoEnumIterator};

/// The percentage of an interval from which a leader counts as busy.
const BUSY_PERCENT: u64 = 75;

/// What the leader's task does.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Activity {
    /// It takes calls of clients and of other instances.
    Calls,
    /// It takes events of the workers that it renews itself.
    Events,
    /// It takes the outcomes of its orders.
    Outcomes,
    /// It ranks and places steps.
    Placement,
    /// It logs decisions, answers calls and adds questions and stops.
    Actions,
    /// It sends or hands over orders to start.
    Orders,
    /// It hands out questions.
    Questions,
    /// It collects the rows of a write and handles its result.
    Writes,
}

/// The use of one interval.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The percentage of the interval in which the process had work to do.
    pub percent: u64,
    /// The time of each activity, in milliseconds.
    pub activities: Vec<(Activity, u64)>,
    /// The time of all other tasks of the process, such as connections, in milliseconds.
    pub rest_ms: u64,
    /// The longest time that a call waited for the leader's task, in milliseconds.
    pub longest_wait_ms: u64,
    /// The calls whose callers had given up before the leader's task took them.
    pub abandoned: u64,
    /// The number of calls by kind, the most frequent kind first.
    pub calls: Vec<(&'static str, u64)>,
    /// The longest time by which a timer of the leader's task was late, in milliseconds.
    pub longest_delay_ms: u64,
    /// The mean time by which its timers were late, in milliseconds.
    pub mean_delay_ms: u64,
}

impl Usage {
    /// Tells whether the leader has little time left.
    pub fn is_busy(&self) -> bool {
        self.percent >= BUSY_PERCENT
    }
}

/// Measures the activities of a leader's task.
#[derive(Debug, Default)]
pub struct Meter {
    times: [Duration; Activity::COUNT],
    longest_wait: Duration,
    abandoned: u64,
    calls: BTreeMap<&'static str, u64>,
    longest_delay: Duration,
    total_delay: Duration,
    timers: u32,
}

impl Meter {
    /// Adds the time of an activity.
    pub fn add(&mut self, activity: Activity, time: Duration) {
        self.times[activity as usize] += time;
    }

    /// Adds a call that has waited for the leader's task; `abandoned` if its caller has given up.
    pub fn add_call(&mut self, kind: &'static str, waited: Duration, abandoned: bool) {
        self.longest_wait = self.longest_wait.max(waited);
        self.abandoned += u64::from(abandoned);
        *self.calls.entry(kind).or_default() += 1;
    }

    /// Adds a timer of the leader's task that was late by `delay`.
    pub fn add_delay(&mut self, delay: Duration) {
        self.longest_delay = self.longest_delay.max(delay);
        self.total_delay += delay;
        self.timers += 1;
    }

    /// Ends an interval that has lasted `elapsed`, in which the process was busy for `busy`.
    pub fn end_interval(&mut self, busy: Duration, elapsed: Duration) -> Usage {
        let ended = std::mem::take(self);
        let percent = busy.as_micros() * 100 / elapsed.as_micros().max(1);
        let total: Duration = ended.times.iter().sum();
        let times = Activity::iter().zip(ended.times);
        let mut calls: Vec<_> = ended.calls.into_iter().collect();
        calls.sort_by_key(|(_, count)| Reverse(*count));
        Usage {
            percent: u64::try_from(percent).unwrap_or(u64::MAX),
            activities: times
                .map(|(activity, time)| (activity, millis(time)))
                .collect(),
            rest_ms: millis(busy.saturating_sub(total)),
            longest_wait_ms: millis(ended.longest_wait),
            abandoned: ended.abandoned,
            calls,
            longest_delay_ms: millis(ended.longest_delay),
            mean_delay_ms: millis(ended.total_delay / ended.timers.max(1)),
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
