//! Workers, racks and servers as this server sees them, which are read-only.

use azurepath_decide::fleet::Owner;
use azurepath_decide::name::Name;
use azurepath_services::instance::{Instance, Role};
use http::StatusCode;
use serde_json::{Value, json};
use strum::{Display, EnumIter, EnumString};
use volo_http::response::Response;

use super::problem::Problem;
use crate::process::Process;

/// A part of the observed fleet.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Collection {
    /// The workers of the instance list.
    Workers,
    /// The racks and their owners.
    Racks,
    /// The live servers.
    Servers,
}

/// Builds the response with all items of a collection, or with the one of a name.
pub(super) fn get(
    process: &Process,
    collection: Collection,
    name: Option<&str>,
) -> Result<Response, Problem> {
    let items = match collection {
        Collection::Workers => workers(process),
        Collection::Racks => racks(process),
        Collection::Servers => servers(process),
    };
    let Some(name) = name else {
        return Ok(super::json(StatusCode::OK, &json!({"items": items})));
    };
    let found = items.into_iter().find(|item| item["name"] == name);
    Ok(super::json(StatusCode::OK, &found.ok_or(Problem::Missing)?))
}

fn workers(process: &Process) -> Vec<Value> {
    let instances = process.instances.borrow().clone();
    let document = |instance: &Instance| match &instance.role {
        Role::Server => None,
        Role::Worker { rack, capacity } => Some(json!({
            "name": instance.name,
            "rack": rack,
            "failure_domain": instance.failure_domain,
            "region": instance.region,
            "capacity": capacity,
            "state": instance.state,
        })),
    };
    instances.iter().filter_map(document).collect()
}

fn racks(process: &Process) -> Vec<Value> {
    let view = process.view.borrow().clone();
    let document = |(name, owner): (&Name, &Owner)| {
        json!({
            "name": name,
            "owner": owner.server,
            "epoch": owner.epoch,
            "owner_live": view.owner(name).is_some(),
        })
    };
    view.racks.iter().map(document).collect()
}

fn servers(process: &Process) -> Vec<Value> {
    let view = process.view.borrow().clone();
    let servers = view.servers.values();
    servers.map(|server| json!(server)).collect()
}
