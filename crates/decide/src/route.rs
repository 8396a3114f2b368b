//! Request routing at the entry, the server that accepts a request from its caller.
//!
//! Chooses the rack that a request is sent to, retries or resumes it, and answers the caller.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::attempt::Attempt;
use crate::candidate::{Candidate, Choice, Directory, Distance, Site};
use crate::fleet::View;
use crate::name::Name;
use crate::request::{self, Request, Target};
use crate::resource::Team;
use crate::retry::{self, Bucket, Budget};
use crate::share::Summary;
use crate::time::Time;
use crate::verdict::{Reason, Verdict};

/// The maximum number of refusals of a request that are retried. The next one is returned to the
/// caller.
const MAX_REFUSALS: u32 = 4;

/// The maximum number of unsent calls of a request that are retried. After the next one, the caller
/// is answered `NotRun`.
const MAX_UNSENT_CALLS: u32 = 16;

/// The maximum number of `Unknown` verdicts after which a request is resumed. The rack may have
/// another owner by then.
const MAX_UNKNOWN_VERDICTS: u32 = 6;

/// The number of extra backoff steps before a request is resumed after an `Unknown` verdict.
const UNKNOWN_BACKOFF_STEPS: u32 = 3;

/// How long after its deadline a request still waits for the owner's verdict.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// How long a cancelled request waits for the owner's verdict.
const CANCEL_GRACE: Duration = Duration::from_secs(2);

/// The maximum time that a request waits for a rack with a live owner before the caller is answered
/// `NotRun`.
const MAX_OWNER_WAIT: Duration = Duration::from_secs(30);

/// The maximum time for which a request is resumed. It is shorter than the time for which workers
/// and owners remember ended requests.
const MAX_RESUME_TIME: Duration = Duration::from_secs(300);

/// The minimum time until the deadline, in addition to the payload transfer, for a request to be
/// sent to another region.
const MIN_CROSS_REGION_PATIENCE: Duration = Duration::from_millis(200);

/// The bandwidth of the link between regions, in bytes per second.
const REGION_LINK_BYTES_PER_SECOND: f64 = 30_000_000.0 / 8.0;

/// The share of the link that one entry may use.
const ROUTER_LINK_SHARE: f64 = 0.1;

/// The maximum burst on the link, in seconds of the share of one entry.
const LINK_BURST_SECONDS: f64 = 10.0;

/// The settings of a [`Router`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setup {
    /// The name of the server.
    pub server: Name,
    /// The failure domain and region of the server.
    pub site: Site,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// One call to an owner on behalf of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Call {
    /// The request.
    pub request: request::Id,
    /// The number of the call, counted from 1 for each request.
    pub number: u32,
}

/// An input of [`Router::handle`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// The current view of the fleet.
    View(View),
    /// The sites of the racks. A rack without a site is assumed to be at the site of its owner.
    Sites {
        /// The sites by rack.
        sites: BTreeMap<Name, Site>,
    },
    /// A capacity summary from a rack owner.
    Summary(Summary),
    /// The current teams; replaces all earlier ones.
    Teams {
        /// The revision of the configuration. An older revision than the last one is ignored.
        revision: u64,
        /// All teams.
        teams: Vec<Team>,
    },
    /// A caller submits a request. If one with the same id is in flight, the new one joins it and
    /// gets no answer of its own.
    Submit {
        /// The request.
        request: Request,
        /// The length of the payload in bytes.
        payload_bytes: u64,
    },
    /// An owner's verdict has been received completely.
    Answered {
        /// The call.
        call: Call,
        /// The verdict.
        verdict: Verdict,
    },
    /// A call was never sent.
    Unsent {
        /// The call.
        call: Call,
    },
    /// The connection broke after a call may have been sent. No verdict will follow.
    Broken {
        /// The call.
        call: Call,
    },
    /// The caller has disconnected.
    Cancel {
        /// The request.
        request: request::Id,
    },
    /// Only time has passed; see [`Router::next_deadline`].
    Tick,
}

/// An output of [`Router::handle`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum Action {
    /// Send a request to an owner. Answered by `Answered`, `Unsent` or `Broken`.
    Send {
        /// The call.
        call: Call,
        /// The request with its target set.
        request: Request,
        /// The server that owns the target.
        server: Name,
        /// Whether the request is resumed rather than submitted.
        resume: bool,
    },
    /// Tell an owner that the caller has disconnected. The verdict on the call still follows.
    Cancel {
        /// The call.
        call: Call,
        /// The server that the call was sent to.
        server: Name,
    },
    /// Answer the caller. Each request is answered once.
    Answer {
        /// The request.
        request: request::Id,
        /// The verdict.
        verdict: Verdict,
    },
}

/// What a pending request waits for.
#[derive(Clone, Debug)]
enum State {
    /// The end of a backoff, to be routed again. The request has not run.
    Backoff,
    /// A rack with a live owner. The request has not run.
    AwaitingOwner,
    /// An owner's verdict.
    AwaitingVerdict {
        target: Target,
        server: Name,
        resume: bool,
    },
    /// The end of a backoff or a new rack owner, to be resumed on the rack that it was sent to.
    AwaitingResume { rack: Name },
}

/// A request in flight.
#[derive(Debug)]
struct Pending {
    request: Request,
    payload_bytes: u64,
    accepted_at: Time,
    state: State,
    due: Time,
    calls: u32,
    refusals: u32,
    unsent_calls: u32,
    resume_failures: u32,
    unknown_verdicts: u32,
    unknown_since: Time,
    tried_racks: BTreeSet<Name>,
    last_refusal: Option<Verdict>,
    /// The epoch of the target that the request was last submitted to.
    submitted_epoch: u64,
    /// Whether the request may have started, although it no longer runs anywhere.
    may_have_started: bool,
    cancelled: bool,
}

/// Counters of a [`Router`] since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Payload bytes sent to other regions, by team.
    pub regional_bytes: BTreeMap<Name, u64>,
    /// Verdicts of calls that were no longer awaited.
    #[serde(rename = "crossed")]
    pub late_verdicts: u64,
    /// Calls beyond the first of a request.
    pub retries: u64,
    /// Retries that the team's retry budget did not allow.
    pub over_budget: u64,
}

/// The state machine that routes the requests of one entry.
#[derive(Debug)]
pub struct Router {
    setup: Setup,
    rng: ChaCha8Rng,
    directory: Directory,
    config_revision: u64,
    teams: BTreeMap<Name, Team>,
    budget: Budget,
    link_budget: Bucket,
    pending: BTreeMap<request::Id, Pending>,
    timers: BTreeSet<(Time, request::Id)>,
    awaiting_owner: BTreeSet<request::Id>,
    counters: Counters,
}

impl Router {
    /// Creates a router that knows no racks.
    pub fn new(setup: Setup) -> Router {
        let rate = REGION_LINK_BYTES_PER_SECOND * ROUTER_LINK_SHARE;
        Router {
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            directory: Directory::new(setup.site.clone()),
            config_revision: 0,
            teams: BTreeMap::new(),
            budget: Budget::default(),
            link_budget: Bucket::new(Time::default(), rate * LINK_BURST_SECONDS, rate),
            pending: BTreeMap::new(),
            timers: BTreeSet::new(),
            awaiting_owner: BTreeSet::new(),
            counters: Counters::default(),
            setup,
        }
    }

    /// Returns the settings of the router.
    pub fn setup(&self) -> &Setup {
        &self.setup
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.pending.len()
    }

    /// Returns when the next `Tick` is due, or `None` if no timer is set.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::View(view) => self.view(now, view, actions),
            Event::Sites { sites } => self.directory.set_sites(sites),
            Event::Summary(summary) => self.directory.set_summary(now, summary),
            Event::Teams { revision, teams } => self.teams(revision, teams),
            Event::Submit {
                request,
                payload_bytes,
            } => self.submit(now, request, payload_bytes, actions),
            Event::Answered { call, verdict } => self.answered(now, call, verdict, actions),
            Event::Unsent { call } => self.unsent(now, call, actions),
            Event::Broken { call } => self.broken(now, call, actions),
            Event::Cancel { request } => self.cancel(now, request, actions),
            Event::Tick => {}
        }
        self.expire(now, actions);
    }

    fn view(&mut self, now: Time, view: View, actions: &mut Vec<Action>) {
        self.directory.set_view(view);
        for id in std::mem::take(&mut self.awaiting_owner) {
            self.advance(now, id, actions);
        }
    }

    fn teams(&mut self, revision: u64, teams: Vec<Team>) {
        if revision < self.config_revision {
            return;
        }
        self.config_revision = revision;
        let named = teams.into_iter().map(|team| (team.name.clone(), team));
        self.teams = named.collect();
    }

    fn submit(
        &mut self,
        now: Time,
        request: Request,
        payload_bytes: u64,
        actions: &mut Vec<Action>,
    ) {
        let id = request.id;
        if self.pending.contains_key(&id) {
            return;
        }
        self.budget.earn(now, &request.team);
        let pending = Pending {
            request,
            payload_bytes,
            accepted_at: now,
            state: State::Backoff,
            due: now,
            calls: 0,
            refusals: 0,
            unsent_calls: 0,
            resume_failures: 0,
            unknown_verdicts: 0,
            unknown_since: now,
            tried_racks: BTreeSet::new(),
            last_refusal: None,
            submitted_epoch: 0,
            may_have_started: false,
            cancelled: false,
        };
        self.timers.insert((now, id));
        self.pending.insert(id, pending);
        self.route(now, id, actions);
    }

    /// Sends a request that has not run to a rack.
    fn route(&mut self, now: Time, id: request::Id, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        if self.exceeds_limit(&pending.request) {
            return self.answer(id, not_run(Reason::Limit), actions);
        }
        let cross_regions = self.may_cross_regions(now, id);
        let pending = &self.pending[&id];
        let choice = self.directory.choose(
            now,
            &pending.request,
            &pending.tried_racks,
            cross_regions,
            &mut self.rng,
        );
        match choice {
            Choice::Rack(candidate) => self.send_to(now, id, candidate, actions),
            Choice::TooLarge => self.answer(id, not_run(Reason::TooLarge), actions),
            Choice::None => self.no_rack(now, id, actions),
        }
    }

    /// Tells whether a single task is larger than its team's limit for the whole fleet.
    fn exceeds_limit(&self, request: &Request) -> bool {
        let team = self.teams.get(&request.team);
        team.is_some_and(|team| !request.size.fits(&team.limit))
    }

    /// Tells whether the payload may be sent to another region: the transfer must leave enough time
    /// before the deadline and fit into this entry's share of the link.
    fn may_cross_regions(&mut self, now: Time, id: request::Id) -> bool {
        let pending = &self.pending[&id];
        let bytes = pending.payload_bytes as f64;
        let transfer = Duration::from_secs_f64(bytes / REGION_LINK_BYTES_PER_SECOND);
        let needed = transfer.saturating_add(MIN_CROSS_REGION_PATIENCE);
        pending.request.deadline.since(now) >= needed && self.link_budget.holds(now, bytes)
    }

    /// Handles a request for which no untried rack is left.
    fn no_rack(&mut self, now: Time, id: request::Id, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if let Some(verdict) = pending.last_refusal.clone() {
            return self.answer(id, verdict, actions);
        }
        if !pending.tried_racks.is_empty() {
            pending.tried_racks.clear();
            let pause = retry::backoff(&mut self.rng, pending.unsent_calls);
            return self.set_state(id, State::Backoff, now.after(pause));
        }
        let until = pending
            .accepted_at
            .after(MAX_OWNER_WAIT)
            .min(pending.request.deadline);
        self.awaiting_owner.insert(id);
        self.set_state(id, State::AwaitingOwner, until);
    }

    fn send_to(
        &mut self,
        now: Time,
        id: request::Id,
        candidate: Candidate,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.tried_racks.insert(candidate.target.rack.clone());
        pending.submitted_epoch = candidate.target.epoch;
        let request = pending.request.clone();
        self.directory.note_sent(now, &candidate.server, &request);
        self.send(now, id, candidate, false, actions);
    }

    fn send(
        &mut self,
        now: Time,
        id: request::Id,
        candidate: Candidate,
        resume: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.calls += 1;
        pending.request.target = Some(candidate.target.clone());
        self.counters.retries += u64::from(pending.calls > 1);
        actions.push(Action::Send {
            call: Call {
                request: id,
                number: pending.calls,
            },
            request: pending.request.clone(),
            server: candidate.server.clone(),
            resume,
        });
        let bytes = pending.payload_bytes;
        let team = pending.request.team.clone();
        let until = pending.request.deadline.after(ANSWER_GRACE);
        let state = State::AwaitingVerdict {
            target: candidate.target,
            server: candidate.server,
            resume,
        };
        self.set_state(id, state, until);
        if candidate.distance == Distance::OtherRegion && !resume {
            self.link_budget.take(now, bytes as f64);
            *self.counters.regional_bytes.entry(team).or_default() += bytes;
        }
    }

    fn answered(&mut self, now: Time, call: Call, verdict: Verdict, actions: &mut Vec<Action>) {
        let Some(resume) = self.awaited(call) else {
            self.counters.late_verdicts += 1;
            return;
        };
        match verdict {
            Verdict::NotRun {
                reason: Reason::NoOwner | Reason::Leaving,
                ..
            } if resume => self.resume_later(now, call.request, actions),
            Verdict::NotRun { reason, .. } if resume => {
                self.resumed_not_run(now, call.request, reason, verdict, actions);
            }
            Verdict::NotRun { reason, .. } => {
                self.refused(now, call.request, reason, verdict, actions);
            }
            Verdict::Unknown { .. } => self.unknown_verdict(now, call.request, verdict, actions),
            Verdict::Ran { .. } => self.answer(call.request, verdict, actions),
        }
    }

    /// Handles an owner's verdict that the outcome of a request is unknown.
    ///
    /// An idempotent request is resumed for a while: the owner may be about to lose the rack, and
    /// the next owner finds the request on a worker, or finds that it runs nowhere.
    fn unknown_verdict(
        &mut self,
        now: Time,
        id: request::Id,
        verdict: Verdict,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.unknown_verdicts += 1;
        pending.may_have_started = true;
        if !pending.request.idempotent || pending.unknown_verdicts > MAX_UNKNOWN_VERDICTS {
            return self.answer(id, verdict, actions);
        }
        pending.resume_failures += UNKNOWN_BACKOFF_STEPS;
        self.resume_later(now, id, actions);
    }

    /// Returns whether the call resumes its request, or `None` if its verdict is not awaited.
    fn awaited(&self, call: Call) -> Option<bool> {
        let pending = self.pending.get(&call.request)?;
        match pending.state {
            State::AwaitingVerdict { resume, .. } if pending.calls == call.number => Some(resume),
            _ => None,
        }
    }

    /// Handles an owner's verdict that a resumed request is not there and never will be.
    ///
    /// The owner that the request was submitted to knows everything that it started. A later owner
    /// knows only what it finds on the workers, and a worker that has died since may have started
    /// the request.
    fn resumed_not_run(
        &mut self,
        now: Time,
        id: request::Id,
        reason: Reason,
        verdict: Verdict,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.resume_failures = 0;
        let State::AwaitingVerdict { target, .. } = &pending.state else {
            return;
        };
        if target.epoch != pending.submitted_epoch {
            pending.may_have_started = true;
            if !pending.request.idempotent {
                return self.answer(id, unknown(id), actions);
            }
        }
        if reason == Reason::Cancelled || reason == Reason::Expired {
            return self.answer(id, verdict, actions);
        }
        self.refused(now, id, Reason::Refused, verdict, actions);
    }

    /// Handles an owner's verdict that a request has not started and will not start there.
    fn refused(
        &mut self,
        now: Time,
        id: request::Id,
        reason: Reason,
        verdict: Verdict,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.refusals += 1;
        pending.last_refusal = Some(verdict.clone());
        let is_final = pending.cancelled
            || pending.refusals > MAX_REFUSALS
            || now >= pending.request.deadline
            || !may_run_elsewhere(reason);
        if is_final {
            return self.answer(id, verdict, actions);
        }
        let owner_changed = matches!(reason, Reason::NoOwner | Reason::Leaving);
        let failures = pending.refusals;
        let team = pending.request.team.clone();
        if !owner_changed && !self.budget.spend(now, &team) {
            self.counters.over_budget += 1;
            return self.answer(id, verdict, actions);
        }
        let pause = retry::backoff(&mut self.rng, failures);
        self.set_state(id, State::Backoff, now.after(pause));
    }

    fn unsent(&mut self, now: Time, call: Call, actions: &mut Vec<Action>) {
        let Some(resume) = self.awaited(call) else {
            return;
        };
        self.avoid_server(now, call.request);
        if resume {
            return self.resume_later(now, call.request, actions);
        }
        let Some(pending) = self.pending.get_mut(&call.request) else {
            return;
        };
        pending.unsent_calls += 1;
        if pending.cancelled || pending.unsent_calls > MAX_UNSENT_CALLS {
            let reason = if pending.cancelled {
                Reason::Cancelled
            } else {
                Reason::NoOwner
            };
            return self.answer(call.request, not_run(reason), actions);
        }
        self.route(now, call.request, actions);
    }

    fn broken(&mut self, now: Time, call: Call, actions: &mut Vec<Action>) {
        if self.awaited(call).is_none() {
            return;
        }
        self.avoid_server(now, call.request);
        self.resume_later(now, call.request, actions);
    }

    fn avoid_server(&mut self, now: Time, id: request::Id) {
        let state = self.pending.get(&id).map(|pending| &pending.state);
        if let Some(State::AwaitingVerdict { server, .. }) = state {
            self.directory.avoid(now, server);
        }
    }

    /// Schedules the resume of a request whose outcome is unknown, on its rack and after a backoff.
    fn resume_later(&mut self, now: Time, id: request::Id, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let State::AwaitingVerdict { target, .. } = &pending.state else {
            return;
        };
        let rack = target.rack.clone();
        if pending.resume_failures == 0 || pending.unknown_verdicts == 1 {
            pending.unknown_since = now;
        }
        pending.resume_failures += 1;
        if pending.cancelled || now >= pending.resume_deadline() {
            return self.answer(id, unknown(id), actions);
        }
        let pause = retry::backoff(&mut self.rng, pending.resume_failures);
        let due = now.after(pause).min(pending.resume_deadline());
        self.set_state(id, State::AwaitingResume { rack }, due);
    }

    /// Resumes a request whose outcome is unknown if its rack has a live owner, else waits for one.
    fn resume(&mut self, now: Time, id: request::Id, rack: &Name, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let end = pending.resume_deadline();
        if now >= end {
            return self.answer(id, unknown(id), actions);
        }
        let Some((target, server)) = self.directory.owner(rack) else {
            self.awaiting_owner.insert(id);
            let state = State::AwaitingResume { rack: rack.clone() };
            return self.set_state(id, state, end);
        };
        let candidate = Candidate {
            target,
            server: server.name.clone(),
            distance: self.directory.distance(rack, server),
            wait: Duration::ZERO,
        };
        self.send(now, id, candidate, true, actions);
    }

    fn cancel(&mut self, now: Time, id: request::Id, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if pending.cancelled {
            return;
        }
        pending.cancelled = true;
        match pending.state.clone() {
            State::Backoff | State::AwaitingOwner => {
                self.answer(id, not_run(Reason::Cancelled), actions);
            }
            State::AwaitingResume { .. } => self.answer(id, unknown(id), actions),
            State::AwaitingVerdict { ref server, .. } => {
                actions.push(Action::Cancel {
                    call: Call {
                        request: id,
                        number: pending.calls,
                    },
                    server: server.clone(),
                });
                let until = now.after(CANCEL_GRACE).min(pending.due);
                let state = pending.state.clone();
                self.set_state(id, state, until);
            }
        }
    }

    /// Handles all requests whose timer has expired.
    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some((due, id)) = self.timers.first().copied() {
            if due > now {
                return;
            }
            self.advance(now, id, actions);
        }
    }

    /// Handles a request whose timer has expired or whose rack may have a new owner.
    fn advance(&mut self, now: Time, id: request::Id, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let expired = now >= pending.request.deadline;
        let timed_out = now >= pending.due;
        let refused = pending.last_refusal.clone();
        match pending.state.clone() {
            State::Backoff if expired => {
                let verdict = refused.unwrap_or_else(|| not_run(Reason::Expired));
                self.answer(id, verdict, actions);
            }
            State::AwaitingOwner if expired || timed_out => {
                self.answer(id, not_run(Reason::NoOwner), actions);
            }
            State::Backoff | State::AwaitingOwner => self.route(now, id, actions),
            State::AwaitingVerdict { .. } if timed_out => self.answer(id, unknown(id), actions),
            State::AwaitingVerdict { .. } => {}
            State::AwaitingResume { rack } => self.resume(now, id, &rack, actions),
        }
    }

    fn set_state(&mut self, id: request::Id, state: State, due: Time) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        self.timers.remove(&(pending.due, id));
        if due < Time::MAX {
            self.timers.insert((due, id));
        }
        pending.due = due;
        pending.state = state;
    }

    fn answer(&mut self, id: request::Id, verdict: Verdict, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        self.timers.remove(&(pending.due, id));
        self.awaiting_owner.remove(&id);
        let uncertain = pending.may_have_started && matches!(verdict, Verdict::NotRun { .. });
        let verdict = if uncertain { unknown(id) } else { verdict };
        actions.push(Action::Answer {
            request: id,
            verdict,
        });
    }
}

impl Pending {
    fn resume_deadline(&self) -> Time {
        let end = self.unknown_since.after(MAX_RESUME_TIME);
        end.min(self.request.deadline)
    }
}

/// Tells whether a request that was refused for this reason may run on another rack.
fn may_run_elsewhere(reason: Reason) -> bool {
    match reason {
        Reason::Limit
        | Reason::Overload
        | Reason::NoOwner
        | Reason::Leaving
        | Reason::Refused
        | Reason::TooLarge => true,
        Reason::Expired
        | Reason::Unauthorized
        | Reason::Cancelled
        | Reason::Preempted
        | Reason::TableUnavailable
        | Reason::Isolated
        | Reason::Gang
        | Reason::Duplicate => false,
    }
}

fn not_run(reason: Reason) -> Verdict {
    Verdict::NotRun {
        reason,
        retry_after: None,
    }
}

/// Returns an `Unknown` verdict with the first attempt, because the entry can't know which attempt
/// may have started.
fn unknown(request: request::Id) -> Verdict {
    Verdict::Unknown {
        attempt: Attempt { request, number: 1 },
    }
}
