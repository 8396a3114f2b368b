//! Gangs: places are reserved rack by rack in a fixed order, and either all members start or none.

use std::collections::VecDeque;
use std::time::Duration;

use super::home::{Call, Home};
use super::{Action, Work};
use crate::attempt::Outcome;
use crate::gang::HoldRequest;
use crate::name::Name;
use crate::request::{self, Request};
use crate::time::Time;
use crate::verdict::Verdict;

/// How long places are held for a gang.
const HOLD_TIME: Duration = Duration::from_secs(5);

/// The safety margin around the expiry of holds.
///
/// A gang is not started within this time before its holds expire, since the commits may arrive too
/// late. After an unconfirmed commit, its members are resumed this long after the holds expired.
const COMMIT_MARGIN: Duration = Duration::from_secs(1);

/// The first and the maximum backoff after a round that found too few places or was aborted.
const ROUND_BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(10));

/// How long to keep asking a rack that has free capacity but lacks an allotment of the team's
/// limit.
const MAX_ALLOTMENT_WAIT: Duration = Duration::from_millis(2_500);

/// The delay before such a rack is asked again.
const ALLOTMENT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The members of a gang for which one rack holds places or is asked to.
#[derive(Clone, Debug)]
struct Part {
    gang: request::Id,
    rack: Name,
    server: Name,
    members: Vec<u32>,
    /// When the rack was first asked.
    first_asked: Time,
    /// When the rack is to be asked again.
    retry_at: Option<Time>,
}

/// An unanswered commit.
#[derive(Clone, Debug)]
pub(super) struct Commit {
    job: Name,
    members: Vec<request::Id>,
    expires: Time,
}

/// The places that are being reserved for a gang.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    /// Racks that have not been asked yet, in the order that all gangs use.
    remaining_racks: VecDeque<Name>,
    /// The part whose rack is being asked.
    asked: Option<Part>,
    /// The parts whose places are held.
    held: Vec<Part>,
    /// The members that have no place yet.
    missing: Vec<u32>,
    expires: Time,
    /// Whether all places are held and the write of the placements is awaited.
    complete: bool,
}

impl Home {
    /// Takes all steps for a gang that are possible now.
    pub(super) fn advance_gang(
        &mut self,
        now: Time,
        job: &Name,
        work: &Work,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracker) = self.trackers.get(job) else {
            return;
        };
        if tracker.state.finished {
            return;
        }
        if tracker.aborting || tracker.state.failed > 0 {
            return self.abort(now, job, actions);
        }
        if let Some(reservation) = &tracker.reservation {
            if !reservation.complete && reservation.expires <= now {
                self.abandon_round(now, job, actions);
            } else {
                self.ask_again(now, job, work, actions);
            }
            return;
        }
        let ended = tracker.state.done >= work.tasks();
        let may_begin = tracker.state.active.is_empty() && !ended && tracker.next_round <= now;
        if may_begin && self.starts.take(now, 1.0) {
            self.begin_round(now, job, work, actions);
        }
    }

    fn begin_round(&mut self, now: Time, job: &Name, work: &Work, actions: &mut Vec<Action>) {
        // All gangs ask the racks in the order of their names, so that no gangs wait for each
        // other's places in a circle (deadlock).
        let racks = self.view.racks.keys().cloned().collect();
        let salt = self.setup.incarnation;
        let Some(tracker) = self.trackers.get_mut(job) else {
            return;
        };
        tracker.state.round += 1;
        tracker.state.salt = salt;
        tracker.state.done = 0;
        tracker.reservation = Some(Reservation {
            remaining_racks: racks,
            asked: None,
            held: Vec::new(),
            missing: (0..work.tasks()).collect(),
            expires: now.after(HOLD_TIME),
            complete: false,
        });
        self.ask_next_rack(now, job, work, actions);
    }

    /// Asks the next rack for places for the members that have none yet.
    fn ask_next_rack(&mut self, now: Time, job: &Name, work: &Work, actions: &mut Vec<Action>) {
        loop {
            let Some(tracker) = self.trackers.get_mut(job) else {
                return;
            };
            let Some(reservation) = &mut tracker.reservation else {
                return;
            };
            let Some(rack) = reservation.remaining_racks.pop_front() else {
                return self.abandon_round(now, job, actions);
            };
            let Some((_, server)) = self.directory.owner(&rack) else {
                continue;
            };
            if server.leaving {
                continue;
            }
            let gang = tracker.state.part_id(job, &rack);
            let server = server.name.clone();
            let members = reservation.missing.clone();
            reservation.asked = Some(Part {
                gang,
                rack,
                server: server.clone(),
                members: members.clone(),
                first_asked: now,
                retry_at: None,
            });
            return self.reserve(job, work, actions);
        }
    }

    /// Asks again the rack that lacks an allotment of the team's limit, once that is due.
    fn ask_again(&mut self, now: Time, job: &Name, work: &Work, actions: &mut Vec<Action>) {
        let tracker = self.trackers.get_mut(job);
        let part = tracker.and_then(|tracker| tracker.reservation.as_mut()?.asked.as_mut());
        let due = part.and_then(|part| part.retry_at.take_if(|retry_at| *retry_at <= now));
        if due.is_some() {
            self.reserve(job, work, actions);
        }
    }

    /// Tells whether a rack that held too few places may hold more after its next allotment.
    fn awaits_allotment(&self, now: Time, work: &Work, part: &Part) -> bool {
        let request = work.request(part.gang);
        now < part.first_asked.after(MAX_ALLOTMENT_WAIT)
            && self.directory.lacks_allotment(&part.server, &request)
    }

    /// Sends the reservation request to the rack that is being asked.
    fn reserve(&mut self, job: &Name, work: &Work, actions: &mut Vec<Action>) {
        let Some(tracker) = self.trackers.get(job) else {
            return;
        };
        let Some(reservation) = &tracker.reservation else {
            return;
        };
        let Some(part) = &reservation.asked else {
            return;
        };
        let target = self.directory.owner(&part.rack).map(|(target, _)| target);
        let member = |index: &u32| Request {
            gang: Some(part.gang),
            target: target.clone(),
            ..work.request(tracker.state.task_id(job, *index, tracker.state.round))
        };
        let hold_request = HoldRequest {
            gang: part.gang,
            members: part.members.iter().map(member).collect(),
            expires: reservation.expires,
        };
        self.pending_reservations
            .insert(part.gang, (job.clone(), part.server.clone()));
        actions.push(Action::Reserve {
            ask: hold_request,
            server: part.server.clone(),
        });
    }

    /// Handles the answer to a reservation request.
    pub(super) fn held(
        &mut self,
        now: Time,
        gang: request::Id,
        members: &[request::Id],
        actions: &mut Vec<Action>,
    ) {
        let Some((job, server)) = self.pending_reservations.remove(&gang) else {
            return;
        };
        let Some(mut part) = self.take_asked(&job, gang) else {
            actions.push(Action::Release { gang, server });
            return;
        };
        let Some((_, work)) = self.work.get(&job).cloned() else {
            return;
        };
        let Some(tracker) = self.trackers.get(&job) else {
            return;
        };
        let round = tracker.state.round;
        let id = |index: &u32| tracker.state.task_id(&job, *index, round);
        let incomplete = part
            .members
            .iter()
            .any(|index| !members.contains(&id(index)));
        if incomplete && self.awaits_allotment(now, &work, &part) {
            part.retry_at = Some(now.after(ALLOTMENT_RETRY_DELAY));
            if let Some(reservation) = self
                .trackers
                .get_mut(&job)
                .and_then(|it| it.reservation.as_mut())
            {
                reservation.asked = Some(part);
            }
            return;
        }
        part.members.retain(|index| members.contains(&id(index)));
        let placed = part.members.clone();
        let missing = tracker
            .reservation
            .as_ref()
            .map(|known| known.missing.clone());
        let unplaced = missing.unwrap_or_default();
        let unplaced = unplaced.iter().filter(|index| !placed.contains(index));
        let unplaced: Vec<request::Id> = unplaced.map(id).collect();
        if placed.is_empty() {
            actions.push(Action::Release {
                gang,
                server: server.clone(),
            });
        } else {
            // Another rack is asked to place these members, so this one must not place them later.
            actions.extend(unplaced.into_iter().map(|request| Action::Cancel {
                request,
                server: server.clone(),
            }));
        }
        let tracker = self.trackers.get_mut(&job);
        let Some(reservation) = tracker.and_then(|tracker| tracker.reservation.as_mut()) else {
            return;
        };
        reservation.missing.retain(|index| !placed.contains(index));
        let complete = reservation.missing.is_empty();
        if !placed.is_empty() {
            reservation.held.push(part.clone());
        }
        self.send_payloads(&job, &work, &part, actions);
        if complete {
            self.record_placements(&job);
        } else {
            self.ask_next_rack(now, &job, &work, actions);
        }
    }

    fn take_asked(&mut self, job: &Name, gang: request::Id) -> Option<Part> {
        let reservation = self.trackers.get_mut(job)?.reservation.as_mut()?;
        let part = reservation.asked.take_if(|part| part.gang == gang)?;
        Some(part)
    }

    /// Sends the payloads of the members to the owner that holds places for them.
    fn send_payloads(&mut self, job: &Name, work: &Work, part: &Part, actions: &mut Vec<Action>) {
        let Some(tracker) = self.trackers.get(job) else {
            return;
        };
        let target = self.directory.owner(&part.rack).map(|(target, _)| target);
        for index in &part.members {
            let id = tracker.state.task_id(job, *index, tracker.state.round);
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

    /// Records the placements of all members. The gang starts once they are stored.
    fn record_placements(&mut self, job: &Name) {
        let Some(tracker) = self.trackers.get_mut(job) else {
            return;
        };
        let Some(reservation) = &mut tracker.reservation else {
            return;
        };
        reservation.complete = true;
        let held = reservation.held.clone();
        let round = tracker.state.round;
        for part in held {
            for index in part.members {
                tracker.place(index, round, 0, part.rack.clone());
            }
        }
    }

    /// Starts a gang whose placements are stored, unless the holds are about to expire.
    pub(super) fn commit(&mut self, now: Time, job: &Name, actions: &mut Vec<Action>) {
        let Some(tracker) = self.trackers.get_mut(job) else {
            return;
        };
        let complete = tracker
            .reservation
            .take_if(|reservation| reservation.complete);
        let Some(reservation) = complete else {
            return;
        };
        if now.after(COMMIT_MARGIN) > reservation.expires {
            // No commit was sent, so no member runs.
            for part in &reservation.held {
                for index in &part.members {
                    tracker.remove(*index);
                }
            }
            tracker.reservation = Some(reservation);
            return self.abandon_round(now, job, actions);
        }
        tracker.failed_rounds = 0;
        let round = tracker.state.round;
        for part in reservation.held {
            let id = |index: &u32| tracker.state.task_id(job, *index, round);
            let commit = Commit {
                job: job.clone(),
                members: part.members.iter().map(id).collect(),
                expires: reservation.expires,
            };
            self.pending_commits.insert(part.gang, commit);
            actions.push(Action::Commit {
                gang: part.gang,
                server: part.server,
            });
        }
    }

    /// Resumes the members of a part: at once if the owner has confirmed the commit, else after the
    /// holds have expired.
    ///
    /// Resuming also finds members that lost their place before the commit.
    pub(super) fn committed(
        &mut self,
        now: Time,
        gang: request::Id,
        taken: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(commit) = self.pending_commits.remove(&gang) else {
            return;
        };
        for member in commit.members {
            let Some(call) = self.calls.remove(&member) else {
                continue;
            };
            if let Some(tracker) = self.trackers.get_mut(&call.job)
                && !taken
            {
                tracker
                    .not_before
                    .insert(call.index, commit.expires.after(COMMIT_MARGIN));
            }
        }
        self.advance(now, &commit.job, actions);
    }

    /// Releases all places and delays the next round at random, so that other gangs can go first.
    fn abandon_round(&mut self, now: Time, job: &Name, actions: &mut Vec<Action>) {
        self.release_all(job, actions);
        let failed_rounds = self
            .trackers
            .get(job)
            .map_or(0, |tracker| tracker.failed_rounds)
            + 1;
        let pause = self.backoff(ROUND_BACKOFF.0, ROUND_BACKOFF.1, failed_rounds);
        if let Some(tracker) = self.trackers.get_mut(job) {
            tracker.failed_rounds = failed_rounds;
            tracker.next_round = now.after(pause);
        }
    }

    /// Releases all places that are being reserved for a gang.
    pub(super) fn release_all(&mut self, job: &Name, actions: &mut Vec<Action>) {
        let Some(tracker) = self.trackers.get_mut(job) else {
            return;
        };
        let Some(reservation) = tracker.reservation.take() else {
            return;
        };
        let round = tracker.state.round;
        for part in reservation.asked.into_iter().chain(reservation.held) {
            self.pending_reservations.remove(&part.gang);
            for index in part.members {
                self.calls.remove(&tracker.state.task_id(job, index, round));
            }
            actions.push(Action::Release {
                gang: part.gang,
                server: part.server,
            });
        }
    }

    /// Handles a reservation request without an answer. Releases any places that the owner holds.
    pub(super) fn hold_failed(&mut self, now: Time, gang: request::Id, actions: &mut Vec<Action>) {
        let Some((job, server)) = self.pending_reservations.remove(&gang) else {
            return;
        };
        actions.push(Action::Release { gang, server });
        if self.take_asked(&job, gang).is_none() {
            return;
        }
        if let Some((_, work)) = self.work.get(&job).cloned() {
            self.ask_next_rack(now, &job, &work, actions);
        }
    }

    /// Handles the verdict on a member. Unless the member succeeded, the whole gang is aborted.
    pub(super) fn member_verdict(
        &mut self,
        now: Time,
        job: &Name,
        index: u32,
        work: &Work,
        verdict: &Verdict,
    ) {
        if self.defer_to_next_owner(now, job, index, verdict) {
            return;
        }
        let Some(tracker) = self.trackers.get_mut(job) else {
            return;
        };
        tracker.remove(index);
        let state = &mut tracker.state;
        let first_failure = !tracker.aborting;
        match verdict {
            Verdict::Ran {
                outcome: Outcome::Done,
                ..
            } => state.done += 1,
            Verdict::Ran {
                outcome: Outcome::Failed,
                ..
            } => {
                tracker.aborting = true;
                state.failures += u32::from(first_failure);
                state.failed += u32::from(state.failures > work.retries());
            }
            Verdict::Unknown { .. } if !work.idempotent() => {
                tracker.aborting = true;
                state.unknown += 1;
                state.failed += 1;
            }
            Verdict::Ran { .. } | Verdict::NotRun { .. } | Verdict::Unknown { .. } => {
                tracker.aborting = true;
            }
        }
    }

    /// Stops the running members, and allows a new round once none is left.
    fn abort(&mut self, now: Time, job: &Name, actions: &mut Vec<Action>) {
        let Some(tracker) = self.trackers.get_mut(job) else {
            return;
        };
        if tracker.state.active.is_empty() && tracker.state.failed == 0 {
            tracker.aborting = false;
            tracker.state.done = 0;
            tracker.dirty = true;
            return self.abandon_round(now, job, actions);
        }
        let indexes: Vec<u32> = tracker.state.active.keys().copied().collect();
        for index in indexes {
            self.cancel(job, index, actions);
        }
    }
}
