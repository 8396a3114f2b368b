//! The way to the instance that leads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::fleet::Server;
use azurepath_decide::name::Name;
use azurepath_wire::batch::{Call, Reply};
use azurepath_wire::frame::Frame;
use opentelemetry::metrics::Counter;
use slog::{Logger, info};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::leader;
use crate::connection::Error;
use crate::connection::call::{self, Broken};
use crate::connection::link::{self, Link};
use crate::connection::listener::Serve;
use crate::connection::ping::Pace;
use crate::connection::stream::{Reader, Writer};
use crate::metrics::Metrics;

/// How often a connection between instances is pinged; a silent one is found within this and the
/// timeout, well under the time that clients wait.
const PACE: Pace = Pace {
    interval: Duration::from_millis(400),
    timeout: Duration::from_millis(400),
};

/// How long an instance waits after it has heard that another one leads no more.
const NOT_LEADING_PAUSE: Duration = Duration::from_millis(20);

/// Who leads, as this instance knows.
#[derive(Clone, Debug)]
pub(super) enum Standing {
    /// Nobody is known to.
    None,
    /// This instance.
    Here(leader::Handle),
    /// Another one.
    There(Leader),
}

/// Another instance that leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Leader {
    /// Its name.
    pub(super) name: Name,
    /// Where it listens for its peers.
    pub(super) address: SocketAddr,
    /// Its epoch.
    pub(super) epoch: u64,
}

/// A way to reach the instance that leads, wherever it is.
#[derive(Clone)]
pub(super) struct Route {
    way: watch::Receiver<Way>,
    /// Told when the instance that is called leads no more.
    not_leading: Arc<Notify>,
}

#[derive(Clone)]
enum Way {
    None,
    Here(leader::Handle),
    There(link::Handle),
}

/// Keeps a connection to the instance that leads until `halt`.
pub(super) fn connect(
    standing: watch::Receiver<Standing>,
    log: &Logger,
    metrics: &Arc<Metrics>,
    halt: &CancellationToken,
    tasks: &mut JoinSet<()>,
) -> Route {
    let (sender, way) = watch::channel(Way::None);
    let keeper = Keeper {
        standing,
        way: sender,
        log: log.clone(),
        metrics: metrics.clone(),
    };
    tasks.spawn(keeper.run(halt.clone()));
    Route {
        way,
        not_leading: Arc::default(),
    }
}

struct Keeper {
    standing: watch::Receiver<Standing>,
    way: watch::Sender<Way>,
    log: Logger,
    metrics: Arc<Metrics>,
}

impl Keeper {
    async fn run(mut self, halt: CancellationToken) {
        loop {
            let standing = self.standing.borrow_and_update().clone();
            let stop = halt.child_token();
            let mut links = JoinSet::new();
            match standing {
                Standing::None => self.way.send_replace(Way::None),
                Standing::Here(handle) => self.way.send_replace(Way::Here(handle)),
                Standing::There(leader) => {
                    let way = self.open(leader, &stop, &mut links);
                    self.way.send_replace(way)
                }
            };
            let halted = tokio::select! {
                () = halt.cancelled() => true,
                changed = self.standing.changed() => changed.is_err(),
            };
            stop.cancel();
            while links.join_next().await.is_some() {}
            if halted {
                self.way.send_replace(Way::None);
                return;
            }
        }
    }

    fn open(&self, leader: Leader, stop: &CancellationToken, links: &mut JoinSet<()>) -> Way {
        info!(self.log, "another instance leads"; "leader" => %leader.name, "epoch" => leader.epoch);
        let (sender, receiver) = watch::channel(None);
        let hurry = Arc::new(Notify::new());
        let empty = Name::from("");
        let link = Link {
            server: Server {
                name: leader.name,
                incarnation: leader.epoch,
                address: leader.address,
                failure_domain: empty.clone(),
                region: empty,
                leaving: false,
            },
            pace: PACE,
            sender,
            hurry: hurry.clone(),
            metrics: self.metrics.clone(),
            log: self.log.clone(),
        };
        links.spawn(link.run(stop.clone()));
        Way::There(link::Handle {
            sender: receiver,
            hurry,
        })
    }
}

impl Route {
    /// Calls the instance that leads.
    ///
    /// # Errors
    ///
    /// Returns [`Broken`], which tells whether the call may have been taken.
    pub(super) async fn call(&self, call: Call, wait: Duration) -> Result<Reply, Broken> {
        let way = self.way.borrow().clone();
        match way {
            Way::None => Err(Broken::Unsent),
            Way::Here(handle) => match tokio::time::timeout(wait, handle.call(call)).await {
                Ok(Some(reply)) => Ok(reply),
                Ok(None) | Err(_) => Err(Broken::Lost),
            },
            Way::There(link) => {
                let frame = Frame::Call(Box::new(call));
                match call::control(&link, &frame, wait).await? {
                    Frame::Reply(reply) => {
                        if *reply == Reply::NotLeading {
                            self.not_leading.notify_one();
                        }
                        Ok(*reply)
                    }
                    _ => Err(Broken::Lost),
                }
            }
        }
    }

    /// Waits until the way to the leader changes.
    pub(super) async fn changed(&mut self) {
        // Without a sender the process ends, and waiting for ever is right.
        if self.way.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the instance that is called says that it leads no more.
    pub(super) async fn not_leading(&self) {
        self.not_leading.notified().await;
        // Many calls hear it at the same moment; one look at the store is enough.
        tokio::time::sleep(NOT_LEADING_PAUSE).await;
    }

    /// Waits until the connection to the instance that leads is lost; for ever where there is none.
    pub(super) async fn lost(&mut self) {
        let sender = match &*self.way.borrow() {
            Way::There(link) => Some(link.sender.clone()),
            Way::None | Way::Here(_) => None,
        };
        match sender {
            Some(mut sender) if sender.borrow().is_some() => {
                // Without a link there is nothing to lose any more.
                let _ = sender.wait_for(Option::is_none).await;
            }
            Some(_) | None => std::future::pending().await,
        }
    }

    /// Tells whether the instance that leads is connected.
    pub(super) fn is_open(&self) -> bool {
        match &*self.way.borrow() {
            Way::None => false,
            Way::Here(_) => true,
            Way::There(link) => link.sender.borrow().is_some(),
        }
    }

    /// Returns the handle of the leader where it is this instance.
    pub(super) fn here(&self) -> Option<leader::Handle> {
        match &*self.way.borrow() {
            Way::Here(handle) => Some(handle.clone()),
            Way::None | Way::There(_) => None,
        }
    }
}

/// Serves calls of other instances.
#[derive(Clone)]
pub(super) struct Service {
    pub(super) route: Route,
    pub(super) faults: Counter<u64>,
    pub(super) log: Logger,
}

impl Serve for Service {
    fn connected(&self) -> Service {
        self.clone()
    }

    fn pace(&self) -> Pace {
        PACE
    }

    fn log(&self) -> &Logger {
        &self.log
    }

    fn faults(&self) -> &Counter<u64> {
        &self.faults
    }

    async fn answer(&self, reader: &mut Reader, writer: &mut Writer) -> Result<(), Error> {
        let call = match reader.frame().await? {
            Frame::Call(call) => *call,
            other => {
                return Err(Error::Unexpected {
                    frame: (&other).into(),
                });
            }
        };
        let reply = match self.route.here() {
            Some(handle) => handle.call(call).await.ok_or(Error::Ended)?,
            None => Reply::NotLeading,
        };
        writer.send(&Frame::Reply(Box::new(reply)), true).await
    }
}

/// A call to the leader with the place for its reply.
pub(super) type Pending = (Call, oneshot::Sender<Reply>);
