//! Conversions between frames and the types of `azurepath_decide`.

use std::time::Duration;

use azurepath_decide::attempt::{Attempt, Outcome};
use azurepath_decide::class::Class;
use azurepath_decide::request::{Id, Request, Target};
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use azurepath_decide::verdict::{Reason, Verdict};
use azurepath_wire::frame;

fn request(deadline: Time) -> Request {
    Request {
        id: Id(77),
        team: "audit".into(),
        kind: "pairing".into(),
        class: Class::Urgent,
        size: Size {
            millicores: 500,
            memory_mib: 64,
            accelerators: 1,
            slots: 1,
        },
        estimate: Duration::from_millis(20),
        deadline,
        idempotent: false,
        gang: Some(Id(8)),
        target: Some(Target {
            rack: "zrh-a-r1".into(),
            epoch: 4,
        }),
    }
}

#[test]
fn request_both_ways() {
    let sender_now = Time::from_millis(5_000);
    let receiver_now = Time::from_millis(70_000);
    let sent = request(Time::from_millis(6_500));
    let task = frame::Task::new(&sent, sender_now);
    let received = task.request(receiver_now).expect("the class is known");
    let expected = request(receiver_now.after(Duration::from_millis(1_500)));
    assert_eq!(received, expected);
}

#[test]
fn no_deadline() {
    let sent = request(Time::MAX);
    let received = frame::Task::new(&sent, Time::from_millis(1)).request(Time::from_millis(9));
    assert_eq!(received.expect("the class is known").deadline, Time::MAX);
}

#[test]
fn unknown_class() {
    let mut task = frame::Task::new(&request(Time::MAX), Time::default());
    task.class = 9;
    let error = task.request(Time::default()).expect_err("9 is no class");
    assert_eq!(
        error.to_string(),
        "the class \"9\" is unknown; run the same release on both servers"
    );
}

#[test]
fn verdict_both_ways() {
    let attempt = Attempt {
        request: Id(3),
        number: 2,
    };
    let verdicts = [
        Verdict::NotRun {
            reason: Reason::Limit,
            retry_after: Some(Duration::from_secs(2)),
        },
        Verdict::Unknown { attempt },
        Verdict::Ran {
            attempt,
            worker: "w1".into(),
            outcome: Outcome::Checkpointed,
        },
    ];
    for verdict in verdicts {
        let frame = frame::Verdict::new(attempt.request, &verdict);
        assert_eq!(Verdict::try_from(frame), Ok(verdict));
    }
}
