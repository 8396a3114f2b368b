//! Measures the memory, time and message sizes of each role of a server at several sizes of the
//! fleet, and prints the slope between the smallest and the largest size.
//!
//! Run it with `cargo run --release -p azurepath-server --example capacity`.
//!
//! Memory is the growth of the process's resident set. The measured structures are never freed,
//! because later measurements would reuse their memory without any growth.

use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use azurepath_decide::action::Action;
use azurepath_decide::attempt::{Attempt, Outcome, Running};
use azurepath_decide::candidate::Site;
use azurepath_decide::cell::{self, Cell};
use azurepath_decide::class::Class;
use azurepath_decide::config::{Entry, Snapshot};
use azurepath_decide::event::Event;
use azurepath_decide::fleet::{Owner, Server, View};
use azurepath_decide::name::Name;
use azurepath_decide::ownership;
use azurepath_decide::rack::Grant;
use azurepath_decide::request::{Id, Request};
use azurepath_decide::resource::{Kind, Resource, Team};
use azurepath_decide::route::{self, Router};
use azurepath_decide::share::{Summary, Tally};
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use azurepath_decide::usage;
use azurepath_decide::usage::{Head, Segment};
use azurepath_decide::worker::{Inventory, Report, Spec, Usage};
use azurepath_services::worker::Renewal;
use azurepath_wire::codec;
use azurepath_wire::frame::{Frame, Heartbeat, Task};

/// The number of teams in the fleet.
const TEAM_COUNT: u64 = 83;

/// The number of workers in a rack.
const WORKERS_PER_RACK: u64 = 8;

/// The number of rounds of submit, start and end over which an owner's time is averaged.
const ROUND_COUNT: u128 = 20_000;

/// The page size, the unit in which the kernel counts the resident set.
const PAGE_BYTES: u64 = 4_096;

/// The cost at one size.
struct Point {
    size: u64,
    cost: f64,
}

fn main() -> Result<()> {
    println!("cost                                      size:cost ...  slope per unit");
    show("entry: bytes by owners", &entry_bytes(&[8, 57, 228])?);
    show(
        "ledger: bytes by running tasks",
        &ledger_bytes(&[400, 2_000, 10_000])?,
    );
    show(
        "configuration: bytes by resources",
        &config_bytes(&[500, 2_000, 8_000])?,
    );
    show("owner: bytes by workers", &owner_bytes(&[50, 500, 1_700])?);
    show(
        "owner: bytes by running tasks",
        &running_bytes(&[1_000, 5_000, 25_000])?,
    );
    show(
        "owner: bytes by queued requests",
        &queued_bytes(&[1_000, 10_000, 100_000])?,
    );
    show(
        "owner: us a task by workers",
        &owner_time(&[50, 500, 1_700]),
    );
    show(
        "owner: us a report by running tasks",
        &report_time(&[100, 500, 2_000]),
    );
    show("entry: us a request by owners", &entry_time(&[8, 57, 228]));
    show("entry: us a summary by teams", &summary_time(&[6, 30, 83]));
    show(
        "configuration: us a copy by resources",
        &config_time(&[500, 2_000, 8_000]),
    );
    show(
        "wire: bytes of a renewal by tasks",
        &renewal_length(&[1, 15, 60])?,
    );
    show(
        "table: bytes of a rack's row by teams",
        &row_length(&[6, 30, 83])?,
    );
    show(
        "ledger: bytes of a segment by entries",
        &segment_length(&[10, 100, 1_000]),
    );
    println!("wire: bytes of a request's frame {}", task_length()?);
    println!("wire: bytes of a heartbeat {}", heartbeat_length()?);
    Ok(())
}

fn show(what: &str, points: &[Point]) {
    let (first, last) = (&points[0], &points[points.len() - 1]);
    let slope = (last.cost - first.cost) / (last.size - first.size) as f64;
    let list: Vec<String> = points
        .iter()
        .map(|point| format!("{}:{:.2}", point.size, point.cost))
        .collect();
    println!("{what:40}  {}  {slope:.4}", list.join("  "));
}

/// Returns the resident set size of the process in bytes.
fn resident() -> Result<u64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text
        .split(' ')
        .nth(1)
        .context("statm has no resident set")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}

/// Measures the memory of the value that `build` returns for each size.
fn measure_memory<T>(sizes: &[u64], build: impl Fn(u64) -> T) -> Result<Vec<Point>> {
    let mut points = Vec::new();
    for &size in sizes {
        let before = resident()?;
        std::mem::forget(build(size));
        let cost = resident()?.saturating_sub(before) as f64;
        points.push(Point { size, cost });
    }
    Ok(points)
}

/// Measures the mean time of `count` rounds for each size, in microseconds.
fn measure_time<T>(
    sizes: &[u64],
    count: u128,
    build: impl Fn(u64) -> T,
    round: impl Fn(&mut T, u128),
) -> Vec<Point> {
    let measure = |&size: &u64| {
        let mut state = build(size);
        let start = Instant::now();
        for index in 0..count {
            round(&mut state, index);
        }
        let cost = start.elapsed().as_secs_f64() * 1e6 / count as f64;
        Point { size, cost }
    };
    sizes.iter().map(measure).collect()
}

fn team(index: u64) -> Name {
    format!("team-{:03}", index % TEAM_COUNT).into()
}

fn teams() -> Vec<Team> {
    let team = |index| Team {
        name: team(index),
        account: "client".into(),
        share: 1 + (index % 7) as u32,
        limit: Size::MAX,
    };
    (0..TEAM_COUNT).map(team).collect()
}

fn size(cores: u64) -> Size {
    Size {
        millicores: cores * 1_000,
        memory_mib: cores * 3_072,
        accelerators: 0,
        slots: 1,
    }
}

fn request(id: u128) -> Request {
    Request {
        id: Id(id),
        team: team(id as u64),
        kind: format!("kind-{}", id % 40).into(),
        class: Class::Batch,
        size: size(1 + id as u64 % 3),
        estimate: Duration::from_secs(30),
        deadline: Time::MAX,
        idempotent: true,
        gang: None,
        target: None,
    }
}

/// An owner of workers with `slots` slots each.
struct Bench {
    cell: Cell,
    now: Time,
    started: Vec<(Attempt, Name)>,
}

impl Bench {
    fn new(workers: u64, slots: u64) -> Bench {
        let setup = cell::Setup {
            server: "entry-1".into(),
            seed: 1,
            ..cell::Setup::default()
        };
        let mut bench = Bench {
            cell: Cell::new(setup),
            now: Time::from_millis(1_000),
            started: Vec::new(),
        };
        bench.handle(Event::Configure {
            revision: 1,
            teams: teams(),
        });
        for worker in 0..workers {
            bench.join(worker, slots);
        }
        bench
    }

    fn join(&mut self, worker: u64, slots: u64) {
        let rack: Name = format!("rack-{}", worker / WORKERS_PER_RACK).into();
        if worker.is_multiple_of(WORKERS_PER_RACK) {
            let allotments = teams()
                .into_iter()
                .map(|team| (team.name, size(1 << 20).times(1 << 10)));
            self.handle(Event::Gain(Grant {
                rack: rack.clone(),
                epoch: 1,
                allotments: allotments.collect(),
            }));
        }
        let name: Name = format!("worker-{worker}").into();
        self.handle(Event::Join(Spec {
            name: name.clone(),
            rack,
            failure_domain: "domain".into(),
            region: "region".into(),
            capacity: Size {
                slots,
                ..size(slots * 3)
            },
        }));
        self.handle(Event::Claimed(Inventory {
            worker: name,
            epoch: 1,
            running: Vec::new(),
            ended: Vec::new(),
        }));
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.cell.handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::Start {
                attempt, worker, ..
            } = action
            {
                self.started.push((attempt, worker));
            }
        }
    }

    fn submit(&mut self, count: u64) {
        let first = self.started.len() as u128 + 1;
        for id in first..first + u128::from(count) {
            self.handle(Event::Submit(request(id)));
        }
    }

    /// Submits a request and ends an attempt, which frees the capacity for a start.
    fn run_round(&mut self, index: u128) {
        self.now = self.now.after(Duration::from_millis(1));
        self.handle(Event::Submit(request((1 << 64) + index)));
        if let Some((attempt, worker)) = self.started.pop() {
            self.handle(Event::Ended {
                attempt,
                worker,
                outcome: Outcome::Done,
            });
        }
    }
}

fn owner_bytes(sizes: &[u64]) -> Result<Vec<Point>> {
    measure_memory(sizes, |workers| Bench::new(workers, 16))
}

fn running_bytes(sizes: &[u64]) -> Result<Vec<Point>> {
    measure_memory(sizes, |running| {
        let mut bench = Bench::new(8, 10_000);
        bench.submit(running);
        bench
    })
}

fn queued_bytes(sizes: &[u64]) -> Result<Vec<Point>> {
    measure_memory(sizes, |queued| {
        let mut bench = Bench::new(1, 1);
        bench.submit(queued);
        bench
    })
}

fn owner_time(sizes: &[u64]) -> Vec<Point> {
    measure_time(
        sizes,
        ROUND_COUNT,
        |workers| Bench::new(workers, 16),
        Bench::run_round,
    )
}

fn report_time(sizes: &[u64]) -> Vec<Point> {
    let build = |running| {
        let mut bench = Bench::new(1, 10_000);
        bench.submit(running);
        let usage = bench.started.iter().map(|(attempt, _)| Usage {
            attempt: *attempt,
            used: size(1),
        });
        let report = Report {
            worker: "worker-0".into(),
            usage: usage.collect(),
        };
        (bench, report)
    };
    measure_time(sizes, 200, build, |(bench, report), _| {
        bench.now = bench.now.after(Duration::from_secs(3));
        bench.handle(Event::Report(report.clone()));
    })
}

fn summary(owner: u64, sequence: u64, teams: u64) -> Summary {
    let tally = |index| Tally {
        running: size(9 + index % 7),
        waiting: Size::ZERO,
        allotted: size(64).times(64),
    };
    Summary {
        server: format!("server-{owner}").into(),
        sequence,
        racks: (0..4)
            .map(|rack| format!("rack-{}", owner * 4 + rack).into())
            .collect(),
        capacity: size(1_024).times(32),
        free: size(512).times(32),
        largest: size(32).times(32),
        ceiling: size(32).times(32),
        wait: Duration::from_millis(sequence % 100),
        teams: (0..teams)
            .map(|index| (team(index), tally(index)))
            .collect(),
    }
}

fn site(owner: u64) -> Site {
    Site {
        failure_domain: format!("domain-{}", owner % 19).into(),
        region: format!("region-{}", owner % 7).into(),
    }
}

fn view(owners: u64) -> View {
    let mut view = View::default();
    for owner in 0..owners {
        let name: Name = format!("server-{owner}").into();
        let site = site(owner);
        let server = Server {
            name: name.clone(),
            incarnation: 1,
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: site.failure_domain,
            region: site.region,
            leaving: false,
        };
        view.servers.insert(name.clone(), server);
        for rack in owner * 4..owner * 4 + 4 {
            let owner = Owner {
                server: name.clone(),
                incarnation: 1,
                epoch: 1,
            };
            view.racks.insert(format!("rack-{rack}").into(), owner);
        }
    }
    view
}

fn entry(owners: u64, known: u64) -> Router {
    let mut router = Router::new(route::Setup {
        server: "server-0".into(),
        site: site(0),
        seed: 1,
    });
    let mut actions = Vec::new();
    let now = Time::from_millis(1_000);
    router.handle(now, route::Event::View(view(owners)), &mut actions);
    for owner in 0..owners {
        let summary = route::Event::Summary(summary(owner, 1, known));
        router.handle(now, summary, &mut actions);
    }
    router
}

fn entry_bytes(sizes: &[u64]) -> Result<Vec<Point>> {
    measure_memory(sizes, |owners| entry(owners, TEAM_COUNT))
}

fn entry_time(sizes: &[u64]) -> Vec<Point> {
    measure_time(
        sizes,
        2_000,
        |owners| entry(owners, TEAM_COUNT),
        |router, index| {
            let mut actions = Vec::new();
            let now = Time::from_millis(1_000 + index as u64);
            let submit = route::Event::Submit {
                request: request(index + 1),
                payload_bytes: 1_000,
            };
            router.handle(now, submit, &mut actions);
        },
    )
}

fn summary_time(sizes: &[u64]) -> Vec<Point> {
    let build = |teams| (entry(57, teams), teams);
    measure_time(sizes, 2_000, build, |(router, teams), index| {
        let mut actions = Vec::new();
        let now = Time::from_millis(2_000 + index as u64);
        let summary = summary(index as u64 % 57, 2 + index as u64, *teams);
        router.handle(now, route::Event::Summary(summary), &mut actions);
    })
}

fn snapshot(resources: u64) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for index in 0..resources {
        let name: Name = format!("team-{index}").into();
        let team = Team {
            name: name.clone(),
            account: "client".into(),
            share: 1,
            limit: Size::MAX,
        };
        let entry = Entry {
            revision: index,
            resource: Resource::Team(team),
        };
        let kind = snapshot.entries.entry(Kind::Team).or_default();
        kind.insert(name, entry);
    }
    snapshot
}

fn config_bytes(sizes: &[u64]) -> Result<Vec<Point>> {
    measure_memory(sizes, snapshot)
}

fn config_time(sizes: &[u64]) -> Vec<Point> {
    measure_time(sizes, 50, snapshot, |snapshot, _| {
        std::hint::black_box(snapshot.clone());
    })
}

fn renewal_length(sizes: &[u64]) -> Result<Vec<Point>> {
    let point = |&size: &u64| {
        let usage = (0..size).map(|index| Usage {
            attempt: attempt(index),
            used: self::size(2),
        });
        let renewal = Renewal {
            report: Report {
                worker: "worker-zrh-a-r01-3".into(),
                usage: usage.collect(),
            },
            ended: Vec::new(),
            leaving: false,
        };
        let cost = serde_json::to_vec(&renewal)?.len() as f64;
        Ok(Point { size, cost })
    };
    sizes.iter().map(point).collect()
}

fn row_length(sizes: &[u64]) -> Result<Vec<Point>> {
    let point = |&size: &u64| {
        let allotments = (0..size).map(|index| (team(index), self::size(12)));
        let row = ownership::Rack {
            owner: Owner {
                server: "server-zrh-a-01".into(),
                incarnation: u64::MAX,
                epoch: 100,
            },
            allotments: allotments.collect(),
            successor: None,
            predecessor: None,
        };
        let cost = serde_json::to_vec(&row)?.len() as f64;
        Ok(Point { size, cost })
    };
    sizes.iter().map(point).collect()
}

fn attempt(index: u64) -> Attempt {
    Attempt {
        request: Id(u128::MAX - u128::from(index)),
        number: 1,
    }
}

fn ledger(running: u64) -> usage::Ledger {
    let mut ledger = usage::Ledger::default();
    for index in 0..running {
        let running = Running {
            attempt: attempt(index),
            team: team(index),
            kind: "kind".into(),
            class: Class::Batch,
            size: size(2),
            gang: None,
            idempotent: true,
        };
        ledger.begin(1_000, &"worker".into(), &running);
    }
    ledger
}

fn ledger_bytes(sizes: &[u64]) -> Result<Vec<Point>> {
    measure_memory(sizes, ledger)
}

fn segment_length(sizes: &[u64]) -> Vec<Point> {
    let point = |&size: &u64| {
        let entries = ledger(size).take(60_000);
        let segment = Segment::seal("server-1", &Head::default(), entries);
        let cost = segment.text().len() as f64;
        Point { size, cost }
    };
    sizes.iter().map(point).collect()
}

fn task_length() -> Result<usize> {
    let task = Task::new(&request(u128::MAX), Time::from_millis(1));
    Ok(codec::encode(&Frame::Submit(task))?.len())
}

fn heartbeat_length() -> Result<usize> {
    let heartbeat = Heartbeat {
        server: "server-zrh-a-01".to_owned(),
        incarnation: u64::MAX,
        revision: 4_400,
    };
    Ok(codec::encode(&Frame::Heartbeat(heartbeat))?.len())
}
