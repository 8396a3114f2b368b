//! Workers that start again, and runs whose order may have reached their next incarnation.
//!
//! Calls name a worker by its id, which its incarnations share. So an order that is under way while the
//! worker starts again may be carried out by the next incarnation, which is why only a report of the
//! former one shows that a run was its own. Any other run is given up only once its order has an
//! outcome, the next incarnation has then accepted an order to stop it, after which it rejects late
//! orders to start it, and does not show it after that.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::name::Name;
use crate::time::Time;

use super::super::Attempt;
use super::super::event::{Action, Decision};
use super::super::fleet::{Contact, Worker};
use super::super::job::{Phase, Place};
use super::super::record::Row;
use super::super::report::Report;
use super::Scheduler;

/// How often the next incarnation is asked to stop runs until it has answered.
const SETTLE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A run whose start order may have reached a later incarnation of its worker.
#[derive(Debug)]
pub(super) struct Unsettled {
    /// The former incarnation, for which the order was meant.
    worker: usize,
    /// When the run has ended for certain if no next incarnation answers: its lease has expired.
    until: Time,
    /// The incarnation that was last asked to stop it, and when it is asked again.
    asked: Option<(usize, Time)>,
    /// Whether the run is to be stopped if it is found.
    pub(super) is_unwanted: bool,
}

impl Scheduler {
    /// Removes an incarnation of a worker of which another one answers or is registered.
    pub(super) fn restart_worker(&mut self, index: usize, born_ms: u64) {
        if self.workers[index].contact == Contact::Gone {
            return;
        }
        let is_same = self.workers[index].entry.born_ms == born_ms;
        let until = self.now.after(self.setup.longest_lease);
        let attempts: Vec<Attempt> = self.workers[index].attempts.keys().copied().collect();
        for attempt in attempts {
            // The same incarnation may be registered at another address.
            if is_same || self.phase_of(&attempt) != Some(Phase::Running) {
                let is_unwanted = self.stopping.remove(&attempt).is_some();
                let run = Unsettled {
                    worker: index,
                    until,
                    asked: None,
                    is_unwanted,
                };
                self.unsettled.insert(attempt, run);
            }
        }
        let worker = self.workers[index].entry.id.clone();
        let unsettled = self.unsettled_runs(&worker).len();
        self.log(Decision::Restarted { worker, unsettled });
        self.workers[index].restarted_as = Some(born_ms);
        self.remove_worker(index);
    }

    /// Returns what is known of an attempt that is on a worker.
    fn phase_of(&self, attempt: &Attempt) -> Option<Phase> {
        let job = self.jobs.get(&attempt.task.step.job)?;
        let step = job.steps.get(usize::from(attempt.task.step.step))?;
        match step.tasks.get(attempt.task.index as usize)?.place {
            Place::On { run, phase, .. } if run == attempt.run => Some(phase),
            Place::Waiting | Place::On { .. } | Place::Done => None,
        }
    }

    /// Tells whether an order to start an attempt has no outcome yet.
    fn is_under_way(&self, attempt: &Attempt) -> bool {
        matches!(self.phase_of(attempt), Some(Phase::Ordered { .. }))
    }

    /// Returns the runs of former incarnations of a worker that may still start on it.
    pub(super) fn unsettled_runs(&self, id: &Name) -> BTreeSet<Attempt> {
        let runs = self.unsettled.iter();
        runs.filter(|(_, run)| self.workers[run.worker].entry.id == *id)
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    /// Tells whether a worker has started again and its next incarnation is not registered yet.
    pub(super) fn awaits_next(&self, worker: &Worker) -> bool {
        worker.restarted_as.is_some() && self.next_incarnation(&worker.entry.id).is_none()
    }

    /// Returns the registered incarnation of a worker, unless it is known to have ended.
    fn next_incarnation(&self, id: &Name) -> Option<usize> {
        let index = *self.by_id.get(id)?;
        (self.workers[index].contact != Contact::Gone).then_some(index)
    }

    /// Has the next incarnations of workers stop the runs that may still start on them, and gives up
    /// those whose lease has expired for certain.
    pub(super) fn settle_runs(&mut self) {
        let now = self.now;
        let mut expired = Vec::new();
        let mut due: Vec<(usize, Attempt)> = Vec::new();
        let attempts: Vec<Attempt> = self.unsettled.keys().copied().collect();
        for attempt in attempts {
            let is_under_way = self.is_under_way(&attempt);
            let Some(run) = self.unsettled.get_mut(&attempt) else {
                continue;
            };
            if is_under_way {
                // An order without an outcome may still reach an even later incarnation.
                run.until = now.after(self.setup.longest_lease);
                continue;
            }
            let (until, asked) = (run.until, run.asked);
            let id = &self.workers[run.worker].entry.id;
            let next = self.next_incarnation(id);
            // Its first report shows what has started already.
            let claimed = next.filter(|&next| self.workers[next].contact == Contact::Claimed);
            let Some(next) = claimed else {
                if now >= until {
                    expired.push(attempt);
                }
                continue;
            };
            let is_waiting = |(worker, again_at)| worker == next && now < again_at;
            if !asked.is_some_and(is_waiting) {
                due.push((next, attempt));
            }
        }
        for attempt in expired {
            self.give_up_unsettled(&attempt);
        }
        due.sort_unstable();
        for group in due.chunk_by(|(one, _), (other, _)| one == other) {
            let worker = group[0].0;
            let attempts: Vec<Attempt> = group.iter().map(|(_, attempt)| *attempt).collect();
            for attempt in &attempts {
                if let Some(run) = self.unsettled.get_mut(attempt) {
                    run.asked = Some((worker, now.after(SETTLE_RETRY_INTERVAL)));
                }
            }
            self.actions.push(Action::Settle { worker, attempts });
        }
    }

    /// Handles the report of a worker that has accepted orders to stop these attempts. It starts none
    /// that the report does not show.
    pub fn handle_settled(&mut self, worker: usize, attempts: &[Attempt], report: &Report) {
        if self.workers[worker].contact == Contact::Gone || !report.is_complete() {
            return;
        }
        for attempt in attempts {
            let is_awaited = self.workers[worker].unsettled.contains(attempt);
            // What it shows is handled with the next report to the renewer.
            if is_awaited && !report.shows(attempt) {
                self.give_up_unsettled(attempt);
            }
        }
    }

    /// Lets a run count as ended with the former incarnation, once no other scheduler has led.
    fn give_up_unsettled(&mut self, attempt: &Attempt) {
        if let Some(run) = self.mark_settled(attempt) {
            self.expired.insert(run.worker, None);
        }
    }

    /// Ends the uncertainty about a run.
    pub(super) fn mark_settled(&mut self, attempt: &Attempt) -> Option<Unsettled> {
        let run = self.unsettled.remove(attempt)?;
        let id = self.workers[run.worker].entry.id.clone();
        match self.next_incarnation(&id) {
            Some(next) => {
                self.workers[next].unsettled.remove(attempt);
                self.mark_capacity_freed(next);
            }
            None => self.journal.record(Row::Worker(id), None),
        }
        Some(run)
    }

    /// Books a run on the incarnation that has carried out its order.
    pub(super) fn move_to_next(&mut self, index: usize, attempt: Attempt) {
        let Some(run) = self.unsettled.get(&attempt) else {
            return;
        };
        if self.workers[run.worker].entry.id != self.workers[index].entry.id {
            return;
        }
        let Some(former) = self.mark_settled(&attempt) else {
            return;
        };
        let requirements = self.requirements_of(&attempt);
        self.workers[former.worker].attempts.remove(&attempt);
        let job = self.jobs.get_mut(&attempt.task.step.job);
        if let Some(task) = job.and_then(|job| job.task_mut(attempt.task))
            && let Place::On {
                worker, run, phase, ..
            } = &mut task.place
            && *run == attempt.run
        {
            *worker = index;
            *phase = Phase::Running;
            if let Some((_, booked, purpose)) = requirements {
                self.workers[index].book(attempt, &booked, purpose);
            }
        }
        self.note_begun(attempt.task.step.job);
        if former.is_unwanted {
            self.stop(index, attempt);
        }
    }
}
