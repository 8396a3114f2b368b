//! Tasks that start one by one: where they are sent and what their verdicts mean.

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

/// Tasks of one job that are active at a time.
const ACTIVE: usize = 256;

/// The bounds of the pause after a task failed.
const FAILURE_PAUSE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// The bounds of the pause after a task was refused or a call broke.
const REFUSAL_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));

/// How long a service's task must have run for its earlier failures to be forgiven.
const STEADY: Duration = Duration::from_secs(60);

/// The pause before a task whose fate is unknown is tried again; longer than any worker's lease.
const UNKNOWN_PAUSE: Duration = Duration::from_secs(60);

impl Home {
    /// Sends the active tasks that have no call: new ones once their place is written, others again.
    pub(super) fn attach(&mut self, now: Time, job: &Name, work: &Work, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.get(job) else {
            return;
        };
        let ready = |index: &u32| {
            let waits = slot.not_before.get(index).is_some_and(|time| *time > now);
            let called = |id: request::Id| self.calls.contains_key(&id);
            !waits && !slot.is_unwritten(*index) && !slot.id(job, *index).is_some_and(called)
        };
        let indexes: Vec<u32> = slot.state.active.keys().copied().filter(ready).collect();
        for index in indexes {
            self.send(now, job, work, index, actions);
        }
    }

    fn send(&mut self, now: Time, job: &Name, work: &Work, index: u32, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.get_mut(job) else {
            return;
        };
        let (Some(id), Some(sent)) = (slot.id(job, index), slot.state.active.get(&index)) else {
            return;
        };
        let Some((target, server)) = self.field.owner(&sent.rack) else {
            return;
        };
        let mut request = work.request(id);
        request.target = Some(target);
        let fresh = slot.fresh.contains(&index) && !work.is_gang();
        if fresh {
            slot.sent_at.insert(index, now);
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
            resume: !fresh,
        });
        self.calls.insert(id, call);
    }

    /// Chooses racks for tasks that are due.
    pub(super) fn place_tasks(&mut self, now: Time, job: &Name, work: &Work) {
        while let Some(index) = self.next_index(now, job, work) {
            if !self.place_task(now, job, work, index) {
                return;
            }
        }
    }

    /// Returns the next task that is due: one that waited, or one that was never tried.
    fn next_index(&self, now: Time, job: &Name, work: &Work) -> Option<u32> {
        let slot = self.slots.get(job)?;
        let state = &slot.state;
        if state.finished || state.active.len() >= ACTIVE {
            return None;
        }
        let due = |index: &&u32| slot.not_before.get(index).is_none_or(|time| *time <= now);
        let waiting = state.waiting.keys().filter(|index| **index < work.tasks());
        let waited = waiting.filter(due).min().copied();
        waited.or_else(|| (state.next < work.tasks()).then_some(state.next))
    }

    fn place_task(&mut self, now: Time, job: &Name, work: &Work, index: u32) -> bool {
        if !self.starts.holds(now, 1.0) {
            return false;
        }
        let Some(slot) = self.slots.get(job) else {
            return false;
        };
        let waited = slot.state.waiting.get(&index).copied();
        let Retry { number, failures } = waited.unwrap_or(Retry {
            number: 1,
            failures: 0,
        });
        let request = work.request(slot.state.task_id(job, index, number));
        let taken = self.taken_racks(job, work);
        let mut choice = self
            .field
            .choose(now, &request, &taken, true, &mut self.rng);
        if matches!(choice, Choice::None) && !taken.is_empty() {
            let none = BTreeSet::new();
            choice = self.field.choose(now, &request, &none, true, &mut self.rng);
        }
        let Choice::Rack(candidate) = choice else {
            return false;
        };
        self.starts.take(now, 1.0);
        self.field.note_sent(now, &candidate.server, &request);
        if let Some(slot) = self.slots.get_mut(job) {
            slot.place(index, number, failures, candidate.target.rack);
            slot.state.next = slot.state.next.max(index + 1);
        }
        true
    }

    /// Returns the racks where a service runs already; it is spread over the others first.
    fn taken_racks(&self, job: &Name, work: &Work) -> BTreeSet<Name> {
        let Some(slot) = self.slots.get(job).filter(|_| work.restarts()) else {
            return BTreeSet::new();
        };
        let active = slot.state.active.values();
        active.map(|sent| sent.rack.clone()).collect()
    }

    /// Stops the tasks of a service beyond its replicas.
    pub(super) fn cancel_surplus(&mut self, job: &Name, work: &Work, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.get_mut(job).filter(|_| work.restarts()) else {
            return;
        };
        let tasks = work.tasks();
        if slot.state.next <= tasks {
            return;
        }
        let waiting = slot.state.waiting.len();
        slot.state.waiting.retain(|index, _| *index < tasks);
        slot.dirty |= slot.state.waiting.len() < waiting;
        let surplus: Vec<u32> = slot.state.active.range(tasks..).map(|(i, _)| *i).collect();
        if surplus.is_empty() {
            slot.state.next = tasks;
            slot.dirty = true;
        }
        for index in surplus {
            self.cancel(job, index, actions);
        }
    }

    /// Takes the verdict on a task that started by itself.
    pub(super) fn judge(
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
        let Some(sent) = slot.remove(index) else {
            return;
        };
        let ran_for = slot.sent_at.remove(&index).map(|sent| now.since(sent));
        let refusals = slot.refusals.remove(&index).unwrap_or_default();
        if index >= work.tasks() {
            return;
        }
        let next = Retry {
            number: sent.number + 1,
            failures: sent.failures,
        };
        match verdict {
            Verdict::Ran {
                outcome: Outcome::Done,
                ..
            } if !work.restarts() => slot.state.done += 1,
            Verdict::Ran {
                outcome: Outcome::Done | Outcome::Failed,
                ..
            } => self.failed(now, job, index, next, work, ran_for),
            Verdict::Ran { .. } => self.again(now, job, index, next, Duration::ZERO),
            Verdict::Unknown { .. } if work.idempotent() => {
                self.again(now, job, index, next, UNKNOWN_PAUSE);
            }
            Verdict::Unknown { .. } => slot.state.unknown += 1,
            Verdict::NotRun { .. } => {
                slot.refusals.insert(index, refusals + 1);
                let pause = self.pause(REFUSAL_PAUSE.0, REFUSAL_PAUSE.1, refusals + 1);
                self.again(now, job, index, next, pause);
            }
        }
    }

    /// Handles a verdict that leaves the task's fate with the rack's next owner.
    pub(super) fn later(&mut self, now: Time, job: &Name, index: u32, verdict: &Verdict) -> bool {
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

    fn resume_later(&mut self, now: Time, job: &Name, index: u32, sent: bool) {
        let pause = self.pause(REFUSAL_PAUSE.0, REFUSAL_PAUSE.0 * 10, 4);
        let Some(slot) = self.slots.get_mut(job) else {
            return;
        };
        slot.not_before.insert(index, now.after(pause));
        slot.cancelled.remove(&index);
        if sent {
            slot.fresh.remove(&index);
        }
    }

    /// Has a task whose call broke resumed.
    pub(super) fn broken(&mut self, now: Time, request: request::Id, unsent: bool) {
        let Some(call) = self.calls.remove(&request) else {
            return;
        };
        let slot = self.slots.get(&call.job);
        if slot.and_then(|slot| slot.id(&call.job, call.index)) == Some(request) {
            self.resume_later(now, &call.job, call.index, !unsent);
        }
    }

    /// Counts a failure of a task and tries it again if it may be.
    fn failed(
        &mut self,
        now: Time,
        job: &Name,
        index: u32,
        next: Retry,
        work: &Work,
        ran_for: Option<Duration>,
    ) {
        let steady = work.restarts() && ran_for.is_some_and(|ran| ran >= STEADY);
        let failures = if steady { 1 } else { next.failures + 1 };
        if failures > work.retries() {
            if let Some(slot) = self.slots.get_mut(job) {
                slot.state.failed += 1;
            }
            return;
        }
        let pause = self.pause(FAILURE_PAUSE.0, FAILURE_PAUSE.1, failures);
        self.again(now, job, index, Retry { failures, ..next }, pause);
    }

    fn again(&mut self, now: Time, job: &Name, index: u32, next: Retry, pause: Duration) {
        let Some(slot) = self.slots.get_mut(job) else {
            return;
        };
        slot.state.waiting.insert(index, next);
        slot.not_before.insert(index, now.after(pause));
        slot.dirty = true;
    }

    /// Takes the verdict on a task of a job whose document is gone.
    pub(super) fn judge_retired(&mut self, now: Time, job: &Name, index: u32, verdict: &Verdict) {
        if self.later(now, job, index, verdict) {
            return;
        }
        if let Some(slot) = self.slots.get_mut(job) {
            slot.remove(index);
        }
    }
}
