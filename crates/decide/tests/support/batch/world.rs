//! The world: a leader after the other, workers, a store, and what goes wrong between them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::config::{Account, Config, Queue};
use azurepath_decide::batch::fleet::{Entry, Standing};
use azurepath_decide::batch::record::{Batch, Record, Stored};
use azurepath_decide::batch::report::{How, Report};
use azurepath_decide::batch::scheduler::{Scheduler, Setup};
use azurepath_decide::batch::spec::{Purpose, Spec, Step};
use azurepath_decide::batch::{Action, Answer, Attempt, JobId, Started};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::check::Check;
use super::worker::{Task, Worker};

const WORKERS: usize = 6;
const ATTEMPTS: u32 = 3;
const LEASE_MS: u64 = 4_000;
const ORDER_MS: u64 = 1_500;
/// How long a new life of a worker is not in the registry.
const BEAT: Duration = Duration::from_millis(1_500);
const WRITE_OFF: Duration = Duration::from_millis(10_500);

/// How often each thing goes wrong, out of 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// An order gets no answer and is carried out seconds later.
    pub late: f64,
    /// An answer is lost.
    pub lost: f64,
    /// The leader dies, at each tick.
    pub death: f64,
    /// A worker begins a new life, at each tick.
    pub reborn: f64,
    /// The registry loses a worker for a while, at each tick.
    pub unlisted: f64,
    /// A worker can't be reached for a while, at each tick.
    pub cut: f64,
}

#[derive(Debug)]
enum Event {
    Tick,
    Submit(JobId),
    /// An order to start: epoch, worker, the life that was there when it was sent, attempt, until
    /// when it may be carried out, whether it is answered.
    Start(u64, usize, Time, Attempt, u64, bool),
    Stop(u64, usize, Time, Attempt),
    Hold(u64, usize),
    Started(u64, usize, Attempt, Started, u64),
    Report(u64, usize, Time, Report),
    Silent(u64, usize),
    Stored(Batch),
    Written(u64),
    Takeover,
}

struct Lead {
    scheduler: Scheduler,
    epoch: u64,
    /// For each worker of the scheduler: the fake one, its birth and what is acknowledged.
    links: BTreeMap<usize, Link>,
}

struct Link {
    fake: usize,
    born: Time,
    acknowledged: u64,
    clock: Option<(u64, Time)>,
    renewed: Time,
}

/// The world.
pub struct World {
    pub now: Time,
    pub check: Check,
    pub accepted: Vec<JobId>,
    rng: ChaCha8Rng,
    faults: Faults,
    calm_from: Time,
    workers: Vec<Worker>,
    /// The life of each worker that its entry in the registry shows.
    shown: Vec<Time>,
    unlisted: BTreeMap<usize, Time>,
    cut: BTreeMap<usize, Time>,
    specs: BTreeMap<JobId, Spec>,
    jobs: BTreeMap<JobId, Record>,
    roster: Vec<Entry>,
    lead: Option<Lead>,
    epoch: u64,
    calls: BTreeMap<u64, JobId>,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    details: BTreeMap<u64, Event>,
    next: u64,
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
    pub fn new(seed: u64, faults: Faults, calm_from: Time) -> World {
        let start = Time::from_millis(1_000_000);
        let mut world = World {
            now: start,
            check: Check::default(),
            accepted: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            calm_from: start.after(calm_from.since(Time::default())),
            workers: (0..WORKERS)
                .map(|_| Worker::new(start, capacity()))
                .collect(),
            shown: vec![start; WORKERS],
            unlisted: BTreeMap::new(),
            cut: BTreeMap::new(),
            specs: BTreeMap::new(),
            jobs: BTreeMap::new(),
            roster: Vec::new(),
            lead: None,
            epoch: 0,
            calls: BTreeMap::new(),
            events: BinaryHeap::new(),
            details: BTreeMap::new(),
            next: 0,
        };
        world.at(millis(0), Event::Takeover);
        world.at(millis(1), Event::Tick);
        world
    }

    /// Submits a job later.
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
        self.at(after, Event::Submit(id));
    }

    /// Plays until nothing is left to do or `end`.
    pub fn play(&mut self, end: Duration) {
        let end = self.now.after(end);
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            for worker in &mut self.workers {
                worker.advance(at);
            }
            if let Some(event) = self.details.remove(&number) {
                self.handle(event);
            }
            self.step();
        }
        let jobs = &self.jobs;
        let over = |id: JobId| jobs.get(&id).is_some_and(|record| record.state.is_final());
        self.check.ended(&self.accepted, over);
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.next += 1;
        self.details.insert(self.next, event);
        self.events
            .push(Reverse((self.now.after(after), self.next)));
    }

    fn chance(&mut self, part: f64) -> bool {
        let draw: f64 = self.rng.random();
        self.now < self.calm_from && draw < part
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Submit(id) => self.hand_in(id),
            Event::Takeover => self.take_over(),
            Event::Start(epoch, fake, born, attempt, until, answer) => {
                self.deliver_start(epoch, fake, born, attempt, until, answer);
            }
            Event::Stop(epoch, fake, born, attempt) => {
                if self.workers[fake].born == born {
                    let now = self.now;
                    self.workers[fake].stop(now, epoch, attempt);
                }
            }
            Event::Hold(epoch, worker) => self.renew(epoch, worker),
            Event::Stored(batch) => self.store(batch),
            Event::Started(epoch, worker, attempt, started, until) => {
                if let Some(lead) = self.lead.as_mut().filter(|lead| lead.epoch == epoch) {
                    lead.scheduler.handle_start(worker, attempt, started, until);
                }
            }
            Event::Report(epoch, worker, sent, report) => {
                let now = self.now;
                if let Some(lead) = self.lead.as_mut().filter(|lead| lead.epoch == epoch) {
                    if let Some(link) = lead.links.get_mut(&worker) {
                        link.clock = Some((report.clock_ms, now));
                        link.renewed = link.renewed.max(sent);
                    }
                    lead.scheduler.report(worker, &report);
                    self.at(millis(60), Event::Hold(epoch, worker));
                }
            }
            Event::Silent(epoch, worker) => self.silent(epoch, worker),
            Event::Written(epoch) => {
                if let Some(lead) = self.lead.as_mut().filter(|lead| lead.epoch == epoch) {
                    lead.scheduler.batch_stored();
                }
            }
        }
    }

    fn tick(&mut self) {
        self.at(millis(20), Event::Tick);
        if self.chance(self.faults.death) && self.lead.is_some() {
            self.lead = None;
            self.calls.clear();
            let pause = self.rng.random_range(200..3_000);
            self.at(millis(pause), Event::Takeover);
        }
        for fake in 0..WORKERS {
            if self.chance(self.faults.reborn) {
                self.workers[fake] = Worker::new(self.now, capacity());
            }
            if self.now.since(self.workers[fake].born) >= BEAT {
                self.shown[fake] = self.workers[fake].born;
            }
            if self.chance(self.faults.unlisted) {
                let until = self.now.after(millis(3_000));
                self.unlisted.insert(fake, until);
            }
            if self.chance(self.faults.cut) {
                let span = self.rng.random_range(500..8_000);
                self.cut.insert(fake, self.now.after(millis(span)));
            }
        }
        let now = self.now;
        self.unlisted.retain(|_, until| *until > now);
        self.cut.retain(|_, until| *until > now);
        let entries = self.entries();
        if let Some(lead) = &mut self.lead {
            lead.scheduler.update_registry(entries);
        }
    }

    fn entries(&self) -> Vec<Entry> {
        let listed = |fake: &usize| !self.unlisted.contains_key(fake);
        (0..WORKERS)
            .filter(listed)
            .map(|fake| self.entry(fake))
            .collect()
    }

    fn entry(&self, fake: usize) -> Entry {
        Entry {
            id: Name::from(format!("w{fake}")),
            pool: Name::from("pool"),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: Name::from("a"),
            rack: Name::from("r"),
            labels: Vec::new(),
            capacity: capacity(),
            standing: Standing::Ready,
            born_ms: self.shown[fake].0 / 1_000 + 1,
        }
    }

    fn hand_in(&mut self, id: JobId) {
        if self.accepted.contains(&id) {
            return;
        }
        // The client comes again until it is answered.
        self.at(millis(500), Event::Submit(id));
        self.next += 1;
        let call = self.next;
        let spec = self.specs[&id].clone();
        if let Some(lead) = &mut self.lead {
            let account = Some(Name::from("team"));
            self.calls.insert(call, id);
            lead.scheduler
                .submit(call, id, &Name::from("checks"), account, spec);
        }
    }

    fn take_over(&mut self) {
        self.epoch += 1;
        let setup = Setup {
            epoch: self.epoch,
            origin_ms: 0,
            takeover_grace: WRITE_OFF,
        };
        let stored = Stored {
            jobs: self.jobs.clone().into_iter().collect(),
            roster: self.roster.clone(),
        };
        self.lead = Some(Lead {
            scheduler: Scheduler::new(setup, self.now, config(), stored),
            epoch: self.epoch,
            links: BTreeMap::new(),
        });
    }

    /// Lets the leader advance and carries out what it wants.
    fn step(&mut self) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let mut actions = Vec::new();
        lead.scheduler.advance(self.now, &mut actions);
        let epoch = lead.epoch;
        let batch = lead.scheduler.next_batch(50);
        for action in actions {
            self.act(epoch, action);
        }
        if let Some(batch) = batch {
            self.at(millis(5), Event::Stored(batch));
            self.at(millis(9), Event::Written(epoch));
        }
    }

    fn act(&mut self, epoch: u64, action: Action) {
        match action {
            Action::Start {
                worker, attempt, ..
            } => self.send_start(epoch, worker, attempt),
            Action::Stop { worker, attempt } => {
                let (fake, born) = self.link(worker);
                if !self.cut.contains_key(&fake) {
                    self.at(millis(2), Event::Stop(epoch, fake, born, attempt));
                }
            }
            Action::Acknowledge { worker, number } => {
                if let Some(link) = self
                    .lead
                    .as_mut()
                    .and_then(|lead| lead.links.get_mut(&worker))
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
                if let Some(lead) = &mut self.lead {
                    lead.links.remove(&worker);
                }
            }
            Action::Ask(_) | Action::Note(_) | Action::Resign => {}
        }
    }

    fn attach(&mut self, epoch: u64, worker: usize) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let entry = &lead.scheduler.worker(worker).entry;
        let fake: usize = entry.id[1..].parse().expect("a number follows");
        let born = Time((entry.born_ms - 1) * 1_000);
        let link = Link {
            fake,
            born,
            acknowledged: 0,
            clock: None,
            renewed: self.now,
        };
        lead.links.insert(worker, link);
        self.at(millis(1), Event::Hold(epoch, worker));
    }

    fn link(&self, worker: usize) -> (usize, Time) {
        match self.lead.as_ref().and_then(|lead| lead.links.get(&worker)) {
            Some(link) => (link.fake, link.born),
            None => (0, Time::MAX),
        }
    }

    fn send_start(&mut self, epoch: u64, worker: usize, attempt: Attempt) {
        let (fake, born) = self.link(worker);
        let clock = self
            .lead
            .as_ref()
            .and_then(|lead| lead.links.get(&worker)?.clock);
        let Some((millis_then, at)) = clock else {
            let refused = Started::Refused(azurepath_decide::batch::Refusal::Late);
            self.at(
                millis(1),
                Event::Started(epoch, worker, attempt, refused, 0),
            );
            return;
        };
        let until = millis_then + self.now.since(at).as_millis() as u64 + ORDER_MS;
        let lost = Event::Started(epoch, worker, attempt, Started::Lost, until);
        if self.cut.contains_key(&fake) {
            self.at(millis(300), lost);
        } else if self.chance(self.faults.late) {
            let late = self.rng.random_range(300..6_000);
            let order = Event::Start(epoch, fake, born, attempt, until, false);
            self.at(millis(late), order);
            self.at(millis(300), lost);
        } else if self.chance(self.faults.lost) {
            let order = Event::Start(epoch, fake, born, attempt, until, false);
            self.at(millis(2), order);
            self.at(millis(300), lost);
        } else {
            let order = Event::Start(epoch, fake, born, attempt, until, true);
            self.at(millis(2), order);
        }
    }

    fn deliver_start(
        &mut self,
        epoch: u64,
        fake: usize,
        born: Time,
        attempt: Attempt,
        until: u64,
        answer: bool,
    ) {
        let worker = self.lead.as_ref().and_then(|lead| {
            let mut links = lead.links.iter();
            links
                .find(|(_, link)| link.fake == fake && link.born == born)
                .map(|(index, _)| *index)
        });
        if self.workers[fake].born != born {
            // The order has gone down with that life.
            if let Some(worker) = worker.filter(|_| answer) {
                let lost = Event::Started(epoch, worker, attempt, Started::Lost, until);
                self.at(millis(300), lost);
            }
            return;
        }
        let fails = self.rng.random_bool(0.08);
        let task = Task {
            run: attempt.run,
            size: self.specs[&attempt.task.step.job].steps[0].size,
            ends: self.now.after(millis(self.rng.random_range(100..1_500))),
            how: if fails { How::Failed } else { How::Done },
        };
        let size = task.size;
        let before = self.workers.clone();
        let started = self.workers[fake].start(self.now, epoch, attempt, until, task);
        let began = self.workers[fake].running.len() > before[fake].running.len();
        if began {
            let what = format!("epoch {epoch}, worker {fake}, at {:?}", self.now);
            self.check
                .start(&what, &before, fake, attempt.task, &size, ATTEMPTS);
        }
        if let Some(worker) = worker.filter(|_| answer) {
            self.at(
                millis(2),
                Event::Started(epoch, worker, attempt, started, until),
            );
        }
    }

    fn renew(&mut self, epoch: u64, worker: usize) {
        let (fake, _) = self.link(worker);
        let now = self.now;
        let Some(link) = self
            .lead
            .as_ref()
            .filter(|lead| lead.epoch == epoch)
            .and_then(|lead| lead.links.get(&worker))
        else {
            return;
        };
        let acknowledged = link.acknowledged;
        let until = link
            .clock
            .map(|(clock, at)| clock + now.since(at).as_millis() as u64 + LEASE_MS);
        if self.cut.contains_key(&fake) {
            self.at(millis(300), Event::Silent(epoch, worker));
            return;
        }
        self.check.acknowledged(&self.workers[fake], acknowledged);
        match self.workers[fake].hold(now, epoch, acknowledged, until) {
            Some(report) => self.at(millis(3), Event::Report(epoch, worker, now, report)),
            None => self.at(millis(300), Event::Silent(epoch, worker)),
        }
    }

    fn silent(&mut self, epoch: u64, worker: usize) {
        let now = self.now;
        let first = epoch > 1;
        let Some(lead) = self.lead.as_mut().filter(|lead| lead.epoch == epoch) else {
            return;
        };
        let Some(link) = lead.links.get(&worker) else {
            return;
        };
        let wait = if link.clock.is_none() && first {
            WRITE_OFF
        } else {
            millis(LEASE_MS + 200)
        };
        let lapsed = now.since(link.renewed) >= wait;
        lead.scheduler.mark_silent(worker);
        if lapsed {
            lead.scheduler.expire_leases(worker);
        }
        self.at(millis(100), Event::Hold(epoch, worker));
    }

    fn store(&mut self, batch: Batch) {
        for (id, record) in batch.jobs {
            match record {
                Some(record) => {
                    self.jobs.insert(id, record);
                }
                None => {
                    self.jobs.remove(&id);
                }
            }
        }
        if let Some(roster) = batch.roster {
            self.roster = roster;
        }
    }
}
