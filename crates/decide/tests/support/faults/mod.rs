//! A simulation of servers, workers and a table. The network between them delays, loses, duplicates
//! and reorders messages.

#![allow(dead_code, missing_docs, unreachable_pub)]

pub mod check;
pub mod server;
pub mod table;
pub mod worker;
pub mod world;

pub use world::{Plan, World};
