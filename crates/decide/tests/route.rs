//! Request routing under refusals, lost calls, unreachable owners and exhausted limits.

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

/// An entry in the failure domain `zrh-a` of `ch-north`. Servers `s0` to `s6` own racks `r0` to
/// `r6`: three in the failure domain of the entry, two more in its region, and two in `ch-west`.
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

fn request(id: u128, timeout: Duration) -> Request {
    Request {
        id: Id(id),
        team: name("lamps"),
        kind: name("pairing"),
        class: Class::Urgent,
        size: TASK,
        estimate: Duration::from_millis(100),
        deadline: Time(0).after(timeout),
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

fn not_run(reason: Reason) -> Verdict {
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
        entry.publish_view();
        entry
    }

    fn publish_view(&mut self) {
        self.send_event(Event::View(self.view.clone()));
    }

    fn send_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: Action) {
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
        self.submit_payload(request, 1_000);
        self.last_sent()
    }

    fn submit_payload(&mut self, request: Request, payload_bytes: u64) {
        self.send_event(Event::Submit {
            request,
            payload_bytes,
        });
    }

    fn last_sent(&self) -> Sent {
        self.sends.last().expect("something was sent").clone()
    }

    fn answer(&mut self, call: Call, verdict: Verdict) {
        self.send_event(Event::Answered { call, verdict });
    }

    fn advance(&mut self, span: Duration) {
        self.now = self.now.after(span);
        self.send_event(Event::Tick);
    }

    /// Advances the time to the next deadline.
    fn advance_to_deadline(&mut self) {
        let due = self.router.next_deadline().expect("a timer is set");
        self.now = self.now.max(due);
        self.send_event(Event::Tick);
    }
}

#[test]
fn prefers_own_failure_domain() {
    let mut entry = TestEntry::new(1);
    let sent = (0..100).map(|id| entry.submit(request(id, Duration::from_secs(10))).rack);
    let racks: BTreeSet<Name> = sent.collect();
    assert_eq!(racks, ["r0", "r1", "r2"].map(name).into());
    assert!(entry.router.counters().regional_bytes.is_empty());
}

#[test]
fn prefers_shorter_wait() {
    let mut entry = TestEntry::new(2);
    for index in 0..2 {
        let mut slow = summary(index, 1, 500);
        slow.wait = Duration::from_millis(40);
        entry.send_event(Event::Summary(slow));
    }
    entry.send_event(Event::Summary(summary(2, 1, 500)));
    let mut counts: BTreeMap<Name, u32> = BTreeMap::new();
    for id in 0..16 {
        let sent = entry.submit(request(id, Duration::from_secs(10)));
        *counts.entry(sent.rack).or_default() += 1;
    }
    assert!(counts[&name("r2")] >= 8, "{counts:?}");
}

#[test]
fn only_racks_with_allotment() {
    let mut entry = TestEntry::new(3);
    for index in 0..7 {
        let allotted = u64::from(matches!(index, 1 | 4 | 6));
        entry.send_event(Event::Summary(summary(index, 1, allotted)));
    }
    let sent = (0..3).map(|id| entry.submit(request(id, Duration::from_secs(10))).rack);
    let racks: BTreeSet<Name> = sent.collect();
    assert_eq!(racks, ["r1", "r4", "r6"].map(name).into());
}

#[test]
fn refusal_is_retried_on_other_rack() {
    let mut entry = TestEntry::new(4);
    let mut sent = entry.submit(request(1, Duration::from_secs(10)));
    let mut racks = BTreeSet::from([sent.rack.clone()]);
    for _ in 0..4 {
        entry.answer(sent.call, not_run(Reason::Limit));
        entry.advance_to_deadline();
        sent = entry.last_sent();
        assert!(racks.insert(sent.rack.clone()), "{sent:?} was tried before");
    }
    entry.answer(sent.call, not_run(Reason::Limit));
    assert_eq!(entry.answers[&Id(1)], not_run(Reason::Limit));
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
        entry.answer(sent.call, not_run(reason));
        assert_eq!(entry.answers[&Id(id)], not_run(reason));
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
        entry.answer(sent.call, not_run(Reason::Overload));
    }
    entry.advance(Duration::from_millis(10));
    let retries = entry.sends.len() - 200;
    assert!((1..=40).contains(&retries), "{retries} retries of 200");
    assert_eq!(entry.answers.len(), 200 - retries);
}

#[test]
fn budget_per_team() {
    let mut entry = TestEntry::new(7);
    for id in 0..100 {
        let sent = entry.submit(request(id, Duration::from_secs(60)));
        entry.answer(sent.call, not_run(Reason::Overload));
    }
    let mut other = request(1_000, Duration::from_secs(60));
    other.team = name("ice");
    let sent = entry.submit(other);
    entry.answer(sent.call, not_run(Reason::Overload));
    assert!(!entry.answers.contains_key(&Id(1_000)));
}

#[test]
fn broken_call_is_resumed() {
    let mut entry = TestEntry::new(8);
    let sent = entry.submit(request(1, Duration::from_secs(10)));
    entry.send_event(Event::Broken { call: sent.call });
    entry.advance_to_deadline();
    let resumed = entry.last_sent();
    assert!(resumed.resume);
    assert_eq!(resumed.rack, sent.rack);
    entry.answer(resumed.call, ran(1));
    assert_eq!(entry.answers[&Id(1)], ran(1));
}

#[test]
fn resumed_at_successor() {
    let mut entry = TestEntry::new(9);
    let sent = entry.submit(request(1, Duration::from_secs(10)));
    entry.view.servers.remove(&sent.server);
    entry.publish_view();
    entry.send_event(Event::Broken { call: sent.call });
    entry.advance(Duration::from_secs(1));
    assert_eq!(
        entry.sends.len(),
        1,
        "nothing is sent while the rack has no owner"
    );
    entry.view.racks.insert(sent.rack.clone(), owner(6, 2));
    entry.publish_view();
    let resumed = entry.last_sent();
    assert!(resumed.resume);
    assert_eq!((resumed.rack, resumed.epoch), (sent.rack.clone(), 2));
    assert_eq!(&*resumed.server, "s6");
    entry.answer(resumed.call, not_run(Reason::Refused));
    entry.advance_to_deadline();
    let resubmitted = entry.last_sent();
    assert!(!resubmitted.resume);
    assert_ne!(resubmitted.rack, sent.rack);
    entry.answer(resubmitted.call, ran(1));
    assert_eq!(entry.answers[&Id(1)], ran(1));
}

/// Returns an entry with a request that was lost with its owner and resumed at the new owner, which
/// does not know it.
fn unknown_to_successor(idempotent: bool) -> TestEntry {
    let mut entry = TestEntry::new(24);
    let mut lost = request(1, Duration::from_secs(10));
    lost.idempotent = idempotent;
    let sent = entry.submit(lost);
    entry.view.servers.remove(&sent.server);
    entry.view.racks.insert(sent.rack, owner(6, 2));
    entry.publish_view();
    entry.send_event(Event::Broken { call: sent.call });
    entry.advance(Duration::from_secs(1));
    let resumed = entry.last_sent();
    assert!(resumed.resume);
    entry.answer(resumed.call, not_run(Reason::Refused));
    entry
}

#[test]
fn unknown_at_successor() {
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
    entry.publish_view();
    entry.advance_to_deadline();
    let resumed = entry.last_sent();
    assert!(resumed.resume);
    assert_eq!(&*resumed.server, "s6");
    entry.answer(resumed.call, not_run(Reason::Refused));
    entry.advance_to_deadline();
    entry.answer(entry.last_sent().call, ran(1));
    assert_eq!(entry.answers[&Id(1)], ran(1));
}

#[test]
fn persistent_unknown() {
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
            assert!(calls < 20, "the request is resumed without end");
            entry.answer(entry.last_sent().call, Verdict::Unknown { attempt });
            if entry.answers.is_empty() {
                entry.advance_to_deadline();
            }
        }
        assert!(matches!(entry.answers[&Id(1)], Verdict::Unknown { .. }));
        assert_eq!(calls > 1, idempotent);
    }
}

#[test]
fn refused_after_loss() {
    let mut entry = unknown_to_successor(true);
    entry.advance_to_deadline();
    let resubmitted = entry.last_sent();
    assert!(!resubmitted.resume);
    entry.answer(resubmitted.call, not_run(Reason::Expired));
    assert!(matches!(entry.answers[&Id(1)], Verdict::Unknown { .. }));
}

#[test]
fn non_owner_verdict_is_unknown() {
    let mut entry = TestEntry::new(10);
    let sent = entry.submit(request(1, Duration::from_secs(5)));
    entry.send_event(Event::Broken { call: sent.call });
    for reason in [Reason::NoOwner, Reason::Leaving, Reason::NoOwner] {
        entry.advance_to_deadline();
        let resumed = entry.last_sent();
        assert!(resumed.resume);
        entry.answer(resumed.call, not_run(reason));
    }
    entry.view.servers.remove(&sent.server);
    entry.publish_view();
    entry.advance(Duration::from_secs(6));
    assert!(matches!(entry.answers[&Id(1)], Verdict::Unknown { .. }));
    assert!(entry.sends.iter().skip(1).all(|sent| sent.resume));
}

#[test]
fn silent_owner() {
    let mut entry = TestEntry::new(11);
    entry.submit(request(1, Duration::from_secs(5)));
    entry.advance(Duration::from_secs(6));
    assert!(matches!(entry.answers[&Id(1)], Verdict::Unknown { .. }));
}

#[test]
fn unsent_is_retried_on_other_rack() {
    let mut entry = TestEntry::new(12);
    let sent = entry.submit(request(1, Duration::from_secs(5)));
    entry.send_event(Event::Unsent { call: sent.call });
    let retried = entry.last_sent();
    assert!(!retried.resume);
    assert_ne!(retried.rack, sent.rack);
    let next = entry.submit(request(2, Duration::from_secs(5)));
    assert_ne!(next.server, sent.server, "an unreachable owner is avoided");
}

#[test]
fn all_unreachable() {
    let mut entry = TestEntry::new(13);
    entry.submit(request(1, Duration::from_secs(5)));
    for _ in 0..100 {
        let call = entry.last_sent().call;
        entry.send_event(Event::Unsent { call });
        if entry.answers.contains_key(&Id(1)) {
            break;
        }
        if entry.last_sent().call == call {
            entry.advance_to_deadline();
        }
    }
    assert_eq!(entry.answers[&Id(1)], not_run(Reason::NoOwner));
}

#[test]
fn waits_for_owner() {
    let mut entry = TestEntry::new(14);
    entry.view.servers.clear();
    entry.publish_view();
    entry.submit_payload(request(1, Duration::from_secs(10)), 10);
    entry.submit_payload(request(2, Duration::from_secs(1)), 10);
    entry.advance(Duration::from_secs(2));
    assert_eq!(entry.answers[&Id(2)], not_run(Reason::NoOwner));
    entry.view = fleet();
    entry.publish_view();
    assert_eq!(entry.sends.len(), 1);
    assert_eq!(entry.last_sent().call.request, Id(1));
}

#[test]
fn late_verdict() {
    let mut entry = TestEntry::new(15);
    let sent = entry.submit(request(1, Duration::from_secs(10)));
    entry.answer(sent.call, not_run(Reason::Overload));
    entry.answer(sent.call, not_run(Reason::Duplicate));
    assert!(entry.answers.is_empty());
    entry.advance_to_deadline();
    entry.answer(sent.call, not_run(Reason::Duplicate));
    assert!(entry.answers.is_empty());
    entry.answer(entry.last_sent().call, ran(1));
    entry.answer(entry.last_sent().call, ran(1));
    assert_eq!(entry.answers[&Id(1)], ran(1));
    assert_eq!(entry.router.counters().late_verdicts, 3);
}

#[test]
fn mass_cancellation() {
    let mut entry = TestEntry::new(16);
    for id in 0..100 {
        entry.submit(request(id, Duration::from_secs(60)));
    }
    for id in 0..100 {
        entry.send_event(Event::Cancel { request: Id(id) });
        entry.send_event(Event::Cancel { request: Id(id) });
    }
    assert_eq!(entry.cancels.len(), 100);
    for call in entry.cancels.clone().into_iter().take(50) {
        entry.answer(call, not_run(Reason::Cancelled));
    }
    entry.advance(Duration::from_secs(3));
    let unknown = |verdict: &&Verdict| matches!(verdict, Verdict::Unknown { .. });
    assert_eq!(entry.answers.len(), 100);
    assert_eq!(entry.answers.values().filter(unknown).count(), 50);
    assert_eq!(entry.router.next_deadline(), None);
}

#[test]
fn cancel_while_paused() {
    let mut entry = TestEntry::new(17);
    let sent = entry.submit(request(1, Duration::from_secs(60)));
    entry.answer(sent.call, not_run(Reason::Overload));
    entry.send_event(Event::Cancel { request: Id(1) });
    assert_eq!(entry.answers[&Id(1)], not_run(Reason::Cancelled));
}

#[test]
fn duplicate_submit() {
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
        entry.send_event(Event::Summary(summary(index, 1, 500)));
    }
    let sent = entry.submit(large(1));
    assert_eq!(&*sent.rack, "r6", "the only owner without a summary");
    entry.send_event(Event::Summary(summary(6, 1, 500)));
    entry.submit(large(2));
    assert_eq!(entry.answers[&Id(2)], not_run(Reason::TooLarge));
}

#[test]
fn owner_without_known_workers() {
    let mut entry = TestEntry::new(19);
    for index in 0..7 {
        let early = Summary {
            ceiling: Size::ZERO,
            ..summary(index, 1, 500)
        };
        entry.send_event(Event::Summary(early));
    }
    entry.submit(request(1, Duration::from_secs(60)));
    assert!(
        entry.answers.is_empty(),
        "the owners know no workers yet, so the request is not too large"
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
        entry.send_event(Event::Teams {
            revision,
            teams: vec![team(limit)],
        });
    }
    entry.submit_payload(request(1, Duration::from_secs(60)), 10);
    assert_eq!(entry.answers[&Id(1)], not_run(Reason::Limit));
}

#[test]
fn regional_bytes() {
    let mut entry = TestEntry::new(21);
    for index in 0..5 {
        entry.view.servers.remove(&name(&format!("s{index}")));
    }
    entry.publish_view();
    let sent = entry.submit(request(1, Duration::from_secs(10)));
    assert!(["r5", "r6"].contains(&&*sent.rack));
    assert_eq!(
        entry.router.counters().regional_bytes[&name("lamps")],
        1_000
    );
    entry.submit_payload(request(2, Duration::from_millis(100)), 1_000);
    entry.submit_payload(request(3, Duration::from_secs(60)), 100_000_000);
    assert_eq!(
        entry.sends.len(),
        1,
        "neither a short deadline nor a large payload crosses regions"
    );
}

#[test]
fn restarted_owner() {
    let mut entry = TestEntry::new(22);
    let mut slow = summary(0, 900, 500);
    slow.wait = Duration::from_secs(9);
    entry.send_event(Event::Summary(slow));
    let restarted = Owner {
        incarnation: 2,
        ..owner(0, 2)
    };
    entry.view.servers.insert(name("s0"), server(0, 2));
    entry.view.racks.insert(name("r0"), restarted);
    entry.publish_view();
    entry.send_event(Event::Summary(summary(0, 1, 500)));
    let sent = (0..50).map(|id| entry.submit(request(id, Duration::from_secs(10))).rack);
    let racks: BTreeSet<Name> = sent.collect();
    assert!(
        racks.contains(&name("r0")),
        "the summary of the earlier process is discarded"
    );
}

#[test]
fn same_seed() {
    let run = || {
        let mut entry = TestEntry::new(23);
        for id in 0..50 {
            let sent = entry.submit(request(id, Duration::from_secs(60)));
            if id % 3 == 0 {
                entry.answer(sent.call, not_run(Reason::Overload));
            }
        }
        entry.advance(Duration::from_secs(1));
        let racks = entry.sends.iter().map(|sent| sent.rack.clone());
        racks.collect::<Vec<Name>>()
    };
    assert_eq!(run(), run());
}
