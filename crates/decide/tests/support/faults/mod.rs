//! Servers, workers and a table with a network in between that delays, loses, doubles and reorders.

#![allow(dead_code, missing_docs, unreachable_pub)]

pub mod check;
pub mod server;
pub mod table;
pub mod worker;
pub mod world;

pub use world::{Plan, World};
