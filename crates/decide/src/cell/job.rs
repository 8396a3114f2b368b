//! Requests and bookings as the machine keeps them.

use serde::Serialize;

use crate::attempt::Attempt;
use crate::class::Class;
use crate::name::Name;
use crate::queue::Excluded;
use crate::request::{self, Request};
use crate::size::Size;
use crate::time::Time;
use crate::verdict::Verdict;
use crate::worker::Interrupt;

/// A request.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// The request.
    pub(super) request: Request,
    /// The index of its team.
    pub(super) team: usize,
    /// The number of its last attempt.
    pub(super) last_number: u32,
    /// Where it stands.
    pub(super) phase: Phase,
    /// Whether a caller waits for its answer.
    pub(super) has_caller: bool,
    /// Whether its caller has withdrawn it.
    pub(super) cancelled: bool,
    /// Counts arrivals.
    pub(super) arrival: u64,
    /// How often it was tried again after a failure.
    pub(super) retries: u32,
    /// The workers that it has failed on.
    pub(super) excluded: Excluded,
    /// What is true of its earlier attempts, where one has begun.
    pub(super) earlier_verdict: Option<Verdict>,
    /// The gang that its place is to be held for.
    pub(super) held_for: Option<request::Id>,
    /// The worker where room is made for it, and how much.
    pub(super) reservation: Option<(usize, Size)>,
}

impl Job {
    pub(super) fn new(request: Request, team: usize, phase: Phase, arrival: u64) -> Job {
        Job {
            request,
            team,
            last_number: 0,
            phase,
            has_caller: true,
            cancelled: false,
            arrival,
            retries: 0,
            excluded: Excluded::default(),
            earlier_verdict: None,
            held_for: None,
            reservation: None,
        }
    }
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// It waits in the queue.
    Queued,
    /// It waits until it may be tried again.
    Backoff,
    /// It may run on a worker that is not claimed yet.
    Resuming,
    /// An attempt of it is booked.
    Placed(Attempt),
}

/// An attempt that is booked on a worker.
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
    pub(super) in_doubt_since: Time,
    /// How often a start was sent.
    pub(super) sends: u32,
    /// When it was booked.
    pub(super) since: Time,
    /// What it was last told, if anything.
    pub(super) interrupt: Option<Interruption>,
    /// Until when it is not preempted.
    pub(super) protected_until: Time,
    /// The declared size.
    pub(super) declared: Size,
    /// What it used when it was last measured.
    pub(super) used: Option<Size>,
    /// The most of each resource that it was seen to use.
    pub(super) peak: Size,
}

impl Booking {
    /// Tells whether it may ever make room for urgent work.
    ///
    /// A worker has no call that hands saved state to another attempt, so an attempt that is not
    /// idempotent would begin anew after a checkpoint and is left alone.
    pub(super) fn is_preemptible(&self) -> bool {
        self.class == Class::Batch && self.idempotent && self.gang.is_none()
    }

    /// Tells whether it uses more than it declared.
    pub(super) fn exceeds_declared(&self) -> bool {
        let used = self.used.unwrap_or(Size::ZERO);
        used.millicores > self.declared.millicores || used.memory_mib > self.declared.memory_mib
    }

    /// Tells whether it was told to end.
    pub(super) fn is_ending(&self) -> bool {
        self.interrupt
            .is_some_and(|sent| sent.how != Interrupt::Throttle)
    }
}

/// An interrupt that was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Interruption {
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
    Abandoned,
    /// Urgent work needs its room.
    Preempted,
    /// Its worker is about to be over.
    Overloaded,
    /// Another member of its gang could not start.
    Gang,
    /// Its worker is leaving.
    Draining,
}

impl Cause {
    /// Tells whether the request is to run again.
    pub(super) fn runs_again(self) -> bool {
        match self {
            Cause::Preempted | Cause::Overloaded | Cause::Draining => true,
            Cause::Abandoned | Cause::Gang => false,
        }
    }
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Its room is held for a gang.
    Held,
    /// A start was sent.
    Sent,
    /// It has begun.
    Running,
    /// Whether it began or still runs is unknown.
    #[serde(rename = "doubt")]
    InDoubt,
}
