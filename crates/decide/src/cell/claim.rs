//! Claims on workers, which come before anything is placed on them.

use std::time::Duration;

use crate::action::Action;
use crate::attempt::{Attempt, Running};
use crate::health::Circuit;
use crate::name::Name;
use crate::request::{Id, Request};
use crate::size::Size;
use crate::time::Time;
use crate::verdict::Reason;
use crate::worker::{Inventory, Spec};
use crate::workers::Claim;

use super::Cell;
use super::job::{Booking, Job, Phase, State};
use super::timer::Timer;

/// Base of the pause before an unanswered claim is repeated.
const CLAIM_PAUSE: Duration = Duration::from_millis(250);

/// Time without an answer after which a claim is repeated.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum number of doublings of the pause between claims.
const MAX_CLAIM_DOUBLINGS: u32 = 5;

impl Cell {
    pub(super) fn join(&mut self, spec: Spec) {
        let rack = self.ledger.index(&spec.rack);
        let (worker, is_new) = self.workers.join(spec, rack);
        if is_new && self.ledger.rack(rack).owned {
            self.claim(worker);
        }
        self.refresh(worker);
        self.update_capacity();
    }

    pub(super) fn leave(&mut self, worker: &Name) {
        let Some(worker) = self.workers.find(worker) else {
            return;
        };
        let known = self.workers.get_mut(worker);
        if std::mem::replace(&mut known.leaving, true) {
            return;
        }
        self.refresh(worker);
        self.update_capacity();
        self.release_held(worker);
        self.drain(worker);
    }

    pub(super) fn gone(&mut self, worker: &Name) {
        let Some(worker) = self.workers.find(worker) else {
            return;
        };
        let known = self.workers.get_mut(worker);
        known.gone = true;
        known.claim = Claim::Unclaimed;
        self.refresh(worker);
        self.update_capacity();
        self.release_held(worker);
        let attempts = self.workers.get(worker).attempts.clone();
        for attempt in attempts {
            self.settle_gone(attempt);
        }
        self.settle_resuming();
    }

    /// Sends a claim to a worker of an owned rack.
    pub(super) fn claim(&mut self, worker: usize) {
        let known = self.workers.get(worker);
        let rack = self.ledger.rack(known.rack);
        if !rack.owned || known.gone {
            return;
        }
        self.actions.push(Action::Claim {
            worker: known.spec.name.clone(),
            epoch: rack.epoch,
        });
        self.workers.get_mut(worker).claim = Claim::Pending(self.now);
        self.refresh(worker);
        self.set_timer(self.now.after(CLAIM_TIMEOUT), Timer::Claim(worker));
    }

    pub(super) fn unreachable(&mut self, worker: &Name) {
        let Some(worker) = self.workers.find(worker) else {
            return;
        };
        let known = self.workers.get_mut(worker);
        known.claim = Claim::Unclaimed;
        let doublings = known.unanswered_claims.min(MAX_CLAIM_DOUBLINGS);
        known.unanswered_claims += 1;
        self.refresh(worker);
        let pause = self.jitter(CLAIM_PAUSE * (1 << doublings)) + CLAIM_PAUSE;
        self.set_timer(self.now.after(pause), Timer::Claim(worker));
    }

    pub(super) fn claim_again(&mut self, worker: usize) {
        let due = match self.workers.get(worker).claim {
            Claim::Unclaimed => true,
            Claim::Pending(since) => self.now.since(since) >= CLAIM_TIMEOUT,
            Claim::Claimed => false,
        };
        if due {
            self.claim(worker);
        }
    }

    pub(super) fn claimed(&mut self, inventory: &Inventory) {
        let Some(worker) = self.workers.find(&inventory.worker) else {
            return;
        };
        let known = self.workers.get(worker);
        let rack = self.ledger.rack(known.rack);
        if !rack.owned || known.gone || inventory.epoch != rack.epoch {
            return;
        }
        let known = self.workers.get_mut(worker);
        known.claim = Claim::Claimed;
        known.inventory_epoch = inventory.epoch;
        known.unanswered_claims = 0;
        for running in &inventory.running {
            self.found_running(worker, running);
        }
        for attempt in &inventory.ended {
            self.found_ended(worker, *attempt);
        }
        self.settle_missing_attempts(worker, inventory);
        self.refresh(worker);
        self.settle_resuming();
    }

    fn found_running(&mut self, worker: usize, running: &Running) {
        let attempt = running.attempt;
        if self.bookings.contains_key(&attempt) {
            self.confirm_running(attempt, worker);
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
            unconfirmed_since: Time::MAX,
            sends: 1,
            since: self.now,
            interrupt: None,
            protected_until: Time::default(),
            declared: running.size,
            used: None,
            peak: Size::ZERO,
        };
        self.book(attempt, booking);
        self.link_job(attempt, running, team);
        self.attach(attempt);
    }

    /// Links an adopted attempt to its request, which may be waiting on this server.
    fn link_job(&mut self, attempt: Attempt, running: &Running, team: usize) {
        let id = attempt.request;
        self.queue.remove(id);
        self.resuming.remove(&id);
        let arrival = self.next_arrival();
        self.release_reservation(id);
        let orphan = || Job {
            has_caller: false,
            ..Job::new(orphan(running), team, Phase::Backoff, arrival)
        };
        let job = self.jobs.entry(id).or_insert_with(|| Box::new(orphan()));
        if !matches!(job.phase, Phase::Placed(_)) {
            job.phase = Phase::Placed(attempt);
            job.last_number = job.last_number.max(attempt.number);
        }
    }

    /// Handles an attempt that has ended according to a worker's inventory.
    fn found_ended(&mut self, worker: usize, attempt: Attempt) {
        let id = attempt.request;
        let name = self.workers.get(worker).spec.name.clone();
        if let Some(booking) = self.bookings.get(&attempt) {
            if booking.worker == worker && booking.state == State::Unconfirmed {
                self.confirm_running(attempt, worker);
            }
            return;
        }
        self.history.ended(attempt, name, self.now);
        if self.resuming.remove(&id).is_some() {
            self.attach_ended(id, attempt, worker);
        }
    }

    /// Handles the booked attempts that are missing from a worker's inventory.
    fn settle_missing_attempts(&mut self, worker: usize, inventory: &Inventory) {
        let booked = self.workers.get(worker).attempts.clone();
        for attempt in booked {
            let shown = inventory.running.iter().any(|run| run.attempt == attempt)
                || inventory.ended.contains(&attempt);
            if !shown {
                self.settle_missing(attempt, inventory);
            }
        }
    }

    /// Answers resumed requests that run nowhere, once every worker that they may run on is known.
    pub(super) fn settle_resuming(&mut self) {
        if self.resuming.is_empty() {
            return;
        }
        let everywhere = self.all_workers_known();
        let settled = |&(_, rack): &(&Id, &Option<usize>)| match rack {
            Some(rack) => self.rack_workers_known(*rack),
            None => everywhere,
        };
        let ids: Vec<Id> = self
            .resuming
            .iter()
            .filter(settled)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.rule_out(id);
        }
    }

    /// Answers that a request never began on its target, and records that it never may.
    fn rule_out(&mut self, id: Id) {
        let target = self.jobs[&id].request.target.clone();
        self.history.ruled_out(id, target, self.now);
        self.deny(id, Reason::Refused);
    }

    /// Tells whether every worker of the owned racks has been claimed or is confirmed to be gone.
    fn all_workers_known(&self) -> bool {
        let mut owned = self.ledger.owned().peekable();
        owned.peek().is_some() && owned.all(|rack| self.rack_workers_known(rack))
    }

    fn rack_workers_known(&self, rack: usize) -> bool {
        let workers = self.workers.rack(rack);
        let known = |&worker: &usize| {
            let worker = self.workers.get(worker);
            worker.gone || worker.claim == Claim::Claimed
        };
        !workers.is_empty() && workers.iter().all(known)
    }

    /// Recomputes whether attempts may be started on a worker, and marks it to be filled.
    pub(super) fn refresh(&mut self, worker: usize) {
        let known = self.workers.get_mut(worker);
        known.circuit_open = match self.health.circuit(worker) {
            Circuit::Closed => false,
            Circuit::Open => true,
            Circuit::Trial => !known.attempts.is_empty(),
        };
        let rack = known.rack;
        let owned = self.ledger.rack(rack).owned;
        self.workers.refresh(worker, owned);
        let unknown = self
            .workers
            .capacity_without_inventory(rack, self.ledger.rack(rack).epoch);
        if self.ledger.set_unseen(rack, unknown) {
            self.dirty_workers.extend(self.workers.rack(rack));
        }
        self.dirty_workers.insert(worker);
    }

    /// Returns the epoch under which a worker is owned.
    pub(super) fn epoch_of(&self, worker: usize) -> u64 {
        self.ledger.rack(self.workers.get(worker).rack).epoch
    }
}

/// Returns a request for an attempt whose caller is unknown.
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
