//! Parameters of `h2` connections, which are the same on both sides.

/// The flow control window of a stream in bytes.
pub(super) const STREAM_WINDOW_BYTES: u32 = 1 << 20;

/// The flow control window of a connection in bytes.
pub(super) const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

/// The maximum number of streams that a peer may have open at a time.
pub(super) const MAX_STREAMS: u32 = 16_384;

/// The maximum size of an `h2` frame in bytes.
pub(super) const MAX_FRAME_BYTES: u32 = 128 << 10;

/// The maximum size of a header list in bytes.
pub(super) const MAX_HEADER_LIST_BYTES: u32 = 8 << 10;
