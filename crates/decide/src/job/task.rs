//! Tasks that start one by one: placement, calls to rack owners, and verdicts.

use std::collections::BTreeSet;
use std::time::Duration;

use super::home::{Call, Home};
use super::{Action, Retry, Work};
use crate::attempt::Outcome;
use crate::candidate::Choice;
use crate::name::Name;
use crate::request;
use crate::time::Time;
use crate::verdict::{Reason, Verdict};

/// The maximum number of active tasks of one job.
const MAX_ACTIVE_TASKS: usize = 256;

/// The first and the maximum backoff after a task has failed.
const FAILURE_BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// The first and the maximum backoff after a task was refused or a call broke.
const REFUSAL_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));

/// How long a service's task must have run for its earlier failures to no longer count.
const STABLE_RUN: Duration = Duration::from_secs(60);

/// The delay before a task whose outcome is unknown is retried. It is longer than any worker's
/// lease.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_secs(60);

impl Home {
    /// Sends the active tasks that have no call: new ones once their placement is stored, others
    /// to be resumed.
    pub(super) fn send_ready(
        &mut self,
        now: Time,
        job: &Name,
        work: &Work,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracker) = self.trackers.get(job) else {
            return;
        };
        let ready = |index: &u32| {
            let delayed = tracker
                .not_before
                .get(index)
                .is_some_and(|time| *time > now);
            let has_call = |id: request::Id| self.calls.contains_key(&id);
            !delayed
                && !tracker.is_unwritten(*index)
                && !tracker.id(job, *index).is_some_and(has_call)
        };
        let indexes: Vec<u32> = tracker.state.active.keys().copied().filter(ready).collect();
        for index in indexes {
            self.send(now, job, work, index, actions);
        }
    }

    fn send(&mut self, now: Time, job: &Name, work: &Work, index: u32, actions: &mut Vec<Action>) {
        let Some(tracker) = self.trackers.get_mut(job) else {
            return;
        };
        let (Some(id), Some(placement)) =
            (tracker.id(job, index), tracker.state.active.get(&index))
        else {
            return;
        };
        let Some((target, server)) = self.directory.owner(&placement.rack) else {
            return;
        };
        let mut request = work.request(id);
        request.target = Some(target);
        let never_sent = tracker.never_sent.contains(&index) && !work.is_gang();
        if never_sent {
            tracker.sent_at.insert(index, now);
        }
        let call = Call {
            job: job.clone(),
            index,
            server: server.name.clone(),
        };
        actions.push(Action::Submit {
            request,
            payload: work.payload(),
            server: server.name.clone(),
            resume: !never_sent,
        });
        self.calls.insert(id, call);
    }

    /// Chooses racks for the tasks that are due.
    pub(super) fn place_tasks(&mut self, now: Time, job: &Name, work: &Work) {
        while let Some(index) = self.next_index(now, job, work) {
            if !self.place_task(now, job, work, index) {
                return;
            }
        }
    }

    /// Returns the next task that is due. Retries come before tasks that were never tried.
    fn next_index(&self, now: Time, job: &Name, work: &Work) -> Option<u32> {
        let tracker = self.trackers.get(job)?;
        let state = &tracker.state;
        if state.finished || state.active.len() >= MAX_ACTIVE_TASKS {
            return None;
        }
        let due = |index: &&u32| tracker.not_before.get(index).is_none_or(|at| *at <= now);
        let waiting = state.waiting.keys().filter(|index| **index < work.tasks());
        let retry = waiting.filter(due).min().copied();
        retry.or_else(|| (state.next < work.tasks()).then_some(state.next))
    }

    fn place_task(&mut self, now: Time, job: &Name, work: &Work, index: u32) -> bool {
        if !self.starts.holds(now, 1.0) {
            return false;
        }
        let Some(tracker) = self.trackers.get(job) else {
            return false;
        };
        let retry = tracker.state.waiting.get(&index).copied();
        let Retry { number, failures } = retry.unwrap_or(Retry {
            number: 1,
            failures: 0,
        });
        let request = work.request(tracker.state.task_id(job, index, number));
        let occupied = self.occupied_racks(job, work);
        let mut choice = self
            .directory
            .choose(now, &request, &occupied, true, &mut self.rng);
        if matches!(choice, Choice::None) && !occupied.is_empty() {
            let none = BTreeSet::new();
            choice = self
                .directory
                .choose(now, &request, &none, true, &mut self.rng);
        }
        let Choice::Rack(candidate) = choice else {
            return false;
        };
        self.starts.take(now, 1.0);
        self.directory.note_sent(now, &candidate.server, &request);
        if let Some(tracker) = self.trackers.get_mut(job) {
            tracker.place(index, number, failures, candidate.target.rack);
            tracker.state.next = tracker.state.next.max(index + 1);
        }
        true
    }

    /// Returns the racks where a service already runs. New tasks go to other racks first.
    fn occupied_racks(&self, job: &Name, work: &Work) -> BTreeSet<Name> {
        let Some(tracker) = self.trackers.get(job).filter(|_| work.restarts()) else {
            return BTreeSet::new();
        };
        let active = tracker.state.active.values();
        active.map(|placement| placement.rack.clone()).collect()
    }

    /// Stops the tasks of a service that exceed its number of replicas.
    pub(super) fn cancel_surplus(&mut self, job: &Name, work: &Work, actions: &mut Vec<Action>) {
        let Some(tracker) = self.trackers.get_mut(job).filter(|_| work.restarts()) else {
            return;
        };
        let tasks = work.tasks();
        if tracker.state.next <= tasks {
            return;
        }
        let waiting = tracker.state.waiting.len();
        tracker.state.waiting.retain(|index, _| *index < tasks);
        tracker.dirty |= tracker.state.waiting.len() < waiting;
        let surplus: Vec<u32> = tracker
            .state
            .active
            .range(tasks..)
            .map(|(i, _)| *i)
            .collect();
        if surplus.is_empty() {
            tracker.state.next = tasks;
            tracker.dirty = true;
        }
        for index in surplus {
            self.cancel(job, index, actions);
        }
    }

    /// Handles the verdict on a task that is not part of a gang.
    pub(super) fn task_verdict(
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
        let Some(placement) = tracker.remove(index) else {
            return;
        };
        let run_time = tracker.sent_at.remove(&index).map(|sent| now.since(sent));
        let refusals = tracker.refusals.remove(&index).unwrap_or_default();
        if index >= work.tasks() {
            return;
        }
        let next = Retry {
            number: placement.number + 1,
            failures: placement.failures,
        };
        match verdict {
            Verdict::Ran {
                outcome: Outcome::Done,
                ..
            } if !work.restarts() => tracker.state.done += 1,
            Verdict::Ran {
                outcome: Outcome::Done | Outcome::Failed,
                ..
            } => self.retry_after_failure(now, job, index, next, work, run_time),
            Verdict::Ran { .. } => self.schedule_retry(now, job, index, next, Duration::ZERO),
            Verdict::Unknown { .. } if work.idempotent() => {
                self.schedule_retry(now, job, index, next, UNKNOWN_RETRY_DELAY);
            }
            Verdict::Unknown { .. } => tracker.state.unknown += 1,
            Verdict::NotRun { .. } => {
                tracker.refusals.insert(index, refusals + 1);
                let pause = self.backoff(REFUSAL_BACKOFF.0, REFUSAL_BACKOFF.1, refusals + 1);
                self.schedule_retry(now, job, index, next, pause);
            }
        }
    }

    /// Resumes a task later if the verdict says that the server does not own the rack or is
    /// leaving, since the rack's next owner decides on the task. Returns whether it does.
    pub(super) fn defer_to_next_owner(
        &mut self,
        now: Time,
        job: &Name,
        index: u32,
        verdict: &Verdict,
    ) -> bool {
        let reason = match verdict {
            Verdict::NotRun { reason, .. } => *reason,
            Verdict::Unknown { .. } | Verdict::Ran { .. } => return false,
        };
        if !matches!(reason, Reason::NoOwner | Reason::Leaving) {
            return false;
        }
        self.resume_later(now, job, index, true);
        true
    }

    fn resume_later(&mut self, now: Time, job: &Name, index: u32, was_sent: bool) {
        let pause = self.backoff(REFUSAL_BACKOFF.0, REFUSAL_BACKOFF.0 * 10, 4);
        let Some(tracker) = self.trackers.get_mut(job) else {
            return;
        };
        tracker.not_before.insert(index, now.after(pause));
        tracker.cancelled.remove(&index);
        if was_sent {
            tracker.never_sent.remove(&index);
        }
    }

    /// Resumes a task after its call broke or could not be sent.
    pub(super) fn broken(&mut self, now: Time, request: request::Id, unsent: bool) {
        let Some(call) = self.calls.remove(&request) else {
            return;
        };
        let tracker = self.trackers.get(&call.job);
        if tracker.and_then(|tracker| tracker.id(&call.job, call.index)) == Some(request) {
            self.resume_later(now, &call.job, call.index, !unsent);
        }
    }

    /// Counts a failure of a task, and schedules a retry if any are left.
    fn retry_after_failure(
        &mut self,
        now: Time,
        job: &Name,
        index: u32,
        next: Retry,
        work: &Work,
        run_time: Option<Duration>,
    ) {
        let stable = work.restarts() && run_time.is_some_and(|ran| ran >= STABLE_RUN);
        let failures = if stable { 1 } else { next.failures + 1 };
        if failures > work.retries() {
            if let Some(tracker) = self.trackers.get_mut(job) {
                tracker.state.failed += 1;
            }
            return;
        }
        let pause = self.backoff(FAILURE_BACKOFF.0, FAILURE_BACKOFF.1, failures);
        self.schedule_retry(now, job, index, Retry { failures, ..next }, pause);
    }

    fn schedule_retry(&mut self, now: Time, job: &Name, index: u32, next: Retry, pause: Duration) {
        let Some(tracker) = self.trackers.get_mut(job) else {
            return;
        };
        tracker.state.waiting.insert(index, next);
        tracker.not_before.insert(index, now.after(pause));
        tracker.dirty = true;
    }

    /// Handles the verdict on a task of a job whose document was deleted.
    pub(super) fn retired_verdict(&mut self, now: Time, job: &Name, index: u32, verdict: &Verdict) {
        if self.defer_to_next_owner(now, job, index, verdict) {
            return;
        }
        if let Some(tracker) = self.trackers.get_mut(job) {
            tracker.remove(index);
        }
    }
}
