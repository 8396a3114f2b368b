//! Places held for gangs, whose members all start together.

use std::collections::BTreeSet;

use crate::action::Action;
use crate::attempt::Attempt;
use crate::gang::{Hold, HoldRequest, Place};
use crate::request;
use crate::time::Time;
use crate::verdict::Reason;
use crate::worker::Interrupt;

use super::Cell;
use super::job::{Cause, Phase, State};
use super::timer::Timer;

/// The members of a gang that are placed by this server.
#[derive(Debug)]
pub(super) struct Gang {
    members: BTreeSet<request::Id>,
    expires: Time,
    committed: bool,
}

impl Cell {
    pub(super) fn reserve(&mut self, request: HoldRequest) {
        let id = request.gang;
        let gang = self.gangs.entry(id).or_insert_with(|| Gang {
            members: BTreeSet::new(),
            expires: request.expires,
            committed: false,
        });
        if gang.committed {
            return;
        }
        gang.expires = request.expires;
        self.set_timer(request.expires, Timer::ExpireGang(id));
        self.changed_gangs.insert(id);
        for member in request.members {
            self.reserve_member(id, member);
        }
        self.take_over(id);
    }

    fn reserve_member(&mut self, gang: request::Id, member: request::Request) {
        let id = member.id;
        if self.jobs.contains_key(&id) {
            return;
        }
        self.admit(member, Phase::Queued);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.has_caller = false;
            job.held_for = Some(gang);
        }
        if let Some(gang) = self.gangs.get_mut(&gang) {
            gang.members.insert(id);
        }
        self.enqueue(id);
    }

    /// Gives members without a place the places of gangs with higher ids.
    ///
    /// The gang with the lowest id always gets all the places that it can use, so that two gangs
    /// can't deadlock by each holding places that the other needs.
    fn take_over(&mut self, gang: request::Id) {
        let Some(members) = self.gangs.get(&gang).map(|gang| gang.members.clone()) else {
            return;
        };
        for member in members {
            self.try_place(member);
            while let Some(other) = self.find_yielding(gang, member) {
                self.yield_places(other);
                self.try_place(member);
            }
        }
    }

    /// Returns the gang with the highest id above `gang` that holds a place whose release would let
    /// a waiting member start.
    fn find_yielding(&self, gang: request::Id, member: request::Id) -> Option<request::Id> {
        let item = self.queue.get(member)?;
        let above = (std::ops::Bound::Excluded(gang), std::ops::Bound::Unbounded);
        let uncommitted = |&(_, other): &(&request::Id, &Gang)| !other.committed;
        let frees_enough = |&(_, other): &(&request::Id, &Gang)| {
            let held = other.members.iter().filter_map(|id| self.held_attempt(*id));
            let mut held = held.map(|attempt| &self.bookings[&attempt]);
            held.any(|booking| {
                let worker = self.workers.get(booking.worker);
                let allowed = item.rack.is_none_or(|rack| rack == worker.rack);
                allowed && item.size.fits(&worker.free().plus(&booking.size))
            })
        };
        let mut above = self
            .gangs
            .range(above)
            .rev()
            .filter(uncommitted)
            .filter(frees_enough);
        above.next().map(|(id, _)| *id)
    }

    fn yield_places(&mut self, gang: request::Id) {
        self.changed_gangs.insert(gang);
        let members = self.gangs[&gang].members.clone();
        for member in members {
            if let Some(attempt) = self.held_attempt(member) {
                self.unbook(attempt);
                self.requeue(member);
            }
        }
    }

    /// Returns a member that has lost its place to the queue.
    fn requeue(&mut self, member: request::Id) {
        let item = self.queue_item(member);
        if let Some(job) = self.jobs.get_mut(&member) {
            job.phase = Phase::Queued;
        }
        self.queue.push(item);
    }

    /// Releases the places held on a worker that can't be used any more.
    pub(super) fn release_held(&mut self, worker: usize) {
        for attempt in self.workers.get(worker).attempts.clone() {
            let held = self.bookings.get(&attempt);
            let Some(gang) = held
                .filter(|booking| booking.state == State::Held)
                .and_then(|booking| booking.gang)
            else {
                continue;
            };
            self.unbook(attempt);
            self.changed_gangs.insert(gang);
            self.requeue(attempt.request);
        }
    }

    /// Returns the attempt that holds a place for a member, if any.
    fn held_attempt(&self, member: request::Id) -> Option<Attempt> {
        match self.jobs.get(&member)?.phase {
            Phase::Placed(attempt) => {
                let booking = self.bookings.get(&attempt)?;
                (booking.state == State::Held).then_some(attempt)
            }
            _ => None,
        }
    }

    pub(super) fn commit(&mut self, gang: request::Id) {
        let Some(known) = self.gangs.get_mut(&gang) else {
            self.changed_gangs.insert(gang);
            return;
        };
        if known.committed {
            return;
        }
        known.committed = true;
        for member in known.members.clone() {
            match self.held_attempt(member) {
                Some(attempt) => self.start_member(member, attempt),
                None => self.drop_member(gang, member),
            }
        }
    }

    fn start_member(&mut self, member: request::Id, attempt: Attempt) {
        if let Some(job) = self.jobs.get_mut(&member) {
            job.has_caller = true;
            job.held_for = None;
        }
        self.send(attempt);
    }

    /// Removes a member that has not started.
    fn drop_member(&mut self, gang: request::Id, member: request::Id) {
        if let Some(attempt) = self.held_attempt(member) {
            self.unbook(attempt);
        }
        self.deny(member, Reason::Gang);
        self.leave_gang(gang, member);
    }

    pub(super) fn release(&mut self, gang: request::Id) {
        let Some(known) = self.gangs.get(&gang) else {
            return;
        };
        if known.committed {
            return;
        }
        for member in known.members.clone() {
            self.drop_member(gang, member);
        }
        self.gangs.remove(&gang);
        self.changed_gangs.remove(&gang);
    }

    /// Releases the places of a gang that has not started in time.
    pub(super) fn expire_gang(&mut self, gang: request::Id) {
        let due = self.gangs.get(&gang);
        if due.is_some_and(|gang| !gang.committed && gang.expires <= self.now) {
            self.release(gang);
            self.changed_gangs.insert(gang);
        }
    }

    /// Stops the other members of a gang because one could not start.
    pub(super) fn stop_gang(&mut self, gang: request::Id, failed: request::Id) {
        self.deny(failed, Reason::Gang);
        let members = self.gangs.get(&gang).map(|gang| gang.members.clone());
        for member in members.unwrap_or_default() {
            if let Some(Phase::Placed(attempt)) = self.jobs.get(&member).map(|job| job.phase) {
                self.interrupt(attempt, Interrupt::Stop, Cause::Gang);
            }
        }
    }

    /// Removes a request from its gang.
    pub(super) fn leave_gang(&mut self, gang: request::Id, member: request::Id) {
        let Some(known) = self.gangs.get_mut(&gang) else {
            return;
        };
        known.members.remove(&member);
        if known.members.is_empty() && known.committed {
            self.gangs.remove(&gang);
        }
    }

    /// Reports the places now held for changed gangs to the servers that run their jobs.
    pub(super) fn report_held_places(&mut self) {
        while let Some(gang) = self.changed_gangs.pop_first() {
            let known = self.gangs.get(&gang);
            if known.is_some_and(|known| known.committed) {
                continue;
            }
            let members = known.into_iter().flat_map(|known| &known.members);
            let places = members
                .filter_map(|member| self.held_place(*member))
                .collect();
            self.actions.push(Action::Held(Hold { gang, places }));
        }
    }

    fn held_place(&self, member: request::Id) -> Option<Place> {
        let attempt = self.held_attempt(member)?;
        let worker = self.workers.get(self.bookings[&attempt].worker);
        Some(Place {
            member,
            worker: worker.spec.name.clone(),
        })
    }
}
