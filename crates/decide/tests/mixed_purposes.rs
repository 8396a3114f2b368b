//! Services and fillers on one fleet.

#[path = "support/batch/bench.rs"]
mod bench;

use azurepath_decide::batch::spec::{Purpose, Spec};
use azurepath_decide::batch::{Action, JobId, StartOutcome};
use azurepath_decide::name::Name;
use bench::{Bench, single};

const FILLER: JobId = JobId(1);
const SERVICE: JobId = JobId(2);

/// The workers besides the first one, which has left.
const WORKERS: usize = 3;

fn lasting(purpose: Purpose, count: u32) -> Spec {
    let mut spec = single();
    spec.steps[0].purpose = purpose;
    spec.steps[0].count = count;
    spec.steps[0].most_on_worker = Some(1);
    spec
}

fn submit(bench: &mut Bench, job: JobId, spec: Spec) {
    let queue = Name::from("checks");
    bench.scheduler.submit(job.0, job, &queue, None, spec);
    bench.store();
}

/// Starts what can start, and returns the workers of a job's tasks.
fn workers_of(bench: &mut Bench, job: JobId) -> Vec<usize> {
    let mut workers = Vec::new();
    for _ in 0..50 {
        for action in bench.advance() {
            if let Action::Start {
                worker, attempt, ..
            } = action
            {
                let running = StartOutcome::Running;
                bench.scheduler.handle_start(worker, attempt, running, 0);
                if attempt.task.step.job == job {
                    workers.push(worker);
                }
            }
        }
    }
    workers
}

/// Starts fillers on so many workers and then a service. Returns the workers of each.
fn start_beside(fillers: u32) -> (Vec<usize>, Vec<usize>) {
    let mut bench = Bench::new();
    bench.register(WORKERS);
    submit(&mut bench, FILLER, lasting(Purpose::Background, fillers));
    let filled = workers_of(&mut bench, FILLER);
    assert_eq!(filled.len(), fillers as usize);
    submit(&mut bench, SERVICE, lasting(Purpose::Serve, 1));
    (filled, workers_of(&mut bench, SERVICE))
}

#[test]
fn fillers_everywhere_keep_service_out() {
    let (_, serving) = start_beside(WORKERS as u32);
    assert_eq!(serving.len(), 1);
}

#[test]
fn service_avoids_fillers() {
    let (filled, serving) = start_beside(WORKERS as u32 - 1);
    assert_eq!(serving.len(), 1);
    assert!(!filled.contains(&serving[0]));
}
