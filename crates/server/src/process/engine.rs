//! The task that owns the rack owner's machine and carries out what it wants done.

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
    /// Whether the task is long-running; its end then shows in renewals.
    pub detached: bool,
    /// Whether the reply is kept for a while, since its way to the caller may break.
    pub keep: bool,
}

/// What a caller is told, with the payload of the answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// What became of the request.
    pub verdict: Verdict,
    /// The payload; empty unless it ran.
    pub payload: Bytes,
}

/// A message to the engine.
#[derive(Debug)]
pub enum Message {
    /// Tells the machine something.
    Event(Event),
    /// Registers a request without telling the machine, as for members of a gang.
    Expect(Submission, oneshot::Sender<Reply>),
    /// Takes a request up.
    Submit(Submission, oneshot::Sender<Reply>),
    /// Takes up a request whose earlier owner or connection died.
    Resume(Submission, oneshot::Sender<Reply>),
    /// Asks for places of a gang.
    Reserve(HoldRequest, oneshot::Sender<Hold>),
    /// Asks for the state.
    Dump(oneshot::Sender<Value>),
}

/// The engine has ended; the process is stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the server is stopping; send the request to another one")]
pub struct Stopped;

/// A way to talk to the engine.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::UnboundedSender<Message>,
}

impl Handle {
    /// Makes a handle and the end that the engine reads from.
    pub fn channel() -> (Handle, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Handle { sender }, receiver)
    }

    /// Tells the machine something.
    pub fn event(&self, event: Event) {
        // Once the engine has ended, nobody is left to tell.
        let _ = self.sender.send(Message::Event(event));
    }

    /// Takes a request up; the reply comes once.
    pub fn submit(&self, submission: Submission) -> oneshot::Receiver<Reply> {
        self.ask(|reply| Message::Submit(submission, reply))
    }

    /// Takes up a request whose earlier owner or connection died.
    pub fn resume(&self, submission: Submission) -> oneshot::Receiver<Reply> {
        self.ask(|reply| Message::Resume(submission, reply))
    }

    /// Registers a member of a gang, which [`Handle::reserve`] and [`Event::Commit`] start.
    pub fn expect(&self, submission: Submission) -> oneshot::Receiver<Reply> {
        self.ask(|reply| Message::Expect(submission, reply))
    }

    /// Withdraws a request.
    pub fn cancel(&self, request: Id) {
        self.event(Event::Cancel { request });
    }

    /// Asks for places of a gang.
    pub fn reserve(&self, ask: HoldRequest) -> oneshot::Receiver<Hold> {
        self.ask(|reply| Message::Reserve(ask, reply))
    }

    /// Returns the state of the engine and its machine.
    ///
    /// # Errors
    ///
    /// Returns [`Stopped`] where the engine has ended.
    pub async fn dump(&self) -> Result<Value, Stopped> {
        self.ask(Message::Dump).await.map_err(|_| Stopped)
    }

    fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        // A send that fails drops the sender, which the receiver sees.
        let _ = self.sender.send(message(sender));
        receiver
    }
}
