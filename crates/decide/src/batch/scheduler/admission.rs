//! Admission control: refuses jobs that would wait too long behind the backlog.

use std::time::Duration;

use crate::name::Name;
use crate::size::Size;

use super::super::admission::Backlog;
use super::super::job::Place;
use super::super::order::{self, Lateness, Rank};
use super::super::spec;
use super::Scheduler;

/// The time after which clients may retry if their queue is not known here yet.
const UNKNOWN_QUEUE_PAUSE: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Returns the pause after which a job may be submitted again, or `None` if it is accepted now.
    pub(super) fn refuse(
        &mut self,
        queue: &Name,
        spec: &spec::Spec,
        excess: bool,
    ) -> Option<Duration> {
        let Some(queue) = self.queues.get(queue).cloned() else {
            return Some(UNKNOWN_QUEUE_PAUSE);
        };
        if spec.schedule.is_some() || spec.runs_until_cancelled() {
            // These run later or indefinitely, so the present backlog says little about them.
            return None;
        }
        let critical_path = spec.critical_path(|step| self.task_time(&queue.name, step));
        let slack = order::scaled(critical_path, (queue.stretch - 1.0).max(0.0))
            .saturating_add(queue.objective);
        let pause = self.backlog.retry_after(queue.priority, slack, excess);
        if pause.is_none() {
            // Accepted jobs count at once, since many may come in a burst before the backlog is
            // measured again.
            let priority = queue.priority;
            let name = queue.name.clone();
            for step in &spec.steps {
                let time = self.task_time(&name, step);
                let fraction = self.fleet_fraction(&step.size.times(u64::from(step.count)));
                self.backlog.add(priority, fraction, time);
            }
        }
        pause
    }

    /// Measures the backlog. Late work is left out, since it is ranked last, and so is work that no
    /// worker can run, which keeps none busy.
    pub(super) fn measure_backlog(&mut self) {
        self.capacity = self.expected_capacity();
        let mut backlog = Backlog::default();
        let counts = |rank: &&Rank| {
            rank.lateness <= Lateness::Excess && !self.ranking.is_out_of_reach(rank.step)
        };
        for rank in self.ranking.ranks().filter(counts) {
            let Some(job) = self.jobs.get(&rank.step.job) else {
                continue;
            };
            let number = usize::from(rank.step.step);
            let Some(step) = job.spec.as_ref().and_then(|spec| spec.step(number)) else {
                continue;
            };
            let tasks = job.steps[number].tasks.iter();
            let waiting = tasks.filter(|task| task.place == Place::Waiting).count() as u64;
            let time = self.task_time(&job.queue, step);
            let fraction = self.fleet_fraction(&step.size.times(waiting));
            backlog.add(rank.priority, fraction, time);
        }
        self.backlog = backlog;
    }

    fn fleet_fraction(&self, size: &Size) -> f64 {
        if self.capacity.is_zero() {
            return 0.0;
        }
        size.dominant_share(&self.capacity)
    }

    /// Returns the capacity for the work that waits. A new scheduler expects the workers of its
    /// predecessors to answer; with only those that have, it would refuse what they can run.
    fn expected_capacity(&self) -> Size {
        let taking_over = self.now < self.takeover_ends_at;
        let expected = self.workers.iter().filter(|worker| {
            worker.is_schedulable(self.now) || (taking_over && worker.may_answer())
        });
        expected.fold(Size::ZERO, |sum, worker| sum.plus(&worker.entry.capacity))
    }
}
