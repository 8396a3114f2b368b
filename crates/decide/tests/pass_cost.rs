//! What a placement pass costs while many steps wait.

#[path = "support/batch/bench.rs"]
mod bench;

use std::time::Duration;

use azurepath_decide::batch::JobId;
use azurepath_decide::batch::config::Account;
use azurepath_decide::batch::{Action, StepId};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use bench::{Bench, advised, approve, queue, single};

/// The account of the jobs that wait, whose limit is used up.
const TEAM: &str = "team";

/// Rounds of 10 ms in which nothing happens to the jobs that wait, and the full passes among them.
const ROUNDS: usize = 40;
const FULL_PASSES: u64 = 4;

/// Answers all open questions: every worker is eligible.
fn advise(bench: &mut Bench, actions: &[Action]) {
    for action in actions {
        if let Action::Ask(question) = action {
            approve(&mut bench.scheduler, question);
        }
    }
}

fn submit(bench: &mut Bench, id: JobId) {
    let (checks, team) = (Name::from("checks"), Some(Name::from(TEAM)));
    bench.scheduler.submit(1, id, &checks, team, single());
    bench.store();
}

/// Returns how many visits other jobs' events cause while `jobs` wait for their account's limit.
fn visits_with_waiting(jobs: u64) -> u64 {
    let account = Account {
        name: Name::from(TEAM),
        keys: Vec::new(),
        weight: 0.0,
        limit: Size {
            millicores: 500,
            ..Size::MAX
        },
    };
    let mut bench = Bench::with(vec![advised(queue())], vec![account]);
    for id in 0..jobs {
        submit(&mut bench, JobId(100 + id));
    }
    for _ in 0..20 {
        let actions = bench.advance();
        advise(&mut bench, &actions);
    }
    bench.scheduler.take_effort();
    for _ in 0..ROUNDS {
        // The answer to a question of a job that has ended.
        let step = StepId {
            job: JobId(1),
            step: 0,
        };
        bench.scheduler.handle_advice(step, None);
        bench.advance();
    }
    bench.scheduler.take_effort().visits
}

#[test]
fn passes_visit_whole_backlog() {
    let jobs = 200;
    let visits = visits_with_waiting(jobs);
    assert!(
        visits <= (FULL_PASSES + 1) * jobs,
        "{visits} visits although nothing has happened to the {jobs} steps that wait"
    );
}

/// Returns the passes in a second in which each advance takes `took` and something always changes.
fn passes_in_a_second(took: Duration) -> u64 {
    const ROUNDS: u64 = 100;
    let mut bench = Bench::with_queue(advised(queue()));
    bench.scheduler.take_effort();
    for round in 0..ROUNDS {
        submit(&mut bench, JobId(100 + round));
        bench.advance();
        bench.scheduler.note_advance_time(took);
    }
    bench.scheduler.take_effort().passes
}

/// Passes may take a quarter of the time.
#[test]
fn long_passes_take_all_time() {
    let passes = passes_in_a_second(Duration::from_millis(50));
    assert!(passes <= 5, "{passes} passes of 50 ms in a second");
}

#[test]
fn suspended_pass_stops_placement() {
    let passes = passes_in_a_second(Duration::from_secs(5));
    assert!(passes >= 4, "{passes} passes in a second");
}
