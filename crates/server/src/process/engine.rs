//! The engine: the task that schedules requests on the racks that this server owns.
//!
//! It drives the state machine `Cell`: it passes events on and carries out the actions.

mod calls;
mod replies;
mod task;

use azurepath_decide::event::Event;
use azurepath_decide::gang::{Hold, HoldRequest};
use azurepath_decide::request::{Id, Request};
use azurepath_decide::verdict::Verdict;
use bytes::Bytes;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

pub use task::{Engine, Outputs};

/// A request with its payload.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The request.
    pub request: Request,
    /// Its payload.
    pub payload: Bytes,
    /// Whether the task is long-running; its end is then reported with a lease renewal.
    pub detached: bool,
    /// Whether the reply is kept for a while, because the connection to the caller may break.
    pub keep: bool,
}

/// The reply to a caller.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The outcome of the request.
    pub verdict: Verdict,
    /// The payload of the answer; empty unless the request ran.
    pub payload: Bytes,
}

/// A message to the engine.
#[derive(Debug)]
pub enum Message {
    /// Passes an event to the state machine.
    Event(Event),
    /// Registers a member of a gang, without an event for the state machine.
    Expect(Submission, oneshot::Sender<Reply>),
    /// Submits a request.
    Submit(Submission, oneshot::Sender<Reply>),
    /// Submits again a request whose earlier owner or connection failed.
    Resume(Submission, oneshot::Sender<Reply>),
    /// Reserves places for members of a gang.
    Reserve(HoldRequest, oneshot::Sender<Hold>),
    /// Requests the state.
    Dump(oneshot::Sender<Value>),
}

/// The error of a call to a task that has ended because the process is stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the server is stopping; send the request to another one")]
pub struct Stopped;

/// Sends messages to the engine.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::UnboundedSender<Message>,
}

impl Handle {
    /// Makes a handle and the receiver that the engine reads from.
    pub fn channel() -> (Handle, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Handle { sender }, receiver)
    }

    /// Passes an event to the state machine.
    pub fn event(&self, event: Event) {
        // After the engine has ended, events are dropped.
        let _ = self.sender.send(Message::Event(event));
    }

    /// Submits a request; exactly one reply is sent.
    pub fn submit(&self, submission: Submission) -> oneshot::Receiver<Reply> {
        self.send_with_reply(|reply| Message::Submit(submission, reply))
    }

    /// Submits again a request whose earlier owner or connection failed.
    pub fn resume(&self, submission: Submission) -> oneshot::Receiver<Reply> {
        self.send_with_reply(|reply| Message::Resume(submission, reply))
    }

    /// Registers a member of a gang; [`Handle::reserve`] and [`Event::Commit`] start it.
    pub fn expect(&self, submission: Submission) -> oneshot::Receiver<Reply> {
        self.send_with_reply(|reply| Message::Expect(submission, reply))
    }

    /// Cancels a request.
    pub fn cancel(&self, request: Id) {
        self.event(Event::Cancel { request });
    }

    /// Reserves places for members of a gang.
    pub fn reserve(&self, hold_request: HoldRequest) -> oneshot::Receiver<Hold> {
        self.send_with_reply(|reply| Message::Reserve(hold_request, reply))
    }

    /// Returns the state of the engine and its state machine.
    ///
    /// # Errors
    ///
    /// Returns [`Stopped`] if the engine has ended.
    pub async fn dump(&self) -> Result<Value, Stopped> {
        self.send_with_reply(Message::Dump)
            .await
            .map_err(|_| Stopped)
    }

    fn send_with_reply<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        // A failed send drops `sender`, so `receiver` returns an error.
        let _ = self.sender.send(message(sender));
        receiver
    }
}
