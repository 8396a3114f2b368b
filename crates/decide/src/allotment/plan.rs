//! Planning of one transaction that serves many demands.

use std::collections::BTreeMap;

use super::{Limit, Plan};
use crate::name::Name;
use crate::ownership::{Rack, Stored};
use crate::rack::Demand;
use crate::size::Size;

/// Returns the rows that meet the demands as far as the limits allow.
///
/// Amounts that racks give back are released first, so that they can serve other demands of the
/// same plan. Demands of racks or teams without a row are ignored.
pub fn plan(
    demands: &[Demand],
    limits: &BTreeMap<Name, Stored<Limit>>,
    racks: &BTreeMap<Name, Stored<Rack>>,
) -> Plan {
    let mut plan = Plan::default();
    for demand in demands {
        apply(&mut plan, demand, limits, racks, Pass::Release);
    }
    for demand in demands {
        apply(&mut plan, demand, limits, racks, Pass::Grant);
    }
    plan
}

/// The two passes over the demands.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Pass {
    /// Racks give back what they hold beyond their demand.
    Release,
    /// Racks get what they demand, as far as the free part of the limit allows.
    Grant,
}

/// Applies one pass of one demand to the rows of the rack and of the limit.
fn apply(
    plan: &mut Plan,
    demand: &Demand,
    limits: &BTreeMap<Name, Stored<Limit>>,
    racks: &BTreeMap<Name, Stored<Rack>>,
    pass: Pass,
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
    let current = allotments.get(&demand.team).copied().unwrap_or_default();
    let new = match pass {
        Pass::Release => Size::min(&current, &demand.want),
        Pass::Grant => current.plus(&demand.want.minus(&current).part_within(&limit.row.free())),
    };
    let held = limit.row.held.minus(&current).plus(&new);
    let row =
        Limit { held, ..limit.row }.after_demand(pass == Pass::Release || demand.want.fits(&new));
    if new == current {
        if row != limit.row {
            limit.row = row;
            plan.limits.insert(demand.team.clone(), limit);
        }
        return;
    }
    limit.row = row;
    if new.is_zero() {
        allotments.remove(&demand.team);
    } else {
        allotments.insert(demand.team.clone(), new);
    }
    plan.limits.insert(demand.team.clone(), limit);
    plan.racks.insert(demand.rack.clone(), rack);
}
