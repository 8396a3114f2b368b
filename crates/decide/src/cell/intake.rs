//! Admission, resumption, cancellation and expiry of requests.

use std::time::Duration;

use crate::attempt::Attempt;
use crate::policy::Policy;
use crate::queue::{Item, Key};
use crate::request::{self, Request};
use crate::size::Size;
use crate::time::Time;
use crate::verdict::Reason;
use crate::work::Work;
use crate::worker::Interrupt;

use super::Cell;
use super::history::PastResult;
use super::job::{Cause, Job, Phase, State};
use super::timer::Timer;

impl Cell {
    pub(super) fn submit(&mut self, request: Request) {
        if self.handle_known(&request) {
            return;
        }
        let id = request.id;
        let owned = self.owns_target(&request);
        self.admit(request, Phase::Queued);
        if owned {
            self.enqueue(id);
        } else {
            self.deny(id, Reason::NoOwner);
        }
    }

    /// Tells whether this server holds the rack ownership that a request was routed to.
    fn owns_target(&self, request: &Request) -> bool {
        let Some(target) = &request.target else {
            return self.ledger.owned().next().is_some();
        };
        let rack = self.ledger.find(&target.rack);
        let rack = rack.map(|rack| self.ledger.rack(rack));
        rack.is_some_and(|rack| rack.owned && rack.epoch == target.epoch)
    }

    pub(super) fn resume(&mut self, request: Request) {
        if self.handle_known(&request) {
            return;
        }
        let id = request.id;
        let owned = self.owns_target(&request) || request.target.is_none();
        let rack = self.rack_of(&request);
        self.admit(request, Phase::Resuming);
        if owned {
            self.resuming.insert(id, rack);
            self.settle_resuming();
        } else {
            self.deny(id, Reason::NoOwner);
        }
    }

    fn rack_of(&self, request: &Request) -> Option<usize> {
        let target = request.target.as_ref()?;
        self.ledger.find(&target.rack)
    }

    /// Handles a repeated request by what is known of it, and tells whether nothing is left to do.
    fn handle_known(&mut self, request: &Request) -> bool {
        let id = request.id;
        if let Some(job) = self.jobs.get_mut(&id) {
            let waited = std::mem::replace(&mut job.has_caller, true);
            job.request.deadline = request.deadline;
            job.cancelled = false;
            let phase = job.phase;
            self.set_expiry(id, request.deadline);
            if let (Phase::Placed(attempt), false) = (phase, waited) {
                self.attach(attempt);
            }
            return true;
        }
        match self.history.get(id).cloned() {
            None => false,
            Some(PastResult::RuledOut(targets)) => {
                let ruled_out = targets.contains(&request.target);
                if ruled_out {
                    self.admit(request.clone(), Phase::Resuming);
                    self.deny(id, Reason::Refused);
                }
                ruled_out
            }
            Some(PastResult::Unknown(attempt)) => {
                self.admit(request.clone(), Phase::Resuming);
                self.answer_unknown(id, attempt);
                self.drop_job(id);
                true
            }
            Some(PastResult::Ended { attempt, worker }) => {
                self.admit(request.clone(), Phase::Resuming);
                match self.workers.find(&worker) {
                    Some(worker) => self.attach_ended(id, attempt, worker),
                    None => self.answer_unknown(id, attempt),
                }
                true
            }
        }
    }

    pub(super) fn admit(&mut self, request: Request, phase: Phase) {
        let id = request.id;
        let deadline = request.deadline;
        let team = self.teams.index(&request.team);
        let arrival = self.next_arrival();
        self.budget.earn(self.now, &request.team);
        let job = Job::new(request, team, phase, arrival);
        self.jobs.insert(id, Box::new(job));
        self.set_expiry(id, deadline);
    }

    pub(super) fn next_arrival(&mut self) -> u64 {
        self.arrivals += 1;
        self.arrivals
    }

    /// Puts a request into the queue and starts it if a worker has enough free resources.
    pub(super) fn enqueue(&mut self, id: request::Id) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if !self.fleet_could_hold(&job.request.size) {
            self.deny(id, Reason::TooLarge);
            return;
        }
        let limit = self.teams.get(job.team).limit;
        if limit.is_some_and(|limit| !with_slot(&job.request.size).fits(&limit)) {
            self.deny(id, Reason::Limit);
            return;
        }
        // Resources that were just freed go first to the requests that wait already.
        self.fill_dirty();
        let item = self.queue_item(id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.phase = Phase::Queued;
        }
        if self.queue.push(item) {
            self.try_place(id);
        }
        self.refuse_overload(id);
        self.preempt_for(id);
    }

    /// Refuses a waiting request that can't start before its deadline because of the work ahead.
    fn refuse_overload(&mut self, id: request::Id) {
        let Some(item) = self.queue.get(id).copied() else {
            return;
        };
        let deadline = self.jobs[&id].request.deadline;
        let holds = self.jobs[&id].held_for.is_some();
        if deadline == Time::MAX || holds || self.setup.policy != Policy::Fair {
            return;
        }
        let time_left = deadline.since(self.now);
        let wait = self
            .queue
            .work_ahead(&item)
            .min_duration(&self.max_usable(&item));
        if wait > time_left || !self.could_hold(&item.size, item.rack) {
            self.deny_with_retry_after(id, Reason::Overload, Some(wait));
        }
    }

    /// Returns the most that the item's team could use at once on the racks where the item may
    /// run.
    fn max_usable(&self, item: &Item) -> Size {
        let own = match item.rack {
            Some(rack) => self.workers.capacity(rack),
            None => self.teams.own_capacity(),
        };
        let limit = self.teams.get(item.team).limit;
        limit.map_or(own, |limit| Size::min(&limit, &own))
    }

    pub(super) fn queue_item(&self, id: request::Id) -> Item {
        let job = &self.jobs[&id];
        let deadline = match self.setup.policy {
            Policy::Fair => job.request.deadline,
            Policy::FirstFit | Policy::RandomTwo => Time::default(),
        };
        let rack = self.rack_of(&job.request);
        let declared = with_slot(&job.request.size);
        let learnt = self.learner.size(&job.request.kind, &declared);
        let size = self.bound_size(&declared, &learnt, self.teams.get(job.team).limit);
        let run_time = if self.could_hold(&size, rack) {
            let kind = &job.request.kind;
            self.learner.run_time(kind, job.request.estimate)
        } else {
            Duration::ZERO
        };
        Item {
            id,
            class: job.request.class,
            team: job.team,
            rack,
            excluded: job.excluded,
            size,
            work: Work::of(&size, run_time),
            key: Key {
                deadline,
                arrival: job.arrival,
            },
        }
    }

    /// Bounds a learnt size by the largest workers and the team's limit, but not below the declared
    /// size.
    fn bound_size(&self, declared: &Size, learnt: &Size, limit: Option<Size>) -> Size {
        let capacities = self.ceilings.own.iter();
        let max_size = capacities.fold(Size::ZERO, |max, size| Size::max(&max, size));
        let max_size = limit.map_or(max_size, |limit| Size::min(&max_size, &limit));
        let size = Size::max(declared, &Size::min(learnt, &max_size));
        if self.could_hold(&size, None) {
            size
        } else {
            *declared
        }
    }

    pub(super) fn cancel(&mut self, id: request::Id) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.cancelled = true;
        match job.phase {
            Phase::Queued | Phase::Backoff => self.deny(id, Reason::Cancelled),
            Phase::Resuming => {}
            Phase::Placed(attempt) => self.abandon(id, attempt),
        }
    }

    /// Stops an attempt whose caller no longer waits, or releases the place held for it.
    fn abandon(&mut self, id: request::Id, attempt: Attempt) {
        let held = self
            .bookings
            .get(&attempt)
            .and_then(|booking| booking.gang.filter(|_| booking.state == State::Held));
        match held {
            Some(gang) => {
                self.unbook(attempt);
                self.changed_gangs.insert(gang);
                self.deny(id, Reason::Cancelled);
            }
            None => self.interrupt(attempt, Interrupt::Stop, Cause::Abandoned),
        }
    }

    /// Handles the deadline of a request, up to which its caller waits.
    pub(super) fn expire(&mut self, id: request::Id) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.request.deadline > self.now {
            return;
        }
        let idempotent = job.request.idempotent;
        match job.phase {
            Phase::Queued | Phase::Backoff => self.deny(id, Reason::Expired),
            Phase::Resuming => {
                let attempt = Attempt {
                    request: id,
                    number: 1,
                };
                self.resuming.remove(&id);
                self.answer_unknown(id, attempt);
                self.drop_job(id);
            }
            Phase::Placed(attempt) => {
                self.answer_unknown(id, attempt);
                if idempotent {
                    self.abandon(id, attempt);
                }
            }
        }
    }

    fn set_expiry(&mut self, id: request::Id, deadline: Time) {
        if deadline != Time::MAX {
            self.set_timer(deadline, Timer::Expire(id));
        }
    }

    /// Tells whether some worker of the owned racks, or of one of them, could hold a size if it
    /// were empty.
    pub(super) fn could_hold(&self, size: &Size, rack: Option<usize>) -> bool {
        let Some(rack) = rack else {
            let mut capacities = self.ceilings.own.iter();
            return capacities.any(|capacity| size.fits(capacity));
        };
        let workers = self.workers.rack(rack).iter();
        let mut workers = workers.map(|&worker| self.workers.get(worker));
        self.ledger.rack(rack).owned
            && workers
                .any(|worker| !worker.gone && !worker.leaving && size.fits(&worker.spec.capacity))
    }

    /// Tells whether some known worker of the fleet could hold a size if it were empty.
    ///
    /// Returns true while no worker is known.
    fn fleet_could_hold(&self, size: &Size) -> bool {
        let size = with_slot(size);
        let known = &self.ceilings.fleet;
        let mut peers = self.teams.peers().values();
        known.is_empty()
            || known.iter().any(|capacity| size.fits(capacity))
            || peers.any(|peer| size.fits(&peer.ceiling))
    }
}

/// Returns a size with at least one slot, since every task takes a slot.
pub(super) fn with_slot(size: &Size) -> Size {
    Size {
        slots: size.slots.max(1),
        ..*size
    }
}
