//! Carries the leader's start orders to the workers and returns their outcomes.

use std::time::Duration;

use azurepath_decide::batch::StartOutcome;
use azurepath_platform::worker::{Endpoint, Start, Workers};
use azurepath_wire::batch::{Call, Order, Orders, Reply};
use slog::info;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::Context;

/// How long the leader holds a poll for orders.
pub(super) const POLL_WAIT: Duration = Duration::from_secs(5);

/// How long a poll for orders may take.
const POLL_TIMEOUT: Duration = Duration::from_secs(7);

/// The pause after a failed poll.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How long a worker's answer to an order may take: several round trips between two regions.
pub(super) const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// How long the delivery of outcomes may take. The leader sends an order again if it learns no
/// outcome.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(600);

/// An order's outcome: the leader's epoch, the order's number, the outcome.
type Outcome = (u64, u64, StartOutcome);

/// Carries orders until `halt` is cancelled.
pub(super) async fn run(context: Context, halt: CancellationToken) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let mut tasks = JoinSet::new();
    tasks.spawn(deliver(context.clone(), receiver, halt.clone()));
    while !halt.is_cancelled() {
        let call = Call::Carry {
            instance: context.name.to_string(),
            link_kbps: context.settings().link_kbps,
        };
        let reply = tokio::select! {
            () = halt.cancelled() => break,
            Some(_) = tasks.join_next() => continue,
            reply = context.route.call(call, POLL_TIMEOUT) => reply,
        };
        match reply {
            Ok(Reply::Orders(batches)) => {
                for batch in batches {
                    spawn(&context.workers, batch, &sender, &mut tasks);
                }
            }
            Ok(_) | Err(_) => tokio::select! {
                () = halt.cancelled() => break,
                () = tokio::time::sleep(RETRY_PAUSE) => {}
            },
        }
    }
    drop(sender);
    while tasks.join_next().await.is_some() {}
}

fn spawn(
    workers: &Workers,
    batch: Orders,
    sender: &mpsc::UnboundedSender<Outcome>,
    tasks: &mut JoinSet<()>,
) {
    for order in batch.orders {
        let (workers, sender) = (workers.clone(), sender.clone());
        let (epoch, payload) = (batch.epoch, batch.payload.clone());
        tasks.spawn(async move {
            let number = order.number;
            let (endpoint, start) = split(order, epoch, payload);
            let outcome = workers.start(&endpoint, &start, ORDER_TIMEOUT).await;
            // The receiver lives until all senders are dropped.
            let _ = sender.send((epoch, number, outcome));
        });
    }
}

fn split(order: Order, epoch: u64, payload: azurepath_decide::name::Name) -> (Endpoint, Start) {
    let endpoint = Endpoint {
        id: order.worker,
        address: order.address,
    };
    let start = Start {
        attempt: order.attempt,
        payload,
        expires_ms: order.expires_ms,
        epoch,
        checkpoint: order.checkpoint,
        ticket: order.ticket,
    };
    (endpoint, start)
}

/// Delivers outcomes to the leader, those that are ready together in one call.
async fn deliver(
    context: Context,
    mut receiver: mpsc::UnboundedReceiver<Outcome>,
    halt: CancellationToken,
) {
    let mut ready = Vec::new();
    while receiver.recv_many(&mut ready, usize::MAX).await > 0 {
        let epoch = ready.iter().map(|(epoch, ..)| *epoch).max().unwrap_or(0);
        // An earlier leader no longer waits for outcomes.
        let current = ready.drain(..).filter(|outcome| outcome.0 == epoch);
        let call = Call::Carried {
            epoch,
            outcomes: current
                .map(|(_, number, outcome)| (number, outcome))
                .collect(),
        };
        let delivered = tokio::select! {
            () = halt.cancelled() => return,
            reply = context.route.call(call, DELIVERY_TIMEOUT) => reply,
        };
        if !matches!(delivered, Ok(Reply::Noted)) {
            info!(context.log, "outcomes not delivered"; "epoch" => epoch);
        }
    }
}
