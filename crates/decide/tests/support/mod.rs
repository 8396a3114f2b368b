//! A test bench for a cell, with its clock and helpers that select from the returned actions.

#![allow(dead_code, missing_docs, unreachable_pub)]

use std::time::Duration;

use azurepath_decide::action::Action;
use azurepath_decide::attempt::{Attempt, Outcome, Refusal, Running};
use azurepath_decide::cell::{Cell, Setup};
use azurepath_decide::class::Class;
use azurepath_decide::event::Event;
use azurepath_decide::name::Name;
use azurepath_decide::policy::Policy;
use azurepath_decide::rack::{Allotments, Allotted, Grant};
use azurepath_decide::request::{Id, Request};
use azurepath_decide::resource::Team;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use azurepath_decide::verdict::{Reason, Verdict};
use azurepath_decide::worker::{Interrupt, Inventory, Spec};

/// A limit that no test reaches.
pub const LARGE_LIMIT: Size = Size {
    millicores: 100_000_000,
    memory_mib: 1_000_000_000,
    accelerators: 1_000,
    slots: 100_000,
};

pub fn cores(count: u64) -> Size {
    Size {
        millicores: count * 1_000,
        memory_mib: count * 1_024,
        accelerators: 0,
        slots: 1,
    }
}

/// Returns the capacity of a usual worker: 32 cores, 64 GiB and 8 slots.
pub fn machine() -> Size {
    Size {
        millicores: 32_000,
        memory_mib: 65_536,
        accelerators: 0,
        slots: 8,
    }
}

pub fn request(id: u128, team: &str, size: Size) -> Request {
    Request {
        id: Id(id),
        team: team.into(),
        kind: "audit".into(),
        class: Class::Batch,
        size,
        estimate: Duration::from_secs(10),
        deadline: Time::MAX,
        idempotent: true,
        gang: None,
        target: None,
    }
}

pub fn attempt(id: u128, number: u32) -> Attempt {
    Attempt {
        request: Id(id),
        number,
    }
}

pub fn spec(name: &str, rack: &str, capacity: Size) -> Spec {
    Spec {
        name: name.into(),
        rack: rack.into(),
        failure_domain: "zrh-a".into(),
        region: "ch-north".into(),
        capacity,
    }
}

pub fn team(name: &str, share: u32) -> Team {
    Team {
        name: name.into(),
        account: "lumen".into(),
        share,
        limit: LARGE_LIMIT,
    }
}

pub fn inventory(worker: &str, epoch: u64) -> Inventory {
    Inventory {
        worker: worker.into(),
        epoch,
        running: Vec::new(),
        ended: Vec::new(),
    }
}

pub fn running(request: &Request, number: u32) -> Running {
    Running {
        attempt: Attempt {
            request: request.id,
            number,
        },
        team: request.team.clone(),
        kind: request.kind.clone(),
        class: request.class,
        size: request.size,
        gang: request.gang,
        idempotent: request.idempotent,
    }
}

fn large_allotments() -> Allotments {
    ["a", "b", "c"]
        .map(|team| (Name::from(team), LARGE_LIMIT))
        .into()
}

fn allotted(allotments: Allotments) -> Event {
    Event::Allot(Allotted {
        rack: "r1".into(),
        epoch: 1,
        allotments,
    })
}

/// A cell under test and its clock.
pub struct Bench {
    pub cell: Cell,
    pub now: Time,
    /// The allotments of `r1` in the table. If set, all demands are granted at once.
    pub table: Option<Allotments>,
}

impl Bench {
    pub fn new(policy: Policy) -> Bench {
        let setup = Setup {
            server: "entry-1".into(),
            seed: 7,
            policy,
            region: Some("ch-north".into()),
        };
        Bench {
            cell: Cell::new(setup),
            now: Time::from_millis(1_000),
            table: None,
        }
    }

    /// Returns a cell that owns rack `r1` with `count` claimed workers `w0`, `w1`, ...
    pub fn ready(count: usize, capacity: Size) -> Bench {
        let mut bench = Bench::new(Policy::Fair);
        bench.teams(&[team("a", 1), team("b", 1)]);
        bench.gain("r1", 1, LARGE_LIMIT);
        bench.table = Some(large_allotments());
        for index in 0..count {
            bench.add(&format!("w{index}"), "r1", capacity);
        }
        bench
    }

    pub fn send(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.cell.handle(self.now, event, &mut actions);
        if let Some(event) = self.grant(&actions) {
            self.cell.handle(self.now, event, &mut actions);
        }
        actions
    }

    /// Stores all demands in the table and returns the event about it.
    fn grant(&mut self, actions: &[Action]) -> Option<Event> {
        let table = self.table.as_mut()?;
        let demands = actions.iter().filter_map(|action| match action {
            Action::Allot { demands } => Some(demands),
            _ => None,
        });
        let demands: Vec<_> = demands.flatten().cloned().collect();
        if demands.is_empty() {
            return None;
        }
        for demand in demands {
            table.insert(demand.team, demand.want);
        }
        Some(allotted(table.clone()))
    }

    /// Gives all teams large allotments again.
    pub fn replenish(&mut self) -> Vec<Action> {
        self.table = Some(large_allotments());
        self.send(allotted(large_allotments()))
    }

    /// Advances the clock with a tick every half second.
    pub fn wait(&mut self, millis: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut remaining = millis;
        while remaining > 0 {
            let step = remaining.min(500);
            remaining -= step;
            self.now = self.now.after(Duration::from_millis(step));
            actions.extend(self.send(Event::Tick));
        }
        actions
    }

    pub fn teams(&mut self, teams: &[Team]) -> Vec<Action> {
        let teams = teams.to_vec();
        self.send(Event::Configure { revision: 1, teams })
    }

    /// Gains a rack that has an allotment of `each` for each of the teams `a`, `b` and `c`.
    pub fn gain(&mut self, rack: &str, epoch: u64, each: Size) -> Vec<Action> {
        let allotments: Allotments = ["a", "b", "c"]
            .into_iter()
            .map(|team| (Name::from(team), each))
            .collect();
        self.send(Event::Gain(Grant {
            rack: rack.into(),
            epoch,
            allotments,
        }))
    }

    pub fn join(&mut self, name: &str, rack: &str, capacity: Size) -> Vec<Action> {
        self.send(Event::Join(spec(name, rack, capacity)))
    }

    /// Joins a worker, which answers its claim at epoch 1 with no running attempts.
    pub fn add(&mut self, name: &str, rack: &str, capacity: Size) -> Vec<Action> {
        let mut actions = self.join(name, rack, capacity);
        actions.extend(self.claimed(name, 1));
        actions
    }

    pub fn claimed(&mut self, name: &str, epoch: u64) -> Vec<Action> {
        self.send(Event::Claimed(inventory(name, epoch)))
    }

    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        self.send(Event::Submit(request))
    }

    pub fn started(&mut self, attempt: Attempt, worker: &str) -> Vec<Action> {
        let worker = worker.into();
        self.send(Event::Started { attempt, worker })
    }

    pub fn ended(&mut self, attempt: Attempt, worker: &str, outcome: Outcome) -> Vec<Action> {
        self.send(Event::Ended {
            attempt,
            worker: worker.into(),
            outcome,
        })
    }

    pub fn lost(&mut self, attempt: Attempt, worker: &str) -> Vec<Action> {
        let worker = worker.into();
        self.send(Event::Lost { attempt, worker })
    }

    pub fn refused(&mut self, attempt: Attempt, worker: &str, refusal: Refusal) -> Vec<Action> {
        self.send(Event::Refused {
            attempt,
            worker: worker.into(),
            refusal,
        })
    }
}

/// Returns the started attempts, each with its worker.
pub fn starts(actions: &[Action]) -> Vec<(Attempt, String)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Start {
                attempt, worker, ..
            } => Some((*attempt, worker.to_string())),
            _ => None,
        })
        .collect()
}

/// Returns the verdicts, each with its request.
pub fn answers(actions: &[Action]) -> Vec<(u128, Verdict)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Answer { request, verdict } => Some((request.0, verdict.clone())),
            _ => None,
        })
        .collect()
}

/// Returns the claimed workers, each with the epoch.
pub fn claims(actions: &[Action]) -> Vec<(String, u64)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Claim { worker, epoch } => Some((worker.to_string(), *epoch)),
            _ => None,
        })
        .collect()
}

/// Returns the attempts that the cell attaches to.
pub fn attached(actions: &[Action]) -> Vec<Attempt> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Attach { attempt, .. } => Some(*attempt),
            _ => None,
        })
        .collect()
}

pub fn not_run(reason: Reason) -> Verdict {
    Verdict::NotRun {
        reason,
        retry_after: None,
    }
}

pub fn ran(attempt: Attempt, worker: &str, outcome: Outcome) -> Verdict {
    Verdict::Ran {
        attempt,
        worker: worker.into(),
        outcome,
    }
}

/// Returns the interrupts, each with its attempt.
pub fn interrupts(actions: &[Action]) -> Vec<(Attempt, Interrupt)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Interrupt { attempt, how, .. } => Some((*attempt, *how)),
            _ => None,
        })
        .collect()
}

/// Returns the members with held places, by gang.
pub fn held(actions: &[Action]) -> Vec<(u128, Vec<u128>)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Held(hold) => {
                let members = hold.places.iter().map(|place| place.member.0);
                Some((hold.gang.0, members.collect()))
            }
            _ => None,
        })
        .collect()
}

/// Returns the probed workers.
pub fn probes(actions: &[Action]) -> Vec<String> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Probe { worker } => Some(worker.to_string()),
            _ => None,
        })
        .collect()
}
