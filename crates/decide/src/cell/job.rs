//! Requests and bookings as the machine keeps them.

use crate::attempt::Attempt;
use crate::class::Class;
use crate::name::Name;
use crate::request::{self, Request};
use crate::size::Size;
use crate::time::Time;
use crate::worker::Interrupt;

/// A request.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// The request.
    pub(super) request: Request,
    /// The index of its team.
    pub(super) team: usize,
    /// The number of its last attempt.
    pub(super) number: u32,
    /// Where it stands.
    pub(super) phase: Phase,
    /// Whether a caller waits for its answer.
    pub(super) caller: bool,
    /// Whether its caller has withdrawn it.
    pub(super) cancelled: bool,
    /// Counts arrivals.
    pub(super) arrival: u64,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// It waits in the queue.
    Queued,
    /// It waits until it may be tried again.
    Backoff,
    /// It may run on a worker that is not claimed yet.
    Sought,
    /// An attempt of it is booked.
    Placed(Attempt),
}

/// An attempt that is booked on a worker.
#[expect(dead_code)]
#[derive(Clone, Debug)]
pub(super) struct Booking {
    /// The index of the worker.
    pub(super) worker: usize,
    /// The index of the team.
    pub(super) team: usize,
    /// What is booked.
    pub(super) size: Size,
    /// The kind that sizes are learnt by.
    pub(super) kind: Name,
    /// The class.
    pub(super) class: Class,
    /// The gang, if any.
    pub(super) gang: Option<request::Id>,
    /// Whether another attempt is harmless.
    pub(super) idempotent: bool,
    /// How far it has come.
    pub(super) state: State,
    /// The epoch of the rack's ownership when it was booked.
    pub(super) epoch: u64,
    /// When it fell into doubt.
    pub(super) doubted: Time,
    /// How often a start was sent.
    pub(super) sends: u32,
    /// When it was booked.
    pub(super) since: Time,
    /// What it was last told, if anything.
    pub(super) interrupt: Option<Told>,
}

/// An interrupt that was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Told {
    /// How.
    pub(super) how: Interrupt,
    /// Why.
    pub(super) cause: Cause,
    /// When.
    pub(super) at: Time,
}

/// Why an attempt was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// Its caller has withdrawn it, or waits no longer.
    Unwanted,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// A start was sent.
    Sent,
    /// It has begun.
    Running,
    /// Whether it began or still runs is unknown.
    Doubt,
}
