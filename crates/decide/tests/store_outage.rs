//! What callers are told whose jobs come just before the store stops answering.

#[path = "support/batch/bench.rs"]
mod bench;

use std::collections::BTreeMap;
use std::time::Duration;

use azurepath_decide::batch::record::Fit;
use azurepath_decide::batch::store_pace::StorePace;
use azurepath_decide::batch::{Action, Answer, JobId, State};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use bench::{Bench, single};

/// How long a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// The call that submits a job.
fn call_of(job: JobId) -> u64 {
    job.0
}

/// The job in the write that the store does not answer.
const IN_WRITE: JobId = JobId(1);

/// Jobs that come while that write is under way.
const BEHIND: [JobId; 3] = [JobId(2), JobId(3), JobId(4)];

fn submit(bench: &mut Bench, job: JobId) {
    let queue = Name::from("checks");
    bench
        .scheduler
        .submit(call_of(job), job, &queue, None, single());
}

/// Plays an outage that begins with the write of the first job. Returns when each call was answered,
/// and the answer.
fn play(bench: &mut Bench) -> BTreeMap<u64, (Duration, Answer)> {
    submit(bench, IN_WRITE);
    assert!(bench.scheduler.next_batch(|_| Fit::Taken));
    for job in BEHIND {
        submit(bench, job);
    }
    let begun = Time::from_millis(bench.clock_ms());
    let pace = StorePace::default();
    let mut answers = BTreeMap::new();
    loop {
        let now = Time::from_millis(bench.clock_ms());
        let writing = now.since(begun);
        if writing > CLIENT_TIMEOUT {
            return answers;
        }
        if let Some((wait, pause)) = pace.outage(writing) {
            bench.scheduler.refuse_unwritten(now, wait, pause);
        }
        for action in bench.advance() {
            if let Action::Answer { call, answer } = action {
                answers.insert(call, (writing, answer));
            }
        }
    }
}

/// Such clients got no answer in time and did not know whether their jobs run.
#[test]
fn refused_in_time() {
    let mut bench = Bench::new();
    let answers = play(&mut bench);
    for job in BEHIND {
        let (at, answer) = answers.get(&call_of(job)).expect("the call is answered");
        assert!(matches!(answer, Answer::Refused(_)), "{answer:?}");
        assert!(*at < CLIENT_TIMEOUT * 2 / 3, "{at:?}");
        assert_eq!(bench.scheduler.state(job), None);
    }
}

/// A job whose row was sent may be stored later, so a refusal of it could be false.
#[test]
fn sent_job_not_refused() {
    let mut bench = Bench::new();
    let answers = play(&mut bench);
    assert_eq!(answers.get(&call_of(IN_WRITE)), None);
    bench.scheduler.batch_stored();
    let answered = bench.advance().into_iter().any(|action| {
        let accepted = Answer::Accepted;
        matches!(action, Action::Answer { call, answer }
            if call == call_of(IN_WRITE) && answer == accepted)
    });
    assert!(answered);
    assert_eq!(bench.scheduler.state(IN_WRITE), Some(State::Queued));
}

/// A refused job whose row was still written would run although its client was told otherwise.
#[test]
fn refused_job_not_written() {
    let mut bench = Bench::new();
    play(&mut bench);
    bench.scheduler.batch_stored();
    let mut rows = 0;
    bench.scheduler.next_batch(|_| {
        rows += 1;
        Fit::Taken
    });
    assert_eq!(rows, 0);
    // The client may come again under the same id.
    submit(&mut bench, BEHIND[0]);
    bench.store();
    assert_eq!(bench.scheduler.state(BEHIND[0]), Some(State::Queued));
}

/// Jobs behind a write of a usual length are not refused.
#[test]
fn usual_write() {
    let pace = StorePace::default();
    assert_eq!(pace.outage(Duration::from_millis(700)), None);
}
