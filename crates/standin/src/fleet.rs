//! A platform and the workers registered with it.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use azurepath_services::instance::{Instance, Role, State};

use crate::{platform, worker};

/// A rack of identical workers.
#[derive(Clone, Debug)]
pub struct Rack {
    /// The rack's name, which is also the prefix of its workers' names.
    pub name: Name,
    /// The failure domain of the rack.
    pub failure_domain: Name,
    /// The region of the failure domain.
    pub region: Name,
    /// How many workers it has.
    pub workers: u32,
    /// The capacity of each worker.
    pub capacity: Size,
}

impl Rack {
    /// Returns a rack of two workers with 32 cores, 64 GiB, 2 accelerators and 8 slots each.
    pub fn new(name: &str, failure_domain: &str, region: &str) -> Rack {
        Rack {
            name: name.into(),
            failure_domain: failure_domain.into(),
            region: region.into(),
            workers: 2,
            capacity: Size {
                millicores: 32_000,
                memory_mib: 64 * 1_024,
                accelerators: 2,
                slots: 8,
            },
        }
    }

    /// Returns four racks with two workers each: two in the failure domain zrh-a of one owner and
    /// two in dar-kariakoo of the other.
    pub fn both_owners() -> Vec<Rack> {
        vec![
            Rack::new("zrh-a-r1", "zrh-a", "ch-north"),
            Rack::new("zrh-a-r2", "zrh-a", "ch-north"),
            Rack::new("dar-kariakoo-r1", "dar-kariakoo", "dar"),
            Rack::new("dar-kariakoo-r2", "dar-kariakoo", "dar"),
        ]
    }
}

/// A platform and its workers.
pub struct Fleet {
    /// The platform.
    pub platform: platform::Standin,
    /// The workers, ordered by rack.
    pub workers: Vec<worker::Standin>,
}

impl Fleet {
    /// Starts a platform and the workers of the racks, and registers the workers.
    ///
    /// # Errors
    ///
    /// Fails if it can't bind a port or start a thread.
    pub fn start(racks: &[Rack]) -> Result<Fleet> {
        let platform = platform::Standin::start()?;
        let mut workers = Vec::new();
        for rack in racks {
            for number in 1..=rack.workers {
                let worker = start_worker(rack, number)?;
                platform.register(instance(rack, &worker));
                workers.push(worker);
            }
        }
        Ok(Fleet { platform, workers })
    }

    /// Returns the address of the table service, object store and instance list.
    pub fn address(&self) -> SocketAddr {
        self.platform.address()
    }

    /// Returns the worker with a name.
    pub fn worker(&self, name: &str) -> Option<&worker::Standin> {
        self.workers.iter().find(|worker| &*worker.name() == name)
    }

    /// Returns the record of each worker.
    pub fn records(&self) -> Vec<(Name, worker::Record)> {
        let each = |worker: &worker::Standin| (worker.name(), worker.record());
        self.workers.iter().map(each).collect()
    }

    /// Stops all stand-ins and waits for their end.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in has panicked.
    pub async fn stop(self) -> Result<()> {
        for worker in self.workers {
            worker.stop().await?;
        }
        self.platform.stop().await
    }
}

fn start_worker(rack: &Rack, number: u32) -> Result<worker::Standin> {
    worker::Standin::start(worker::Settings {
        name: format!("{}-w{number}", rack.name).into(),
        capacity: rack.capacity,
        usage_lag: Duration::from_millis(500),
    })
}

fn instance(rack: &Rack, worker: &worker::Standin) -> Instance {
    Instance {
        name: worker.name(),
        address: worker.address(),
        role: Role::Worker {
            rack: rack.name.clone(),
            capacity: rack.capacity,
        },
        failure_domain: rack.failure_domain.clone(),
        region: rack.region.clone(),
        state: State::Live,
    }
}
