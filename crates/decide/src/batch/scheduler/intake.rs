//! Submitting, cancelling and storing of jobs.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::name::Name;

use super::super::event::{Action, Answer, Decision};
use super::super::job::{Job, Step};
use super::super::journal::Deferred;
use super::super::record::Row;
use super::super::spec::Spec;
use super::super::{JobId, State};
use super::Scheduler;
use super::admission::Refused;

impl Scheduler {
    /// Submits a job; the call is answered once the job is stored, or at once if it is refused.
    ///
    /// Submitting a job that is already known leaves it unchanged.
    pub fn submit(
        &mut self,
        call: u64,
        id: JobId,
        queue: &Name,
        account: Option<Name>,
        mut spec: Spec,
    ) {
        if let Some(job) = self.jobs.get(&id) {
            if job.stored {
                self.answer(call, Answer::Accepted);
            } else {
                self.journal
                    .record(Row::Job(id), Some(Deferred::Answer(call)));
            }
            return;
        }
        spec.bound_estimates();
        let excess = self.exceeds_weight(account.as_ref());
        if let Some(Refused { bound, wait, pause }) =
            self.refuse(queue, account.as_ref(), &spec, excess)
        {
            self.log(Decision::Refused {
                job: id,
                bound,
                wait,
                fleet_millicores: self.capacity.millicores,
                queue: queue.clone(),
                account,
                excess,
                pause,
            });
            self.answer(call, Answer::Refused(pause));
            return;
        }
        let run = self.setup.first_run();
        let job = Job {
            queue: queue.clone(),
            account,
            accepted: self.now,
            accepted_ms: self.wall_ms(),
            steps: Step::for_job(&spec, run),
            spec: Some(spec),
            state: State::Queued,
            stored: false,
            final_state_stored: true,
            inherited: false,
            blocks: BTreeSet::new(),
            excess,
            ended: None,
        };
        self.jobs.insert(id, job);
        self.mark_ready(id);
        self.journal.record(Row::Job(id), Some(Deferred::Admit));
        self.journal
            .record(Row::Job(id), Some(Deferred::Answer(call)));
    }

    /// Cancels a job; the call is answered once the cancellation is stored.
    pub fn cancel(&mut self, call: u64, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            self.answer(call, Answer::Unknown);
            return;
        };
        if !job.state.is_final() {
            self.finish(id, State::Cancelled);
        }
        if self.jobs.get(&id).is_some_and(|job| job.final_state_stored) {
            self.answer(call, Answer::Cancelled);
        } else {
            self.journal
                .record(Row::Job(id), Some(Deferred::Answer(call)));
        }
    }

    /// Gives a job a final state and stops its attempts that still run.
    pub(super) fn finish(&mut self, id: JobId, state: State) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let placed = job.placed(id);
        for step in 0..job.steps.len() {
            self.unreserve(id, step);
        }
        self.set_final_state(id, state);
        for (attempt, worker) in placed {
            self.stop(worker, attempt);
        }
    }

    /// Sets the final state of a job, which becomes visible once it is stored.
    pub(super) fn set_final_state(&mut self, id: JobId, state: State) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.state = state;
        job.final_state_stored = false;
        job.ended = Some(self.now);
        let age = self.now.since(job.accepted);
        self.ready.remove(&id);
        self.assembling.retain(|step, _| step.job != id);
        self.ended.entry(self.now).or_default().push(id);
        self.journal.fold_blocks(id);
        let job = id;
        self.log(Decision::Finished { job, state, age });
    }

    pub(super) fn admit(&mut self, id: JobId) {
        self.mark_ready(id);
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let decision = Decision::Accepted {
            job: id,
            queue: job.queue.clone(),
            account: job.account.clone(),
            excess: job.excess,
            wait: self.estimated_wait(&job.queue),
        };
        self.log(decision);
    }

    /// Returns how long the work ahead of a new job in a queue is expected to take.
    fn estimated_wait(&self, queue: &Name) -> Duration {
        let priority = self.queues.get(queue).map(|queue| queue.priority);
        priority.map_or(Duration::ZERO, |priority| self.backlog.wait(priority))
    }

    pub(super) fn acknowledge(&mut self, worker: usize) {
        let number = self.workers[worker].acknowledged();
        self.actions.push(Action::Acknowledge { worker, number });
    }

    pub(super) fn answer(&mut self, call: u64, answer: Answer) {
        self.actions.push(Action::Answer { call, answer });
    }
}
