//! Learning of the workers' speeds, and what steps make of them.
//!
//! Steps that have little time left prefer fast workers. Steps with time to spare prefer slow ones,
//! which leaves the fast ones to the others. No step waits for a worker of another speed.

use std::time::Duration;

use crate::time::Time;

use super::super::Attempt;
use super::super::event::Decision;
use super::super::job::Place;
use super::super::order::{self, Lateness};
use super::super::report::Running;
use super::super::spec::Purpose;
use super::super::speed::{self, Class, Speed};
use super::Scheduler;
use super::target::Candidate;

/// The least progress from which the run time of a running task is extrapolated.
const MIN_PROGRESS: f64 = 0.5;

/// The time to spare, as a multiple of the run time of a task, with which a step leaves fast workers
/// to others. A worker of 0.57 times the average takes half of it.
const MIN_TIME_TO_SPARE: f64 = 1.5;

/// By how much the time to spare must exceed what a slow worker takes of it, since run times spread.
const SAFETY_FACTOR: f64 = 2.0;

/// Added to the score of a slow worker on which a step would be late. It exceeds what a worker outside
/// the rack with the step's data costs, and not what one that is reserved for a gang does.
const SLOW_PENALTY: f64 = 2.5;

/// Subtracted from the score of a worker whose speed suits a step. It decides before the fit, and not
/// before the rack with the step's data.
const SUITABLE_BONUS: f64 = 1.0;

/// Which workers a step prefers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Preference {
    /// Those that fit best.
    Fit,
    /// Fast ones: it has little time left.
    Fast,
    /// Slow ones: it has time to spare.
    Slow {
        /// The lowest speed with which it is still on time.
        least: f64,
    },
}

impl Preference {
    /// Returns what is added to the score of a worker.
    pub(super) fn penalty(self, speed: &Speed) -> f64 {
        match (self, speed.class()) {
            (Preference::Fast, Class::Slow) => SLOW_PENALTY,
            (Preference::Slow { least }, Class::Slow) if speed.factor() < least => SLOW_PENALTY,
            (Preference::Fast, Class::Fast) | (Preference::Slow { .. }, Class::Slow) => {
                -SUITABLE_BONUS
            }
            (Preference::Slow { .. }, Class::Fast) => SUITABLE_BONUS,
            (Preference::Fit, _) | (_, Class::Average) => 0.0,
        }
    }

    /// Tells whether a worker suits the members of a gang, which is as slow as its slowest member.
    pub(super) fn suits_gang(self, speed: &Speed) -> bool {
        match self {
            Preference::Fit => true,
            Preference::Fast => speed.class() != Class::Slow,
            Preference::Slow { least } => speed.class() == Class::Slow && speed.factor() >= least,
        }
    }
}

impl Scheduler {
    /// Learns from a run that has done its task.
    pub(super) fn learn_from_end(&mut self, index: usize, attempt: &Attempt, since: Time) {
        let ran = self.now.since(since);
        self.learn(index, attempt, ran, |_| true);
    }

    /// Learns from the progress of a running task. A run that has lasted less than usual is awaited: it
    /// may yet fail, and a worker that fails fast is not a fast one.
    pub(super) fn learn_from_progress(&mut self, index: usize, running: &Running, since: Time) {
        if !(MIN_PROGRESS..=1.0).contains(&running.progress) {
            return;
        }
        let elapsed = self.now.since(since);
        let expected = order::scaled(elapsed, 1.0 / running.progress);
        let is_long = |typical: Duration| elapsed >= typical / 2;
        self.learn(index, &running.attempt, expected, is_long);
    }

    /// Learns from the run time of a task if it is comparable to others of its queue and `accepts`
    /// their typical run time. Each task counts once.
    ///
    /// Gangs are as slow as their slowest member, other runs than the first may resume from a
    /// checkpoint, and tasks are slow outside the rack of their data.
    fn learn(
        &mut self,
        index: usize,
        attempt: &Attempt,
        ran: Duration,
        accepts: impl Fn(Duration) -> bool,
    ) {
        let first_run = self.setup.first_run() + 1;
        let Some(job) = self.jobs.get_mut(&attempt.task.step.job) else {
            return;
        };
        let number = usize::from(attempt.task.step.step);
        let Some(step) = job.spec.as_ref().and_then(|spec| spec.step(number)) else {
            return;
        };
        let worker = &mut self.workers[index];
        let near = step.near.as_ref();
        let is_comparable = !job.inherited
            && attempt.run == first_run
            && step.purpose == Purpose::Work
            && !step.gang
            && !step.same_rack
            && near.is_none_or(|near| *near == worker.entry.rack);
        if !is_comparable {
            return;
        }
        let queue = job.queue.clone();
        let Some(task) = job.task_mut(attempt.task) else {
            return;
        };
        let run_times = self.run_times.entry(queue).or_default();
        if task.measured || !accepts(run_times.typical()) {
            return;
        }
        task.measured = true;
        let deviation = run_times.compare(ran);
        run_times.record(ran, &worker.speed);
        if let Some(deviation) = deviation {
            worker.speed.record(deviation, self.now);
        }
    }

    /// Classifies the workers anew and logs those whose class has changed.
    pub(super) fn update_speeds(&mut self) {
        let now = self.now;
        let mut changed = Vec::new();
        let is_uneven = speed::is_uneven(self.different_workers, self.workers.len());
        self.different_workers = 0;
        for worker in &mut self.workers {
            let speed = &mut worker.speed;
            if let Some(class) = speed.update(now, is_uneven) {
                changed.push(Decision::SpeedChanged {
                    worker: worker.entry.id.clone(),
                    class,
                    percent: speed.percent(),
                    runs: speed.runs(),
                });
            }
            self.different_workers += usize::from(speed.class() != Class::Average);
        }
        for decision in changed {
            self.log(decision);
        }
    }

    /// Returns which workers a step prefers.
    pub(super) fn preference(&self, candidate: &Candidate<'_>) -> Preference {
        if self.different_workers == 0 || candidate.step.purpose.runs_until_cancelled() {
            return Preference::Fit;
        }
        if candidate.rank.lateness == Lateness::Worthless {
            // It gains nothing on a fast worker, which others may need to be on time.
            return Preference::Slow { least: 0.0 };
        }
        let time = self.task_time(&candidate.queue.name, candidate.step);
        let spare = candidate.rank.latest.since(self.now);
        if spare < order::scaled(time, MIN_TIME_TO_SPARE) {
            return Preference::Fast;
        }
        let spare = spare.as_secs_f64() / SAFETY_FACTOR;
        let time = time.as_secs_f64();
        Preference::Slow {
            least: time / (time + spare),
        }
    }

    /// Returns how long a run would have taken on an average worker.
    pub(super) fn average_duration(
        &self,
        index: usize,
        attempt: &Attempt,
        ran: Duration,
    ) -> Duration {
        let mut factor = self.workers[index].speed.factor();
        let number = usize::from(attempt.task.step.step);
        let job = self.jobs.get(&attempt.task.step.job);
        if let Some(job) = job.filter(|job| self.different_workers > 0 && job.is_gang(number)) {
            let others = job.steps[number].tasks.iter();
            let speeds = others.filter_map(|task| match task.place {
                Place::On { worker, .. } => Some(self.workers[worker].speed.factor()),
                Place::Waiting | Place::Done => None,
            });
            factor = speeds.fold(factor, f64::min);
        }
        order::scaled(ran, factor)
    }
}
