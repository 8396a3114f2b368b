//! The frames, as wire types of their own.
//!
//! A stream carries either one request (`Submit` or `Resume`, then `Chunk`s and `End`, answered by
//! `Verdict`, `Chunk`s and `End`) or one control frame and its one reply.

use azurepath_decide::size::Size;
use azurepath_decide::verdict::Reason;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::batch;
use crate::summary::Summary;

/// One frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Frame {
    /// Opens a connection.
    Hello(Hello),
    /// A request for the owner of a rack.
    Submit(Task),
    /// A request whose earlier owner died.
    Resume(Task),
    /// A caller has gone; the request may be dropped.
    Cancel(Target),
    /// A part of a payload.
    Chunk(Chunk),
    /// The end of a payload.
    End(End),
    /// What became of a request.
    Verdict(Verdict),
    /// A summary of an owner's racks.
    Summary(Summary),
    /// Configuration changes, as JSON.
    Change(Document),
    /// Evidence of the newest revision that a server knows.
    #[strum(serialize = "beat")]
    Heartbeat(Heartbeat),
    /// A rack is handed over.
    Handover(Handover),
    /// An ask for places of a gang, as JSON of `gang::Ask`; answered by `Held`.
    Reserve(Document),
    /// Places held, as JSON of `gang::Hold`.
    Held(Document),
    /// The gang starts.
    Commit(Target),
    /// The gang gives its places back.
    Release(Target),
    /// A call to the instance that leads; answered by `Reply`.
    Call(Box<batch::Call>),
    /// The reply to a `Call`.
    Reply(Box<batch::Reply>),
    /// The control frame was taken.
    Done,
    /// The frame could not be served.
    Fault(Fault),
}

/// The opening of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The protocol version.
    pub version: u16,
    /// The name of the sender.
    pub server: String,
    /// The incarnation of the sender.
    pub incarnation: u64,
}

/// A request on its way to an owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// The rack whose owner is meant.
    pub rack: String,
    /// The epoch of the rack's ownership that is meant.
    pub epoch: u64,
    /// The request's id.
    pub id: u128,
    /// The team.
    pub team: String,
    /// The service, queue or job.
    pub kind: String,
    /// The class by its number.
    pub class: u8,
    /// The declared size.
    pub size: Size,
    /// The declared run time in microseconds.
    pub estimate_us: u64,
    /// The patience that is left in microseconds; `u64::MAX` for no end.
    pub patience_us: u64,
    /// Whether a second attempt is harmless.
    pub idempotent: bool,
    /// The gang, if any.
    pub gang: Option<u128>,
}

/// A frame that only names a request or a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The request or the gang.
    pub id: u128,
}

/// A part of a payload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The request.
    pub id: u128,
    /// The attempt that the payload belongs to; 0 for the request's own payload.
    pub attempt: u32,
    /// The bytes.
    pub data: Bytes,
}

/// The end of a payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The request.
    pub id: u128,
    /// The attempt that the payload belongs to; 0 for the request's own payload.
    pub attempt: u32,
    /// The length of the whole payload in bytes.
    pub length: u64,
    /// The CRC-32 of the whole payload.
    pub checksum: u32,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The request.
    pub id: u128,
    /// The kind of verdict.
    pub status: Status,
}

/// The kinds of verdicts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It did not run.
    NotRun {
        /// Why.
        reason: Reason,
        /// When another try may be worth it, in microseconds.
        retry_after_us: Option<u64>,
    },
    /// It may have run.
    Unknown {
        /// The attempt.
        attempt: u32,
    },
    /// It ran; the payload of its answer follows.
    Ran {
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: String,
        /// How it ended, by name.
        outcome: String,
    },
}

/// A document in JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The text.
    pub json: String,
}

/// Evidence that a server had seen nothing newer than a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The server that sends.
    pub server: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The newest revision that it knows.
    pub revision: u64,
}

/// The handover of a rack to a successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The rack.
    pub rack: String,
    /// The epoch of the owner that hands over.
    pub epoch: u64,
}

/// A frame could not be served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{kind}: {remedy}")]
pub struct Fault {
    /// What was wrong.
    pub kind: String,
    /// What to do.
    pub remedy: String,
}
