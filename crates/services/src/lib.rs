//! Clients of the platform: the table service, the object store, the instance list and the
//! workers. `docs/PLATFORM.md` describes the protocol.

pub mod instance;
pub mod object;
pub mod table;
pub mod usage;
pub mod worker;

pub use azurepath_http::CHECKSUM_HEADER;
