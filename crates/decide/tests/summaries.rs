//! Summaries that owners send each other, and the dump of a cell.

mod support;

use azurepath_decide::action::Action;
use azurepath_decide::event::Event;
use azurepath_decide::rack::Demand;
use azurepath_decide::share::Summary;
use support::*;

fn published(actions: &[Action]) -> Vec<Summary> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Publish(summary) => Some(summary.clone()),
            _ => None,
        })
        .collect()
}

#[test]
fn rate_is_capped() {
    let mut bench = Bench::ready(1, machine());
    bench.wait(1_000);
    let mut count = 0;
    for id in 0..100 {
        count += published(&bench.submit(request(id, "a", cores(1)))).len();
        count += published(&bench.wait(100)).len();
    }
    assert!((1..=10).contains(&count), "{count}");
    bench.wait(1_000);
    assert!(published(&bench.wait(5_000)).is_empty());
}

#[test]
fn summary_shows_running() {
    let mut bench = Bench::ready(2, machine());
    bench.wait(1_000);
    for id in 0..3 {
        bench.submit(request(id, "a", cores(20)));
    }
    let summary = published(&bench.wait(1_000)).remove(0);
    assert_eq!(summary.capacity, machine().times(2));
    assert_eq!(summary.free.millicores, 24_000);
    assert_eq!(summary.ceiling, machine());
    assert_eq!(summary.teams["a"].running, cores(20).plus(&cores(20)));
    assert_eq!(summary.teams["a"].waiting, cores(20));
    assert!(!summary.wait.is_zero());
    assert_eq!(&*summary.racks[0], "r1");
}

#[test]
fn dump_is_document() {
    let mut bench = Bench::ready(1, machine());
    bench.submit(request(1, "a", cores(20)));
    bench.submit(request(2, "a", cores(20)));
    insta::assert_json_snapshot!(bench.cell.dump());
}

#[test]
fn lowered_limit_offered() {
    let mut bench = Bench::ready(1, machine());
    bench.table = None;
    bench.submit(request(1, "a", cores(4)));
    let demand = |want| Demand {
        rack: "r1".into(),
        team: "a".into(),
        want,
    };
    let offered = bench.send(Event::Reclaim(demand(cores(2))));
    let demands = vec![demand(cores(4))];
    assert!(offered.contains(&Action::Allot { demands }));
    assert!(starts(&bench.submit(request(2, "a", cores(1)))).is_empty());
}
