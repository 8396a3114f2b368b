//! Errors of streams between servers.

use azurepath_wire::{Mismatch, codec, frame::Fault};

/// Why a stream failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection or the stream has ended.
    #[error("the connection to the peer was lost ({0}); the request is resumed over a new one")]
    Transport(#[from] h2::Error),
    /// The received bytes are not valid frames.
    #[error(transparent)]
    Codec(#[from] codec::Error),
    /// A frame has content that this release does not know.
    #[error(transparent)]
    Mismatch(#[from] Mismatch),
    /// The peer ended the stream before its last frame.
    #[error("the peer ended the stream before its last frame; the request is resumed")]
    Ended,
    /// A frame of this kind is not expected here.
    #[error("the frame {frame} does not belong here; run the same release on both servers")]
    Unexpected {
        /// The kind of the received frame.
        frame: &'static str,
    },
    /// A verdict or payload frame belongs to another request or attempt.
    #[error("a payload of another request or attempt came; the request is resumed")]
    WrongAttempt,
    /// The length or the checksum of a payload differs from that of its end frame.
    #[error("a payload was cut or changed on its way; the request is resumed")]
    Corrupt,
    /// A payload is longer than the limit.
    #[error("the payload is longer than {limit} bytes; send less, or raise [limits] body")]
    TooLong {
        /// The limit in bytes.
        limit: u64,
    },
    /// The peer reported that it could not serve the call.
    #[error(transparent)]
    Fault(#[from] Fault),
}
