//! Sizes of work whose declared size is wrong.

mod support;

use azurepath_decide::action::Action;
use azurepath_decide::attempt::{Attempt, Outcome};
use azurepath_decide::event::Event;
use azurepath_decide::request::Request;
use azurepath_decide::size::Size;
use azurepath_decide::worker::{Interrupt, Report, Usage};
use support::*;

fn report(bench: &mut Bench, worker: &str, usage: &[(Attempt, Size)]) -> Vec<Action> {
    let usage = usage.iter().map(|&(attempt, used)| Usage { attempt, used });
    bench.send(Event::Report(Report {
        worker: worker.into(),
        usage: usage.collect(),
    }))
}

fn sizes(actions: &[Action]) -> Vec<Size> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Start { size, .. } => Some(*size),
            _ => None,
        })
        .collect()
}

fn run(bench: &mut Bench, id: u128, kind: &str, used: Size) -> Size {
    let request = Request {
        kind: kind.into(),
        ..request(id, "a", cores(2))
    };
    let actions = bench.submit(request);
    let (attempt, worker) = starts(&actions).remove(0);
    report(bench, &worker, &[(attempt, used)]);
    bench.ended(attempt, &worker, Outcome::Done);
    sizes(&actions)[0]
}

#[test]
fn use_is_learnt() {
    let mut bench = Bench::ready(1, machine());
    for id in 0..40 {
        run(&mut bench, id, "sweep", cores(6));
    }
    let learnt = run(&mut bench, 50, "sweep", cores(6));
    assert!(
        cores(6).fits(&learnt) && learnt.fits(&cores(8)),
        "{learnt:?}"
    );
    assert_eq!(run(&mut bench, 51, "other", cores(1)), cores(2));
}

#[test]
fn declared_is_floor() {
    let mut bench = Bench::ready(1, machine());
    let small_use = Size {
        millicores: 10,
        ..Size::ZERO
    };
    for id in 0..40 {
        assert_eq!(run(&mut bench, id, "audit", small_use), cores(2));
    }
}

#[test]
fn old_use_forgotten() {
    let mut bench = Bench::ready(1, machine());
    for id in 0..500 {
        run(&mut bench, id, "sweep", cores(16));
    }
    for id in 500..3_000 {
        run(&mut bench, id, "sweep", cores(4));
    }
    let learnt = run(&mut bench, 5_000, "sweep", cores(4));
    assert!(learnt.fits(&cores(6)), "{learnt:?}");
}

#[test]
fn learnt_size_bounded() {
    let mut bench = Bench::ready(1, machine());
    for id in 0..40 {
        run(&mut bench, id, "sweep", cores(500));
    }
    let learnt = run(&mut bench, 50, "sweep", cores(1));
    assert!(learnt.fits(&machine()));
}

#[test]
fn overuse_takes_room() {
    let mut bench = Bench::ready(1, machine());
    bench.submit(request(1, "a", cores(2)));
    report(&mut bench, "w0", &[(attempt(1, 1), cores(20))]);
    assert!(starts(&bench.submit(request(2, "a", cores(16)))).is_empty());
    assert_eq!(starts(&bench.submit(request(3, "a", cores(10)))).len(), 1);
}

#[test]
fn overload_relieved_in_steps() {
    let mut bench = Bench::ready(1, machine());
    bench.submit(request(1, "a", cores(16)));
    bench.wait(1_000);
    bench.submit(request(2, "a", cores(16)));
    let overload = [(attempt(1, 1), cores(14)), (attempt(2, 1), cores(18))];
    let mut sent = Vec::new();
    for _ in 0..6 {
        let mut in_round = interrupts(&report(&mut bench, "w0", &overload));
        in_round.extend(interrupts(&report(&mut bench, "w0", &overload)));
        assert!(in_round.len() <= 1, "{in_round:?}");
        sent.extend(in_round);
        bench.wait(1_100);
    }
    let of_second = |how| (attempt(2, 1), how);
    let steps = [Interrupt::Throttle, Interrupt::Checkpoint, Interrupt::Stop];
    assert_eq!(sent, steps.map(of_second));
    let stopped = bench.ended(attempt(2, 1), "w0", Outcome::Stopped);
    assert!(answers(&stopped).is_empty());
}

#[test]
fn non_idempotent_only_throttled() {
    let mut bench = Bench::ready(1, machine());
    let non_idempotent = Request {
        idempotent: false,
        ..request(1, "a", cores(16))
    };
    bench.submit(non_idempotent);
    let mut sent = Vec::new();
    for _ in 0..6 {
        sent.extend(interrupts(&report(
            &mut bench,
            "w0",
            &[(attempt(1, 1), cores(32))],
        )));
        bench.wait(1_100);
    }
    assert_eq!(sent, [(attempt(1, 1), Interrupt::Throttle)]);
}
