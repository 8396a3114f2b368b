//! Connections between servers: links, streams, pings and calls.

pub mod call;
pub mod error;
pub mod link;
pub mod listener;
pub mod ping;
pub mod pool;
pub mod publish;
pub mod stream;
mod transport;
pub mod tuning;

pub use error::Error;
