//! Orders to start and stop tasks: by own calls of the leader, or carried by another instance.

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::report::Report;
use azurepath_decide::batch::{Attempt, Refusal, StartOutcome};
use azurepath_decide::name::Name;
use azurepath_platform::worker::{Endpoint, Renewal, RenewalOutcome, Start, Workers};
use azurepath_wire::batch::{Order, Orders, Reply};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Links;
use crate::cluster::carrier::{self, MAX_QUEUE_TIME, ORDER_TIMEOUT};
use crate::cluster::clock::{self, Authority};

/// How long after it was sent a worker may carry out an order to start.
pub(super) const ORDER_VALIDITY: Duration = Duration::from_millis(1_500);

/// How long the outcome of an order that another instance carries may take beyond the worker's
/// answer: the ways from and to the instance, and the wait in it.
const CARRIER_SLACK: Duration = MAX_QUEUE_TIME.saturating_add(Duration::from_millis(600));

/// The outcome of an order to start: worker, attempt, outcome, and the order's expiry by the
/// worker's clock in milliseconds.
pub(in crate::cluster) type Started = (usize, Attempt, StartOutcome, u64);

/// What orders have led to.
pub(in crate::cluster) enum OrderOutcome {
    /// The outcome of an order to start a task.
    Started(Started),
    /// What a worker reports after it has accepted orders to stop these attempts.
    Settled(usize, Vec<Attempt>, Report),
}

/// An instance's poll for orders that waits for its reply.
pub(super) struct Poll {
    pub(super) reply: oneshot::Sender<Reply>,
    pub(super) until: Instant,
}

/// An order that another instance carries.
pub(super) struct Carried {
    pub(super) worker: usize,
    pub(super) attempt: Attempt,
    pub(super) expires_ms: u64,
    pub(super) carrier: Name,
    /// Until when its outcome is awaited.
    pub(super) until: Instant,
}

impl Links {
    /// Sends the orders of one step, or hands them to an instance that carries them.
    pub(in crate::cluster) fn start_step(&mut self, starts: Vec<(usize, Start)>) {
        let carrier = (self.wants_carriers() && self.authority.holds())
            .then(|| self.carriers.choose(starts.len()))
            .flatten();
        let Some(carrier) = carrier else {
            for (worker, start) in starts {
                self.start(worker, start);
            }
            return;
        };
        let mut batch = Orders {
            epoch: self.epoch,
            payload: Name::from(""),
            orders: Vec::with_capacity(starts.len()),
        };
        for (worker, start) in starts {
            batch.payload = start.payload.clone();
            batch
                .orders
                .extend(self.carried_order(worker, start, &carrier));
        }
        self.queued.entry(carrier.clone()).or_default().push(batch);
        self.hand_over(&carrier);
    }

    /// Hands queued orders to an instance if it polls.
    fn hand_over(&mut self, carrier: &Name) {
        let is_queued = self
            .queued
            .get(carrier)
            .is_some_and(|queue| !queue.is_empty());
        if is_queued
            && let Some(poll) = self.polls.remove(carrier)
            && let Some(queue) = self.queued.remove(carrier)
        {
            // If the instance has gone, the orders are overdue soon.
            let _ = poll.reply.send(Reply::Orders(queue));
        }
    }

    /// Takes back the orders that an instance has not fetched.
    fn drop_queued(&mut self, carrier: &Name) {
        let queue = self.queued.remove(carrier).unwrap_or_default();
        for order in queue.into_iter().flat_map(|batch| batch.orders) {
            let refused = StartOutcome::Refused(Refusal::Late);
            self.finish_carried(order.number, Some(refused));
        }
    }

    fn carried_order(&mut self, worker: usize, start: Start, carrier: &Name) -> Option<Order> {
        let Some(link) = self.workers.get_mut(&worker) else {
            self.refuse(worker, start.attempt);
            return None;
        };
        link.ordered = Some(clock::now());
        let endpoint = link.endpoint.clone();
        self.last_order += 1;
        // An order without the worker's clock has expired already; the worker refuses it.
        let expires_ms = self.order_expiry(worker).unwrap_or(0);
        let carried = Carried {
            worker,
            attempt: start.attempt,
            expires_ms,
            carrier: carrier.clone(),
            until: Instant::now() + ORDER_TIMEOUT + CARRIER_SLACK,
        };
        self.carried.insert(self.last_order, carried);
        Some(Order {
            number: self.last_order,
            worker: endpoint.id,
            address: endpoint.address,
            born_ms: endpoint.born_ms,
            attempt: start.attempt,
            expires_ms,
            checkpoint: start.checkpoint,
            ticket: start.ticket,
            repeated: start.repeated,
        })
    }

    /// Handles the outcomes of carried orders.
    pub(in crate::cluster) fn carried(&mut self, epoch: u64, outcomes: Vec<(u64, StartOutcome)>) {
        if epoch == self.epoch {
            for (number, outcome) in outcomes {
                self.finish_carried(number, Some(outcome));
            }
        }
    }

    /// Handles the outcome of a carried order, or that the carrier did not deliver any in time. The
    /// order may have been carried out then.
    fn finish_carried(&mut self, number: u64, delivered: Option<StartOutcome>) {
        let Some(order) = self.carried.remove(&number) else {
            return;
        };
        self.carriers.mark_done(&order.carrier, delivered.is_none());
        let outcome = delivered.unwrap_or(StartOutcome::Lost);
        let started = (order.worker, order.attempt, outcome, order.expires_ms);
        // The receiver is the leader itself.
        let _ = self.outcomes.send(OrderOutcome::Started(started));
    }

    pub(super) fn expire_carried(&mut self) {
        let now = Instant::now();
        let overdue = self.carried.iter().filter(|(_, order)| order.until <= now);
        let overdue: Vec<u64> = overdue.map(|(number, _)| *number).collect();
        for number in overdue {
            self.finish_carried(number, None);
        }
    }

    /// Handles an instance's poll for orders.
    pub(in crate::cluster) fn poll(
        &mut self,
        instance: &Name,
        link_kbps: u64,
        reply: oneshot::Sender<Reply>,
    ) {
        if *instance != self.context.name {
            self.carriers.mark_ready(instance, link_kbps);
        }
        let until = Instant::now() + carrier::POLL_WAIT;
        self.polls.insert(instance.clone(), Poll { reply, until });
        self.hand_over(instance);
    }

    pub(super) fn expire_polls(&mut self) {
        let now = Instant::now();
        let expired = |_: &Name, poll: &mut Poll| poll.until <= now || poll.reply.is_closed();
        let expired: Vec<(Name, Poll)> = self.polls.extract_if(.., expired).collect();
        for (instance, poll) in expired {
            if poll.reply.is_closed() {
                self.carriers.mark_gone(&instance);
                self.drop_queued(&instance);
            }
            let _ = poll.reply.send(Reply::Orders(Vec::new()));
        }
    }

    /// Returns the time of a worker's clock until which it may carry out an order that is sent now,
    /// or `None` if its clock is not known.
    fn order_expiry(&self, worker: usize) -> Option<u64> {
        let millis = self.workers.get(&worker)?.clock_at(Instant::now())?;
        Some(millis + u64::try_from(ORDER_VALIDITY.as_millis()).unwrap_or(0))
    }

    /// Lets the scheduler learn that an order was not sent, since the worker was detached before.
    fn refuse(&self, worker: usize, attempt: Attempt) {
        let refused = StartOutcome::Refused(Refusal::Late);
        // The receiver is the leader itself.
        let refused = OrderOutcome::Started((worker, attempt, refused, 0));
        let _ = self.outcomes.send(refused);
    }

    fn start(&mut self, worker: usize, mut start: Start) {
        let expiry = self.order_expiry(worker);
        let Some(link) = self.workers.get_mut(&worker) else {
            self.refuse(worker, start.attempt);
            return;
        };
        link.ordered = Some(clock::now());
        let endpoint = link.endpoint.clone();
        let workers = self.context.workers.clone();
        let sender = self.outcomes.clone();
        let authority = self.authority.clone();
        self.tasks.spawn(async move {
            let attempt = start.attempt;
            let (started, expires_ms) = match expiry {
                Some(expires_ms) if authority.holds() => {
                    start.expires_ms = expires_ms;
                    let started = workers.start(&endpoint, &start, ORDER_TIMEOUT).await;
                    (started, expires_ms)
                }
                // Without authority or the worker's clock, no order is sent.
                Some(_) | None => (StartOutcome::Refused(Refusal::Late), 0),
            };
            // If the leader has ended, its successor learns from the worker which tasks run.
            let started = (worker, attempt, started, expires_ms);
            let _ = sender.send(OrderOutcome::Started(started));
        });
    }

    /// Orders a worker to stop a run.
    pub(in crate::cluster) fn stop_run(&mut self, worker: usize, attempt: Attempt) {
        if let Some(recipient) = self.recipient(worker) {
            self.tasks.spawn(async move {
                // The scheduler repeats the order until the worker reports the end.
                let _ = recipient.stop(&attempt).await;
            });
        }
    }

    /// Orders a worker to stop runs that may start on it by orders for its former incarnation, and reads
    /// which of them it shows after that.
    pub(in crate::cluster) fn settle_runs(&mut self, worker: usize, attempts: Vec<Attempt>) {
        let Some(recipient) = self.recipient(worker) else {
            return;
        };
        let sender = self.outcomes.clone();
        self.tasks.spawn(async move {
            // The scheduler repeats the order if there is no report.
            if let Some(report) = recipient.settle(&attempts).await {
                // The receiver is the leader itself.
                let _ = sender.send(OrderOutcome::Settled(worker, attempts, report));
            }
        });
    }

    fn recipient(&self, worker: usize) -> Option<Recipient> {
        let link = self.workers.get(&worker)?;
        Some(Recipient {
            endpoint: link.endpoint.clone(),
            workers: self.context.workers.clone(),
            epoch: self.epoch,
            authority: self.authority.clone(),
        })
    }
}

/// A worker that gets orders while the leader has authority.
struct Recipient {
    endpoint: Endpoint,
    workers: Workers,
    epoch: u64,
    authority: Arc<Authority>,
}

impl Recipient {
    /// Orders it to stop a run and returns whether it accepted the order.
    async fn stop(&self, attempt: &Attempt) -> bool {
        self.authority.holds()
            && self
                .workers
                .stop(&self.endpoint, attempt, self.epoch, ORDER_TIMEOUT)
                .await
    }

    /// Stops runs and returns its report after that, or `None` if any call has failed.
    async fn settle(&self, attempts: &[Attempt]) -> Option<Report> {
        for attempt in attempts {
            if !self.stop(attempt).await {
                return None;
            }
        }
        let question = Renewal {
            epoch: self.epoch,
            acknowledged: 0,
            expires_ms: None,
            wait: Duration::ZERO,
        };
        let outcome = self.workers.renew(&self.endpoint, &question, ORDER_TIMEOUT);
        match outcome.await {
            Ok(RenewalOutcome::Report(report)) => {
                (report.born_ms == self.endpoint.born_ms).then_some(report)
            }
            Ok(RenewalOutcome::Superseded | RenewalOutcome::Replaced) | Err(_) => None,
        }
    }
}
