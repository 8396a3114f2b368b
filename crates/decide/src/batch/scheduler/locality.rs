//! Waits of steps for a rack in which their tasks run faster, see [`super::super::locality`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::name::Name;
use crate::size::Size;
use crate::time::Time;

use super::super::Attempt;
use super::super::StepId;
use super::super::event::{Cause, Decision};
use super::super::fleet::Worker;
use super::super::job::{Job, Phase, Place};
use super::super::locality::{self, Opening, Placement, Run, Terms, Wait};
use super::super::order::{self, Rank};
use super::super::spec::Step;
use super::Scheduler;
use super::question::question_duration;
use super::target::{Candidate, Targets, suits};

/// How long before it expires a ticket is renewed while its step waits, besides the time that the
/// question takes. The answer comes over another instance.
const RENEWAL_MARGIN: Duration = Duration::from_millis(150);

/// Tasks that wait for a rack.
#[derive(Clone, Debug)]
pub(super) struct Held {
    rank: Rank,
    rack: Name,
    /// The booked size of one task.
    size: Size,
    tasks: u64,
}

/// Where the tasks of a step may start in this pass.
#[derive(Debug, Default)]
pub(super) struct Scope {
    /// The only rack, or `None` if they may start anywhere.
    pub(super) rack: Option<Name>,
    /// How many of them wait.
    pub(super) held: usize,
}

/// The racks in which the tasks of a step run fast.
enum Preferred {
    /// One rack; tasks that run there are fast, whatever the others do.
    Rack(Name),
    /// Any rack in which all tasks run.
    AnyRack,
}

impl Scheduler {
    /// Notes when placement first visits a step that runs faster in some racks. It tells when a step
    /// was due that has waited for others.
    pub(super) fn note_visit(&mut self, candidate: &Candidate<'_>) {
        let Candidate { id, step, .. } = *candidate;
        if self.setup.remote_slowdown.is_none() || (step.near.is_none() && !step.same_rack) {
            return;
        }
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.steps[usize::from(id.step)].visited.get_or_insert(now);
        }
    }

    /// Decides where the next `tasks` tasks of a step may start, and how many of them wait for a
    /// near place.
    pub(super) fn scope(&mut self, candidate: &Candidate<'_>, tasks: usize) -> Scope {
        let id = candidate.id;
        let Some(slowdown) = self.setup.remote_slowdown else {
            return Scope::default();
        };
        let Some(preferred) = self.preferred(candidate) else {
            self.end_wait(id);
            return Scope::default();
        };
        let targets = self.targets(candidate);
        let rooms = self.rooms(&targets);
        let needed = tasks as u64;
        let valid = |rack: &Name| rooms.get(rack).map_or(0, |(valid, _)| *valid);
        let mut racks = self.eligible_racks(candidate);
        if let Preferred::Rack(rack) = &preferred {
            racks.retain(|other, _| other == rack);
        }
        let fitting = racks.keys().filter(|rack| valid(rack) >= needed);
        if let Some(rack) = fitting.min_by_key(|rack| valid(rack)) {
            self.held.remove(&id);
            // Single tasks near their data are left to the scores, which also avoid workers on which
            // tasks have failed.
            let confined = candidate.step.gang || candidate.step.near.is_none();
            return Scope {
                rack: confined.then(|| rack.clone()),
                held: 0,
            };
        }
        // With fewer tasks in the rack, the others would be as slow as elsewhere.
        let whole = candidate.step.gang || candidate.step.near.is_none();
        let elsewhere = match preferred {
            _ if candidate.step.gang => targets.count() >= needed,
            Preferred::Rack(rack) => rooms.keys().any(|other| *other != rack),
            Preferred::AnyRack => !rooms.is_empty(),
        };
        if !elsewhere {
            // Nothing is given up, so the step takes what becomes free first.
            self.held.remove(&id);
            return Scope::default();
        }
        let Some(terms) = self.terms(candidate, slowdown) else {
            self.end_wait(id);
            return Scope::default();
        };
        let Some(deadline) = self.wait_deadline(candidate, &terms) else {
            self.end_wait(id);
            return Scope::default();
        };
        let within = deadline.since(self.now);
        // Tasks that only run fast together need all places, so a chance of some is not enough.
        let late_elsewhere = !whole && terms.is_late_elsewhere(self.now);
        let mut best: Option<(u64, Name)> = None;
        for (rack, workers) in racks {
            let missing = needed.saturating_sub(valid(&rack));
            let expired = rooms.get(&rack).map_or(0, |(_, expired)| *expired);
            let openings = self.openings(candidate, &workers, expired);
            let expected = locality::expected_places(&openings, within);
            let ahead = self.ahead(candidate, &rack);
            let held = locality::waiting_tasks(missing, expected, ahead, late_elsewhere);
            if whole && held < missing {
                continue;
            }
            let fewer = best.as_ref().is_some_and(|(other, _)| *other <= held);
            if !fewer {
                best = Some((held, rack));
            }
        }
        let Some((held, rack)) = best.filter(|(held, _)| *held > 0) else {
            self.end_wait(id);
            return Scope::default();
        };
        let all = held + valid(&rack) >= needed;
        let held = if candidate.step.gang { needed } else { held };
        self.hold(candidate, &rack, held, deadline);
        Scope {
            rack: all.then_some(rack),
            held: usize::try_from(held).unwrap_or(tasks).min(tasks),
        }
    }

    /// Returns where the tasks of a step run fast, or `None` if they do everywhere or no longer can.
    fn preferred(&self, candidate: &Candidate<'_>) -> Option<Preferred> {
        if let Some(near) = &candidate.step.near {
            return Some(Preferred::Rack(near.clone()));
        }
        if !candidate.step.same_rack {
            return None;
        }
        let mut racks = self.used_racks(candidate.id).into_iter();
        match (racks.next(), racks.next()) {
            (None, _) => Some(Preferred::AnyRack),
            (Some(rack), None) => Some(Preferred::Rack(rack)),
            (Some(_), Some(_)) => None,
        }
    }

    /// Returns the racks in which tasks of a step run.
    fn used_racks(&self, id: StepId) -> BTreeSet<Name> {
        let state = &self.jobs[&id.job].steps[usize::from(id.step)];
        let racks = state.tasks.iter().filter_map(|task| match task.place {
            Place::On { worker, .. } => Some(self.workers[worker].entry.rack.clone()),
            Place::Waiting | Place::Done => None,
        });
        racks.collect()
    }

    /// Returns how many tasks fit in each rack now, with valid and with expired tickets.
    fn rooms(&self, targets: &Targets) -> BTreeMap<Name, (u64, u64)> {
        let mut rooms: BTreeMap<Name, (u64, u64)> = BTreeMap::new();
        for target in targets.iter() {
            let rack = &self.workers[target.worker].entry.rack;
            let (valid, expired) = rooms.entry(rack.clone()).or_default();
            let sum = if target.ticket_valid { valid } else { expired };
            *sum = sum.saturating_add(target.count);
        }
        rooms
    }

    /// Returns the schedulable workers that may run a step.
    fn eligible_workers(&self, candidate: &Candidate<'_>) -> Vec<usize> {
        let eligible: Vec<usize> = if candidate.queue.advice.is_some() {
            self.advice_of(candidate.id)
                .tickets
                .keys()
                .copied()
                .collect()
        } else {
            let workers = self.workers.iter().enumerate();
            let suitable =
                workers.filter(|(_, worker)| suits(worker, candidate.queue, candidate.step));
            suitable.map(|(index, _)| index).collect()
        };
        let schedulable = |index: &usize| self.workers[*index].is_schedulable(self.now);
        eligible.into_iter().filter(schedulable).collect()
    }

    /// Returns the schedulable workers that may run a step, by rack.
    fn eligible_racks(&self, candidate: &Candidate<'_>) -> BTreeMap<Name, Vec<usize>> {
        let mut racks: BTreeMap<Name, Vec<usize>> = BTreeMap::new();
        for index in self.eligible_workers(candidate) {
            let rack = self.workers[index].entry.rack.clone();
            racks.entry(rack).or_default().push(index);
        }
        racks
    }

    /// Returns what a step gains by running near, or `None` if its job has gone.
    fn terms(&self, candidate: &Candidate<'_>, slowdown: f64) -> Option<Terms> {
        let number = usize::from(candidate.id.step);
        let job = self.jobs.get(&candidate.id.job)?;
        let mut due = self.due_time(job, number);
        if !candidate.step.after.is_empty() && !job.inherited {
            due = due.max(job.steps[number].visited.unwrap_or(due));
        }
        Some(Terms {
            slowdown,
            run: self.task_time(&candidate.queue.name, candidate.step),
            due,
            latest: candidate.rank.latest,
        })
    }

    /// Returns until when a step may wait, or `None` if it doesn't wait any more.
    fn wait_deadline(&self, candidate: &Candidate<'_>, terms: &Terms) -> Option<Time> {
        let now = self.now;
        let step = &self.jobs[&candidate.id.job].steps[usize::from(candidate.id.step)];
        match step.wait {
            _ if candidate.is_late() => None,
            Wait::Ended { .. } => None,
            Wait::Until { until, .. } => (until > now).then_some(until),
            Wait::None => terms.deadline(now),
        }
    }

    /// Returns when places for tasks of a step are expected on the workers of a rack, besides those
    /// that it can take now. `expired` is how many there are for which its tickets have expired.
    fn openings(&self, candidate: &Candidate<'_>, workers: &[usize], expired: u64) -> Vec<Opening> {
        let step = candidate.step;
        let mut openings = Vec::new();
        if let Some(timing) = candidate.queue.advice
            && expired > 0
        {
            // Half of the time, since the answer comes after all of it for certain.
            let after = question_duration(&timing, 1) / 2;
            openings.push(Opening {
                after,
                places: expired,
            });
        }
        for &index in workers {
            let worker = &self.workers[index];
            let mut runs = self.runs_on(worker);
            runs.sort_unstable_by_key(|(rest, _)| *rest);
            let most = |free: &Size| step.booked().times_within(free).min(step.worker_limit());
            let mut free = worker.free;
            let mut places = most(&free);
            for (after, size) in runs {
                free = free.plus(&size);
                let grown = most(&free);
                if grown > places {
                    openings.push(Opening {
                        after,
                        places: grown - places,
                    });
                    places = grown;
                }
            }
        }
        openings
    }

    /// Returns the expected rest of each run on a worker and the size that it frees there.
    fn runs_on(&self, worker: &Worker) -> Vec<(Duration, Size)> {
        let attempts = worker.attempts.keys();
        attempts
            .filter_map(|attempt| self.run(attempt, worker))
            .collect()
    }

    fn run(&self, attempt: &Attempt, worker: &Worker) -> Option<(Duration, Size)> {
        let id = attempt.task.step;
        let job = self.jobs.get(&id.job)?;
        let step = job.spec.as_ref()?.step(usize::from(id.step))?;
        let task = &job.steps[usize::from(id.step)].tasks[attempt.task.index as usize];
        let Place::On { since, phase, .. } = task.place else {
            return None;
        };
        if step.purpose.runs_until_cancelled() {
            return None;
        }
        let mut expected = self.task_time(&job.queue, step);
        if let Some(slowdown) = self.slowdown_on(job, attempt, worker) {
            expected = order::scaled(expected, slowdown);
        }
        // An inherited task has run for longer than this scheduler knows.
        let known = phase == Phase::Running && !job.inherited && task.progress_at > since;
        let run = Run {
            expected,
            elapsed: self.now.since(since),
            progress: known.then(|| (task.progress, self.now.since(task.progress_at))),
        };
        Some((run.rest(), step.booked()))
    }

    /// Returns the factor on the run time of a task on a worker, or `None` if it runs fast there.
    pub(super) fn slowdown_on(&self, job: &Job, attempt: &Attempt, worker: &Worker) -> Option<f64> {
        let slowdown = self.setup.remote_slowdown?;
        let number = usize::from(attempt.task.step.step);
        let step = job.spec.as_ref()?.step(number)?;
        let remote = match &step.near {
            Some(near) => *near != worker.entry.rack,
            None => job.steps[number].spread,
        };
        remote.then_some(slowdown)
    }

    /// Returns how many places in a rack steps of higher rank wait for, as tasks of this step.
    fn ahead(&self, candidate: &Candidate<'_>, rack: &Name) -> f64 {
        let size = candidate.step.booked();
        let ahead = self.held.iter().filter(|(id, held)| {
            **id != candidate.id && held.rank < candidate.rank && held.rack == *rack
        });
        let places = ahead.map(|(_, held)| held.size.dominant_share(&size) * held.tasks as f64);
        places.sum()
    }

    /// Lets tasks of a step wait for a rack.
    fn hold(&mut self, candidate: &Candidate<'_>, rack: &Name, tasks: u64, until: Time) {
        let id = candidate.id;
        let now = self.now;
        let held = Held {
            rank: candidate.rank,
            rack: rack.clone(),
            size: candidate.step.booked(),
            tasks,
        };
        self.held.insert(id, held);
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let age = now.since(job.accepted);
        let step = &mut job.steps[usize::from(id.step)];
        if step.wait != Wait::None {
            return;
        }
        step.wait = Wait::Until { begun: now, until };
        step.cause = Some(Cause::Near);
        let eligible = step.advice.tickets.len();
        self.log(Decision::Waits {
            step: id,
            cause: Cause::Near,
            tasks: usize::try_from(tasks).unwrap_or(usize::MAX),
            fitting: 0,
            eligible,
            age,
            at_most: Some(until.since(now)),
        });
    }

    /// Ends the wait of a step, if it waits.
    fn end_wait(&mut self, id: StepId) {
        self.held.remove(&id);
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(&id.job) {
            let step = &mut job.steps[usize::from(id.step)];
            if let (Wait::Until { .. }, Some(waited)) = (step.wait, step.wait.waited(now)) {
                step.wait = Wait::Ended { waited };
            }
        }
    }

    /// Asks for new tickets for the workers of a rack that tasks wait for, in time for their use.
    /// Free capacity there is reserved while the question is open.
    pub(super) fn prepare_near(&mut self, candidate: &Candidate<'_>, tasks: &[u32]) {
        let id = candidate.id;
        let Some(timing) = candidate.queue.advice else {
            return;
        };
        let Some(rack) = self.held.get(&id).map(|held| held.rack.clone()) else {
            return;
        };
        if self.advice_of(id).has_open_question(self.now) {
            return;
        }
        let room = self.targets(candidate).within(&self.workers, &rack);
        let places = room.assign(tasks, false);
        let complete = places.len() == tasks.len();
        if !places.is_empty() && (complete || !candidate.step.gang) {
            let workers = places.into_iter().map(|(_, worker)| worker).collect();
            self.reserve(candidate, workers);
            return;
        }
        let in_rack = |index: &usize| self.workers[*index].entry.rack == rack;
        let near: Vec<usize> = self
            .eligible_workers(candidate)
            .into_iter()
            .filter(in_rack)
            .collect();
        let takes = question_duration(&timing, near.len());
        let renew_at = self.now.after(takes + RENEWAL_MARGIN);
        let advice = self.advice_of(id);
        let due = near
            .iter()
            .any(|worker| advice.tickets[worker].until <= renew_at);
        if due {
            self.ask(candidate, &near);
        }
    }

    /// Records where tasks of a step were started, by whether they run fast there.
    pub(super) fn record_placement(&mut self, id: StepId, step: &Step, workers: &[usize]) {
        if self.setup.remote_slowdown.is_none() {
            return;
        }
        let near = if let Some(near) = &step.near {
            let is_near = |worker: &&usize| self.workers[**worker].entry.rack == *near;
            workers.iter().filter(is_near).count()
        } else if !step.same_rack {
            return;
        } else if self.used_racks(id).len() > 1 {
            0
        } else {
            workers.len()
        };
        if near < workers.len()
            && let Some(job) = self.jobs.get_mut(&id.job)
        {
            job.steps[usize::from(id.step)].spread = true;
        }
        let wait = self.jobs[&id.job].steps[usize::from(id.step)].wait;
        let waited = wait.waited(self.now);
        let elsewhere = if waited.is_some() {
            Placement::Waited
        } else {
            Placement::Elsewhere
        };
        let counts = [(Placement::Near, near), (elsewhere, workers.len() - near)];
        for (placement, tasks) in counts.into_iter().filter(|(_, tasks)| *tasks > 0) {
            self.log(Decision::Located {
                step: id,
                placement,
                tasks,
                waited: waited.unwrap_or_default(),
            });
        }
    }

    /// Forgets the tasks that wait for racks; a full pass finds them anew, in the order of their
    /// ranks.
    pub(super) fn clear_held(&mut self) {
        self.held.clear();
    }

    /// Orders the workers that a question may cover so that it covers the preferred racks first:
    /// the rack with the step's data, or racks with much free capacity if one must take all tasks.
    /// `places` are the tasks that fit on a worker, and `needed` those that a rack should have room
    /// for.
    pub(super) fn sort_by_rack(
        &self,
        step: &Step,
        workers: &mut [usize],
        places: impl Fn(usize) -> u64,
        needed: f64,
    ) {
        if self.setup.remote_slowdown.is_none() {
            return;
        }
        let rack_of = |worker: usize| &self.workers[worker].entry.rack;
        if let Some(near) = &step.near {
            workers.sort_by_key(|&worker| rack_of(worker) != near);
            return;
        }
        if !step.same_rack {
            return;
        }
        // Racks with enough room keep the order of the workers, which differs from job to job.
        let mut racks: BTreeMap<&Name, (f64, usize)> = BTreeMap::new();
        let mut capacities: BTreeMap<&Name, f64> = BTreeMap::new();
        for (position, &worker) in workers.iter().enumerate() {
            let (sum, _) = racks.entry(rack_of(worker)).or_insert((0.0, position));
            *sum = (*sum + places(worker) as f64).min(needed);
            let capacity = &self.workers[worker].entry.capacity;
            *capacities.entry(rack_of(worker)).or_default() += step.most_within(capacity) as f64;
        }
        if capacities.values().all(|capacity| *capacity < needed) {
            // No rack is likely to take all tasks, however empty it is.
            return;
        }
        workers.sort_by(|&a, &b| {
            let (a, b) = (racks[rack_of(a)], racks[rack_of(b)]);
            b.0.total_cmp(&a.0).then(a.1.cmp(&b.1))
        });
    }
}
