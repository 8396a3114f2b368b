//! Requests and bookings as a cell keeps them.

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

/// A request and its scheduling state.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// The request.
    pub(super) request: Request,
    /// The index of its team.
    pub(super) team: usize,
    /// The number of its last attempt.
    pub(super) last_number: u32,
    /// Its current phase.
    pub(super) phase: Phase,
    /// Whether a caller waits for its answer.
    pub(super) has_caller: bool,
    /// Whether its caller has withdrawn it.
    pub(super) cancelled: bool,
    /// Its position in the order of arrival.
    pub(super) arrival: u64,
    /// Number of retries after failures.
    pub(super) retries: u32,
    /// The workers that it has failed on and must not start on for now.
    pub(super) excluded: Excluded,
    /// The verdict on its last attempt that began; it is answered instead of `NotRun`.
    pub(super) earlier_verdict: Option<Verdict>,
    /// The gang that its place is held for until the gang starts.
    pub(super) held_for: Option<request::Id>,
    /// The worker on which resources are reserved for it by preemption, and the reserved size.
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

/// The phase of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// It waits in the queue.
    Queued,
    /// It waits for the end of a pause before its next attempt.
    Backoff,
    /// It was resumed and may already run on a worker that has not been claimed yet.
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
    /// The kind of work, by which sizes and run times are learnt.
    pub(super) kind: Name,
    /// The class.
    pub(super) class: Class,
    /// The gang, if any.
    pub(super) gang: Option<request::Id>,
    /// Whether the request may safely run more than once.
    pub(super) idempotent: bool,
    /// Its state.
    pub(super) state: State,
    /// The epoch of the rack's ownership when it was booked or its start was last sent.
    pub(super) epoch: u64,
    /// When it became unconfirmed.
    pub(super) unconfirmed_since: Time,
    /// Number of starts that were sent.
    pub(super) sends: u32,
    /// When it was booked or its start was last sent.
    pub(super) since: Time,
    /// The last interrupt that was sent, if any.
    pub(super) interrupt: Option<Interruption>,
    /// The time until which it is not preempted.
    pub(super) protected_until: Time,
    /// The declared size.
    pub(super) declared: Size,
    /// Its last reported usage.
    pub(super) used: Option<Size>,
    /// The highest reported usage of each resource.
    pub(super) peak: Size,
}

impl Booking {
    /// Tells whether it may be preempted for urgent work.
    ///
    /// Workers have no call that passes saved state to another attempt. A request that is not
    /// idempotent would therefore start from the beginning after a checkpoint and is not preempted.
    pub(super) fn is_preemptible(&self) -> bool {
        self.class == Class::Batch && self.idempotent && self.gang.is_none()
    }

    /// Tells whether it uses more than it declared.
    pub(super) fn exceeds_declared(&self) -> bool {
        let used = self.used.unwrap_or(Size::ZERO);
        used.millicores > self.declared.millicores || used.memory_mib > self.declared.memory_mib
    }

    /// Tells whether it was sent an interrupt that ends it.
    pub(super) fn is_ending(&self) -> bool {
        self.interrupt
            .is_some_and(|sent| sent.how != Interrupt::Throttle)
    }
}

/// An interrupt that was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Interruption {
    /// The kind of interrupt.
    pub(super) how: Interrupt,
    /// The reason.
    pub(super) cause: Cause,
    /// When it was sent.
    pub(super) at: Time,
}

/// Why an attempt was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// Its caller has cancelled it or no longer waits.
    Abandoned,
    /// Urgent work needs its resources.
    Preempted,
    /// Its worker is close to its capacity.
    Overloaded,
    /// Another member of its gang could not start.
    Gang,
    /// Its worker is leaving.
    Draining,
}

impl Cause {
    /// Tells whether the request runs again after the interrupt.
    pub(super) fn runs_again(self) -> bool {
        match self {
            Cause::Preempted | Cause::Overloaded | Cause::Draining => true,
            Cause::Abandoned | Cause::Gang => false,
        }
    }
}

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Its resources are held for a gang.
    Held,
    /// A start was sent.
    Sent,
    /// It has begun.
    Running,
    /// Whether it began or still runs is unknown.
    #[serde(rename = "doubt")]
    Unconfirmed,
}
