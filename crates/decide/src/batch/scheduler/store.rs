//! What is written to the store, and what follows once it is stored or can't be stored.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::time::Time;

use super::super::event::{Answer, Decision};
use super::super::fleet::{Contact, Worker};
use super::super::job::Job;
use super::super::journal::Deferred;
use super::super::record::{BlockId, Change, Fit, Progress, Record, Row, Stored};
use super::super::{JobId, State, TaskId};
use super::Scheduler;

impl Scheduler {
    /// Resumes from the state that earlier schedulers have stored.
    pub(super) fn restore(&mut self, stored: Stored) {
        let mut blocks: BTreeMap<JobId, Vec<(BlockId, Progress)>> = BTreeMap::new();
        for (id, progress) in stored.blocks {
            blocks.entry(id.step.job).or_default().push((id, progress));
        }
        let mut bounded = Vec::new();
        for (id, mut record) in stored.jobs {
            if let Record::Open(submission) = &mut record
                && submission.spec.bound_estimates()
            {
                bounded.push(id);
            }
            let own = match &record {
                Record::Open(_) => blocks.remove(&id),
                Record::Ended(..) => None,
            };
            self.restore_job(id, record, &own.unwrap_or_default());
        }
        if let Some(&job) = bounded.first() {
            let jobs = bounded.len();
            self.log(Decision::EstimatesBounded { job, jobs });
        }
        // The jobs of the remaining blocks have ended.
        for (id, _) in blocks.into_values().flatten() {
            self.journal.record(Row::Block(id), None);
        }
        for entry in stored.roster {
            self.restore_worker(entry);
        }
    }

    fn restore_job(&mut self, id: JobId, record: Record, blocks: &[(BlockId, Progress)]) {
        let accepted_ms = match &record {
            Record::Open(submission) => submission.accepted_ms,
            Record::Ended(..) => self.wall_ms(),
        };
        let age = Duration::from_millis(self.wall_ms().saturating_sub(accepted_ms));
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let accepted = Time(self.now.0.saturating_sub(age));
        let mut job = Job::restore(record, blocks, accepted, self.setup.first_run());
        if job.state.is_final() {
            job.ended = Some(self.now);
            self.ended.entry(self.now).or_default().push(id);
        } else {
            self.ready.insert(id);
            self.note_unreported(&job);
        }
        self.jobs.insert(id, job);
    }

    /// Offers the changed rows for the next write, in order, until `stage` takes no more. Returns
    /// whether any was taken; none is while a write is in progress.
    pub fn next_batch(&mut self, mut stage: impl FnMut(&Change) -> Fit) -> bool {
        if self.journal.is_writing() {
            return false;
        }
        while self.journal.writing() < self.max_rows
            && let Some(row) = self.journal.first().cloned()
        {
            let mut fit = stage(&self.change(&row));
            if fit == Fit::TooLarge && self.omit_checkpoints(&row) {
                fit = stage(&self.change(&row));
            }
            match fit {
                Fit::Taken => {
                    self.journal.begin_first();
                    if let Row::Block(block) = row {
                        self.mark_block_written(block);
                    }
                }
                Fit::Full => break,
                Fit::TooLarge => {
                    let deferred = self.journal.give_up_first();
                    self.give_up(&row, &deferred);
                }
            }
        }
        self.journal.is_writing()
    }

    /// Returns how many rows have changed and are not part of a write yet.
    pub fn unstored_rows(&self) -> usize {
        self.journal.waiting()
    }

    /// Handles the success of the last write.
    pub fn batch_stored(&mut self) {
        self.max_rows = self.max_rows.saturating_mul(2);
        for (row, deferred) in self.journal.written() {
            match &row {
                Row::Worker(id) => {
                    if let Some(&index) = self.by_id.get(id)
                        && !self.journal.is_waiting(&row)
                    {
                        self.workers[index].in_roster = true;
                        self.ranking.invalidate();
                    }
                }
                Row::Job(id) => self.mark_job_stored(*id),
                Row::Block(_) => {}
            }
            self.run_deferred(&row, &deferred);
        }
    }

    /// Handles that the store will never accept the last write. The rows are written again in
    /// smaller parts, until the one that can't be stored is found.
    pub fn batch_rejected(&mut self) {
        let rows = self.journal.writing();
        if rows > 1 {
            self.max_rows = rows / 2;
            self.journal.requeue();
            return;
        }
        for (row, deferred) in self.journal.written() {
            if self.omit_checkpoints(&row) {
                self.journal.record(row, deferred);
            } else {
                self.give_up(&row, &deferred);
            }
        }
    }

    /// Leaves the checkpoints out of a block's row from now on. Returns `false` if they are left out
    /// already or the row is of another kind.
    fn omit_checkpoints(&mut self, row: &Row) -> bool {
        let Row::Block(block) = *row else {
            return false;
        };
        let is_new = self.long_blocks.insert(block);
        if is_new {
            self.log(Decision::CheckpointsOmitted { block });
        }
        is_new
    }

    fn change(&self, row: &Row) -> Change {
        match row {
            Row::Worker(id) => {
                let worker = self.by_id.get(id).map(|&index| &self.workers[index]);
                // A successor has to look for runs that the next incarnation may have started.
                let is_kept = |worker: &&Worker| {
                    worker.contact != Contact::Gone || !self.unsettled_runs(id).is_empty()
                };
                let alive = worker.filter(is_kept);
                Change::Worker(id.clone(), alive.map(|worker| worker.entry.clone()))
            }
            Row::Job(id) => Change::Job(*id, self.jobs.get(id).and_then(Job::record)),
            Row::Block(id) => {
                let job = self.jobs.get(&id.step.job);
                let open = job.filter(|job| !job.state.is_final());
                let progress = open.and_then(|job| job.progress(*id));
                let progress = match self.long_blocks.contains(id) {
                    true => progress.map(Progress::without_checkpoints),
                    false => progress,
                };
                Change::Block(*id, progress)
            }
        }
    }

    /// Remembers that the row of a block may exist.
    fn mark_block_written(&mut self, block: BlockId) {
        if let Some(job) = self.jobs.get_mut(&block.step.job)
            && !job.state.is_final()
        {
            job.blocks.insert(block);
        }
    }

    fn mark_job_stored(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.stored = true;
        if job.state.is_final() {
            // The final state of a job that ended during the write needs another write.
            job.final_state_stored = !self.journal.is_waiting(&Row::Job(id));
        }
        if job.state.is_final() && job.final_state_stored {
            for block in std::mem::take(&mut job.blocks) {
                self.long_blocks.remove(&block);
                self.journal.record(Row::Block(block), None);
            }
        }
    }

    fn run_deferred(&mut self, row: &Row, deferred: &[Deferred]) {
        let mut workers = BTreeSet::new();
        for item in deferred {
            match (row, *item) {
                (Row::Job(id), Deferred::Admit) => self.admit(*id),
                (Row::Job(id), Deferred::Answer(call)) => {
                    let answer = match self.jobs.get(id).map(|job| job.state) {
                        Some(State::Cancelled) => Answer::Cancelled,
                        Some(_) => Answer::Accepted,
                        None => Answer::Unknown,
                    };
                    self.answer(call, answer);
                }
                (_, Deferred::End { worker, number }) => {
                    self.workers[worker].unstored.remove(&number);
                    workers.insert(worker);
                }
                // Only jobs are admitted and only calls about jobs are answered.
                (Row::Worker(_) | Row::Block(_), Deferred::Admit | Deferred::Answer(_)) => {}
            }
        }
        for worker in workers {
            self.acknowledge(worker);
        }
    }

    /// Handles a row that the store will never accept.
    fn give_up(&mut self, row: &Row, deferred: &[Deferred]) {
        self.log(Decision::Unstorable { row: row.clone() });
        match row {
            // Nothing starts on a worker that is not in the roster.
            Row::Worker(_) => {}
            Row::Job(id) => self.give_up_job(*id, deferred),
            Row::Block(block) => {
                // Without its progress a successor would run the job's tasks again.
                let job = block.step.job;
                for end in deferred {
                    self.journal.record(Row::Job(job), Some(*end));
                }
                self.finish(job, State::Failed);
            }
        }
    }

    /// Rejects a job that can't be stored. A job with a final state stays as it is; its calls get
    /// no answer, since nobody knows what a successor will find.
    fn give_up_job(&mut self, id: JobId, deferred: &[Deferred]) {
        if self.jobs.get(&id).is_none_or(|job| job.stored) {
            return;
        }
        self.jobs.remove(&id);
        self.ready.remove(&id);
        for item in deferred {
            if let Deferred::Answer(call) = item {
                self.answer(*call, Answer::TooLarge);
            }
        }
    }

    /// Refuses the jobs that have waited for `wait` without having been in any write.
    ///
    /// Answers a store that has stopped answering. The clients of these jobs would give up without
    /// knowing whether the jobs run. Jobs in the present write stay, since the store may still carry it
    /// out.
    pub fn refuse_unwritten(&mut self, now: Time, wait: Duration, pause: Duration) {
        for id in self.journal.unwritten_jobs() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let waited = now.since(job.accepted);
            if job.stored || job.state.is_final() || waited < wait {
                continue;
            }
            self.jobs.remove(&id);
            self.ready.remove(&id);
            self.ranking.mark_changed(id);
            self.log(Decision::Withdrawn {
                job: id,
                waited,
                pause,
            });
            for item in self.journal.withdraw(&Row::Job(id)) {
                if let Deferred::Answer(call) = item {
                    self.answer(call, Answer::Refused(pause));
                }
            }
        }
    }

    /// Returns the block of a task.
    pub(super) fn block_of(task: TaskId) -> Row {
        Row::Block(BlockId::of(task.step, task.index))
    }
}
