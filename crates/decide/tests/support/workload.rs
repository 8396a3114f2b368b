//! Random workloads: those of two clients and one on a large fleet.

#![allow(dead_code, missing_docs, unreachable_pub)]

use std::time::Duration;

use azurepath_decide::class::Class;
use azurepath_decide::name::Name;
use azurepath_decide::request::{Id, Request};
use azurepath_decide::resource::Team;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use azurepath_decide::worker::Spec;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A request with its true run time.
#[derive(Clone, Debug)]
pub struct Task {
    pub at: Time,
    pub run: Duration,
    pub request: Request,
}

/// A fleet, its teams and the tasks that are submitted to it.
#[derive(Clone, Debug)]
pub struct Workload {
    pub workers: Vec<Spec>,
    pub teams: Vec<Team>,
    pub tasks: Vec<Task>,
}

/// A kind of work.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub class: Class,
    pub cores: u64,
    pub memory_gib: u64,
    pub accelerators: u64,
    pub run_seconds: f64,
    pub timeout_seconds: u64,
    pub idempotent: bool,
    /// The fraction of the load that is of this kind.
    pub load_fraction: f64,
}

const LUMEN: [Kind; 3] = [
    kind("pairing", Class::Urgent, (1, 1), 0.5, 6, true, 0.15),
    kind("audit", Class::Batch, (4, 8), 20.0, 600, true, 0.45),
    kind("sweep", Class::Batch, (8, 24), 60.0, 3_600, false, 0.40),
];

const BARAFU: [Kind; 3] = [
    kind("order", Class::Urgent, (1, 1), 0.3, 6, false, 0.10),
    kind("route", Class::Batch, (8, 12), 45.0, 3_600, true, 0.60),
    kind("sheet", Class::Batch, (2, 2), 5.0, 300, true, 0.30),
];

const fn kind(
    name: &'static str,
    class: Class,
    (cores, memory_gib): (u64, u64),
    run_seconds: f64,
    timeout_seconds: u64,
    idempotent: bool,
    load_fraction: f64,
) -> Kind {
    Kind {
        name,
        class,
        cores,
        memory_gib,
        accelerators: 0,
        run_seconds,
        timeout_seconds,
        idempotent,
        load_fraction,
    }
}

impl Kind {
    pub fn size(&self) -> Size {
        Size {
            millicores: self.cores * 1_000,
            memory_mib: self.memory_gib * 1_024,
            accelerators: self.accelerators,
            slots: 1,
        }
    }
}

/// Returns a day's workload of Lumenbrücke on 50 workers of 32 cores, 128 GiB and 8 slots.
pub fn lumen(seed: u64, load: f64, seconds: u64) -> Workload {
    let sites = ["zrh-a", "zrh-b", "gva-a"];
    client(seed, load, seconds, &LUMEN, 128, sites)
}

/// Returns a night's workload of Barafu Pwani on 50 workers of 32 cores, 64 GiB and 8 slots.
pub fn barafu(seed: u64, load: f64, seconds: u64) -> Workload {
    let sites = ["dar-kariakoo", "dar-mbezi", "znz-stone"];
    client(seed, load, seconds, &BARAFU, 64, sites)
}

fn client(
    seed: u64,
    load: f64,
    seconds: u64,
    kinds: &[Kind],
    memory_gib: u64,
    sites: [&str; 3],
) -> Workload {
    let capacity = Size {
        millicores: 32_000,
        memory_mib: memory_gib * 1_024,
        accelerators: 0,
        slots: 8,
    };
    let workers = fleet(50, |_| capacity, &sites);
    // A few teams cause most of the demand.
    let demand = [30.0, 25.0, 20.0, 10.0, 10.0, 5.0];
    let teams = teams(&[3, 2, 2, 1, 1, 1]);
    let mut generator = Generator::new(seed);
    let mut tasks = Vec::new();
    let total = capacity.times(50);
    for kind in kinds {
        let each = kind.size().dominant_share(&total).max(1.0 / 400.0) * kind.run_seconds;
        let per_second = load * kind.load_fraction / each;
        generator.arrivals(kind, per_second, 0, seconds, &demand, &mut tasks);
    }
    finish(workers, teams, tasks)
}

/// Returns a workload of 83 teams on 1,700 workers with 2,900 accelerators.
///
/// About 25,000 tasks run at a time, of which a fifth are services, and 120 start per second.
/// `load` scales the arrivals.
pub fn large_fleet(seed: u64, load: f64, seconds: u64) -> Workload {
    let sites = ["a-1", "a-2", "a-3", "b-1", "b-2"];
    let workers = fleet(1_700, large_fleet_worker, &sites);
    let shares: Vec<u32> = (0..83).map(|index| 1 + index % 5).collect();
    let teams = teams(&shares);
    // The demand falls with the square root of the team's rank.
    let demand: Vec<f64> = (1..=83).map(|rank| 1.0 / f64::from(rank).sqrt()).collect();
    let mut generator = Generator::new(seed);
    let mut tasks = Vec::new();
    let service = Kind {
        run_seconds: 1e7,
        ..kind("service", Class::Service, (1, 2), 1.0, 1 << 40, true, 0.0)
    };
    generator.initial(&service, 5_000, &demand, &mut tasks);
    let (small, large, accelerated, urgent) = large_fleet_kinds();
    for (kind, per_second) in [
        (small, 80.0),
        (large, 14.0),
        (accelerated, 8.0),
        (urgent, 18.0),
    ] {
        let running = (per_second * kind.run_seconds) as u64;
        generator.initial(&kind, running, &demand, &mut tasks);
        generator.arrivals(&kind, per_second * load, 60, seconds, &demand, &mut tasks);
    }
    finish(workers, teams, tasks)
}

fn large_fleet_kinds() -> (Kind, Kind, Kind, Kind) {
    let small = kind("small", Class::Batch, (2, 4), 180.0, 3_600, true, 0.0);
    let large = kind("large", Class::Batch, (4, 16), 300.0, 3_600, false, 0.0);
    let accelerated = Kind {
        accelerators: 1,
        ..kind(
            "accelerated",
            Class::Batch,
            (2, 16),
            160.0,
            3_600,
            true,
            0.0,
        )
    };
    let urgent = kind("urgent", Class::Urgent, (1, 1), 2.0, 6, true, 0.0);
    (small, large, accelerated, urgent)
}

fn large_fleet_worker(index: usize) -> Size {
    Size {
        millicores: 32_000,
        memory_mib: 128 * 1_024,
        accelerators: if index < 725 { 4 } else { 0 },
        slots: 24,
    }
}

/// Returns workers at 8 per rack, with the racks spread evenly over the failure domains.
fn fleet(count: usize, capacity: impl Fn(usize) -> Size, sites: &[&str]) -> Vec<Spec> {
    let worker = |index: usize| {
        let rack = index / 8;
        let site = sites[rack % sites.len()];
        Spec {
            name: format!("w{index:04}").into(),
            rack: format!("r{rack:03}").into(),
            failure_domain: site.into(),
            region: site.split('-').next().unwrap_or(site).into(),
            capacity: capacity(index),
        }
    };
    (0..count).map(worker).collect()
}

fn teams(shares: &[u32]) -> Vec<Team> {
    let team = |(index, share): (usize, &u32)| Team {
        name: team_name(index),
        account: format!("account{}", index % 6).into(),
        share: *share,
        limit: Size::MAX,
    };
    shares.iter().enumerate().map(team).collect()
}

fn team_name(index: usize) -> Name {
    format!("t{index:02}").into()
}

fn finish(workers: Vec<Spec>, teams: Vec<Team>, mut tasks: Vec<Task>) -> Workload {
    tasks.sort_by_key(|task| (task.at, task.request.id));
    Workload {
        workers,
        teams,
        tasks,
    }
}

struct Generator {
    rng: ChaCha8Rng,
    last_id: u128,
}

impl Generator {
    fn new(seed: u64) -> Generator {
        Generator {
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_id: 0,
        }
    }

    /// Adds tasks that arrive as a Poisson process between two times, in seconds.
    fn arrivals(
        &mut self,
        kind: &Kind,
        per_second: f64,
        from: u64,
        to: u64,
        demand: &[f64],
        tasks: &mut Vec<Task>,
    ) {
        let mut at = from as f64;
        loop {
            at += self.exponential(1.0 / per_second);
            if at >= to as f64 {
                return;
            }
            let task = self.task(kind, Time((at * 1e6) as u64), demand);
            tasks.push(task);
        }
    }

    /// Adds the initial tasks, which are submitted evenly over the first 30 s.
    fn initial(&mut self, kind: &Kind, count: u64, demand: &[f64], tasks: &mut Vec<Task>) {
        for index in 0..count {
            let at = Time(30_000_000 * index / count.max(1));
            let task = self.task(kind, at, demand);
            tasks.push(task);
        }
    }

    fn task(&mut self, kind: &Kind, at: Time, demand: &[f64]) -> Task {
        let run = Duration::from_secs_f64(self.exponential(kind.run_seconds).max(0.01));
        // The declared run time is up to 4.5 times too short or too long.
        let factor = self.rng.random_range(-1.5_f64..1.5).exp();
        self.last_id += 1;
        let request = Request {
            id: Id(self.last_id),
            team: self.random_team(demand),
            kind: kind.name.into(),
            class: kind.class,
            size: kind.size(),
            estimate: run.mul_f64(factor),
            deadline: at.after(Duration::from_secs(kind.timeout_seconds)),
            idempotent: kind.idempotent,
            gang: None,
            target: None,
        };
        Task { at, run, request }
    }

    fn random_team(&mut self, demand: &[f64]) -> Name {
        let mut remaining = self.rng.random::<f64>() * demand.iter().sum::<f64>();
        let index = demand.iter().position(|part| {
            remaining -= part;
            remaining <= 0.0
        });
        team_name(index.unwrap_or(0))
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }
}
