//! Which instances carry start orders for a leader with a narrow link.

use azurepath_decide::batch::carrier::{Capacity, Carriers};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;

const NOW: Time = Time::from_millis(10_000);

/// Lets an instance renew a worker and take orders.
fn ready(carriers: &mut Carriers, name: &Name, link_kbps: u64) {
    let capacity = Capacity {
        millicores: 500,
        link_kbps,
    };
    // Each instance is the only one of its failure domain.
    carriers.hear(name, name, capacity, NOW);
    assert_eq!(carriers.assign(name, NOW).as_ref(), Some(name));
    carriers.mark_ready(name, link_kbps);
}

fn names() -> Vec<Name> {
    (0..6)
        .map(|number| Name::from(format!("i{number}")))
        .collect()
}

/// Six instances, and the jobs of a busy second: four of forty tasks and sixty of four.
#[test]
fn spread_load() {
    let mut carriers = Carriers::default();
    let mut orders = vec![0; 6];
    for name in names() {
        ready(&mut carriers, &name, 2_000);
    }
    for number in 0..64 {
        let tasks = if number % 16 == 0 { 40 } else { 4 };
        let chosen = carriers.choose(tasks).expect("all take orders");
        let index = names().iter().position(|name| *name == chosen);
        orders[index.expect("it is known")] += tasks;
    }
    // A step has one carrier, so instances may differ by one large job, and no more.
    let most = orders.iter().max().copied().unwrap_or_default();
    let least = orders.iter().min().copied().unwrap_or_default();
    assert!(most - least <= 40, "{orders:?}");
}

#[test]
fn wide_link() {
    let mut carriers = Carriers::default();
    let mut wide = 0;
    ready(&mut carriers, &Name::from("narrow"), 20_000);
    ready(&mut carriers, &Name::from("wide"), 200_000);
    for _ in 0..110 {
        let chosen = carriers.choose(4).expect("both take orders");
        wide += usize::from(*chosen == *"wide");
    }
    assert_eq!(wide, 100);
}

#[test]
fn lost_order() {
    let mut carriers = Carriers::default();
    let (a, b) = (Name::from("a"), Name::from("b"));
    ready(&mut carriers, &a, 2_000);
    assert_eq!(carriers.choose(1), Some(a.clone()));
    carriers.mark_done(&a, true);
    assert_eq!(carriers.choose(1), None);
    ready(&mut carriers, &b, 2_000);
    assert_eq!(carriers.choose(1), Some(b.clone()));
    carriers.mark_ready(&a, 2_000);
    assert_eq!(carriers.choose(1), Some(a));
}

#[test]
fn none_ready() {
    let mut carriers = Carriers::default();
    let a = Name::from("a");
    assert_eq!(carriers.choose(1), None);
    ready(&mut carriers, &a, 2_000);
    carriers.mark_gone(&a);
    assert_eq!(carriers.choose(1), None);
    // An instance without workers has no connections to them.
    carriers.mark_ready(&Name::from("b"), 2_000);
    assert_eq!(carriers.choose(1), None);
}

/// Workers go to instances of their own failure domain, and to no more than these can serve.
#[test]
fn near_workers() {
    let mut carriers = Carriers::default();
    let capacity = Capacity {
        millicores: 120,
        link_kbps: 20_000,
    };
    let (east, west) = (Name::from("east"), Name::from("west"));
    for (name, domain) in names()
        .iter()
        .zip([&east, &east, &east, &west, &west, &west])
    {
        carriers.hear(name, domain, capacity, NOW);
    }
    let limit = capacity.workers();
    for number in 0..6 * limit {
        let domain = if number % 3 == 0 { &east } else { &west };
        let chosen = carriers.assign(domain, NOW).expect("there is room");
        let near = (*chosen < *"i3") == (domain == &east);
        // The west is full after three quarters.
        assert!(
            near || number > 4 * limit,
            "worker {number} went to {chosen}"
        );
    }
    assert_eq!(carriers.assign(&east, NOW), None);
    carriers.unassign(&names()[0]);
    assert_eq!(carriers.assign(&west, NOW), Some(names()[0].clone()));
}

#[test]
fn silent_instance() {
    let mut carriers = Carriers::default();
    let (a, domain) = (Name::from("a"), Name::from("east"));
    let capacity = Capacity {
        millicores: 500,
        link_kbps: 200_000,
    };
    carriers.hear(&a, &domain, capacity, NOW);
    assert_eq!(carriers.assign(&domain, NOW), Some(a.clone()));
    let later = Time::from_millis(12_000);
    assert!(carriers.silent(later).is_empty());
    let later = Time::from_millis(12_500);
    assert_eq!(carriers.silent(later), std::slice::from_ref(&a));
    assert_eq!(carriers.assign(&domain, later), None);
    carriers.unassign(&a);
    assert!(carriers.silent(later).is_empty());
}

/// The leaders of the earlier deployments serve their workers themselves; those with hundreds of
/// workers for each half core, or with narrow links, do not.
#[test]
fn needed_when() {
    let leader = |millicores, link_kbps| Capacity {
        millicores,
        link_kbps,
    };
    assert!(!leader(250, 1_000_000).needs_carriers(48));
    assert!(!leader(500, 200_000).needs_carriers(350));
    assert!(leader(500, 200_000).needs_carriers(1_100));
    assert!(leader(120, 20_000).needs_carriers(350));
    assert!(leader(120, 2_000).needs_carriers(120));
}
