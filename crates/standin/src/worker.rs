//! The stand-in for a worker.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Result;
use azurepath_decide::attempt::{Attempt, Outcome, Refusal};
use azurepath_decide::name::Name;
use azurepath_decide::request;
use azurepath_decide::size::Size;
use azurepath_services::worker::{
    ATTEMPT_HEADER, Claim, Interruption, ORDER_HEADER, OUTCOME_HEADER, Order, Probe, Refused,
};
use http::{HeaderValue, Method, StatusCode};
use tokio::sync::Notify;

use crate::fault::{self, Injection};
use crate::host::{Call, Handler, Host, Reply, lock};

mod record;
mod state;
mod task;

pub use record::{Begun, Ended, Record};
pub use task::Behaviour;

use state::{Finished, State, Status};

/// How often leases and pauses are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The settings of a worker.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The worker's name.
    pub name: Name,
    /// The total capacity of the worker.
    pub capacity: Size,
    /// How far the usage reports lag behind.
    pub usage_lag: Duration,
}

struct Shared {
    state: Mutex<State>,
    /// Notified whenever a task has ended or a fault has changed.
    changed: Notify,
}

impl Shared {
    /// Waits until the worker is not paused. Callers check the lease afterwards, before tasks that
    /// are due end.
    async fn wait_while_paused(&self) {
        loop {
            if !lock(&self.state).faults.paused {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Periodically checks the lease and ends the tasks that are due, unless the worker is paused.
    async fn run(self: Arc<Shared>) {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            self.wait_while_paused().await;
            let ended = lock(&self.state).advance(Instant::now());
            if ended {
                self.changed.notify_waiters();
            }
        }
    }

    /// Waits for the end of an attempt; returns `None` if the worker does not know it.
    async fn finished(&self, attempt: Attempt) -> Option<Finished> {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let status = lock(&self.state).status(attempt);
            match status {
                Status::Unknown => return None,
                Status::Finished(finished) => return Some(finished),
                Status::Running { due: None } => changed.await,
                Status::Running { due: Some(due) } => tokio::select! {
                    () = changed => {}
                    () = tokio::time::sleep_until(due.into()) => self.end_due().await,
                },
            }
        }
    }

    async fn end_due(&self) {
        self.wait_while_paused().await;
        if lock(&self.state).advance(Instant::now()) {
            self.changed.notify_waiters();
        }
    }

    async fn start(&self, call: &Call) -> Result<Reply, Reply> {
        let header = call.headers.get(ORDER_HEADER).map(HeaderValue::as_bytes);
        let order: Order = serde_json::from_slice(header.unwrap_or_default())
            .map_err(|error| Reply::text(StatusCode::BAD_REQUEST, error.to_string()))?;
        let attempt = order.running.attempt;
        let detached = order.detached;
        let started = lock(&self.state).start(order, &call.body, Instant::now());
        started.map_err(refuse)?;
        if detached {
            return Ok(Reply::empty(StatusCode::ACCEPTED));
        }
        self.task_answer(attempt).await
    }

    async fn task_answer(&self, attempt: Attempt) -> Result<Reply, Reply> {
        let Some(finished) = self.finished(attempt).await else {
            return Err(Reply::text(StatusCode::NOT_FOUND, "no such attempt"));
        };
        self.wait_while_paused().await;
        let mut state = lock(&self.state);
        let faults = &mut state.faults;
        let truncated = consume(&mut faults.short_answers) || consume(&mut faults.lose_answers);
        let crossed = consume(&mut faults.crossed_answers);
        drop(state);
        let named = Attempt {
            number: attempt.number + u32::from(crossed),
            ..attempt
        };
        let mut reply = Reply {
            body: finished.payload,
            ..Reply::empty(StatusCode::OK)
        };
        add_header(&mut reply, ATTEMPT_HEADER, &named.to_string());
        add_header(&mut reply, OUTCOME_HEADER, &finished.outcome.to_string());
        Ok(if truncated { reply.truncate() } else { reply })
    }

    async fn handle(&self, call: &Call) -> Result<Reply, Reply> {
        let path = call.path.trim_start_matches('/');
        let parts: Vec<&str> = path.split('/').collect();
        match (&call.method, parts.as_slice()) {
            (&Method::POST, ["claim"]) => {
                let claim: Claim = call.json()?;
                let claimed = lock(&self.state).claim(&claim, Instant::now());
                let inventory = claimed.map_err(refuse)?;
                Ok(Reply::json(StatusCode::OK, &inventory))
            }
            (&Method::POST, ["renew"]) => {
                let claim: Claim = call.json()?;
                let renewed = lock(&self.state).renew(&claim, Instant::now());
                let renewal = renewed.map_err(refuse)?;
                Ok(Reply::json(StatusCode::OK, &renewal))
            }
            (&Method::POST, ["tasks"]) => self.start(call).await,
            (&Method::GET, ["tasks", attempt]) => self.task_answer(parse(attempt)?).await,
            (&Method::POST, ["tasks", attempt, "interrupt"]) => {
                let Interruption { epoch, how } = call.json()?;
                let attempt = parse(attempt)?;
                let interrupted = lock(&self.state).interrupt(epoch, attempt, how, Instant::now());
                interrupted.map_err(refuse)?;
                self.changed.notify_waiters();
                Ok(Reply::empty(StatusCode::NO_CONTENT))
            }
            (&Method::POST, ["probe"]) => {
                let Probe { epoch } = call.json()?;
                let healthy = lock(&self.state).probe(epoch).map_err(refuse)?;
                let status = if healthy {
                    StatusCode::NO_CONTENT
                } else {
                    StatusCode::INTERNAL_SERVER_ERROR
                };
                Ok(Reply::empty(status))
            }
            (&Method::POST, ["fault"]) => {
                lock(&self.state).faults = call.json()?;
                self.changed.notify_waiters();
                Ok(Reply::empty(StatusCode::NO_CONTENT))
            }
            (&Method::GET, ["record"]) => {
                Ok(Reply::json(StatusCode::OK, &lock(&self.state).record))
            }
            _ => Err(Reply::text(StatusCode::NOT_FOUND, "no such call")),
        }
    }
}

/// Decrements the remaining count of a fault and tells whether the fault applies.
fn consume(remaining: &mut u64) -> bool {
    let applies = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    applies
}

fn add_header(reply: &mut Reply, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        reply.headers.push((name, value));
    }
}

fn refuse(refused: Refusal) -> Reply {
    Reply::json(StatusCode::CONFLICT, &Refused { refused })
}

/// Parses an attempt as it is written in paths.
fn parse(text: &str) -> Result<Attempt, Reply> {
    let parsed = text.split_once('-').and_then(|(request, number)| {
        Some(Attempt {
            request: request.parse::<request::Id>().ok()?,
            number: number.parse().ok()?,
        })
    });
    parsed.ok_or_else(|| Reply::text(StatusCode::BAD_REQUEST, "no attempt"))
}

impl Handler for Shared {
    fn faults(&self, path: &str) -> Option<Injection> {
        let is_control = matches!(path, "/fault" | "/record");
        (!is_control).then(|| lock(&self.state).faults.injection())
    }

    async fn answer(&self, call: Call) -> Reply {
        if self.faults(&call.path).is_some() {
            self.wait_while_paused().await;
        }
        let answered = self.handle(&call).await;
        answered.unwrap_or_else(|refusal| refusal)
    }
}

/// The stand-in for a worker.
pub struct Standin {
    host: Host,
    shared: Arc<Shared>,
}

impl Standin {
    /// Starts a worker that no owner has claimed.
    ///
    /// # Errors
    ///
    /// Fails if it can't bind a port or start a thread.
    pub fn start(settings: Settings) -> Result<Standin> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(settings)),
            changed: Notify::new(),
        });
        let host = Host::start(Arc::clone(&shared), Arc::clone(&shared).run())?;
        Ok(Standin { host, shared })
    }

    /// Returns the worker's name.
    pub fn name(&self) -> Name {
        lock(&self.shared.state).settings.name.clone()
    }

    /// Returns the total capacity of the worker.
    pub fn capacity(&self) -> Size {
        lock(&self.shared.state).settings.capacity
    }

    /// Returns the address that the worker listens on.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Sets the faults, as `POST /fault` does.
    pub fn set_faults(&self, faults: fault::Worker) {
        lock(&self.shared.state).faults = faults;
        self.shared.changed.notify_waiters();
    }

    /// Returns the record of the attempts that the worker began and ended.
    pub fn record(&self) -> Record {
        lock(&self.shared.state).record.clone()
    }

    /// Stops the worker and waits for its end; tasks and calls in flight are aborted.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in has panicked.
    pub async fn stop(self) -> Result<()> {
        self.host.stop().await
    }
}

/// Returns the outcome of an attempt that runs to its end.
fn outcome(fail: bool) -> Outcome {
    if fail { Outcome::Failed } else { Outcome::Done }
}
