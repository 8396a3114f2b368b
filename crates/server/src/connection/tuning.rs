//! The parameters of `h2` connections, the same on both sides.

/// The window of one stream in bytes.
pub(super) const STREAM_WINDOW: u32 = 1 << 20;

/// The window of a connection in bytes.
pub(super) const CONNECTION_WINDOW: u32 = 16 << 20;

/// The streams that a peer may have open at a time.
pub(super) const STREAMS: u32 = 16_384;

/// The longest `h2` frame in bytes.
pub(super) const FRAME_BYTES: u32 = 128 << 10;

/// The longest header list in bytes.
pub(super) const HEADER_BYTES: u32 = 8 << 10;
