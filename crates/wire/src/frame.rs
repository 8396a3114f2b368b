//! The frames that servers exchange, as separate wire types.
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
    /// A request whose earlier owner died before finishing it.
    Resume(Task),
    /// The caller has disconnected; the request may be dropped.
    Cancel(Target),
    /// A part of a payload.
    Chunk(Chunk),
    /// The end of a payload.
    End(End),
    /// The result of a request.
    Verdict(Verdict),
    /// A summary of an owner's racks, or its difference to an earlier one.
    Summary(Summary),
    /// Configuration changes, as JSON.
    Change(Document),
    /// The newest configuration revision that a server knows.
    #[strum(serialize = "beat")]
    Heartbeat(Heartbeat),
    /// A rack is handed over.
    Handover(Handover),
    /// A request to hold places for members of a gang, as JSON of `gang::HoldRequest`; answered by
    /// `Held`.
    Reserve(Document),
    /// The places that are held, as JSON of `gang::Hold`.
    Held(Document),
    /// Starts a gang on the places that are held for it.
    Commit(Target),
    /// Releases the places that are held for a gang.
    Release(Target),
    /// A call to the leader; answered by `Reply`.
    Call(Box<batch::Call>),
    /// The reply to a `Call`.
    Reply(Box<batch::Reply>),
    /// The control frame was accepted.
    Done,
    /// The frame could not be processed.
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

/// A request that is sent to an owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// The target rack; empty for none.
    pub rack: String,
    /// The epoch of the target rack's ownership.
    pub epoch: u64,
    /// The request's id.
    pub id: u128,
    /// The team.
    pub team: String,
    /// The service, queue or job.
    pub kind: String,
    /// The number of the class.
    pub class: u8,
    /// The declared size.
    pub size: Size,
    /// The declared run time in microseconds.
    pub estimate_us: u64,
    /// The time left until the deadline in microseconds; `u64::MAX` for no deadline.
    pub patience_us: u64,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// The gang, if any.
    pub gang: Option<u128>,
}

/// A reference to a request or a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The id of the request or gang.
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

/// The result of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The request.
    pub id: u128,
    /// Whether the request ran.
    pub status: Status,
}

/// Whether a request ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It did not run.
    NotRun {
        /// The reason.
        reason: Reason,
        /// How long to wait before a retry, in microseconds.
        retry_after_us: Option<u64>,
    },
    /// It may have run.
    Unknown {
        /// The attempt.
        attempt: u32,
    },
    /// It ran; the payload of its answer follows in `Chunk`s.
    Ran {
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: String,
        /// The name of its outcome.
        outcome: String,
    },
}

/// A JSON document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The text.
    pub json: String,
}

/// The newest configuration revision that a server knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The server that sends the heartbeat.
    pub server: String,
    /// The incarnation of that server.
    pub incarnation: u64,
    /// The revision; the server has seen no newer one.
    pub revision: u64,
}

/// The handover of a rack to a successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The rack.
    pub rack: String,
    /// The epoch of the owner that hands the rack over.
    pub epoch: u64,
}

/// An error that occurred while a frame was processed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{kind}: {remedy}")]
pub struct Fault {
    /// The kind of error.
    pub kind: String,
    /// What to do about it.
    pub remedy: String,
}
