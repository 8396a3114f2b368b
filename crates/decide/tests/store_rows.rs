//! What the scheduler writes stays within the store's limits, whatever the number of workers, jobs
//! and tasks, and a row that the store rejects holds up no other.

#[path = "support/batch/bench.rs"]
mod bench;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::config::Config;
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::record::{
    BLOCK_TASKS, BlockId, Change, Fit, Progress, Record, Row, Stored,
};
use azurepath_decide::batch::report::{End, Outcome, Report, Running};
use azurepath_decide::batch::scheduler::{Scheduler, Setup};
use azurepath_decide::batch::{Action, Answer, Attempt, Decision, JobId, StartOutcome, State};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use bench::{Bench, GANG_WAIT, JOB, LONGEST_LEASE, entry, queue, single};

/// How many tasks fit onto a worker of the bench.
const TASKS: u32 = 3 * BLOCK_TASKS;

/// The rows that were written, as a store keeps them.
#[derive(Default)]
struct Rows {
    jobs: BTreeMap<JobId, Record>,
    blocks: BTreeMap<BlockId, Progress>,
    roster: BTreeMap<Name, Entry>,
    /// How many rows each write has changed.
    writes: Vec<usize>,
}

impl Rows {
    /// Writes all changes, at most `limit` in one write.
    fn write(&mut self, scheduler: &mut Scheduler, limit: usize) {
        loop {
            let mut rows = 0;
            let changed = scheduler.next_batch(|change| {
                if rows == limit {
                    return Fit::Full;
                }
                rows += 1;
                self.apply(change.clone());
                Fit::Taken
            });
            if !changed {
                return;
            }
            self.writes.push(rows);
            scheduler.batch_stored();
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Worker(id, Some(entry)) => drop(self.roster.insert(id, entry)),
            Change::Worker(id, None) => drop(self.roster.remove(&id)),
            Change::Job(id, Some(record)) => drop(self.jobs.insert(id, record)),
            Change::Job(id, None) => drop(self.jobs.remove(&id)),
            Change::Block(id, Some(progress)) => drop(self.blocks.insert(id, progress)),
            Change::Block(id, None) => drop(self.blocks.remove(&id)),
        }
    }

    fn stored(&self) -> Stored {
        Stored {
            jobs: self.jobs.clone().into_iter().collect(),
            blocks: self.blocks.clone().into_iter().collect(),
            roster: self.roster.values().cloned().collect(),
        }
    }
}

fn scheduler(epoch: u64, stored: Stored) -> Scheduler {
    let config = Arc::new(Config {
        version: 1,
        queues: vec![queue()],
        accounts: Vec::new(),
    });
    let setup = Setup {
        epoch,
        origin_ms: 0,
        takeover_grace: Duration::ZERO,
        gang_wait: GANG_WAIT,
        longest_lease: LONGEST_LEASE,
        remote_slowdown: None,
    };
    Scheduler::new(setup, Time::from_millis(1_000), config, stored)
}

fn report(ended: Vec<End>, running: Vec<Running>) -> Report {
    Report {
        clock_ms: 1_000,
        born_ms: 1,
        running,
        ended,
    }
}

/// Submits a step of many small tasks and returns the attempts that were ordered.
fn start_wide(scheduler: &mut Scheduler, rows: &mut Rows) -> Vec<Attempt> {
    let mut spec = single();
    spec.steps[0].count = TASKS;
    spec.steps[0].size.millicores = 1;
    spec.steps[0].size.memory_mib = 1;
    scheduler.update_registry(vec![entry()]);
    rows.write(scheduler, 98);
    scheduler.report(0, &report(Vec::new(), Vec::new()));
    scheduler.submit(1, JOB, &Name::from("checks"), None, spec);
    rows.write(scheduler, 98);
    let mut actions = Vec::new();
    scheduler.advance(Time::from_millis(1_010), &mut actions);
    let attempts = actions.into_iter().filter_map(|action| match action {
        Action::Start { attempt, .. } => Some(attempt),
        _ => None,
    });
    let attempts: Vec<Attempt> = attempts.collect();
    for attempt in &attempts {
        scheduler.handle_start(0, *attempt, StartOutcome::Running, 0);
    }
    attempts
}

fn end(number: u64, attempt: Attempt, outcome: Outcome) -> End {
    End {
        number,
        attempt,
        outcome,
        checkpoint: Some(Name::from("0123456789abcdef")),
    }
}

#[test]
fn many_workers() {
    let mut scheduler = scheduler(1, Stored::default());
    let entries = (0..2_000).map(|number| Entry {
        id: Name::from(format!("w{number}")),
        ..entry()
    });
    scheduler.update_registry(entries.collect());
    let mut rows = Rows::default();
    rows.write(&mut scheduler, 98);
    assert_eq!(rows.roster.len(), 2_000);
    assert_eq!(rows.writes.len(), 21);
    // One worker that comes or goes is one row.
    scheduler.remove_worker(7);
    rows.write(&mut scheduler, 98);
    assert_eq!(rows.roster.len(), 1_999);
    assert_eq!(rows.writes.last(), Some(&1));
}

#[test]
fn reborn_worker() {
    let mut scheduler = scheduler(1, Stored::default());
    let mut rows = Rows::default();
    scheduler.update_registry(vec![entry()]);
    rows.write(&mut scheduler, 98);
    let reborn = Entry {
        born_ms: 2,
        ..entry()
    };
    scheduler.update_registry(vec![reborn.clone()]);
    rows.write(&mut scheduler, 98);
    assert_eq!(rows.roster.values().collect::<Vec<_>>(), [&reborn]);
    assert!(scheduler.worker(1).in_roster);
}

#[test]
fn wide_step() {
    let mut rows = Rows::default();
    let mut first = scheduler(1, Stored::default());
    let attempts = start_wide(&mut first, &mut rows);
    assert_eq!(attempts.len(), TASKS as usize);
    // Two of three tasks end in each of the three ways that a successor has to know of.
    let ends = attempts.iter().enumerate().map(|(index, attempt)| {
        let outcome = match index % 3 {
            0 => Outcome::Done,
            _ => Outcome::Stopped,
        };
        end(index as u64 + 1, *attempt, outcome)
    });
    first.report(0, &report(ends.collect(), Vec::new()));
    rows.write(&mut first, 98);
    assert_eq!(rows.blocks.len(), 3);
    let largest = rows
        .blocks
        .values()
        .map(|block| block.tasks.len())
        .max()
        .unwrap_or_default();
    assert!(largest <= BLOCK_TASKS as usize);

    // A successor runs only the tasks that are not done.
    let mut second = scheduler(2, rows.stored());
    second.update_registry(vec![entry()]);
    second.report(0, &report(Vec::new(), Vec::new()));
    let mut actions = Vec::new();
    second.advance(Time::from_millis(1_020), &mut actions);
    let started: Vec<Attempt> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Start { attempt, .. } => Some(*attempt),
            _ => None,
        })
        .collect();
    assert_eq!(started.len(), (TASKS - TASKS.div_ceil(3)) as usize);
    assert!(started.iter().all(|attempt| attempt.task.index % 3 != 0));
    assert!(started.iter().all(|attempt| attempt.run > 1_000));
}

#[test]
fn ended_job() {
    let mut rows = Rows::default();
    let mut scheduler = scheduler(1, Stored::default());
    let attempts = start_wide(&mut scheduler, &mut rows);
    let half = attempts.len() / 2;
    let done = |number: usize| end(number as u64 + 1, attempts[number], Outcome::Done);
    scheduler.report(0, &report((0..half).map(done).collect(), Vec::new()));
    rows.write(&mut scheduler, 98);
    assert!(!rows.blocks.is_empty());
    scheduler.report(
        0,
        &report((half..attempts.len()).map(done).collect(), Vec::new()),
    );
    rows.write(&mut scheduler, 98);
    assert!(matches!(
        rows.jobs[&JOB],
        Record::Ended(State::Completed, Some(_))
    ));
    assert!(rows.blocks.is_empty());
    assert_eq!(scheduler.state(JOB), Some(State::Completed));
}

/// A leader dies after it has stored a job's end, and before it has removed the job's blocks.
#[test]
fn left_blocks() {
    let mut rows = Rows::default();
    let mut first = scheduler(1, Stored::default());
    let attempts = start_wide(&mut first, &mut rows);
    first.report(
        0,
        &report(vec![end(1, attempts[0], Outcome::Stopped)], Vec::new()),
    );
    rows.write(&mut first, 98);
    let blocks = rows.blocks.clone();
    first.cancel(2, JOB);
    rows.write(&mut first, 98);
    rows.blocks = blocks;
    let mut second = scheduler(2, rows.stored());
    rows.write(&mut second, 98);
    assert!(rows.blocks.is_empty());
    assert_eq!(second.state(JOB), Some(State::Cancelled));
}

#[test]
fn oversized_job() {
    let mut bench = Bench::new();
    let queue = Name::from("checks");
    bench.scheduler.submit(1, JOB, &queue, None, single());
    let other = JobId(JOB.0 + 1);
    bench.scheduler.submit(2, other, &queue, None, single());
    let changed = bench.scheduler.next_batch(|change| match change {
        Change::Job(id, _) if *id == JOB => Fit::TooLarge,
        _ => Fit::Taken,
    });
    assert!(changed, "the other job is written");
    bench.scheduler.batch_stored();
    let actions = bench.advance();
    let answers: Vec<(u64, Answer)> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Answer { call, answer } => Some((*call, answer.clone())),
            _ => None,
        })
        .collect();
    assert_eq!(answers, [(1, Answer::TooLarge), (2, Answer::Accepted)]);
    assert_eq!(bench.scheduler.state(JOB), None);
    let unstorable = |action: &Action| {
        matches!(action, Action::Log(decision)
            if matches!(&**decision, Decision::Unstorable { row } if *row == Row::Job(JOB)))
    };
    assert_eq!(
        actions.iter().filter(|action| unstorable(action)).count(),
        1
    );
    let starts_rejected = |action: &Action| matches!(action, Action::Start { attempt, .. } if attempt.task.step.job == JOB);
    assert!(!actions.iter().any(starts_rejected));
}

/// The store rejects every write that holds one of the rows, with no word on which it is.
#[test]
fn rejected_write() {
    let mut bench = Bench::new();
    let queue = Name::from("checks");
    for number in 0..40 {
        let id = JobId(JOB.0 + number);
        bench.scheduler.submit(number, id, &queue, None, single());
    }
    let bad = JobId(JOB.0 + 13);
    let mut writes = 0;
    loop {
        let mut holds_bad = false;
        let changed = bench.scheduler.next_batch(|change| {
            holds_bad |= matches!(change, Change::Job(id, _) if *id == bad);
            Fit::Taken
        });
        if !changed {
            break;
        }
        writes += 1;
        if holds_bad {
            bench.scheduler.batch_rejected();
        } else {
            bench.scheduler.batch_stored();
        }
    }
    assert!(writes <= 20, "{writes} writes for one bad row of 40");
    let actions = bench.advance();
    let accepted = actions.iter().filter(
        |action| matches!(action, Action::Answer { answer, .. } if *answer == Answer::Accepted),
    );
    assert_eq!(accepted.count(), 39);
    let rejected = Action::Answer {
        call: 13,
        answer: Answer::TooLarge,
    };
    assert!(actions.contains(&rejected));
}

/// Progress that can't be stored ends the job: a successor would run its tasks again.
#[test]
fn unstorable_progress() {
    let mut bench = Bench::with_queue(azurepath_decide::batch::config::Queue {
        attempts: 5,
        ..queue()
    });
    let attempt = bench.start();
    bench.report(vec![end(1, attempt, Outcome::Failed)]);
    let changed = bench.scheduler.next_batch(|change| match change {
        Change::Block(..) => Fit::TooLarge,
        _ => Fit::Taken,
    });
    assert!(changed);
    assert_eq!(bench.acknowledged(), 0);
    bench.scheduler.batch_stored();
    bench.store();
    assert_eq!(bench.acknowledged(), 1);
    assert_eq!(bench.scheduler.state(JOB), Some(State::Failed));
}

/// A late report of a run that failed does not count against a task that is done.
#[test]
fn failure_after_done() {
    let mut rows = Rows::default();
    let mut first = scheduler(1, Stored::default());
    let attempts = start_wide(&mut first, &mut rows);
    let done = end(1, attempts[0], Outcome::Done);
    first.report(0, &report(vec![done], Vec::new()));
    rows.write(&mut first, 98);
    let mut second = scheduler(2, rows.stored());
    second.update_registry(vec![entry()]);
    let failed = end(2, attempts[0], Outcome::Failed);
    second.report(0, &report(vec![failed], Vec::new()));
    assert_ne!(second.state(JOB), Some(State::Failed));
    rows.write(&mut second, 98);
    assert!(!matches!(rows.jobs[&JOB], Record::Ended(State::Failed, _)));
}

/// Pages that are read at the same time may both hold a row.
#[test]
fn doubled_block() {
    let mut rows = Rows::default();
    let mut first = scheduler(1, Stored::default());
    let attempts = start_wide(&mut first, &mut rows);
    first.report(
        0,
        &report(vec![end(1, attempts[0], Outcome::Done)], Vec::new()),
    );
    rows.write(&mut first, 98);
    let mut stored = rows.stored();
    stored.blocks.extend(stored.blocks.clone());
    let mut second = scheduler(2, stored);
    second.update_registry(vec![entry()]);
    let rest = attempts.iter().skip(1).enumerate();
    let ends = rest.map(|(number, attempt)| end(number as u64 + 2, *attempt, Outcome::Done));
    second.report(0, &report(ends.collect(), Vec::new()));
    rows.write(&mut second, 98);
    assert_eq!(second.state(JOB), Some(State::Completed));
}

/// The length of checkpoints of which a row has no room for one of each task, in bytes.
const LONG_CHECKPOINT: usize = 4_000;

/// The most bytes of checkpoints that the store accepts in a row.
const ROW_BYTES: usize = 48 * 1_024;

/// Long checkpoints must not end a job of which no run has failed.
#[test]
fn long_checkpoints_fail_job() {
    let mut rows = Rows::default();
    let mut first = scheduler(1, Stored::default());
    let attempts = start_wide(&mut first, &mut rows);
    let stopped = |(number, attempt): (usize, &Attempt)| End {
        checkpoint: Some(Name::from("c".repeat(LONG_CHECKPOINT))),
        ..end(number as u64 + 1, *attempt, Outcome::Stopped)
    };
    let ends = attempts.iter().enumerate().map(stopped).collect();
    first.report(0, &report(ends, Vec::new()));
    let fits = |change: &Change| match change {
        Change::Block(_, Some(progress)) => {
            let checkpoints = progress
                .tasks
                .iter()
                .filter_map(|(_, task)| task.checkpoint.as_ref());
            let bytes: usize = checkpoints.map(|checkpoint| checkpoint.len()).sum();
            bytes <= ROW_BYTES
        }
        _ => true,
    };
    while first.next_batch(|change| {
        if fits(change) {
            Fit::Taken
        } else {
            Fit::TooLarge
        }
    }) {
        first.batch_stored();
    }
    assert_eq!(first.state(JOB), Some(State::Running));
}

/// The store says only that it rejects a write, not for which row.
#[test]
fn rejected_checkpoints_fail_job() {
    let mut bench = Bench::with_queue(azurepath_decide::batch::config::Queue {
        attempts: 5,
        ..queue()
    });
    let attempt = bench.start();
    let stopped = End {
        checkpoint: Some(Name::from("c")),
        ..end(1, attempt, Outcome::Stopped)
    };
    bench.report(vec![stopped]);
    loop {
        let mut holds_checkpoint = false;
        let changed = bench.scheduler.next_batch(|change| {
            if let Change::Block(_, Some(progress)) = change {
                holds_checkpoint |= progress
                    .tasks
                    .iter()
                    .any(|(_, task)| task.checkpoint.is_some());
            }
            Fit::Taken
        });
        match (changed, holds_checkpoint) {
            (false, _) => break,
            (true, true) => bench.scheduler.batch_rejected(),
            (true, false) => bench.scheduler.batch_stored(),
        }
    }
    assert_eq!(bench.acknowledged(), 1);
    assert_eq!(bench.scheduler.state(JOB), Some(State::Running));
}
