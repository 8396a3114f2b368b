//! The configuration that is in force in one process, and changes to it.

mod acceptance;
mod change;
mod edit;
mod evidence;
mod snapshot;

pub use acceptance::Acceptance;
pub use change::{Change, Delta, Head};
pub use edit::{Action, Condition, Edit, Event, Known, Proposal, Refusal, Rows};
pub use evidence::{Evidence, Standing};
pub use snapshot::{Entry, Gap, Snapshot};
