//! A gang whose members have not all started is stopped before those that have give up waiting, and
//! starts again as a whole.

#[path = "support/batch/bench.rs"]
mod bench;

use std::collections::{BTreeMap, BTreeSet};

use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::report::{End, Outcome, Report, Running};
use azurepath_decide::batch::{Action, Attempt, Refusal, StartOutcome, State};
use azurepath_decide::name::Name;
use bench::{Bench, GANG_WAIT, JOB, entry, gang, starts};

const WORKERS: usize = 3;

/// How long an order may be carried out, in milliseconds.
const ORDER_VALIDITY_MS: u64 = 1_500;

/// How long it takes to notice that an instance has not delivered an order's outcome, in
/// milliseconds.
const LOST_AFTER_MS: u64 = 1_700;

/// The latest time at which the stop of a gang leaves its members time to end, in milliseconds.
const STOP_BY_MS: u64 = 2_000;

/// Long after members of a gang would have given up waiting, in milliseconds.
const LONG_AFTER_MS: u64 = 10_000;

/// A gang with a member on each of three workers.
struct Gang {
    bench: Bench,
    /// The attempt on each worker.
    members: [Attempt; WORKERS],
    ordered_ms: u64,
    /// The attempts that were ordered to stop.
    stops: BTreeSet<Attempt>,
    /// The attempts that were ordered to start, other than first.
    restarts: Vec<(usize, Attempt)>,
    last_end: [u64; WORKERS],
}

impl Gang {
    fn ordered() -> Gang {
        let mut bench = Bench::new();
        let worker = |number: usize| Entry {
            id: Name::from(["w", "w1", "w2"][number]),
            ..entry()
        };
        bench
            .scheduler
            .update_registry((0..WORKERS).map(worker).collect());
        bench.store();
        (0..WORKERS).for_each(|worker| bench.report_idle(worker));
        bench.submit(gang(3, 5_000));
        let starts = starts(&bench.advance());
        assert_eq!(starts.len(), WORKERS);
        let by_worker: BTreeMap<usize, Attempt> = starts.into_iter().collect();
        Gang {
            ordered_ms: bench.clock_ms(),
            bench,
            members: std::array::from_fn(|worker| by_worker[&worker]),
            stops: BTreeSet::new(),
            restarts: Vec::new(),
            last_end: [0; WORKERS],
        }
    }

    /// A gang of which the members on these workers run, as the scheduler knows.
    fn with_running(workers: &[usize]) -> Gang {
        let mut gang = Gang::ordered();
        for &worker in workers {
            gang.handle(worker, StartOutcome::Running);
        }
        gang
    }

    /// A gang whose orders all were lost, so that all members were ordered to start again.
    fn ordered_again() -> Gang {
        let mut gang = Gang::ordered();
        gang.advance_to(LOST_AFTER_MS);
        (0..WORKERS).for_each(|worker| gang.handle(worker, StartOutcome::Lost));
        gang.advance_to(STOP_BY_MS);
        gang
    }

    fn handle(&mut self, worker: usize, outcome: StartOutcome) {
        let expires_ms = self.bench.clock_ms() + ORDER_VALIDITY_MS;
        let attempt = self.members[worker];
        self.bench
            .scheduler
            .handle_start(worker, attempt, outcome, expires_ms);
    }

    /// Lets the time pass until so many milliseconds after the order.
    fn advance_to(&mut self, after_ms: u64) {
        while self.bench.clock_ms() < self.ordered_ms + after_ms {
            for action in self.bench.advance() {
                match action {
                    Action::Stop { attempt, .. } => drop(self.stops.insert(attempt)),
                    Action::Start {
                        worker, attempt, ..
                    } => self.restarts.push((worker, attempt)),
                    _ => {}
                }
            }
            self.bench.store();
        }
    }

    fn advance(&mut self) {
        self.advance_to(self.bench.clock_ms() + 10 - self.ordered_ms);
    }

    fn report(&mut self, worker: usize, progress: Option<f64>, end: Option<Outcome>) {
        let attempt = self.members[worker];
        let running = progress.map(|progress| Running {
            attempt,
            checkpoint: None,
            progress,
        });
        let end = end.map(|outcome| {
            self.last_end[worker] += 1;
            End {
                number: self.last_end[worker],
                attempt,
                outcome,
                checkpoint: None,
            }
        });
        let report = Report {
            clock_ms: self.bench.clock_ms(),
            born_ms: 1,
            running: running.into_iter().collect(),
            ended: end.into_iter().collect(),
        };
        self.bench.scheduler.report(worker, &report);
    }

    /// Asserts that the members on these workers were ordered to stop, and that each was started
    /// once.
    fn assert_stopped(&self, workers: &[usize]) {
        for &worker in workers {
            let attempt = self.members[worker];
            assert!(self.stops.contains(&attempt), "worker {worker}");
        }
        assert_eq!(self.restarts, []);
    }
}

#[test]
fn unanswered_order() {
    let mut gang = Gang::with_running(&[0, 1]);
    gang.advance_to(STOP_BY_MS);
    gang.assert_stopped(&[0, 1, 2]);
}

#[test]
fn outcomes_never_delivered() {
    let mut gang = Gang::with_running(&[0, 1]);
    gang.advance_to(LOST_AFTER_MS);
    gang.handle(2, StartOutcome::Lost);
    gang.advance_to(STOP_BY_MS);
    gang.assert_stopped(&[0, 1, 2]);
    // Another order would start the member anew.
    gang.advance_to(GANG_WAIT.as_millis() as u64);
    assert_eq!(gang.restarts, []);
}

#[test]
fn expired_order() {
    let mut gang = Gang::with_running(&[0, 1]);
    for _ in 0..3 {
        gang.handle(2, StartOutcome::Lost);
    }
    gang.advance();
    gang.restarts.clear();
    assert!(gang.stops.is_empty());
    // The worker's clock is ahead.
    let report = Report {
        clock_ms: gang.bench.clock_ms() + ORDER_VALIDITY_MS,
        born_ms: 1,
        ..Report::default()
    };
    gang.bench.scheduler.report(2, &report);
    gang.advance();
    gang.assert_stopped(&[0, 1]);
}

#[test]
fn refused_second_order() {
    let mut gang = Gang::with_running(&[0, 1]);
    gang.handle(2, StartOutcome::Lost);
    gang.advance();
    gang.restarts.clear();
    gang.handle(2, StartOutcome::Refused(Refusal::NoRoom));
    gang.advance();
    // The first order may still arrive.
    gang.assert_stopped(&[0, 1, 2]);
}

#[test]
fn removed_worker() {
    let mut gang = Gang::with_running(&[0, 1]);
    gang.bench.scheduler.remove_worker(2);
    gang.advance();
    gang.assert_stopped(&[0, 1]);
}

#[test]
fn expired_lease() {
    let mut gang = Gang::with_running(&[0, 1, 2]);
    gang.bench.scheduler.mark_silent(2);
    gang.bench.scheduler.expire_leases(2);
    gang.advance();
    gang.assert_stopped(&[0, 1]);
}

#[test]
fn member_ended_before_others_started() {
    let mut gang = Gang::with_running(&[0, 1]);
    gang.report(1, None, Some(Outcome::Lapsed));
    gang.advance();
    gang.assert_stopped(&[0, 2]);
}

#[test]
fn all_orders_delayed() {
    let mut gang = Gang::ordered_again();
    // The second orders are carried out.
    assert_eq!(gang.restarts.len(), WORKERS);
    (0..WORKERS).for_each(|worker| gang.handle(worker, StartOutcome::Running));
    gang.advance_to(LONG_AFTER_MS);
    assert!(gang.stops.is_empty());
}

#[test]
fn late_first_member() {
    let mut gang = Gang::ordered_again();
    gang.restarts.clear();
    gang.handle(0, StartOutcome::Running);
    // It may have begun a second ago.
    gang.advance_to(STOP_BY_MS - 1_000 + STOP_BY_MS);
    gang.assert_stopped(&[0, 1, 2]);
}

#[test]
fn complete_gang() {
    let mut gang = Gang::with_running(&[0, 1, 2]);
    gang.advance_to(LONG_AFTER_MS);
    assert!(gang.stops.is_empty());
}

#[test]
fn complete_but_unconfirmed_gang() {
    let mut gang = Gang::with_running(&[0, 1]);
    gang.advance_to(500);
    gang.report(0, Some(0.0), None);
    gang.advance_to(1_000);
    // A member works only once all have started.
    gang.report(0, Some(0.1), None);
    gang.advance_to(LONG_AFTER_MS);
    assert!(gang.stops.is_empty());
}

#[test]
fn starts_again_as_whole() {
    let mut gang = Gang::with_running(&[0, 1]);
    gang.advance_to(LOST_AFTER_MS);
    gang.handle(2, StartOutcome::Lost);
    gang.advance_to(STOP_BY_MS);
    gang.report(0, None, Some(Outcome::Stopped));
    gang.report(1, None, Some(Outcome::Stopped));
    // The last order may be carried out until it has expired.
    gang.report(2, None, None);
    gang.advance_to(LOST_AFTER_MS + ORDER_VALIDITY_MS);
    assert_eq!(gang.restarts, []);
    gang.advance();
    gang.report(2, None, None);
    gang.advance();
    let restarted: BTreeSet<u32> = gang
        .restarts
        .iter()
        .map(|(_, attempt)| attempt.task.index)
        .collect();
    assert_eq!(restarted.len(), WORKERS);
    assert_eq!(gang.restarts.len(), WORKERS);
    let run = gang.members[0].run;
    let is_new = |(_, attempt): &(usize, Attempt)| attempt.run > run;
    assert!(gang.restarts.iter().all(is_new));
    // Its queue allows one failed attempt only.
    assert_eq!(gang.bench.scheduler.state(JOB), Some(State::Running));
}
