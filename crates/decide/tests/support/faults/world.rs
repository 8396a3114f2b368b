//! The simulation of one seed: processes, workers, the table and the network between them.

// The parts of a step are moved out of it.
#![allow(clippy::needless_pass_by_value)]

use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use azurepath_decide::allotment::Limit;
use azurepath_decide::attempt::{Attempt, Outcome, Refusal, Running};
use azurepath_decide::class::Class;
use azurepath_decide::event::Event;
use azurepath_decide::fleet;
use azurepath_decide::name::Name;
use azurepath_decide::ownership::{self, Place, Stored};
use azurepath_decide::request::{Id, Request};
use azurepath_decide::resource::Team;
use azurepath_decide::route;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use azurepath_decide::trace::Record;
use azurepath_decide::verdict::Verdict;
use azurepath_decide::worker::{Interrupt, Spec};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::check::{Check, Checked, ensure};
use super::server::{Input, Listed, Output, Process, Server};
use super::table::{Op, Table};
use super::worker::{Call, Reply, Worker};

const TICK: Duration = Duration::from_millis(100);
const SERVERS: usize = 3;
const RACKS: usize = 4;
const WORKERS_PER_RACK: usize = 2;

/// How long the simulation runs after the last fault. The last requests arrive in this time.
const RECOVERY_TIME: Duration = Duration::from_secs(50);

/// The factor by which the pauses between the last requests are longer, so that no team reaches its
/// limit.
const LATE_PAUSE_FACTOR: f64 = 4.0;

/// How long a process may act on outdated information after a pause.
const RESUME_GRACE: Duration = Duration::from_millis(1_000);

/// Which faults happen in a simulation, and how often.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The length of the period with faults.
    pub span: Duration,
    /// The mean time between two faults. `None` means no faults.
    pub faults: Option<Duration>,
    /// The fraction of messages that are lost, late or duplicated.
    pub bad_messages: f64,
    /// Whether planned stops of servers are the only faults.
    pub planned_only: bool,
    /// Requests per second.
    pub arrivals_per_second: f64,
    /// Whether the first process records the events of its cell.
    pub record: bool,
}

impl Plan {
    pub const FAULTS: Plan = Plan {
        span: Duration::from_secs(30),
        faults: Some(Duration::from_millis(900)),
        bad_messages: 0.06,
        planned_only: false,
        arrivals_per_second: 8.0,
        record: false,
    };

    pub const STOPS: Plan = Plan {
        faults: Some(Duration::from_millis(5_000)),
        bad_messages: 0.0,
        planned_only: true,
        ..Plan::FAULTS
    };
}

/// A step of the simulation.
#[derive(Debug)]
enum Step {
    Tick(Process),
    Input(Process, Input),
    Table {
        from: Process,
        op: Op,
        answer: bool,
    },
    Worker {
        from: Process,
        worker: Name,
        call: Call,
        answer: bool,
    },
    Deliver {
        from: Process,
        to: Process,
        call: route::Call,
        request: Request,
        resume: bool,
    },
    End {
        worker: Name,
        attempt: Attempt,
        outcome: Outcome,
    },
    Leases,
    Arrive,
    Fault,
    Restart(Name),
}

struct Due {
    at: Time,
    order: u64,
    step: Step,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// How the network delivers a message and its answer.
enum Delivery {
    Normal,
    Lost,
    AnswerLost,
    Late,
    Duplicated,
}

pub struct World {
    plan: Plan,
    seed: u64,
    rng: ChaCha8Rng,
    now: Time,
    heap: BinaryHeap<Due>,
    order: u64,
    pub steps: u64,
    table: Table,
    table_down_until: Time,
    answers_lost_until: Time,
    servers: BTreeMap<Name, Server>,
    server_starts: u64,
    workers: BTreeMap<Name, Worker>,
    /// Processes that wait for the end of an attempt.
    waiters: BTreeMap<(Name, Attempt), Vec<Process>>,
    /// The process that each call was sent to.
    sent: BTreeMap<(Process, route::Call), Process>,
    entries: BTreeMap<Id, (Process, Request, bool)>,
    teams: Vec<Team>,
    last_id: u128,
    check: Check,
    log: Vec<String>,
    pub verdicts: BTreeMap<String, u64>,
    pub faults: BTreeMap<&'static str, u64>,
}

impl World {
    pub fn new(seed: u64, plan: Plan) -> World {
        let teams = teams();
        let mut world = World {
            plan,
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time(0),
            heap: BinaryHeap::new(),
            order: 0,
            steps: 0,
            table: Table::default(),
            table_down_until: Time(0),
            answers_lost_until: Time(0),
            servers: BTreeMap::new(),
            server_starts: 0,
            workers: BTreeMap::new(),
            waiters: BTreeMap::new(),
            sent: BTreeMap::new(),
            entries: BTreeMap::new(),
            teams,
            last_id: 0,
            check: Check::default(),
            log: Vec::new(),
            verdicts: BTreeMap::new(),
            faults: BTreeMap::new(),
        };
        world.check.planned_only = plan.planned_only;
        world.prepare();
        world
    }

    fn prepare(&mut self) {
        for team in self.teams.clone() {
            let limit = Limit {
                limit: team.limit,
                held: Size::ZERO,
                ..Limit::default()
            };
            let row = Stored {
                revision: 1,
                row: limit,
            };
            self.table.revision = 1;
            self.table.limits.insert(team.name.clone(), row);
            self.check.limits.insert(team.name, team.limit);
        }
        for index in 0..RACKS * WORKERS_PER_RACK {
            let clock_drift = self.rng.random_range(0.95..1.05);
            let worker = Worker::new(spec(index), clock_drift);
            self.workers.insert(worker.name().clone(), worker);
        }
        for index in 0..SERVERS {
            self.start_server(&server_name(index));
        }
        self.schedule(Time::from_millis(100), Step::Leases);
        self.schedule(Time::from_millis(3_000), Step::Arrive);
        if self.plan.faults.is_some() {
            self.schedule(Time::from_millis(4_000), Step::Fault);
        }
    }

    /// Runs to the end or to the first violation.
    ///
    /// # Errors
    ///
    /// Returns the violation, preceded by the last events and the state.
    pub fn run(&mut self) -> Checked {
        let end = self.end_time();
        while let Some(due) = self.heap.pop() {
            if due.at > end {
                break;
            }
            self.now = due.at;
            self.steps += 1;
            let result = self.step(due.step);
            if let Err(text) = result {
                return self.fail(&text);
            }
        }
        let result = self.check.all_answered();
        let result = result.and_then(|()| self.late_requests_ran());
        result.or_else(|text| self.fail(&text))
    }

    fn fail(&self, text: &str) -> Checked {
        let tail = self.log.len().saturating_sub(SHOWN_LOG_LINES);
        let log = self.log[tail..].join("\n");
        let state = self.describe_state();
        Err(format!(
            "{log}\n{state}seed {} at {:?}: {text}",
            self.seed, self.now
        ))
    }

    /// Returns the rows of racks and limits and the running attempts as text.
    fn describe_state(&self) -> String {
        let mut text = String::new();
        for (name, rack) in &self.table.rows.racks {
            let Stored { revision, row } = rack;
            text += &format!("{name} at {revision}: {row:?}\n");
        }
        for (team, limit) in &self.table.limits {
            text += &format!("{team}: {limit:?}\n");
        }
        for (name, worker) in &self.workers {
            let running: Vec<String> = worker
                .running
                .values()
                .map(|run| format!("{} {}", run.attempt, run.team))
                .collect();
            let epoch = worker.epoch;
            text += &format!("{name} epoch {epoch} runs {running:?}\n");
        }
        text
    }

    fn faults_end(&self) -> Time {
        Time::from_millis(4_000).after(self.plan.span)
    }

    fn end_time(&self) -> Time {
        self.faults_end().after(RECOVERY_TIME)
    }

    /// Checks that the requests that came after the last fault ran.
    fn late_requests_ran(&self) -> Checked {
        let late = self
            .entries
            .iter()
            .filter(|(_, (_, request, _))| request.kind.as_ref() == "late");
        for (id, _) in late {
            let verdict = &self.check.histories[id].verdict;
            let ran = matches!(verdict, Some(Verdict::Ran { .. }));
            ensure(ran, || {
                format!("{id} came after the last fault and was answered {verdict:?}")
            })?;
        }
        Ok(())
    }

    fn schedule(&mut self, at: Time, step: Step) {
        self.order += 1;
        self.heap.push(Due {
            at,
            order: self.order,
            step,
        });
    }

    fn schedule_soon(&mut self, step: Step) {
        let delay = self.random_delay();
        self.schedule(self.now.after(delay), step);
    }

    fn random_delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..5_000))
    }

    fn random_timeout(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(200..2_000))
    }

    fn faults_active(&self) -> bool {
        self.now < self.faults_end()
    }

    fn random_delivery(&mut self) -> Delivery {
        if !self.faults_active() || !self.rng.random_bool(self.plan.bad_messages) {
            return Delivery::Normal;
        }
        match self.rng.random_range(0..4) {
            0 => Delivery::Lost,
            1 => Delivery::AnswerLost,
            2 => Delivery::Late,
            _ => Delivery::Duplicated,
        }
    }

    fn log_event(&mut self, text: impl FnOnce() -> String) {
        let text = text();
        self.log.push(format!("{:>9} {text}", self.now.0 / 1_000));
    }

    fn start_server(&mut self, name: &Name) {
        self.server_starts += 1;
        let incarnation = self.server_starts;
        let me = fleet_server(name, incarnation);
        let seed = self.seed.wrapping_mul(1_000).wrapping_add(incarnation);
        let mut server = Server::new(&me, seed, &self.teams, places());
        if self.plan.record && incarnation == 1 {
            server.trace = Some(Vec::new());
        }
        let process = server.id.clone();
        self.log_event(|| format!("{name} starts as incarnation {incarnation}"));
        self.servers.insert(name.clone(), server);
        self.schedule_soon(Step::Tick(process));
    }

    /// Returns the setup and the events that the first process recorded.
    pub fn records(&mut self) -> Option<(azurepath_decide::cell::Setup, Vec<Record>)> {
        let server = self.servers.get_mut(&server_name(0))?;
        let trace = server.trace.take()?;
        Some((server.cell_setup(), trace))
    }

    fn is_live(&self, process: &Process) -> bool {
        self.servers
            .get(&process.name)
            .is_some_and(|server| server.id == *process)
    }

    fn step(&mut self, step: Step) -> Checked {
        match step {
            Step::Tick(process) => {
                if !self.is_live(&process) {
                    return Ok(());
                }
                let list = self.instance_list();
                let now = self.now;
                self.schedule(now.after(TICK), Step::Tick(process.clone()));
                if self.paused_until(&process).is_some() {
                    return Ok(());
                }
                let mut out = Vec::new();
                if let Some(server) = self.servers.get_mut(&process.name) {
                    server.update_instances(now, &list, &mut out);
                    server.handle(now, Input::Tick, &mut out);
                }
                self.carry_out(&process, out)
            }
            Step::Input(process, input) => self.input(process, input),
            Step::Table { from, op, answer } => {
                self.handle_table_call(from, op, answer);
                Ok(())
            }
            Step::Worker {
                from,
                worker,
                call,
                answer,
            } => self.handle_worker_call(from, &worker, &call, answer),
            Step::Deliver {
                from,
                to,
                call,
                request,
                resume,
            } => {
                self.deliver(from, to, call, request, resume);
                Ok(())
            }
            Step::End {
                worker,
                attempt,
                outcome,
            } => {
                self.end_task(&worker, attempt, outcome);
                Ok(())
            }
            Step::Leases => {
                self.expire_leases();
                Ok(())
            }
            Step::Arrive => self.arrive(),
            Step::Fault => {
                self.fault();
                Ok(())
            }
            Step::Restart(name) => {
                self.start_server(&name);
                Ok(())
            }
        }
    }

    fn paused_until(&self, process: &Process) -> Option<Time> {
        let server = self.servers.get(&process.name)?;
        (server.paused_until > self.now).then_some(server.paused_until)
    }

    fn input(&mut self, process: Process, input: Input) -> Checked {
        if !self.is_live(&process) {
            return Ok(());
        }
        if let Some(until) = self.paused_until(&process) {
            self.schedule(until, Step::Input(process, input));
            return Ok(());
        }
        let mut out = Vec::new();
        let now = self.now;
        if let Some(server) = self.servers.get_mut(&process.name) {
            server.handle(now, input, &mut out);
        }
        self.carry_out(&process, out)
    }

    fn carry_out(&mut self, from: &Process, out: Vec<Output>) -> Checked {
        for output in out {
            self.output(from, output)?;
        }
        Ok(())
    }

    fn output(&mut self, from: &Process, output: Output) -> Checked {
        match output {
            Output::Table(op) => self.call_table(from, op),
            Output::Worker { worker, call } => self.call_worker(from, &worker, &call),
            Output::Start {
                worker,
                epoch,
                attempt,
                size,
            } => return self.call_start(from, &worker, epoch, attempt, size),
            Output::Send {
                server,
                call,
                request,
                resume,
            } => self.send(from, &server, call, request, resume),
            Output::Cancel { server, request } => {
                if let Some(server) = self.servers.get(&server) {
                    let to = server.id.clone();
                    self.schedule_soon(Step::Input(to, Input::Cell(Event::Cancel { request })));
                }
            }
            Output::Verdict { to, verdict } => self.send_verdict(to.0, to.1, verdict),
            Output::Answer { request, verdict } => {
                self.log_event(|| format!("{} answers {request}: {verdict:?}", from.name));
                let label = azurepath_decide::replay::label(&verdict);
                *self.verdicts.entry(label).or_default() += 1;
                return self.check.answered(self.now, request, &verdict);
            }
            Output::Hint { server } => {
                if let Some(server) = self.servers.get(&server) {
                    let to = server.id.clone();
                    self.schedule_soon(Step::Input(to, Input::Member(ownership::Event::Hint)));
                }
            }
            Output::Publish(summary) => {
                let others = self.servers.values().map(|server| server.id.clone());
                for to in others.filter(|to| to != from).collect::<Vec<_>>() {
                    let peer = Input::Cell(Event::Peer(summary.clone()));
                    self.schedule_soon(Step::Input(to.clone(), peer));
                    let known = Input::Router(route::Event::Summary(summary.clone()));
                    self.schedule_soon(Step::Input(to, known));
                }
            }
            Output::Exit => {
                self.log_event(|| format!("{} exits", from.name));
                self.kill(&from.name, Duration::from_secs(2));
            }
        }
        Ok(())
    }

    fn call_table(&mut self, from: &Process, op: Op) {
        let step = |op, answer| Step::Table {
            from: from.clone(),
            op,
            answer,
        };
        let lost = Step::Input(
            from.clone(),
            Input::Table {
                op: op.clone(),
                reply: op.without_reply(ownership::Outcome::Lost),
            },
        );
        let timeout = self.random_timeout();
        let timeout = self.now.after(timeout);
        match self.random_delivery() {
            Delivery::Normal | Delivery::Duplicated => self.schedule_soon(step(op, true)),
            Delivery::Lost => self.schedule(timeout, lost),
            Delivery::AnswerLost => {
                self.schedule_soon(step(op, false));
                self.schedule(timeout, lost);
            }
            Delivery::Late => {
                let late = timeout.after(Duration::from_millis(900));
                self.schedule(late, step(op, false));
                self.schedule(timeout, lost);
            }
        }
    }

    fn handle_table_call(&mut self, from: Process, op: Op, answer: bool) {
        let reply = if self.now < self.table_down_until {
            op.without_reply(ownership::Outcome::Failed)
        } else {
            self.table.apply(&op)
        };
        if let Op::Plan(_) | Op::Write(ownership::Write::Rack { .. }) = op {
            self.log_event(|| format!("{} writes {op:?}: {reply:?}", from.name));
        }
        if !answer {
            return;
        }
        let (reply, delay) = if self.now < self.answers_lost_until {
            (
                op.without_reply(ownership::Outcome::Lost),
                self.random_timeout(),
            )
        } else {
            (reply, self.random_delay())
        };
        let input = Input::Table { op, reply };
        self.schedule(self.now.after(delay), Step::Input(from, input));
    }

    fn call_start(
        &mut self,
        from: &Process,
        worker: &Name,
        epoch: u64,
        attempt: Attempt,
        size: Size,
    ) -> Checked {
        let Some(request) = self.servers[&from.name].request(attempt.request) else {
            return Ok(());
        };
        let running = Running {
            attempt,
            team: request.team.clone(),
            kind: request.kind.clone(),
            class: request.class,
            size,
            gang: request.gang,
            idempotent: request.idempotent,
        };
        let run_time = Duration::from_millis(self.rng.random_range(50..4_000));
        let call = Call::Start {
            epoch,
            running,
            run_time,
        };
        let since = self.servers[&from.name].paused_until;
        if self.now.since(since) > RESUME_GRACE {
            self.check.start_sent(self.now, &self.workers[worker])?;
        }
        self.call_worker(from, worker, &call);
        Ok(())
    }

    fn call_worker(&mut self, from: &Process, worker: &Name, call: &Call) {
        let step = |answer| Step::Worker {
            from: from.clone(),
            worker: worker.clone(),
            call: call.clone(),
            answer,
        };
        let (first, second, third) = (step(true), step(true), step(false));
        let timeout = self.random_timeout();
        let timeout = self.now.after(timeout);
        let lost = no_reply_input(worker, call).map(|input| Step::Input(from.clone(), input));
        match self.random_delivery() {
            Delivery::Normal => return self.schedule_soon(first),
            Delivery::Duplicated => {
                self.schedule_soon(first);
                return self.schedule_soon(second);
            }
            Delivery::Lost => {}
            Delivery::AnswerLost => self.schedule_soon(third),
            Delivery::Late => {
                let late = Duration::from_millis(self.rng.random_range(500..8_000));
                self.schedule(timeout.after(late), third);
            }
        }
        if let Some(lost) = lost {
            self.schedule(timeout, lost);
        }
    }

    fn handle_worker_call(
        &mut self,
        from: Process,
        name: &Name,
        call: &Call,
        answer: bool,
    ) -> Checked {
        let now = self.now;
        let worker = &self.workers[name];
        let dead = worker.dead_since.is_some();
        if dead || worker.unresponsive_until > now {
            if answer && let Some(input) = unreachable_input(name, call, dead) {
                let delay = if dead {
                    self.random_delay()
                } else {
                    self.random_timeout()
                };
                self.schedule(now.after(delay), Step::Input(from, input));
            }
            return Ok(());
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return Ok(());
        };
        let reply = worker.handle(now, call);
        self.handle_reply(&from, name, call, &reply, answer)?;
        if answer && let Some(input) = reply_input(name, call, reply) {
            self.schedule_soon(Step::Input(from, input));
        }
        Ok(())
    }

    fn handle_reply(
        &mut self,
        from: &Process,
        name: &Name,
        call: &Call,
        reply: &Reply,
        answer: bool,
    ) -> Checked {
        match (call, reply) {
            (
                Call::Start {
                    running, run_time, ..
                },
                Reply::Started,
            ) => {
                let attempt = running.attempt;
                self.log_event(|| {
                    format!(
                        "{name} begins {attempt} for {} {:?}",
                        running.team, running.size.slots
                    )
                });
                self.wait_for(name, attempt, from, answer);
                let failing = self.workers[name].failing_until > self.now;
                let (run_time, outcome) = if failing {
                    (Duration::from_millis(5), Outcome::Failed)
                } else {
                    (*run_time, Outcome::Done)
                };
                let step = Step::End {
                    worker: name.clone(),
                    attempt,
                    outcome,
                };
                self.schedule(self.now.after(run_time), step);
                self.check
                    .started(attempt, &self.workers[name], &self.workers)
            }
            (Call::Attach { attempt }, Reply::Started) => {
                self.wait_for(name, *attempt, from, answer);
                Ok(())
            }
            (Call::Interrupt { attempt, how, .. }, Reply::Done) => {
                let outcome = match how {
                    Interrupt::Throttle => return Ok(()),
                    Interrupt::Checkpoint => Outcome::Checkpointed,
                    Interrupt::Stop => Outcome::Stopped,
                };
                self.end_task(name, *attempt, outcome);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn wait_for(&mut self, worker: &Name, attempt: Attempt, process: &Process, answer: bool) {
        if answer {
            let key = (worker.clone(), attempt);
            let waiters = self.waiters.entry(key).or_default();
            waiters.push(process.clone());
        }
    }

    fn end_task(&mut self, name: &Name, attempt: Attempt, outcome: Outcome) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if !worker.end(attempt, outcome) {
            return;
        }
        self.log_event(|| format!("{name} ends {attempt} {outcome}"));
        self.check.ended(attempt, name, outcome);
        let key = (name.clone(), attempt);
        for process in self.waiters.remove(&key).unwrap_or_default() {
            let unresponsive = self.workers[name].unresponsive_until > self.now;
            let bad = unresponsive
                || matches!(
                    self.random_delivery(),
                    Delivery::Lost | Delivery::AnswerLost
                );
            let worker = name.clone();
            let event = if bad {
                Event::Lost { attempt, worker }
            } else {
                Event::Ended {
                    attempt,
                    worker,
                    outcome,
                }
            };
            self.schedule_soon(Step::Input(process, Input::Cell(event)));
        }
    }

    /// Stops the attempts on workers whose lease has expired, and removes workers that have left.
    fn expire_leases(&mut self) {
        let expired =
            |worker: &&Worker| worker.dead_since.is_none() && self.now > worker.lease_until;
        let expired = self.workers.values().filter(expired);
        let attempts: Vec<(Name, Attempt)> = expired
            .flat_map(|worker| {
                let attempts = worker.running.keys();
                attempts.map(|attempt| (worker.name().clone(), *attempt))
            })
            .collect();
        for (worker, attempt) in attempts {
            self.end_task(&worker, attempt, Outcome::Stopped);
        }
        self.schedule(self.now.after(TICK), Step::Leases);
        let is_long_ago = |since: Option<Time>| {
            since.is_some_and(|since| self.now.since(since) > Duration::from_secs(8))
        };
        let left = |worker: &&Worker| {
            worker.dead_since.is_none()
                && worker.running.is_empty()
                && is_long_ago(worker.leaving_since)
        };
        let left = self.workers.values().filter(left);
        let left: Vec<Name> = left.map(|worker| worker.name().clone()).collect();
        for name in left {
            self.worker_death(&name);
        }
    }

    fn instance_list(&self) -> BTreeMap<Name, Listed> {
        let now = self.now;
        let lag = Duration::from_millis(1_500);
        let is_known = |since: Option<Time>| since.is_some_and(|since| now.since(since) > lag);
        let workers = self.workers.values();
        let listed = workers.filter(|worker| !is_known(worker.dead_since));
        let entry = |worker: &Worker| Listed {
            spec: worker.spec.clone(),
            leaving: is_known(worker.leaving_since),
        };
        listed
            .map(|worker| (worker.name().clone(), entry(worker)))
            .collect()
    }

    fn send(
        &mut self,
        from: &Process,
        to: &Name,
        call: route::Call,
        request: Request,
        resume: bool,
    ) {
        let Some(server) = self.servers.get(to) else {
            let unsent = Input::Router(route::Event::Unsent { call });
            return self.schedule_soon(Step::Input(from.clone(), unsent));
        };
        let to = server.id.clone();
        self.log_event(|| {
            let target = &request.target;
            format!(
                "{} sends {} to {} {target:?} resume {resume}",
                from.name, request.id, to.name
            )
        });
        self.sent.insert((from.clone(), call), to.clone());
        let deliver = |request| Step::Deliver {
            from: from.clone(),
            to: to.clone(),
            call,
            request,
            resume,
        };
        let broken = Step::Input(from.clone(), Input::Router(route::Event::Broken { call }));
        let timeout = self.random_timeout();
        let timeout = self.now.after(timeout);
        match self.random_delivery() {
            Delivery::Normal | Delivery::AnswerLost => self.schedule_soon(deliver(request)),
            Delivery::Duplicated => {
                self.schedule_soon(deliver(request.clone()));
                self.schedule_soon(deliver(request));
            }
            Delivery::Lost => self.schedule(timeout, broken),
            Delivery::Late => {
                let late = Duration::from_millis(self.rng.random_range(10..8_000));
                self.schedule(timeout.after(late), deliver(request));
                self.schedule(timeout, broken);
            }
        }
    }

    fn deliver(
        &mut self,
        from: Process,
        to: Process,
        call: route::Call,
        request: Request,
        resume: bool,
    ) {
        if self.is_live(&to) {
            let input = Input::Deliver {
                from,
                call,
                request,
                resume,
            };
            return self.schedule(self.now, Step::Input(to, input));
        }
        let event = if self.rng.random_bool(0.5) {
            route::Event::Unsent { call }
        } else {
            route::Event::Broken { call }
        };
        self.schedule_soon(Step::Input(from, Input::Router(event)));
    }

    fn send_verdict(&mut self, to: Process, call: route::Call, verdict: Verdict) {
        let answered = |verdict| Input::Router(route::Event::Answered { call, verdict });
        let broken = Input::Router(route::Event::Broken { call });
        match self.random_delivery() {
            Delivery::Normal => self.schedule_soon(Step::Input(to, answered(verdict))),
            Delivery::Duplicated => {
                self.schedule_soon(Step::Input(to.clone(), answered(verdict.clone())));
                self.schedule_soon(Step::Input(to, answered(verdict)));
            }
            Delivery::Lost | Delivery::AnswerLost => self.schedule_soon(Step::Input(to, broken)),
            Delivery::Late => {
                self.schedule_soon(Step::Input(to.clone(), broken));
                let timeout = self.random_timeout();
                let late = self.now.after(timeout);
                self.schedule(late, Step::Input(to, answered(verdict)));
            }
        }
    }

    fn arrive(&mut self) -> Checked {
        let settle_time = Duration::from_secs(20);
        let late = self.now > self.faults_end().after(settle_time);
        if self.now < self.end_time().after(Duration::ZERO) && !self.arrivals_over() {
            let factor = if late { LATE_PAUSE_FACTOR } else { 1.0 };
            let pause = Duration::from_secs_f64(factor / self.plan.arrivals_per_second);
            let pause = pause.mul_f64(self.rng.random_range(0.1..1.9));
            self.schedule(self.now.after(pause), Step::Arrive);
        }
        if !self.faults_active() && !late {
            return Ok(());
        }
        let Some(entry) = self.entry() else {
            return Ok(());
        };
        let request = self.random_request(late);
        let repeatable = self.rng.random_bool(0.3);
        self.check.submitted(&request);
        let submission = (entry.clone(), request.clone(), repeatable);
        self.entries.insert(request.id, submission);
        let id = request.id;
        if self.faults_active() && !self.plan.planned_only && self.rng.random_bool(0.1) {
            let pause = Duration::from_millis(self.rng.random_range(1..3_000));
            let cancel = Input::Router(route::Event::Cancel { request: id });
            self.schedule(self.now.after(pause), Step::Input(entry.clone(), cancel));
        }
        self.input(
            entry,
            Input::Arrive {
                request,
                repeatable,
            },
        )
    }

    fn arrivals_over(&self) -> bool {
        self.end_time().since(self.now) < Duration::from_secs(25)
    }

    /// Returns a random process that accepts requests from callers.
    fn entry(&mut self) -> Option<Process> {
        let now = self.now;
        let open = |server: &&Server| !server.stopping && server.paused_until <= now;
        let open: Vec<Process> = self
            .servers
            .values()
            .filter(open)
            .map(|server| server.id.clone())
            .collect();
        if open.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..open.len());
        Some(open[index].clone())
    }

    fn random_request(&mut self, late: bool) -> Request {
        self.last_id += 1;
        let team = self.rng.random_range(0..self.teams.len());
        let cores = [1, 1, 2, 4][self.rng.random_range(0..4)];
        let timeout_ms = if late || self.plan.planned_only {
            20_000
        } else {
            self.rng.random_range(500..15_000)
        };
        let class = [Class::Urgent, Class::Batch, Class::Batch][self.rng.random_range(0..3)];
        Request {
            id: Id(self.last_id),
            team: self.teams[team].name.clone(),
            kind: if late { "late" } else { "early" }.into(),
            class,
            size: size(cores),
            estimate: Duration::from_millis(self.rng.random_range(10..10_000)),
            deadline: self.now.after(Duration::from_millis(timeout_ms)),
            idempotent: self.rng.random_bool(0.6),
            gang: None,
            target: None,
        }
    }

    fn fault(&mut self) {
        let Some(mean) = self.plan.faults.filter(|_| self.faults_active()) else {
            return;
        };
        let pause = mean.mul_f64(self.rng.random_range(0.1..1.9));
        self.schedule(self.now.after(pause), Step::Fault);
        let span = Duration::from_millis(self.rng.random_range(300..9_000));
        let until = self.now.after(span);
        let server = server_name(self.rng.random_range(0..SERVERS));
        let worker = self.rng.random_range(0..self.workers.len());
        let worker = self
            .workers
            .keys()
            .nth(worker)
            .cloned()
            .expect("workers exist");
        let kind = if self.plan.planned_only {
            2
        } else {
            self.rng.random_range(0..9)
        };
        let name = match kind {
            0 => self.pause(&server, until),
            1 => self.crash(&server),
            2 => self.stop(&server),
            3 => {
                self.table_down_until = until;
                "table down"
            }
            4 => {
                self.answers_lost_until = until;
                "table answers lost"
            }
            5 => self.worker_fault(
                &worker,
                |worker, _| worker.unresponsive_until = until,
                "worker silent",
            ),
            6 => self.worker_fault(
                &worker,
                |worker, _| worker.failing_until = until,
                "worker failing",
            ),
            7 => self.worker_fault(&worker, start_leaving, "worker leaving"),
            _ => self.worker_death(&worker),
        };
        self.log_event(|| format!("FAULT {name} {server} {worker} {span:?}"));
        *self.faults.entry(name).or_default() += 1;
    }

    fn pause(&mut self, name: &Name, until: Time) -> &'static str {
        if let Some(server) = self.servers.get_mut(name) {
            server.paused_until = until;
        }
        "server paused"
    }

    fn crash(&mut self, name: &Name) -> &'static str {
        let pause = Duration::from_millis(self.rng.random_range(50..6_000));
        self.kill(name, pause);
        "server killed"
    }

    fn stop(&mut self, name: &Name) -> &'static str {
        let others = self
            .servers
            .values()
            .filter(|server| !server.stopping)
            .count();
        if others > 1
            && let Some(server) = self.servers.get(name)
            && !server.stopping
        {
            let to = server.id.clone();
            self.schedule(self.now, Step::Input(to, Input::Stop));
        }
        "server stopped"
    }

    /// Ends a process. The calls that were sent to it fail.
    fn kill(&mut self, name: &Name, pause: Duration) {
        let Some(server) = self.servers.remove(name) else {
            return;
        };
        let process = server.id;
        let lost: Vec<(Process, route::Call)> = self
            .sent
            .iter()
            .filter(|(_, to)| **to == process)
            .map(|(key, _)| key.clone())
            .collect();
        for (from, call) in lost {
            self.sent.remove(&(from.clone(), call));
            let broken = Input::Router(route::Event::Broken { call });
            self.schedule_soon(Step::Input(from, broken));
        }
        self.resubmit_requests(&process);
        self.schedule(self.now.after(pause), Step::Restart(name.clone()));
    }

    /// Lets the callers of a dead entry server send their open requests again through another, or
    /// marks the requests as lost.
    fn resubmit_requests(&mut self, process: &Process) {
        let open: Vec<(Id, Request, bool)> = self
            .entries
            .iter()
            .filter(|(id, (at, ..))| at == process && self.check.histories[*id].verdict.is_none())
            .map(|(id, (_, request, repeatable))| (*id, request.clone(), *repeatable))
            .collect();
        for (id, request, repeatable) in open {
            let planned = self.plan.planned_only;
            let retries = repeatable && !planned && request.kind.as_ref() != "late";
            let entry = self.entry().filter(|_| retries);
            let Some(entry) = entry else {
                if let Some(history) = self.check.histories.get_mut(&id) {
                    history.entry_died = !planned;
                }
                continue;
            };
            self.entries
                .insert(id, (entry.clone(), request.clone(), true));
            self.schedule_soon(Step::Input(
                entry,
                Input::Arrive {
                    request,
                    repeatable,
                },
            ));
        }
    }

    fn worker_fault(
        &mut self,
        name: &Name,
        change: impl FnOnce(&mut Worker, Time),
        text: &'static str,
    ) -> &'static str {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(name) {
            change(worker, now);
        }
        text
    }

    /// Ends a worker for good and adds a new one in its place.
    fn worker_death(&mut self, name: &Name) -> &'static str {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else {
            return "none";
        };
        if worker.dead_since.is_some() {
            return "worker dead before";
        }
        worker.dead_since = Some(now);
        let attempts: Vec<Attempt> = worker.running.keys().copied().collect();
        worker.running.clear();
        let spec = worker.spec.clone();
        for attempt in attempts {
            let key = (name.clone(), attempt);
            for process in self.waiters.remove(&key).unwrap_or_default() {
                let worker = name.clone();
                let event = Event::Lost { attempt, worker };
                self.schedule_soon(Step::Input(process, Input::Cell(event)));
            }
        }
        let spec = Spec {
            name: format!("{}x", spec.name).into(),
            ..spec
        };
        let clock_drift = self.rng.random_range(0.95..1.05);
        let worker = Worker::new(spec, clock_drift);
        self.workers.insert(worker.name().clone(), worker);
        "worker dead"
    }
}

/// How many of the last log lines are shown with a failure.
const SHOWN_LOG_LINES: usize = 400;

fn start_leaving(worker: &mut Worker, now: Time) {
    worker.leaving_since.get_or_insert(now);
}

/// Returns the input of a process whose call to a worker was not answered.
fn no_reply_input(worker: &Name, call: &Call) -> Option<Input> {
    let worker = worker.clone();
    Some(match call {
        Call::Claim { .. } | Call::Renew { .. } => Input::Cell(Event::Unreachable { worker }),
        Call::Start { running, .. } => Input::Cell(Event::Lost {
            attempt: running.attempt,
            worker,
        }),
        Call::Attach { attempt } => Input::Cell(Event::Lost {
            attempt: *attempt,
            worker,
        }),
        Call::Interrupt { .. } => return None,
        Call::Probe { .. } => Input::Cell(Event::Probed {
            worker,
            healthy: false,
        }),
    })
}

/// Returns the input of a process whose call did not reach the worker.
fn unreachable_input(worker: &Name, call: &Call, refused: bool) -> Option<Input> {
    match call {
        Call::Start { running, .. } if refused => Some(Input::Cell(Event::Refused {
            attempt: running.attempt,
            worker: worker.clone(),
            refusal: Refusal::Unreachable,
        })),
        _ => no_reply_input(worker, call),
    }
}

/// Returns the input of a process whose call to a worker was answered.
fn reply_input(worker: &Name, call: &Call, reply: Reply) -> Option<Input> {
    let worker = worker.clone();
    Some(match (call, reply) {
        (_, Reply::Claimed(inventory)) => Input::Claimed(inventory),
        (_, Reply::Renewed { report, leaving }) => {
            if leaving {
                Input::Cell(Event::Leave { worker })
            } else {
                Input::Cell(Event::Report(report))
            }
        }
        (Call::Start { running, .. }, Reply::Started) => Input::Cell(Event::Started {
            attempt: running.attempt,
            worker,
        }),
        (Call::Start { running, .. }, Reply::Refused(refusal)) => Input::Cell(Event::Refused {
            attempt: running.attempt,
            worker,
            refusal,
        }),
        (Call::Claim { .. } | Call::Renew { .. }, Reply::Refused(_)) => Input::Fenced { worker },
        (Call::Attach { attempt }, Reply::Ended(outcome)) => Input::Cell(Event::Ended {
            attempt: *attempt,
            worker,
            outcome,
        }),
        (Call::Attach { attempt }, Reply::Unknown) => Input::Cell(Event::Lost {
            attempt: *attempt,
            worker,
        }),
        (_, Reply::Probed(healthy)) => Input::Cell(Event::Probed { worker, healthy }),
        _ => return None,
    })
}

fn size(cores: u64) -> Size {
    Size {
        millicores: cores * 1_000,
        memory_mib: cores * 1_024,
        accelerators: 0,
        slots: 1,
    }
}

fn teams() -> Vec<Team> {
    let team = |(name, share, limit): (&str, u32, Size)| Team {
        name: name.into(),
        account: "lumen".into(),
        share,
        limit,
    };
    let few = Size {
        slots: 3,
        ..size(12)
    };
    let many = Size {
        slots: 12,
        ..size(24)
    };
    let all = Size {
        slots: 100,
        ..size(200)
    };
    [("few", 1, few), ("many", 2, many), ("all", 1, all)]
        .map(team)
        .into()
}

fn spec(index: usize) -> Spec {
    let rack = index / WORKERS_PER_RACK;
    Spec {
        name: format!("w{index}").into(),
        rack: format!("r{rack}").into(),
        failure_domain: domain(rack).into(),
        region: "ch-north".into(),
        capacity: Size {
            slots: 4,
            ..size(8)
        },
    }
}

fn places() -> BTreeMap<Name, Place> {
    let place = |rack: usize| Place {
        failure_domain: domain(rack).into(),
        region: "ch-north".into(),
    };
    (0..RACKS)
        .map(|rack| (format!("r{rack}").into(), place(rack)))
        .collect()
}

fn domain(index: usize) -> &'static str {
    ["zrh-a", "zrh-b"][index % 2]
}

fn server_name(index: usize) -> Name {
    format!("s{index}").into()
}

fn fleet_server(name: &Name, incarnation: u64) -> fleet::Server {
    let index = usize::from(name.as_bytes()[1] - b'0');
    fleet::Server {
        name: name.clone(),
        incarnation,
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: domain(index).into(),
        region: "ch-north".into(),
        leaving: false,
    }
}
