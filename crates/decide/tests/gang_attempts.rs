//! A gang's run that fails counts once, of however many members its end is reported.

#[path = "support/batch/bench.rs"]
mod bench;

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::config::{Config, Queue};
use azurepath_decide::batch::record::{BLOCK_TASKS, BlockId, Change, Fit, Progress, Stored, Task};
use azurepath_decide::batch::report::{End, Outcome, Report};
use azurepath_decide::batch::scheduler::Scheduler;
use azurepath_decide::batch::{Action, Attempt, Decision, State, StepId, TaskId};
use azurepath_decide::time::Time;
use bench::{Bench, JOB, gang, numbered, queue, starts, successor};

/// How often a gang may fail.
const ATTEMPTS: u32 = 3;

/// The number of members that fit on a worker.
const MEMBERS: u32 = 4;

/// The members of a gang that two blocks of rows hold.
const WIDE: u32 = BLOCK_TASKS + 1;

/// The time of the takeover, in milliseconds.
const TAKEOVER_MS: u64 = 1_000;

fn patient_queue() -> Queue {
    Queue {
        attempts: ATTEMPTS,
        ..queue()
    }
}

/// Reports the ends of a run's members on their workers.
fn fail(bench: &mut Bench, members: &[(usize, Attempt)], next_end: &mut u64) {
    let workers = members.iter().map(|(worker, _)| *worker).max();
    for worker in 0..=workers.unwrap_or(0) {
        let of_worker = members.iter().filter(|(on, _)| *on == worker);
        let ended = of_worker.map(|(_, attempt)| {
            *next_end += 1;
            End {
                number: *next_end,
                attempt: *attempt,
                outcome: Outcome::Failed,
                checkpoint: None,
            }
        });
        let report = Report {
            clock_ms: bench.clock_ms(),
            born_ms: 1,
            running: Vec::new(),
            ended: ended.collect(),
        };
        bench.scheduler.report(worker, &report);
    }
}

/// Lets all members of each run fail. Returns how many runs were started until the job had failed.
fn runs_until_failed(mut bench: Bench, members: u32, millicores: u64) -> u32 {
    let mut spec = gang(members, millicores);
    spec.steps[0].size.memory_mib = 1;
    bench.submit(spec);
    let (mut runs, mut next_end) = (0, 0);
    while bench.scheduler.state(JOB) != Some(State::Failed) {
        let started = starts(&bench.advance());
        if !started.is_empty() {
            runs += 1;
            fail(&mut bench, &started, &mut next_end);
        }
        bench.store();
        assert!(bench.clock_ms() < 60_000, "{runs} runs");
    }
    runs
}

#[test]
fn members_on_one_worker() {
    let bench = Bench::with_queue(patient_queue());
    assert_eq!(runs_until_failed(bench, MEMBERS, 1_000), ATTEMPTS);
}

#[test]
fn members_on_many_workers() {
    let mut bench = Bench::with_queue(patient_queue());
    bench.register(2 * MEMBERS as usize);
    assert_eq!(runs_until_failed(bench, MEMBERS, 8_000), ATTEMPTS);
}

#[test]
fn members_in_many_blocks() {
    let bench = Bench::with_queue(patient_queue());
    assert_eq!(runs_until_failed(bench, WIDE, 1), ATTEMPTS);
}

/// One run of a job must not count as several failures in a row of its workers, nor in the log.
#[test]
fn run_counts_once_in_log() {
    let mut bench = Bench::with_queue(patient_queue());
    bench.submit(gang(MEMBERS, 1_000));
    let members = starts(&bench.advance());
    fail(&mut bench, &members, &mut 0);
    let failures: Vec<u32> = bench
        .advance()
        .into_iter()
        .filter_map(|action| match action {
            Action::Log(decision) => match *decision {
                Decision::Ended { failures, .. } => Some(failures),
                _ => None,
            },
            _ => None,
        })
        .collect();
    assert_eq!(failures, [1; MEMBERS as usize]);
}

fn member(index: u32, run: u64) -> Attempt {
    let step = StepId { job: JOB, step: 0 };
    let task = TaskId { step, index };
    Attempt { task, run }
}

/// A successor of a scheduler that has stored this progress of a gang, whose only worker lists these ends.
fn resume(progress: Progress, ended: Vec<Attempt>) -> Scheduler {
    let mut bench = Bench::with_queue(patient_queue());
    let mut record = None;
    bench.submit_with(gang(MEMBERS, 1_000), |change| {
        if let Change::Job(_, job) = change {
            record.clone_from(job);
        }
        Fit::Taken
    });
    let step = StepId { job: JOB, step: 0 };
    let block = BlockId { step, number: 0 };
    let stored = Stored {
        jobs: vec![(JOB, record.expect("the job is stored"))],
        blocks: vec![(block, progress)],
        roster: vec![numbered(0)],
    };
    let now = Time::from_millis(TAKEOVER_MS);
    let grace = Duration::from_secs(8);
    let mut scheduler = successor(now, grace, Vec::new(), stored);
    scheduler.configure(Arc::new(Config {
        version: 2,
        queues: vec![patient_queue()],
        accounts: Vec::new(),
    }));
    scheduler.update_registry(vec![numbered(0)]);
    let ended = ended.into_iter().enumerate().map(|(number, attempt)| End {
        number: 1 + number as u64,
        attempt,
        outcome: Outcome::Failed,
        checkpoint: None,
    });
    let report = Report {
        clock_ms: TAKEOVER_MS,
        born_ms: 1,
        running: Vec::new(),
        ended: ended.collect(),
    };
    scheduler.report(0, &report);
    while scheduler.next_batch(|_| Fit::Taken) {
        scheduler.batch_stored();
    }
    scheduler
}

fn failed_member(runs: &[u64]) -> Task {
    Task {
        failures: runs.len() as u32,
        ended: runs.to_vec(),
        checkpoint: None,
    }
}

/// The first member's end is stored; the others come to the successor.
#[test]
fn successor_hears_run_again() {
    let progress = Progress {
        tasks: vec![(0, failed_member(&[4, 5]))],
        failed_runs: vec![(0, vec![4, 5])],
        ..Progress::default()
    };
    let again = vec![member(1, 5), member(2, 5), member(0, 5)];
    let scheduler = resume(progress.clone(), again);
    assert_ne!(scheduler.state(JOB), Some(State::Failed));
    let scheduler = resume(progress, vec![member(1, 6)]);
    assert_eq!(scheduler.state(JOB), Some(State::Failed));
}

/// Such rows tell only how many runs of each member have failed.
#[test]
fn rows_of_earlier_builds() {
    let progress = Progress {
        tasks: (0..MEMBERS)
            .map(|index| (index, failed_member(&[5])))
            .collect(),
        ..Progress::default()
    };
    let scheduler = resume(progress.clone(), vec![member(1, 6)]);
    assert_ne!(scheduler.state(JOB), Some(State::Failed));
    let scheduler = resume(progress, vec![member(1, 6), member(2, 7)]);
    assert_eq!(scheduler.state(JOB), Some(State::Failed));
}
