//! The stand-in for a worker of the users' platform.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::Result;
use http::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::DEFAULT_RUN_TIME;
use crate::fault::Injection;
use crate::host::{Call, Handler, Host, Reply, lock};

/// The capacity of a worker, in thousandths of a core.
const MILLICORES: u64 = 16_000;

/// How often a worker checks for tasks that have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The last word of a payload whose tasks end as failed.
pub const FAILS: &str = "fails";

/// A run of a task on this worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The task.
    pub task: String,
    /// The number of the run.
    pub run: u64,
    /// When it started.
    pub started: Instant,
    /// When it ended.
    pub ended: Option<Instant>,
    /// Whether it completed its work; reset if the lease expires before the end is acknowledged.
    pub done: bool,
}

#[derive(Debug)]
struct State {
    started: Instant,
    born_ms: u64,
    faults: Injection,
    /// The epochs of the leaders whose calls arrive.
    reachable_epochs: RangeInclusive<u64>,
    fence: u64,
    lease_ms: u64,
    running: BTreeMap<String, (u64, Instant)>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    highest_ended_run: BTreeMap<String, u64>,
    runs: Vec<Run>,
    /// The running tasks that end as failed.
    failing: BTreeSet<String>,
    /// The thousandths of a core that each running task uses.
    used_millicores: BTreeMap<String, u64>,
    /// How many starts exceeded the worker's capacity.
    overcommits: usize,
    renewals: u64,
}

struct Shared {
    id: String,
    state: Mutex<State>,
    ended: Notify,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Order {
    #[serde(default)]
    task: String,
    #[serde(default)]
    run: u64,
    /// The run time in milliseconds and, optionally, the thousandths of a core that the task uses and
    /// [`FAILS`].
    #[serde(default)]
    spec: String,
    fence: u64,
    #[serde(default)]
    until_ms: u64,
    #[serde(default)]
    acked_upto: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl State {
    fn new() -> State {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        State {
            started: Instant::now(),
            born_ms: unix_time.map_or(1, |unix_time| unix_time.as_millis() as u64),
            faults: Injection::default(),
            reachable_epochs: 0..=u64::MAX,
            fence: 0,
            lease_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            highest_ended_run: BTreeMap::new(),
            runs: Vec::new(),
            failing: BTreeSet::new(),
            used_millicores: BTreeMap::new(),
            overcommits: 0,
            renewals: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Ends the tasks that are due, or all tasks if the lease has expired. Returns whether any task
    /// has ended.
    fn advance(&mut self) -> bool {
        let (now, lease_expired) = (Instant::now(), self.clock_ms() > self.lease_ms);
        let is_due = |(_, (_, ends)): &(&String, &(u64, Instant))| lease_expired || *ends <= now;
        let due: Vec<String> = self
            .running
            .iter()
            .filter(is_due)
            .map(|(task, _)| task.clone())
            .collect();
        if lease_expired {
            self.discard_unacked_ends();
        }
        for task in &due {
            let outcome = match (lease_expired, self.failing.contains(task)) {
                (true, _) => "lapsed",
                (false, true) => "failed",
                (false, false) => "done",
            };
            self.end(task, outcome);
        }
        !due.is_empty()
    }

    /// Marks the runs whose ends have not been acknowledged as not done. Called when the lease has
    /// expired after those ends.
    fn discard_unacked_ends(&mut self) {
        for (_, task, run, _) in &self.ended {
            for recorded in &mut self.runs {
                if recorded.task == *task && recorded.run == *run {
                    recorded.done = false;
                }
            }
        }
    }

    /// Forgets everything, as a new process does. The connections from before become silent.
    fn restart(&mut self) {
        self.discard_unacked_ends();
        let running: Vec<String> = self.running.keys().cloned().collect();
        for task in running {
            self.end(&task, "lapsed");
        }
        let next = State::new();
        *self = State {
            born_ms: next.born_ms.max(self.born_ms + 1),
            faults: Injection {
                silence_open: self.faults.silence_open + 1,
                ..self.faults
            },
            reachable_epochs: self.reachable_epochs.clone(),
            runs: std::mem::take(&mut self.runs),
            overcommits: self.overcommits,
            renewals: self.renewals,
            ..next
        };
    }

    fn end(&mut self, task: &str, outcome: &'static str) {
        let Some((run, _)) = self.running.remove(task) else {
            return;
        };
        self.ended
            .push((self.next_end, task.to_owned(), run, outcome));
        self.next_end += 1;
        self.used_millicores.remove(task);
        self.failing.remove(task);
        let highest_run = self.highest_ended_run.entry(task.to_owned()).or_default();
        *highest_run = (*highest_run).max(run);
        for recorded in &mut self.runs {
            if recorded.task == task && recorded.run == run {
                recorded.ended = Some(Instant::now());
                recorded.done = outcome == "done";
            }
        }
    }

    fn refuse(&self, reason: &str) -> Reply {
        let body = json!({"clockMs": self.clock_ms(), "reason": reason, "born": self.born_ms});
        Reply::json(StatusCode::CONFLICT, &body)
    }

    fn accept(&self) -> Reply {
        let body = json!({"clockMs": self.clock_ms(), "born": self.born_ms});
        Reply::json(StatusCode::OK, &body)
    }

    fn start(&mut self, order: Order) -> Reply {
        if order.until_ms < self.clock_ms() {
            return self.refuse("late");
        }
        self.lease_ms = self.lease_ms.max(order.until_ms);
        if self
            .running
            .get(&order.task)
            .is_some_and(|(run, _)| *run == order.run)
        {
            return self.accept();
        }
        if self
            .highest_ended_run
            .get(&order.task)
            .is_some_and(|run| *run >= order.run)
        {
            return self.refuse("old");
        }
        if order.spec.ends_with(FAILS) {
            self.failing.insert(order.task.clone());
        }
        let mut numbers = order.spec.split(' ').map(str::parse);
        let run_time = numbers.next().and_then(Result::ok);
        let run_time = run_time.map_or(DEFAULT_RUN_TIME, Duration::from_millis);
        let millicores = numbers.next().and_then(Result::ok).unwrap_or(0);
        self.used_millicores.insert(order.task.clone(), millicores);
        if self.used_millicores.values().sum::<u64>() > MILLICORES {
            self.overcommits += 1;
        }
        let ends = Instant::now() + run_time;
        self.running.insert(order.task.clone(), (order.run, ends));
        self.runs.push(Run {
            task: order.task,
            run: order.run,
            started: Instant::now(),
            ended: None,
            done: false,
        });
        self.accept()
    }

    fn stop(&mut self, order: &Order) -> Reply {
        let highest_run = self
            .highest_ended_run
            .entry(order.task.clone())
            .or_default();
        *highest_run = (*highest_run).max(order.run);
        if self
            .running
            .get(&order.task)
            .is_some_and(|(run, _)| *run == order.run)
        {
            self.end(&order.task, "stopped");
        }
        self.accept()
    }

    fn report(&self) -> Reply {
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, (run, _))| json!([task, run, "", 100, 0]))
            .collect();
        let ended: Vec<Value> = self
            .ended
            .iter()
            .map(|(number, task, run, outcome)| json!([number, task, run, outcome, ""]))
            .collect();
        let body = json!({
            "clockMs": self.clock_ms(), "born": self.born_ms, "running": running, "ended": ended,
        });
        Reply::json(StatusCode::OK, &body)
    }
}

impl Shared {
    async fn hold(&self, order: Order) -> Reply {
        let end = Instant::now() + Duration::from_millis(order.wait_ms);
        {
            let mut state = lock(&self.state);
            state.renewals += 1;
            state.lease_ms = state.lease_ms.max(order.until_ms);
            state
                .ended
                .retain(|(number, ..)| *number > order.acked_upto);
        }
        loop {
            let ended = self.ended.notified();
            let remaining = end.saturating_duration_since(Instant::now());
            {
                let state = lock(&self.state);
                if !state.ended.is_empty() || remaining.is_zero() {
                    return state.report();
                }
            }
            // A task has ended or the wait has timed out; the loop checks for both.
            let _ = tokio::time::timeout(remaining, ended).await;
        }
    }

    /// Waits forever if the leader of an epoch is cut off from this worker.
    async fn require_reachable(&self, epoch: u64) {
        let is_reachable = lock(&self.state).reachable_epochs.contains(&epoch);
        if !is_reachable {
            std::future::pending::<()>().await;
        }
    }

    async fn order(&self, call: &Call) -> Result<Reply, Reply> {
        let order: Order = call.json()?;
        let epoch = order.fence;
        self.require_reachable(epoch).await;
        let reply = self.carry_out(&call.path, order).await?;
        self.require_reachable(epoch).await;
        Ok(reply)
    }

    async fn carry_out(&self, path: &str, order: Order) -> Result<Reply, Reply> {
        {
            let mut state = lock(&self.state);
            if order.fence < state.fence {
                return Ok(state.refuse("fence"));
            }
            state.fence = order.fence;
            state.advance();
        }
        match path {
            "/api/run-start" => {
                let mut state = lock(&self.state);
                let reply = state.start(order);
                let lost = state.faults.take_lost_answer();
                Ok(if lost { reply.truncate() } else { reply })
            }
            "/api/run-stop" => Ok(lock(&self.state).stop(&order)),
            "/api/hold" => Ok(self.hold(order).await),
            _ => Err(Reply::empty(StatusCode::NOT_FOUND)),
        }
    }
}

impl Handler for Shared {
    fn faults(&self, _path: &str) -> Option<Injection> {
        Some(lock(&self.state).faults)
    }

    async fn answer(&self, call: Call) -> Reply {
        let target = call
            .headers
            .get("target-instance")
            .and_then(|id| id.to_str().ok());
        if target.is_some_and(|target| target != self.id) {
            return Reply::empty(StatusCode::MISDIRECTED_REQUEST);
        }
        self.order(&call).await.unwrap_or_else(|refusal| refusal)
    }
}

/// The stand-in for a worker.
pub struct Standin {
    host: Host,
    shared: Arc<Shared>,
}

impl Standin {
    /// Starts a worker.
    ///
    /// # Errors
    ///
    /// Fails if it can't bind a port or start a thread.
    pub fn start(id: &str) -> Result<Standin> {
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            state: Mutex::new(State::new()),
            ended: Notify::new(),
        });
        let polled = Arc::clone(&shared);
        let poll_tasks = async move {
            loop {
                tokio::time::sleep(POLL_INTERVAL).await;
                if lock(&polled.state).advance() {
                    polled.ended.notify_waiters();
                }
            }
        };
        let host = Host::start(Arc::clone(&shared), poll_tasks)?;
        Ok(Standin { host, shared })
    }

    /// Returns the worker's entry in the registry.
    pub fn entry(&self) -> Value {
        json!({
            "backend": "pool", "addr": self.host.address().to_string(), "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
            "capacity": {"cpu": MILLICORES, "memMb": 65_536, "gpus": 0},
            "labels": ["a", "r1"], "clockMs": 0, "seq": 1,
            "born": lock(&self.shared.state).born_ms,
        })
    }

    /// Starts the worker again under its id and address, without memory. Nothing answers on the
    /// connections from before, as after a loss of power.
    pub fn restart(&self) {
        lock(&self.shared.state).restart();
    }

    /// Returns the address that the worker listens on.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Sets the faults of all calls.
    pub fn set_faults(&self, faults: Injection) {
        lock(&self.shared.state).faults = faults;
    }

    /// Cuts the worker off from the leaders of all but these epochs, and from the instances that call
    /// it for them: their calls have no effect and no answer. Calls that wait lose their answers.
    pub fn set_reachable_epochs(&self, epochs: RangeInclusive<u64>) {
        lock(&self.shared.state).reachable_epochs = epochs;
    }

    /// Returns how many starts exceeded the worker's capacity.
    pub fn overcommits(&self) -> usize {
        lock(&self.shared.state).overcommits
    }

    /// Returns how often its leases were renewed or its tasks asked for.
    pub fn renewals(&self) -> u64 {
        lock(&self.shared.state).renewals
    }

    /// Returns all runs that have started.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.state).runs.clone()
    }
}
