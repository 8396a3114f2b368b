//! The configuration of the cluster: its stored rows, its changes and the version that this server
//! has applied.

pub mod handle;
pub mod key;
pub mod push;
pub mod rows;
pub mod store;
mod task;

pub use handle::{Handle, Inbox, Rollout, channel};
pub use key::{Denied, authorize, authorize_operator, check_standing};
pub use task::run;
