//! Limits the submissions of clients that are in flight to the leader.

use std::collections::VecDeque;
use std::time::Duration;

use azurepath_decide::batch::concurrency::{Limit, Outcome};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::clock;
use super::peer::Route;

/// A message to the limiter's task.
enum Message {
    Acquire(Waiter),
    Release(Outcome),
}

/// A submission that waits for its turn.
struct Waiter {
    until: Instant,
    reply: oneshot::Sender<Result<Permit, Duration>>,
}

/// A handle for submissions.
#[derive(Clone)]
pub(super) struct Limiter {
    sender: mpsc::UnboundedSender<Message>,
}

/// The receiving end of a [`Limiter`].
pub(super) struct Inbox(mpsc::UnboundedReceiver<Message>);

/// Allows one submission to be in flight, until it is dropped.
pub(super) struct Permit {
    limiter: Limiter,
    outcome: Outcome,
}

/// Creates a handle and the inbox that [`run`] reads from.
pub(super) fn channel() -> (Limiter, Inbox) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (Limiter { sender }, Inbox(receiver))
}

impl Limiter {
    /// Waits for a turn until `until`.
    ///
    /// # Errors
    ///
    /// Returns after what time there may be a turn, at once if it is known to be too late.
    pub(super) async fn acquire(&self, until: Instant) -> Result<Permit, Duration> {
        let (reply, receiver) = oneshot::channel();
        self.send(Message::Acquire(Waiter { until, reply }));
        match tokio::time::timeout_at(until, receiver).await {
            Ok(Ok(turn)) => turn,
            Ok(Err(_)) | Err(_) => Err(Duration::ZERO),
        }
    }

    fn send(&self, message: Message) {
        // If the limiter has ended, the process is stopping and answers without the leader.
        let _ = self.sender.send(message);
    }
}

impl Permit {
    /// Ends the submission with its outcome.
    pub(super) fn release(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limiter.send(Message::Release(self.outcome));
    }
}

/// Grants permits until `halt` is cancelled.
pub(super) async fn run(
    limiter: Limiter,
    mut inbox: Inbox,
    mut route: Route,
    halt: CancellationToken,
) {
    let mut limit = Limit::default();
    let mut waiters: VecDeque<Waiter> = VecDeque::new();
    loop {
        tokio::select! {
            () = halt.cancelled() => return,
            () = route.changed() => limit.reset(),
            message = inbox.0.recv() => match message {
                Some(Message::Acquire(waiter)) => {
                    let wait = limit.expected_wait(waiters.len());
                    if Instant::now() + wait > waiter.until {
                        // The caller may have gone.
                        let _ = waiter.reply.send(Err(wait));
                    } else {
                        waiters.push_back(waiter);
                    }
                }
                Some(Message::Release(outcome)) => limit.release(outcome, clock::now()),
                None => return,
            },
        }
        waiters.retain(|waiter| !waiter.reply.is_closed());
        while !waiters.is_empty() && limit.acquire() {
            if let Some(waiter) = waiters.pop_front() {
                let permit = Permit {
                    limiter: limiter.clone(),
                    outcome: Outcome::Abandoned,
                };
                // If the caller has gone, the permit is dropped and so released.
                let _ = waiter.reply.send(Ok(permit));
            }
        }
    }
}
