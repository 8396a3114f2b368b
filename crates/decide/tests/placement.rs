//! Tasks are placed where they leave the most usable capacity.

mod support;

use azurepath_decide::attempt::Outcome;
use azurepath_decide::class::Class;
use azurepath_decide::event::Event;
use azurepath_decide::policy::Policy;
use azurepath_decide::request::{Request, Target};
use azurepath_decide::size::Size;
use azurepath_decide::verdict::Reason;
use azurepath_decide::worker::Spec;
use support::*;

fn bench(workers: &[(&str, &str, &str, &str, Size)]) -> Bench {
    let mut bench = Bench::new(Policy::Fair);
    bench.teams(&[team("a", 1)]);
    for (name, rack, domain, region, capacity) in workers {
        bench.gain(rack, 1, LARGE_LIMIT);
        bench.send(Event::Join(Spec {
            name: (*name).into(),
            rack: (*rack).into(),
            failure_domain: (*domain).into(),
            region: (*region).into(),
            capacity: *capacity,
        }));
        bench.claimed(name, 1);
    }
    bench
}

fn service(id: u128) -> Request {
    let mut request = request(id, "a", cores(2));
    request.class = Class::Service;
    request.kind = "web".into();
    request
}

fn place(bench: &mut Bench, request: Request) -> String {
    starts(&bench.submit(request)).remove(0).1
}

#[test]
fn accelerators_kept_free() {
    let accelerated = Size {
        accelerators: 4,
        ..machine()
    };
    let mut bench = bench(&[
        ("g0", "r1", "zrh-a", "ch-north", accelerated),
        ("w0", "r1", "zrh-a", "ch-north", machine()),
    ]);
    for id in 0..4 {
        assert_eq!(place(&mut bench, request(id, "a", cores(8))), "w0");
    }
    assert_eq!(place(&mut bench, request(9, "a", cores(8))), "g0");
}

#[test]
fn batch_packed() {
    let workers: Vec<_> = ["w0", "w1", "w2", "w3"]
        .map(|name| (name, "r1", "zrh-a", "ch-north", machine()))
        .into();
    let mut bench = bench(&workers);
    let first = place(&mut bench, request(1, "a", cores(8)));
    for id in 2..=4 {
        assert_eq!(place(&mut bench, request(id, "a", cores(8))), first);
    }
    assert_ne!(place(&mut bench, request(5, "a", cores(8))), first);
}

#[test]
fn leftover_room_balanced() {
    let small_memory = Size {
        memory_mib: 16_384,
        ..machine()
    };
    let mut bench = bench(&[
        ("w0", "r1", "zrh-a", "ch-north", small_memory),
        ("w1", "r1", "zrh-a", "ch-north", machine()),
    ]);
    let memory_heavy = Size {
        millicores: 4_000,
        memory_mib: 15_000,
        accelerators: 0,
        slots: 1,
    };
    assert_eq!(place(&mut bench, request(1, "a", memory_heavy)), "w1");
}

#[test]
fn services_spread() {
    let mut bench = bench(&[
        ("w0", "r1", "zrh-a", "ch-north", machine()),
        ("w1", "r1", "zrh-a", "ch-north", machine()),
        ("w2", "r2", "zrh-a", "ch-north", machine()),
        ("w3", "r3", "zrh-b", "ch-north", machine()),
    ]);
    let mut placed: Vec<_> = (0..4).map(|id| place(&mut bench, service(id))).collect();
    assert_eq!(placed[0..2].iter().filter(|name| *name == "w3").count(), 1);
    placed.sort();
    assert_eq!(placed, ["w0", "w2", "w3", "w3"]);
}

#[test]
fn own_region_first() {
    let mut bench = bench(&[
        ("w0", "r1", "gva-a", "ch-west", machine()),
        ("w1", "r2", "zrh-a", "ch-north", machine()),
    ]);
    assert_eq!(place(&mut bench, service(1)), "w1");
    assert_eq!(place(&mut bench, request(2, "a", cores(30))), "w1");
    assert_eq!(place(&mut bench, request(3, "a", cores(30))), "w0");
}

#[test]
fn index_finds_exact_fits() {
    let mut bench = bench(&[]);
    bench.gain("r1", 1, LARGE_LIMIT);
    for index in 0..200 {
        let millicores = 1_000 + index * 150;
        let memory_mib = 60_000 - index * 290;
        let capacity = Size {
            millicores,
            memory_mib,
            accelerators: 0,
            slots: 1,
        };
        bench.add(&format!("w{index}"), "r1", capacity);
    }
    for index in (0..200u64).rev() {
        let millicores = 1_000 + index * 150;
        let memory_mib = 60_000 - index * 290;
        let size = Size {
            millicores,
            memory_mib,
            accelerators: 0,
            slots: 1,
        };
        assert_eq!(
            starts(&bench.submit(request(u128::from(index), "a", size))).len(),
            1
        );
    }
}

#[test]
fn index_is_complete() {
    let mut bench = bench(&[]);
    bench.gain("r1", 1, LARGE_LIMIT);
    let mut free = Vec::new();
    for index in 0..100u64 {
        let capacity = Size {
            millicores: 1_000 + index * 7_919 % 40_000,
            memory_mib: 1_000 + index * 104_729 % 60_000,
            accelerators: index % 3,
            slots: 3,
        };
        bench.add(&format!("w{index}"), "r1", capacity);
        free.push(capacity);
    }
    for index in 0..400u64 {
        let size = Size {
            millicores: index * 6_151 % 20_000,
            memory_mib: index * 99_991 % 40_000,
            accelerators: index % 2,
            slots: 1,
        };
        let fits = free.iter().any(|available| size.fits(available));
        let started = starts(&bench.submit(request(u128::from(index), "a", size)));
        assert_eq!(started.len(), usize::from(fits), "{index}: {size:?}");
        for (_, worker) in started {
            let at: usize = worker[1..].parse().expect("a number");
            free[at] = free[at].minus(&size);
        }
    }
}

#[test]
fn target_rack_only() {
    let mut bench = bench(&[
        ("w0", "r1", "zrh-a", "ch-north", machine()),
        ("w1", "r2", "zrh-a", "ch-north", machine()),
    ]);
    let targeted = |id, epoch| Request {
        target: Some(Target {
            rack: "r2".into(),
            epoch,
        }),
        ..request(id, "a", cores(20))
    };
    assert_eq!(place(&mut bench, targeted(1, 1)), "w1");
    assert!(starts(&bench.submit(targeted(2, 1))).is_empty());
    let stale = bench.submit(targeted(3, 2));
    assert_eq!(answers(&stale), [(3, not_run(Reason::NoOwner))]);
    let ended = bench.ended(attempt(1, 1), "w1", Outcome::Done);
    assert_eq!(starts(&ended), [(attempt(2, 1), "w1".to_owned())]);
}

#[test]
fn distant_allotment_found() {
    let mut bench = Bench::new(Policy::Fair);
    bench.teams(&[team("a", 1)]);
    for rack in 0..40 {
        let held = if rack == 39 { LARGE_LIMIT } else { Size::ZERO };
        bench.gain(&format!("r{rack}"), 1, held);
        for index in 0..8 {
            bench.add(&format!("w{rack}-{index}"), &format!("r{rack}"), machine());
        }
    }
    assert!(place(&mut bench, request(1, "a", cores(1))).starts_with("w39-"));
}
