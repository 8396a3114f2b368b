//! One transaction from many demands.

use std::collections::BTreeMap;

use super::{Limit, Plan};
use crate::name::Name;
use crate::ownership::{Rack, Stored};
use crate::rack::Demand;
use crate::size::Size;

/// Returns the rows that meet the demands as far as the limits have room.
///
/// What is given back is taken up first, so that it serves the other demands of the same plan.
/// Demands of racks or teams without a row are left out.
pub fn plan(
    demands: &[Demand],
    limits: &BTreeMap<Name, Stored<Limit>>,
    racks: &BTreeMap<Name, Stored<Rack>>,
) -> Plan {
    let mut plan = Plan::default();
    for demand in demands {
        change(&mut plan, demand, limits, racks, Round::GiveBack);
    }
    for demand in demands {
        change(&mut plan, demand, limits, racks, Round::Take);
    }
    plan
}

/// The rounds of a plan.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Round {
    /// Racks give back all that they do not want.
    GiveBack,
    /// Racks take what they want, as far as there is room.
    Take,
}

/// Changes what one rack holds of one limit, in both rows.
fn change(
    plan: &mut Plan,
    demand: &Demand,
    limits: &BTreeMap<Name, Stored<Limit>>,
    racks: &BTreeMap<Name, Stored<Rack>>,
    round: Round,
) {
    let limit = plan.limits.get(&demand.team);
    let rack = plan.racks.get(&demand.rack);
    let (Some(limit), Some(rack)) = (
        limit.or_else(|| limits.get(&demand.team)),
        rack.or_else(|| racks.get(&demand.rack)),
    ) else {
        return;
    };
    let (mut limit, mut rack) = (limit.clone(), rack.clone());
    let allotments = &mut rack.row.allotments;
    let have = allotments.get(&demand.team).copied().unwrap_or_default();
    let hold = match round {
        Round::GiveBack => Size::min(&have, &demand.want),
        Round::Take => have.plus(&part(&demand.want.minus(&have), &limit.row.free())),
    };
    let held = limit.row.held.minus(&have).plus(&hold);
    let row = Limit { held, ..limit.row }
        .after_demand(round == Round::GiveBack || demand.want.fits(&hold));
    if hold == have {
        if row != limit.row {
            limit.row = row;
            plan.limits.insert(demand.team.clone(), limit);
        }
        return;
    }
    limit.row = row;
    if hold.is_zero() {
        allotments.remove(&demand.team);
    } else {
        allotments.insert(demand.team.clone(), hold);
    }
    plan.limits.insert(demand.team.clone(), limit);
    plan.racks.insert(demand.rack.clone(), rack);
}

/// Returns the largest part of `want`, in the same proportions, that fits into `free`.
///
/// Resources in other proportions could not be used together and would be stranded.
fn part(want: &Size, free: &Size) -> Size {
    let pairs = [
        (want.millicores, free.millicores),
        (want.memory_mib, free.memory_mib),
        (want.accelerators, free.accelerators),
        (want.slots, free.slots),
    ];
    // The smallest of the fractions free / want; 1 where everything fits.
    let (room, of) = pairs
        .into_iter()
        .filter(|(want, free)| want > free)
        .map(|(want, free)| (u128::from(free), u128::from(want)))
        .min_by(|a, b| (a.0 * b.1).cmp(&(b.0 * a.1)))
        .unwrap_or((1, 1));
    let scale = |amount: u64| {
        let scaled = u128::from(amount) * room / of;
        u64::try_from(scaled).unwrap_or(u64::MAX)
    };
    Size {
        millicores: scale(want.millicores),
        memory_mib: scale(want.memory_mib),
        accelerators: scale(want.accelerators),
        slots: scale(want.slots),
    }
}
