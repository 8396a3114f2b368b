//! A leader whose writes are not answered, so that a successor may have taken over its workers.

#[path = "support/batch/bench.rs"]
mod bench;

use std::time::Duration;

use azurepath_decide::batch::config::Account;
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::record::{Fit, Record, Stored, Submission};
use azurepath_decide::batch::report::{End, MAX_LISTED_ENDS, Outcome, Report};
use azurepath_decide::batch::scheduler::Scheduler;
use azurepath_decide::batch::{Action, Attempt, JobId, StartOutcome, State, StepId, TaskId};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use bench::{Bench, JOB, entry, numbered, queue, single, successor};

/// How long after a takeover tasks may run on workers that have not reported.
const GRACE: Duration = Duration::from_secs(8);

const ACCOUNT: &str = "team";

/// A leader of two workers that is cut off from the store while the only task runs on one of them.
struct CutOff {
    bench: Bench,
    /// The worker that runs the task.
    worker: usize,
    attempt: Attempt,
}

impl CutOff {
    fn new() -> CutOff {
        let account = Account {
            name: Name::from(ACCOUNT),
            keys: Vec::new(),
            weight: 100.0,
            limit: Size {
                millicores: 1_000,
                ..Size::MAX
            },
        };
        let mut bench = Bench::with(vec![queue()], vec![account]);
        bench.scheduler.update_registry(vec![entry(), numbered(1)]);
        bench.store();
        bench.report_idle(1);
        submit(&mut bench, JOB);
        let (worker, attempt) = start(&bench.advance()).expect("the task starts");
        bench
            .scheduler
            .handle_start(worker, attempt, StartOutcome::Running, 0);
        bench.is_cut_off = true;
        CutOff {
            bench,
            worker,
            attempt,
        }
    }

    fn expire_leases(&mut self) {
        self.bench.scheduler.mark_silent(self.worker);
        self.bench.scheduler.expire_leases(self.worker);
    }

    fn now(&self) -> Time {
        Time::from_millis(self.bench.clock_ms())
    }
}

fn submit(bench: &mut Bench, job: JobId) {
    let (queue, account) = (Name::from("checks"), Some(Name::from(ACCOUNT)));
    bench.scheduler.submit(1, job, &queue, account, single());
    bench.store();
}

fn start(actions: &[Action]) -> Option<(usize, Attempt)> {
    actions.iter().find_map(|action| match action {
        Action::Start {
            worker, attempt, ..
        } => Some((*worker, *attempt)),
        _ => None,
    })
}

/// The successor may have extended the leases, or acknowledged the end of the run.
#[test]
fn expired_lease_runs_task_twice() {
    let mut leader = CutOff::new();
    leader.expire_leases();
    for _ in 0..400 {
        assert_eq!(start(&leader.bench.advance()), None);
    }
    assert!(leader.bench.scheduler.awaits_confirmation());
}

#[test]
fn replaced_worker_runs_task_twice() {
    let mut leader = CutOff::new();
    leader.bench.scheduler.remove_worker(leader.worker);
    assert_eq!(start(&leader.bench.advance()), None);
}

/// The successor may count what still runs there against the limit.
#[test]
fn expired_lease_exceeds_limit() {
    let mut leader = CutOff::new();
    submit(&mut leader.bench, JobId(8));
    leader.expire_leases();
    assert_eq!(start(&leader.bench.advance()), None);
}

#[test]
fn earlier_write_confirms_nothing() {
    let mut leader = CutOff::new();
    let sent = leader.now();
    leader.bench.advance();
    leader.expire_leases();
    leader.bench.advance();
    leader.bench.scheduler.confirm(sent);
    assert_eq!(start(&leader.bench.advance()), None);
}

#[test]
fn later_write_confirms_expiry() {
    let mut leader = CutOff::new();
    leader.expire_leases();
    leader.bench.advance();
    let sent = leader.now();
    leader.bench.scheduler.confirm(sent);
    let (worker, attempt) = start(&leader.bench.advance()).expect("the task starts anew");
    assert_ne!(worker, leader.worker);
    assert_eq!(attempt.run, leader.attempt.run + 1);
    assert!(!leader.bench.scheduler.awaits_confirmation());
}

/// A worker that answers again tells what has become of its runs.
#[test]
fn returned_worker_ends_task() {
    let mut leader = CutOff::new();
    leader.expire_leases();
    leader.bench.advance();
    let report = Report {
        clock_ms: leader.bench.clock_ms(),
        born_ms: 1,
        running: Vec::new(),
        ended: vec![End {
            number: 1,
            attempt: leader.attempt,
            outcome: Outcome::Done,
            checkpoint: None,
        }],
    };
    leader.bench.scheduler.report(leader.worker, &report);
    leader.bench.is_cut_off = false;
    leader.bench.store();
    assert_eq!(start(&leader.bench.advance()), None);
    assert_eq!(leader.bench.scheduler.state(JOB), Some(State::Completed));
}

/// A successor that is cut off itself, with one worker that has answered and one that has not.
fn cut_off_successor(silent: Entry) -> Scheduler {
    let record = Record::Open(Submission {
        queue: Name::from("checks"),
        account: None,
        accepted_ms: 0,
        spec: single(),
    });
    let stored = Stored {
        jobs: vec![(JOB, record)],
        blocks: Vec::new(),
        roster: vec![numbered(0), silent.clone()],
    };
    let mut scheduler = successor(Time::from_millis(1_000), GRACE, Vec::new(), stored);
    scheduler.update_registry(vec![numbered(0), silent]);
    while scheduler.next_batch(|_| Fit::Taken) {
        scheduler.batch_stored();
    }
    let idle = Report {
        clock_ms: 1_000,
        born_ms: 1,
        ..Report::default()
    };
    scheduler.report(0, &idle);
    scheduler
}

/// Its own successor may have claimed the worker that did not answer.
#[test]
fn takeover_end_runs_inherited_task_twice() {
    let mut scheduler = cut_off_successor(numbered(1));
    let end = Time::from_millis(1_000).after(GRACE);
    let mut actions = Vec::new();
    scheduler.advance(end, &mut actions);
    assert_eq!(start(&actions), None);
    assert!(scheduler.awaits_confirmation());
    scheduler.confirm(end);
    scheduler.advance(end.after(Duration::from_secs(1)), &mut actions);
    assert!(start(&actions).is_some());
}

#[test]
fn replaced_worker_runs_inherited_task_twice() {
    let mut scheduler = cut_off_successor(numbered(1));
    scheduler.remove_worker(1);
    let mut actions = Vec::new();
    scheduler.advance(Time::from_millis(2_000), &mut actions);
    assert_eq!(start(&actions), None);
    scheduler.confirm(Time::from_millis(2_000));
    scheduler.advance(Time::from_millis(2_200), &mut actions);
    assert!(start(&actions).is_some());
}

/// An order that is given once more may start the run after the worker's leases were found expired.
#[test]
fn lost_order_is_repeated_after_expiry() {
    let mut bench = Bench::new();
    bench.scheduler.update_registry(vec![entry(), numbered(1)]);
    bench.store();
    bench.report_idle(1);
    bench.submit(single());
    let (worker, attempt) = start(&bench.advance()).expect("the task starts");
    bench.is_cut_off = true;
    bench.scheduler.mark_silent(worker);
    bench.scheduler.expire_leases(worker);
    bench.advance();
    // The outcome of the first order comes only now.
    let expires_ms = bench.clock_ms() + 1_000;
    bench
        .scheduler
        .handle_start(worker, attempt, StartOutcome::Lost, expires_ms);
    let repeated = start(&bench.advance());
    bench.is_cut_off = false;
    let anew = start(&bench.advance());
    assert!(
        repeated.is_none() || anew.is_none(),
        "{repeated:?} may still be carried out, and {anew:?} starts"
    );
}

/// Workers list at most 500 ends at a time, so a task that a full list does not show may have ended.
#[test]
fn full_list_of_ends_repeats_inherited_task() {
    let listed = MAX_LISTED_ENDS as u32;
    let mut spec = single();
    spec.steps[0].count = listed + 1;
    let record = Record::Open(Submission {
        queue: Name::from("checks"),
        account: None,
        accepted_ms: 0,
        spec,
    });
    let stored = Stored {
        jobs: vec![(JOB, record)],
        blocks: Vec::new(),
        roster: vec![numbered(0)],
    };
    let mut scheduler = successor(Time::from_millis(1_000), GRACE, Vec::new(), stored);
    scheduler.update_registry(vec![numbered(0)]);
    let step = StepId { job: JOB, step: 0 };
    let end = |index: u32| End {
        number: u64::from(index) + 1,
        attempt: Attempt {
            task: TaskId { step, index },
            run: 1,
        },
        outcome: Outcome::Done,
        checkpoint: None,
    };
    let report = Report {
        clock_ms: 1_000,
        born_ms: 1,
        running: Vec::new(),
        ended: (0..listed).map(end).collect(),
    };
    scheduler.report(0, &report);
    let mut actions = Vec::new();
    scheduler.advance(Time::from_millis(1_010), &mut actions);
    assert_eq!(start(&actions), None);
}
