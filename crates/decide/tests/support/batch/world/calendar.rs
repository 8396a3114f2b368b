//! What is going to happen, in the order of time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use azurepath_decide::batch::report::Report;
use azurepath_decide::batch::{Attempt, JobId, StartOutcome};
use azurepath_decide::time::Time;

use super::write::Write;

/// What happens to the cluster. A `worker` is the scheduler's number of a worker, a `node` the
/// simulation's.
#[derive(Debug)]
pub(super) enum Event {
    Tick,
    /// A client submits a job.
    Submit(JobId),
    /// The instance that carries an order connects to its worker, which carries it out after this time.
    Connect(Order, Duration),
    /// An order to start reaches its worker.
    Start(Order),
    /// An order to stop reaches its worker: epoch, node, the birth of the incarnation that it was
    /// sent to, and attempt.
    Stop(u64, usize, Time, Attempt),
    /// Orders to stop runs reach a worker, which then reports: epoch, worker and attempts.
    Settle(u64, usize, Vec<Attempt>),
    /// That report reaches the leader: epoch, worker, attempts and report.
    Settled(u64, usize, Vec<Attempt>, Report),
    /// The leader renews a lease: epoch and worker.
    Renew(u64, usize),
    /// The leader learns the outcome of an order to start: epoch, worker, attempt, outcome, and the
    /// order's expiry by the worker's clock in milliseconds.
    Started(u64, usize, Attempt, StartOutcome, u64),
    /// A report reaches the leader: epoch, worker, the time of the renewal, and the report.
    Report(u64, usize, Time, Report),
    /// The leader gets no answer to a renewal: epoch and worker.
    Silent(u64, usize),
    /// The leader learns that another one leads, from a worker or the store: epoch.
    Superseded(u64),
    /// A write reaches the store.
    Stored(Write),
    /// The leader learns that its write is stored: epoch, the number of the write, and a time at
    /// which it was sent and no other leader had claimed.
    Written(u64, u64, Time),
    /// The leader gets no answer to a write: epoch and the number of the write.
    Unwritten(u64, u64),
    /// The next leader claims if the leader of this epoch leads no more.
    Takeover(u64),
}

/// An order to start a task.
#[derive(Clone, Debug)]
pub(super) struct Order {
    pub(super) epoch: u64,
    pub(super) worker: usize,
    pub(super) node: usize,
    /// The birth of the incarnation that it was sent to.
    pub(super) born: Time,
    pub(super) attempt: Attempt,
    /// When it expires, by the worker's clock.
    pub(super) until_ms: u64,
    pub(super) is_answered: bool,
}

/// The events to come. Those of the same time happen in the order in which they were added.
#[derive(Default)]
pub(super) struct Calendar {
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    last_id: u64,
}

impl Calendar {
    /// Returns a number that no event and no call of a client has had.
    pub(super) fn new_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    pub(super) fn add(&mut self, at: Time, event: Event) {
        let id = self.new_id();
        self.events.insert(id, event);
        self.queue.push(Reverse((at, id)));
    }

    /// Removes the next event.
    pub(super) fn next(&mut self) -> Option<(Time, Event)> {
        let Reverse((at, id)) = self.queue.pop()?;
        let event = self.events.remove(&id)?;
        Some((at, event))
    }
}
