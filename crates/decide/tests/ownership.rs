//! Rack ownership: several members that share a simulated table whose calls can fail or be lost.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurepath_decide::fleet::Server;
use azurepath_decide::name::Name;
use azurepath_decide::ownership::{
    Action, Event, Heartbeat, Key, Member, Outcome, Place, Rack, Rows, Setup, Stored, Write,
    preferred_owner,
};
use azurepath_decide::time::Time;

const INTERVAL: Duration = Duration::from_secs(1);
const MAX_MISSED_HEARTBEATS: u32 = 5;
const STEP_MS: u64 = 100;

/// A fault of the table.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Reads and writes fail.
    Down,
    /// Writes take effect, but their answers are lost.
    LostWrites,
    /// Reads succeed and writes fail.
    ReadOnly,
}

struct Process {
    member: Member,
    paused: bool,
    disconnected: bool,
    owned: BTreeMap<Name, u64>,
    stopped: bool,
    superseded: bool,
    confirms_claims: bool,
}

struct Fleet {
    now: u64,
    revision: u64,
    rows: Rows,
    fault: Fault,
    processes: BTreeMap<String, Process>,
    claims: Vec<(Name, u64, Name)>,
    writes: u64,
    reads: u64,
}

fn server(name: &str, incarnation: u64) -> Server {
    let domain = if name.as_bytes()[1].is_multiple_of(2) {
        "zrh-b"
    } else {
        "zrh-a"
    };
    Server {
        name: name.into(),
        incarnation,
        address: "127.0.0.1:1".parse().expect("an address"),
        failure_domain: domain.into(),
        region: "ch-north".into(),
        leaving: false,
    }
}

fn places(count: u32) -> BTreeMap<Name, Place> {
    (0..count)
        .map(|index| {
            let domain = if index % 2 == 0 { "zrh-b" } else { "zrh-a" };
            let place = Place {
                failure_domain: domain.into(),
                region: "ch-north".into(),
            };
            (Name::from(format!("r{index}")), place)
        })
        .collect()
}

impl Fleet {
    fn new(names: &[&str], racks: u32) -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            revision: 0,
            rows: Rows::default(),
            fault: Fault::None,
            processes: BTreeMap::new(),
            claims: Vec::new(),
            writes: 0,
            reads: 0,
        };
        for name in names {
            fleet.start(name, 1, racks);
        }
        fleet
    }

    fn start(&mut self, name: &str, incarnation: u64, racks: u32) {
        let process = Process {
            member: Member::new(Setup {
                server: server(name, incarnation),
                interval: INTERVAL,
                max_missed_heartbeats: MAX_MISSED_HEARTBEATS,
                settle_heartbeats: 2,
                max_handovers: 2,
            }),
            paused: false,
            disconnected: false,
            owned: BTreeMap::new(),
            stopped: false,
            superseded: false,
            confirms_claims: true,
        };
        self.processes.insert(name.to_owned(), process);
        self.send_event(name, Event::Racks(places(racks)));
    }

    fn send_event(&mut self, name: &str, event: Event) {
        let now = Time::from_millis(self.now);
        let mut queue = vec![(name.to_owned(), event)];
        while let Some((name, event)) = queue.pop() {
            let Some(process) = self.processes.get_mut(&name) else {
                continue;
            };
            if process.paused {
                continue;
            }
            let mut actions = Vec::new();
            process.member.handle(now, event, &mut actions);
            for action in actions {
                self.apply(&name, action, &mut queue);
            }
        }
    }

    fn apply(&mut self, name: &str, action: Action, queue: &mut Vec<(String, Event)>) {
        let disconnected = self.processes[name].disconnected;
        match action {
            Action::Read => {
                self.reads += 1;
                let readable = self.fault != Fault::Down && !disconnected;
                let rows = readable.then(|| self.rows.clone());
                queue.push((name.to_owned(), Event::Read(rows)));
            }
            Action::Write(write) => {
                self.writes += 1;
                let key = key(&write);
                let outcome = if disconnected {
                    Outcome::Failed
                } else {
                    self.write(name, write)
                };
                queue.push((name.to_owned(), Event::Wrote { key, outcome }));
            }
            Action::Gain(grant) => {
                let process = self.processes.get_mut(name).expect("the process exists");
                assert!(
                    process
                        .owned
                        .insert(grant.rack.clone(), grant.epoch)
                        .is_none()
                );
                if process.confirms_claims {
                    let event = Event::Claimed {
                        rack: grant.rack,
                        epoch: grant.epoch,
                    };
                    queue.push((name.to_owned(), event));
                }
            }
            Action::Lose { rack } => {
                self.processes
                    .get_mut(name)
                    .expect("the process exists")
                    .owned
                    .remove(&rack)
                    .expect("the rack is owned");
            }
            Action::Notify { server, .. } => queue.push((server.to_string(), Event::Hint)),
            Action::Stopped => self.process(name).stopped = true,
            Action::Superseded => self.process(name).superseded = true,
            Action::View(_) | Action::Allot(_) => {}
        }
    }

    fn write(&mut self, name: &str, write: Write) -> Outcome {
        if matches!(self.fault, Fault::Down | Fault::ReadOnly) {
            return Outcome::Failed;
        }
        let revision = self.revision + 1;
        let is_written = match write {
            Write::Server {
                name,
                revision: expected,
                row,
            } => put(&mut self.rows.servers, name, expected, row, revision),
            Write::Rack {
                name: rack,
                revision: expected,
                row,
            } => {
                let earlier = self
                    .rows
                    .racks
                    .get(&rack)
                    .map_or(0, |row| row.row.owner.epoch);
                let epoch = row.owner.epoch;
                assert!(epoch >= earlier || self.rows.racks[&rack].revision != expected);
                let is_written = put(
                    &mut self.rows.racks,
                    rack.clone(),
                    expected,
                    Some(row),
                    revision,
                );
                if is_written && epoch > earlier {
                    self.claims.push((rack, epoch, name.into()));
                }
                is_written
            }
        };
        if !is_written {
            return Outcome::Conflict;
        }
        self.revision = revision;
        if self.fault == Fault::LostWrites {
            return Outcome::Lost;
        }
        Outcome::Done { revision }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS;
            let names: Vec<String> = self.processes.keys().cloned().collect();
            for name in names {
                self.send_event(&name, Event::Tick);
            }
        }
    }

    fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).expect("the process exists")
    }

    fn owners(&self) -> BTreeMap<String, String> {
        let rows = self.rows.racks.iter();
        rows.map(|(rack, row)| (rack.to_string(), row.row.owner.server.to_string()))
            .collect()
    }

    /// Asserts that each rack is owned by exactly the process that its row names.
    fn assert_consistent(&self, racks: u32) {
        assert_eq!(self.rows.racks.len(), racks as usize);
        for (rack, row) in &self.rows.racks {
            let holders: Vec<&String> = self
                .processes
                .iter()
                .filter(|(_, process)| process.member.owns(rack))
                .map(|(name, _)| name)
                .collect();
            assert_eq!(holders, [&row.row.owner.server.to_string()], "rack {rack}");
        }
    }
}

fn key(write: &Write) -> Key {
    match write {
        Write::Server { name, .. } => Key::Server(name.clone()),
        Write::Rack { name, .. } => Key::Rack(name.clone()),
    }
}

fn put<T>(
    rows: &mut BTreeMap<Name, Stored<T>>,
    name: Name,
    check: u64,
    row: Option<T>,
    revision: u64,
) -> bool {
    if rows.get(&name).map_or(0, |stored| stored.revision) != check {
        return false;
    }
    match row {
        Some(row) => rows.insert(name, Stored { revision, row }),
        None => rows.remove(&name),
    };
    true
}

const SERVERS: [&str; 3] = ["s1", "s2", "s3"];

#[test]
fn claims_every_rack() {
    let mut fleet = Fleet::new(&SERVERS, 7);
    fleet.run(10_000);
    fleet.assert_consistent(7);
    assert_eq!(
        fleet.claims.len(),
        7,
        "each rack is claimed once: {:?}",
        fleet.claims
    );
}

#[test]
fn prefers_own_failure_domain() {
    let mut fleet = Fleet::new(&["s1", "s2", "s3", "s4"], 8);
    fleet.run(10_000);
    for (rack, place) in places(8) {
        let owner = server(&fleet.owners()[&*rack], 1);
        assert_eq!(owner.failure_domain, place.failure_domain);
    }
}

#[test]
fn one_write_per_interval() {
    let mut fleet = Fleet::new(&SERVERS, 70);
    fleet.run(20_000);
    let (writes, reads) = (fleet.writes, fleet.reads);
    fleet.run(100_000);
    assert!(
        fleet.writes - writes <= 300,
        "one write per server and interval"
    );
    assert!(
        fleet.reads - reads <= 300,
        "one read per server and interval"
    );
}

#[test]
fn takes_over_from_dead_server() {
    let mut fleet = Fleet::new(&SERVERS, 7);
    fleet.run(10_000);
    let before = fleet.owners();
    fleet.processes.remove("s1");
    fleet.run(10_000);
    fleet.assert_consistent(7);
    for (rack, owner) in fleet.owners() {
        if before[&rack] != "s1" {
            assert_eq!(owner, before[&rack], "only the dead server's racks move");
        }
    }
}

#[test]
fn outage_moves_nothing() {
    for fault in [Fault::Down, Fault::ReadOnly] {
        let mut fleet = Fleet::new(&SERVERS, 7);
        fleet.run(10_000);
        let (owners, claims) = (fleet.owners(), fleet.claims.len());
        fleet.fault = fault;
        fleet.run(300_000);
        fleet.assert_consistent(7);
        fleet.fault = Fault::None;
        fleet.run(30_000);
        fleet.assert_consistent(7);
        assert_eq!(fleet.owners(), owners);
        assert_eq!(fleet.claims.len(), claims);
    }
}

#[test]
fn server_dies_during_outage() {
    let mut fleet = Fleet::new(&SERVERS, 7);
    fleet.run(10_000);
    fleet.fault = Fault::Down;
    fleet.processes.remove("s2");
    fleet.run(60_000);
    assert!(fleet.owners().values().any(|owner| owner == "s2"));
    fleet.fault = Fault::None;
    fleet.run(10_000);
    fleet.assert_consistent(7);
    assert!(fleet.owners().values().all(|owner| owner != "s2"));
}

#[test]
fn paused_owner() {
    let mut fleet = Fleet::new(&SERVERS, 7);
    fleet.run(10_000);
    let before: BTreeSet<Name> = fleet.process("s1").owned.keys().cloned().collect();
    assert!(!before.is_empty());
    fleet.process("s1").paused = true;
    fleet.run(60_000);
    assert!(fleet.owners().values().all(|owner| owner != "s1"));
    let epochs = fleet.process("s1").owned.clone();
    for (rack, epoch) in &epochs {
        assert!(
            fleet.rows.racks[rack].row.owner.epoch > *epoch,
            "workers refuse the old epoch"
        );
    }
    fleet.process("s1").paused = false;
    fleet.run(STEP_MS);
    assert!(
        fleet.process("s1").owned.is_empty(),
        "the first read after the pause shows the new owners"
    );
    fleet.run(30_000);
    fleet.assert_consistent(7);
}

#[test]
fn disconnected_owner() {
    let mut fleet = Fleet::new(&SERVERS, 7);
    fleet.run(10_000);
    fleet.process("s3").disconnected = true;
    fleet.run(20_000);
    assert!(fleet.owners().values().all(|owner| owner != "s3"));
    fleet.process("s3").disconnected = false;
    fleet.run(2_000);
    fleet.assert_consistent(7);
}

#[test]
fn planned_stop() {
    let mut fleet = Fleet::new(&SERVERS, 7);
    fleet.run(10_000);
    for name in SERVERS {
        fleet.process(name).confirms_claims = false;
    }
    let racks = fleet.process("s1").owned.clone();
    fleet.send_event("s1", Event::Stop);
    fleet.run(10_000);
    assert!(
        !fleet.process("s1").stopped,
        "no worker has been claimed yet"
    );
    assert!(fleet.process("s1").owned.len() < racks.len());
    for _ in 0..10 {
        for name in ["s2", "s3"] {
            for (rack, epoch) in fleet.process(name).owned.clone() {
                fleet.send_event(name, Event::Claimed { rack, epoch });
            }
        }
        fleet.run(1_000);
    }
    assert!(fleet.process("s1").stopped);
    assert!(!fleet.rows.servers.contains_key("s1"));
    fleet.processes.remove("s1");
    fleet.assert_consistent(7);
}

#[test]
fn successor_dies() {
    let mut fleet = Fleet::new(&SERVERS, 7);
    fleet.run(10_000);
    fleet.send_event("s1", Event::Stop);
    fleet.processes.remove("s2");
    fleet.run(20_000);
    assert!(fleet.process("s1").stopped);
    fleet.processes.remove("s1");
    fleet.assert_consistent(7);
}

#[test]
fn new_server_gets_its_racks() {
    let mut fleet = Fleet::new(&["s1", "s2"], 12);
    fleet.run(10_000);
    let before = fleet.owners();
    fleet.start("s3", 1, 12);
    fleet.run(60_000);
    fleet.assert_consistent(12);
    let servers = SERVERS.map(|name| server(name, 1));
    for (rack, place) in places(12) {
        let expected = preferred_owner(&rack, Some(&place), servers.iter()).unwrap();
        let owner = fleet.owners()[&*rack].clone();
        assert_eq!(owner, expected.name.to_string());
        assert!(
            owner == "s3" || owner == before[&*rack],
            "racks move only to the new server"
        );
    }
    assert!(fleet.owners().values().any(|owner| owner == "s3"));
}

/// Returns a member that does not wait before it claims racks, and the row of its first heartbeat.
fn joined(name: &str) -> (Member, Stored<Heartbeat>) {
    let mut member = Member::new(Setup {
        server: server(name, 1),
        interval: INTERVAL,
        max_missed_heartbeats: MAX_MISSED_HEARTBEATS,
        settle_heartbeats: 0,
        max_handovers: 1,
    });
    member.handle(Time(0), Event::Racks(places(1)), &mut Vec::new());
    let row = Heartbeat {
        server: server(name, 1),
        number: 1,
    };
    (member, Stored { revision: 1, row })
}

fn claim_of(actions: &[Action]) -> Option<Rack> {
    actions.iter().find_map(|action| match action {
        Action::Write(Write::Rack { row, .. }) => Some(row.clone()),
        _ => None,
    })
}

#[test]
fn concurrent_claims() {
    // Neither member sees the other, so both claim the rack at the same revision.
    let mut members = Vec::new();
    for name in ["s1", "s2"] {
        let (mut member, heartbeat) = joined(name);
        let mut rows = Rows::default();
        rows.servers.insert(name.into(), heartbeat);
        let mut actions = Vec::new();
        member.handle(Time(1), Event::Read(Some(rows.clone())), &mut actions);
        let claim = claim_of(&actions).expect("a claim");
        members.push((member, rows, claim));
    }
    let won = members[1].2.clone();
    let stored = Stored {
        revision: 2,
        row: won,
    };
    let outcomes = [Outcome::Conflict, Outcome::Done { revision: 2 }];
    for ((member, rows, _), outcome) in members.iter_mut().zip(outcomes) {
        let key = Key::Rack("r0".into());
        member.handle(Time(2), Event::Wrote { key, outcome }, &mut Vec::new());
        rows.racks.insert("r0".into(), stored.clone());
        member.handle(Time(3), Event::Read(Some(rows.clone())), &mut Vec::new());
    }
    assert!(!members[0].0.owns("r0"));
    assert!(members[1].0.owns("r0"));
}

#[test]
fn lost_write_answers() {
    let mut fleet = Fleet::new(&SERVERS, 7);
    fleet.fault = Fault::LostWrites;
    fleet.run(20_000);
    fleet.assert_consistent(7);
    let claims = fleet.claims.len();
    assert_eq!(
        claims, 7,
        "a claim with a lost answer is found by reading it back: {:?}",
        fleet.claims
    );
    fleet.processes.remove("s1");
    fleet.run(20_000);
    fleet.assert_consistent(7);
}

#[test]
fn claim_applied_after_lost_answer() {
    let (mut member, heartbeat) = joined("s1");
    let mut actions = Vec::new();
    let mut rows = Rows::default();
    rows.servers.insert("s1".into(), heartbeat);
    member.handle(Time(0), Event::Read(Some(rows.clone())), &mut actions);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::Write(Write::Rack { .. })))
    );
    let key = Key::Rack("r0".into());
    let outcome = Outcome::Lost;
    member.handle(Time(1), Event::Wrote { key, outcome }, &mut actions);
    // The first read shows no row yet, because the claim has not taken effect.
    member.handle(Time(2), Event::Read(Some(rows.clone())), &mut actions);
    assert!(!member.owns("r0"));
    let claim = Rack::claimed_by(None, &server("s1", 1));
    rows.racks.insert(
        "r0".into(),
        Stored {
            revision: 9,
            row: claim,
        },
    );
    actions.clear();
    member.handle(Time(3), Event::Read(Some(rows)), &mut actions);
    assert!(member.owns("r0"));
    assert!(
        matches!(&actions[0], Action::Gain(grant) if grant.epoch == 1),
        "{actions:?}"
    );
}

#[test]
fn restarted_server() {
    let mut fleet = Fleet::new(&SERVERS, 7);
    fleet.run(10_000);
    fleet.start("s1", 2, 7);
    fleet.run(20_000);
    fleet.assert_consistent(7);
    for row in fleet.rows.racks.values() {
        let owner = &row.row.owner;
        assert_eq!(
            owner.incarnation,
            if &*owner.server == "s1" { 2 } else { 1 }
        );
    }
}

#[test]
fn superseded() {
    let mut fleet = Fleet::new(&SERVERS, 7);
    fleet.run(10_000);
    let old = fleet.processes.remove("s1").unwrap();
    fleet.start("s1", 2, 7);
    fleet.run(10_000);
    fleet.processes.insert("s1-old".to_owned(), old);
    fleet.run(5_000);
    assert!(fleet.process("s1-old").superseded);
    assert!(fleet.process("s1-old").owned.is_empty());
    fleet.processes.remove("s1-old");
    fleet.run(10_000);
    fleet.assert_consistent(7);
}

#[test]
fn rows_of_dead_servers_are_deleted() {
    let mut fleet = Fleet::new(&SERVERS, 7);
    fleet.run(10_000);
    fleet.processes.remove("s1");
    fleet.run(600_000);
    assert!(!fleet.rows.servers.contains_key("s1"));
    fleet.assert_consistent(7);
}
