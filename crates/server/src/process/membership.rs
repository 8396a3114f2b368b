//! Which servers live and who owns which rack.
//!
//! This form owns every rack that the instance list shows, at epoch 1.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use azurepath_decide::event::Event;
use azurepath_decide::fleet::{Owner, Server, View};
use azurepath_decide::name::Name;
use azurepath_decide::rack::Grant;
use azurepath_decide::size::Size;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::Process;

const EPOCH: u64 = 1;

/// What membership tells the other tasks.
#[derive(Debug)]
pub struct Outputs {
    /// The fleet as seen.
    pub view: watch::Sender<Arc<View>>,
    /// Whether every rack has been handed over, once the process is leaving.
    pub handed_over: watch::Sender<bool>,
}

/// Runs until `halt`.
pub async fn run(process: Process, outputs: Outputs, halt: CancellationToken) {
    outputs.handed_over.send_replace(true);
    let mut instances = process.instances.clone();
    let mut snapshot = process.snapshot.clone();
    loop {
        snapshot.borrow_and_update();
        let racks: BTreeSet<Name> = instances
            .borrow_and_update()
            .iter()
            .filter_map(|instance| instance.worker())
            .map(|worker| worker.rack)
            .collect();
        for rack in &racks {
            process.engine.event(Event::Gain(grant(&process, rack)));
        }
        outputs.view.send_replace(Arc::new(view(&process, &racks)));
        tokio::select! {
            () = halt.cancelled() => return,
            changed = instances.changed() => if changed.is_err() { return },
            changed = snapshot.changed() => if changed.is_err() { return },
        }
    }
}

fn grant(process: &Process, rack: &Name) -> Grant {
    let teams = process.snapshot.borrow().teams();
    Grant {
        rack: rack.clone(),
        epoch: EPOCH,
        allotments: teams
            .into_iter()
            .map(|team| (team.name, Size::MAX))
            .collect(),
    }
}

fn view(process: &Process, racks: &BTreeSet<Name>) -> View {
    let settings = &process.settings.server;
    let server = Server {
        name: settings.name.clone(),
        incarnation: process.incarnation,
        address: process.addresses.peers,
        failure_domain: settings.failure_domain.clone(),
        region: settings.region.clone(),
        leaving: false,
    };
    let owner = Owner {
        server: settings.name.clone(),
        incarnation: process.incarnation,
        epoch: EPOCH,
    };
    View {
        servers: BTreeMap::from([(settings.name.clone(), server)]),
        racks: racks
            .iter()
            .map(|rack| (rack.clone(), owner.clone()))
            .collect(),
    }
}
