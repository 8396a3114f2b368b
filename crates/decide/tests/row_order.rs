//! In which order changed rows are written while the store is slower than the changes.

#[path = "support/batch/bench.rs"]
mod bench;

use std::time::Duration;

use azurepath_decide::batch::record::Fit;
use azurepath_decide::batch::spec::Spec;
use azurepath_decide::batch::{Action, Answer, JobId};
use azurepath_decide::name::Name;
use bench::{Bench, single};

/// The rows of one write, and the jobs that are submitted during each.
const WRITE_ROWS: usize = 2;
const JOBS_PER_WRITE: u64 = 3;

const WRITES: u64 = 20;

/// Returns a job that is never refused for the work ahead of it.
fn small() -> Spec {
    let mut spec = single();
    spec.steps[0].size.millicores = 1;
    spec.steps[0].size.memory_mib = 1;
    spec.steps[0].estimate = Duration::from_millis(1);
    spec
}

/// Writes as many rows as one write holds. The first write is rejected if `rejected`.
fn write(bench: &mut Bench, rejected: bool) {
    let mut rows = 0;
    let changed = bench.scheduler.next_batch(|_| {
        rows += 1;
        if rows > WRITE_ROWS {
            Fit::Full
        } else {
            Fit::Taken
        }
    });
    assert!(changed);
    if rejected {
        bench.scheduler.batch_rejected();
    } else {
        bench.scheduler.batch_stored();
    }
}

/// Returns the calls of accepted jobs in the order of the writes that stored them. Later jobs have
/// lower ids.
fn accepted_calls(rejected: bool) -> Vec<u64> {
    let mut bench = Bench::new();
    let queue = Name::from("checks");
    let mut calls = Vec::new();
    let mut last_call = 0;
    for round in 0..WRITES {
        for _ in 0..JOBS_PER_WRITE {
            last_call += 1;
            let id = JobId(u64::MAX - last_call);
            bench.scheduler.submit(last_call, id, &queue, None, small());
        }
        write(&mut bench, rejected && round == 0);
        // The jobs of one write are answered together.
        let first = calls.len();
        for action in bench.advance() {
            if let Action::Answer {
                call,
                answer: Answer::Accepted,
            } = action
            {
                calls.push(call);
            }
        }
        calls[first..].sort_unstable();
    }
    calls
}

fn assert_first_come_first_stored(calls: &[u64]) {
    let mut sorted = calls.to_vec();
    sorted.sort_unstable();
    assert_eq!(calls, sorted);
    let last = sorted.last().copied().unwrap_or(0);
    assert_eq!(sorted.len() as u64, last, "an earlier job still waits");
}

#[test]
fn high_ids_wait_behind_later_jobs() {
    assert_first_come_first_stored(&accepted_calls(false));
}

#[test]
fn rejected_rows_lose_their_place() {
    assert_first_come_first_stored(&accepted_calls(true));
}
