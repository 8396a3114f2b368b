//! The entry's machine under refusals, losses and full teams.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurepath_decide::attempt::{Attempt, Outcome};
use azurepath_decide::candidate::Site;
use azurepath_decide::class::Class;
use azurepath_decide::fleet::{Owner, Server, View};
use azurepath_decide::name::Name;
use azurepath_decide::request::{Id, Request};
use azurepath_decide::resource::Team;
use azurepath_decide::route::{Action, Call, Event, Router, Setup};
use azurepath_decide::share::{Summary, Tally};
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use azurepath_decide::verdict::{Reason, Verdict};

const TASK: Size = Size {
    millicores: 1_000,
    memory_mib: 1_024,
    accelerators: 0,
    slots: 1,
};

/// An entry in the failure domain `zrh-a` of `ch-north`, with racks `r0` to `r6` of servers `s0` to
/// `s6`: three in the own failure domain, two in the own region, two in `ch-west`.
struct TestEntry {
    router: Router,
    now: Time,
    view: View,
    answers: BTreeMap<Id, Verdict>,
    sends: Vec<Sent>,
    cancels: Vec<Call>,
}

#[derive(Clone, Debug)]
struct Sent {
    call: Call,
    rack: Name,
    epoch: u64,
    server: Name,
    resume: bool,
}

fn name(text: &str) -> Name {
    Name::from(text)
}

fn domain(index: usize) -> (&'static str, &'static str) {
    match index {
        0..=2 => ("zrh-a", "ch-north"),
        3..=4 => ("zrh-b", "ch-north"),
        _ => ("gva-a", "ch-west"),
    }
}

fn server(index: usize, incarnation: u64) -> Server {
    let (failure_domain, region) = domain(index);
    Server {
        name: name(&format!("s{index}")),
        incarnation,
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: name(failure_domain),
        region: name(region),
        leaving: false,
    }
}

fn owner(index: usize, epoch: u64) -> Owner {
    Owner {
        server: name(&format!("s{index}")),
        incarnation: 1,
        epoch,
    }
}

fn fleet() -> View {
    let mut view = View::default();
    for index in 0..7 {
        let rack = name(&format!("r{index}"));
        let server = server(index, 1);
        view.servers.insert(server.name.clone(), server);
        view.racks.insert(rack, owner(index, 1));
    }
    view
}

fn request(id: u128, patience: Duration) -> Request {
    Request {
        id: Id(id),
        team: name("lamps"),
        kind: name("pairing"),
        class: Class::Urgent,
        size: TASK,
        estimate: Duration::from_millis(100),
        deadline: Time(0).after(patience),
        idempotent: true,
        gang: None,
        target: None,
    }
}

fn summary(index: usize, sequence: u64, allotted: u64) -> Summary {
    let mut teams = BTreeMap::new();
    if allotted > 0 {
        let tally = Tally {
            allotted: TASK.times(allotted),
            ..Tally::default()
        };
        teams.insert(name("lamps"), tally);
    }
    Summary {
        server: name(&format!("s{index}")),
        sequence,
        racks: vec![name(&format!("r{index}"))],
        capacity: TASK.times(64),
        free: TASK.times(32),
        largest: TASK.times(8),
        ceiling: TASK.times(8),
        wait: Duration::ZERO,
        teams,
    }
}

fn refuse(reason: Reason) -> Verdict {
    Verdict::NotRun {
        reason,
        retry_after: None,
    }
}

fn ran(id: u128) -> Verdict {
    Verdict::Ran {
        attempt: Attempt {
            request: Id(id),
            number: 1,
        },
        worker: name("w0"),
        outcome: Outcome::Done,
    }
}

impl TestEntry {
    fn new(seed: u64) -> TestEntry {
        let site = Site {
            failure_domain: name("zrh-a"),
            region: name("ch-north"),
        };
        let setup = Setup {
            server: name("s0"),
            site,
            seed,
        };
        let mut entry = TestEntry {
            router: Router::new(setup),
            now: Time(0),
            view: fleet(),
            answers: BTreeMap::new(),
            sends: Vec::new(),
            cancels: Vec::new(),
        };
        entry.show();
        entry
    }

    fn show(&mut self) {
        self.tell(Event::View(self.view.clone()));
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in actions {
            self.take(action);
        }
    }

    fn take(&mut self, action: Action) {
        match action {
            Action::Send {
                call,
                request,
                server,
                resume,
            } => {
                let target = request.target.expect("a sent request has a target");
                self.sends.push(Sent {
                    call,
                    rack: target.rack,
                    epoch: target.epoch,
                    server,
                    resume,
                });
            }
            Action::Cancel { call, .. } => self.cancels.push(call),
            Action::Answer { request, verdict } => {
                let earlier = self.answers.insert(request, verdict);
                assert_eq!(earlier, None, "{request} was answered twice");
            }
        }
    }

    fn submit(&mut self, request: Request) -> Sent {
        self.hand_in(request, 1_000);
        self.last()
    }

    fn hand_in(&mut self, request: Request, payload_bytes: u64) {
        self.tell(Event::Submit {
            request,
            payload_bytes,
        });
    }

    fn last(&self) -> Sent {
        self.sends.last().expect("something was sent").clone()
    }

    fn answer(&mut self, call: Call, verdict: Verdict) {
        self.tell(Event::Answered { call, verdict });
    }

    fn pass(&mut self, span: Duration) {
        self.now = self.now.after(span);
        self.tell(Event::Tick);
    }

    /// Goes to the next deadline.
    fn step(&mut self) {
        let due = self.router.next_deadline().expect("something waits");
        self.now = self.now.max(due);
        self.tell(Event::Tick);
    }
}

#[test]
fn own_domain_first() {
    let mut entry = TestEntry::new(1);
    let sent = (0..100).map(|id| entry.submit(request(id, Duration::from_secs(10))).rack);
    let racks: BTreeSet<Name> = sent.collect();
    assert_eq!(racks, ["r0", "r1", "r2"].map(name).into());
    assert!(entry.router.counters().regional_bytes.is_empty());
}

#[test]
fn shorter_wait_wins() {
    let mut entry = TestEntry::new(2);
    for index in 0..2 {
        let mut slow = summary(index, 1, 500);
        slow.wait = Duration::from_millis(40);
        entry.tell(Event::Summary(slow));
    }
    entry.tell(Event::Summary(summary(2, 1, 500)));
    let mut counts: BTreeMap<Name, u32> = BTreeMap::new();
    for id in 0..16 {
        let sent = entry.submit(request(id, Duration::from_secs(10)));
        *counts.entry(sent.rack).or_default() += 1;
    }
    assert!(counts[&name("r2")] >= 8, "{counts:?}");
}

#[test]
fn small_limit() {
    let mut entry = TestEntry::new(3);
    for index in 0..7 {
        let allotted = u64::from(matches!(index, 1 | 4 | 6));
        entry.tell(Event::Summary(summary(index, 1, allotted)));
    }
    let sent = (0..3).map(|id| entry.submit(request(id, Duration::from_secs(10))).rack);
    let racks: BTreeSet<Name> = sent.collect();
    assert_eq!(racks, ["r1", "r4", "r6"].map(name).into());
}

#[test]
fn refusal_goes_elsewhere() {
    let mut entry = TestEntry::new(4);
    let mut sent = entry.submit(request(1, Duration::from_secs(10)));
    let mut racks = BTreeSet::from([sent.rack.clone()]);
    for _ in 0..4 {
        entry.answer(sent.call, refuse(Reason::Limit));
        entry.step();
        sent = entry.last();
        assert!(racks.insert(sent.rack.clone()), "{sent:?} was tried before");
    }
    entry.answer(sent.call, refuse(Reason::Limit));
    assert_eq!(entry.answers[&Id(1)], refuse(Reason::Limit));
    assert_eq!(entry.sends.len(), 5);
}

#[test]
fn final_refusal() {
    let mut entry = TestEntry::new(5);
    for (id, reason) in [
        (1, Reason::Duplicate),
        (2, Reason::Expired),
        (3, Reason::Unauthorized),
    ] {
        let sent = entry.submit(request(id, Duration::from_secs(10)));
        entry.answer(sent.call, refuse(reason));
        assert_eq!(entry.answers[&Id(id)], refuse(reason));
    }
    assert_eq!(entry.sends.len(), 3);
}

#[test]
fn retry_budget() {
    let mut entry = TestEntry::new(6);
    for id in 0..200 {
        entry.submit(request(id, Duration::from_secs(60)));
    }
    for sent in entry.sends.clone() {
        entry.answer(sent.call, refuse(Reason::Overload));
    }
    entry.pass(Duration::from_millis(10));
    let retries = entry.sends.len() - 200;
    assert!((1..=40).contains(&retries), "{retries} retries of 200");
    assert_eq!(entry.answers.len(), 200 - retries);
}

#[test]
fn budget_per_team() {
    let mut entry = TestEntry::new(7);
    for id in 0..100 {
        let sent = entry.submit(request(id, Duration::from_secs(60)));
        entry.answer(sent.call, refuse(Reason::Overload));
    }
    let mut other = request(1_000, Duration::from_secs(60));
    other.team = name("ice");
    let sent = entry.submit(other);
    entry.answer(sent.call, refuse(Reason::Overload));
    assert!(!entry.answers.contains_key(&Id(1_000)));
}

#[test]
fn lost_is_resumed() {
    let mut entry = TestEntry::new(8);
    let sent = entry.submit(request(1, Duration::from_secs(10)));
    entry.tell(Event::Broken { call: sent.call });
    entry.step();
    let again = entry.last();
    assert!(again.resume);
    assert_eq!(again.rack, sent.rack);
    entry.answer(again.call, ran(1));
    assert_eq!(entry.answers[&Id(1)], ran(1));
}

#[test]
fn resumed_at_successor() {
    let mut entry = TestEntry::new(9);
    let sent = entry.submit(request(1, Duration::from_secs(10)));
    entry.view.servers.remove(&sent.server);
    entry.show();
    entry.tell(Event::Broken { call: sent.call });
    entry.pass(Duration::from_secs(1));
    assert_eq!(entry.sends.len(), 1, "sent while the rack has no owner");
    entry.view.racks.insert(sent.rack.clone(), owner(6, 2));
    entry.show();
    let again = entry.last();
    assert!(again.resume);
    assert_eq!((again.rack, again.epoch), (sent.rack.clone(), 2));
    assert_eq!(&*again.server, "s6");
    entry.answer(again.call, refuse(Reason::Refused));
    entry.step();
    let anew = entry.last();
    assert!(!anew.resume);
    assert_ne!(anew.rack, sent.rack);
    entry.answer(anew.call, ran(1));
    assert_eq!(entry.answers[&Id(1)], ran(1));
}

/// A request that was lost with its owner, resumed at the successor, which does not know it.
fn unknown_to_successor(idempotent: bool) -> TestEntry {
    let mut entry = TestEntry::new(24);
    let mut lost = request(1, Duration::from_secs(10));
    lost.idempotent = idempotent;
    let sent = entry.submit(lost);
    entry.view.servers.remove(&sent.server);
    entry.view.racks.insert(sent.rack, owner(6, 2));
    entry.show();
    entry.tell(Event::Broken { call: sent.call });
    entry.pass(Duration::from_secs(1));
    let again = entry.last();
    assert!(again.resume);
    entry.answer(again.call, refuse(Reason::Refused));
    entry
}

#[test]
fn successor_is_unsure() {
    let entry = unknown_to_successor(false);
    assert!(matches!(entry.answers[&Id(1)], Verdict::Unknown { .. }));
    assert_eq!(entry.sends.len(), 2);
}

#[test]
fn unknown_at_handover() {
    let mut entry = TestEntry::new(26);
    let sent = entry.submit(request(1, Duration::from_secs(10)));
    let attempt = Attempt {
        request: Id(1),
        number: 2,
    };
    entry.answer(sent.call, Verdict::Unknown { attempt });
    entry.view.racks.insert(sent.rack.clone(), owner(6, 2));
    entry.show();
    entry.step();
    let again = entry.last();
    assert!(again.resume);
    assert_eq!(&*again.server, "s6");
    entry.answer(again.call, refuse(Reason::Refused));
    entry.step();
    entry.answer(entry.last().call, ran(1));
    assert_eq!(entry.answers[&Id(1)], ran(1));
}

#[test]
fn unknown_for_good() {
    for idempotent in [true, false] {
        let mut entry = TestEntry::new(27);
        let mut lost = request(1, Duration::from_secs(60));
        lost.idempotent = idempotent;
        entry.submit(lost);
        let attempt = Attempt {
            request: Id(1),
            number: 1,
        };
        let mut calls = 0;
        while entry.answers.is_empty() {
            calls += 1;
            assert!(calls < 20, "no end");
            entry.answer(entry.last().call, Verdict::Unknown { attempt });
            if entry.answers.is_empty() {
                entry.step();
            }
        }
        assert!(matches!(entry.answers[&Id(1)], Verdict::Unknown { .. }));
        assert_eq!(calls > 1, idempotent);
    }
}

#[test]
fn refused_after_loss() {
    let mut entry = unknown_to_successor(true);
    entry.step();
    let anew = entry.last();
    assert!(!anew.resume);
    entry.answer(anew.call, refuse(Reason::Expired));
    assert!(matches!(entry.answers[&Id(1)], Verdict::Unknown { .. }));
}

#[test]
fn wrong_owner_is_unsure() {
    let mut entry = TestEntry::new(10);
    let sent = entry.submit(request(1, Duration::from_secs(5)));
    entry.tell(Event::Broken { call: sent.call });
    for reason in [Reason::NoOwner, Reason::Leaving, Reason::NoOwner] {
        entry.step();
        let again = entry.last();
        assert!(again.resume);
        entry.answer(again.call, refuse(reason));
    }
    entry.view.servers.remove(&sent.server);
    entry.show();
    entry.pass(Duration::from_secs(6));
    assert!(matches!(entry.answers[&Id(1)], Verdict::Unknown { .. }));
    assert!(entry.sends.iter().skip(1).all(|sent| sent.resume));
}

#[test]
fn silent_owner() {
    let mut entry = TestEntry::new(11);
    entry.submit(request(1, Duration::from_secs(5)));
    entry.pass(Duration::from_secs(6));
    assert!(matches!(entry.answers[&Id(1)], Verdict::Unknown { .. }));
}

#[test]
fn unsent_goes_elsewhere() {
    let mut entry = TestEntry::new(12);
    let sent = entry.submit(request(1, Duration::from_secs(5)));
    entry.tell(Event::Unsent { call: sent.call });
    let again = entry.last();
    assert!(!again.resume);
    assert_ne!(again.rack, sent.rack);
    let next = entry.submit(request(2, Duration::from_secs(5)));
    assert_ne!(next.server, sent.server, "an unreachable owner is shunned");
}

#[test]
fn all_unreachable() {
    let mut entry = TestEntry::new(13);
    entry.submit(request(1, Duration::from_secs(5)));
    for _ in 0..100 {
        let call = entry.last().call;
        entry.tell(Event::Unsent { call });
        if entry.answers.contains_key(&Id(1)) {
            break;
        }
        if entry.last().call == call {
            entry.step();
        }
    }
    assert_eq!(entry.answers[&Id(1)], refuse(Reason::NoOwner));
}

#[test]
fn waits_for_owner() {
    let mut entry = TestEntry::new(14);
    entry.view.servers.clear();
    entry.show();
    entry.hand_in(request(1, Duration::from_secs(10)), 10);
    entry.hand_in(request(2, Duration::from_secs(1)), 10);
    entry.pass(Duration::from_secs(2));
    assert_eq!(entry.answers[&Id(2)], refuse(Reason::NoOwner));
    entry.view = fleet();
    entry.show();
    assert_eq!(entry.sends.len(), 1);
    assert_eq!(entry.last().call.request, Id(1));
}

#[test]
fn crossed_answer() {
    let mut entry = TestEntry::new(15);
    let sent = entry.submit(request(1, Duration::from_secs(10)));
    entry.answer(sent.call, refuse(Reason::Overload));
    entry.answer(sent.call, refuse(Reason::Duplicate));
    assert!(entry.answers.is_empty());
    entry.step();
    entry.answer(sent.call, refuse(Reason::Duplicate));
    assert!(entry.answers.is_empty());
    entry.answer(entry.last().call, ran(1));
    entry.answer(entry.last().call, ran(1));
    assert_eq!(entry.answers[&Id(1)], ran(1));
    assert_eq!(entry.router.counters().late_verdicts, 3);
}

#[test]
fn cancel_wave() {
    let mut entry = TestEntry::new(16);
    for id in 0..100 {
        entry.submit(request(id, Duration::from_secs(60)));
    }
    for id in 0..100 {
        entry.tell(Event::Cancel { request: Id(id) });
        entry.tell(Event::Cancel { request: Id(id) });
    }
    assert_eq!(entry.cancels.len(), 100);
    for call in entry.cancels.clone().into_iter().take(50) {
        entry.answer(call, refuse(Reason::Cancelled));
    }
    entry.pass(Duration::from_secs(3));
    let unknown = |verdict: &&Verdict| matches!(verdict, Verdict::Unknown { .. });
    assert_eq!(entry.answers.len(), 100);
    assert_eq!(entry.answers.values().filter(unknown).count(), 50);
    assert_eq!(entry.router.next_deadline(), None);
}

#[test]
fn cancel_while_paused() {
    let mut entry = TestEntry::new(17);
    let sent = entry.submit(request(1, Duration::from_secs(60)));
    entry.answer(sent.call, refuse(Reason::Overload));
    entry.tell(Event::Cancel { request: Id(1) });
    assert_eq!(entry.answers[&Id(1)], refuse(Reason::Cancelled));
}

#[test]
fn joined_submit() {
    let mut entry = TestEntry::new(18);
    let sent = entry.submit(request(1, Duration::from_secs(60)));
    entry.submit(request(1, Duration::from_secs(60)));
    assert_eq!(entry.sends.len(), 1);
    entry.answer(sent.call, ran(1));
    assert_eq!(entry.answers.len(), 1);
}

#[test]
fn too_large() {
    let mut entry = TestEntry::new(19);
    let large = |id| Request {
        size: TASK.times(9),
        ..request(id, Duration::from_secs(60))
    };
    for index in 0..6 {
        entry.tell(Event::Summary(summary(index, 1, 500)));
    }
    let sent = entry.submit(large(1));
    assert_eq!(&*sent.rack, "r6", "the only unknown owner");
    entry.tell(Event::Summary(summary(6, 1, 500)));
    entry.submit(large(2));
    assert_eq!(entry.answers[&Id(2)], refuse(Reason::TooLarge));
}

#[test]
fn workers_unknown() {
    let mut entry = TestEntry::new(19);
    for index in 0..7 {
        let early = Summary {
            ceiling: Size::ZERO,
            ..summary(index, 1, 500)
        };
        entry.tell(Event::Summary(early));
    }
    entry.submit(request(1, Duration::from_secs(60)));
    assert!(
        entry.answers.is_empty(),
        "an owner that knows no worker yet"
    );
}

#[test]
fn over_limit() {
    let mut entry = TestEntry::new(20);
    let team = |limit| Team {
        name: name("lamps"),
        account: name("lumen"),
        share: 1,
        limit,
    };
    for (revision, limit) in [(2, Size::ZERO), (1, Size::MAX)] {
        entry.tell(Event::Teams {
            revision,
            teams: vec![team(limit)],
        });
    }
    entry.hand_in(request(1, Duration::from_secs(60)), 10);
    assert_eq!(entry.answers[&Id(1)], refuse(Reason::Limit));
}

#[test]
fn regional_bytes() {
    let mut entry = TestEntry::new(21);
    for index in 0..5 {
        entry.view.servers.remove(&name(&format!("s{index}")));
    }
    entry.show();
    let sent = entry.submit(request(1, Duration::from_secs(10)));
    assert!(["r5", "r6"].contains(&&*sent.rack));
    assert_eq!(
        entry.router.counters().regional_bytes[&name("lamps")],
        1_000
    );
    entry.hand_in(request(2, Duration::from_millis(100)), 1_000);
    entry.hand_in(request(3, Duration::from_secs(60)), 100_000_000);
    assert_eq!(
        entry.sends.len(),
        1,
        "patience too short, payload too large"
    );
}

#[test]
fn restarted_owner() {
    let mut entry = TestEntry::new(22);
    let mut slow = summary(0, 900, 500);
    slow.wait = Duration::from_secs(9);
    entry.tell(Event::Summary(slow));
    let again = Owner {
        incarnation: 2,
        ..owner(0, 2)
    };
    entry.view.servers.insert(name("s0"), server(0, 2));
    entry.view.racks.insert(name("r0"), again);
    entry.show();
    entry.tell(Event::Summary(summary(0, 1, 500)));
    let sent = (0..50).map(|id| entry.submit(request(id, Duration::from_secs(10))).rack);
    let racks: BTreeSet<Name> = sent.collect();
    assert!(racks.contains(&name("r0")), "the old summary is forgotten");
}

#[test]
fn same_seed() {
    let run = || {
        let mut entry = TestEntry::new(23);
        for id in 0..50 {
            let sent = entry.submit(request(id, Duration::from_secs(60)));
            if id % 3 == 0 {
                entry.answer(sent.call, refuse(Reason::Overload));
            }
        }
        entry.pass(Duration::from_secs(1));
        let racks = entry.sends.iter().map(|sent| sent.rack.clone());
        racks.collect::<Vec<Name>>()
    };
    assert_eq!(run(), run());
}
