//! A simulated table with racks and servers that drives the homes of jobs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use azurepath_decide::attempt::{Attempt, Outcome};
use azurepath_decide::candidate::Site;
use azurepath_decide::fleet::{Owner, Server, View};
use azurepath_decide::job::{Action, Event, Home, Row, Setup, State, Work, WriteResult};
use azurepath_decide::name::Name;
use azurepath_decide::request::{Id, Request};
use azurepath_decide::share::Summary;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use azurepath_decide::verdict::{Reason, Verdict};

/// The time between two ticks.
const STEP: Duration = Duration::from_millis(50);

/// A fault of a write to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The answer is lost after the write took effect.
    LostAfter,
    /// The write is lost before it takes effect, and so is its answer.
    LostBefore,
    /// The table is down and reports that the write did not take effect.
    Down,
}

/// A rack with its owner.
#[derive(Debug, Default)]
pub(crate) struct Rack {
    /// The number of tasks that fit on the rack.
    pub(crate) capacity: usize,
    /// Running tasks, each with the server that waits for its verdict and with its end.
    pub(crate) running: BTreeMap<Id, (Name, Time)>,
    holds: BTreeMap<Id, (Vec<Id>, Time)>,
    expected: BTreeMap<Id, Name>,
    refused: BTreeSet<Id>,
    ended: BTreeSet<Id>,
}

impl Rack {
    fn free(&self) -> usize {
        let held: usize = self.holds.values().map(|(members, _)| members.len()).sum();
        self.capacity - self.running.len() - held
    }
}

/// The simulated cluster.
pub(crate) struct World {
    /// The current time.
    pub(crate) now: Time,
    /// The homes of the live servers.
    pub(crate) homes: BTreeMap<Name, Home>,
    /// The rows by job.
    pub(crate) table: BTreeMap<Name, (u64, State)>,
    /// The racks.
    pub(crate) racks: BTreeMap<Name, Rack>,
    /// The time, id and rack of each task start.
    pub(crate) starts: Vec<(Time, Id, Name)>,
    /// Tasks that ran on two racks at the same time, or were submitted as new more than once.
    pub(crate) duplicate_starts: Vec<Id>,
    /// When each write reached the table.
    pub(crate) writes: Vec<Time>,
    /// The faults of the next writes.
    pub(crate) faults: VecDeque<Fault>,
    /// How long tasks run.
    pub(crate) run_time: Duration,
    /// How tasks end.
    pub(crate) outcome: Outcome,
    /// The number of gang members that fail to start on the next commit.
    pub(crate) failing_starts: usize,
    /// Whether racks hold places only for gangs that have waited for a second, although they have
    /// free capacity.
    pub(crate) no_allotments: bool,
    first_asked: BTreeMap<Id, Time>,
    /// Whether the next commit is lost.
    pub(crate) lose_commit: bool,
    /// Whether the next server that writes dies before it gets the answer.
    pub(crate) die_on_write: bool,
    /// The delay of answers to reservations for each server, in milliseconds.
    pub(crate) hold_delays: Vec<u64>,
    submitted: BTreeSet<Id>,
    delayed: Vec<(Time, Name, Event)>,
    view: View,
    revision: u64,
    work: Vec<(u64, Work)>,
    events: VecDeque<(Name, Event)>,
}

impl World {
    /// Creates servers s1 to s3 that own racks r1 to r3, with capacity for `capacity` tasks each.
    pub(crate) fn new(capacity: usize) -> World {
        let mut world = World {
            now: Time::from_millis(1_000),
            homes: BTreeMap::new(),
            table: BTreeMap::new(),
            racks: BTreeMap::new(),
            starts: Vec::new(),
            duplicate_starts: Vec::new(),
            writes: Vec::new(),
            faults: VecDeque::new(),
            run_time: Duration::from_secs(2),
            outcome: Outcome::Done,
            failing_starts: 0,
            no_allotments: false,
            first_asked: BTreeMap::new(),
            lose_commit: false,
            die_on_write: false,
            hold_delays: vec![0; 3],
            submitted: BTreeSet::new(),
            delayed: Vec::new(),
            view: View::default(),
            revision: 0,
            work: Vec::new(),
            events: VecDeque::new(),
        };
        for number in 1..=3_u64 {
            world.add(number, capacity);
        }
        world
    }

    fn add(&mut self, number: u64, capacity: usize) {
        let name: Name = format!("s{number}").into();
        let rack: Name = format!("r{number}").into();
        let server = Server {
            name: name.clone(),
            incarnation: number,
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: "zrh-a".into(),
            region: "ch-north".into(),
            leaving: false,
        };
        let owner = Owner {
            server: name.clone(),
            incarnation: number,
            epoch: 1,
        };
        let setup = Setup {
            server: name.clone(),
            incarnation: number,
            site: Site {
                failure_domain: "zrh-a".into(),
                region: "ch-north".into(),
            },
            seed: number,
        };
        self.view.servers.insert(name.clone(), server);
        self.view.racks.insert(rack.clone(), owner);
        let new_rack = Rack {
            capacity,
            ..Rack::default()
        };
        self.racks.insert(rack, new_rack);
        self.homes.insert(name, Home::new(setup));
    }

    /// Sets the current jobs and services.
    pub(crate) fn configure(&mut self, work: Vec<Work>) {
        self.revision += 1;
        self.work = work.into_iter().map(|work| (self.revision, work)).collect();
        self.notify_all();
    }

    /// Reports to every home that all owners have free capacity but no allotments.
    pub(crate) fn report_no_allotments(&mut self) {
        self.no_allotments = true;
        for server in self.view.servers.keys() {
            let summary = Summary {
                server: server.clone(),
                sequence: 1,
                racks: vec![],
                capacity: Size::MAX,
                free: Size::MAX,
                largest: Size::MAX,
                ceiling: Size::MAX,
                wait: Duration::ZERO,
                teams: BTreeMap::new(),
            };
            for home in self.homes.keys() {
                let event = Event::Summary(summary.clone());
                self.events.push_back((home.clone(), event));
            }
        }
    }

    fn notify_all(&mut self) {
        for name in self.homes.keys() {
            let configure = Event::Configure {
                revision: self.revision,
                work: self.work.clone(),
            };
            let view = Event::View(self.view.clone());
            self.events.push_back((name.clone(), view));
            self.events.push_back((name.clone(), configure));
        }
    }

    /// Returns the server that is home to a job.
    pub(crate) fn home_of(&self, job: &str) -> Name {
        azurepath_decide::job::home(&self.view, job)
            .expect("a server is live")
            .clone()
    }

    /// Kills a server. Another one takes over its racks.
    pub(crate) fn kill(&mut self, server: &Name) {
        self.homes.remove(server);
        self.view.servers.remove(server);
        self.events.retain(|(to, _)| to != server);
        let successor = self
            .view
            .servers
            .values()
            .next()
            .expect("a server is live")
            .clone();
        for owner in self.view.racks.values_mut() {
            if owner.server == *server {
                owner.server = successor.name.clone();
                owner.incarnation = successor.incarnation;
                owner.epoch += 1;
            }
        }
        self.notify_all();
    }

    /// Sends all rows to every home, as a scan of the table does.
    pub(crate) fn scan(&mut self) {
        for name in self.homes.keys() {
            for (job, (revision, state)) in &self.table {
                let loaded = Event::Loaded {
                    job: job.clone(),
                    revision: *revision,
                    state: Some(state.clone()),
                };
                self.events.push_back((name.clone(), loaded));
            }
        }
    }

    /// Advances the time in steps.
    pub(crate) fn run_for(&mut self, span: Duration) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(STEP);
            self.end_tasks();
            let now = self.now;
            let due = self.delayed.extract_if(.., |(time, _, _)| *time <= now);
            self.events
                .extend(due.map(|(_, name, event)| (name, event)));
            for name in self.homes.keys() {
                self.events.push_back((name.clone(), Event::Tick));
            }
            self.process_events();
        }
    }

    fn process_events(&mut self) {
        while let Some((name, event)) = self.events.pop_front() {
            let Some(home) = self.homes.get_mut(&name) else {
                continue;
            };
            let mut actions = Vec::new();
            home.handle(self.now, event, &mut actions);
            for action in actions {
                if self.homes.contains_key(&name) {
                    self.apply(&name, action);
                }
            }
        }
    }

    fn send_event(&mut self, name: &Name, event: Event) {
        self.events.push_back((name.clone(), event));
    }

    fn apply(&mut self, name: &Name, action: Action) {
        match action {
            Action::Load { job } => {
                let row = self.table.get(&job).cloned();
                let (revision, state) = row.map_or((0, None), |(at, state)| (at, Some(state)));
                let loaded = Event::Loaded {
                    job,
                    revision,
                    state,
                };
                self.send_event(name, loaded);
            }
            Action::Write { write, rows } => {
                let result = self.write(rows);
                if std::mem::take(&mut self.die_on_write) {
                    return self.kill(name);
                }
                self.send_event(name, Event::Wrote { write, result });
            }
            Action::Submit {
                request, resume, ..
            } => self.submit(name, &request, resume),
            Action::Cancel { request, .. } => self.cancel(request),
            Action::Reserve { ask, .. } => {
                let target = ask.members[0]
                    .target
                    .clone()
                    .expect("the request has a target");
                let rack = self.racks.get_mut(&target.rack).expect("the rack exists");
                let ids = ask.members.iter().map(|member| member.id);
                let since = *self.first_asked.entry(ask.gang).or_insert(self.now);
                let waited = self.now.since(since) >= Duration::from_secs(1);
                let free = if self.no_allotments && !waited {
                    0
                } else {
                    rack.free()
                };
                let members: Vec<Id> = ids.take(free).collect();
                rack.holds.insert(ask.gang, (members.clone(), ask.expires));
                let gang = ask.gang;
                let number: usize = name[1..].parse().expect("a number");
                let delay = Duration::from_millis(self.hold_delays[number - 1]);
                let held = Event::Held { gang, members };
                self.delayed
                    .push((self.now.after(delay), name.clone(), held));
            }
            Action::Expect { request, .. } => {
                let target = request.target.expect("the request has a target");
                let rack = self.racks.get_mut(&target.rack).expect("the rack exists");
                rack.expected.insert(request.id, name.clone());
            }
            Action::Commit { gang, .. } => {
                let taken = !std::mem::take(&mut self.lose_commit);
                if taken {
                    self.commit(gang);
                }
                self.send_event(name, Event::Committed { gang, taken });
            }
            Action::Release { gang, .. } => {
                for rack in self.racks.values_mut() {
                    rack.holds.remove(&gang);
                }
            }
        }
    }

    fn write(&mut self, rows: Vec<Row>) -> WriteResult {
        self.writes.push(self.now);
        let fault = self.faults.pop_front();
        match fault {
            Some(Fault::Down) => return WriteResult::Unwritten,
            Some(Fault::LostBefore) => return WriteResult::Unknown,
            Some(Fault::LostAfter) | None => {}
        }
        for row in &rows {
            let found = self
                .table
                .get(&row.job)
                .map_or(0, |(revision, _)| *revision);
            if found != row.revision {
                let job = row.job.clone();
                return WriteResult::Conflict { job };
            }
        }
        self.revision += 1;
        for row in rows {
            match row.state {
                Some(state) => self.table.insert(row.job, (self.revision, state)),
                None => self.table.remove(&row.job),
            };
        }
        if fault == Some(Fault::LostAfter) {
            return WriteResult::Unknown;
        }
        WriteResult::Written {
            revision: self.revision,
        }
    }

    fn submit(&mut self, name: &Name, request: &Request, resume: bool) {
        let target = request.target.clone().expect("the request has a target");
        let id = request.id;
        if !resume && !self.submitted.insert(id) {
            self.duplicate_starts.push(id);
        }
        let rack = self.racks.get_mut(&target.rack).expect("the rack exists");
        if let Some((waiter, _)) = rack.running.get_mut(&id) {
            *waiter = name.clone();
            return;
        }
        if rack.ended.contains(&id) {
            let verdict = self.ran(id, &target.rack, self.outcome);
            return self.send_event(
                name,
                Event::Answered {
                    request: id,
                    verdict,
                },
            );
        }
        if resume || rack.refused.contains(&id) || rack.free() == 0 {
            rack.refused.insert(id);
            let verdict = not_run(Reason::Overload);
            return self.send_event(
                name,
                Event::Answered {
                    request: id,
                    verdict,
                },
            );
        }
        self.start(id, &target.rack, name);
    }

    fn start(&mut self, id: Id, rack: &Name, waiter: &Name) {
        let elsewhere = |other: (&Name, &Rack)| other.1.running.contains_key(&id);
        if self.racks.iter().any(elsewhere) {
            self.duplicate_starts.push(id);
        }
        self.starts.push((self.now, id, rack.clone()));
        let end = self.now.after(self.run_time);
        let rack = self.racks.get_mut(rack).expect("the rack exists");
        rack.running.insert(id, (waiter.clone(), end));
    }

    fn commit(&mut self, gang: Id) {
        let names: Vec<Name> = self.racks.keys().cloned().collect();
        for name in names {
            let rack = self.racks.get_mut(&name).expect("the rack exists");
            let Some((members, _)) = rack.holds.remove(&gang) else {
                continue;
            };
            for id in members {
                let rack = self.racks.get_mut(&name).expect("the rack exists");
                let Some(waiter) = rack.expected.remove(&id) else {
                    continue;
                };
                if self.failing_starts > 0 {
                    self.failing_starts -= 1;
                    rack.refused.insert(id);
                    let verdict = not_run(Reason::Gang);
                    self.send_event(
                        &waiter,
                        Event::Answered {
                            request: id,
                            verdict,
                        },
                    );
                } else {
                    self.start(id, &name, &waiter);
                }
            }
        }
    }

    fn cancel(&mut self, id: Id) {
        let names: Vec<Name> = self.racks.keys().cloned().collect();
        for name in names {
            let rack = self.racks.get_mut(&name).expect("the rack exists");
            if let Some((waiter, _)) = rack.running.remove(&id) {
                rack.ended.insert(id);
                let verdict = self.ran(id, &name, Outcome::Stopped);
                self.send_event(
                    &waiter,
                    Event::Answered {
                        request: id,
                        verdict,
                    },
                );
            }
        }
    }

    fn end_tasks(&mut self) {
        let names: Vec<Name> = self.racks.keys().cloned().collect();
        for name in names {
            let (now, outcome) = (self.now, self.outcome);
            let rack = self.racks.get_mut(&name).expect("the rack exists");
            rack.holds.retain(|_, (_, expires)| *expires > now);
            let due = rack.running.extract_if(.., |_, (_, end)| *end <= now);
            let due: Vec<(Id, (Name, Time))> = due.collect();
            for (id, (waiter, _)) in due {
                self.racks
                    .get_mut(&name)
                    .expect("the rack exists")
                    .ended
                    .insert(id);
                let verdict = self.ran(id, &name, outcome);
                self.send_event(
                    &waiter,
                    Event::Answered {
                        request: id,
                        verdict,
                    },
                );
            }
        }
    }

    fn ran(&self, request: Id, rack: &Name, outcome: Outcome) -> Verdict {
        Verdict::Ran {
            attempt: Attempt { request, number: 1 },
            worker: rack.clone(),
            outcome,
        }
    }

    /// Returns the number of running tasks.
    pub(crate) fn running(&self) -> usize {
        self.racks.values().map(|rack| rack.running.len()).sum()
    }

    /// Returns the state of a job in the table.
    pub(crate) fn row(&self, job: &str) -> &State {
        &self.table[job].1
    }
}

fn not_run(reason: Reason) -> Verdict {
    Verdict::NotRun {
        reason,
        retry_after: None,
    }
}
