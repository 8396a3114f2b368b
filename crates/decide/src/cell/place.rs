//! Placement of waiting requests on workers, and booking of resources.

use std::time::Duration;

use strum::IntoEnumIterator;

use rand::Rng;

use crate::action::Action;
use crate::attempt::{Attempt, Outcome};
use crate::class::Class;
use crate::health::Circuit;
use crate::placement::{self, Find};
use crate::policy::Policy;
use crate::queue::{Availability, Item};
use crate::request;
use crate::size::Size;
use crate::time::Time;
use crate::verdict::Verdict;
use crate::workers::Worker;

use super::Cell;
use super::intake::with_slot;
use super::job::{Booking, Interruption, Phase, State};

/// Time that a restarted request runs before it may be preempted again.
const PREEMPTION_GUARD: Duration = Duration::from_secs(60);

impl Cell {
    /// Starts a waiting request on the best worker with enough free resources, if any.
    pub(super) fn try_place(&mut self, id: request::Id) {
        if self.is_catching_up() {
            return;
        }
        let Some(item) = self.queue.get(id).copied() else {
            return;
        };
        if let Some(worker) = self.choose_worker(&item) {
            self.start(id, worker);
        }
    }

    fn choose_worker(&mut self, item: &Item) -> Option<usize> {
        let size = &item.size;
        if !self.ledger.has_available(item.team, size) {
            self.record_shortage(item.team);
            return None;
        }
        let ledger = &self.ledger;
        let allowed = |worker: &Worker| {
            if item.rack.is_some_and(|rack| rack != worker.rack) {
                return false;
            }
            if item.excluded.contains(worker.index) {
                return false;
            }
            let allotment = ledger.available(worker.rack, item.team);
            size.fits(&allotment)
        };
        let result = match (self.setup.policy, item.class) {
            (Policy::FirstFit, _) => self.workers.first_fit(size, allowed),
            (Policy::RandomTwo, _) => return self.choose_random(item),
            (Policy::Fair, Class::Service) => {
                let kind = &self.jobs[&item.id].request.kind;
                self.spread.fewest_tasks(&self.workers, kind, size, allowed)
            }
            (Policy::Fair, _) => match item.rack {
                Some(rack) => placement::best_fit_in_rack(&self.workers, rack, size, allowed),
                None => placement::best_fit(&self.workers, size, allowed),
            },
        };
        match result {
            Find::Worker(worker) => Some(worker),
            Find::NoCapacity => None,
            Find::NotAllowed => {
                self.record_shortage(item.team);
                None
            }
        }
    }

    fn choose_random(&mut self, item: &Item) -> Option<usize> {
        let fits = |worker: &Worker| {
            worker.is_open()
                && item.rack.is_none_or(|rack| rack == worker.rack)
                && item.size.fits(&worker.free())
                && item
                    .size
                    .fits(&self.ledger.available(worker.rack, item.team))
        };
        let open: Vec<usize> = self
            .workers
            .iter()
            .filter(|(_, worker)| fits(worker))
            .map(|(index, _)| index)
            .collect();
        if open.is_empty() {
            self.record_shortage(item.team);
            return None;
        }
        let one = open[self.rng.random_range(0..open.len())];
        let two = open[self.rng.random_range(0..open.len())];
        let load = |worker: usize| self.workers.get(worker).booked.millicores;
        Some(if load(two) < load(one) { two } else { one })
    }

    /// Records that a team's allotments were too small, so that its requests are tried again when
    /// some are freed or grow.
    fn record_shortage(&mut self, team: usize) {
        self.allotment_short = true;
        self.ledger.mark_short_everywhere(team);
    }

    /// Fills the workers whose free resources or allotments have grown.
    pub(super) fn fill_dirty(&mut self) {
        if self.is_catching_up() {
            return;
        }
        while let Some(worker) = self.dirty_workers.pop_first() {
            self.fill(worker);
        }
        while let Some((rack, team)) = self.freed_allotments.pop_first() {
            self.fill_team(rack, team);
        }
    }

    /// Starts requests of one team on a rack where a part of the team's allotment was freed.
    fn fill_team(&mut self, rack: usize, team: usize) {
        for worker in self.workers.rack(rack).to_vec() {
            while self.workers.get(worker).has_slot() {
                let free = self.workers.get(worker).free();
                let startable = Size::min(&free, &self.ledger.available(rack, team));
                let available = Availability {
                    rack,
                    worker,
                    size: startable,
                };
                let first = |class| self.queue.first_fitting(class, team, &available);
                let Some((_, id)) = Class::iter().find_map(first) else {
                    break;
                };
                self.start(id, worker);
            }
        }
    }

    /// Tells whether events that were missed during a pause are still being handled.
    pub(super) fn is_catching_up(&self) -> bool {
        self.catching_up_until.is_some()
    }

    /// Resumes placement after a pause.
    pub(super) fn catch_up(&mut self) {
        if self
            .catching_up_until
            .is_some_and(|until| until <= self.now)
        {
            self.catching_up_until = None;
            self.dirty_workers
                .extend(self.workers.iter().map(|(worker, _)| worker));
        }
    }

    fn fill(&mut self, worker: usize) {
        while !self.queue.is_empty() && self.workers.get(worker).has_slot() {
            let Some(id) = self.next_for(worker) else {
                return;
            };
            self.start(id, worker);
        }
    }

    fn next_for(&mut self, worker: usize) -> Option<request::Id> {
        match self.setup.policy {
            Policy::Fair => self.next_fair(worker),
            Policy::FirstFit | Policy::RandomTwo => self.next_arrived(worker),
        }
    }

    fn next_fair(&mut self, worker: usize) -> Option<request::Id> {
        let known = self.workers.get(worker);
        let (rack, free) = (known.rack, known.free());
        for class in Class::iter() {
            for team in self.teams.order() {
                let available = Availability {
                    rack,
                    worker,
                    size: free,
                };
                let Some((_, id)) = self.queue.first_fitting(class, team, &available) else {
                    continue;
                };
                let allotment = self.ledger.available(rack, team);
                if free.fits(&allotment) {
                    return Some(id);
                }
                let startable = Size::min(&free, &allotment);
                let available = Availability {
                    size: startable,
                    ..available
                };
                if let Some((_, id)) = self.queue.first_fitting(class, team, &available) {
                    return Some(id);
                }
                self.ledger.mark_short(rack, team);
                self.allotment_short = true;
            }
        }
        None
    }

    fn next_arrived(&mut self, worker: usize) -> Option<request::Id> {
        let known = self.workers.get(worker);
        let (rack, free) = (known.rack, known.free());
        let mut best = None;
        for class in Class::iter() {
            for team in 0..self.teams.len() {
                let startable = Size::min(&free, &self.ledger.available(rack, team));
                let available = Availability {
                    rack,
                    worker,
                    size: startable,
                };
                if let Some(head) = self.queue.first_fitting(class, team, &available) {
                    best = best.map_or(Some(head), |best| Some(head.min(best)));
                }
                self.ledger.mark_short(rack, team);
            }
        }
        best.map(|(_, id)| id)
    }

    /// Takes a waiting request from the queue and starts its next attempt.
    ///
    /// Only books the resources if the place is to be held for a gang.
    pub(super) fn start(&mut self, id: request::Id, worker: usize) {
        let Some(item) = self.queue.remove(id) else {
            return;
        };
        let epoch = self.epoch_of(worker);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.last_number += 1;
        let attempt = Attempt {
            request: id,
            number: job.last_number,
        };
        job.phase = Phase::Placed(attempt);
        let held_for = job.held_for;
        let restarted = matches!(
            job.earlier_verdict,
            Some(Verdict::Ran {
                outcome: Outcome::Stopped | Outcome::Checkpointed,
                ..
            })
        );
        let protected_until = if restarted {
            self.now.after(PREEMPTION_GUARD)
        } else {
            Time::default()
        };
        let booking = Booking {
            worker,
            team: item.team,
            size: item.size,
            kind: job.request.kind.clone(),
            class: item.class,
            gang: job.request.gang,
            idempotent: job.request.idempotent,
            state: State::Held,
            epoch,
            unconfirmed_since: Time::MAX,
            sends: 0,
            since: self.now,
            interrupt: None,
            protected_until,
            declared: with_slot(&job.request.size),
            used: None,
            peak: Size::ZERO,
        };
        self.release_reservation(id);
        self.book(attempt, booking);
        match held_for {
            Some(gang) => {
                self.changed_gangs.insert(gang);
            }
            None => self.send(attempt),
        }
    }

    /// Sends the start of a booked attempt.
    pub(super) fn send(&mut self, attempt: Attempt) {
        self.set_interrupt(attempt, None);
        let Some(booking) = self.bookings.get_mut(&attempt) else {
            return;
        };
        booking.epoch = self
            .ledger
            .rack(self.workers.get(booking.worker).rack)
            .epoch;
        booking.sends += 1;
        booking.state = State::Sent;
        booking.since = self.now;
        let worker = self.workers.get(booking.worker);
        self.actions.push(Action::Start {
            attempt,
            worker: worker.spec.name.clone(),
            epoch: self.ledger.rack(worker.rack).epoch,
            size: booking.size,
        });
    }

    /// Books an attempt's size on its worker and in its team's allotment.
    pub(super) fn book(&mut self, attempt: Attempt, booking: Booking) {
        let rack = self.workers.get(booking.worker).rack;
        self.workers.book(booking.worker, attempt, &booking.size);
        self.ledger.book(rack, booking.team, &booking.size);
        self.teams.add_running(booking.team, &booking.size);
        if booking.class == Class::Service {
            let worker = booking.worker;
            self.spread
                .add(&booking.kind, worker, self.workers.get(worker));
        }
        self.count_preemptible(&booking, Size::plus);
        let worker = booking.worker;
        self.bookings.insert(attempt, booking);
        self.refresh_trial(worker);
    }

    /// Counts a booking in or out of its worker's sums of ending and preemptible sizes.
    fn count_preemptible(&mut self, booking: &Booking, count: impl Fn(&Size, &Size) -> Size) {
        let worker = self.workers.get_mut(booking.worker);
        if booking.is_ending() {
            worker.ending = count(&worker.ending, &booking.size);
        } else if booking.is_preemptible() {
            worker.preemptible = count(&worker.preemptible, &booking.size);
        }
    }

    /// Records the last interrupt that was sent to a booked attempt.
    pub(super) fn set_interrupt(&mut self, attempt: Attempt, sent: Option<Interruption>) {
        let Some(mut booking) = self.bookings.remove(&attempt) else {
            return;
        };
        self.count_preemptible(&booking, Size::minus);
        booking.interrupt = sent;
        self.count_preemptible(&booking, Size::plus);
        self.bookings.insert(attempt, booking);
    }

    /// Reopens or closes a worker on trial, which takes one attempt at a time.
    fn refresh_trial(&mut self, worker: usize) {
        if self.health.circuit(worker) == Circuit::Trial {
            self.refresh(worker);
        }
    }

    /// Releases an attempt's size on its worker and in its team's allotment.
    pub(super) fn unbook(&mut self, attempt: Attempt) -> Option<Booking> {
        let booking = self.bookings.remove(&attempt)?;
        self.count_preemptible(&booking, Size::minus);
        let rack = self.workers.get(booking.worker).rack;
        self.workers.release(booking.worker, attempt, &booking.size);
        if self
            .ledger
            .release(rack, booking.team, &booking.size, self.now)
        {
            if self.setup.policy == Policy::Fair {
                self.freed_allotments.insert((rack, booking.team));
            } else {
                self.dirty_workers.extend(self.workers.rack(rack));
            }
        }
        self.teams.remove_running(booking.team, &booking.size);
        if booking.class == Class::Service {
            let worker = booking.worker;
            self.spread
                .remove(&booking.kind, worker, self.workers.get(worker));
        }
        self.dirty_workers.insert(booking.worker);
        self.refresh_trial(booking.worker);
        Some(booking)
    }
}
