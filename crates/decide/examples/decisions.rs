//! Measures how many decisions per second one core makes, and how long single ones take.
//!
//! `cargo run --release -p azurepath-decide --example decisions`
//!
//! The fleet is full and a queue of the given length waits. Each round ends a running attempt and
//! submits a request. Every fourth request is urgent, and every sixteenth is cancelled at once.
//! Every 64 rounds, the table grants the demands of one rack. A decision is the handling of one
//! event.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use anyhow::Result;
use azurepath_decide::action::Action;
use azurepath_decide::attempt::{Attempt, Outcome};
use azurepath_decide::cell::{Cell, Setup};
use azurepath_decide::class::Class;
use azurepath_decide::event::Event;
use azurepath_decide::name::Name;
use azurepath_decide::rack::{Allotments, Allotted, Grant};
use azurepath_decide::request::{Id, Request};
use azurepath_decide::resource::Team;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use azurepath_decide::worker::{Interrupt, Inventory, Spec};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TEAMS: usize = 83;
const WORKERS_PER_RACK: usize = 8;
const MAX_LATENCY_NS: u64 = 10_000_000_000;
const MIN_DECISIONS: usize = 200_000;
const GRANT_INTERVAL_ROUNDS: usize = 64;
const ROUND_TIME: Duration = Duration::from_micros(400);

struct Bench {
    cell: Cell,
    rng: ChaCha8Rng,
    now: Time,
    last_id: u128,
    running: VecDeque<(Attempt, Name)>,
    actions: Vec<Action>,
    table: BTreeMap<Name, Allotments>,
    pending_racks: BTreeSet<Name>,
    latencies: Histogram<u64>,
}

fn team(index: usize) -> Name {
    format!("team-{index}").into()
}

fn capacity(worker: usize) -> Size {
    Size {
        millicores: 32_000,
        memory_mib: if worker.is_multiple_of(2) {
            131_072
        } else {
            65_536
        },
        accelerators: if worker.is_multiple_of(16) { 4 } else { 0 },
        slots: 16,
    }
}

impl Bench {
    fn new(workers: usize, queued: usize) -> Result<Bench> {
        let setup = Setup {
            server: "entry-1".into(),
            seed: 1,
            ..Setup::default()
        };
        let mut bench = Bench {
            cell: Cell::new(setup),
            rng: ChaCha8Rng::seed_from_u64(2),
            now: Time::from_millis(1_000),
            last_id: 0,
            running: VecDeque::new(),
            actions: Vec::new(),
            table: BTreeMap::new(),
            pending_racks: BTreeSet::new(),
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY_NS, 3)?,
        };
        bench.add_workers(workers);
        let mut waiting = 0;
        while waiting < queued {
            let request = bench.request(false);
            let before = bench.running.len();
            bench.handle(Event::Submit(request));
            if bench.running.len() == before {
                waiting += 1;
            }
        }
        bench.latencies.reset();
        Ok(bench)
    }

    fn add_workers(&mut self, workers: usize) {
        let limit = Size::MAX;
        let teams = (0..TEAMS).map(|index| Team {
            name: team(index),
            account: "client".into(),
            share: 1 + (index % 7) as u32,
            limit,
        });
        let teams = teams.collect();
        self.handle(Event::Configure { revision: 1, teams });
        for worker in 0..workers {
            let rack: Name = format!("rack-{}", worker / WORKERS_PER_RACK).into();
            if worker.is_multiple_of(WORKERS_PER_RACK) {
                let allotments = (0..TEAMS).map(|index| (team(index), capacity(0)));
                let allotments: Allotments = allotments.collect();
                self.table.insert(rack.clone(), allotments.clone());
                self.handle(Event::Gain(Grant {
                    rack: rack.clone(),
                    epoch: 1,
                    allotments,
                }));
            }
            let name: Name = format!("worker-{worker}").into();
            self.handle(Event::Join(Spec {
                name: name.clone(),
                rack,
                failure_domain: format!("domain-{}", worker % 3).into(),
                region: "region".into(),
                capacity: capacity(worker),
            }));
            self.handle(Event::Claimed(Inventory {
                worker: name,
                epoch: 1,
                running: Vec::new(),
                ended: Vec::new(),
            }));
        }
    }

    fn request(&mut self, urgent: bool) -> Request {
        self.last_id += 1;
        let kind = self.rng.random_range(0..6u64);
        let accelerators = u64::from(kind == 5);
        Request {
            id: Id(self.last_id),
            team: team(self.rng.random_range(0..TEAMS)),
            kind: format!("kind-{kind}").into(),
            class: if urgent { Class::Urgent } else { Class::Batch },
            size: Size {
                millicores: 1_000 * (1 + kind),
                memory_mib: 2_048 * (1 + (kind * 5) % 7),
                accelerators,
                slots: 1,
            },
            estimate: Duration::from_millis(1),
            deadline: self
                .now
                .after(Duration::from_secs(3_600 + self.rng.random_range(0..3_600))),
            idempotent: true,
            gang: None,
            target: None,
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let start = Instant::now();
        self.cell.handle(self.now, event, &mut actions);
        let latency = start.elapsed();
        self.latencies.saturating_record(latency.as_nanos() as u64);
        for action in actions.drain(..) {
            self.apply(action);
        }
        self.actions = actions;
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Start {
                attempt, worker, ..
            } => self.running.push_back((attempt, worker)),
            Action::Interrupt { attempt, how, .. } if how != Interrupt::Throttle => {
                let at = self.running.iter().position(|(known, _)| *known == attempt);
                if let Some(found) = at.and_then(|at| self.running.remove(at)) {
                    self.running.push_front(found);
                }
            }
            Action::Allot { demands } => {
                for demand in demands {
                    self.pending_racks.insert(demand.rack.clone());
                    let held = self.table.entry(demand.rack).or_default();
                    held.insert(demand.team, demand.want);
                }
            }
            _ => {}
        }
    }

    /// Grants all demands of one rack.
    fn grant(&mut self) {
        let Some(rack) = self.pending_racks.pop_first() else {
            return;
        };
        let allotments = self.table[&rack].clone();
        self.handle(Event::Allot(Allotted {
            rack,
            epoch: 1,
            allotments,
        }));
    }

    fn round(&mut self, index: usize) {
        self.now = self.now.after(ROUND_TIME);
        if index.is_multiple_of(GRANT_INTERVAL_ROUNDS) {
            self.grant();
        }
        if let Some((attempt, worker)) = self.running.pop_front() {
            self.handle(Event::Ended {
                attempt,
                worker,
                outcome: Outcome::Done,
            });
        }
        let request = self.request(index.is_multiple_of(4));
        let id = request.id;
        self.handle(Event::Submit(request));
        if index.is_multiple_of(16) {
            self.handle(Event::Cancel { request: id });
        }
    }

    fn run(&mut self) -> f64 {
        let mut index = 0;
        while self.latencies.len() < MIN_DECISIONS as u64 {
            self.round(index);
            index += 1;
        }
        1e9 / self.latencies.mean()
    }
}

fn main() -> Result<()> {
    println!("| workers | queued | decisions/s | mean µs | p50 µs | p99 µs | p99.9 µs | max µs |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for workers in [50, 500, 1_700] {
        for queued in [1_000, 10_000, 100_000] {
            let mut bench = Bench::new(workers, queued)?;
            let rate = bench.run();
            let micros = |quantile| bench.latencies.value_at_quantile(quantile) as f64 / 1e3;
            println!(
                "| {workers} | {queued} | {rate:.0} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} |",
                bench.latencies.mean() / 1e3,
                micros(0.5),
                micros(0.99),
                micros(0.999),
                bench.latencies.max() as f64 / 1e3,
            );
        }
    }
    Ok(())
}
