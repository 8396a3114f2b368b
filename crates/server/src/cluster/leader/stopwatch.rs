//! Logs what the leader spends its time on while there is little left.

use std::fmt::Display;
use std::time::Duration;

use azurepath_decide::batch::scheduler::Effort;
use opentelemetry::KeyValue;
use slog::warn;
use tokio::runtime::Handle;
use tokio::time::Instant;

use crate::cluster::Context;
use crate::metrics::load::{Activity, Meter};

/// The interval over which the time is measured.
const INTERVAL: Duration = Duration::from_secs(1);

/// Measures the activities of the leader's task one after the other.
pub(super) struct Stopwatch {
    context: Context,
    meter: Meter,
    begun: Instant,
    /// How long the process had been busy when the interval began.
    busy_before: Duration,
    /// When the last activity ended.
    lap_begun: Instant,
}

impl Stopwatch {
    /// Begins to measure.
    pub(super) fn new(context: Context) -> Stopwatch {
        Stopwatch {
            context,
            meter: Meter::default(),
            begun: Instant::now(),
            busy_before: busy(),
            lap_begun: Instant::now(),
        }
    }

    /// Begins an activity, after other tasks of the process may have run.
    pub(super) fn resume(&mut self) {
        self.lap_begun = Instant::now();
    }

    /// Counts the time since the last activity ended, and returns it.
    pub(super) fn lap(&mut self, activity: Activity) -> Duration {
        let now = Instant::now();
        let time = now - self.lap_begun;
        self.meter.add(activity, time);
        self.lap_begun = now;
        time
    }

    /// Counts a call that the leader's task takes.
    pub(super) fn add_call(&mut self, kind: &'static str, waited: Duration, abandoned: bool) {
        let counts = &self.context.counts;
        let labels = [KeyValue::new("kind", kind)];
        counts.leader_wait.record(waited.as_secs_f64(), &labels);
        if abandoned {
            counts.abandoned_calls.add(1, &[]);
        }
        self.meter.add_call(kind, waited, abandoned);
    }

    /// Counts a timer of the leader's task that was late by `delay`.
    pub(super) fn add_delay(&mut self, delay: Duration) {
        self.meter.add_delay(delay);
    }

    /// Tells whether an interval has ended.
    pub(super) fn is_due(&self) -> bool {
        self.begun.elapsed() >= INTERVAL
    }

    /// Ends an interval. `rows` wait to be stored.
    pub(super) fn report(&mut self, epoch: u64, effort: Effort, rows: usize) {
        let busy = busy();
        let spent = busy.saturating_sub(self.busy_before);
        let usage = self.meter.end_interval(spent, self.begun.elapsed());
        self.busy_before = busy;
        self.begun = Instant::now();
        for (activity, ms) in &usage.activities {
            let labels = [KeyValue::new("activity", activity.to_string())];
            self.context.counts.leader_busy_ms.add(*ms, &labels);
        }
        if !usage.is_busy() {
            return;
        }
        let activities = join(&usage.activities);
        let calls = join(&usage.calls);
        warn!(self.context.log, "leader busy"; "epoch" => epoch, "percent" => usage.percent,
            "activities_ms" => activities, "rest_ms" => usage.rest_ms,
            "delay_ms" => usage.longest_delay_ms, "mean_delay_ms" => usage.mean_delay_ms,
            "wait_ms" => usage.longest_wait_ms, "abandoned" => usage.abandoned, "calls" => calls,
            "passes" => effort.passes, "visits" => effort.visits, "ranked" => effort.ranked,
            "rows" => rows);
    }
}

/// Joins names and their values to one text.
fn join(values: &[(impl Display, u64)]) -> String {
    let texts = values.iter().map(|(name, value)| format!("{name}={value}"));
    texts.collect::<Vec<_>>().join(" ")
}

/// Returns how long the only thread of the process has been busy.
fn busy() -> Duration {
    Handle::current().metrics().worker_total_busy_duration(0)
}
