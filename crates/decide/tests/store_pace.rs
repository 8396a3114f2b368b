//! How long clients wait for their jobs to be stored while the store is slow.

use std::time::Duration;

use azurepath_decide::batch::store_pace::StorePace;

/// The most rows of a write.
const WRITE_ROWS: usize = 98;

/// How long a write takes, in milliseconds: usually, and while the store is 60 times slower.
const USUAL_WRITE_MS: u64 = 4;
const SLOW_WRITE_MS: u64 = 240;

/// The rows that change for each job: its own twice, the progress of its tasks twice.
const ROWS_PER_JOB: usize = 4;

/// The time between arrivals in milliseconds.
const ARRIVAL_MS: u64 = 5;

/// How long a client waits for an answer, in milliseconds.
const PATIENCE_MS: u64 = 2_700;

/// What the clients of one phase got.
#[derive(Debug, Default)]
struct Tally {
    accepted: usize,
    refused: usize,
    late: usize,
}

/// A leader that stores the rows of its jobs in the order of their arrival.
#[derive(Default)]
struct Leader {
    pace: StorePace,
    now_ms: u64,
    /// When the job of each waiting row was submitted.
    rows: Vec<u64>,
    /// The rows of the present write, and when it began.
    writing: Option<(Vec<u64>, u64)>,
}

impl Leader {
    /// Submits `jobs` each [`ARRIVAL_MS`] for `span_ms`, with writes that take `write_ms`.
    fn run(&mut self, jobs: usize, span_ms: u64, write_ms: u64) -> Tally {
        let mut tally = Tally::default();
        for _ in 0..span_ms {
            self.now_ms += 1;
            if let Some((rows, begun)) = self
                .writing
                .take_if(|(_, at)| self.now_ms >= *at + write_ms)
            {
                let full = !self.rows.is_empty();
                let took = Duration::from_millis(self.now_ms - begun);
                self.pace.record(rows.len(), full, took);
                let late = |at: &&u64| self.now_ms - **at > PATIENCE_MS;
                tally.late += rows.iter().filter(late).count();
            }
            if self.writing.is_none() && !self.rows.is_empty() {
                let count = self.rows.len().min(WRITE_ROWS);
                let rows = self.rows.drain(..count).collect();
                self.writing = Some((rows, self.now_ms));
            }
            if self.now_ms.is_multiple_of(ARRIVAL_MS) {
                for _ in 0..jobs {
                    self.submit(&mut tally);
                }
            }
        }
        tally
    }

    fn submit(&mut self, tally: &mut Tally) {
        let begun = self.writing.as_ref().map_or(self.now_ms, |(_, at)| *at);
        let writing = Duration::from_millis(self.now_ms - begun);
        if self.pace.retry_after(self.rows.len(), writing).is_some() {
            tally.refused += 1;
            return;
        }
        tally.accepted += 1;
        self.rows.extend([self.now_ms; ROWS_PER_JOB]);
    }
}

#[test]
fn slow_store_answers_too_late() {
    let mut leader = Leader::default();
    let usual = leader.run(1, 2_000, USUAL_WRITE_MS);
    assert_eq!((usual.refused, usual.late), (0, 0), "{usual:?}");
    let slow = leader.run(2, 4_500, SLOW_WRITE_MS);
    assert_eq!(slow.late, 0, "{slow:?}");
    assert!(slow.accepted > 0, "{slow:?}");
    let after = leader.run(1, 5_000, USUAL_WRITE_MS);
    assert_eq!(after.late, 0, "{after:?}");
    // What was refused for the slow store is over with it.
    let later = leader.run(1, 5_000, USUAL_WRITE_MS);
    assert_eq!((later.refused, later.late), (0, 0), "{later:?}");
}

#[test]
fn write_without_end() {
    let pace = StorePace::default();
    assert_eq!(pace.retry_after(0, Duration::ZERO), None);
    assert!(pace.retry_after(0, Duration::from_millis(900)).is_some());
}

/// The store is back after an outage, and nothing has been written since.
#[test]
fn past_outage_refuses_next_job() {
    let mut pace = StorePace::default();
    pace.record(1, false, Duration::from_secs(8));
    assert_eq!(pace.retry_after(0, Duration::ZERO), None);
}

/// By then another instance leads, or the store is back.
const OUTAGE_PAUSE: Duration = Duration::from_secs(2);

#[test]
fn outage_keeps_clients_away() {
    let pace = StorePace::default();
    let pause = pace.retry_after(900, Duration::from_millis(1_500));
    assert!(
        pause.is_some_and(|pause| pause <= OUTAGE_PAUSE),
        "{pause:?}"
    );
}
