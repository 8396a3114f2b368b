//! Which waiting tasks start, and where.
//!
//! It answers a fleet that is four fifths full of unlike work. Small tasks go where they leave the
//! least behind, so that holes stay large enough for members of gangs. A gang that finds no room
//! has workers emptied for it: only urgent tasks, which are short, are still started there.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::name::{Map, Name};
use crate::size::Size;
use crate::time::Time;

use super::super::admission::Backlog;
use super::super::config::Queue;
use super::super::fleet::Worker;
use super::super::job::{Job, Place};
use super::super::order::{self, Lateness, Rank};
use super::super::spec;
use super::super::{JobId, StepId};
use super::Scheduler;

/// The least time between two placings: what comes in between is placed in one go, since each
/// placing looks at all that waits.
const LEAST_INTERVAL: Duration = Duration::from_millis(8);

/// How many steps of a queue may find no room before the rest of it is left for the next time. A
/// long line is the same work again for each of its steps.
const FAILURES: u32 = 16;

/// How long nothing may be placed while nothing has changed; tickets and ranks age meanwhile.
const IDLE: Duration = Duration::from_millis(50);

/// The largest part of all workers that may be emptied for gangs.
const EARMARKED: f64 = 0.4;

/// How long room is kept for a gang that waits for tickets, beyond what the question takes.
const RESERVATION: Duration = Duration::from_secs(2);

/// What a worker that is emptied for a gang counts more in a choice.
const EARMARK_PENALTY: f64 = 4.0;

/// What a worker counts more on which the task has failed before.
const AVOID_PENALTY: f64 = 8.0;

/// What a worker outside the rack with the step's data counts more.
const FAR_PENALTY: f64 = 2.0;

/// When clients may come back whose queue is not known here yet.
const UNKNOWN_QUEUE_PAUSE: Duration = Duration::from_secs(1);

/// The seconds of its weight in jobs that an account may send at once.
const EXCESS_WINDOW: f64 = 2.0;

/// What a client account has running, and what it has sent of late.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Account {
    used: Size,
    sent: f64,
    at: Time,
}

/// A step that may be placed, with what all its tasks share.
struct Candidate<'a> {
    id: StepId,
    queue: &'a Queue,
    step: &'a spec::Step,
}

/// Where tasks of a step are about to start.
#[derive(Default)]
struct Draft {
    /// Each task's number and worker.
    starts: Vec<(u32, usize)>,
    /// How many tasks of the step each worker has, those that run already included.
    counts: BTreeMap<usize, u32>,
    /// What the draft takes on each worker.
    taken: BTreeMap<usize, Size>,
}

impl Draft {
    fn add(&mut self, index: u32, worker: usize, size: &Size) {
        self.starts.push((index, worker));
        *self.counts.entry(worker).or_default() += 1;
        let taken = self.taken.entry(worker).or_default();
        *taken = taken.plus(size);
    }
}

/// What is known while one placing goes on.
struct Pass {
    /// The most of each resource that any worker had free when it began.
    largest: Size,
    /// Steps that found no room, by queue.
    failures: Map<Name, u32>,
}

impl Scheduler {
    pub(super) fn place(&mut self) {
        let since = self.now.since(self.placed_at);
        if since < LEAST_INTERVAL || (!self.dirty && since < IDLE) {
            return;
        }
        self.dirty = false;
        self.placed_at = self.now;
        for worker in &mut self.workers {
            worker.earmark = None;
        }
        let now = self.now;
        self.slow_questions.retain(|_, until| *until > now);
        let ranks = self.ranks();
        self.marks_left = (self.open().count() as f64 * EARMARKED) as usize;
        let mut pass = Pass {
            largest: self.largest_room(),
            failures: Map::default(),
        };
        for &rank in &ranks {
            self.place_rank(rank, &mut pass);
        }
        self.measure_backlog(&ranks);
    }

    fn place_rank(&mut self, rank: Rank, pass: &mut Pass) {
        let number = usize::from(rank.step.step);
        let Some(job) = self.jobs.get(&rank.step.job) else {
            return;
        };
        let Some(queue) = self.queues.get(&job.queue).cloned() else {
            return;
        };
        let Some(step) = job.spec.as_ref().map(|spec| &spec.steps[number]) else {
            return;
        };
        let reserved = !job.steps[number].reserved.is_empty();
        let failures = pass.failures.get(&queue.name).copied().unwrap_or(0);
        if !reserved && failures >= FAILURES {
            return;
        }
        let candidate = Candidate {
            id: rank.step,
            queue: &queue,
            step: &step.clone(),
        };
        // Where no worker has the room, only the first gangs of a queue are looked at, so that
        // workers are emptied for them.
        let hopeless = !reserved && !candidate.step.size.fits(&pass.largest);
        let placed = if hopeless && !candidate.step.gang {
            false
        } else {
            self.place_step(&candidate)
        };
        if !placed {
            *pass.failures.entry(queue.name.clone()).or_default() += 1;
        }
    }

    /// Returns the workers on which tasks may be started.
    fn open(&self) -> impl Iterator<Item = &Worker> {
        let now = self.now;
        self.workers
            .iter()
            .filter(move |worker| worker.is_open(now))
    }

    /// Returns the most of each resource that any worker has free.
    fn largest_room(&self) -> Size {
        self.open()
            .fold(Size::ZERO, |most, worker| Size::max(&most, &worker.free))
    }

    /// Returns the steps that are due and have waiting tasks, first things first.
    fn ranks(&mut self) -> Vec<Rank> {
        let mut ranks = Vec::new();
        let mut idle = Vec::new();
        let unsettled = self.is_unsettled();
        let ready: Vec<JobId> = self.ready.iter().copied().collect();
        for id in ready {
            let Some(job) = self.jobs.get(&id) else {
                idle.push(id);
                continue;
            };
            let steps = waiting_steps(job);
            if steps.is_empty() {
                idle.push(id);
            }
            if job.inherited && unsettled {
                continue;
            }
            for step in steps {
                ranks.extend(self.rank(id, step));
            }
        }
        for id in idle {
            self.ready.remove(&id);
        }
        ranks.sort_unstable();
        ranks
    }

    fn rank(&mut self, id: JobId, number: usize) -> Option<Rank> {
        let times = match self.jobs.get(&id)?.steps[number].times {
            Some(times) => times,
            None => {
                let times = self.times(id, number)?;
                self.jobs.get_mut(&id)?.steps[number].times = Some(times);
                times
            }
        };
        let job = self.jobs.get(&id)?;
        let queue = self.queues.get(&job.queue)?;
        let step = StepId {
            job: id,
            step: number as u16,
        };
        Some(order::rank(
            step,
            queue,
            job.accepted,
            job.excess,
            times,
            self.now,
        ))
    }

    /// Works out how long a job's longest chain takes, and what is left of it from a step on.
    fn times(&self, id: JobId, number: usize) -> Option<(Duration, Duration)> {
        let job = self.jobs.get(&id)?;
        let spec = job.spec.as_ref()?;
        let each = self.task_time(&job.queue, &spec.steps[number]);
        let chain = spec.longest_chain(|_| each);
        let steps_after = (spec.steps.len() - number) as u32;
        Some((chain, chain.min(each * steps_after)))
    }

    fn task_time(&self, queue: &Name, step: &spec::Step) -> Duration {
        match self.durations.get(queue) {
            Some(durations) => durations.mean(step.estimate),
            None => step.estimate,
        }
    }

    /// Places a step or asks what it needs to know; returns whether others of its queue may get on
    /// as well.
    fn place_step(&mut self, candidate: &Candidate<'_>) -> bool {
        if candidate.queue.advice.is_some() && !self.is_advised(candidate.id) {
            return self.ask_all(candidate.id, candidate.queue);
        }
        let stored = self
            .jobs
            .get(&candidate.id.job)
            .is_some_and(|job| job.stored);
        if !stored {
            return true;
        }
        if candidate.step.gang {
            self.place_gang(candidate)
        } else {
            self.place_tasks(candidate)
        }
    }

    fn place_tasks(&mut self, candidate: &Candidate<'_>) -> bool {
        let waiting = self.waiting_tasks(candidate.id);
        let mut draft = Draft {
            counts: self.on_workers(candidate.id),
            ..Draft::default()
        };
        let mut used = Size::ZERO;
        let (mut stale, mut limited) = (false, false);
        for index in waiting {
            let size = &candidate.step.size;
            if !self.is_within_limit(candidate.id.job, &used.plus(size)) {
                limited = true;
                break;
            }
            let Some(worker) = self.choose(candidate, index, &draft, true) else {
                stale = self.choose(candidate, index, &draft, false).is_some();
                break;
            };
            draft.add(index, worker, size);
            used = used.plus(size);
        }
        if stale {
            self.ask_eligible(candidate.id, candidate.queue);
        } else if draft.starts.is_empty() && !limited {
            self.ask_new(candidate.id, candidate.queue);
        }
        if !draft.starts.is_empty() {
            self.start(candidate.id, &draft.starts);
        }
        stale || limited || !draft.starts.is_empty()
    }

    fn place_gang(&mut self, candidate: &Candidate<'_>) -> bool {
        let id = candidate.id;
        let waiting = self.waiting_tasks(id);
        if waiting.len() < candidate.step.count as usize {
            return true;
        }
        let whole = candidate.step.size.times(u64::from(candidate.step.count));
        if !self.is_within_limit(id.job, &whole) {
            return true;
        }
        let number = usize::from(id.step);
        let reserved = self.jobs[&id.job].steps[number].reserved.clone();
        if !reserved.is_empty() {
            self.start_reserved(candidate, &reserved);
            return true;
        }
        if let Some(starts) = self.fit_gang(candidate, &waiting, true) {
            self.start(id, &starts);
        } else if let Some(starts) = self.fit_gang(candidate, &waiting, false) {
            let workers: Vec<usize> = starts.iter().map(|(_, worker)| *worker).collect();
            self.reserve(candidate, workers);
        } else {
            // This holds back only what comes later in the order, so late gangs may do so as well:
            // wide ones would never find room otherwise.
            self.earmark(candidate);
            self.ask_new(id, candidate.queue);
            return false;
        }
        true
    }

    /// Starts a gang whose room is kept, once all its tickets hold.
    fn start_reserved(&mut self, candidate: &Candidate<'_>, reserved: &[usize]) {
        let id = candidate.id;
        let number = usize::from(id.step);
        let now = self.now;
        let open = |&worker: &usize| self.workers[worker].is_open(now);
        let step = &self.jobs[&id.job].steps[number];
        let fresh = |worker: &usize| step.advice.holds(*worker, now);
        let usable = reserved.iter().all(open);
        let asking = step.advice.is_asking(now);
        if usable && reserved.iter().all(fresh) {
            self.unreserve(id.job, number);
            let starts: Vec<(u32, usize)> = (0..).zip(reserved.iter().copied()).collect();
            self.start(id, &starts);
        } else if !usable || (step.reserved_until <= now && !asking) {
            self.unreserve(id.job, number);
            self.dirty = true;
        } else if !asking {
            self.ask_some(id, candidate.queue, reserved);
        }
    }

    fn reserve(&mut self, candidate: &Candidate<'_>, workers: Vec<usize>) {
        let id = candidate.id;
        self.ask_some(id, candidate.queue, &workers);
        if !self.advice_of(id).is_asking(self.now) {
            // No instance is free to ask: the room is of more use to others.
            return;
        }
        for &worker in &workers {
            let worker = &mut self.workers[worker];
            worker.free = worker.free.minus(&candidate.step.size);
        }
        let until = self.now.after(RESERVATION);
        if let Some(job) = self.jobs.get_mut(&id.job) {
            let step = &mut job.steps[usize::from(id.step)];
            step.reserved = workers;
            step.reserved_until = until;
        }
    }

    /// Gives back the room that is kept for a gang.
    pub(super) fn unreserve(&mut self, id: JobId, number: usize) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let reserved = std::mem::take(&mut job.steps[number].reserved);
        let Some(size) = job.spec.as_ref().map(|spec| spec.steps[number].size) else {
            return;
        };
        for worker in reserved {
            let worker = &mut self.workers[worker];
            worker.free = worker.free.plus(&size);
        }
    }

    /// Finds a worker for each member of a gang.
    fn fit_gang(
        &self,
        candidate: &Candidate<'_>,
        waiting: &[u32],
        fresh: bool,
    ) -> Option<Vec<(u32, usize)>> {
        let mut draft = Draft::default();
        for &index in waiting {
            let worker = self.choose(candidate, index, &draft, fresh)?;
            draft.add(index, worker, &candidate.step.size);
        }
        Some(draft.starts)
    }

    /// Has workers emptied for a gang that finds no room: those with the most room now.
    fn earmark(&mut self, candidate: &Candidate<'_>) {
        if self.marks_left == 0 {
            return;
        }
        let usable = |&index: &usize| {
            let worker = &self.workers[index];
            worker.earmark.is_none()
                && self.may_run(candidate, index, worker)
                && candidate.step.size.fits(&worker.entry.capacity)
        };
        let number = usize::from(candidate.id.step);
        let tickets = &self.jobs[&candidate.id.job].steps[number].advice.tickets;
        let mut usable: Vec<usize> = if candidate.queue.advice.is_some() {
            tickets.keys().copied().filter(usable).collect()
        } else {
            (0..self.workers.len()).filter(usable).collect()
        };
        usable.sort_by_key(|&index| std::cmp::Reverse(self.workers[index].free.millicores));
        let mut left = u64::from(candidate.step.count);
        let mut chosen = Vec::new();
        for index in usable {
            if left == 0 {
                break;
            }
            let capacity = &self.workers[index].entry.capacity;
            left = left.saturating_sub(times_within(&candidate.step.size, capacity));
            chosen.push(index);
        }
        if left == 0 && chosen.len() <= self.marks_left {
            self.marks_left -= chosen.len();
            for index in chosen {
                self.workers[index].earmark = Some(candidate.id.job);
            }
        }
    }

    /// Finds the worker on which a task leaves the least usable room behind.
    fn choose(
        &self,
        candidate: &Candidate<'_>,
        index: u32,
        draft: &Draft,
        fresh: bool,
    ) -> Option<usize> {
        let step = candidate.step;
        let state = &self.jobs[&candidate.id.job].steps[usize::from(candidate.id.step)];
        let avoid = state.tasks[index as usize].avoid;
        let advised = candidate.queue.advice.is_some();
        let mut best: Option<(f64, usize)> = None;
        let mut consider = |number: usize| {
            let worker = &self.workers[number];
            if !self.may_run(candidate, number, worker) {
                return;
            }
            if worker.earmark.is_some_and(|job| job != candidate.id.job) && !candidate.is_urgent() {
                return;
            }
            let count = draft.counts.get(&number).copied().unwrap_or(0);
            if step.most_on_worker.is_some_and(|most| count >= most) {
                return;
            }
            let free = match draft.taken.get(&number) {
                Some(taken) => worker.free.minus(taken),
                None => worker.free,
            };
            if !step.size.fits(&free) {
                return;
            }
            let score = self.score(candidate, worker, &free, avoid == Some(number));
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, number));
            }
        };
        if advised {
            for (&number, ticket) in &state.advice.tickets {
                if !fresh || ticket.until > self.now {
                    consider(number);
                }
            }
        } else {
            (0..self.workers.len()).for_each(&mut consider);
        }
        best.map(|(_, worker)| worker)
    }

    fn score(&self, candidate: &Candidate<'_>, worker: &Worker, free: &Size, avoid: bool) -> f64 {
        let after = free.minus(&candidate.step.size);
        let mut score = after.dominant(&worker.entry.capacity);
        if worker.earmark.is_some_and(|job| job != candidate.id.job) {
            score += EARMARK_PENALTY;
        }
        if avoid {
            score += AVOID_PENALTY;
        }
        let near = candidate.step.near.as_ref();
        if near.is_some_and(|near| *near != worker.entry.rack) {
            score += FAR_PENALTY;
        }
        score
    }

    /// Tells whether a step may run on a worker at all.
    fn may_run(&self, candidate: &Candidate<'_>, number: usize, worker: &Worker) -> bool {
        let step = candidate.step;
        let labelled = |label: &Name| worker.entry.labels.contains(label);
        worker.is_open(self.now)
            && worker.entry.pool == candidate.queue.pool
            && step.label.as_ref().is_none_or(labelled)
            && (candidate.queue.advice.is_none() || self.is_eligible(candidate.id, number))
    }

    fn is_eligible(&self, id: StepId, worker: usize) -> bool {
        let step = &self.jobs[&id.job].steps[usize::from(id.step)];
        step.advice.tickets.contains_key(&worker)
    }

    fn waiting_tasks(&self, id: StepId) -> Vec<u32> {
        let step = &self.jobs[&id.job].steps[usize::from(id.step)];
        let tasks = (0..).zip(&step.tasks);
        let waiting = tasks.filter(|(_, task)| task.place == Place::Waiting);
        waiting.map(|(index, _)| index).collect()
    }

    /// Counts the tasks of a step on each worker.
    fn on_workers(&self, id: StepId) -> BTreeMap<usize, u32> {
        let mut counts = BTreeMap::new();
        let step = &self.jobs[&id.job].steps[usize::from(id.step)];
        for task in &step.tasks {
            if let Place::On { worker, .. } = task.place {
                *counts.entry(worker).or_default() += 1;
            }
        }
        counts
    }

    /// Tells whether an account may have `more` running.
    fn is_within_limit(&self, id: JobId, more: &Size) -> bool {
        let Some(name) = self.jobs.get(&id).and_then(|job| job.account.as_ref()) else {
            return true;
        };
        let limit = self
            .config
            .account(name)
            .map_or(Size::MAX, |account| account.limit);
        let used = self
            .accounts
            .get(name)
            .map_or(Size::ZERO, |account| account.used);
        used.plus(more).fits(&limit)
    }

    /// Counts what an account has running.
    pub(super) fn charge(&mut self, account: Option<&Name>, size: &Size) {
        if let Some(name) = account {
            let account = self.accounts.entry(name.clone()).or_default();
            account.used = account.used.plus(size);
        }
    }

    /// Counts what an account has running no more.
    pub(super) fn refund(&mut self, account: Option<&Name>, size: &Size) {
        if let Some(account) = account.and_then(|name| self.accounts.get_mut(name)) {
            account.used = account.used.minus(size);
        }
    }

    /// Tells whether an account has sent more jobs of late than its weight allows, and counts one.
    pub(super) fn is_excess(&mut self, account: Option<&Name>) -> bool {
        let Some(name) = account else {
            return false;
        };
        let weight = self
            .config
            .account(name)
            .map_or(0.0, |account| account.weight);
        if weight <= 0.0 {
            return false;
        }
        let now = self.now;
        let account = self.accounts.entry(name.clone()).or_default();
        let passed = now.since(account.at).as_secs_f64();
        account.sent = (account.sent - passed * weight).max(0.0);
        account.at = now;
        if account.sent + 1.0 > weight * EXCESS_WINDOW {
            return true;
        }
        account.sent += 1.0;
        false
    }

    /// Returns the pause after which a job may be sent again, where it is not taken now.
    pub(super) fn refuse(
        &mut self,
        queue: &Name,
        spec: &spec::Spec,
        excess: bool,
    ) -> Option<Duration> {
        let Some(queue) = self.queues.get(queue).cloned() else {
            return Some(UNKNOWN_QUEUE_PAUSE);
        };
        let chain = spec.longest_chain(|step| self.task_time(&queue.name, step));
        let slack = chain.mul_f64((queue.stretch - 1.0).max(0.0)) + queue.objective;
        let pause = self.backlog.refuse(queue.priority, slack, excess);
        if pause.is_none() {
            // Until the next placing, what comes counts as waiting: a burst comes in one go.
            let priority = queue.priority;
            let name = queue.name.clone();
            for step in &spec.steps {
                let time = self.task_time(&name, step);
                let part = self.part_of_fleet(&step.size.times(u64::from(step.count)));
                self.backlog.add(priority, part, time);
            }
        }
        pause
    }

    /// Works out anew what waits, but for work that is late already: it goes last.
    fn measure_backlog(&mut self, ranks: &[Rank]) {
        self.capacity = self.open_capacity();
        let mut backlog = Backlog::default();
        for rank in ranks
            .iter()
            .filter(|rank| rank.lateness <= Lateness::Excess)
        {
            let Some(job) = self.jobs.get(&rank.step.job) else {
                continue;
            };
            let number = usize::from(rank.step.step);
            let Some(step) = job.spec.as_ref().map(|spec| &spec.steps[number]) else {
                continue;
            };
            let tasks = job.steps[number].tasks.iter();
            let waiting = tasks.filter(|task| task.place == Place::Waiting).count() as u64;
            let time = self.task_time(&job.queue, step);
            let part = self.part_of_fleet(&step.size.times(waiting));
            backlog.add(rank.priority, part, time);
        }
        self.backlog = backlog;
    }

    fn part_of_fleet(&self, size: &Size) -> f64 {
        if self.capacity.is_zero() {
            return 0.0;
        }
        size.dominant(&self.capacity)
    }

    fn open_capacity(&self) -> Size {
        self.open()
            .fold(Size::ZERO, |sum, worker| sum.plus(&worker.entry.capacity))
    }
}

impl Candidate<'_> {
    /// Tells whether the step may use workers that are emptied for a gang.
    fn is_urgent(&self) -> bool {
        self.queue.priority == 0
    }
}

/// Returns the steps of a job that are due and have waiting tasks.
fn waiting_steps(job: &Job) -> Vec<usize> {
    if job.state.is_final() {
        return Vec::new();
    }
    let waits = |&step: &usize| {
        let state = &job.steps[step];
        state.left > 0
            && state.tasks.iter().any(|task| task.place == Place::Waiting)
            && job.is_due(step)
    };
    (0..job.steps.len()).filter(waits).collect()
}

/// Returns how many times a size fits into a capacity.
fn times_within(size: &Size, capacity: &Size) -> u64 {
    let part = |need: u64, of: u64| of.checked_div(need).unwrap_or(u64::MAX);
    part(size.millicores, capacity.millicores)
        .min(part(size.memory_mib, capacity.memory_mib))
        .min(part(size.accelerators, capacity.accelerators))
}
