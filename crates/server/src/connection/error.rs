//! What may go wrong on a connection.

use azurepath_wire::{Mismatch, codec, frame::Fault};

/// Why a stream could not be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection or the stream has ended.
    #[error("the connection to the peer was lost ({0}); the request is resumed over a new one")]
    Transport(#[from] h2::Error),
    /// The bytes were no frames.
    #[error(transparent)]
    Codec(#[from] codec::Error),
    /// A frame says something unknown.
    #[error(transparent)]
    Mismatch(#[from] Mismatch),
    /// The peer ended the stream too early.
    #[error("the peer ended the stream before its last frame; the request is resumed")]
    Ended,
    /// A frame came that does not belong there.
    #[error("the frame {frame} does not belong here; run the same release on both servers")]
    Unexpected {
        /// The frame that came.
        frame: &'static str,
    },
    /// A frame belongs to another request or attempt.
    #[error("a payload of another request or attempt came; the request is resumed")]
    Crossed,
    /// A payload is not what its end says.
    #[error("a payload was cut or changed on its way; the request is resumed")]
    Damaged,
    /// A payload is longer than is taken.
    #[error("the payload is longer than {limit} bytes; send less, or raise [limits] body")]
    TooLong {
        /// The limit in bytes.
        limit: u64,
    },
    /// The peer could not serve the frame.
    #[error(transparent)]
    Fault(#[from] Fault),
}
