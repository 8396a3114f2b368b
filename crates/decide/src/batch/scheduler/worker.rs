//! Registration, reports, silence and removal of workers.

use std::collections::BTreeSet;
use std::time::Duration;

use super::super::event::{Action, Decision, Evidence};
use super::super::fleet::{Contact, Entry, Worker};
use super::super::job::{Phase, Place};
use super::super::record::Row;
use super::super::report::{Report, Running};
use super::super::{Attempt, JobId, State};
use super::Scheduler;

/// How many different jobs have to fail in a row on a worker for it to be quarantined. One task in
/// twenty fails by itself, so four in a row are hardly a coincidence.
const QUARANTINE_AFTER_FAILURES: usize = 4;

/// How long nothing is started on a quarantined worker.
const QUARANTINE_DURATION: Duration = Duration::from_secs(3);

impl Scheduler {
    /// Replaces the known registry with its current entries.
    pub fn update_registry(&mut self, entries: Vec<Entry>) {
        let mut listed = BTreeSet::new();
        for entry in entries {
            listed.insert(entry.id.clone());
            self.update_entry(entry);
        }
        for worker in &mut self.workers {
            if worker.contact != Contact::Gone {
                worker.listed = listed.contains(&worker.entry.id);
            }
        }
        self.ranking.invalidate();
    }

    fn update_entry(&mut self, entry: Entry) {
        let taking_over = self.is_taking_over();
        if let Some(&index) = self.by_id.get(&entry.id) {
            let worker = &mut self.workers[index];
            if worker.entry.born_ms == entry.born_ms && worker.entry.address == entry.address {
                worker.entry.status = entry.status;
                return;
            }
            // The clock of a worker may have been set back. Otherwise an earlier start time is that of a former
            // incarnation, or comes from another writer.
            let answers = worker.restarted_as == Some(entry.born_ms);
            let has_ended = worker.contact == Contact::Unclaimed && worker.attempts.is_empty();
            let replaces = answers || (has_ended && !taking_over);
            if worker.entry.born_ms > entry.born_ms && !replaces {
                return;
            }
            let follows_roster = worker.in_roster || worker.follows_roster;
            self.restart_worker(index, entry.born_ms);
            self.journal.record(Row::Worker(entry.id.clone()), None);
            self.attach(Worker {
                follows_roster,
                ..Worker::new(entry)
            });
            return;
        }
        self.journal.record(Row::Worker(entry.id.clone()), None);
        self.attach(Worker::new(entry));
    }

    /// Adds a worker of the stored roster. Tasks may run there even if the registry no longer lists
    /// it.
    pub(super) fn restore_worker(&mut self, entry: Entry) {
        self.attach(Worker {
            listed: false,
            in_roster: true,
            ..Worker::new(entry)
        });
    }

    fn attach(&mut self, mut worker: Worker) {
        let index = self.workers.len();
        worker.unsettled = self.unsettled_runs(&worker.entry.id);
        worker.evacuated = self.evacuated.contains(&worker.entry.failure_domain);
        self.by_id.insert(worker.entry.id.clone(), index);
        self.workers.push(worker);
        self.actions.push(Action::Attach { worker: index });
    }

    /// Returns the worker with an index.
    ///
    /// # Panics
    ///
    /// Panics if there is no worker with this index.
    pub fn worker(&self, index: usize) -> &Worker {
        &self.workers[index]
    }

    /// Removes an incarnation of a worker: nothing runs there any more.
    ///
    /// An abandoned worker may only have been cut off, so its id is forgotten: it is attached again
    /// when the registry lists it again, unless a later incarnation has answered.
    pub fn remove_worker(&mut self, index: usize) {
        if self.workers[index].contact == Contact::Gone {
            return;
        }
        if self.is_abandoned(index) && self.workers[index].restarted_as.is_none() {
            self.by_id.remove(&self.workers[index].entry.id);
        }
        self.workers[index].contact = Contact::Gone;
        self.workers[index].listed = false;
        self.visits.remove_worker(index);
        let row = Row::Worker(self.workers[index].entry.id.clone());
        self.journal.record(row, None);
        self.actions.push(Action::Detach { worker: index });
        self.expire_leases(index);
    }

    /// Marks a worker that does not answer as silent.
    pub fn mark_silent(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        if worker.contact == Contact::Claimed {
            worker.contact = Contact::Silent;
        }
    }

    /// Tells whether a worker can be removed: it is not in the registry, does not answer and has no
    /// attempts.
    pub fn is_abandoned(&self, index: usize) -> bool {
        let worker = &self.workers[index];
        !worker.listed && worker.attempts.is_empty() && worker.contact != Contact::Claimed
    }

    /// Handles a report of a worker.
    pub fn report(&mut self, index: usize, report: &Report) {
        let worker = &mut self.workers[index];
        if worker.contact == Contact::Gone {
            return;
        }
        if report.born_ms != worker.entry.born_ms && worker.entry.born_ms != 0 {
            // Another incarnation of the worker answers; the registry will list it.
            self.restart_worker(index, report.born_ms);
            return;
        }
        if report.is_complete() {
            if worker.contact != Contact::Claimed {
                worker.contact = Contact::Claimed;
                self.ranking.invalidate();
            }
            // It shows what became of the attempts.
            self.expired.remove(&index);
        }
        let orphans = !std::mem::take(&mut self.workers[index].orphans).is_empty();
        for running in &report.running {
            self.handle_running(index, running);
        }
        let highest_end = self.workers[index].highest_end;
        for end in report.ended.iter().filter(|end| end.number > highest_end) {
            self.workers[index].highest_end = self.workers[index].highest_end.max(end.number);
            self.handle_end(index, end);
        }
        if orphans && self.workers[index].orphans.is_empty() {
            self.mark_capacity_freed(index);
        }
        if report.is_complete() {
            self.drop_expired_orders(index, report);
        }
        self.acknowledge(index);
    }

    /// Marks attempts as lost whose start orders have expired without being carried out.
    fn drop_expired_orders(&mut self, index: usize, report: &Report) {
        let has_expired = |attempt: &&Attempt| {
            let job = self.jobs.get(&attempt.task.step.job);
            let place = job.and_then(|job| {
                let step = job.steps.get(usize::from(attempt.task.step.step))?;
                Some(step.tasks.get(attempt.task.index as usize)?.place)
            });
            match place {
                Some(Place::On {
                    phase: Phase::Unconfirmed(until),
                    ..
                }) => report.clock_ms > until,
                _ => false,
            }
        };
        let attempts = self.workers[index].attempts.keys();
        let runs = |attempt: &&Attempt| report.running.iter().any(|run| run.attempt == **attempt);
        let expired: Vec<Attempt> = attempts
            .filter(has_expired)
            .filter(|attempt| !runs(attempt))
            .copied()
            .collect();
        self.drop_attempts(index, &expired, Evidence::OrderExpired);
    }

    /// Handles the report that an attempt runs on a worker.
    fn handle_running(&mut self, index: usize, running: &Running) {
        let attempt = running.attempt;
        self.move_to_next(index, attempt);
        let id = attempt.task.step;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            self.stop_orphan(index, attempt);
            return;
        };
        let job_ended = job.state.is_final();
        let inherited = job.inherited;
        let now = self.now;
        let first = self.setup.first_run();
        let Some(task) = job.task_mut(attempt.task) else {
            self.stop_orphan(index, attempt);
            return;
        };
        task.record_progress(running);
        task.progress_at = now;
        match &mut task.place {
            Place::On {
                worker,
                run,
                phase,
                since,
            } if *worker == index && *run == attempt.run => {
                let since = *since;
                *phase = Phase::Running;
                self.note_begun(id.job);
                self.note_gang_progress(running);
                self.learn_from_progress(index, running, since);
            }
            Place::Waiting
                if inherited && !job_ended && (task.run == first || attempt.run >= task.run) =>
            {
                task.place = Place::On {
                    worker: index,
                    run: attempt.run,
                    phase: Phase::Running,
                    since: now,
                };
                task.run = task.run.max(attempt.run);
                self.adopt(index, attempt);
            }
            Place::Waiting | Place::On { .. } | Place::Done => self.stop_orphan(index, attempt),
        }
    }

    fn adopt(&mut self, index: usize, attempt: Attempt) {
        let Some((size, booked, purpose)) = self.requirements_of(&attempt) else {
            return;
        };
        self.workers[index].book(attempt, &booked, purpose);
        if let Some(job) = self.jobs.get_mut(&attempt.task.step.job) {
            job.state = State::Running;
            let is_gang = job.is_gang(usize::from(attempt.task.step.step));
            let step = &mut job.steps[usize::from(attempt.task.step.step)];
            step.run = step.run.max(attempt.run);
            let account = job.account.clone();
            self.charge(account.as_ref(), &size);
            self.note_reported(account.as_ref(), &size);
            if is_gang {
                self.inherit_assembly(attempt.task.step);
            }
        }
    }

    /// Records an attempt that should not run and orders it to stop, unless it was ordered already.
    fn stop_orphan(&mut self, index: usize, attempt: Attempt) {
        self.workers[index].orphans.insert(attempt);
        if !self.stopping.contains_key(&attempt) {
            self.stop(index, attempt);
        }
    }

    /// Records whether a task of a job has failed on a worker; quarantines the worker after too
    /// many failures in a row.
    pub(super) fn record_outcome(&mut self, index: usize, job: JobId, failed: bool) {
        let worker = &mut self.workers[index];
        if !failed {
            worker.failures.clear();
            return;
        }
        worker.failures.insert(job);
        if worker.failures.len() >= QUARANTINE_AFTER_FAILURES {
            worker.quarantined_until = Some(self.now.after(QUARANTINE_DURATION));
            let decision = Decision::Quarantined {
                worker: worker.entry.id.clone(),
                failures: worker.failures.len(),
            };
            self.log(decision);
        }
    }
}
