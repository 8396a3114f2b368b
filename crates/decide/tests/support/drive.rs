//! Runs a cell on a workload, in which each task ends after its true run time.

#![allow(dead_code, missing_docs, unreachable_pub)]

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use azurepath_decide::action::Action;
use azurepath_decide::attempt::{Attempt, Outcome};
use azurepath_decide::cell::{Cell, Setup};
use azurepath_decide::event::Event;
use azurepath_decide::meter::Meter;
use azurepath_decide::name::Name;
use azurepath_decide::policy::Policy;
use azurepath_decide::rack::{Allotments, Allotted, Demand, Grant};
use azurepath_decide::replay;
use azurepath_decide::request;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use azurepath_decide::trace::{Input, Record};
use azurepath_decide::worker::{Interrupt, Inventory};

use super::workload::{Task, Workload};

/// How long a message to or from a worker takes.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);

/// How long the table takes to change an allotment.
const TABLE_DELAY: Duration = Duration::from_millis(100);

/// The time between two ticks.
const TICK: Duration = Duration::from_millis(100);

/// An event at a time. The order is reversed so that the earliest is on top of the heap.
struct Due {
    at: Time,
    order: u64,
    event: Event,
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

/// The results of a run.
#[derive(Default)]
pub struct Measurement {
    pub meter: Meter,
    pub verdicts: BTreeMap<String, u64>,
    pub events: u64,
    pub actions: u64,
    pub starts: u64,
    /// The time that the cell took to handle each event.
    pub latencies: Vec<Duration>,
    pub max_running: usize,
    pub records: Vec<Record>,
    /// Starts that exceeded the capacity of a worker.
    pub violations: Vec<String>,
}

/// A cell with simulated workers and a table that grants every demand.
pub struct Driver {
    cell: Cell,
    heap: BinaryHeap<Due>,
    order: u64,
    tasks: BTreeMap<request::Id, Task>,
    running: BTreeMap<Attempt, (Name, Size)>,
    used: BTreeMap<Name, Size>,
    capacities: BTreeMap<Name, Size>,
    allotments: BTreeMap<Name, Allotments>,
    record: bool,
    /// The time of the first event whose handling is timed.
    timed_from: Time,
    result: Measurement,
}

impl Driver {
    /// Runs a workload until `end` and returns the results. If `record` is set, they include the
    /// handled events.
    pub fn run(workload: Workload, setup: Setup, end: Time, record: bool) -> Measurement {
        Driver::run_from(workload, setup, Time(0), end, record)
    }

    /// Works like [`Driver::run`], but times only the events from `timed_from` on.
    pub fn run_from(
        workload: Workload,
        setup: Setup,
        timed_from: Time,
        end: Time,
        record: bool,
    ) -> Measurement {
        let mut driver = Driver {
            cell: Cell::new(setup),
            heap: BinaryHeap::new(),
            order: 0,
            tasks: BTreeMap::new(),
            running: BTreeMap::new(),
            used: BTreeMap::new(),
            capacities: BTreeMap::new(),
            allotments: BTreeMap::new(),
            record,
            timed_from,
            result: Measurement::default(),
        };
        driver.prepare(workload);
        while let Some(due) = driver.heap.pop() {
            if due.at > end {
                break;
            }
            driver.handle(due.at, due.event);
        }
        driver.result
    }

    fn prepare(&mut self, workload: Workload) {
        let mut allotments = Allotments::new();
        for team in &workload.teams {
            allotments.insert(team.name.clone(), LARGE_LIMIT);
        }
        let configure = Event::Configure {
            revision: 1,
            teams: workload.teams,
        };
        self.push(Time(0), configure);
        let mut racks: Vec<Name> = Vec::new();
        for spec in workload.workers {
            if racks.last() != Some(&spec.rack) {
                racks.push(spec.rack.clone());
                self.allotments
                    .insert(spec.rack.clone(), allotments.clone());
                let grant = Grant {
                    rack: spec.rack.clone(),
                    epoch: 1,
                    allotments: allotments.clone(),
                };
                self.push(Time(0), Event::Gain(grant));
            }
            self.capacities.insert(spec.name.clone(), spec.capacity);
            self.push(Time(0), Event::Join(spec));
        }
        for task in workload.tasks {
            self.push(task.at, Event::Submit(task.request.clone()));
            self.tasks.insert(task.request.id, task);
        }
        self.push(Time(0), Event::Tick);
    }

    fn push(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.heap.push(Due {
            at,
            order: self.order,
            event,
        });
    }

    fn handle(&mut self, now: Time, event: Event) {
        if event == Event::Tick {
            self.push(now.after(TICK), Event::Tick);
        }
        if let Event::Ended { attempt, .. } = &event {
            self.release(*attempt);
        }
        if self.record {
            self.result.records.push(Record {
                at: now,
                input: Input::Cell(event.clone()),
            });
        }
        let observed = event.clone();
        let mut actions = Vec::new();
        let started_at = Instant::now();
        self.cell.handle(now, event, &mut actions);
        if now >= self.timed_from {
            self.result.latencies.push(started_at.elapsed());
        }
        self.result.events += 1;
        self.result.actions += actions.len() as u64;
        self.result.meter.observe(now, &observed, &actions);
        for action in actions {
            self.carry_out(now, action);
        }
    }

    fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Claim { worker, epoch } => {
                let inventory = Inventory {
                    worker,
                    epoch,
                    running: Vec::new(),
                    ended: Vec::new(),
                };
                self.push(now.after(MESSAGE_DELAY), Event::Claimed(inventory));
            }
            Action::Start {
                attempt,
                worker,
                size,
                ..
            } => self.start(now, attempt, worker, size),
            Action::Interrupt {
                attempt,
                worker,
                how,
            } => self.interrupt(now, attempt, worker, how),
            Action::Answer { verdict, .. } => {
                let label = replay::label(&verdict);
                *self.result.verdicts.entry(label).or_default() += 1;
            }
            Action::Allot { demands } => self.allot(now, demands),
            _ => {}
        }
    }

    /// Grants all demands, as the table does while no limit is reached.
    fn allot(&mut self, now: Time, demands: Vec<Demand>) {
        let mut racks = BTreeSet::new();
        for demand in demands {
            let held = self.allotments.entry(demand.rack.clone()).or_default();
            held.insert(demand.team, demand.want);
            racks.insert(demand.rack);
        }
        for rack in racks {
            let allotted = Allotted {
                allotments: self.allotments[&rack].clone(),
                rack,
                epoch: 1,
            };
            self.push(now.after(TABLE_DELAY), Event::Allot(allotted));
        }
    }

    fn start(&mut self, now: Time, attempt: Attempt, worker: Name, size: Size) {
        self.result.starts += 1;
        let used = self.used.entry(worker.clone()).or_default();
        *used = used.plus(&size);
        if !used.fits(&self.capacities[&worker]) {
            let text = format!("{worker} is over its capacity at {now:?}");
            self.result.violations.push(text);
        }
        self.running.insert(attempt, (worker.clone(), size));
        self.result.max_running = self.result.max_running.max(self.running.len());
        let started_at = now.after(MESSAGE_DELAY);
        let run = self.tasks[&attempt.request].run;
        self.push(
            started_at,
            Event::Started {
                attempt,
                worker: worker.clone(),
            },
        );
        let ended = Event::Ended {
            attempt,
            worker,
            outcome: Outcome::Done,
        };
        self.push(started_at.after(run), ended);
    }

    fn interrupt(&mut self, now: Time, attempt: Attempt, worker: Name, how: Interrupt) {
        let outcome = match how {
            Interrupt::Throttle => return,
            Interrupt::Checkpoint => Outcome::Checkpointed,
            Interrupt::Stop => Outcome::Stopped,
        };
        let ended = Event::Ended {
            attempt,
            worker,
            outcome,
        };
        self.push(now.after(MESSAGE_DELAY * 2), ended);
    }

    fn release(&mut self, attempt: Attempt) {
        if let Some((worker, size)) = self.running.remove(&attempt)
            && let Some(used) = self.used.get_mut(&worker)
        {
            *used = used.minus(&size);
        }
    }
}

/// An allotment that is never used up.
const LARGE_LIMIT: Size = Size {
    millicores: u64::MAX / 1_000,
    memory_mib: u64::MAX / 1_000,
    accelerators: u64::MAX / 1_000,
    slots: u64::MAX / 1_000,
};

/// Returns the setup of a cell with a policy.
pub fn setup(policy: Policy) -> Setup {
    Setup {
        server: "entry-1".into(),
        region: None,
        seed: 1,
        policy,
    }
}
