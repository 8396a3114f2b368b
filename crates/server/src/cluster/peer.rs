//! Calls from this instance to the leader, and from other instances to this one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::fleet::Server;
use azurepath_decide::name::Name;
use azurepath_wire::batch::{Call, Reply};
use azurepath_wire::frame::Frame;
use slog::{Logger, info};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::leader;
use super::stop::Tasks;
use crate::connection::Error;
use crate::connection::call::{self, Failure};
use crate::connection::link::{self, Link};
use crate::connection::listener::Serve;
use crate::connection::ping::Timing;
use crate::connection::stream::{Reader, Writer};
use crate::metrics::{Cluster, Metrics};
use crate::settings::cluster::Settings;

/// How often a connection between instances is pinged. A silent connection is detected within the
/// interval and the timeout, well under the time that clients wait.
pub(super) const PING_TIMING: Timing = Timing {
    interval: Duration::from_millis(400),
    timeout: Duration::from_millis(400),
};

/// The speed of the fastest link over which connections between instances are compressed, in kbit/s.
/// On a faster one it would only cost processor time.
const MAX_COMPRESSED_KBPS: u64 = 10_000;

/// How long an instance waits after another one has answered that it is no longer the leader.
const NOT_LEADING_PAUSE: Duration = Duration::from_millis(20);

/// The leader as known to this instance.
#[derive(Clone, Debug)]
pub(super) enum Leadership {
    /// No leader is known.
    Unknown,
    /// This instance leads.
    Local(leader::Handle),
    /// Another instance leads.
    Remote(Leader),
}

/// Another instance that leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Leader {
    /// Its name.
    pub(super) name: Name,
    /// The address that it listens on for its peers.
    pub(super) address: SocketAddr,
    /// Its epoch.
    pub(super) epoch: u64,
}

/// Routes calls to the leader, whether it is this instance or another one.
#[derive(Clone)]
pub(super) struct Route {
    target: watch::Receiver<Target>,
    /// Notified when the called instance answers that it is not the leader.
    not_leading: Arc<Notify>,
}

#[derive(Clone)]
enum Target {
    None,
    Local(leader::Handle),
    Remote(link::Handle),
}

/// Keeps a connection to the leader until `halt` is cancelled.
pub(super) fn connect(
    leadership: watch::Receiver<Leadership>,
    settings: watch::Receiver<Arc<Settings>>,
    log: &Logger,
    metrics: &Arc<Metrics>,
    halt: &CancellationToken,
    tasks: &mut Tasks,
) -> Route {
    let (sender, target) = watch::channel(Target::None);
    let connector = Connector {
        leadership,
        settings,
        target: sender,
        log: log.clone(),
        metrics: metrics.clone(),
    };
    tasks.spawn("route", connector.run(halt.clone()));
    Route {
        target,
        not_leading: Arc::default(),
    }
}

struct Connector {
    leadership: watch::Receiver<Leadership>,
    settings: watch::Receiver<Arc<Settings>>,
    target: watch::Sender<Target>,
    log: Logger,
    metrics: Arc<Metrics>,
}

impl Connector {
    async fn run(mut self, halt: CancellationToken) {
        loop {
            let leadership = self.leadership.borrow_and_update().clone();
            let stop = halt.child_token();
            let mut links = JoinSet::new();
            match leadership {
                Leadership::Unknown => self.target.send_replace(Target::None),
                Leadership::Local(handle) => self.target.send_replace(Target::Local(handle)),
                Leadership::Remote(leader) => {
                    let target = self.open(leader, &stop, &mut links);
                    self.target.send_replace(target)
                }
            };
            let halted = tokio::select! {
                () = halt.cancelled() => true,
                changed = self.leadership.changed() => changed.is_err(),
            };
            stop.cancel();
            while links.join_next().await.is_some() {}
            if halted {
                self.target.send_replace(Target::None);
                return;
            }
        }
    }

    fn open(&self, leader: Leader, stop: &CancellationToken, links: &mut JoinSet<()>) -> Target {
        info!(self.log, "another instance leads"; "leader" => %leader.name, "epoch" => leader.epoch);
        let (sender, receiver) = watch::channel(None);
        let ping_now = Arc::new(Notify::new());
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
            ping_timing: PING_TIMING,
            compress: self.settings.borrow().link_kbps <= MAX_COMPRESSED_KBPS,
            sender,
            ping_now: ping_now.clone(),
            metrics: self.metrics.clone(),
            log: self.log.clone(),
        };
        links.spawn(link.run(stop.clone()));
        Target::Remote(link::Handle {
            sender: receiver,
            ping_now,
        })
    }
}

impl Route {
    /// Calls the leader.
    ///
    /// # Errors
    ///
    /// Returns [`Failure`], which tells whether the call may have reached the leader.
    pub(super) async fn call(&self, call: Call, wait: Duration) -> Result<Reply, Failure> {
        let target = self.target.borrow().clone();
        match target {
            Target::None => Err(Failure::Unsent),
            Target::Local(handle) => match tokio::time::timeout(wait, handle.call(call)).await {
                Ok(Some(reply)) => Ok(reply),
                Ok(None) | Err(_) => Err(Failure::Lost),
            },
            Target::Remote(link) => {
                let frame = Frame::Call(Box::new(call));
                match call::control(&link, &frame, wait).await? {
                    Frame::Reply(reply) => {
                        if *reply == Reply::NotLeading {
                            self.not_leading.notify_one();
                        }
                        Ok(*reply)
                    }
                    _ => Err(Failure::Lost),
                }
            }
        }
    }

    /// Waits until the target of calls changes.
    pub(super) async fn changed(&mut self) {
        // Without a sender the process is ending, so this never returns.
        if self.target.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the called instance answers that it is not the leader.
    pub(super) async fn not_leading(&self) {
        self.not_leading.notified().await;
        // Many calls get this answer at the same time; one read of the store is enough.
        tokio::time::sleep(NOT_LEADING_PAUSE).await;
    }

    /// Waits until the connection to the leader is lost. Without a connection it never returns.
    pub(super) async fn disconnected(&mut self) {
        let sender = match &*self.target.borrow() {
            Target::Remote(link) => Some(link.sender.clone()),
            Target::None | Target::Local(_) => None,
        };
        match sender {
            Some(mut sender) if sender.borrow().is_some() => {
                // An error means that the link has ended, so the connection is lost as well.
                let _ = sender.wait_for(Option::is_none).await;
            }
            Some(_) | None => std::future::pending().await,
        }
    }

    /// Tells whether another instance leads.
    pub(super) fn is_remote(&self) -> bool {
        matches!(&*self.target.borrow(), Target::Remote(_))
    }

    /// Tells whether the leader is connected.
    pub(super) fn is_connected(&self) -> bool {
        match &*self.target.borrow() {
            Target::None => false,
            Target::Local(_) => true,
            Target::Remote(link) => link.sender.borrow().is_some(),
        }
    }

    /// Returns the handle of the leader if this instance leads.
    pub(super) fn local_leader(&self) -> Option<leader::Handle> {
        match &*self.target.borrow() {
            Target::Local(handle) => Some(handle.clone()),
            Target::None | Target::Remote(_) => None,
        }
    }
}

/// Serves calls of other instances.
#[derive(Clone)]
pub(super) struct Service {
    pub(super) route: Route,
    pub(super) counts: Arc<Cluster>,
}

impl Serve for Service {
    fn for_connection(&self) -> Service {
        self.clone()
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
        let kind: &'static str = (&call).into();
        let reply = match self.route.local_leader() {
            Some(handle) => handle.call(call).await.ok_or(Error::Ended)?,
            None => Reply::NotLeading,
        };
        let sent = writer.send(&Frame::Reply(Box::new(reply)), true).await;
        self.counts
            .count_bytes(kind, writer.sent(), reader.received());
        sent
    }
}

/// A call that waits for the leader's task.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) call: Call,
    pub(super) reply: oneshot::Sender<Reply>,
    /// When this instance received it.
    pub(super) received: Instant,
}
