//! Writes the scheduler's decisions to the log and the metrics.

use std::time::Duration;

use azurepath_decide::batch::Decision;
use opentelemetry::KeyValue;
use slog::{Logger, info, warn};

use super::election::LEADER_TIMEOUT;
use crate::metrics::Cluster;

/// The maximum number of tasks of a step that a log line lists.
const MAX_LISTED_TASKS: usize = 40;

/// Logs a decision and updates the metrics. `unconfirmed_for` is how long ago the write was sent that
/// confirmed this instance as the leader last.
pub(super) fn log(
    log: &Logger,
    metrics: &Cluster,
    epoch: u64,
    unconfirmed_for: Duration,
    decision: &Decision,
) {
    let confirmed_ms = unconfirmed_for.as_millis() as u64;
    let name: &'static str = decision.into();
    let kind = |text: String| KeyValue::new("kind", text);
    match decision {
        Decision::Accepted {
            job,
            queue,
            account,
            excess,
            wait,
        } => {
            metrics.jobs.add(1, &[kind(name.to_owned())]);
            info!(log, "job accepted"; "job" => %job, "queue" => %queue,
                "account" => account.as_deref(), "excess" => excess,
                "wait_ms" => wait.as_millis() as u64, "epoch" => epoch);
        }
        Decision::Refused {
            job,
            queue,
            account,
            excess,
            bound,
            wait,
            fleet_millicores,
            pause,
        } => {
            metrics.jobs.add(1, &[kind(name.to_owned())]);
            metrics
                .refused_jobs
                .add(1, &[KeyValue::new("bound", bound.to_string())]);
            info!(log, "job refused"; "job" => %job, "queue" => %queue,
                "account" => account.as_deref(), "excess" => excess, "bound" => %bound,
                "wait_ms" => wait.as_millis() as u64, "fleet_millicores" => fleet_millicores,
                "retry_after_ms" => pause.as_millis() as u64, "epoch" => epoch);
        }
        Decision::Withdrawn { job, waited, pause } => {
            metrics.jobs.add(1, &[kind(name.to_owned())]);
            info!(log, "job refused unwritten"; "job" => %job,
                "waited_ms" => waited.as_millis() as u64,
                "retry_after_ms" => pause.as_millis() as u64, "epoch" => epoch);
        }
        Decision::Waits {
            step,
            cause,
            tasks,
            fitting,
            eligible,
            age,
            at_most,
        } => {
            info!(log, "step waits"; "step" => %step, "cause" => %cause, "tasks" => tasks,
                "fitting" => fitting, "eligible" => eligible,
                "age_ms" => age.as_millis() as u64,
                "at_most_ms" => at_most.map(|wait| wait.as_millis() as u64), "epoch" => epoch);
        }
        Decision::Located {
            step,
            placement,
            tasks,
            waited,
        } => {
            metrics
                .located
                .add(*tasks as u64, &[kind(placement.to_string())]);
            if !waited.is_zero() {
                info!(log, "wait for rack ended"; "step" => %step, "where" => %placement,
                    "tasks" => tasks, "waited_ms" => waited.as_millis() as u64, "epoch" => epoch);
            }
        }
        Decision::Started {
            step,
            run,
            tasks,
            age,
        } => {
            let confirmed = KeyValue::new("confirmed", unconfirmed_for < LEADER_TIMEOUT);
            metrics.starts.add(tasks.len() as u64, &[confirmed]);
            metrics.start_age.record(age.as_secs_f64(), &[]);
            let listed = tasks.iter().take(MAX_LISTED_TASKS);
            let listed: Vec<String> = listed
                .map(|(index, worker)| format!("{index}@{worker}"))
                .collect();
            info!(log, "tasks started"; "step" => %step, "run" => run, "tasks" => tasks.len(),
                "at" => listed.join(" "), "age_ms" => age.as_millis() as u64,
                "confirmed_ms" => confirmed_ms, "epoch" => epoch);
        }
        Decision::Ended {
            attempt,
            worker,
            outcome,
            failures,
        } => {
            metrics.ends.add(1, &[kind(outcome.to_string())]);
            info!(log, "task ended"; "task" => %attempt.task, "run" => attempt.run,
                "worker" => %worker, "how" => %outcome, "failures" => failures, "epoch" => epoch);
        }
        Decision::Lost {
            attempt,
            worker,
            evidence,
        } => {
            metrics.ends.add(1, &[kind(name.to_owned())]);
            info!(log, "task lost"; "task" => %attempt.task, "run" => attempt.run,
                "worker" => %worker, "evidence" => %evidence,
                "confirmed_ms" => confirmed_ms, "epoch" => epoch);
        }
        Decision::GangStopped { step, members } => {
            info!(log, "gang stopped"; "step" => %step, "members" => members, "epoch" => epoch);
        }
        Decision::Finished { job, state, age } => {
            metrics.jobs.add(1, &[kind(state.to_string())]);
            metrics.job_age.record(age.as_secs_f64(), &[]);
            info!(log, "job finished"; "job" => %job, "state" => %state,
                "age_ms" => age.as_millis() as u64, "epoch" => epoch);
        }
        Decision::Restarted { worker, unsettled } => {
            info!(log, "worker restarted"; "worker" => %worker, "unsettled" => unsettled,
                "epoch" => epoch);
        }
        Decision::EstimatesBounded { job, jobs } => {
            warn!(log, "estimates of stored jobs lowered"; "job" => %job, "jobs" => jobs,
                "epoch" => epoch);
        }
        Decision::CheckpointsOmitted { block } => {
            warn!(log, "checkpoints left out of a row"; "step" => %block.step,
                "block" => block.number, "epoch" => epoch);
        }
        Decision::Unstorable { row } => {
            warn!(log, "row can't be stored"; "row" => ?row, "epoch" => epoch);
        }
        Decision::SpeedChanged {
            worker,
            class,
            percent,
            runs,
        } => {
            metrics.speed_changes.add(1, &[kind(class.to_string())]);
            info!(log, "worker speed changed"; "worker" => %worker, "speed" => %class,
                "percent" => percent, "runs" => runs, "epoch" => epoch);
        }
        Decision::Quarantined { worker, failures } => {
            warn!(log, "worker quarantined"; "worker" => %worker, "failed_jobs" => failures,
                "epoch" => epoch);
        }
    }
}
