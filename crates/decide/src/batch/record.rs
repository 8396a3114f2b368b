//! The stored form of jobs, tasks and workers.
//!
//! What a job is made of is written once, when it is accepted. Its progress is written again and
//! again, so it has rows of its own, which stay small: a row covers a fixed number of tasks and
//! leaves out those of which there is nothing to say.

use fixedbitset::FixedBitSet;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};

use crate::name::Name;

use super::fleet::Entry;
use super::spec::Spec;
use super::{JobId, State, StepId};

/// How many tasks of a step share a row. With all of them restarted many times, a row takes about
/// half of the 64 KiB that the platform's store accepts.
pub const BLOCK_TASKS: u32 = 256;

/// A block of consecutive tasks of a step. Their progress is stored together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockId {
    /// The step.
    pub step: StepId,
    /// The number of the block in its step, counted from 0.
    pub number: u32,
}

/// A row of the store.
///
/// Rows are written in this order: nothing starts on a worker before its row is stored, and the row
/// of a job with a final state makes those of its blocks needless.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Row {
    /// A worker on which tasks may run, by its id.
    Worker(Name),
    /// A job.
    Job(JobId),
    /// The progress of a block of tasks.
    Block(BlockId),
}

/// The change of a row; `None` removes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A worker on which tasks may run.
    Worker(Name, Option<Entry>),
    /// A job.
    Job(JobId, Option<Record>),
    /// The progress of a block of tasks.
    Block(BlockId, Option<Progress>),
}

/// Whether a change fits into a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// The change is part of the write.
    Taken,
    /// The write is full; the change belongs to a later one.
    Full,
    /// The store accepts no row of this size.
    TooLarge,
}

/// The state that earlier schedulers have stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// All jobs.
    pub jobs: Vec<(JobId, Record)>,
    /// The progress of their tasks.
    pub blocks: Vec<(BlockId, Progress)>,
    /// All workers on which tasks may run.
    pub roster: Vec<Entry>,
}

/// A job as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// An accepted job.
    Open(Submission),
    /// A job with a final state, and who submitted it; `None` if an earlier build has stored it.
    Ended(State, Option<Submitter>),
}

/// Who has submitted a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submitter {
    /// The queue.
    pub queue: Name,
    /// The client account.
    pub account: Option<Name>,
}

/// A job as earlier builds stored it, which did not tell who had submitted a job that has ended.
#[derive(Debug, Deserialize)]
pub enum EarlierRecord {
    /// An accepted job.
    Open(Submission),
    /// A job with a final state.
    Ended(State),
}

impl From<EarlierRecord> for Record {
    fn from(earlier: EarlierRecord) -> Record {
        match earlier {
            EarlierRecord::Open(submission) => Record::Open(submission),
            EarlierRecord::Ended(state) => Record::Ended(state, None),
        }
    }
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The queue.
    pub queue: Name,
    /// The client account, if the queue requires a key.
    pub account: Option<Name>,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Its specification.
    pub spec: Spec,
}

/// The progress of a block of tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Which tasks are done, by their number in the block.
    #[serde(deserialize_with = "read_bits")]
    pub done: FixedBitSet,
    /// What has to be known of the others, by their number in the block.
    pub tasks: Vec<(u32, Task)>,
    /// The runs of a gang that ended as failed, by the number of the member in the block. Several members
    /// may report the same run.
    pub failed_runs: Vec<(u32, Vec<u64>)>,
}

impl Progress {
    /// Returns the progress without checkpoints. A successor then runs the tasks from their beginning, unless
    /// their workers report them.
    #[must_use]
    pub fn without_checkpoints(mut self) -> Progress {
        for (_, task) in &mut self.tasks {
            task.checkpoint = None;
        }
        self
    }
}

/// The progress of a block as earlier builds stored it, which did not tell the failed runs of gangs apart.
#[derive(Debug, Deserialize)]
pub struct EarlierProgress {
    /// Which tasks are done, by their number in the block.
    #[serde(deserialize_with = "read_bits")]
    done: FixedBitSet,
    /// What has to be known of the others, by their number in the block.
    tasks: Vec<(u32, Task)>,
}

impl From<EarlierProgress> for Progress {
    fn from(earlier: EarlierProgress) -> Progress {
        Progress {
            done: earlier.done,
            tasks: earlier.tasks,
            failed_runs: Vec::new(),
        }
    }
}

/// The stored state of a task that is not done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// How many of its runs have failed.
    pub failures: u32,
    /// The runs whose end was counted. A worker reports an end until it is acknowledged, so a
    /// successor may see it again, and not always in the order of the runs.
    pub ended: Vec<u64>,
    /// Its newest checkpoint when a run last ended.
    pub checkpoint: Option<Name>,
}

impl BlockId {
    /// Returns the block of a task of a step.
    pub fn of(step: StepId, index: u32) -> BlockId {
        BlockId {
            step,
            number: index / BLOCK_TASKS,
        }
    }
}

/// Reads the bits of a block. The library would allocate whatever length a row states.
fn read_bits<'de, D: Deserializer<'de>>(deserializer: D) -> Result<FixedBitSet, D::Error> {
    #[derive(Deserialize)]
    struct Bits {
        length: u64,
        /// Blocks of bits, in little-endian order.
        data: Vec<u8>,
    }

    let Bits { length, data } = Bits::deserialize(deserializer)?;
    if length > u64::from(BLOCK_TASKS) || data.len() > BLOCK_TASKS as usize {
        return Err(Error::custom("the block has too many tasks"));
    }
    let ones = (0..length as usize).filter(|index| {
        let byte = data.get(index / 8).copied().unwrap_or(0);
        byte & (1 << (index % 8)) != 0
    });
    let mut bits = FixedBitSet::with_capacity(length as usize);
    bits.extend(ones);
    Ok(bits)
}
