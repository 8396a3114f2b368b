//! What lives as long as a version of the configuration.
//!
//! This form reads the resources from the table each second, from the rows `resource/KIND/NAME`.

pub mod key;

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::config::{Entry, Snapshot};
use azurepath_decide::event::Event;
use azurepath_decide::resource::Resource;
use azurepath_platform::table::Row;
use azurepath_wire::frame::Frame;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::process::{Control, Process};

pub use key::{Denied, authorize};

const PREFIX: &str = "resource/";
const PAGE_ROWS: u32 = 1000;
const READING: Duration = Duration::from_secs(1);

/// Runs until `halt`.
pub async fn run(
    process: Process,
    snapshot: watch::Sender<Arc<Snapshot>>,
    mut control: mpsc::Receiver<Control>,
    halt: CancellationToken,
) {
    let mut reading = tokio::time::interval(READING);
    loop {
        tokio::select! {
            () = halt.cancelled() => return,
            _ = reading.tick() => {}
            received = control.recv() => {
                let Some(received) = received else { return };
                // The peer may have gone meanwhile.
                let _ = received.reply.send(Frame::Done);
                continue;
            }
        }
        let Some(read) = read(&process).await else {
            continue;
        };
        if read.revision > snapshot.borrow().revision {
            process.engine.event(Event::Configure {
                revision: read.revision,
                teams: read.teams(),
            });
            snapshot.send_replace(Arc::new(read));
        }
    }
}

async fn read(process: &Process) -> Option<Snapshot> {
    let mut snapshot = Snapshot::default();
    let mut after: Option<String> = None;
    loop {
        let table = &process.platform.table;
        let page = table.scan(PREFIX, after.as_deref(), PAGE_ROWS).await.ok()?;
        page.rows
            .into_iter()
            .for_each(|row| add(&mut snapshot, row));
        after = page.next;
        if after.is_none() {
            return Some(snapshot);
        }
    }
}

fn add(snapshot: &mut Snapshot, row: Row) {
    let Ok(resource) = serde_json::from_value::<Resource>(row.value) else {
        return;
    };
    snapshot.revision = snapshot.revision.max(row.revision);
    let kind = snapshot.entries.entry(resource.kind()).or_default();
    let entry = Entry {
        revision: row.revision,
        resource: resource.clone(),
    };
    kind.insert(resource.name().clone(), entry);
}
