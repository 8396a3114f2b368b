//! The machine of an entry: which rack a request is sent to, and what its caller is told.

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

/// Owners that may refuse a request before its caller hears of it.
const MAX_REFUSALS: u32 = 4;

/// Owners that may prove unreachable before a request's caller hears of it.
const MAX_UNSENT: u32 = 16;

/// How often a request is resumed whose owner can't tell its fate; the rack may get another owner.
const MAX_UNKNOWNS: u32 = 6;

/// How many losses an unknown fate counts for in the pause before the next resume.
const UNKNOWN_STEP: u32 = 3;

/// How long after its deadline a request still waits for the owner's word.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// How long a cancelled request waits for the owner's word.
const CANCEL_GRACE: Duration = Duration::from_secs(2);

/// How long a request without a live owner waits at most before its caller is told `NotRun`.
const OWNER_WAIT: Duration = Duration::from_secs(30);

/// How long a request is resumed at most; shorter than workers and owners remember what has ended.
const RESUME_WAIT: Duration = Duration::from_secs(300);

/// The least patience for a rack in another region beyond the transfer of the payload.
const BEYOND_PATIENCE: Duration = Duration::from_millis(200);

/// What the link between regions carries, in bytes per second.
const LINK_BYTES_PER_SECOND: f64 = 30_000_000.0 / 8.0;

/// The part of the link that one entry may fill.
const LINK_PART: f64 = 0.1;

/// The seconds of its part of the link that an entry may save up.
const LINK_BURST_SECONDS: f64 = 10.0;

/// What a machine is made with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setup {
    /// The name of the server.
    pub server: Name,
    /// Where the server stands.
    pub site: Site,
    /// The seed of all random choices.
    pub seed: u64,
}

/// One call to an owner on behalf of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Call {
    /// The request.
    pub request: request::Id,
    /// Counts the calls of the request from 1.
    pub number: u32,
}

/// One input of the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// The fleet as last seen.
    View(View),
    /// Where the racks stand; a rack that is missing is taken to stand where its owner stands.
    Sites {
        /// The places by rack.
        sites: BTreeMap<Name, Site>,
    },
    /// An owner's summary.
    Summary(Summary),
    /// The teams in force; replaces all earlier ones.
    Teams {
        /// The revision of the configuration; a lower one than seen is ignored.
        revision: u64,
        /// All teams.
        teams: Vec<Team>,
    },
    /// A caller hands in a request; one that is in flight is joined to the first and gets no answer
    /// of its own.
    Submit {
        /// The request.
        request: Request,
        /// The length of its payload.
        payload_bytes: u64,
    },
    /// An owner's verdict has arrived whole.
    Answered {
        /// The call.
        call: Call,
        /// The verdict.
        verdict: Verdict,
    },
    /// A call surely never left this process.
    Unsent {
        /// The call.
        call: Call,
    },
    /// The connection was lost after a call may have left; no verdict will come.
    Broken {
        /// The call.
        call: Call,
    },
    /// The caller has gone.
    Cancel {
        /// The request.
        request: request::Id,
    },
    /// Time has passed.
    Tick,
}

/// One output of the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum Action {
    /// Send a request to an owner; `Answered`, `Unsent` or `Broken` follows.
    Send {
        /// The call.
        call: Call,
        /// The request with its target set.
        request: Request,
        /// The server that owns the target.
        server: Name,
        /// Whether it is resumed rather than submitted.
        resume: bool,
    },
    /// Tell an owner that the caller has gone; the call's verdict is still awaited.
    Cancel {
        /// The call.
        call: Call,
        /// The server that the call was sent to.
        server: Name,
    },
    /// Tell the caller what became of its request; this is said once.
    Answer {
        /// The request.
        request: request::Id,
        /// What became of it.
        verdict: Verdict,
    },
}

/// What a request waits for.
#[derive(Clone, Debug)]
enum State {
    /// The pause before it is routed anew; it surely has not run.
    Pause,
    /// A rack with a live owner; it surely has not run.
    Owner,
    /// An owner's verdict.
    Verdict {
        target: Target,
        server: Name,
        resume: bool,
    },
    /// The owner of the rack that it was sent to, to be resumed there.
    Resume { rack: Name },
}

/// A request in flight.
#[derive(Debug)]
struct Flight {
    request: Request,
    payload_bytes: u64,
    taken: Time,
    state: State,
    due: Time,
    calls: u32,
    refusals: u32,
    unsent: u32,
    lost: u32,
    unknowns: u32,
    lost_at: Time,
    tried: BTreeSet<Name>,
    refused: Option<Verdict>,
    /// The epoch that it was last submitted under.
    submitted: u64,
    /// Whether it may have begun, though it surely runs nowhere now.
    may_have_begun: bool,
    cancelled: bool,
}

/// Counts of a machine since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Payload bytes sent across regions, by team.
    pub regional_bytes: BTreeMap<Name, u64>,
    /// Verdicts of calls that were no longer awaited.
    pub crossed: u64,
    /// Calls beyond the first of a request.
    pub retries: u64,
    /// Retries that the team's budget did not allow.
    pub over_budget: u64,
}

/// The machine.
#[derive(Debug)]
pub struct Router {
    setup: Setup,
    rng: ChaCha8Rng,
    field: Directory,
    revision: u64,
    teams: BTreeMap<Name, Team>,
    budget: Budget,
    link: Bucket,
    flights: BTreeMap<request::Id, Flight>,
    timers: BTreeSet<(Time, request::Id)>,
    ownerless: BTreeSet<request::Id>,
    count: Count,
}

impl Router {
    /// Makes a machine that knows no rack.
    pub fn new(setup: Setup) -> Router {
        let rate = LINK_BYTES_PER_SECOND * LINK_PART;
        Router {
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            field: Directory::new(setup.site.clone()),
            revision: 0,
            teams: BTreeMap::new(),
            budget: Budget::default(),
            link: Bucket::new(Time::default(), rate * LINK_BURST_SECONDS, rate),
            flights: BTreeMap::new(),
            timers: BTreeSet::new(),
            ownerless: BTreeSet::new(),
            count: Count::default(),
            setup,
        }
    }

    /// Returns what the machine was made with.
    pub fn setup(&self) -> &Setup {
        &self.setup
    }

    /// Returns the counts since the start.
    pub fn count(&self) -> &Count {
        &self.count
    }

    /// Returns how many requests are in flight.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Returns when the next `Tick` is due, or `None` while nothing waits for a time.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::View(view) => self.view(now, view, actions),
            Event::Sites { sites } => self.field.set_sites(sites),
            Event::Summary(summary) => self.field.set_summary(now, summary),
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
        self.field.set_view(view);
        for id in std::mem::take(&mut self.ownerless) {
            self.advance(now, id, actions);
        }
    }

    fn teams(&mut self, revision: u64, teams: Vec<Team>) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
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
        if self.flights.contains_key(&id) {
            return;
        }
        self.budget.earn(now, &request.team);
        let flight = Flight {
            request,
            payload_bytes,
            taken: now,
            state: State::Pause,
            due: now,
            calls: 0,
            refusals: 0,
            unsent: 0,
            lost: 0,
            unknowns: 0,
            lost_at: now,
            tried: BTreeSet::new(),
            refused: None,
            submitted: 0,
            may_have_begun: false,
            cancelled: false,
        };
        self.timers.insert((now, id));
        self.flights.insert(id, flight);
        self.route(now, id, actions);
    }

    /// Sends a request that surely has not run to a rack.
    fn route(&mut self, now: Time, id: request::Id, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        if self.over_limit(&flight.request) {
            return self.answer(id, not_run(Reason::Limit), actions);
        }
        let beyond = self.may_go_beyond(now, id);
        let flight = &self.flights[&id];
        let choice = self
            .field
            .choose(now, &flight.request, &flight.tried, beyond, &mut self.rng);
        match choice {
            Choice::Rack(candidate) => self.send_to(now, id, candidate, actions),
            Choice::TooLarge => self.answer(id, not_run(Reason::TooLarge), actions),
            Choice::None => self.no_rack(now, id, actions),
        }
    }

    /// Tells whether one task alone is over its team's limit over the fleet.
    fn over_limit(&self, request: &Request) -> bool {
        let team = self.teams.get(&request.team);
        team.is_some_and(|team| !request.size.fits(&team.limit))
    }

    /// Tells whether the payload may cross regions: its transfer must fit into the patience and
    /// into this entry's part of the link.
    fn may_go_beyond(&mut self, now: Time, id: request::Id) -> bool {
        let flight = &self.flights[&id];
        let bytes = flight.payload_bytes as f64;
        let transfer = Duration::from_secs_f64(bytes / LINK_BYTES_PER_SECOND);
        let needed = transfer.saturating_add(BEYOND_PATIENCE);
        flight.request.deadline.since(now) >= needed && self.link.holds(now, bytes)
    }

    /// Handles that no rack is left that was not tried.
    fn no_rack(&mut self, now: Time, id: request::Id, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if let Some(verdict) = flight.refused.clone() {
            return self.answer(id, verdict, actions);
        }
        if !flight.tried.is_empty() {
            flight.tried.clear();
            let pause = retry::backoff(&mut self.rng, flight.unsent);
            return self.wait(id, State::Pause, now.after(pause));
        }
        let until = flight.taken.after(OWNER_WAIT).min(flight.request.deadline);
        self.ownerless.insert(id);
        self.wait(id, State::Owner, until);
    }

    fn send_to(
        &mut self,
        now: Time,
        id: request::Id,
        candidate: Candidate,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.tried.insert(candidate.target.rack.clone());
        flight.submitted = candidate.target.epoch;
        let request = flight.request.clone();
        self.field.note_sent(now, &candidate.server, &request);
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
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.calls += 1;
        flight.request.target = Some(candidate.target.clone());
        self.count.retries += u64::from(flight.calls > 1);
        actions.push(Action::Send {
            call: Call {
                request: id,
                number: flight.calls,
            },
            request: flight.request.clone(),
            server: candidate.server.clone(),
            resume,
        });
        let bytes = flight.payload_bytes;
        let team = flight.request.team.clone();
        let until = flight.request.deadline.after(ANSWER_GRACE);
        let state = State::Verdict {
            target: candidate.target,
            server: candidate.server,
            resume,
        };
        self.wait(id, state, until);
        if candidate.distance == Distance::OtherRegion && !resume {
            self.link.take(now, bytes as f64);
            *self.count.regional_bytes.entry(team).or_default() += bytes;
        }
    }

    fn answered(&mut self, now: Time, call: Call, verdict: Verdict, actions: &mut Vec<Action>) {
        let Some(resume) = self.awaited(call) else {
            self.count.crossed += 1;
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
            Verdict::Unknown { .. } => self.untold(now, call.request, verdict, actions),
            Verdict::Ran { .. } => self.answer(call.request, verdict, actions),
        }
    }

    /// Handles that an owner can't tell what became of a request.
    ///
    /// An idempotent one is resumed for a while: an owner that is about to lose the rack gives up
    /// what the next owner finds, or finds to run nowhere.
    fn untold(&mut self, now: Time, id: request::Id, verdict: Verdict, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.unknowns += 1;
        flight.may_have_begun = true;
        if !flight.request.idempotent || flight.unknowns > MAX_UNKNOWNS {
            return self.answer(id, verdict, actions);
        }
        flight.lost += UNKNOWN_STEP;
        self.resume_later(now, id, actions);
    }

    /// Returns whether the call resumes, if its verdict is awaited.
    fn awaited(&self, call: Call) -> Option<bool> {
        let flight = self.flights.get(&call.request)?;
        match flight.state {
            State::Verdict { resume, .. } if flight.calls == call.number => Some(resume),
            _ => None,
        }
    }

    /// Handles a resumed owner's word that a request is not there and never will be.
    ///
    /// The owner that it was submitted to knows all that it started. A later owner knows only what
    /// it finds on the workers, and a worker that has died since may have begun the request.
    fn resumed_not_run(
        &mut self,
        now: Time,
        id: request::Id,
        reason: Reason,
        verdict: Verdict,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.lost = 0;
        let State::Verdict { target, .. } = &flight.state else {
            return;
        };
        if target.epoch != flight.submitted {
            flight.may_have_begun = true;
            if !flight.request.idempotent {
                return self.answer(id, unknown(id), actions);
            }
        }
        if reason == Reason::Cancelled || reason == Reason::Expired {
            return self.answer(id, verdict, actions);
        }
        self.refused(now, id, Reason::Refused, verdict, actions);
    }

    /// Handles an owner's word that a request has not begun and will not.
    fn refused(
        &mut self,
        now: Time,
        id: request::Id,
        reason: Reason,
        verdict: Verdict,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.refusals += 1;
        flight.refused = Some(verdict.clone());
        let last = flight.cancelled
            || flight.refusals > MAX_REFUSALS
            || now >= flight.request.deadline
            || !elsewhere(reason);
        if last {
            return self.answer(id, verdict, actions);
        }
        let moved = matches!(reason, Reason::NoOwner | Reason::Leaving);
        let failures = flight.refusals;
        let team = flight.request.team.clone();
        if !moved && !self.budget.spend(now, &team) {
            self.count.over_budget += 1;
            return self.answer(id, verdict, actions);
        }
        let pause = retry::backoff(&mut self.rng, failures);
        self.wait(id, State::Pause, now.after(pause));
    }

    fn unsent(&mut self, now: Time, call: Call, actions: &mut Vec<Action>) {
        let Some(resume) = self.awaited(call) else {
            return;
        };
        self.shun(now, call.request);
        if resume {
            return self.resume_later(now, call.request, actions);
        }
        let Some(flight) = self.flights.get_mut(&call.request) else {
            return;
        };
        flight.unsent += 1;
        if flight.cancelled || flight.unsent > MAX_UNSENT {
            let reason = if flight.cancelled {
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
        self.shun(now, call.request);
        self.resume_later(now, call.request, actions);
    }

    fn shun(&mut self, now: Time, id: request::Id) {
        let state = self.flights.get(&id).map(|flight| &flight.state);
        if let Some(State::Verdict { server, .. }) = state {
            self.field.shun(now, server);
        }
    }

    /// Pauses before a request of unknown fate is resumed on its rack.
    fn resume_later(&mut self, now: Time, id: request::Id, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let State::Verdict { target, .. } = &flight.state else {
            return;
        };
        let rack = target.rack.clone();
        if flight.lost == 0 || flight.unknowns == 1 {
            flight.lost_at = now;
        }
        flight.lost += 1;
        if flight.cancelled || now >= flight.resume_end() {
            return self.answer(id, unknown(id), actions);
        }
        let pause = retry::backoff(&mut self.rng, flight.lost);
        let due = now.after(pause).min(flight.resume_end());
        self.wait(id, State::Resume { rack }, due);
    }

    /// Resumes a request of unknown fate on its rack, if the rack has a live owner now.
    fn resume(&mut self, now: Time, id: request::Id, rack: &Name, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let end = flight.resume_end();
        if now >= end {
            return self.answer(id, unknown(id), actions);
        }
        let Some((target, server)) = self.field.owner(rack) else {
            self.ownerless.insert(id);
            let state = State::Resume { rack: rack.clone() };
            return self.wait(id, state, end);
        };
        let candidate = Candidate {
            target,
            server: server.name.clone(),
            distance: self.field.distance(rack, server),
            wait: Duration::ZERO,
        };
        self.send(now, id, candidate, true, actions);
    }

    fn cancel(&mut self, now: Time, id: request::Id, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if flight.cancelled {
            return;
        }
        flight.cancelled = true;
        match flight.state.clone() {
            State::Pause | State::Owner => {
                self.answer(id, not_run(Reason::Cancelled), actions);
            }
            State::Resume { .. } => self.answer(id, unknown(id), actions),
            State::Verdict { ref server, .. } => {
                actions.push(Action::Cancel {
                    call: Call {
                        request: id,
                        number: flight.calls,
                    },
                    server: server.clone(),
                });
                let until = now.after(CANCEL_GRACE).min(flight.due);
                let state = flight.state.clone();
                self.wait(id, state, until);
            }
        }
    }

    /// Acts on all requests whose time has come.
    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some((due, id)) = self.timers.first().copied() {
            if due > now {
                return;
            }
            self.advance(now, id, actions);
        }
    }

    /// Acts on one request whose time has come or whose rack may have a new owner.
    fn advance(&mut self, now: Time, id: request::Id, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let late = now >= flight.request.deadline;
        let waited = now >= flight.due;
        let refused = flight.refused.clone();
        match flight.state.clone() {
            State::Pause if late => {
                let verdict = refused.unwrap_or_else(|| not_run(Reason::Expired));
                self.answer(id, verdict, actions);
            }
            State::Owner if late || waited => {
                self.answer(id, not_run(Reason::NoOwner), actions);
            }
            State::Pause | State::Owner => self.route(now, id, actions),
            State::Verdict { .. } if waited => self.answer(id, unknown(id), actions),
            State::Verdict { .. } => {}
            State::Resume { rack } => self.resume(now, id, &rack, actions),
        }
    }

    fn wait(&mut self, id: request::Id, state: State, due: Time) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        self.timers.remove(&(flight.due, id));
        if due < Time::MAX {
            self.timers.insert((due, id));
        }
        flight.due = due;
        flight.state = state;
    }

    fn answer(&mut self, id: request::Id, verdict: Verdict, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        self.timers.remove(&(flight.due, id));
        self.ownerless.remove(&id);
        let untrue = flight.may_have_begun && matches!(verdict, Verdict::NotRun { .. });
        let verdict = if untrue { unknown(id) } else { verdict };
        actions.push(Action::Answer {
            request: id,
            verdict,
        });
    }
}

impl Flight {
    fn resume_end(&self) -> Time {
        let end = self.lost_at.after(RESUME_WAIT);
        end.min(self.request.deadline)
    }
}

/// Tells whether another rack may do what one refused for this reason.
fn elsewhere(reason: Reason) -> bool {
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

/// The entry can't know which attempt may have begun, so it names the first.
fn unknown(request: request::Id) -> Verdict {
    Verdict::Unknown {
        attempt: Attempt { request, number: 1 },
    }
}
