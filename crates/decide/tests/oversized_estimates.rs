//! Jobs whose clients have estimated run times near the largest number.

#[path = "support/batch/bench.rs"]
mod bench;

use std::time::Duration;

use azurepath_decide::batch::record::{Fit, Record, Stored, Submission};
use azurepath_decide::batch::scheduler::Scheduler;
use azurepath_decide::batch::spec::Spec;
use azurepath_decide::batch::{Action, Decision, JobId};
use azurepath_decide::time::Time;
use bench::{queue, single, successor};

/// When the scheduler takes over.
const NOW_MS: u64 = 1_000;

/// Returns a job of two steps, one after the other, with such an estimate.
fn oversized(estimate: Duration) -> Spec {
    let mut spec = single();
    spec.steps[0].estimate = estimate;
    spec.steps.push(spec.steps[0].clone());
    spec.steps[1].after = vec![0];
    spec
}

/// Returns how late the waiting jobs are.
fn lateness(scheduler: &mut Scheduler, actions: &mut Vec<Action>) -> Vec<String> {
    scheduler.advance(Time::from_millis(NOW_MS + 1_000), actions);
    let pending = scheduler.dump().pending;
    pending.into_iter().map(|step| step.lateness).collect()
}

/// Returns how late two stored jobs are, and how often lowered estimates were logged.
fn stored(estimate: Duration) -> (Vec<String>, usize) {
    let job = |number| {
        let submission = Submission {
            queue: queue().name,
            account: None,
            accepted_ms: NOW_MS,
            spec: oversized(estimate),
        };
        (JobId(number), Record::Open(submission))
    };
    let stored = Stored {
        jobs: vec![job(1), job(2)],
        ..Stored::default()
    };
    let now = Time::from_millis(NOW_MS);
    let mut scheduler = successor(now, Duration::ZERO, Vec::new(), stored);
    let mut actions = Vec::new();
    let lateness = lateness(&mut scheduler, &mut actions);
    let is_bounded = |action: &&Action| {
        let Action::Log(decision) = action else {
            return false;
        };
        matches!(**decision, Decision::EstimatesBounded { jobs: 2, .. })
    };
    (lateness, actions.iter().filter(is_bounded).count())
}

/// The allowed time and the time that is needed end at the same largest value.
#[test]
fn stored_job_counts_as_late() {
    for estimate in [Duration::from_secs(u64::MAX), Duration::MAX] {
        let (lateness, logged) = stored(estimate);
        assert_eq!(lateness, ["on_time"; 2], "{estimate:?}");
        assert_eq!(logged, 1);
    }
    assert_eq!(stored(Duration::from_millis(u64::MAX)).0, ["on_time"; 2]);
}

#[test]
fn usual_estimate_is_logged() {
    assert_eq!(
        stored(Duration::from_secs(60)),
        (vec!["on_time".to_owned(); 2], 0)
    );
}

#[test]
fn submitted_job_counts_as_late() {
    let now = Time::from_millis(NOW_MS);
    let mut scheduler = successor(now, Duration::ZERO, Vec::new(), Stored::default());
    scheduler.submit(1, JobId(1), &queue().name, None, oversized(Duration::MAX));
    while scheduler.next_batch(|_| Fit::Taken) {
        scheduler.batch_stored();
    }
    assert_eq!(lateness(&mut scheduler, &mut Vec::new()), ["on_time"]);
}
