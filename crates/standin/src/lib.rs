//! Stand-ins for the platform and the workers, with faults that can be injected over HTTP.
//!
//! Each stand-in runs on its own thread and listens on a port chosen by the kernel, so that a test
//! can stop it at any time, like an instance that dies. `docs/PLATFORM.md` describes the protocol.

mod host;
mod objects;
mod table;

pub mod cluster;
pub mod fault;
pub mod fleet;
pub mod platform;
pub mod worker;
