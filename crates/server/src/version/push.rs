//! One change on its way into force everywhere.

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

use super::{Accepted, rows, store};
use crate::process::Process;

/// How long a piece of evidence counts.
pub const WINDOW: Duration = Duration::from_secs(3);

/// The window with a tenth for clocks that drift apart.
const LAPSE: Duration = Duration::from_millis(3_300);

/// How long an operator waits for a change to be in force.
const PATIENCE: Duration = Duration::from_secs(10);

/// How long a server may take to acknowledge a change.
const PUSH_WAIT: Duration = Duration::from_secs(1);

/// The pause between two looks at what is still waited for.
const LOOK: Duration = Duration::from_millis(50);

/// Writes a change, pushes it to all servers and waits until it is in force.
///
/// # Errors
///
/// Returns [`Refusal`] where it was not written, or may not have been.
pub async fn edit(process: &Process, proposal: Proposal) -> Result<Accepted, Refusal> {
    let change = store::edit(process.platform.table.as_ref(), proposal).await?;
    process.config.written(change.clone());
    Ok(spread(process, change).await)
}

/// Pushes a change to all servers until it is accepted, for a bounded time.
async fn spread(process: &Process, change: Change) -> Accepted {
    let others = others(process);
    // A server that is taken to be dead may still act on the older revision for a while.
    let mut names = process.membership.others();
    names.extend(others.iter().map(|server| server.name.clone()));
    let mut acceptance = Acceptance::new(process.clock.now(), LAPSE, names);
    let mut pushes = JoinSet::new();
    for server in others {
        pushes.spawn(push(process.clone(), server, change.clone()));
    }
    let end = Instant::now() + PATIENCE;
    loop {
        let now = process.clock.now();
        if acceptance.is_accepted(now) || Instant::now() >= end {
            break;
        }
        tokio::select! {
            Some(Ok(name)) = pushes.join_next(), if !pushes.is_empty() => {
                acceptance.acknowledge(process.clock.now(), &name);
            }
            () = tokio::time::sleep(LOOK) => {}
        }
    }
    let accepted = acceptance.is_accepted(process.clock.now());
    let reclaiming = accepted && reclaiming(process, &change, end).await;
    // Servers that lapsed get the change when they are reached again.
    pushes.abort_all();
    Accepted {
        change,
        waiting: if accepted {
            BTreeSet::new()
        } else {
            acceptance.waiting().clone()
        },
        reclaiming,
    }
}

fn others(process: &Process) -> Vec<Server> {
    let view = process.view.borrow();
    let own = &process.settings.server.name;
    let others = view.servers.values().filter(|server| server.name != *own);
    others.cloned().collect()
}

/// Pushes a change to one server until it says that it has it.
async fn push(process: Process, server: Server, change: Change) -> Name {
    let revision = change.revision;
    let delta = Delta::Changes(vec![change]);
    let json = serde_json::to_string(&delta).unwrap_or_default();
    let frame = Frame::Change(Document { json });
    loop {
        let reply = process.peers.control(&server, &frame, PUSH_WAIT).await;
        match reply {
            Ok(Frame::Heartbeat(beat)) if beat.revision >= revision => return server.name,
            _ => tokio::time::sleep(LOOK).await,
        }
    }
}

/// Waits until racks hold no more of a team's limit than it allows; returns whether they hold more
/// at the end.
async fn reclaiming(process: &Process, change: &Change, end: Instant) -> bool {
    if change.kind != Kind::Team {
        return false;
    }
    let key = rows::limit(&change.name);
    loop {
        let table = process.platform.table.as_ref();
        let stored: Result<Option<Stored<Limit>>, _> = store::read(table, &key).await;
        let in_force =
            stored.is_ok_and(|stored| stored.is_none_or(|limit| limit.row.is_in_force()));
        if in_force || Instant::now() >= end {
            return !in_force;
        }
        tokio::time::sleep(LOOK * 4).await;
    }
}
