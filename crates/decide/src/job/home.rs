//! The machine of the jobs that a server is home to.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::gang::Commit;
use super::slot::Slot;
use super::store::Store;
use super::{Action, Event, Setup, State, Work, home};
use crate::candidate::Directory;
use crate::fleet::View;
use crate::name::Name;
use crate::request;
use crate::retry::Bucket;
use crate::time::Time;
use crate::verdict::Verdict;

/// Starts that one home may make in a burst.
const START_BURST: f64 = 60.0;

/// Starts per second that one home makes at most.
const STARTS_PER_SECOND: f64 = 120.0;

/// Rows that are being read at a time.
const LOADS: usize = 32;

/// The bound of the pause before a row is read again.
const LOAD_PAUSE: Duration = Duration::from_secs(4);

/// A task's call to an owner.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// The job.
    pub(super) job: Name,
    /// The index of the task.
    pub(super) index: u32,
    /// The owner.
    pub(super) server: Name,
}

/// A row that has to be read.
#[derive(Clone, Copy, Debug)]
struct Load {
    after: Time,
    asked: bool,
}

/// The machine.
#[derive(Debug)]
pub struct Home {
    pub(super) setup: Setup,
    pub(super) rng: ChaCha8Rng,
    pub(super) field: Directory,
    pub(super) view: View,
    pub(super) starts: Bucket,
    pub(super) work: BTreeMap<Name, (u64, Work)>,
    pub(super) slots: BTreeMap<Name, Slot>,
    pub(super) calls: BTreeMap<request::Id, Call>,
    /// The job and the owner of each reservation that is not answered.
    pub(super) asks: BTreeMap<request::Id, (Name, Name)>,
    /// The members of each part whose commit is not answered.
    pub(super) commits: BTreeMap<request::Id, Commit>,
    pub(super) store: Store,
    loads: BTreeMap<Name, Load>,
    revision: Option<u64>,
}

impl Home {
    /// Makes a machine that is home to no job.
    pub fn new(setup: Setup) -> Home {
        Home {
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            field: Directory::new(setup.site.clone()),
            view: View::default(),
            starts: Bucket::new(Time::default(), START_BURST, STARTS_PER_SECOND),
            work: BTreeMap::new(),
            slots: BTreeMap::new(),
            calls: BTreeMap::new(),
            asks: BTreeMap::new(),
            commits: BTreeMap::new(),
            store: Store::default(),
            loads: BTreeMap::new(),
            revision: None,
            setup,
        }
    }

    /// Returns the state of a job that this server is home to.
    pub fn state(&self, job: &str) -> Option<&State> {
        self.slots.get(job).map(|slot| &slot.state)
    }

    /// Returns the names of the jobs that this server is home to and has read.
    pub fn jobs(&self) -> impl Iterator<Item = &Name> {
        self.slots.keys()
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::View(view) => {
                self.field.set_view(view.clone());
                self.view = view;
                self.assign(now);
                self.leave_former_owners(now);
            }
            Event::Sites { sites } => self.field.set_sites(sites),
            Event::Summary(summary) => self.field.set_summary(now, summary),
            Event::Configure { revision, work } => self.configure(now, revision, work),
            Event::Loaded {
                job,
                revision,
                state,
            } => self.loaded(now, &job, revision, state, actions),
            Event::Unread { job } => self.unread(now, &job),
            Event::Wrote { write, fate } => self.wrote(now, write, &fate, actions),
            Event::Answered { request, verdict } => self.answered(now, request, &verdict, actions),
            Event::Unsent { request } => self.broken(now, request, true),
            Event::Broken { request } => self.broken(now, request, false),
            Event::Held { gang, members } => self.held(now, gang, &members, actions),
            Event::Unheld { gang } => self.unheld(now, gang, actions),
            Event::Committed { gang, taken } => self.committed(now, gang, taken, actions),
            Event::Tick => self.tick(now, actions),
        }
    }

    /// Tells whether this server is home to a job.
    pub(super) fn is_home(&self, job: &str) -> bool {
        home(&self.view, job) == Some(&self.setup.server)
    }

    fn configure(&mut self, now: Time, revision: u64, work: Vec<(u64, Work)>) {
        if self.revision.is_some_and(|seen| revision < seen) {
            return;
        }
        self.revision = Some(revision);
        let named = work.into_iter().map(|entry| (entry.1.name(), entry));
        self.work = named.collect();
        self.assign(now);
    }

    /// Takes up the jobs that this server has become home to, and drops the others.
    fn assign(&mut self, now: Time) {
        let lost: Vec<Name> = self
            .slots
            .keys()
            .filter(|job| !self.is_home(job))
            .cloned()
            .collect();
        for job in lost {
            // The places that a gang was collecting expire by themselves.
            self.slots.remove(&job);
        }
        let mut loads = std::mem::take(&mut self.loads);
        loads.retain(|job, _| self.is_home(job));
        for job in self.work.keys() {
            if self.is_home(job) && !self.slots.contains_key(job) {
                loads.entry(job.clone()).or_insert(Load {
                    after: now,
                    asked: false,
                });
            }
        }
        self.loads = loads;
        for (job, slot) in &mut self.slots {
            let known = self.revision.is_some_and(|seen| seen >= slot.state.born);
            slot.deleted = known && !self.work.contains_key(job);
        }
    }

    /// Has the tasks resumed that wait for the word of a server that owns their rack no more.
    fn leave_former_owners(&mut self, now: Time) {
        let stale = |call: &Call| {
            let slot = self.slots.get(&call.job)?;
            let sent = slot.state.active.get(&call.index)?;
            let owner = self.view.owner(&sent.rack)?;
            (owner.name != call.server).then_some(())
        };
        let calls = self.calls.iter();
        let left = calls.filter(|(_, call)| stale(call).is_some());
        let left: Vec<request::Id> = left.map(|(id, _)| *id).collect();
        for request in left {
            self.broken(now, request, false);
        }
    }

    fn load(&mut self, now: Time, actions: &mut Vec<Action>) {
        let asked = self.loads.values().filter(|load| load.asked).count();
        let due = |load: &Load| !load.asked && load.after <= now;
        let ready = self.loads.iter_mut().filter(|(_, load)| due(load));
        for (job, load) in ready.take(LOADS.saturating_sub(asked)) {
            load.asked = true;
            actions.push(Action::Load { job: job.clone() });
        }
    }

    fn unread(&mut self, now: Time, job: &Name) {
        let pause = self.rng.random_range(Duration::ZERO..=LOAD_PAUSE);
        if let Some(load) = self.loads.get_mut(job) {
            load.asked = false;
            load.after = now.after(pause);
        }
    }

    /// Tells whether a row is to be read.
    pub(super) fn is_loading(&self, job: &Name) -> bool {
        self.loads.contains_key(job)
    }

    /// Has a row read again, after its write failed a check or its answer was lost.
    pub(super) fn reload(&mut self, now: Time, job: &Name) {
        let load = Load {
            after: now,
            asked: false,
        };
        self.loads.insert(job.clone(), load);
    }

    fn loaded(
        &mut self,
        now: Time,
        job: &Name,
        row: u64,
        state: Option<State>,
        actions: &mut Vec<Action>,
    ) {
        let awaited = self.loads.remove(job).is_some();
        let known = self.slots.contains_key(job);
        if !self.is_home(job) || (known && !awaited) {
            return;
        }
        let born = self.work.get(job).map(|(revision, _)| *revision);
        if state.is_none() && born.is_none() {
            self.slots.remove(job);
            return;
        }
        let own = |slot: &Slot| match &state {
            // The last write of this process, whether it was told or not.
            Some(state) => state.writer == self.setup.incarnation,
            None => slot.row == 0,
        };
        if let Some(slot) = self.slots.get_mut(job).filter(|slot| own(slot)) {
            slot.row = row;
            slot.unwritten.append(&mut slot.in_write);
            slot.dirty = true;
            slot.writing = false;
        } else {
            let state = state.unwrap_or_else(|| State {
                born: born.unwrap_or_default(),
                ..State::default()
            });
            let mut slot = Slot::new(row, state);
            let known = self.revision.is_some_and(|seen| seen >= slot.state.born);
            slot.deleted = known && born.is_none();
            self.slots.insert(job.clone(), slot);
        }
        self.advance(now, job, actions);
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.load(now, actions);
        let busy = self.slots.iter().filter(|(_, slot)| !slot.is_idle());
        let busy: Vec<Name> = busy.map(|(job, _)| job.clone()).collect();
        for job in busy {
            self.advance(now, &job, actions);
        }
        self.flush(now, actions);
    }

    /// Does for a job what can be done now.
    pub(super) fn advance(&mut self, now: Time, job: &Name, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.get(job) else {
            return;
        };
        if slot.deleted {
            return self.retire(now, job, actions);
        }
        let Some((_, work)) = self.work.get(job).cloned() else {
            return;
        };
        self.note_work(job, &work);
        self.attach(now, job, &work, actions);
        if work.gang() {
            self.advance_gang(now, job, &work, actions);
        } else {
            self.cancel_surplus(job, &work, actions);
            self.place_tasks(now, job, &work);
        }
        self.finish(job, &work);
    }

    fn note_work(&mut self, job: &Name, work: &Work) {
        if let Some(slot) = self.slots.get_mut(job)
            && slot.state.work.as_ref() != Some(work)
        {
            slot.state.work = Some(work.clone());
            slot.dirty = true;
        }
    }

    fn finish(&mut self, job: &Name, work: &Work) {
        let Some(slot) = self.slots.get_mut(job) else {
            return;
        };
        let state = &mut slot.state;
        let ended = state.done + state.failed + state.unknown >= work.tasks();
        let gang_over = work.gang() && state.failed > 0 && state.active.is_empty();
        let all = ended && state.active.is_empty() && state.waiting.is_empty();
        if !work.restarts() && !state.finished && (all || gang_over) {
            state.finished = true;
            slot.dirty = true;
        }
    }

    /// Stops the tasks of a job whose document is gone, and then deletes its row.
    fn retire(&mut self, now: Time, job: &Name, actions: &mut Vec<Action>) {
        self.give_back(job, actions);
        let Some(slot) = self.slots.get_mut(job) else {
            return;
        };
        let unsent: Vec<u32> = slot.unwritten.iter().copied().collect();
        for index in unsent {
            slot.remove(index);
        }
        let indexes: Vec<u32> = slot.state.active.keys().copied().collect();
        if indexes.is_empty() {
            slot.dirty = slot.row != 0;
            if !slot.dirty && !slot.writing {
                self.slots.remove(job);
            }
            return;
        }
        if let Some(work) = slot.state.work.clone() {
            self.attach(now, job, &work, actions);
        }
        for index in indexes {
            self.cancel(job, index, actions);
        }
    }

    /// Tells the owner of a task to stop it; this is said once.
    pub(super) fn cancel(&mut self, job: &Name, index: u32, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.get_mut(job) else {
            return;
        };
        let Some(id) = slot.id(job, index) else {
            return;
        };
        if slot.is_unwritten(index) {
            return;
        }
        // Without a call the task is resumed first, and cancelled once its owner is known.
        if let Some(call) = self.calls.get(&id)
            && slot.cancelled.insert(index)
        {
            actions.push(Action::Cancel {
                request: id,
                server: call.server.clone(),
            });
        }
    }

    fn answered(
        &mut self,
        now: Time,
        request: request::Id,
        verdict: &Verdict,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.remove(&request) else {
            return;
        };
        let slot = self.slots.get(&call.job);
        if slot.and_then(|slot| slot.id(&call.job, call.index)) != Some(request) {
            return;
        }
        let (job, index) = (call.job, call.index);
        let work = self.work.get(&job).map(|(_, work)| work.clone());
        match work {
            Some(work) if work.gang() => self.judge_member(now, &job, index, &work, verdict),
            Some(work) => self.judge(now, &job, index, &work, verdict),
            None => self.judge_retired(now, &job, index, verdict),
        }
        self.advance(now, &job, actions);
    }

    /// Draws a pause with full jitter; see [`crate::retry::backoff`].
    pub(super) fn pause(&mut self, first: Duration, longest: Duration, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let bound = first.saturating_mul(1 << doublings).min(longest);
        self.rng.random_range(Duration::ZERO..=bound)
    }
}
