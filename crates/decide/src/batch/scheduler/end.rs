//! Ends of attempts and their effect on tasks and jobs.

use std::time::Duration;

use super::super::event::{Decision, Evidence};
use super::super::job::{Place, Task};
use super::super::journal::Deferred;
use super::super::locality::Wait;
use super::super::order;
use super::super::record::Row;
use super::super::report::{End, Outcome};
use super::super::{Attempt, JobId, State};
use super::Scheduler;

impl Scheduler {
    /// Handles the reported end of an attempt on a worker.
    pub(super) fn handle_end(&mut self, index: usize, end: &End) {
        self.stopping.remove(&end.attempt);
        self.move_to_next(index, end.attempt);
        let id = end.attempt.task.step.job;
        let requirements = self.requirements_of(&end.attempt);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let job_ended = job.state.is_final();
        // Once the final state is stored, ends of tasks only free capacity.
        let final_state_stored = job_ended && job.final_state_stored;
        let account = job.account.clone();
        let inherited = job.inherited;
        let Some(task) = job.task_mut(end.attempt.task) else {
            return;
        };
        let current = matches!(task.place, Place::On { worker, run, .. }
            if worker == index && run == end.attempt.run);
        // The end of an inherited task also counts if the attempt was never reported as running.
        let counted = task.ended.contains(&end.attempt.run);
        let unreported = inherited && task.place == Place::Waiting && !counted;
        if !current && !unreported {
            let work = requirements.is_none_or(|(_, _, purpose)| !purpose.runs_until_cancelled());
            let late = inherited && !counted && task.place != Place::Done;
            if late && end.outcome == Outcome::Failed && work {
                // The worker reported late. The failure counts although another run has begun.
                task.count_end(end.attempt.run);
                self.count_late_failure(index, end);
            }
            return;
        }
        let since = match task.place {
            Place::On { since, .. } => Some(since),
            Place::Waiting | Place::Done => None,
        };
        task.place = Place::Waiting;
        task.run = task.run.max(end.attempt.run);
        // Tasks that run until cancelled have no failure limit and start again after any end, so
        // their ended runs are not recorded.
        let until_cancelled =
            requirements.is_some_and(|(_, _, purpose)| purpose.runs_until_cancelled());
        if !until_cancelled {
            task.count_end(end.attempt.run);
        }
        task.record_checkpoint(end.checkpoint.as_ref());
        job.steps[usize::from(end.attempt.task.step.step)].times = None;
        if current && let Some((size, booked, _)) = requirements {
            self.workers[index].release(&end.attempt, &booked);
            self.refund(account.as_ref(), &size);
        }
        self.mark_capacity_freed(index);
        if final_state_stored {
            return;
        }
        self.workers[index].unstored.insert(end.number);
        let deferred = Deferred::End {
            worker: index,
            number: end.number,
        };
        if job_ended {
            self.journal.record(Row::Job(id), Some(deferred));
            return;
        }
        self.note_begun(id);
        self.log_abnormal_end(index, end);
        match end.outcome {
            _ if until_cancelled => {}
            Outcome::Done => {
                self.record_outcome(index, id, false);
                if let Some(since) = since.filter(|_| !inherited) {
                    let ran = self.now.since(since);
                    let ran = self.average_duration(index, &end.attempt, ran);
                    self.record_duration(index, &end.attempt, ran);
                    self.learn_from_end(index, &end.attempt, since);
                }
                self.complete_task(&end.attempt);
            }
            Outcome::Failed => {
                if !self.has_failed(&end.attempt) {
                    self.record_outcome(index, id, true);
                }
                self.record_failure(index, &end.attempt);
            }
            Outcome::Stopped | Outcome::Lapsed | Outcome::Broken | Outcome::Alone => {}
        }
        if end.outcome != Outcome::Done {
            self.discard_step_duration(&end.attempt);
        }
        self.note_gang_end(end);
        let ended_now = self.jobs.get(&id).is_none_or(|job| job.state.is_final());
        let row = if ended_now {
            Row::Job(id)
        } else {
            self.mark_ready(id);
            Scheduler::block_of(end.attempt.task)
        };
        self.journal.record(row, Some(deferred));
    }

    /// Marks a job as possibly having tasks that can start.
    pub(super) fn mark_ready(&mut self, id: JobId) {
        self.ready.insert(id);
        self.ranking.mark_changed(id);
        self.dirty = true;
    }

    /// Logs an end other than `Done`.
    fn log_abnormal_end(&mut self, index: usize, end: &End) {
        if end.outcome == Outcome::Done {
            return;
        }
        let counts = end.outcome == Outcome::Failed && !self.has_failed(&end.attempt);
        let decision = Decision::Ended {
            attempt: end.attempt,
            worker: self.workers[index].entry.id.clone(),
            outcome: end.outcome,
            failures: self.failures_of(&end.attempt) + u32::from(counts),
        };
        self.log(decision);
    }

    fn count_late_failure(&mut self, index: usize, end: &End) {
        let id = end.attempt.task.step.job;
        if self.jobs.get(&id).is_none_or(|job| job.state.is_final()) {
            return;
        }
        self.record_failure(index, &end.attempt);
        let has_failed = self.jobs.get(&id).is_none_or(|job| job.state.is_final());
        let row = if has_failed {
            Row::Job(id)
        } else {
            Scheduler::block_of(end.attempt.task)
        };
        self.workers[index].unstored.insert(end.number);
        let deferred = Deferred::End {
            worker: index,
            number: end.number,
        };
        self.journal.record(row, Some(deferred));
    }

    /// Records the run time of a task. Expected run times are those near the task's data or group.
    fn record_duration(&mut self, index: usize, attempt: &Attempt, ran: Duration) {
        if let Some(job) = self.jobs.get(&attempt.task.step.job) {
            let queue = job.queue.clone();
            let ran = match self.slowdown_on(job, attempt, &self.workers[index]) {
                Some(slowdown) => order::scaled(ran, 1.0 / slowdown),
                None => ran,
            };
            self.task_durations.entry(queue).or_default().record(ran);
        }
    }

    /// Discards the start time of a step: with a run that was in vain, the step's duration would
    /// distort the average.
    fn discard_step_duration(&mut self, attempt: &Attempt) {
        if let Some(job) = self.jobs.get_mut(&attempt.task.step.job) {
            job.steps[usize::from(attempt.task.step.step)].started = None;
        }
    }

    /// Marks a task as done, and the whole step if the task belongs to a gang.
    fn complete_task(&mut self, attempt: &Attempt) {
        let id = attempt.task.step.job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let number = usize::from(attempt.task.step.step);
        let gang = job.is_gang(number);
        let step = &mut job.steps[number];
        if gang {
            // One member's end completes the gang. The capacity of the others is freed when their
            // own ends are reported.
            step.remaining = 0;
        }
        let task = &mut step.tasks[attempt.task.index as usize];
        if task.place != Place::Done {
            task.place = Place::Done;
            if !gang {
                step.remaining -= 1;
            }
        }
        if step.remaining == 0
            && let Some(started) = step.started.take()
            // Steps that have waited for a rack or have run elsewhere take longer than one that is near.
            && !step.spread
            && step.wait == Wait::None
        {
            let queue = job.queue.clone();
            let step_time = self.now.since(started);
            self.step_durations
                .entry(queue)
                .or_default()
                .record(step_time);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.steps.iter().all(|step| step.remaining == 0) {
            // Gang members whose end has not been reported yet are not stopped.
            self.set_final_state(id, State::Completed);
        }
    }

    /// Returns how many runs of an attempt's task have failed, or of its gang if it belongs to one.
    fn failures_of(&self, attempt: &Attempt) -> u32 {
        let number = usize::from(attempt.task.step.step);
        let Some(job) = self.jobs.get(&attempt.task.step.job) else {
            return 0;
        };
        let Some(step) = job.steps.get(number) else {
            return 0;
        };
        if job.is_gang(number) {
            return step.gang_failures();
        }
        let task = step.tasks.get(attempt.task.index as usize);
        task.map_or(0, |task| task.failures)
    }

    /// Tells whether another member of a gang has reported an attempt's run as failed.
    fn has_failed(&self, attempt: &Attempt) -> bool {
        let number = usize::from(attempt.task.step.step);
        let job = self.jobs.get(&attempt.task.step.job);
        let step = job.and_then(|job| job.steps.get(number));
        let reports = |task: &Task| task.failed_runs.contains(&attempt.run);
        step.is_some_and(|step| step.tasks.iter().any(reports))
    }

    /// Counts a failure and fails the job once its queue's limit of attempts is reached. The members of
    /// a gang fail together, so that only the first one that reports a run counts.
    fn record_failure(&mut self, index: usize, attempt: &Attempt) {
        let id = attempt.task.step.job;
        let counts = !self.has_failed(attempt);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let attempts = self.queues.get(&job.queue).map(|queue| queue.attempts);
        let number = usize::from(attempt.task.step.step);
        let gang = job.is_gang(number);
        let task = &mut job.steps[number].tasks[attempt.task.index as usize];
        task.failures += 1;
        if gang {
            task.record_failed_run(attempt.run);
        }
        if !counts {
            return;
        }
        task.avoid = Some(index);
        let failures = self.failures_of(attempt);
        if attempts.is_some_and(|attempts| failures >= attempts) {
            self.finish(id, State::Failed);
        }
    }

    /// Releases an attempt that does not run and never will, without counting it as ended.
    pub(super) fn mark_lost(&mut self, index: usize, attempt: Attempt, evidence: Evidence) {
        self.stopping.remove(&attempt);
        self.mark_settled(&attempt);
        let id = attempt.task.step.job;
        let requirements = self.requirements_of(&attempt);
        let Some(job) = self.jobs.get_mut(&id) else {
            self.workers[index].attempts.remove(&attempt);
            return;
        };
        let job_ended = job.state.is_final();
        let account = job.account.clone();
        if let Some(task) = job.task_mut(attempt.task)
            && matches!(task.place, Place::On { worker, run, .. }
                if worker == index && run == attempt.run)
        {
            task.place = Place::Waiting;
            if !job_ended {
                self.mark_ready(id);
            }
        }
        if let Some((size, booked, _)) = requirements {
            self.workers[index].release(&attempt, &booked);
            self.refund(account.as_ref(), &size);
        }
        self.mark_capacity_freed(index);
        let worker = self.workers[index].entry.id.clone();
        self.log(Decision::Lost {
            attempt,
            worker,
            evidence,
        });
    }
}
