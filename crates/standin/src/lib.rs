//! Stand-ins for the platform and the workers, with faults that can be switched on over HTTP.
//!
//! Each stand-in runs on a thread of its own and listens on a port of the kernel's choice, so it
//! can be stopped at any time as an instance that dies. `docs/PLATFORM.md` gives the protocol.

mod host;
mod objects;
mod table;

pub mod cluster;
pub mod fault;
pub mod fleet;
pub mod platform;
pub mod worker;
