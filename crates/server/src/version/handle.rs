//! The handle of the task that keeps the configuration of this server.

use std::collections::BTreeSet;
use std::sync::Arc;

use azurepath_decide::config::{Change, Proposal, Refusal, Standing};
use azurepath_decide::name::Name;
use azurepath_decide::time::Time;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot, watch};

use super::store::Missing;

/// A written change, and what it still waits for until it is in force everywhere.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// The change.
    pub change: Change,
    /// The servers that may still act on an older revision; empty once no server does.
    pub waiting: BTreeSet<Name>,
    /// Whether racks still have larger allotments than the team's new limit allows.
    pub reclaiming: bool,
}

impl Rollout {
    /// Returns whether the change is in force everywhere.
    pub fn is_complete(&self) -> bool {
        self.waiting.is_empty() && !self.reclaiming
    }
}

/// A message to the task.
#[derive(Debug)]
pub enum Message {
    /// Changes a resource.
    Edit(Proposal, oneshot::Sender<Result<Rollout, Refusal>>),
    /// This server has written a change.
    Written(Change),
    /// Requests the changes after a revision.
    ChangesAfter(u64, oneshot::Sender<Result<Vec<Change>, Missing>>),
    /// Requests the state.
    Dump(oneshot::Sender<Value>),
}

/// The task's end of the channels of a [`Handle`].
pub struct Inbox {
    pub(super) messages: mpsc::UnboundedReceiver<Message>,
    pub(super) standing: watch::Sender<Standing>,
}

/// Sends messages to the task and reads whether the configuration is current.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::UnboundedSender<Message>,
    standing: watch::Receiver<Standing>,
    empty: Arc<Vec<Change>>,
}

/// Makes a handle and the inbox of the task.
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
    /// Returns whether this server may act on its configuration at `now`.
    ///
    /// The time is compared on each call, not when evidence arrives, so that a process which was
    /// paused notices that its evidence has expired.
    pub fn is_current(&self, now: Time) -> bool {
        match *self.standing.borrow() {
            Standing::Current { until } => now < until,
            Standing::Behind { .. } | Standing::Isolated => false,
        }
    }

    /// Changes a resource and waits until the change is in force, up to a timeout.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] if the change was not written, or if that is unknown.
    pub async fn edit(&self, proposal: Proposal) -> Result<Rollout, Refusal> {
        let result = self
            .send_with_reply(|reply| Message::Edit(proposal, reply))
            .await;
        result.unwrap_or(Err(Refusal::Unknown))
    }

    /// Returns the changes after a revision.
    ///
    /// # Errors
    ///
    /// Returns [`Missing`] if the changes are no longer kept or can't be read.
    pub async fn changes_after(&self, revision: u64) -> Result<Vec<Change>, Missing> {
        let result = self
            .send_with_reply(|reply| Message::ChangesAfter(revision, reply))
            .await;
        result.unwrap_or_else(|| Ok(self.empty.to_vec()))
    }

    /// Returns the state of the task.
    pub async fn dump(&self) -> Value {
        self.send_with_reply(Message::Dump)
            .await
            .unwrap_or_default()
    }

    pub(super) fn written(&self, change: Change) {
        // The task runs as long as the process.
        let _ = self.sender.send(Message::Written(change));
    }

    async fn send_with_reply<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        // A failed send drops `sender`, so `receiver` returns an error.
        let _ = self.sender.send(message(sender));
        receiver.await.ok()
    }
}
