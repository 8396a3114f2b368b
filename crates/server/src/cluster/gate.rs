//! Lets submissions of clients pass to the leader, as many at a time as it answers soon.

use std::collections::VecDeque;
use std::time::Duration;

use azurepath_decide::batch::window::{Transit, Window};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::clock;
use super::peer::Route;

/// A message to the gate.
enum Message {
    Enter(Waiter),
    Leave(Transit),
}

/// A submission that waits for its turn.
struct Waiter {
    until: Instant,
    reply: oneshot::Sender<Result<Pass, Duration>>,
}

/// A handle for submissions.
#[derive(Clone)]
pub(super) struct Gate {
    sender: mpsc::UnboundedSender<Message>,
}

/// The receiving end of a [`Gate`].
pub(super) struct Inbox(mpsc::UnboundedReceiver<Message>);

/// Lets one submission be under way. Its place is free again when it is dropped.
pub(super) struct Pass {
    gate: Gate,
    transit: Transit,
}

/// Creates a handle and the inbox that [`run`] reads from.
pub(super) fn channel() -> (Gate, Inbox) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (Gate { sender }, Inbox(receiver))
}

impl Gate {
    /// Waits for a turn until `until`.
    ///
    /// # Errors
    ///
    /// Returns after what time there may be a turn, at once if it is known to be too late.
    pub(super) async fn enter(&self, until: Instant) -> Result<Pass, Duration> {
        let (reply, receiver) = oneshot::channel();
        self.send(Message::Enter(Waiter { until, reply }));
        match tokio::time::timeout_at(until, receiver).await {
            Ok(Ok(turn)) => turn,
            Ok(Err(_)) | Err(_) => Err(Duration::ZERO),
        }
    }

    fn send(&self, message: Message) {
        // If the gate has ended, the process is stopping and answers without the leader.
        let _ = self.sender.send(message);
    }
}

impl Pass {
    /// Gives the place back and tells what became of the submission.
    pub(super) fn leave(mut self, transit: Transit) {
        self.transit = transit;
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.gate.send(Message::Leave(self.transit));
    }
}

/// Lets submissions pass until `halt` is cancelled.
pub(super) async fn run(gate: Gate, mut inbox: Inbox, mut route: Route, halt: CancellationToken) {
    let mut window = Window::default();
    let mut waiters: VecDeque<Waiter> = VecDeque::new();
    loop {
        tokio::select! {
            () = halt.cancelled() => return,
            () = route.changed() => window.reset(),
            message = inbox.0.recv() => match message {
                Some(Message::Enter(waiter)) => {
                    let wait = window.expected_wait(waiters.len());
                    if Instant::now() + wait > waiter.until {
                        // The caller may have gone.
                        let _ = waiter.reply.send(Err(wait));
                    } else {
                        waiters.push_back(waiter);
                    }
                }
                Some(Message::Leave(transit)) => window.leave(transit, clock::now()),
                None => return,
            },
        }
        waiters.retain(|waiter| !waiter.reply.is_closed());
        while !waiters.is_empty() && window.enter() {
            if let Some(waiter) = waiters.pop_front() {
                let pass = Pass {
                    gate: gate.clone(),
                    transit: Transit::Abandoned,
                };
                // A pass that its caller no longer takes is given back when it is dropped.
                let _ = waiter.reply.send(Ok(pass));
            }
        }
    }
}
