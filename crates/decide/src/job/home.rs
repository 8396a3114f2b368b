//! State machine of the jobs that a server is home to.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::gang::Commit;
use super::store::Store;
use super::tracker::Tracker;
use super::{Action, Event, Setup, State, Work, home};
use crate::candidate::Directory;
use crate::fleet::View;
use crate::name::Name;
use crate::request;
use crate::retry::Bucket;
use crate::time::Time;
use crate::verdict::Verdict;

/// The maximum number of task starts in a burst of one home.
const START_BURST: f64 = 60.0;

/// The maximum sustained rate of task starts of one home.
const STARTS_PER_SECOND: f64 = 120.0;

/// The maximum number of concurrent row reads.
const MAX_CONCURRENT_LOADS: usize = 32;

/// The maximum delay before a failed read is retried.
const MAX_LOAD_BACKOFF: Duration = Duration::from_secs(4);

/// A call for a task at a rack owner.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// The job.
    pub(super) job: Name,
    /// The index of the task.
    pub(super) index: u32,
    /// The owner.
    pub(super) server: Name,
}

/// A pending read of a row.
#[derive(Clone, Copy, Debug)]
struct Load {
    not_before: Time,
    requested: bool,
}

/// The state machine that runs the jobs of one home server.
#[derive(Debug)]
pub struct Home {
    pub(super) setup: Setup,
    pub(super) rng: ChaCha8Rng,
    pub(super) directory: Directory,
    pub(super) view: View,
    pub(super) starts: Bucket,
    pub(super) work: BTreeMap<Name, (u64, Work)>,
    pub(super) trackers: BTreeMap<Name, Tracker>,
    pub(super) calls: BTreeMap<request::Id, Call>,
    /// The job and the owner of each unanswered reservation request.
    pub(super) pending_reservations: BTreeMap<request::Id, (Name, Name)>,
    /// Unanswered commits by the id of their part.
    pub(super) pending_commits: BTreeMap<request::Id, Commit>,
    pub(super) store: Store,
    loads: BTreeMap<Name, Load>,
    config_revision: Option<u64>,
}

impl Home {
    /// Creates a home without jobs.
    pub fn new(setup: Setup) -> Home {
        Home {
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            directory: Directory::new(setup.site.clone()),
            view: View::default(),
            starts: Bucket::new(Time::default(), START_BURST, STARTS_PER_SECOND),
            work: BTreeMap::new(),
            trackers: BTreeMap::new(),
            calls: BTreeMap::new(),
            pending_reservations: BTreeMap::new(),
            pending_commits: BTreeMap::new(),
            store: Store::default(),
            loads: BTreeMap::new(),
            config_revision: None,
            setup,
        }
    }

    /// Returns the state of a job that this server is home to.
    pub fn state(&self, job: &str) -> Option<&State> {
        self.trackers.get(job).map(|tracker| &tracker.state)
    }

    /// Returns the names of the jobs that this server is home to and has loaded.
    pub fn jobs(&self) -> impl Iterator<Item = &Name> {
        self.trackers.keys()
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::View(view) => {
                self.directory.set_view(view.clone());
                self.view = view;
                self.assign(now);
                self.resume_at_new_owners(now);
            }
            Event::Sites { sites } => self.directory.set_sites(sites),
            Event::Summary(summary) => self.directory.set_summary(now, summary),
            Event::Configure { revision, work } => self.configure(now, revision, work),
            Event::Loaded {
                job,
                revision,
                state,
            } => self.loaded(now, &job, revision, state, actions),
            Event::LoadFailed { job } => self.load_failed(now, &job),
            Event::Wrote { write, result } => self.wrote(now, write, &result, actions),
            Event::Answered { request, verdict } => self.answered(now, request, &verdict, actions),
            Event::Unsent { request } => self.broken(now, request, true),
            Event::Broken { request } => self.broken(now, request, false),
            Event::Held { gang, members } => self.held(now, gang, &members, actions),
            Event::HoldFailed { gang } => self.hold_failed(now, gang, actions),
            Event::Committed { gang, taken } => self.committed(now, gang, taken, actions),
            Event::Tick => self.tick(now, actions),
        }
    }

    /// Tells whether this server is home to a job.
    pub(super) fn is_home(&self, job: &str) -> bool {
        home(&self.view, job) == Some(&self.setup.server)
    }

    fn configure(&mut self, now: Time, revision: u64, work: Vec<(u64, Work)>) {
        if self.config_revision.is_some_and(|seen| revision < seen) {
            return;
        }
        self.config_revision = Some(revision);
        let named = work.into_iter().map(|entry| (entry.1.name(), entry));
        self.work = named.collect();
        self.assign(now);
    }

    /// Schedules reads for jobs that this server has become home to, and drops those that moved
    /// elsewhere.
    fn assign(&mut self, now: Time) {
        let lost: Vec<Name> = self
            .trackers
            .keys()
            .filter(|job| !self.is_home(job))
            .cloned()
            .collect();
        for job in lost {
            // Places that were reserved for a gang expire on their own.
            self.trackers.remove(&job);
        }
        let mut loads = std::mem::take(&mut self.loads);
        loads.retain(|job, _| self.is_home(job));
        for job in self.work.keys() {
            if self.is_home(job) && !self.trackers.contains_key(job) {
                loads.entry(job.clone()).or_insert(Load {
                    not_before: now,
                    requested: false,
                });
            }
        }
        self.loads = loads;
        for (job, tracker) in &mut self.trackers {
            let known = self
                .config_revision
                .is_some_and(|seen| seen >= tracker.state.first_revision);
            tracker.deleted = known && !self.work.contains_key(job);
        }
    }

    /// Resumes tasks whose call went to a server that no longer owns their rack.
    fn resume_at_new_owners(&mut self, now: Time) {
        let is_stale = |call: &Call| {
            let tracker = self.trackers.get(&call.job)?;
            let placement = tracker.state.active.get(&call.index)?;
            let owner = self.view.owner(&placement.rack)?;
            (owner.name != call.server).then_some(())
        };
        let calls = self.calls.iter();
        let stale_calls = calls.filter(|(_, call)| is_stale(call).is_some());
        let stale_calls: Vec<request::Id> = stale_calls.map(|(id, _)| *id).collect();
        for request in stale_calls {
            self.broken(now, request, false);
        }
    }

    fn load(&mut self, now: Time, actions: &mut Vec<Action>) {
        let requested = self.loads.values().filter(|load| load.requested).count();
        let due = |load: &Load| !load.requested && load.not_before <= now;
        let ready = self.loads.iter_mut().filter(|(_, load)| due(load));
        for (job, load) in ready.take(MAX_CONCURRENT_LOADS.saturating_sub(requested)) {
            load.requested = true;
            actions.push(Action::Load { job: job.clone() });
        }
    }

    fn load_failed(&mut self, now: Time, job: &Name) {
        let pause = self.rng.random_range(Duration::ZERO..=MAX_LOAD_BACKOFF);
        if let Some(load) = self.loads.get_mut(job) {
            load.requested = false;
            load.not_before = now.after(pause);
        }
    }

    /// Tells whether a read of a row is pending.
    pub(super) fn is_loading(&self, job: &Name) -> bool {
        self.loads.contains_key(job)
    }

    /// Schedules another read of a row, after a conflict or a lost answer.
    pub(super) fn reload(&mut self, now: Time, job: &Name) {
        let load = Load {
            not_before: now,
            requested: false,
        };
        self.loads.insert(job.clone(), load);
    }

    fn loaded(
        &mut self,
        now: Time,
        job: &Name,
        row_revision: u64,
        state: Option<State>,
        actions: &mut Vec<Action>,
    ) {
        let awaited = self.loads.remove(job).is_some();
        let known = self.trackers.contains_key(job);
        if !self.is_home(job) || (known && !awaited) {
            return;
        }
        let first_revision = self.work.get(job).map(|(revision, _)| *revision);
        if state.is_none() && first_revision.is_none() {
            self.trackers.remove(job);
            return;
        }
        let is_own_write = |tracker: &Tracker| match &state {
            // This process wrote the row last, even if the answer to the write was lost.
            Some(state) => state.writer == self.setup.incarnation,
            None => tracker.row_revision == 0,
        };
        if let Some(tracker) = self
            .trackers
            .get_mut(job)
            .filter(|tracker| is_own_write(tracker))
        {
            tracker.row_revision = row_revision;
            tracker.unwritten.append(&mut tracker.being_written);
            tracker.dirty = true;
            tracker.writing = false;
        } else {
            let state = state.unwrap_or_else(|| State {
                first_revision: first_revision.unwrap_or_default(),
                ..State::default()
            });
            let mut tracker = Tracker::new(row_revision, state);
            let known = self
                .config_revision
                .is_some_and(|seen| seen >= tracker.state.first_revision);
            tracker.deleted = known && first_revision.is_none();
            self.trackers.insert(job.clone(), tracker);
        }
        self.advance(now, job, actions);
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.load(now, actions);
        let busy = self
            .trackers
            .iter()
            .filter(|(_, tracker)| !tracker.is_idle());
        let busy: Vec<Name> = busy.map(|(job, _)| job.clone()).collect();
        for job in busy {
            self.advance(now, &job, actions);
        }
        self.flush(now, actions);
    }

    /// Takes all steps for a job that are possible now.
    pub(super) fn advance(&mut self, now: Time, job: &Name, actions: &mut Vec<Action>) {
        let Some(tracker) = self.trackers.get(job) else {
            return;
        };
        if tracker.deleted {
            return self.retire(now, job, actions);
        }
        let Some((_, work)) = self.work.get(job).cloned() else {
            return;
        };
        self.update_work(job, &work);
        self.send_ready(now, job, &work, actions);
        if work.is_gang() {
            self.advance_gang(now, job, &work, actions);
        } else {
            self.cancel_surplus(job, &work, actions);
            self.place_tasks(now, job, &work);
        }
        self.update_finished(job, &work);
    }

    fn update_work(&mut self, job: &Name, work: &Work) {
        if let Some(tracker) = self.trackers.get_mut(job)
            && tracker.state.work.as_ref() != Some(work)
        {
            tracker.state.work = Some(work.clone());
            tracker.dirty = true;
        }
    }

    fn update_finished(&mut self, job: &Name, work: &Work) {
        let Some(tracker) = self.trackers.get_mut(job) else {
            return;
        };
        let state = &mut tracker.state;
        let ended = state.done + state.failed + state.unknown >= work.tasks();
        let gang_over = work.is_gang() && state.failed > 0 && state.active.is_empty();
        let all_ended = ended && state.active.is_empty() && state.waiting.is_empty();
        if !work.restarts() && !state.finished && (all_ended || gang_over) {
            state.finished = true;
            tracker.dirty = true;
        }
    }

    /// Stops the tasks of a job whose document was deleted, then deletes its row.
    fn retire(&mut self, now: Time, job: &Name, actions: &mut Vec<Action>) {
        self.release_all(job, actions);
        let Some(tracker) = self.trackers.get_mut(job) else {
            return;
        };
        let unsent: Vec<u32> = tracker.unwritten.iter().copied().collect();
        for index in unsent {
            tracker.remove(index);
        }
        let indexes: Vec<u32> = tracker.state.active.keys().copied().collect();
        if indexes.is_empty() {
            tracker.dirty = tracker.row_revision != 0;
            if !tracker.dirty && !tracker.writing {
                self.trackers.remove(job);
            }
            return;
        }
        if let Some(work) = tracker.state.work.clone() {
            self.send_ready(now, job, &work, actions);
        }
        for index in indexes {
            self.cancel(job, index, actions);
        }
    }

    /// Asks the owner of a task to stop it, unless it was asked already.
    pub(super) fn cancel(&mut self, job: &Name, index: u32, actions: &mut Vec<Action>) {
        let Some(tracker) = self.trackers.get_mut(job) else {
            return;
        };
        let Some(id) = tracker.id(job, index) else {
            return;
        };
        if tracker.is_unwritten(index) {
            return;
        }
        // A task without a call is resumed first, and cancelled once its owner is known.
        if let Some(call) = self.calls.get(&id)
            && tracker.cancelled.insert(index)
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
        let tracker = self.trackers.get(&call.job);
        if tracker.and_then(|tracker| tracker.id(&call.job, call.index)) != Some(request) {
            return;
        }
        let (job, index) = (call.job, call.index);
        let work = self.work.get(&job).map(|(_, work)| work.clone());
        match work {
            Some(work) if work.is_gang() => self.member_verdict(now, &job, index, &work, verdict),
            Some(work) => self.task_verdict(now, &job, index, &work, verdict),
            None => self.retired_verdict(now, &job, index, verdict),
        }
        self.advance(now, &job, actions);
    }

    /// Returns a random delay with exponential backoff and full jitter; see
    /// [`crate::retry::backoff`].
    pub(super) fn backoff(
        &mut self,
        first: Duration,
        longest: Duration,
        failures: u32,
    ) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let bound = first.saturating_mul(1 << doublings).min(longest);
        self.rng.random_range(Duration::ZERO..=bound)
    }
}
