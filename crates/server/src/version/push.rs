//! Writes a change of the configuration and pushes it to all servers.

use std::collections::BTreeSet;
use std::time::Duration;

use azurepath_decide::allotment::Limit;
use azurepath_decide::config::{Acceptance, Change, Delta, Proposal, Refusal};
use azurepath_decide::fleet::Server;
use azurepath_decide::name::Name;
use azurepath_decide::ownership::Stored;
use azurepath_decide::resource::Kind;
use azurepath_wire::frame::{Document, Frame};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{Rollout, rows, store};
use crate::process::Process;

/// How long a server may act on its configuration after it was last shown to be current.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_secs(3);

/// The evidence lifetime plus a tenth, because clocks of servers may run at different speeds.
///
/// After this time, a server that does not answer no longer acts on an older revision.
const EVIDENCE_LIFETIME_WITH_DRIFT: Duration = Duration::from_millis(3_300);

/// The timeout of waiting until a change is in force.
const EDIT_TIMEOUT: Duration = Duration::from_secs(10);

/// The timeout of one push of a change to a server.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause between two checks whether the change is in force.
const POLL_PAUSE: Duration = Duration::from_millis(50);

/// Writes a change, pushes it to all servers and waits until it is in force.
///
/// # Errors
///
/// Returns [`Refusal`] if the change was not written, or if that is unknown.
pub async fn edit(process: &Process, proposal: Proposal) -> Result<Rollout, Refusal> {
    let change = store::edit(process.platform.table.as_ref(), proposal).await?;
    process.config.written(change.clone());
    Ok(push_to_all(process, change).await)
}

/// Pushes a change to all servers until it is in force, up to [`EDIT_TIMEOUT`].
async fn push_to_all(process: &Process, change: Change) -> Rollout {
    let others = other_servers(process);
    // A server that is considered dead may still act on the older revision for a while.
    let mut names = process.membership.others();
    names.extend(others.iter().map(|server| server.name.clone()));
    let mut acceptance = Acceptance::new(process.clock.now(), EVIDENCE_LIFETIME_WITH_DRIFT, names);
    let mut pushes = JoinSet::new();
    for server in others {
        pushes.spawn(push(process.clone(), server, change.clone()));
    }
    let end = Instant::now() + EDIT_TIMEOUT;
    loop {
        let now = process.clock.now();
        if acceptance.is_accepted(now) || Instant::now() >= end {
            break;
        }
        tokio::select! {
            Some(Ok(name)) = pushes.join_next(), if !pushes.is_empty() => {
                acceptance.acknowledge(process.clock.now(), &name);
            }
            () = tokio::time::sleep(POLL_PAUSE) => {}
        }
    }
    let accepted = acceptance.is_accepted(process.clock.now());
    let reclaiming = accepted && wait_for_reclaim(process, &change, end).await;
    // Servers whose evidence has expired get the change when they are reached again.
    pushes.abort_all();
    Rollout {
        change,
        waiting: if accepted {
            BTreeSet::new()
        } else {
            acceptance.waiting().clone()
        },
        reclaiming,
    }
}

fn other_servers(process: &Process) -> Vec<Server> {
    let view = process.view.borrow();
    let own = &process.settings.server.name;
    let others = view.servers.values().filter(|server| server.name != *own);
    others.cloned().collect()
}

/// Pushes a change to one server until the server confirms that it has applied it.
async fn push(process: Process, server: Server, change: Change) -> Name {
    let revision = change.revision;
    let delta = Delta::Changes(vec![change]);
    let json = serde_json::to_string(&delta).unwrap_or_default();
    let frame = Frame::Change(Document { json });
    loop {
        let reply = process.peers.control(&server, &frame, PUSH_TIMEOUT).await;
        match reply {
            Ok(Frame::Heartbeat(heartbeat)) if heartbeat.revision >= revision => {
                return server.name;
            }
            _ => tokio::time::sleep(POLL_PAUSE).await,
        }
    }
}

/// Waits until the allotments of all racks fit into a team's new limit, at most until `end`.
///
/// Returns whether they still exceed it.
async fn wait_for_reclaim(process: &Process, change: &Change, end: Instant) -> bool {
    if change.kind != Kind::Team {
        return false;
    }
    let key = rows::limit(&change.name);
    loop {
        let table = process.platform.table.as_ref();
        let stored: Result<Option<Stored<Limit>>, _> = store::read(table, &key).await;
        let in_force =
            stored.is_ok_and(|stored| stored.is_none_or(|limit| limit.row.is_respected()));
        if in_force || Instant::now() >= end {
            return !in_force;
        }
        tokio::time::sleep(POLL_PAUSE * 4).await;
    }
}
