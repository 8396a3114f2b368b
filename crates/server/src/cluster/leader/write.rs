//! The leader's writes: what goes into the next one, and what follows from its end.

use std::time::Duration;

use slog::warn;
use tokio::task::JoinError;
use tokio::time::Instant;

use super::{HEARTBEAT_INTERVAL, Leader};
use crate::cluster::writer::{Batch, Limits, Outcome, Writer};

impl Leader {
    /// Starts the next write if rows have changed, a heartbeat is due or the scheduler awaits one.
    pub(super) fn begin_write(&mut self) {
        if self.writer.is_none() {
            return;
        }
        let settings = self.context.settings();
        let limits = Limits {
            row_bytes: settings.row_bytes,
            link_kbps: settings.link_kbps,
        };
        let mut batch = Batch::default();
        let changed = self
            .scheduler
            .next_batch(|change| batch.add(change, limits));
        let is_due = self.write_begun.elapsed() >= HEARTBEAT_INTERVAL;
        if !changed && !is_due && !self.scheduler.awaits_confirmation() {
            return;
        }
        if let Some(writer) = self.writer.take() {
            self.write_begun = Instant::now();
            self.write_rows = (batch.len(), self.scheduler.unstored_rows() > 0);
            self.writing.spawn(writer.write(batch));
        }
    }

    /// Handles the end of a write. Returns whether this instance still leads.
    pub(super) fn written(&mut self, written: Result<(Writer, Outcome), JoinError>) -> bool {
        match written {
            Ok((writer, Outcome::Stored(sent))) => {
                self.authority.extend(sent);
                self.scheduler.confirm(sent);
                let took = self.write_begun.elapsed();
                self.context.counts.writes.record(took.as_secs_f64(), &[]);
                let (rows, full) = self.write_rows;
                self.store_pace.record(rows, full, took);
                self.writer = Some(writer);
                self.scheduler.batch_stored();
                true
            }
            Ok((writer, Outcome::Rejected)) => {
                self.writer = Some(writer);
                self.scheduler.batch_rejected();
                true
            }
            Ok((_, Outcome::Deposed)) => false,
            Err(error) => {
                warn!(self.context.log, "writer task failed"; "error" => %error);
                false
            }
        }
    }

    /// Returns how long the present write takes so far.
    pub(super) fn writing_time(&self) -> Duration {
        if self.writing.is_empty() {
            Duration::ZERO
        } else {
            self.write_begun.elapsed()
        }
    }
}
