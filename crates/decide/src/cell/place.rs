//! Waiting requests are placed where there is room.

use std::time::Duration;

use strum::IntoEnumIterator;

use rand::Rng;

use crate::action::Action;
use crate::attempt::{Attempt, Outcome};
use crate::class::Class;
use crate::health::Circuit;
use crate::placement::{self, Find};
use crate::policy::Policy;
use crate::queue::{Item, Spot};
use crate::request;
use crate::room::Worker;
use crate::size::Size;
use crate::time::Time;
use crate::verdict::Verdict;

use super::Cell;
use super::intake::booked;
use super::job::{Booking, Phase, State, Told};

/// How long a preempted request runs on before it may be preempted again.
const GUARD: Duration = Duration::from_secs(60);

impl Cell {
    /// Starts a waiting request on the best worker that has room for it.
    pub(super) fn seat(&mut self, id: request::Id) {
        if self.is_stale() {
            return;
        }
        let Some(item) = self.queue.get(id).copied() else {
            return;
        };
        if let Some(worker) = self.choose(&item) {
            self.start(id, worker);
        }
    }

    fn choose(&mut self, item: &Item) -> Option<usize> {
        let size = &item.size;
        if !self.ledger.has_available(item.team, size) {
            self.pass(item.team);
            return None;
        }
        let ledger = &self.ledger;
        let allowed = |worker: &Worker| {
            if item.rack.is_some_and(|rack| rack != worker.rack) {
                return false;
            }
            if item.avoid.contains(worker.index) {
                return false;
            }
            let rest = ledger.available(worker.rack, item.team);
            size.fits(&rest)
        };
        let find = match (self.setup.policy, item.class) {
            (Policy::FirstFit, _) => self.room.first(size, allowed),
            (Policy::RandomTwo, _) => return self.choose_random(item),
            (Policy::Fair, Class::Service) => {
                let kind = &self.jobs[&item.id].request.kind;
                self.spread.fewest_tasks(&self.room, kind, size, allowed)
            }
            (Policy::Fair, _) => match item.rack {
                Some(rack) => placement::best_fit_in_rack(&self.room, rack, size, allowed),
                None => placement::best_fit(&self.room, size, allowed),
            },
        };
        match find {
            Find::Worker(worker) => Some(worker),
            Find::NoRoom => None,
            Find::NotAllowed => {
                self.pass(item.team);
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
            .room
            .iter()
            .filter(|(_, worker)| fits(worker))
            .map(|(index, _)| index)
            .collect();
        if open.is_empty() {
            self.pass(item.team);
            return None;
        }
        let one = open[self.rng.random_range(0..open.len())];
        let two = open[self.rng.random_range(0..open.len())];
        let load = |worker: usize| self.room.get(worker).booked.millicores;
        Some(if load(two) < load(one) { two } else { one })
    }

    /// Notes that work of a team found no place, so that it is tried again as allotments grow.
    fn pass(&mut self, team: usize) {
        self.short = true;
        self.ledger.mark_short_everywhere(team);
    }

    /// Fills the workers whose room or allotment has grown.
    pub(super) fn fill_dirty(&mut self) {
        if self.is_stale() {
            return;
        }
        while let Some(worker) = self.dirty.pop_first() {
            self.fill(worker);
        }
        while let Some((rack, team)) = self.loosened.pop_first() {
            self.fill_team(rack, team);
        }
    }

    /// Starts work of one team on a rack that may run more of it, though no worker has more room.
    fn fill_team(&mut self, rack: usize, team: usize) {
        for worker in self.room.rack(rack).to_vec() {
            while self.room.get(worker).has_slot() {
                let free = self.room.get(worker).free();
                let room = Size::min(&free, &self.ledger.available(rack, team));
                let spot = Spot { rack, worker, room };
                let first = |class| self.queue.first(class, team, &spot);
                let Some((_, id)) = Class::iter().find_map(first) else {
                    break;
                };
                self.start(id, worker);
            }
        }
    }

    /// Tells whether what was missed during a pause is still being taken in.
    pub(super) fn is_stale(&self) -> bool {
        self.stale_until.is_some()
    }

    /// Places work again after a pause.
    pub(super) fn catch_up(&mut self) {
        if self.stale_until.is_some_and(|until| until <= self.now) {
            self.stale_until = None;
            self.dirty
                .extend(self.room.iter().map(|(worker, _)| worker));
        }
    }

    fn fill(&mut self, worker: usize) {
        while !self.queue.is_empty() && self.room.get(worker).has_slot() {
            let Some(id) = self.next_for(worker) else {
                return;
            };
            self.start(id, worker);
        }
    }

    fn next_for(&mut self, worker: usize) -> Option<request::Id> {
        match self.setup.policy {
            Policy::Fair => self.next_fair(worker),
            Policy::FirstFit | Policy::RandomTwo => self.next_come(worker),
        }
    }

    fn next_fair(&mut self, worker: usize) -> Option<request::Id> {
        let known = self.room.get(worker);
        let (rack, free) = (known.rack, known.free());
        for class in Class::iter() {
            for team in self.teams.order() {
                let spot = Spot {
                    rack,
                    worker,
                    room: free,
                };
                let Some((_, id)) = self.queue.first(class, team, &spot) else {
                    continue;
                };
                let rest = self.ledger.available(rack, team);
                if free.fits(&rest) {
                    return Some(id);
                }
                let room = Size::min(&free, &rest);
                let spot = Spot { room, ..spot };
                if let Some((_, id)) = self.queue.first(class, team, &spot) {
                    return Some(id);
                }
                self.ledger.mark_short(rack, team);
                self.short = true;
            }
        }
        None
    }

    fn next_come(&mut self, worker: usize) -> Option<request::Id> {
        let known = self.room.get(worker);
        let (rack, free) = (known.rack, known.free());
        let mut best = None;
        for class in Class::iter() {
            for team in 0..self.teams.len() {
                let room = Size::min(&free, &self.ledger.available(rack, team));
                let spot = Spot { rack, worker, room };
                if let Some(head) = self.queue.first(class, team, &spot) {
                    best = best.map_or(Some(head), |best| Some(head.min(best)));
                }
                self.ledger.mark_short(rack, team);
            }
        }
        best.map(|(_, id)| id)
    }

    /// Starts the next attempt of a waiting request.
    pub(super) fn start(&mut self, id: request::Id, worker: usize) {
        let Some(item) = self.queue.remove(id) else {
            return;
        };
        let epoch = self.epoch_of(worker);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.number += 1;
        let attempt = Attempt {
            request: id,
            number: job.number,
        };
        job.phase = Phase::Placed(attempt);
        let hold = job.hold;
        let again = matches!(
            job.past,
            Some(Verdict::Ran {
                outcome: Outcome::Stopped | Outcome::Checkpointed,
                ..
            })
        );
        let guard = if again {
            self.now.after(GUARD)
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
            doubted: Time::MAX,
            sends: 0,
            since: self.now,
            interrupt: None,
            guard,
            declared: booked(&job.request.size),
            used: None,
            peak: Size::ZERO,
        };
        self.unpress(id);
        self.book(attempt, booking);
        match hold {
            Some(gang) => {
                self.changed.insert(gang);
            }
            None => self.send(attempt),
        }
    }

    /// Sends the start of a booked attempt.
    pub(super) fn send(&mut self, attempt: Attempt) {
        self.set_told(attempt, None);
        let Some(booking) = self.bookings.get_mut(&attempt) else {
            return;
        };
        booking.epoch = self.ledger.rack(self.room.get(booking.worker).rack).epoch;
        booking.sends += 1;
        booking.state = State::Sent;
        booking.since = self.now;
        let worker = self.room.get(booking.worker);
        self.out.push(Action::Start {
            attempt,
            worker: worker.spec.name.clone(),
            epoch: self.ledger.rack(worker.rack).epoch,
            size: booking.size,
        });
    }

    /// Books an attempt's room and allotment.
    pub(super) fn book(&mut self, attempt: Attempt, booking: Booking) {
        let rack = self.room.get(booking.worker).rack;
        self.room.book(booking.worker, attempt, &booking.size);
        self.ledger.book(rack, booking.team, &booking.size);
        self.teams.add(booking.team, &booking.size);
        if booking.class == Class::Service {
            let worker = booking.worker;
            self.spread
                .add(&booking.kind, worker, self.room.get(worker));
        }
        self.weigh(&booking, Size::plus);
        let worker = booking.worker;
        self.bookings.insert(attempt, booking);
        self.refresh_trial(worker);
    }

    /// Counts a booking in or out of what may end soon on its worker.
    fn weigh(&mut self, booking: &Booking, count: impl Fn(&Size, &Size) -> Size) {
        let worker = self.room.get_mut(booking.worker);
        if booking.is_ending() {
            worker.ending = count(&worker.ending, &booking.size);
        } else if booking.is_soft() {
            worker.soft = count(&worker.soft, &booking.size);
        }
    }

    /// Notes what a booked attempt was told.
    pub(super) fn set_told(&mut self, attempt: Attempt, told: Option<Told>) {
        let Some(mut booking) = self.bookings.remove(&attempt) else {
            return;
        };
        self.weigh(&booking, Size::minus);
        booking.interrupt = told;
        self.weigh(&booking, Size::plus);
        self.bookings.insert(attempt, booking);
    }

    /// Lets a worker on trial take one attempt at a time.
    fn refresh_trial(&mut self, worker: usize) {
        if self.health.circuit(worker) == Circuit::Trial {
            self.refresh(worker);
        }
    }

    /// Gives an attempt's room and allotment back.
    pub(super) fn unbook(&mut self, attempt: Attempt) -> Option<Booking> {
        let booking = self.bookings.remove(&attempt)?;
        self.weigh(&booking, Size::minus);
        let rack = self.room.get(booking.worker).rack;
        self.room.free(booking.worker, attempt, &booking.size);
        if self
            .ledger
            .release(rack, booking.team, &booking.size, self.now)
        {
            if self.setup.policy == Policy::Fair {
                self.loosened.insert((rack, booking.team));
            } else {
                self.dirty.extend(self.room.rack(rack));
            }
        }
        self.teams.remove(booking.team, &booking.size);
        if booking.class == Class::Service {
            let worker = booking.worker;
            self.spread
                .remove(&booking.kind, worker, self.room.get(worker));
        }
        self.dirty.insert(booking.worker);
        self.refresh_trial(booking.worker);
        Some(booking)
    }
}
