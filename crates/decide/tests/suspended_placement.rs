//! While its orders are not sent, the scheduler gives none.

#[path = "support/batch/bench.rs"]
mod bench;

use azurepath_decide::batch::Action;
use bench::{Bench, single};

#[test]
fn suspended() {
    let mut bench = Bench::new();
    bench.submit(single());
    let is_start = |action: &Action| matches!(action, Action::Start { .. });
    bench.scheduler.suspend(true);
    assert!(!bench.advance().iter().any(is_start));
    bench.scheduler.suspend(false);
    assert!(bench.advance().iter().any(is_start));
}
