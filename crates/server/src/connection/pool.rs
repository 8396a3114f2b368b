//! The pool of links to all other servers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::fleet::{Server, View};
use azurepath_decide::name::Name;
use azurepath_decide::request::Id;
use azurepath_decide::share::Summary;
use azurepath_wire::frame::{Frame, Target, Task};
use serde_json::{Value, json};
use slog::Logger;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::call::{self, Call, Failure};
use super::link::{self, Link};
use super::ping::Timing;
use super::publish::{Budget, Publisher};
use crate::metrics::Metrics;
use crate::process::clock::Clock;
use crate::process::engine::{Reply, Submission};

/// The timeout of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// A message to the pool.
#[derive(Debug)]
enum Message {
    /// Requests the link to a server.
    Open(Server, oneshot::Sender<link::Handle>),
    /// Cancels a request on a server because its caller has gone.
    Cancel(Server, Id),
    /// Requests the state of the links.
    Dump(oneshot::Sender<Value>),
}

/// Sends requests and control frames to other servers.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::UnboundedSender<Message>,
    reply_limit: u64,
}

impl Handle {
    /// Sends a request to the server that owns its rack and waits for the complete reply.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`], which tells whether the server may have received the request.
    pub async fn submit(
        &self,
        server: &Server,
        submission: &Submission,
        clock: Clock,
        resume: bool,
    ) -> Result<Reply, Failure> {
        let link = self.open(server).await?;
        let request = &submission.request;
        let call = Call {
            task: Task::new(request, clock.now()),
            resume,
            payload: &submission.payload,
            reply_limit: self.reply_limit,
            deadline: clock.instant(request.deadline),
        };
        call::submit(&link, call).await
    }

    /// Sends a control frame and waits for its reply, for `timeout` at most.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`], which tells whether the server may have received the frame.
    pub async fn control(
        &self,
        server: &Server,
        frame: &Frame,
        timeout: Duration,
    ) -> Result<Frame, Failure> {
        let link = self.open(server).await?;
        call::control(&link, frame, timeout).await
    }

    /// Cancels a request on a server because its caller has gone.
    pub fn cancel(&self, server: Server, request: Id) {
        // If the pool has ended, the process is stopping and its callers have been answered.
        let _ = self.sender.send(Message::Cancel(server, request));
    }

    /// Returns the state of the links.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unsent`] if the pool has ended.
    pub async fn dump(&self) -> Result<Value, Failure> {
        let (reply, receiver) = oneshot::channel();
        let _ = self.sender.send(Message::Dump(reply));
        receiver.await.map_err(|_| Failure::Unsent)
    }

    async fn open(&self, server: &Server) -> Result<link::Handle, Failure> {
        let (reply, receiver) = oneshot::channel();
        let _ = self.sender.send(Message::Open(server.clone(), reply));
        receiver.await.map_err(|_| Failure::Unsent)
    }
}

/// The task that owns the links.
pub struct Pool {
    /// The name of this server.
    pub name: Name,
    /// The timing of pings.
    pub ping_timing: Timing,
    /// The servers of the fleet; links to servers that have left are closed.
    pub view: watch::Receiver<Arc<View>>,
    /// The newest summary of the racks of this server, which is sent to all peers.
    pub summary: watch::Receiver<Option<Arc<Summary>>>,
    /// The bandwidth budget of summaries.
    pub budget: Budget,
    /// The logger.
    pub log: Logger,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

/// The receiving end of a [`Handle`].
pub struct Inbox(mpsc::UnboundedReceiver<Message>);

/// Creates a handle and the inbox that the pool reads from.
///
/// `reply_limit` is the longest accepted payload of a reply, in bytes.
pub fn channel(reply_limit: u64) -> (Handle, Inbox) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (
        Handle {
            sender,
            reply_limit,
        },
        Inbox(receiver),
    )
}

struct Entry {
    server: Server,
    handle: link::Handle,
    halt: CancellationToken,
}

struct State {
    pool: Pool,
    links: BTreeMap<Name, Entry>,
    tasks: JoinSet<()>,
}

impl Pool {
    /// Runs until `halt`.
    pub async fn run(self, mut inbox: Inbox, halt: CancellationToken) {
        let mut view = self.view.clone();
        let mut state = State {
            pool: self,
            links: BTreeMap::new(),
            tasks: JoinSet::new(),
        };
        loop {
            tokio::select! {
                () = halt.cancelled() => break,
                message = inbox.0.recv() => match message {
                    Some(message) => state.handle(message),
                    None => break,
                },
                Ok(()) = view.changed() => state.update_links(&view.borrow_and_update().clone()),
                Some(_) = state.tasks.join_next(), if !state.tasks.is_empty() => {}
            }
        }
        state.tasks.shutdown().await;
    }
}

impl State {
    fn handle(&mut self, message: Message) {
        match message {
            Message::Open(server, reply) => {
                let handle = self.link(&server);
                // The caller may have stopped waiting.
                let _ = reply.send(handle);
            }
            Message::Cancel(server, request) => {
                let handle = self.link(&server);
                self.tasks.spawn(async move {
                    let frame = Frame::Cancel(Target::from(request));
                    // If the cancellation is lost, the request runs to its end and its answer is
                    // dropped.
                    let _ = call::control(&handle, &frame, CANCEL_TIMEOUT).await;
                });
            }
            Message::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
        }
    }

    /// Opens links to new servers and closes links to servers that have left or restarted.
    fn update_links(&mut self, view: &View) {
        self.links.retain(|name, entry| {
            let stays = view
                .servers
                .get(name)
                .is_some_and(|server| server.incarnation == entry.server.incarnation);
            if !stays {
                entry.halt.cancel();
            }
            stays
        });
        for server in view.servers.values() {
            if server.name != self.pool.name {
                self.link(server);
            }
        }
    }

    /// Returns the link to a server, and opens it if there is none to its current address.
    fn link(&mut self, server: &Server) -> link::Handle {
        let known = self.links.get(&server.name).filter(|entry| {
            entry.server.incarnation == server.incarnation && entry.server.address == server.address
        });
        if let Some(entry) = known {
            return entry.handle.clone();
        }
        let sender = watch::Sender::new(None);
        let handle = link::Handle {
            sender: sender.subscribe(),
            ping_now: Arc::new(Notify::new()),
        };
        let halt = CancellationToken::new();
        let link = Link {
            server: server.clone(),
            ping_timing: self.pool.ping_timing,
            compress: false,
            sender,
            ping_now: handle.ping_now.clone(),
            metrics: self.pool.metrics.clone(),
            log: self.pool.log.clone(),
        };
        self.tasks.spawn(link.run(halt.clone()));
        let publisher = Publisher {
            link: handle.clone(),
            summary: self.pool.summary.clone(),
            budget: self.pool.budget.clone(),
            peer: server.clone(),
        };
        self.tasks.spawn(publisher.run(halt.clone()));
        let entry = Entry {
            server: server.clone(),
            handle: handle.clone(),
            halt,
        };
        if let Some(old) = self.links.insert(server.name.clone(), entry) {
            old.halt.cancel();
        }
        handle
    }

    fn dump(&self) -> Value {
        let links: BTreeMap<&Name, Value> = self
            .links
            .iter()
            .map(|(name, entry)| {
                let state = json!({
                    "address": entry.server.address,
                    "incarnation": entry.server.incarnation,
                    "connected": entry.handle.sender.borrow().is_some(),
                });
                (name, state)
            })
            .collect();
        json!(links)
    }
}
