//! The simulation: successive leaders, workers, a store, and faults between them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::config::{Account, Config, Queue};
use azurepath_decide::batch::fleet::{Entry, Status};
use azurepath_decide::batch::record::{BlockId, Change, Fit, Progress, Record, Stored};
use azurepath_decide::batch::report::{Outcome, Report};
use azurepath_decide::batch::scheduler::{Scheduler, Setup};
use azurepath_decide::batch::spec::{Purpose, Spec, Step};
use azurepath_decide::batch::{Action, Answer, Attempt, JobId, StartOutcome, StepId};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::check::Check;
use super::worker::{Task, Work, Worker};

const WORKERS: usize = 6;
const ATTEMPTS: u32 = 3;
const LEASE_MS: u64 = 4_000;
const ORDER_VALIDITY_MS: u64 = 1_500;
/// The time until the registry shows a new incarnation of a worker.
const REGISTRY_DELAY: Duration = Duration::from_millis(1_500);
const MAX_BATCH: usize = 50;
/// How long a member of a gang waits for the others.
const GANG_WAIT: Duration = Duration::from_secs(3);
const TAKEOVER_GRACE: Duration = Duration::from_millis(10_500);

/// The probability of each kind of fault.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// An order gets no answer and arrives seconds later.
    pub late: f64,
    /// The answer to an order is lost.
    pub lost: f64,
    /// The leader dies; drawn at each tick.
    pub death: f64,
    /// A worker restarts; drawn at each tick.
    pub restarted: f64,
    /// The registry loses a worker for a while; drawn at each tick.
    pub unlisted: f64,
    /// A worker can't be reached for a while; drawn at each tick.
    pub partitioned: f64,
}

impl Faults {
    /// Tells whether leader and workers stay up and reach each other.
    fn only_orders(&self) -> bool {
        [self.death, self.restarted, self.unlisted, self.partitioned] == [0.0; 4]
    }
}

#[derive(Debug)]
enum Event {
    Tick,
    Submit(JobId),
    /// An order to start: epoch, worker, the birth of the incarnation that it was sent to, attempt,
    /// expiry by the worker's clock in milliseconds, and whether it is answered.
    Start(u64, usize, Time, Attempt, u64, bool),
    Stop(u64, usize, Time, Attempt),
    Renew(u64, usize),
    Started(u64, usize, Attempt, StartOutcome, u64),
    Report(u64, usize, Time, Report),
    Silent(u64, usize),
    Stored(Vec<Change>),
    Written(u64),
    Takeover,
}

struct Leader {
    scheduler: Scheduler,
    epoch: u64,
    /// The connection to each worker, by the scheduler's worker number.
    links: BTreeMap<usize, Link>,
}

struct Link {
    node: usize,
    born: Time,
    acknowledged: u64,
    clock: Option<(u64, Time)>,
    renewed: Time,
}

/// The simulated cluster.
pub struct World {
    pub now: Time,
    pub check: Check,
    pub accepted: Vec<JobId>,
    rng: ChaCha8Rng,
    faults: Faults,
    faults_end: Time,
    workers: Vec<Worker>,
    /// The birth of each worker as its entry in the registry shows it.
    listed_births: Vec<Time>,
    unlisted: BTreeMap<usize, Time>,
    partitioned: BTreeMap<usize, Time>,
    specs: BTreeMap<JobId, Spec>,
    jobs: BTreeMap<JobId, Record>,
    blocks: BTreeMap<BlockId, Progress>,
    roster: BTreeMap<Name, Entry>,
    leader: Option<Leader>,
    epoch: u64,
    calls: BTreeMap<u64, JobId>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    last_id: u64,
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn capacity() -> Size {
    Size {
        millicores: 32_000,
        memory_mib: 65_536,
        accelerators: 0,
        slots: u64::MAX,
    }
}

fn config() -> Arc<Config> {
    let queue = Queue {
        name: Name::from("checks"),
        host: Name::from(""),
        prefix: Name::from("/checks/"),
        pool: Name::from("pool"),
        priority: 0,
        attempts: ATTEMPTS,
        stretch: 2.0,
        objective: millis(500),
        advice: None,
        open: false,
    };
    let account = Account {
        name: Name::from("team"),
        keys: Vec::new(),
        weight: 100.0,
        limit: Size::MAX,
    };
    Arc::new(Config {
        version: 1,
        queues: vec![queue],
        accounts: vec![account],
    })
}

impl World {
    pub fn new(seed: u64, faults: Faults, faults_end: Time) -> World {
        let start = Time::from_millis(1_000_000);
        let mut world = World {
            now: start,
            check: Check {
                forbids_alone: faults.only_orders(),
                ..Check::default()
            },
            accepted: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            faults_end: start.after(faults_end.since(Time::default())),
            workers: (0..WORKERS)
                .map(|_| Worker::new(start, capacity()))
                .collect(),
            listed_births: vec![start; WORKERS],
            unlisted: BTreeMap::new(),
            partitioned: BTreeMap::new(),
            specs: BTreeMap::new(),
            jobs: BTreeMap::new(),
            blocks: BTreeMap::new(),
            roster: BTreeMap::new(),
            leader: None,
            epoch: 0,
            calls: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_id: 0,
        };
        world.schedule(millis(0), Event::Takeover);
        world.schedule(millis(1), Event::Tick);
        world
    }

    /// Schedules the submission of a job.
    pub fn submit(&mut self, after: Duration, gang: bool, count: u32, chain: bool) {
        let id = JobId(self.rng.random());
        let step = |after: Vec<u16>| Step {
            count,
            size: Size {
                millicores: 5_000,
                memory_mib: 6_000,
                accelerators: 0,
                slots: 0,
            },
            estimate: millis(800),
            after,
            gang,
            same_rack: false,
            label: None,
            near: None,
            most_on_worker: None,
            purpose: Purpose::Work,
        };
        let mut steps = vec![step(Vec::new())];
        if chain {
            steps.push(step(vec![0]));
        }
        let payload = Name::from("work");
        let spec = Spec {
            payload,
            steps,
            schedule: None,
        };
        self.specs.insert(id, spec);
        self.schedule(after, Event::Submit(id));
    }

    /// Runs the simulation for the time `end` and checks that all accepted jobs are in a final
    /// state.
    pub fn run(&mut self, end: Duration) {
        let end = self.now.after(end);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            for worker in &mut self.workers {
                worker.advance(at);
            }
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
            self.assemble_gangs();
            self.advance_leader();
        }
        let jobs = &self.jobs;
        let is_final = |id: JobId| matches!(jobs.get(&id), Some(Record::Ended(_)));
        self.check.ended(&self.accepted, is_final);
    }

    /// Lets the members of gangs work of which all have started.
    fn assemble_gangs(&mut self) {
        let mut waiting: BTreeMap<(StepId, u64), u32> = BTreeMap::new();
        for worker in &self.workers {
            let members = worker
                .running
                .iter()
                .filter(|(_, task)| task.waits.is_some());
            for (id, task) in members {
                *waiting.entry((id.step, task.run)).or_default() += 1;
            }
        }
        let specs = &self.specs;
        waiting.retain(|(id, _), members| {
            *members == specs[&id.job].steps[usize::from(id.step)].count
        });
        for worker in &mut self.workers {
            for (id, task) in &mut worker.running {
                if waiting.contains_key(&(id.step, task.run))
                    && let Some(work) = task.waits.take()
                {
                    task.ends = self.now.after(work.time);
                    task.outcome = work.outcome;
                }
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.last_id += 1;
        self.events.insert(self.last_id, event);
        self.queue
            .push(Reverse((self.now.after(after), self.last_id)));
    }

    fn chance(&mut self, probability: f64) -> bool {
        let sample: f64 = self.rng.random();
        self.now < self.faults_end && sample < probability
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Submit(id) => self.submit_now(id),
            Event::Takeover => self.take_over(),
            Event::Start(epoch, node, born, attempt, until, answer) => {
                self.deliver_start(epoch, node, born, attempt, until, answer);
            }
            Event::Stop(epoch, node, born, attempt) => {
                if self.workers[node].born == born {
                    let now = self.now;
                    self.workers[node].stop(now, epoch, attempt);
                }
            }
            Event::Renew(epoch, worker) => self.renew(epoch, worker),
            Event::Stored(batch) => self.store(batch),
            Event::Started(epoch, worker, attempt, started, until) => {
                if let Some(leader) = self.leader.as_mut().filter(|leader| leader.epoch == epoch) {
                    leader
                        .scheduler
                        .handle_start(worker, attempt, started, until);
                }
            }
            Event::Report(epoch, worker, sent, report) => {
                let now = self.now;
                if let Some(leader) = self.leader.as_mut().filter(|leader| leader.epoch == epoch) {
                    if let Some(link) = leader.links.get_mut(&worker) {
                        link.clock = Some((report.clock_ms, now));
                        link.renewed = link.renewed.max(sent);
                    }
                    leader.scheduler.report(worker, &report);
                    self.schedule(millis(60), Event::Renew(epoch, worker));
                }
            }
            Event::Silent(epoch, worker) => self.silent(epoch, worker),
            Event::Written(epoch) => {
                if let Some(leader) = self.leader.as_mut().filter(|leader| leader.epoch == epoch) {
                    leader.scheduler.batch_stored();
                }
            }
        }
    }

    fn tick(&mut self) {
        self.schedule(millis(20), Event::Tick);
        if self.chance(self.faults.death) && self.leader.is_some() {
            self.leader = None;
            self.calls.clear();
            let pause = self.rng.random_range(200..3_000);
            self.schedule(millis(pause), Event::Takeover);
        }
        for node in 0..WORKERS {
            if self.chance(self.faults.restarted) {
                self.workers[node] = Worker::new(self.now, capacity());
            }
            if self.now.since(self.workers[node].born) >= REGISTRY_DELAY {
                self.listed_births[node] = self.workers[node].born;
            }
            if self.chance(self.faults.unlisted) {
                let until = self.now.after(millis(3_000));
                self.unlisted.insert(node, until);
            }
            if self.chance(self.faults.partitioned) {
                let span = self.rng.random_range(500..8_000);
                self.partitioned.insert(node, self.now.after(millis(span)));
            }
        }
        let now = self.now;
        self.unlisted.retain(|_, until| *until > now);
        self.partitioned.retain(|_, until| *until > now);
        let entries = self.entries();
        if let Some(leader) = &mut self.leader {
            leader.scheduler.update_registry(entries);
        }
    }

    fn entries(&self) -> Vec<Entry> {
        let listed = |node: &usize| !self.unlisted.contains_key(node);
        (0..WORKERS)
            .filter(listed)
            .map(|node| self.entry(node))
            .collect()
    }

    fn entry(&self, node: usize) -> Entry {
        Entry {
            id: Name::from(format!("w{node}")),
            pool: Name::from("pool"),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: Name::from("a"),
            rack: Name::from("r"),
            labels: Vec::new(),
            capacity: capacity(),
            status: Status::Ready,
            born_ms: self.listed_births[node].0 / 1_000 + 1,
        }
    }

    fn submit_now(&mut self, id: JobId) {
        if self.accepted.contains(&id) {
            return;
        }
        // The client retries until its job is accepted.
        self.schedule(millis(500), Event::Submit(id));
        self.last_id += 1;
        let call = self.last_id;
        let spec = self.specs[&id].clone();
        if let Some(leader) = &mut self.leader {
            let account = Some(Name::from("team"));
            self.calls.insert(call, id);
            leader
                .scheduler
                .submit(call, id, &Name::from("checks"), account, spec);
        }
    }

    fn take_over(&mut self) {
        self.epoch += 1;
        let setup = Setup {
            epoch: self.epoch,
            origin_ms: 0,
            takeover_grace: TAKEOVER_GRACE,
            gang_wait: GANG_WAIT,
        };
        let stored = Stored {
            jobs: self.jobs.clone().into_iter().collect(),
            blocks: self.blocks.clone().into_iter().collect(),
            roster: self.roster.values().cloned().collect(),
        };
        self.leader = Some(Leader {
            scheduler: Scheduler::new(setup, self.now, config(), stored),
            epoch: self.epoch,
            links: BTreeMap::new(),
        });
    }

    /// Advances the leader's scheduler and carries out its actions.
    fn advance_leader(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let mut actions = Vec::new();
        leader.scheduler.advance(self.now, &mut actions);
        let epoch = leader.epoch;
        let mut batch = Vec::new();
        let changed = leader.scheduler.next_batch(|change| {
            if batch.len() == MAX_BATCH {
                return Fit::Full;
            }
            batch.push(change.clone());
            Fit::Taken
        });
        for action in actions {
            self.execute(epoch, action);
        }
        if changed {
            self.schedule(millis(5), Event::Stored(batch));
            self.schedule(millis(9), Event::Written(epoch));
        }
    }

    fn execute(&mut self, epoch: u64, action: Action) {
        match action {
            Action::Start {
                worker, attempt, ..
            } => self.send_start(epoch, worker, attempt),
            Action::Stop { worker, attempt } => {
                let (node, born) = self.node_of(worker);
                if !self.partitioned.contains_key(&node) {
                    self.schedule(millis(2), Event::Stop(epoch, node, born, attempt));
                }
            }
            Action::Acknowledge { worker, number } => {
                if let Some(link) = self
                    .leader
                    .as_mut()
                    .and_then(|leader| leader.links.get_mut(&worker))
                {
                    link.acknowledged = link.acknowledged.max(number);
                }
            }
            Action::Answer { call, answer } => {
                if let Some(id) = self.calls.remove(&call)
                    && answer == Answer::Accepted
                    && !self.accepted.contains(&id)
                {
                    self.accepted.push(id);
                }
            }
            Action::Attach { worker } => self.attach(epoch, worker),
            Action::Detach { worker } => {
                if let Some(leader) = &mut self.leader {
                    leader.links.remove(&worker);
                }
            }
            Action::Ask(_) | Action::Log(_) | Action::Resign => {}
        }
    }

    fn attach(&mut self, epoch: u64, worker: usize) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let entry = &leader.scheduler.worker(worker).entry;
        let node: usize = entry.id[1..].parse().expect("a number follows");
        let born = Time((entry.born_ms - 1) * 1_000);
        let link = Link {
            node,
            born,
            acknowledged: 0,
            clock: None,
            renewed: self.now,
        };
        leader.links.insert(worker, link);
        self.schedule(millis(1), Event::Renew(epoch, worker));
    }

    fn node_of(&self, worker: usize) -> (usize, Time) {
        match self
            .leader
            .as_ref()
            .and_then(|leader| leader.links.get(&worker))
        {
            Some(link) => (link.node, link.born),
            None => (0, Time::MAX),
        }
    }

    fn send_start(&mut self, epoch: u64, worker: usize, attempt: Attempt) {
        let (node, born) = self.node_of(worker);
        let clock = self
            .leader
            .as_ref()
            .and_then(|leader| leader.links.get(&worker)?.clock);
        let Some((millis_then, at)) = clock else {
            let refused = StartOutcome::Refused(azurepath_decide::batch::Refusal::Late);
            self.schedule(
                millis(1),
                Event::Started(epoch, worker, attempt, refused, 0),
            );
            return;
        };
        let until = millis_then + self.now.since(at).as_millis() as u64 + ORDER_VALIDITY_MS;
        let lost = Event::Started(epoch, worker, attempt, StartOutcome::Lost, until);
        if self.partitioned.contains_key(&node) {
            self.schedule(millis(300), lost);
        } else if self.chance(self.faults.late) {
            let late = self.rng.random_range(300..6_000);
            let order = Event::Start(epoch, node, born, attempt, until, false);
            self.schedule(millis(late), order);
            self.schedule(millis(300), lost);
        } else if self.chance(self.faults.lost) {
            let order = Event::Start(epoch, node, born, attempt, until, false);
            self.schedule(millis(2), order);
            self.schedule(millis(300), lost);
        } else {
            let order = Event::Start(epoch, node, born, attempt, until, true);
            self.schedule(millis(2), order);
        }
    }

    fn deliver_start(
        &mut self,
        epoch: u64,
        node: usize,
        born: Time,
        attempt: Attempt,
        until: u64,
        answer: bool,
    ) {
        let worker = self.leader.as_ref().and_then(|leader| {
            let mut links = leader.links.iter();
            links
                .find(|(_, link)| link.node == node && link.born == born)
                .map(|(index, _)| *index)
        });
        if self.workers[node].born != born {
            // The incarnation that the order was sent to has ended.
            if let Some(worker) = worker.filter(|_| answer) {
                let lost = Event::Started(epoch, worker, attempt, StartOutcome::Lost, until);
                self.schedule(millis(300), lost);
            }
            return;
        }
        let fails = self.rng.random_bool(0.08);
        let work = Work {
            time: millis(self.rng.random_range(100..1_500)),
            outcome: if fails {
                Outcome::Failed
            } else {
                Outcome::Done
            },
        };
        let step = &self.specs[&attempt.task.step.job].steps[0];
        let first = if step.gang {
            Work {
                time: GANG_WAIT,
                outcome: Outcome::Alone,
            }
        } else {
            work
        };
        let task = Task {
            run: attempt.run,
            size: step.size,
            ends: self.now.after(first.time),
            outcome: first.outcome,
            waits: step.gang.then_some(work),
        };
        let size = task.size;
        let before = self.workers.clone();
        let started = self.workers[node].start(self.now, epoch, attempt, until, task);
        let began = self.workers[node].running.len() > before[node].running.len();
        if began {
            let context = format!("epoch {epoch}, worker {node}, at {:?}", self.now);
            self.check
                .start(&context, &before, node, attempt.task, &size, ATTEMPTS);
        }
        if let Some(worker) = worker.filter(|_| answer) {
            self.schedule(
                millis(2),
                Event::Started(epoch, worker, attempt, started, until),
            );
        }
    }

    fn renew(&mut self, epoch: u64, worker: usize) {
        let (node, _) = self.node_of(worker);
        let now = self.now;
        let Some(link) = self
            .leader
            .as_ref()
            .filter(|leader| leader.epoch == epoch)
            .and_then(|leader| leader.links.get(&worker))
        else {
            return;
        };
        let acknowledged = link.acknowledged;
        let until = link
            .clock
            .map(|(clock, at)| clock + now.since(at).as_millis() as u64 + LEASE_MS);
        if self.partitioned.contains_key(&node) {
            self.schedule(millis(300), Event::Silent(epoch, worker));
            return;
        }
        self.check.acknowledged(&self.workers[node], acknowledged);
        match self.workers[node].renew(now, epoch, acknowledged, until) {
            Some(report) => self.schedule(millis(3), Event::Report(epoch, worker, now, report)),
            None => self.schedule(millis(300), Event::Silent(epoch, worker)),
        }
    }

    fn silent(&mut self, epoch: u64, worker: usize) {
        let now = self.now;
        let is_takeover = epoch > 1;
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.epoch == epoch) else {
            return;
        };
        let Some(link) = leader.links.get(&worker) else {
            return;
        };
        let wait = if link.clock.is_none() && is_takeover {
            TAKEOVER_GRACE
        } else {
            millis(LEASE_MS + 200)
        };
        let expired = now.since(link.renewed) >= wait;
        leader.scheduler.mark_silent(worker);
        if expired {
            leader.scheduler.expire_leases(worker);
        }
        self.schedule(millis(100), Event::Renew(epoch, worker));
    }

    fn store(&mut self, batch: Vec<Change>) {
        for change in batch {
            match change {
                Change::Worker(id, entry) => put(&mut self.roster, id, entry),
                Change::Job(id, record) => put(&mut self.jobs, id, record),
                Change::Block(id, progress) => put(&mut self.blocks, id, progress),
            }
        }
    }
}

fn put<K: Ord, V>(rows: &mut BTreeMap<K, V>, key: K, value: Option<V>) {
    match value {
        Some(value) => rows.insert(key, value),
        None => rows.remove(&key),
    };
}
