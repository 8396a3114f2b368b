//! No worker is booked beyond its capacity.

mod support;

use azurepath_decide::attempt::Outcome;
use azurepath_decide::event::Event;
use azurepath_decide::size::Size;
use proptest::prelude::*;
use std::collections::BTreeMap;
use support::*;

#[test]
fn resources_booked_together() {
    let capacity = Size {
        millicores: 8_000,
        memory_mib: 8_192,
        accelerators: 2,
        slots: 3,
    };
    for (resource, size) in [
        (
            "cores",
            Size {
                millicores: 5_000,
                ..Size::ZERO
            },
        ),
        (
            "memory",
            Size {
                memory_mib: 5_000,
                ..Size::ZERO
            },
        ),
        (
            "accelerators",
            Size {
                accelerators: 2,
                ..Size::ZERO
            },
        ),
        (
            "slots",
            Size {
                slots: 2,
                ..Size::ZERO
            },
        ),
    ] {
        let mut bench = Bench::ready(1, capacity);
        assert_eq!(starts(&bench.submit(request(1, "a", size))).len(), 1);
        assert!(
            starts(&bench.submit(request(2, "a", size))).is_empty(),
            "{resource}"
        );
        let ended = bench.ended(attempt(1, 1), "w0", Outcome::Done);
        assert_eq!(
            starts(&ended),
            [(attempt(2, 1), "w0".to_owned())],
            "{resource}"
        );
    }
}

#[test]
fn every_task_takes_slot() {
    let mut bench = Bench::ready(1, machine());
    let tiny = Size {
        millicores: 10,
        ..Size::ZERO
    };
    let count = (0..20)
        .map(|id| starts(&bench.submit(request(id, "a", tiny))).len())
        .sum::<usize>();
    assert_eq!(count, 8);
}

#[test]
fn leaving_takes_nothing() {
    let mut bench = Bench::ready(1, machine());
    bench.submit(request(1, "a", cores(1)));
    bench.send(Event::Leave {
        worker: "w0".into(),
    });
    assert!(starts(&bench.submit(request(2, "a", cores(1)))).is_empty());
    assert!(starts(&bench.ended(attempt(1, 1), "w0", Outcome::Done)).is_empty());
    assert_eq!(starts(&bench.add("w1", "r1", machine())).len(), 1);
}

#[derive(Clone, Debug)]
enum Step {
    Submit(u64, u64, u64),
    End(usize),
    Lose(usize),
    Claimed(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..20_000u64, 1..40_000u64, 0..3u64).prop_map(|(c, m, a)| Step::Submit(c, m, a)),
        3 => any::<usize>().prop_map(Step::End),
        1 => any::<usize>().prop_map(Step::Lose),
        2 => any::<usize>().prop_map(Step::Claimed),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn never_overbooked(steps in prop::collection::vec(step(), 1..150)) {
        let capacity = Size { accelerators: 2, ..machine() };
        let mut bench = Bench::ready(3, capacity);
        let mut live = BTreeMap::new();
        for (id, step) in steps.into_iter().enumerate() {
            let actions = match step {
                Step::Submit(millicores, memory_mib, accelerators) => {
                    let size = Size { millicores, memory_mib, accelerators, slots: 1 };
                    bench.submit(request(id as u128, "a", size))
                }
                Step::End(pick) => {
                    let Some((&attempt, _)) = live.iter().nth(pick % live.len().max(1)) else { continue };
                    let (worker, _): (String, Size) = live.remove(&attempt).expect("live");
                    bench.ended(attempt, &worker, Outcome::Done)
                }
                Step::Lose(pick) => {
                    let Some((&attempt, (worker, _))) = live.iter().nth(pick % live.len().max(1)) else { continue };
                    bench.lost(attempt, worker)
                }
                Step::Claimed(pick) => bench.claimed(&format!("w{}", pick % 3), 1),
            };
            for action in actions {
                if let azurepath_decide::action::Action::Start { attempt, worker, size, .. } = action {
                    live.insert(attempt, (worker.to_string(), size));
                }
            }
            for worker in ["w0", "w1", "w2"] {
                let booked = live.values().filter(|(at, _)| at == worker);
                let sum = booked.fold(Size::ZERO, |sum, (_, size)| sum.plus(size));
                prop_assert!(sum.fits(&capacity), "{worker} is booked with {sum:?}");
            }
        }
    }
}
