//! Allotments: the parts that racks hold never add up to more than a team's limit.

use std::collections::BTreeMap;
use std::time::Duration;

use azurepath_decide::allotment::{Action, Escrow, Event, Limit, Plan, Setup, plan};
use azurepath_decide::fleet::Server;
use azurepath_decide::name::Name;
use azurepath_decide::ownership::{Outcome, Rack, Stored};
use azurepath_decide::rack::Demand;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SETUP: Setup = Setup {
    interval: Duration::from_millis(100),
    retry: Duration::from_secs(1),
    review: Duration::from_secs(5),
};

fn server(index: usize) -> Server {
    Server {
        name: format!("s{index}").into(),
        incarnation: 1,
        address: "127.0.0.1:1".parse().expect("an address"),
        failure_domain: "zrh-a".into(),
        region: "ch-north".into(),
        leaving: false,
    }
}

fn slots(count: u64) -> Size {
    Size {
        millicores: count * 1_000,
        slots: count,
        ..Size::ZERO
    }
}

fn demand(rack: &str, team: &str, want: Size) -> Demand {
    Demand {
        rack: rack.into(),
        team: team.into(),
        want,
    }
}

/// The rows of the table, and one escrow per server.
struct Fleet {
    now: Time,
    revision: u64,
    limits: BTreeMap<Name, Stored<Limit>>,
    racks: BTreeMap<Name, Stored<Rack>>,
    escrows: Vec<Escrow>,
    /// Transactions whose answer was lost and that have not taken effect yet.
    late: Vec<Plan>,
    fault: Fault,
    reclaimed: Vec<Demand>,
    kept: Vec<Demand>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The transaction takes effect, but its answer is lost.
    Lost,
    /// The answer is lost and the transaction takes effect later.
    Late,
    /// The transaction is rejected.
    Down,
}

impl Fleet {
    fn new(servers: usize, racks: usize, limit: u64) -> Fleet {
        let rows = (0..racks).map(|index| {
            let row = Rack::claimed_by(None, &server(index % servers));
            (Name::from(format!("r{index}")), Stored { revision: 1, row })
        });
        let limit = Limit {
            limit: slots(limit),
            ..Limit::default()
        };
        let limit = Stored {
            revision: 1,
            row: limit,
        };
        Fleet {
            now: Time(0),
            revision: 1,
            limits: BTreeMap::from([("shop".into(), limit)]),
            racks: rows.collect(),
            escrows: (0..servers).map(|_| Escrow::new(SETUP)).collect(),
            late: Vec::new(),
            fault: Fault::None,
            reclaimed: Vec::new(),
            kept: Vec::new(),
        }
    }

    fn owned(&self, index: usize) -> BTreeMap<Name, Stored<Rack>> {
        let server = server(index);
        let rows = self.racks.iter();
        rows.filter(|(_, stored)| stored.row.is_owned_by(&server))
            .map(|(name, stored)| (name.clone(), stored.clone()))
            .collect()
    }

    fn send_event(&mut self, index: usize, event: Event) {
        let mut queue = vec![event];
        while let Some(event) = queue.pop() {
            let owned = self.owned(index);
            let mut actions = Vec::new();
            self.escrows[index].handle(self.now, event, &owned, &mut actions);
            for action in actions {
                match action {
                    Action::Read { .. } => {
                        let limits = (self.fault != Fault::Down).then(|| self.limits.clone());
                        queue.push(Event::Read(limits));
                    }
                    Action::Write(plan) => queue.push(Event::Wrote(self.write(plan))),
                    Action::Reclaim(demand) => self.reclaimed.push(demand),
                    Action::Keep(demand) => self.kept.push(demand),
                }
            }
        }
        self.check();
    }

    fn write(&mut self, plan: Plan) -> Outcome {
        match self.fault {
            Fault::Down => Outcome::Failed,
            Fault::Late => {
                self.late.push(plan);
                Outcome::Lost
            }
            Fault::Lost => {
                self.commit(plan);
                Outcome::Lost
            }
            Fault::None => {
                if !self.commit(plan) {
                    return Outcome::Conflict;
                }
                let revision = self.revision;
                Outcome::Done { revision }
            }
        }
    }

    fn commit(&mut self, plan: Plan) -> bool {
        let limits = plan.limits.iter();
        let racks = plan.racks.iter();
        let fits = limits
            .map(|(name, stored)| (self.limits[name].revision, stored.revision))
            .chain(racks.map(|(name, stored)| (self.racks[name].revision, stored.revision)))
            .all(|(now, checked)| now == checked);
        if !fits {
            return false;
        }
        self.revision += 1;
        let revision = self.revision;
        for (name, Stored { row, .. }) in plan.limits {
            self.limits.insert(name, Stored { revision, row });
        }
        for (name, Stored { row, .. }) in plan.racks {
            self.racks.insert(name, Stored { revision, row });
        }
        true
    }

    fn sum(&self) -> Size {
        let racks = self.racks.values();
        racks
            .filter_map(|stored| stored.row.allotments.get("shop"))
            .fold(Size::ZERO, |sum, part| sum.plus(part))
    }

    fn check(&self) {
        assert_eq!(
            self.limits["shop"].row.held,
            self.sum(),
            "held is the sum of the parts"
        );
    }

    fn wait(&mut self, millis: u64) {
        self.now = self.now.after(Duration::from_millis(millis));
        for index in 0..self.escrows.len() {
            self.send_event(index, Event::Tick);
        }
    }

    fn set_limit(&mut self, limit: u64) {
        self.revision += 1;
        let stored = self.limits.get_mut("shop").expect("the team");
        stored.row.limit = slots(limit);
        stored.revision = self.revision;
    }

    fn move_rack(&mut self, rack: usize, to: usize) {
        self.revision += 1;
        let stored = self.racks.get_mut(&*format!("r{rack}")).expect("the rack");
        stored.row = Rack::claimed_by(Some(&stored.row), &server(to));
        stored.revision = self.revision;
    }

    fn held(&self, rack: &str) -> Size {
        let allotments = &self.racks[rack].row.allotments;
        allotments.get("shop").copied().unwrap_or_default()
    }
}

#[test]
fn grants_in_one_write() {
    let mut fleet = Fleet::new(1, 2, 10);
    let demands = vec![
        demand("r0", "shop", slots(4)),
        demand("r1", "shop", slots(5)),
    ];
    fleet.send_event(0, Event::Demand(demands));
    assert_eq!(fleet.revision, 2);
    assert_eq!((fleet.held("r0"), fleet.held("r1")), (slots(4), slots(5)));
}

#[test]
fn small_limit() {
    let mut fleet = Fleet::new(3, 7, 3);
    for rack in 0..7 {
        let name = format!("r{rack}");
        fleet.send_event(
            rack % 3,
            Event::Demand(vec![demand(&name, "shop", slots(1))]),
        );
        fleet.wait(200);
    }
    assert_eq!(fleet.sum(), slots(3));
    // Each rack that got a slot gives it back, so every other rack gets one in turn.
    let mut was_served = [false; 7];
    for _ in 0..30 {
        for (rack, was_served) in was_served.iter_mut().enumerate() {
            let name = format!("r{rack}");
            if fleet.held(&name) == slots(1) {
                *was_served = true;
                fleet.send_event(
                    rack % 3,
                    Event::Demand(vec![demand(&name, "shop", slots(0))]),
                );
            }
        }
        fleet.wait(1_500);
    }
    assert_eq!(was_served, [true; 7]);
    assert!(fleet.sum().is_zero());
}

#[test]
fn partial_grant() {
    let mut fleet = Fleet::new(1, 1, 3);
    fleet.send_event(0, Event::Demand(vec![demand("r0", "shop", slots(7))]));
    assert_eq!(
        fleet.held("r0"),
        slots(3),
        "in the proportions of the demand"
    );
}

#[test]
fn base_parts() {
    let mut fleet = Fleet::new(2, 4, 16);
    for index in 0..2 {
        let limits = BTreeMap::from([("shop".into(), slots(16))]);
        fleet.send_event(index, Event::Fleet { racks: 4, limits });
        fleet.wait(200);
    }
    for rack in ["r0", "r1", "r2", "r3"] {
        assert_eq!(
            fleet.held(rack),
            slots(2),
            "half of the limit, spread over the racks"
        );
    }
    // Racks keep idle base parts until some rack gets less than it asks for.
    fleet.send_event(1, Event::Demand(vec![demand("r1", "shop", slots(0))]));
    fleet.wait(2_000);
    assert_eq!(fleet.held("r1"), slots(2));
    let notified = fleet
        .kept
        .iter()
        .any(|kept| *kept == demand("r1", "shop", slots(2)));
    assert!(notified, "the rack is told that it keeps what it offered");
    fleet.send_event(0, Event::Demand(vec![demand("r0", "shop", slots(16))]));
    fleet.wait(1_000);
    assert_eq!(fleet.held("r0"), slots(10));
    for _ in 0..8 {
        for (index, rack) in [(1, "r1"), (0, "r2"), (1, "r3")] {
            fleet.send_event(index, Event::Demand(vec![demand(rack, "shop", slots(0))]));
        }
        fleet.wait(2_000);
    }
    assert_eq!(fleet.held("r0"), slots(16), "no budget is stranded");
}

#[test]
fn late_grant_kept() {
    // A transaction whose answer was lost takes effect while the limits are read for base parts.
    // The next plan must not take back what it granted.
    let fleet = Fleet::new(1, 4, 16);
    let mut escrow = Escrow::new(SETUP);
    let mut owned = fleet.owned(0);
    let mut actions = Vec::new();
    let limits = BTreeMap::from([("shop".into(), slots(16))]);
    let event = Event::Fleet { racks: 4, limits };
    escrow.handle(Time(0), event, &owned, &mut actions);
    assert!(matches!(actions[..], [Action::Read { .. }]), "{actions:?}");
    let rack = owned.get_mut("r0").unwrap();
    rack.row.allotments.insert("shop".into(), slots(10));
    let mut limits = fleet.limits.clone();
    limits.get_mut("shop").unwrap().row.held = slots(10);
    actions.clear();
    escrow.handle(Time(1), Event::Read(Some(limits)), &owned, &mut actions);
    for action in actions {
        if let Action::Write(plan) = action {
            let part = plan.racks.get("r0").map(|rack| rack.row.allotments["shop"]);
            assert!(
                part.is_none_or(|part| slots(10).fits(&part)),
                "the plan takes back a part that may be in use: {part:?}"
            );
        }
    }
}

#[test]
fn raise_takes_nothing_back() {
    // A rack that holds 3 demands 5; then an older transaction that grants 10 takes effect late.
    let fleet = Fleet::new(1, 1, 16);
    let mut escrow = Escrow::new(SETUP);
    let mut owned = fleet.owned(0);
    let set_held = |owned: &mut BTreeMap<Name, Stored<Rack>>, count| {
        let rack = owned.get_mut("r0").unwrap();
        rack.row.allotments.insert("shop".into(), slots(count));
    };
    set_held(&mut owned, 3);
    let mut actions = Vec::new();
    let event = Event::Demand(vec![demand("r0", "shop", slots(5))]);
    escrow.handle(Time(0), event, &owned, &mut actions);
    set_held(&mut owned, 10);
    let mut limits = fleet.limits.clone();
    limits.get_mut("shop").unwrap().row.held = slots(10);
    actions.clear();
    escrow.handle(Time(1), Event::Read(Some(limits)), &owned, &mut actions);
    assert_eq!(actions, [], "the rack keeps what it may use by now");
}

#[test]
fn allotment_moves_with_rack() {
    let mut fleet = Fleet::new(2, 1, 5);
    fleet.send_event(0, Event::Demand(vec![demand("r0", "shop", slots(5))]));
    fleet.move_rack(0, 1);
    assert_eq!(fleet.held("r0"), slots(5));
    // A demand of the former owner for a rack that it has lost has no effect.
    fleet.wait(1_000);
    fleet.send_event(0, Event::Demand(vec![demand("r0", "shop", slots(0))]));
    assert_eq!(fleet.held("r0"), slots(5));
    fleet.send_event(1, Event::Demand(vec![demand("r0", "shop", slots(1))]));
    fleet.wait(200);
    assert_eq!(fleet.held("r0"), slots(1));
}

#[test]
fn lowered_limit() {
    let mut fleet = Fleet::new(2, 2, 10);
    fleet.send_event(0, Event::Demand(vec![demand("r0", "shop", slots(6))]));
    fleet.send_event(1, Event::Demand(vec![demand("r1", "shop", slots(4))]));
    fleet.set_limit(5);
    assert!(!fleet.limits["shop"].row.is_respected());
    fleet.wait(6_000);
    assert_eq!(
        fleet.reclaimed,
        [
            demand("r0", "shop", slots(3)),
            demand("r1", "shop", slots(2))
        ]
    );
    fleet.send_event(0, Event::Demand(vec![demand("r0", "shop", slots(9))]));
    assert_eq!(
        fleet.held("r0"),
        slots(6),
        "no grant while more is held than the limit"
    );
    fleet.wait(1_000);
    fleet.send_event(0, Event::Demand(vec![demand("r0", "shop", slots(3))]));
    fleet.send_event(1, Event::Demand(vec![demand("r1", "shop", slots(2))]));
    fleet.wait(1_000);
    assert!(fleet.limits["shop"].row.is_respected());
    assert_eq!(fleet.sum(), slots(5));
}

#[test]
fn table_down() {
    let mut fleet = Fleet::new(1, 1, 5);
    fleet.fault = Fault::Down;
    fleet.send_event(0, Event::Demand(vec![demand("r0", "shop", slots(2))]));
    fleet.wait(60_000);
    assert!(fleet.sum().is_zero());
    fleet.fault = Fault::None;
    fleet.wait(1_000);
    assert_eq!(fleet.sum(), slots(2));
}

#[test]
fn unknown_team() {
    let fleet = Fleet::new(1, 1, 5);
    let demands = [
        demand("r0", "nobody", slots(2)),
        demand("r9", "shop", slots(2)),
    ];
    assert!(plan(&demands, &fleet.limits, &fleet.racks).is_empty());
}

#[derive(Clone, Debug)]
enum Step {
    Demand { rack: usize, slots: u64 },
    Limit { slots: u64 },
    Move { rack: usize, to: usize },
    Fault(Fault),
    CommitLate,
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        Just(Fault::None),
        Just(Fault::Lost),
        Just(Fault::Late),
        Just(Fault::Down)
    ];
    prop_oneof![
        4 => (0..5usize, 0..12u64).prop_map(|(rack, slots)| Step::Demand { rack, slots }),
        1 => (0..20u64).prop_map(|slots| Step::Limit { slots }),
        1 => (0..5usize, 0..3usize).prop_map(|(rack, to)| Step::Move { rack, to }),
        1 => fault.prop_map(Step::Fault),
        1 => Just(Step::CommitLate),
        3 => (50..3_000u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(300)
    })]

    #[test]
    fn sum_within_limit(steps in prop::collection::vec(step(), 1..60)) {
        let mut fleet = Fleet::new(3, 5, 8);
        for step in steps {
            let (before, lowered) = (fleet.sum(), matches!(step, Step::Limit { .. }));
            match step {
                Step::Demand { rack, slots: count } => {
                    let name = format!("r{rack}");
                    let owner = fleet.racks[&*name].row.owner.server.clone();
                    let index = owner[1..].parse().expect("an index");
                    fleet.send_event(index, Event::Demand(vec![demand(&name, "shop", slots(count))]));
                }
                Step::Limit { slots } => fleet.set_limit(slots),
                Step::Move { rack, to } => fleet.move_rack(rack, to),
                Step::Fault(fault) => fleet.fault = fault,
                Step::CommitLate => {
                    for plan in std::mem::take(&mut fleet.late) {
                        fleet.commit(plan);
                    }
                }
                Step::Wait { millis } => fleet.wait(millis),
            }
            fleet.check();
            let limit = fleet.limits["shop"].row.limit;
            prop_assert!(lowered || fleet.sum().fits(&Size::max(&limit, &before)));
        }
    }
}
