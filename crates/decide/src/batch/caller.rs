//! Who makes a call about a job.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// The caller of a call about a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The queue that the call names.
    pub queue: Name,
    /// The client account whose key the call carries.
    pub account: Option<Name>,
    /// Whether the queue is open to all, with or without a key.
    pub open: bool,
}
