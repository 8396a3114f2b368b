//! The ways to send something to the leader's task.

use azurepath_decide::batch::fleet::Entry;
use azurepath_decide::batch::scheduler::Dump;
use azurepath_wire::batch::{Call, Reply};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::cluster::peer::Pending;

/// A message to the leader.
#[derive(Debug)]
pub(in crate::cluster) enum Message {
    /// A call of a client, possibly forwarded by another instance.
    Call(Box<Pending>),
    /// All entries of the registry.
    Registry(Vec<Entry>),
    /// A request for the state in numbers.
    Dump(oneshot::Sender<Dump>),
}

/// A handle for calls to the leader.
#[derive(Clone, Debug)]
pub(in crate::cluster) struct Handle {
    sender: mpsc::UnboundedSender<Message>,
}

impl Handle {
    /// Creates a handle for the receiver of a channel.
    pub(super) fn new(sender: mpsc::UnboundedSender<Message>) -> Handle {
        Handle { sender }
    }

    /// Calls the leader. Returns `None` if it has ended.
    pub(in crate::cluster) async fn call(&self, call: Call) -> Option<Reply> {
        let (sender, receiver) = oneshot::channel();
        self.sender
            .send(Message::Call(Box::new(Pending {
                call,
                reply: sender,
                received: Instant::now(),
            })))
            .ok()?;
        receiver.await.ok()
    }

    /// Returns the state in numbers, or `None` if the leader has ended.
    pub(in crate::cluster) async fn dump(&self) -> Option<Dump> {
        let (sender, receiver) = oneshot::channel();
        self.sender.send(Message::Dump(sender)).ok()?;
        receiver.await.ok()
    }
}
