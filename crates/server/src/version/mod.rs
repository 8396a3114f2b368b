//! What lives as long as a version of the configuration.

pub mod handle;
pub mod key;
pub mod push;
pub mod rows;
pub mod store;
mod task;

pub use handle::{Accepted, Handle, Inbox, channel};
pub use key::{Denied, authorize, check_standing, is_operator};
pub use task::run;
