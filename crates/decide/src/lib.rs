//! Decisions of the scheduler.
//!
//! The crate consists of state machines of the form `event + now → actions`. None of them opens a
//! socket, reads a clock or spawns a task, so a replayed trace gives the same result as the server
//! that recorded it.

pub mod action;
pub mod allotment;
pub mod attempt;
pub mod batch;
pub mod candidate;
pub mod cell;
pub mod class;
pub mod config;
pub mod event;
pub mod fair;
pub mod fleet;
pub mod gang;
pub mod health;
pub mod job;
pub mod learn;
pub mod ledger;
mod load;
pub mod meter;
pub mod name;
pub mod ownership;
pub mod placement;
pub mod policy;
pub mod queue;
pub mod rack;
pub mod replay;
pub mod request;
pub mod resource;
pub mod retry;
pub mod route;
pub mod share;
pub mod size;
pub mod time;
pub mod trace;
pub mod usage;
pub mod verdict;
pub mod work;
pub mod worker;
pub mod workers;
