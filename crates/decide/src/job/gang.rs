//! Gangs: places are collected rack by rack in a fixed order, and all members start or none.

use std::collections::VecDeque;
use std::time::Duration;

use super::home::{Call, Home};
use super::{Action, Work};
use crate::attempt::Outcome;
use crate::gang::Ask;
use crate::name::Name;
use crate::request::{self, Request};
use crate::time::Time;
use crate::verdict::Verdict;

/// How long places are held for a gang.
const HOLD: Duration = Duration::from_secs(5);

/// How long before the end of a hold a start is no longer worth the risk.
const MARGIN: Duration = Duration::from_secs(1);

/// The bounds of the pause after a round that found too few places or was undone.
const ROUND_PAUSE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(10));

/// How long a rack is asked again that has room and waits for a part of the team's limit.
const LINGER: Duration = Duration::from_millis(2_500);

/// The pause before it is asked again.
const LINGER_PAUSE: Duration = Duration::from_millis(250);

/// The members of a gang that one rack is asked for or holds.
#[derive(Clone, Debug)]
struct Part {
    gang: request::Id,
    rack: Name,
    server: Name,
    members: Vec<u32>,
    /// When the rack was first asked.
    since: Time,
    /// When the rack is asked again.
    again: Option<Time>,
}

/// A commit that is not answered.
#[derive(Clone, Debug)]
pub(super) struct Commit {
    job: Name,
    members: Vec<request::Id>,
    expires: Time,
}

/// The places that a gang is collecting.
#[derive(Clone, Debug)]
pub(super) struct Reserving {
    /// Racks that are not asked yet, in the order that all gangs keep to.
    racks: VecDeque<Name>,
    asked: Option<Part>,
    held: Vec<Part>,
    missing: Vec<u32>,
    expires: Time,
    /// Whether all places are held and their write is awaited.
    complete: bool,
}

impl Home {
    /// Does for a gang what can be done now.
    pub(super) fn advance_gang(
        &mut self,
        now: Time,
        job: &Name,
        work: &Work,
        actions: &mut Vec<Action>,
    ) {
        let Some(slot) = self.slots.get(job) else {
            return;
        };
        if slot.state.finished {
            return;
        }
        if slot.undoing || slot.state.failed > 0 {
            return self.undo(now, job, actions);
        }
        if let Some(reserving) = &slot.reserving {
            if !reserving.complete && reserving.expires <= now {
                self.fall_short(now, job, actions);
            } else {
                self.ask_again(now, job, work, actions);
            }
            return;
        }
        let ended = slot.state.done >= work.tasks();
        let may_begin = slot.state.active.is_empty() && !ended && slot.round_after <= now;
        if may_begin && self.starts.take(now, 1.0) {
            self.begin_round(now, job, work, actions);
        }
    }

    fn begin_round(&mut self, now: Time, job: &Name, work: &Work, actions: &mut Vec<Action>) {
        // Every gang asks in the order of the racks' names, so no two wait for each other in a ring.
        let racks = self.view.racks.keys().cloned().collect();
        let salt = self.setup.incarnation;
        let Some(slot) = self.slots.get_mut(job) else {
            return;
        };
        slot.state.round += 1;
        slot.state.salt = salt;
        slot.state.done = 0;
        slot.reserving = Some(Reserving {
            racks,
            asked: None,
            held: Vec::new(),
            missing: (0..work.tasks()).collect(),
            expires: now.after(HOLD),
            complete: false,
        });
        self.ask(now, job, work, actions);
    }

    /// Asks the next rack for the members that have no place yet.
    fn ask(&mut self, now: Time, job: &Name, work: &Work, actions: &mut Vec<Action>) {
        loop {
            let Some(slot) = self.slots.get_mut(job) else {
                return;
            };
            let Some(reserving) = &mut slot.reserving else {
                return;
            };
            let Some(rack) = reserving.racks.pop_front() else {
                return self.fall_short(now, job, actions);
            };
            let Some((_, server)) = self.field.owner(&rack) else {
                continue;
            };
            if server.leaving {
                continue;
            }
            let gang = slot.state.part_id(job, &rack);
            let server = server.name.clone();
            let members = reserving.missing.clone();
            reserving.asked = Some(Part {
                gang,
                rack,
                server: server.clone(),
                members: members.clone(),
                since: now,
                again: None,
            });
            return self.reserve(job, work, actions);
        }
    }

    /// Asks the rack again that has room and waits for a part of the team's limit.
    fn ask_again(&mut self, now: Time, job: &Name, work: &Work, actions: &mut Vec<Action>) {
        let slot = self.slots.get_mut(job);
        let part = slot.and_then(|slot| slot.reserving.as_mut()?.asked.as_mut());
        let due = part.and_then(|part| part.again.take_if(|again| *again <= now));
        if due.is_some() {
            self.reserve(job, work, actions);
        }
    }

    /// Tells whether a rack that gave too few places may soon give more.
    fn lingers(&self, now: Time, work: &Work, part: &Part) -> bool {
        let request = work.request(part.gang);
        now < part.since.after(LINGER) && self.field.lacks_allotment(&part.server, &request)
    }

    /// Sends the reservation of the rack that is being asked.
    fn reserve(&mut self, job: &Name, work: &Work, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.get(job) else {
            return;
        };
        let Some(reserving) = &slot.reserving else {
            return;
        };
        let Some(part) = &reserving.asked else {
            return;
        };
        let target = self.field.owner(&part.rack).map(|(target, _)| target);
        let member = |index: &u32| Request {
            gang: Some(part.gang),
            target: target.clone(),
            ..work.request(slot.state.task_id(job, *index, slot.state.round))
        };
        let ask = Ask {
            gang: part.gang,
            members: part.members.iter().map(member).collect(),
            expires: reserving.expires,
        };
        self.asks
            .insert(part.gang, (job.clone(), part.server.clone()));
        actions.push(Action::Reserve {
            ask,
            server: part.server.clone(),
        });
    }

    /// Takes the places that an owner holds.
    pub(super) fn held(
        &mut self,
        now: Time,
        gang: request::Id,
        members: &[request::Id],
        actions: &mut Vec<Action>,
    ) {
        let Some((job, server)) = self.asks.remove(&gang) else {
            return;
        };
        let Some(mut part) = self.take_asked(&job, gang) else {
            actions.push(Action::Release { gang, server });
            return;
        };
        let Some((_, work)) = self.work.get(&job).cloned() else {
            return;
        };
        let Some(slot) = self.slots.get(&job) else {
            return;
        };
        let round = slot.state.round;
        let id = |index: &u32| slot.state.task_id(&job, *index, round);
        let short = part
            .members
            .iter()
            .any(|index| !members.contains(&id(index)));
        if short && self.lingers(now, &work, &part) {
            part.again = Some(now.after(LINGER_PAUSE));
            if let Some(reserving) = self
                .slots
                .get_mut(&job)
                .and_then(|it| it.reserving.as_mut())
            {
                reserving.asked = Some(part);
            }
            return;
        }
        part.members.retain(|index| members.contains(&id(index)));
        let placed = part.members.clone();
        let asked = slot.reserving.as_ref().map(|known| known.missing.clone());
        let rest = asked.unwrap_or_default();
        let rest = rest.iter().filter(|index| !placed.contains(index));
        let rest: Vec<request::Id> = rest.map(id).collect();
        if placed.is_empty() {
            actions.push(Action::Release {
                gang,
                server: server.clone(),
            });
        } else {
            // Another rack is asked for these, so this one must not place them later.
            actions.extend(rest.into_iter().map(|request| Action::Cancel {
                request,
                server: server.clone(),
            }));
        }
        let slot = self.slots.get_mut(&job);
        let Some(reserving) = slot.and_then(|slot| slot.reserving.as_mut()) else {
            return;
        };
        reserving.missing.retain(|index| !placed.contains(index));
        let complete = reserving.missing.is_empty();
        if !placed.is_empty() {
            reserving.held.push(part.clone());
        }
        self.expect(&job, &work, &part, actions);
        if complete {
            self.complete(&job);
        } else {
            self.ask(now, &job, &work, actions);
        }
    }

    fn take_asked(&mut self, job: &Name, gang: request::Id) -> Option<Part> {
        let reserving = self.slots.get_mut(job)?.reserving.as_mut()?;
        let asked = reserving.asked.take_if(|part| part.gang == gang)?;
        Some(asked)
    }

    /// Tells an owner the payloads of the members that it holds places for.
    fn expect(&mut self, job: &Name, work: &Work, part: &Part, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.get(job) else {
            return;
        };
        let target = self.field.owner(&part.rack).map(|(target, _)| target);
        for index in &part.members {
            let id = slot.state.task_id(job, *index, slot.state.round);
            let request = Request {
                gang: Some(part.gang),
                target: target.clone(),
                ..work.request(id)
            };
            let call = Call {
                job: job.clone(),
                index: *index,
                server: part.server.clone(),
            };
            self.calls.insert(id, call);
            actions.push(Action::Expect {
                request,
                payload: work.payload(),
                server: part.server.clone(),
            });
        }
    }

    /// Writes the places of all members down; they start once that is written.
    fn complete(&mut self, job: &Name) {
        let Some(slot) = self.slots.get_mut(job) else {
            return;
        };
        let Some(reserving) = &mut slot.reserving else {
            return;
        };
        reserving.complete = true;
        let held = reserving.held.clone();
        let round = slot.state.round;
        for part in held {
            for index in part.members {
                slot.place(index, round, 0, part.rack.clone());
            }
        }
    }

    /// Starts a gang whose places are written down, unless the holds are about to expire.
    pub(super) fn commit(&mut self, now: Time, job: &Name, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.get_mut(job) else {
            return;
        };
        let complete = slot.reserving.take_if(|reserving| reserving.complete);
        let Some(reserving) = complete else {
            return;
        };
        if now.after(MARGIN) > reserving.expires {
            // No commit was sent, so no member runs.
            for part in &reserving.held {
                for index in &part.members {
                    slot.remove(*index);
                }
            }
            slot.reserving = Some(reserving);
            return self.fall_short(now, job, actions);
        }
        slot.shortfalls = 0;
        let round = slot.state.round;
        for part in reserving.held {
            let id = |index: &u32| slot.state.task_id(job, *index, round);
            let commit = Commit {
                job: job.clone(),
                members: part.members.iter().map(id).collect(),
                expires: reserving.expires,
            };
            self.commits.insert(part.gang, commit);
            actions.push(Action::Commit {
                gang: part.gang,
                server: part.server,
            });
        }
    }

    /// Has the members of a part resumed once their owner has taken the commit, or can't any more.
    ///
    /// The resumption finds members that lost their place before the commit.
    pub(super) fn committed(
        &mut self,
        now: Time,
        gang: request::Id,
        taken: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(commit) = self.commits.remove(&gang) else {
            return;
        };
        for member in commit.members {
            let Some(call) = self.calls.remove(&member) else {
                continue;
            };
            if let Some(slot) = self.slots.get_mut(&call.job)
                && !taken
            {
                slot.not_before
                    .insert(call.index, commit.expires.after(MARGIN));
            }
        }
        self.advance(now, &commit.job, actions);
    }

    /// Gives all places back and lets other gangs go first for a random while.
    fn fall_short(&mut self, now: Time, job: &Name, actions: &mut Vec<Action>) {
        self.give_back(job, actions);
        let shortfalls = self.slots.get(job).map_or(0, |slot| slot.shortfalls) + 1;
        let pause = self.pause(ROUND_PAUSE.0, ROUND_PAUSE.1, shortfalls);
        if let Some(slot) = self.slots.get_mut(job) {
            slot.shortfalls = shortfalls;
            slot.round_after = now.after(pause);
        }
    }

    /// Gives the places back that a gang was collecting.
    pub(super) fn give_back(&mut self, job: &Name, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.get_mut(job) else {
            return;
        };
        let Some(reserving) = slot.reserving.take() else {
            return;
        };
        let round = slot.state.round;
        for part in reserving.asked.into_iter().chain(reserving.held) {
            self.asks.remove(&part.gang);
            for index in part.members {
                self.calls.remove(&slot.state.task_id(job, index, round));
            }
            actions.push(Action::Release {
                gang: part.gang,
                server: part.server,
            });
        }
    }

    /// Handles a reservation without an answer: what it may hold is given back.
    pub(super) fn unheld(&mut self, now: Time, gang: request::Id, actions: &mut Vec<Action>) {
        let Some((job, server)) = self.asks.remove(&gang) else {
            return;
        };
        actions.push(Action::Release { gang, server });
        if self.take_asked(&job, gang).is_none() {
            return;
        }
        if let Some((_, work)) = self.work.get(&job).cloned() {
            self.ask(now, &job, &work, actions);
        }
    }

    /// Takes the verdict on a member; any but a good end undoes the whole gang.
    pub(super) fn judge_member(
        &mut self,
        now: Time,
        job: &Name,
        index: u32,
        work: &Work,
        verdict: &Verdict,
    ) {
        if self.later(now, job, index, verdict) {
            return;
        }
        let Some(slot) = self.slots.get_mut(job) else {
            return;
        };
        slot.remove(index);
        let state = &mut slot.state;
        let first = !slot.undoing;
        match verdict {
            Verdict::Ran {
                outcome: Outcome::Done,
                ..
            } => state.done += 1,
            Verdict::Ran {
                outcome: Outcome::Failed,
                ..
            } => {
                slot.undoing = true;
                state.failures += u32::from(first);
                state.failed += u32::from(state.failures > work.retries());
            }
            Verdict::Unknown { .. } if !work.idempotent() => {
                slot.undoing = true;
                state.unknown += 1;
                state.failed += 1;
            }
            Verdict::Ran { .. } | Verdict::NotRun { .. } | Verdict::Unknown { .. } => {
                slot.undoing = true;
            }
        }
    }

    /// Stops the members that run, and lets the gang begin anew once none does.
    fn undo(&mut self, now: Time, job: &Name, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.get_mut(job) else {
            return;
        };
        if slot.state.active.is_empty() && slot.state.failed == 0 {
            slot.undoing = false;
            slot.state.done = 0;
            slot.dirty = true;
            return self.fall_short(now, job, actions);
        }
        let indexes: Vec<u32> = slot.state.active.keys().copied().collect();
        for index in indexes {
            self.cancel(job, index, actions);
        }
    }
}
