//! Which jobs of an account are refused because its limit can't run them in time.

#[path = "support/batch/bench.rs"]
mod bench;
#[path = "support/batch/team.rs"]
mod team;

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::JobId;
use azurepath_decide::batch::config::Config;
use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::record::{Fit, Stored};
use azurepath_decide::batch::report::Report;
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use bench::{account, numbered, queue, single, successor};
use team::{Kind, Play, TEAM, Tally};

/// The largest part of the submitted jobs of a kind that may be accepted and not start in time. Those are
/// mostly jobs accepted before more urgent work arrived, which no estimate knows.
const MAX_LATE: f64 = 0.15;

/// The smallest part of the urgent jobs that must start in time while work of three times the limit
/// arrives. The urgent work alone needs two fifths of it.
const MIN_URGENT: f64 = 0.7;

/// Sends three times what the account's limit can run and returns the results by kind.
fn overload(weight: f64) -> [Tally; 3] {
    let mut play = Play::new(weight);
    play.run(3.0, Duration::from_secs(20));
    assert!(play.used() >= 0.9, "{}", play.used());
    play.run(0.0, Duration::from_secs(10));
    let tallies = Kind::ALL.map(|kind| *play.tally(kind));
    for (kind, tally) in Kind::ALL.iter().zip(&tallies) {
        let submitted = (tally.accepted + tally.refused) as f64;
        let late = (tally.accepted - tally.in_time) as f64;
        assert!(late <= MAX_LATE * submitted, "{kind:?}: {tally:?}");
    }
    let urgent = &tallies[0];
    let submitted = (urgent.accepted + urgent.refused) as f64;
    assert!(
        urgent.in_time as f64 >= MIN_URGENT * submitted,
        "{urgent:?}"
    );
    tallies
}

/// Most of the fleet is idle, so that its backlog refused nothing. Large and medium jobs were accepted and
/// did not start in time.
#[test]
fn accepted_jobs_wait() {
    let [urgent, ..] = overload(0.0);
    assert!(urgent.refused * 50 <= urgent.accepted, "{urgent:?}");
}

/// Jobs beyond the account's weight were accepted and starved behind those within it.
#[test]
fn excess_jobs_starve() {
    overload(8.0);
}

/// An account far below its limit is served as before.
#[test]
fn light_load_refused() {
    let mut play = Play::new(0.0);
    play.run(0.4, Duration::from_secs(20));
    for kind in Kind::ALL {
        let tally = play.tally(kind);
        assert_eq!(tally.refused, 0, "{kind:?}: {tally:?}");
    }
}

/// An idle account may send at once what its limit can run in time.
#[test]
fn burst_refused() {
    let mut play = Play::new(0.0);
    for kind in [Kind::Urgent, Kind::Medium] {
        let accepted = play.burst(kind, 1.0);
        assert!(
            accepted.iter().all(Option::is_none),
            "{kind:?}: {accepted:?}"
        );
        play.run(0.0, Duration::from_secs(8));
    }
}

/// The pause ends about when the work ahead is over.
#[test]
fn pause_after_burst() {
    let mut play = Play::new(0.0);
    let pauses = play.burst(Kind::Medium, 8.0);
    let longest = pauses.iter().flatten().max();
    let longest = *longest.expect("some jobs are refused");
    assert!(longest >= Duration::from_secs(1), "{longest:?}");
    play.run(0.0, longest + Duration::from_secs(1));
    let again = play.burst(Kind::Medium, 0.1);
    assert!(again.iter().all(Option::is_none), "{again:?}");
}

/// A new leader that one of twenty workers has answered accepts what the limit can run.
#[test]
fn silent_workers_refuse_jobs() {
    const WORKERS: usize = 20;
    let now = Time::from_millis(1_000);
    let entries: Vec<Entry> = (0..WORKERS).map(numbered).collect();
    let stored = Stored {
        roster: entries.clone(),
        ..Stored::default()
    };
    let accounts = vec![account(TEAM, 40_000)];
    let mut scheduler = successor(now, Duration::from_secs(8), accounts, stored);
    let report = Report {
        clock_ms: 1_000,
        born_ms: 1,
        ..Report::default()
    };
    scheduler.report(0, &report);
    scheduler.update_registry(entries);
    let mut actions = Vec::new();
    for number in 0..40 {
        let team = Some(Name::from(TEAM));
        scheduler.submit(number, JobId(number), &queue().name, team, single());
        while scheduler.next_batch(|_| Fit::Taken) {
            scheduler.batch_stored();
        }
        scheduler.advance(now.after(Duration::from_millis(10 * number)), &mut actions);
    }
    assert_eq!(team::refusals(&actions), 0);
}

/// A raised limit applies to the next job.
#[test]
fn raised_limit() {
    let mut play = Play::new(0.0);
    let pauses = play.burst(Kind::Medium, 8.0);
    assert!(pauses.iter().any(Option::is_some));
    let config = Config {
        version: 2,
        accounts: vec![account(TEAM, 10 * team::LIMIT_MILLICORES)],
        queues: team::queues(),
    };
    play.configure(Arc::new(config));
    let pauses = play.burst(Kind::Medium, 0.1);
    assert!(pauses.iter().all(Option::is_none), "{pauses:?}");
}

/// A small account whose limit holds few large jobs was refused some of them, although it kept within its
/// weight and they would have been on time.
#[test]
fn account_within_weight() {
    /// More jobs a second than arrive.
    const WEIGHT: f64 = 1_000.0;
    let mut play = Play::new(WEIGHT);
    play.run(1.0, Duration::from_secs(20));
    for kind in Kind::ALL {
        let tally = play.tally(kind);
        assert_eq!(tally.refused, 0, "{kind:?}: {tally:?}");
    }
}
