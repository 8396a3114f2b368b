//! Workers are claimed before anything is placed on them.

use std::time::Duration;

use crate::action::Action;
use crate::attempt::{Attempt, Running};
use crate::health::Circuit;
use crate::name::Name;
use crate::request::{Id, Request};
use crate::room::Hold;
use crate::size::Size;
use crate::time::Time;
use crate::verdict::Reason;
use crate::worker::{Inventory, Spec};

use super::Cell;
use super::job::{Booking, Job, Phase, State};
use super::timer::Timer;

/// How long after an unanswered claim the first repetition follows.
const CLAIM_PAUSE: Duration = Duration::from_millis(250);

/// How long a claim may go unanswered before it is repeated.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(10);

/// How often the pause between claims doubles at most.
const CLAIM_DOUBLINGS: u32 = 5;

impl Cell {
    pub(super) fn join(&mut self, spec: Spec) {
        let rack = self.ledger.index(&spec.rack);
        let (worker, fresh) = self.room.join(spec, rack);
        if fresh && self.ledger.rack(rack).owned {
            self.claim(worker);
        }
        self.refresh(worker);
        self.resize();
    }

    pub(super) fn leave(&mut self, worker: &Name) {
        let Some(worker) = self.room.find(worker) else {
            return;
        };
        let known = self.room.get_mut(worker);
        if std::mem::replace(&mut known.leaving, true) {
            return;
        }
        self.refresh(worker);
        self.resize();
        self.unhold(worker);
        self.drain(worker);
    }

    pub(super) fn gone(&mut self, worker: &Name) {
        let Some(worker) = self.room.find(worker) else {
            return;
        };
        let known = self.room.get_mut(worker);
        known.gone = true;
        known.hold = Hold::Free;
        self.refresh(worker);
        self.resize();
        self.unhold(worker);
        let attempts = self.room.get(worker).attempts.clone();
        for attempt in attempts {
            self.perished(attempt);
        }
        self.settle_sought();
    }

    /// Claims a worker of an owned rack, unless a claim is under way.
    pub(super) fn claim(&mut self, worker: usize) {
        let known = self.room.get(worker);
        let rack = self.ledger.rack(known.rack);
        if !rack.owned || known.gone {
            return;
        }
        self.out.push(Action::Claim {
            worker: known.spec.name.clone(),
            epoch: rack.epoch,
        });
        self.room.get_mut(worker).hold = Hold::Claiming(self.now);
        self.refresh(worker);
        self.at(self.now.after(CLAIM_TIMEOUT), Timer::Claim(worker));
    }

    pub(super) fn unreachable(&mut self, worker: &Name) {
        let Some(worker) = self.room.find(worker) else {
            return;
        };
        let known = self.room.get_mut(worker);
        known.hold = Hold::Free;
        let doublings = known.silent.min(CLAIM_DOUBLINGS);
        known.silent += 1;
        self.refresh(worker);
        let pause = self.jitter(CLAIM_PAUSE * (1 << doublings)) + CLAIM_PAUSE;
        self.at(self.now.after(pause), Timer::Claim(worker));
    }

    pub(super) fn claim_again(&mut self, worker: usize) {
        let due = match self.room.get(worker).hold {
            Hold::Free => true,
            Hold::Claiming(since) => self.now.since(since) >= CLAIM_TIMEOUT,
            Hold::Claimed => false,
        };
        if due {
            self.claim(worker);
        }
    }

    pub(super) fn claimed(&mut self, inventory: &Inventory) {
        let Some(worker) = self.room.find(&inventory.worker) else {
            return;
        };
        let known = self.room.get(worker);
        let rack = self.ledger.rack(known.rack);
        if !rack.owned || known.gone || inventory.epoch != rack.epoch {
            return;
        }
        let known = self.room.get_mut(worker);
        known.hold = Hold::Claimed;
        known.seen = inventory.epoch;
        known.silent = 0;
        for running in &inventory.running {
            self.found_running(worker, running);
        }
        for attempt in &inventory.ended {
            self.found_ended(worker, *attempt);
        }
        self.settle_absent(worker, inventory);
        self.refresh(worker);
        self.settle_sought();
    }

    fn found_running(&mut self, worker: usize, running: &Running) {
        let attempt = running.attempt;
        if self.bookings.contains_key(&attempt) {
            self.begun(attempt, worker);
            return;
        }
        self.adopt(worker, running);
    }

    /// Books an attempt that an earlier owner started.
    fn adopt(&mut self, worker: usize, running: &Running) {
        let attempt = running.attempt;
        let team = self.teams.index(&running.team);
        let booking = Booking {
            worker,
            team,
            size: running.size,
            kind: running.kind.clone(),
            class: running.class,
            gang: running.gang,
            idempotent: running.idempotent,
            state: State::Running,
            epoch: self.epoch_of(worker),
            doubted: Time::MAX,
            sends: 1,
            since: self.now,
            interrupt: None,
            guard: Time::default(),
            declared: running.size,
            used: None,
            peak: Size::ZERO,
        };
        self.book(attempt, booking);
        self.tie(attempt, running, team);
        self.attach(attempt);
    }

    /// Ties an adopted attempt to its request, which may be waiting here.
    fn tie(&mut self, attempt: Attempt, running: &Running, team: usize) {
        let id = attempt.request;
        self.queue.remove(id);
        self.sought.remove(&id);
        let arrival = self.next_arrival();
        self.unpress(id);
        let orphan = || Job {
            caller: false,
            ..Job::new(orphan(running), team, Phase::Backoff, arrival)
        };
        let job = self.jobs.entry(id).or_insert_with(|| Box::new(orphan()));
        if !matches!(job.phase, Phase::Placed(_)) {
            job.phase = Phase::Placed(attempt);
            job.number = job.number.max(attempt.number);
        }
    }

    /// Takes an attempt that has ended, by a worker's inventory.
    fn found_ended(&mut self, worker: usize, attempt: Attempt) {
        let id = attempt.request;
        let name = self.room.get(worker).spec.name.clone();
        if let Some(booking) = self.bookings.get(&attempt) {
            if booking.worker == worker && booking.state == State::Doubt {
                self.begun(attempt, worker);
            }
            return;
        }
        self.memory.ended(attempt, name, self.now);
        if self.sought.remove(&id).is_some() {
            self.attach_ended(id, attempt, worker);
        }
    }

    /// Settles what a worker's inventory does not show.
    fn settle_absent(&mut self, worker: usize, inventory: &Inventory) {
        let booked = self.room.get(worker).attempts.clone();
        for attempt in booked {
            let shown = inventory.running.iter().any(|run| run.attempt == attempt)
                || inventory.ended.contains(&attempt);
            if !shown {
                self.absent(attempt, inventory);
            }
        }
    }

    /// Answers sought requests once every worker that they may run on is known.
    pub(super) fn settle_sought(&mut self) {
        if self.sought.is_empty() {
            return;
        }
        let everywhere = self.all_known();
        let settled = |&(_, rack): &(&Id, &Option<usize>)| match rack {
            Some(rack) => self.rack_known(*rack),
            None => everywhere,
        };
        let ids: Vec<Id> = self
            .sought
            .iter()
            .filter(settled)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.rule_out(id);
        }
    }

    /// Answers that a request never began here, and makes sure that it never will.
    fn rule_out(&mut self, id: Id) {
        let target = self.jobs[&id].request.target.clone();
        self.memory.never(id, target, self.now);
        self.deny(id, Reason::Refused);
    }

    /// Tells whether every worker of the owned racks has been claimed or is surely gone.
    fn all_known(&self) -> bool {
        let mut owned = self.ledger.owned().peekable();
        owned.peek().is_some() && owned.all(|rack| self.rack_known(rack))
    }

    fn rack_known(&self, rack: usize) -> bool {
        let workers = self.room.rack(rack);
        let known = |&worker: &usize| {
            let worker = self.room.get(worker);
            worker.gone || worker.hold == Hold::Claimed
        };
        !workers.is_empty() && workers.iter().all(known)
    }

    /// Works out anew whether a worker may be used, and marks it to be filled.
    pub(super) fn refresh(&mut self, worker: usize) {
        let known = self.room.get_mut(worker);
        known.broken = match self.health.circuit(worker) {
            Circuit::Closed => false,
            Circuit::Open => true,
            Circuit::Trial => !known.attempts.is_empty(),
        };
        let rack = known.rack;
        let owned = self.ledger.rack(rack).owned;
        self.room.refresh(worker, owned);
        let unseen = self.room.unseen(rack, self.ledger.rack(rack).epoch);
        if self.ledger.set_unseen(rack, unseen) {
            self.dirty.extend(self.room.rack(rack));
        }
        self.dirty.insert(worker);
    }

    /// Returns the epoch under which a worker is owned.
    pub(super) fn epoch_of(&self, worker: usize) -> u64 {
        self.ledger.rack(self.room.get(worker).rack).epoch
    }
}

/// The request of an attempt whose caller is unknown.
fn orphan(running: &Running) -> Request {
    Request {
        id: running.attempt.request,
        team: running.team.clone(),
        kind: running.kind.clone(),
        class: running.class,
        size: running.size,
        estimate: Duration::ZERO,
        deadline: Time::MAX,
        idempotent: running.idempotent,
        gang: running.gang,
        target: None,
    }
}
