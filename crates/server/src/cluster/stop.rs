//! The graceful stop of an instance, and what it waits for.

use std::future::Future;
use std::time::Duration;

use anyhow::Context as _;
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::task::{JoinError, JoinHandle, JoinSet};
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use super::Context;
use super::listen::Servers;
use crate::process::stop::{Inflight, Phase};

/// The part of the grace period that is reserved for ending the process after the last answers.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(900);

/// The part of the grace period that is left when tasks that have not ended are aborted.
const EXIT_RESERVE: Duration = Duration::from_millis(300);

/// How long a stopping process accepts new connections: two readiness checks of the balancer, a
/// second apart, and the time of an answer.
const LINGER: Duration = Duration::from_millis(2_300);

/// How long it takes to write an answer.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// How often a stopping process logs what it waits for.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The work that the end of the process waits for.
#[derive(Clone, Debug, Default)]
pub(super) struct Pending {
    /// The calls of clients, by method.
    pub(super) calls: Inflight,
    /// The open connections, by who opened them.
    pub(super) connections: Inflight,
    /// The steps of the leader's end.
    pub(super) leader: Inflight,
    /// The tasks of the process, by name.
    tasks: Inflight,
}

/// The tasks of the process, each under a name.
#[derive(Debug, Default)]
pub(super) struct Tasks {
    tasks: JoinSet<()>,
    pending: Pending,
}

impl Tasks {
    /// Returns the work that the end of the process waits for.
    pub(super) fn pending(&self) -> &Pending {
        &self.pending
    }

    /// Starts a task.
    pub(super) fn spawn(
        &mut self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let guard = self.pending.tasks.enter(name);
        self.tasks.spawn(async move {
            let _guard = guard;
            task.await;
        });
    }

    /// Starts a task that is joined by itself.
    pub(super) fn spawn_apart(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> JoinHandle<()> {
        let guard = self.pending.tasks.enter(name);
        tokio::spawn(async move {
            let _guard = guard;
            task.await;
        })
    }

    /// Waits until all tasks and one that is joined by itself have ended.
    ///
    /// # Errors
    ///
    /// Returns an error if a task has failed.
    async fn join(&mut self, apart: &mut JoinHandle<()>) -> anyhow::Result<()> {
        apart.await?;
        while let Some(joined) = self.tasks.join_next().await {
            joined?;
        }
        Ok(())
    }

    /// Aborts the tasks that have not ended.
    ///
    /// # Errors
    ///
    /// Returns an error if a task has failed.
    async fn abort(&mut self, apart: &mut JoinHandle<()>) -> anyhow::Result<()> {
        let was_joined = apart.is_finished();
        apart.abort();
        self.tasks.abort_all();
        let mut ends = Vec::new();
        if !was_joined {
            ends.push(apart.await);
        }
        while let Some(end) = self.tasks.join_next().await {
            ends.push(end);
        }
        let mut failures = ends.into_iter().filter_map(Result::err);
        match failures.find(JoinError::is_panic) {
            Some(failure) => Err(failure.into()),
            None => Ok(()),
        }
    }
}

/// What a stopping process waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum Step {
    /// The balancer notices that the process is unready.
    Balancer,
    /// Calls of clients are answered, and their connections closed.
    Calls,
    /// The tasks of the process end.
    Tasks,
}

/// The process that is to be stopped.
pub(super) struct Stop {
    pub(super) context: Context,
    pub(super) phase: watch::Sender<Phase>,
    pub(super) answer_deadline: watch::Sender<Option<Instant>>,
    pub(super) leaving: CancellationToken,
    pub(super) halt: CancellationToken,
    pub(super) servers: Servers,
    pub(super) election: JoinHandle<()>,
    pub(super) tasks: Tasks,
}

impl Stop {
    /// Stops the process.
    ///
    /// # Errors
    ///
    /// Returns an error if a task has failed.
    pub(super) async fn run(self) -> anyhow::Result<()> {
        let progress = Progress {
            log: self.context.log.clone(),
            pending: self.context.pending.clone(),
            begun: Instant::now(),
            step: watch::Sender::new((Step::Balancer, Instant::now())),
        };
        let first = progress.begun + REPORT_INTERVAL;
        let mut report = tokio::time::interval_at(first, REPORT_INTERVAL);
        report.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let steps = self.take_steps(&progress);
        tokio::pin!(steps);
        loop {
            tokio::select! {
                stopped = &mut steps => return stopped,
                _ = report.tick() => progress.report(),
            }
        }
    }

    async fn take_steps(mut self, progress: &Progress) -> anyhow::Result<()> {
        let grace = self.context.settings().grace;
        let end = progress.begun + grace.saturating_sub(SHUTDOWN_RESERVE);
        let log = &self.context.log;
        let calls = &self.context.pending.calls;
        info!(log, "stopping"; "in_flight" => calls.count());
        self.phase.send_replace(Phase::Leaving);
        self.answer_deadline.send_replace(Some(end));
        self.leaving.cancel();
        // The balancer stops sending new connections after two failed checks.
        tokio::time::sleep(LINGER).await;
        progress.enter(Step::Calls);
        // Calls are answered by `end` at the latest, so a longer wait would not help.
        self.servers.stop(end + ANSWER_TIME).await?;
        info!(log, "connections closed"; "in_flight" => calls.count(), "ms" => progress.millis());
        progress.enter(Step::Tasks);
        self.halt.cancel();
        let exit = progress.begun + grace.saturating_sub(EXIT_RESERVE);
        let joined = self.tasks.join(&mut self.election);
        let ended = match tokio::time::timeout_at(exit, joined).await {
            Ok(ended) => ended,
            Err(_) => {
                warn!(log, "tasks cut"; "tasks" => %self.context.pending.tasks);
                self.tasks.abort(&mut self.election).await
            }
        };
        ended.context("a task of the process has failed")?;
        info!(log, "stopped"; "ms" => progress.millis());
        Ok(())
    }
}

/// How far a stop has come.
struct Progress {
    log: Logger,
    pending: Pending,
    begun: Instant,
    step: watch::Sender<(Step, Instant)>,
}

impl Progress {
    fn enter(&self, step: Step) {
        self.step.send_replace((step, Instant::now()));
    }

    /// Returns the time since the stop has begun, in milliseconds.
    fn millis(&self) -> u64 {
        millis(self.begun)
    }

    /// Logs what the process waits for. Before the last step it doesn't wait for its own tasks.
    fn report(&self) {
        let (step, begun) = *self.step.borrow();
        let tasks = (step == Step::Tasks).then(|| self.pending.tasks.to_string());
        info!(self.log, "stop waits";
            "step" => %step, "step_ms" => millis(begun), "ms" => self.millis(),
            "calls" => %self.pending.calls, "connections" => %self.pending.connections,
            "leader" => %self.pending.leader, "tasks" => tasks);
    }
}

fn millis(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
