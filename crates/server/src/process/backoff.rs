//! Pauses between calls to a platform service that fails.

use std::time::Duration;

use rand::Rng;

/// The upper bound of the first pause.
const BASE_PAUSE: Duration = Duration::from_millis(50);

/// The upper bound of every pause.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Waits before the next try after `failures` failed ones.
///
/// The pause is a random fraction of a bound that doubles with each failure ("full jitter"), so
/// that many callers don't retry at the same time.
pub async fn pause(failures: u32) {
    pause_within(failures, MAX_PAUSE).await;
}

/// Waits as [`pause`] does, but never longer than `max`.
pub async fn pause_within(failures: u32, max: Duration) {
    let bound = BASE_PAUSE.saturating_mul(1 << failures.saturating_sub(1).min(8));
    let fraction = rand::rng().random_range(0.0..=1.0);
    tokio::time::sleep(bound.min(max).mul_f64(fraction)).await;
}
