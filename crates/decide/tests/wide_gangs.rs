//! A gang with more members than one question to the advice service may name workers.

#[path = "support/batch/bench.rs"]
mod bench;

use std::time::Duration;

use azurepath_decide::batch::Action;
use azurepath_decide::batch::advice::{Advice, Question};
use azurepath_decide::batch::config::AdviceTiming;
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use bench::{Bench, gang, queue};

const VALIDITY: Duration = Duration::from_millis(700);

/// Answers each question after the time that it takes, for 20 s, and returns how many tasks start.
fn play(bench: &mut Bench, from_ms: u64) -> usize {
    let mut open: Vec<(u64, Question)> = Vec::new();
    let mut started = 0;
    for now_ms in (from_ms..from_ms + 20_000).step_by(10) {
        let due = |(at, _): &(u64, Question)| *at <= now_ms;
        let (ready, rest) = open.into_iter().partition(due);
        open = rest;
        for (_, question) in ready as Vec<(u64, Question)> {
            let tickets = question.workers.iter();
            let tickets = tickets.map(|worker| (worker.clone(), Name::from("ticket")));
            let advice = Advice {
                tickets: tickets.collect(),
            };
            bench.scheduler.handle_advice(question.step, Some(&advice));
        }
        let mut actions = Vec::new();
        bench
            .scheduler
            .advance(Time::from_millis(now_ms), &mut actions);
        for action in actions {
            match action {
                Action::Ask(question) => {
                    let takes = question.takes.as_millis() as u64;
                    open.push((now_ms + takes, question));
                }
                Action::Start { .. } => started += 1,
                _ => {}
            }
        }
    }
    started
}

/// Half of the workers come after the gang has asked about the others, so that it has to renew the
/// tickets of all 41 workers that its 122 members run on.
#[test]
fn more_members_than_tickets() {
    let timing = AdviceTiming {
        base: Duration::from_millis(490),
        per_worker: Duration::from_millis(7),
        validity: VALIDITY,
    };
    let mut bench = Bench::with_queue(azurepath_decide::batch::config::Queue {
        advice: Some(timing),
        ..queue()
    });
    bench.scheduler.set_advice_instances(6);
    bench.register(30);
    // Three members fit onto a worker.
    bench.submit(gang(122, 2_500));
    assert_eq!(play(&mut bench, 2_000), 0, "30 workers have room for 90");
    bench.register(60);
    assert_eq!(play(&mut bench, 30_000), 122);
}
