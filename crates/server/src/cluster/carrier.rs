//! Carries the leader's start orders to the workers and returns their outcomes.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::{Refusal, StartOutcome};
use azurepath_decide::name::Name;
use azurepath_platform::worker::{Endpoint, Start, Workers};
use azurepath_wire::batch::{Call, Order, Orders, Reply};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use slog::info;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::Instant;
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

/// How long an order may wait in the instance for others before it. It is not sent after that, since
/// it expires soon.
pub(super) const MAX_QUEUE_TIME: Duration = Duration::from_millis(800);

/// The part of a link that orders under way may take, in kbit/s for each order. More of them delay
/// each other for longer than an answer may take.
const KBPS_PER_ORDER: u64 = 100;

/// The least number of orders that are under way at a time.
const MIN_ORDERS: u64 = 4;

/// How long the delivery of outcomes may take. The leader sends an order again if it learns no
/// outcome.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(600);

/// How long the outcomes of a step's orders wait for the others of the step. Workers answer at different
/// times, and the leader's processor is the one that the calls of all instances share.
const COLLECT_TIME: Duration = Duration::from_millis(50);

/// An order's outcome: the leader's epoch, the order's number, the outcome.
type Outcome = (u64, u64, StartOutcome);

/// Carries orders until `halt` is cancelled.
pub(super) async fn run(context: Context, halt: CancellationToken) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let under_way = (context.settings().link_kbps / KBPS_PER_ORDER).max(MIN_ORDERS);
    let permits = Arc::new(Semaphore::new(under_way as usize));
    let mut tasks = JoinSet::new();
    tasks.spawn(deliver(context.clone(), receiver, halt.clone()));
    let mut route = context.route.clone();
    while !halt.is_cancelled() {
        let call = Call::Carry {
            instance: context.name.to_string(),
            link_kbps: context.settings().link_kbps,
        };
        let reply = tokio::select! {
            () = halt.cancelled() => break,
            reply = context.route.call(call, POLL_TIMEOUT) => reply,
        };
        // A poll that was dropped for an ended task could take its orders with it.
        while tasks.try_join_next().is_some() {}
        match reply {
            Ok(Reply::Orders(batches)) => {
                for batch in batches {
                    spawn(&context, batch, &permits, &sender, &mut tasks);
                }
            }
            Ok(_) | Err(_) => tokio::select! {
                () = halt.cancelled() => break,
                () = route.changed() => {}
                () = tokio::time::sleep(RETRY_PAUSE) => {}
            },
        }
    }
    drop(sender);
    while tasks.join_next().await.is_some() {}
}

fn spawn(
    context: &Context,
    batch: Orders,
    permits: &Arc<Semaphore>,
    sender: &mpsc::UnboundedSender<Vec<Outcome>>,
    tasks: &mut JoinSet<()>,
) {
    let received = Instant::now();
    let Orders {
        epoch,
        payload,
        orders,
    } = batch;
    let (context, permits) = (context.clone(), permits.clone());
    let outcomes: FuturesUnordered<_> = orders
        .into_iter()
        .map(move |order| {
            let workers = workers_for(&context, &order).clone();
            let (permits, payload) = (permits.clone(), payload.clone());
            async move {
                let number = order.number;
                let (endpoint, start) = split(order, epoch, payload);
                // The semaphore is never closed.
                let _permit = permits.acquire().await;
                let outcome = if received.elapsed() < MAX_QUEUE_TIME {
                    workers.start(&endpoint, &start, ORDER_TIMEOUT).await
                } else {
                    StartOutcome::Refused(Refusal::Late)
                };
                (epoch, number, outcome)
            }
        })
        .collect();
    tasks.spawn(collect(outcomes, sender.clone()));
}

/// Returns the client that sends an order. A repeated one reaches only the incarnation that it is meant
/// for. The leader notices the others that reach a later one.
fn workers_for<'a>(context: &'a Context, order: &Order) -> &'a Workers {
    if order.repeated {
        &context.workers
    } else {
        &context.carried_workers
    }
}

/// Passes on the outcomes of a step's orders: all of them at once if the workers answer within a short
/// time.
async fn collect(
    mut outcomes: FuturesUnordered<impl Future<Output = Outcome>>,
    sender: mpsc::UnboundedSender<Vec<Outcome>>,
) {
    while let Some(first) = outcomes.next().await {
        let mut ready = vec![first];
        let until = Instant::now() + COLLECT_TIME;
        while let Ok(Some(outcome)) = tokio::time::timeout_at(until, outcomes.next()).await {
            ready.push(outcome);
        }
        // The receiver lives until all senders are dropped.
        let _ = sender.send(ready);
    }
}

fn split(order: Order, epoch: u64, payload: Name) -> (Endpoint, Start) {
    let endpoint = Endpoint {
        id: order.worker,
        address: order.address,
        born_ms: order.born_ms,
    };
    let start = Start {
        attempt: order.attempt,
        payload,
        expires_ms: order.expires_ms,
        epoch,
        checkpoint: order.checkpoint,
        ticket: order.ticket,
        repeated: order.repeated,
    };
    (endpoint, start)
}

/// Delivers outcomes to the leader, those that are ready together in one call.
async fn deliver(
    context: Context,
    mut receiver: mpsc::UnboundedReceiver<Vec<Outcome>>,
    halt: CancellationToken,
) {
    let mut steps = Vec::new();
    while receiver.recv_many(&mut steps, usize::MAX).await > 0 {
        let ready: Vec<Outcome> = steps.drain(..).flatten().collect();
        let epoch = ready.iter().map(|(epoch, ..)| *epoch).max().unwrap_or(0);
        // An earlier leader no longer waits for outcomes.
        let current = ready.into_iter().filter(|outcome| outcome.0 == epoch);
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
