//! Changes of the configuration, and the evidence that a server needs to act on it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurepath_decide::allotment::Limit;
use azurepath_decide::config::{
    Acceptance, Action, Change, Condition, Edit, Entry, Event, Evidence, Gap, Head, Known,
    Proposal, Refusal, Rows, Snapshot, Standing,
};
use azurepath_decide::name::Name;
use azurepath_decide::ownership::{Outcome, Stored};
use azurepath_decide::resource::{Key, Kind, Resource, Team};
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const WINDOW: Duration = Duration::from_secs(3);
const STEP_MS: u64 = 100;

fn key(withdrawn: bool) -> Resource {
    Resource::Key(Key {
        name: "k".into(),
        team: Some("shop".into()),
        hash: "00".into(),
        withdrawn,
    })
}

fn change(revision: u64, resource: Option<Resource>) -> Change {
    Change {
        revision,
        write: format!("w{revision}").into(),
        kind: Kind::Key,
        name: "k".into(),
        resource,
    }
}

#[test]
fn snapshot_never_goes_back() {
    let mut snapshot = Snapshot::default();
    assert_eq!(snapshot.apply(&change(1, Some(key(false)))), Ok(true));
    assert_eq!(snapshot.apply(&change(2, Some(key(true)))), Ok(true));
    assert_eq!(snapshot.apply(&change(1, Some(key(false)))), Ok(false));
    assert!(snapshot.key("k").unwrap().withdrawn);
    assert_eq!(snapshot.apply(&change(4, None)), Err(Gap { have: 2 }));
    assert_eq!(snapshot.revision, 2);
    assert_eq!(snapshot.apply(&change(3, None)), Ok(true));
    assert!(snapshot.key("k").is_none());
}

#[test]
fn row_newer_than_log() {
    // The row was read after change 3, but the log is applied from change 1 on.
    let mut snapshot = Snapshot::default();
    snapshot.insert(Entry {
        revision: 3,
        resource: key(true),
    });
    snapshot.apply(&change(1, Some(key(false)))).unwrap();
    assert!(snapshot.key("k").unwrap().withdrawn);
}

/// The rows of the configuration, with faults injected into writes.
#[derive(Default)]
struct Table {
    revision: u64,
    head: Option<Stored<Head>>,
    changes: BTreeMap<u64, Change>,
    resources: BTreeMap<Name, Stored<Entry>>,
    limits: BTreeMap<Name, Stored<Limit>>,
    late: Vec<Rows>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Lost,
    Late,
    Down,
}

impl Table {
    fn read(&self, name: &Name, tried: Option<u64>) -> Known {
        Known {
            head: self.head.clone(),
            resource: self.resources.get(name).cloned(),
            limit: self.limits.get(name).cloned(),
            tried: tried.and_then(|revision| self.changes.get(&revision).cloned()),
        }
    }

    fn write(&mut self, rows: Rows, fault: Fault) -> Outcome {
        match fault {
            Fault::Down => Outcome::Failed,
            Fault::Late => {
                self.late.push(rows);
                Outcome::Lost
            }
            Fault::Lost => {
                self.commit(rows);
                Outcome::Lost
            }
            Fault::None => {
                if !self.commit(rows) {
                    return Outcome::Conflict;
                }
                let revision = self.revision;
                Outcome::Done { revision }
            }
        }
    }

    fn commit(&mut self, rows: Rows) -> bool {
        let name = rows.change.name.clone();
        let at = |row: Option<u64>| row.unwrap_or(0);
        let fits = at(self.head.as_ref().map(|row| row.revision)) == rows.head.revision
            && at(self.resources.get(&name).map(|row| row.revision)) == rows.resource.revision
            && !self.changes.contains_key(&rows.change.revision);
        if !fits {
            return false;
        }
        self.revision += 1;
        let revision = self.revision;
        self.head = Some(Stored {
            revision,
            row: rows.head.row,
        });
        self.changes.insert(rows.change.revision, rows.change);
        match rows.resource.row {
            Some(row) => self
                .resources
                .insert(name.clone(), Stored { revision, row }),
            None => self.resources.remove(&name),
        };
        match rows.limit.and_then(|limit| limit.row) {
            Some(row) => self.limits.insert(name, Stored { revision, row }),
            None => self.limits.remove(&name),
        };
        true
    }

    /// Runs an edit to its end without other edits in between.
    fn edit(&mut self, proposal: Proposal, faults: &[Fault]) -> Result<Change, Refusal> {
        let mut faults = faults.iter().copied();
        let name = proposal.name.clone();
        let (mut edit, mut action) = Edit::begin(proposal);
        loop {
            action = match action {
                Action::Read { tried } => {
                    let known = self.read(&name, tried);
                    edit.handle(Event::Read(Some(Box::new(known))))
                }
                Action::Write(rows) => {
                    let fault = faults.next().unwrap_or(Fault::None);
                    let outcome = self.write(*rows, fault);
                    edit.handle(Event::Wrote(outcome))
                }
                Action::Done(result) => return result,
            };
        }
    }

    fn check(&self) {
        let head = self.head.as_ref().map_or(0, |head| head.row.revision);
        let revisions: Vec<u64> = self.changes.keys().copied().collect();
        assert_eq!(
            revisions,
            (1..=head).collect::<Vec<u64>>(),
            "one order without gaps"
        );
        let writes: BTreeSet<&Name> = self.changes.values().map(|change| &change.write).collect();
        assert_eq!(
            writes.len(),
            self.changes.len(),
            "each write takes effect once"
        );
    }
}

fn proposal(write: &str, resource: Option<Resource>, condition: Condition) -> Proposal {
    Proposal {
        write: write.into(),
        kind: Kind::Key,
        name: "k".into(),
        resource,
        condition,
    }
}

#[test]
fn stale_edit() {
    let mut table = Table::default();
    let create = proposal("a", Some(key(false)), Condition::Absent);
    assert_eq!(table.edit(create.clone(), &[]).unwrap().revision, 1);
    let again = Proposal {
        write: "b".into(),
        ..create
    };
    assert_eq!(table.edit(again, &[]), Err(Refusal::Stale { current: 1 }));
    let replace = proposal("c", Some(key(true)), Condition::Revision(1));
    assert_eq!(table.edit(replace, &[]).unwrap().revision, 2);
    let stale = proposal("d", Some(key(false)), Condition::Revision(1));
    assert_eq!(table.edit(stale, &[]), Err(Refusal::Stale { current: 2 }));
    let delete = proposal("e", None, Condition::Any);
    assert_eq!(table.edit(delete, &[]).unwrap().revision, 3);
    let missing = proposal("f", None, Condition::Any);
    assert_eq!(table.edit(missing, &[]), Err(Refusal::Missing));
    table.check();
}

#[test]
fn lost_answer() {
    for fault in [Fault::Lost, Fault::Late] {
        let mut table = Table::default();
        let create = proposal("a", Some(key(false)), Condition::Absent);
        assert_eq!(table.edit(create, &[fault]).unwrap().revision, 1);
        for rows in std::mem::take(&mut table.late) {
            table.commit(rows);
        }
        table.check();
        assert_eq!(table.changes.len(), 1);
    }
}

#[test]
fn table_down() {
    let mut table = Table::default();
    let create = proposal("a", Some(key(false)), Condition::Any);
    let down = [Fault::Down; 20];
    assert_eq!(table.edit(create.clone(), &down), Err(Refusal::Unavailable));
    let mut lost = [Fault::Down; 20];
    lost[0] = Fault::Late;
    assert_eq!(table.edit(create, &lost), Err(Refusal::Unknown));
}

#[test]
fn two_operators() {
    // Both operators have read revision 1. The answer to the first write is lost, then the second
    // operator writes.
    let mut table = Table::default();
    let create = proposal("a", Some(key(false)), Condition::Absent);
    table.edit(create, &[]).unwrap();
    let first = proposal("b", Some(key(true)), Condition::Revision(1));
    let second = proposal("c", None, Condition::Revision(1));
    let (mut one, _) = Edit::begin(first);
    let known = table.read(&"k".into(), None);
    let Action::Write(rows) = one.handle(Event::Read(Some(Box::new(known)))) else {
        panic!("a write");
    };
    let outcome = table.write(*rows, Fault::Lost);
    assert_eq!(table.edit(second, &[]), Err(Refusal::Stale { current: 2 }));
    let Action::Read { tried } = one.handle(Event::Wrote(outcome)) else {
        panic!("a read");
    };
    let known = table.read(&"k".into(), tried);
    let Action::Done(Ok(written)) = one.handle(Event::Read(Some(Box::new(known)))) else {
        panic!("the first one won");
    };
    assert_eq!((written.revision, &*written.write), (2, "b"));
    table.check();
}

#[test]
fn team_limit() {
    let team = |cores: u64| {
        Resource::Team(Team {
            name: "shop".into(),
            account: "lumenbruecke".into(),
            share: 1,
            limit: Size {
                millicores: cores,
                ..Size::ZERO
            },
        })
    };
    let propose = |write: &str, resource| Proposal {
        write: write.into(),
        kind: Kind::Team,
        name: "shop".into(),
        resource,
        condition: Condition::Any,
    };
    let mut table = Table::default();
    table.edit(propose("a", Some(team(8))), &[]).unwrap();
    assert_eq!(table.limits["shop"].row.limit.millicores, 8);
    table.limits.get_mut("shop").unwrap().row.held.millicores = 5;
    table.edit(propose("b", Some(team(4))), &[]).unwrap();
    let limit = table.limits["shop"].row;
    assert_eq!((limit.limit.millicores, limit.held.millicores), (4, 5));
    table.edit(propose("c", None), &[]).unwrap();
    assert!(
        table.limits["shop"].row.limit.is_zero(),
        "kept until racks hold nothing"
    );
    table.limits.get_mut("shop").unwrap().row.held = Size::ZERO;
    table.edit(propose("d", Some(team(1))), &[]).unwrap();
    table.edit(propose("e", None), &[]).unwrap();
    assert!(!table.limits.contains_key("shop"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(2),
        ..ProptestConfig::with_cases(300)
    })]

    /// Several operators whose steps interleave, with lost answers and writes that take effect
    /// late.
    #[test]
    fn racing_edits(
        choices in prop::collection::vec((0..3usize, 0..4u8, any::<bool>()), 1..80)
    ) {
        let mut table = Table::default();
        let mut edits: Vec<(Edit, Action)> = (0..3)
            .map(|index| {
                let write = format!("w{index}");
                Edit::begin(proposal(&write, Some(key(index == 1)), Condition::Any))
            })
            .collect();
        let mut done: BTreeMap<usize, Result<Change, Refusal>> = BTreeMap::new();
        for (index, fault, commit_late) in choices {
            if commit_late {
                for rows in std::mem::take(&mut table.late) {
                    table.commit(rows);
                }
            }
            let fault = [Fault::None, Fault::Lost, Fault::Late, Fault::Down][usize::from(fault)];
            let (edit, action) = &mut edits[index];
            let next = match action.clone() {
                Action::Read { tried } => {
                    let known = table.read(&"k".into(), tried);
                    edit.handle(Event::Read(Some(Box::new(known))))
                }
                Action::Write(rows) => edit.handle(Event::Wrote(table.write(*rows, fault))),
                Action::Done(result) => {
                    done.insert(index, result.clone());
                    continue;
                }
            };
            *action = next;
            table.check();
        }
        for rows in std::mem::take(&mut table.late) {
            table.commit(rows);
        }
        table.check();
        for (index, result) in done {
            let write = format!("w{index}");
            let written = table.changes.values().find(|change| *change.write == *write);
            match result {
                Ok(change) => prop_assert_eq!(written, Some(&change)),
                Err(Refusal::Unavailable) => prop_assert_eq!(written, None),
                Err(_) => {}
            }
        }
    }
}

/// Servers that get evidence from a table and over links between them, all of which can be cut.
struct Fleet {
    now: u64,
    head: u64,
    table_down: bool,
    servers: Vec<Server>,
}

struct Server {
    evidence: Evidence,
    applied: u64,
    from_table: bool,
    from_peers: bool,
    paused: bool,
    dead: bool,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let names: BTreeSet<Name> = (0..count).map(name).collect();
        let servers = (0..count).map(|index| {
            let mut evidence = Evidence::new(WINDOW);
            let mut others = names.clone();
            others.remove(&name(index));
            evidence.set_peers(others);
            evidence.set_applied(1);
            Server {
                evidence,
                applied: 1,
                from_table: true,
                from_peers: true,
                paused: false,
                dead: false,
            }
        });
        Fleet {
            now: 0,
            head: 1,
            table_down: false,
            servers: servers.collect(),
        }
    }

    fn reaches_table(&self, index: usize) -> bool {
        let server = &self.servers[index];
        !self.table_down && server.from_table && !server.dead && !server.paused
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        let open = |server: &Server| server.from_peers && !server.dead && !server.paused;
        one != other && open(&self.servers[one]) && open(&self.servers[other])
    }

    /// Advances time; each server queries the table and its peers once a second.
    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS;
            for index in 0..self.servers.len() {
                if (self.now / STEP_MS + index as u64).is_multiple_of(10) {
                    self.query(index);
                }
            }
        }
    }

    fn query(&mut self, index: usize) {
        let asked_at = Time::from_millis(self.now);
        if self.reaches_table(index) {
            let head = self.head;
            self.servers[index].evidence.record_head(asked_at, head);
            self.apply(index, head);
        }
        for other in 0..self.servers.len() {
            if self.reaches(index, other) {
                let newest = self.servers[other].evidence.newest();
                let applied = self.servers[other].applied;
                self.servers[index]
                    .evidence
                    .record_peer(&name(other), asked_at, newest);
                self.apply(index, applied);
            }
        }
    }

    fn apply(&mut self, index: usize, revision: u64) {
        let server = &mut self.servers[index];
        server.applied = server.applied.max(revision);
        server.evidence.set_applied(server.applied);
    }

    /// Writes a change through server 0 and pushes it to all servers that it reaches.
    fn withdraw(&mut self) -> Acceptance {
        self.head += 1;
        let head = self.head;
        let others = (1..self.servers.len()).map(name).collect();
        let now = Time::from_millis(self.now);
        let mut acceptance = Acceptance::new(now, WINDOW, others);
        self.apply(0, head);
        for index in 1..self.servers.len() {
            if self.reaches(0, index) {
                self.apply(index, head);
                acceptance.acknowledge(now, &name(index));
            }
        }
        acceptance
    }

    fn acted_on(&self, index: usize) -> Option<u64> {
        let server = &self.servers[index];
        let standing = server.evidence.standing(Time::from_millis(self.now));
        let current = matches!(standing, Standing::Current { .. });
        (current && !server.dead && !server.paused).then_some(server.applied)
    }

    /// Checks that no server acts on a revision older than that of an accepted change.
    fn check(&self, acceptance: &Acceptance) {
        if !acceptance.is_accepted(Time::from_millis(self.now)) {
            return;
        }
        for index in 0..self.servers.len() {
            let acted_on = self.acted_on(index);
            assert!(
                acted_on.is_none_or(|revision| revision >= self.head),
                "server {index}"
            );
        }
    }

    fn all_act(&self) -> bool {
        (0..self.servers.len())
            .all(|index| self.servers[index].dead || self.acted_on(index).is_some())
    }
}

fn name(index: usize) -> Name {
    format!("s{index}").into()
}

/// Withdraws a key after a fault and returns how long any server acts on the old revision, in
/// milliseconds.
fn old_revision_used_for(fault: impl Fn(&mut Fleet)) -> u64 {
    let mut fleet = Fleet::new(9);
    fleet.run(10_000);
    assert!(fleet.all_act());
    fault(&mut fleet);
    let mut acceptance = fleet.withdraw();
    let start = fleet.now;
    let mut last = start;
    while fleet.now < start + 30_000 {
        fleet.run(STEP_MS);
        for index in 1..9 {
            if fleet.servers[index].applied == fleet.head && fleet.reaches(0, index) {
                acceptance.acknowledge(Time::from_millis(fleet.now), &name(index));
            }
            if fleet
                .acted_on(index)
                .is_some_and(|revision| revision < fleet.head)
            {
                last = fleet.now;
            }
        }
        fleet.check(&acceptance);
    }
    assert!(acceptance.is_accepted(Time::from_millis(fleet.now)));
    last - start
}

const STOPS_WITHIN_MS: u64 = 5_000;

#[test]
fn cut_from_table() {
    let elapsed_ms = old_revision_used_for(|fleet| fleet.servers[3].from_table = false);
    assert!(elapsed_ms < STOPS_WITHIN_MS, "{elapsed_ms} ms");
}

#[test]
fn cut_from_peers() {
    let elapsed_ms = old_revision_used_for(|fleet| fleet.servers[3].from_peers = false);
    assert!(elapsed_ms < STOPS_WITHIN_MS, "{elapsed_ms} ms");
}

#[test]
fn cut_from_both() {
    let elapsed_ms = old_revision_used_for(|fleet| {
        for index in 3..6 {
            fleet.servers[index].from_table = false;
            fleet.servers[index].from_peers = false;
        }
    });
    assert!(elapsed_ms < STOPS_WITHIN_MS, "{elapsed_ms} ms");
}

#[test]
fn region_cut() {
    // Three of nine servers reach each other, but neither the table nor the other servers.
    let asked_at = Time::from_millis(1_000);
    for index in 6..9 {
        let mut evidence = Evidence::new(WINDOW);
        evidence.set_peers((0..9).filter(|other| *other != index).map(name).collect());
        evidence.set_applied(1);
        for other in (6..9).filter(|other| *other != index) {
            evidence.record_peer(&name(other), asked_at, Some(1));
        }
        assert_eq!(evidence.standing(asked_at), Standing::Isolated);
    }
}

#[test]
fn paused_for_a_minute() {
    let mut fleet = Fleet::new(9);
    fleet.run(10_000);
    fleet.servers[4].paused = true;
    let acceptance = fleet.withdraw();
    fleet.run(60_000);
    assert!(acceptance.is_accepted(Time::from_millis(fleet.now)));
    fleet.servers[4].paused = false;
    assert_eq!(
        fleet.acted_on(4),
        None,
        "its evidence expired while it was paused"
    );
    fleet.check(&acceptance);
    fleet.run(2_000);
    assert_eq!(fleet.acted_on(4), Some(2));
}

#[test]
fn table_outage_tolerated() {
    let mut fleet = Fleet::new(9);
    fleet.run(10_000);
    fleet.table_down = true;
    for _ in 0..600 {
        fleet.run(STEP_MS);
        assert!(fleet.all_act());
    }
    // One server dies during the outage.
    fleet.servers[2].dead = true;
    for _ in 0..600 {
        fleet.run(STEP_MS);
        assert!(fleet.all_act());
    }
}

#[test]
fn delayed_answer() {
    let mut evidence = Evidence::new(WINDOW);
    evidence.set_peers(BTreeSet::from([name(1), name(2)]));
    evidence.set_applied(1);
    evidence.record_peer(&name(1), Time::from_millis(1_000), Some(1));
    let until = Time::from_millis(4_000);
    assert_eq!(
        evidence.standing(Time::from_millis(1_000)),
        Standing::Current { until }
    );
    assert_eq!(evidence.standing(until), Standing::Isolated);
    // A delayed answer counts from the time of its question.
    evidence.record_peer(&name(2), Time::from_millis(500), Some(1));
    assert_eq!(evidence.standing(until), Standing::Isolated);
}

#[test]
fn answer_with_newer_revision() {
    let mut evidence = Evidence::new(WINDOW);
    evidence.set_peers(BTreeSet::from([name(1), name(2)]));
    evidence.set_applied(1);
    let until = Time::from_millis(4_000);
    evidence.record_head(Time::from_millis(1_000), 1);
    evidence.record_head(Time::from_millis(2_000), 2);
    evidence.record_peer(&name(1), Time::from_millis(2_000), Some(2));
    evidence.record_peer(&name(2), Time::from_millis(2_000), Some(2));
    // Answers that name a newer revision don't extend the window; the earlier evidence expires.
    assert_eq!(
        evidence.standing(Time::from_millis(2_000)),
        Standing::Current { until }
    );
    assert_eq!(evidence.standing(until), Standing::Behind { newest: 2 });
    evidence.set_applied(2);
    assert_eq!(
        evidence.standing(until),
        Standing::Current {
            until: Time::from_millis(5_000)
        }
    );
}

#[test]
fn new_server_isolated() {
    let mut evidence = Evidence::new(WINDOW);
    let now = Time::from_millis(1_000);
    assert_eq!(
        evidence.standing(now),
        Standing::Isolated,
        "it has read nothing"
    );
    evidence.set_applied(4);
    assert_eq!(
        evidence.standing(now),
        Standing::Isolated,
        "no other server known yet"
    );
    evidence.set_peers(BTreeSet::from([name(1), name(2)]));
    evidence.record_peer(&name(1), now, None);
    assert_eq!(
        evidence.standing(now),
        Standing::Isolated,
        "an answer of a server that has read nothing"
    );
}

#[test]
fn majority_not_reached() {
    // The writer reaches two of nine servers; the other six are each other's evidence.
    let others: BTreeSet<Name> = (1..9).map(name).collect();
    let mut acceptance = Acceptance::new(Time(0), WINDOW, others);
    acceptance.acknowledge(Time(0), "s1");
    acceptance.acknowledge(Time(0), "s2");
    assert!(!acceptance.is_accepted(Time::from_millis(3_600_000)));
    acceptance.acknowledge(Time::from_millis(10), "s3");
    acceptance.acknowledge(Time::from_millis(10), "s4");
    assert!(!acceptance.is_accepted(Time::from_millis(3_009)));
    assert!(acceptance.is_accepted(Time::from_millis(3_010)));
    assert_eq!(acceptance.waiting().len(), 4);
}
