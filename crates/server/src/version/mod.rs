//! What lives as long as a version of the configuration.

pub mod handle;
pub mod key;
pub mod push;
pub mod rows;
pub mod store;
mod task;

pub use handle::{Handle, Inbox, Rollout, channel};
pub use key::{Denied, authorize, authorize_operator, check_standing};
pub use task::run;
