//! How other tasks talk to the task that owns the configuration.

use std::collections::BTreeSet;
use std::sync::Arc;

use azurepath_decide::config::{Change, Proposal, Refusal, Standing};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot, watch};

use super::store::Missing;

/// A change that is written.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// The change.
    pub change: Change,
    /// Servers that may still act on an older revision; empty once the change is accepted.
    pub waiting: BTreeSet<Name>,
    /// Whether racks still hold more of the team's limit than it allows.
    pub reclaiming: bool,
}

impl Rollout {
    /// Tells whether the change is in force everywhere.
    pub fn is_complete(&self) -> bool {
        self.waiting.is_empty() && !self.reclaiming
    }
}

/// A message to the task.
#[derive(Debug)]
pub enum Message {
    /// Changes a resource.
    Edit(Proposal, oneshot::Sender<Result<Rollout, Refusal>>),
    /// A change has been written through this server.
    Written(Change),
    /// Asks for the changes after a revision.
    ChangesAfter(u64, oneshot::Sender<Result<Vec<Change>, Missing>>),
    /// Asks for the state.
    Dump(oneshot::Sender<Value>),
}

/// The end that the task reads from.
pub struct Inbox {
    pub(super) messages: mpsc::UnboundedReceiver<Message>,
    pub(super) standing: watch::Sender<Standing>,
}

/// A way to talk to the task.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::UnboundedSender<Message>,
    standing: watch::Receiver<Standing>,
    empty: Arc<Vec<Change>>,
}

/// Makes a handle and the end that the task reads from.
pub fn channel() -> (Handle, Inbox) {
    let (sender, messages) = mpsc::unbounded_channel();
    let standing = watch::Sender::new(Standing::Isolated);
    let handle = Handle {
        sender,
        standing: standing.subscribe(),
        empty: Arc::default(),
    };
    (handle, Inbox { messages, standing })
}

impl Handle {
    /// Tells whether this server may act on its configuration at `now`.
    ///
    /// The time is compared here and not where the evidence came in, so that a process which was
    /// paused sees that its evidence has ended.
    pub fn is_current(&self, now: Time) -> bool {
        match *self.standing.borrow() {
            Standing::Current { until } => now < until,
            Standing::Behind { .. } | Standing::Isolated => false,
        }
    }

    /// Changes a resource and waits until it is in force, for a bounded time.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] where it was not written, or may not have been.
    pub async fn edit(&self, proposal: Proposal) -> Result<Rollout, Refusal> {
        let asked = self.ask(|reply| Message::Edit(proposal, reply)).await;
        asked.unwrap_or(Err(Refusal::Unknown))
    }

    /// Returns the changes after a revision.
    ///
    /// # Errors
    ///
    /// Returns [`Missing`] where they are not kept or can't be read.
    pub async fn changes_after(&self, revision: u64) -> Result<Vec<Change>, Missing> {
        let asked = self
            .ask(|reply| Message::ChangesAfter(revision, reply))
            .await;
        asked.unwrap_or_else(|| Ok(self.empty.to_vec()))
    }

    /// Returns the state of the task.
    pub async fn dump(&self) -> Value {
        self.ask(Message::Dump).await.unwrap_or_default()
    }

    pub(super) fn written(&self, change: Change) {
        // The task ends only when the process does.
        let _ = self.sender.send(Message::Written(change));
    }

    async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        // A send that fails drops the sender, which the receiver sees.
        let _ = self.sender.send(message(sender));
        receiver.await.ok()
    }
}
