//! Frames that servers exchange over `h2` streams, and their codec.

pub mod batch;
pub mod codec;
mod convert;
pub mod frame;
pub mod summary;

pub use convert::Mismatch;

/// The version of the protocol between servers. Peers with another version are refused.
pub const VERSION: u16 = 1;
