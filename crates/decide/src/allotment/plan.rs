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
        Round::Take => have.plus(&demand.want.minus(&have).part_within(&limit.row.free())),
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
