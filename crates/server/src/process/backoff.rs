//! Pauses between calls to a platform that fails.

use std::time::Duration;

use rand::Rng;

/// The longest first pause.
const BASE: Duration = Duration::from_millis(50);

/// The longest pause.
const MOST: Duration = Duration::from_secs(1);

/// Waits before another try after `failures` failed ones: a random part of a span that doubles with
/// each failure ("full jitter"), so that many callers don't come back together.
pub async fn pause(failures: u32) {
    pause_within(failures, MOST).await;
}

/// Waits as [`pause`] does, but never longer than `most`.
pub async fn pause_within(failures: u32, most: Duration) {
    let doubled = BASE.saturating_mul(1 << failures.saturating_sub(1).min(8));
    let part = rand::rng().random_range(0.0..=1.0);
    tokio::time::sleep(doubled.min(most).mul_f64(part)).await;
}
