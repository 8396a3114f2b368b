//! Summaries that are sent as differences to earlier ones.

use std::time::Duration;

use azurepath_decide::share::{Summary, Tally};
use azurepath_decide::size::Size;
use azurepath_wire::codec;
use azurepath_wire::frame::Frame;
use azurepath_wire::summary as wire;
use proptest::prelude::*;

fn size(cores: u64) -> Size {
    Size {
        millicores: cores * 1_000,
        memory_mib: cores * 2_048,
        accelerators: cores % 3,
        slots: cores,
    }
}

fn summary(sequence: u64, teams: &[(u8, u64)], free: u64) -> Summary {
    let tally = |cores| Tally {
        running: size(cores),
        waiting: Size::ZERO,
        allotted: size(cores + 1),
    };
    Summary {
        server: "s1".into(),
        sequence,
        racks: vec!["r1".into(), format!("r{}", free % 2).into()],
        capacity: size(256),
        free: size(free),
        largest: size(free),
        ceiling: size(32),
        wait: Duration::from_millis(free),
        teams: teams
            .iter()
            .map(|(team, cores)| (format!("team-{team}").into(), tally(*cores)))
            .collect(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn round_trip(
        old in proptest::collection::vec((0_u8..12, 0_u64..40), 0..12),
        new in proptest::collection::vec((0_u8..12, 0_u64..40), 0..12),
        free in any::<(u8, u8)>(),
    ) {
        let old = summary(4, &old, free.0.into());
        let new = summary(7, &new, free.1.into());
        let difference = wire::Summary::since(&new, Some(&old));
        prop_assert_eq!(difference.rebuild(Some(&old)), Ok(new.clone()));
        let whole = wire::Summary::from(&new);
        prop_assert_eq!(whole.rebuild(None), Ok(new));
    }
}

#[test]
fn missing_base() {
    let old = summary(4, &[(1, 2)], 9);
    let other = summary(5, &[(1, 3)], 9);
    let new = summary(6, &[(1, 4)], 9);
    let difference = wire::Summary::since(&new, Some(&old));
    let missing = wire::MissingBase {
        server: "s1".to_owned(),
        base: 4,
    };
    assert_eq!(
        difference.clone().rebuild(Some(&other)),
        Err(missing.clone())
    );
    assert_eq!(difference.rebuild(None), Err(missing));
}

#[test]
fn whole_without_resources() {
    let mut incomplete = wire::Summary::from(&summary(6, &[], 1));
    incomplete.resources = None;
    assert!(incomplete.rebuild(None).is_err());
}

#[test]
fn smaller_than_whole() {
    let teams: Vec<(u8, u64)> = (0..83).map(|team| (team, 5)).collect();
    let old = summary(4, &teams, 9);
    let mut changed = teams.clone();
    changed[3].1 = 6;
    let new = summary(5, &changed, 9);
    let length = |summary: wire::Summary| {
        let bytes = codec::encode(&Frame::Summary(summary));
        bytes.expect("a summary is short").len()
    };
    let difference = length(wire::Summary::since(&new, Some(&old)));
    assert!(difference * 20 < length(wire::Summary::from(&new)));
}
